"""Tests of places at plain targets: the contention deployment's load, and failures.

75 VMs send to 2 or 3 targets with 6 slots and a queue of 24 each; requests run for 60
to 90 ms, 80 to 100 arrive a second and three times as many in a burst, and messages
between VMs take 2 to 10 ms.
"""

import asyncio

import pytest
from result import Err, Ok

from hawthornlead.errors import ErrorKind
from hawthornlead.gateway.plain_places import ANSWER_TIMEOUT_S, DIRECT_S
from hawthornlead.messages.admission import ReservePlace

from .fakes_admission import DEADLINE_S, SERVICE, SLOTS, Site, simulate
from .gateways import Deployment


def coordinator_of(site, target):
    return site.order_for(f"places {target}")[0]


def another_vm(site):
    """Return a VM that coordinates nothing."""
    taken = {coordinator_of(site, target) for target in site.targets}
    return next(vm for vm in site.vms if vm not in taken)


def gate_of(site, target):
    coordinator = site.coordinators[coordinator_of(site, target)]
    return coordinator._coordinated[target].waits.gate


async def choose(site, vm):
    return await site.places[vm].choose(site.placement(), SERVICE, site.scored())


async def fill(site, vm):
    """Take all places, and return the choices."""
    taken = []
    while True:
        chosen = asyncio.ensure_future(choose(site, vm))
        await asyncio.wait({chosen}, timeout=0.5)
        if not chosen.done():
            return taken, chosen
        taken.append(chosen.result().unwrap())


@pytest.mark.parametrize(("targets", "rate"), [(3, 100), (2, 80)])
def test_a_burst_of_three_times_the_mean_is_rejected_by_no_target(targets, rate):
    """VMs that count by announcements 0.4 s old send a burst to one full target.

    On the contention deployment's first day, targets rejected 652 of 7,470 arrivals.
    """

    async def play(counted):
        site = Site(targets=targets, counted=counted, seed=targets)
        phases = [(rate, 3), (3 * rate, 4), (rate, 3)]
        await site.play(phases, ranks=(0, 1, 2))
        return site

    before, site = simulate(play(False)), simulate(play(True))
    assert site.rejected < 0.02 * site.arrivals < before.rejected
    assert site.in_time() > before.in_time()
    assert site.in_time(0) >= site.in_time(1) >= site.in_time(2)
    assert all(each.took_s < DEADLINE_S for each in site.results)
    # A question or two and one end per request.
    asked = site.messages["ReservePlace"] + site.messages["PlaceEnded"]
    assert asked < 3.5 * len(site.results)


def test_under_lasting_overload_no_rank_starves_and_no_slot_is_idle():
    """Requests held back by a coordinator leave slots idle for each message's delay.

    The two more urgent ranks alone exceed the capacity.
    """

    async def play():
        site = Site(targets=2)
        await site.play([(240, 6)], ranks=(0, 1, 1, 2))
        return site, site.timers.now() - min(each.at for each in site.results)

    site, took_s = simulate(play())
    for rank in (0, 1, 2):
        results = [each for each in site.results if each.rank == rank]
        assert sum(each.served for each in results) > 0.2 * len(results)
    done = sum(target.served for target in site.targets.values())
    assert done > 0.9 * min(took_s, 6.0) * 2 * SLOTS / 0.075


def test_a_coordinator_that_hangs_delays_one_request_for_a_moment():
    async def play():
        site = Site(targets=1)
        vm = another_vm(site)
        site.silent.add(coordinator_of(site, "t0"))
        began = site.timers.now()
        assert await choose(site, vm) is None
        assert site.timers.now() - began < 0.03 + ANSWER_TIMEOUT_S + 0.01
        asked = site.messages["ReservePlace"]
        assert await choose(site, vm) is None
        assert site.messages["ReservePlace"] == asked
        assert site.report.counts["direct"] == 2
        site.silent.clear()
        await asyncio.sleep(DIRECT_S)
        assert isinstance(await choose(site, vm), Ok)

    simulate(play())


def test_who_waits_at_a_coordinator_that_hangs_is_sent_directly():
    """A frozen VM keeps its connections: who waits there would miss its deadline."""

    async def play():
        site = Site(targets=1)
        vm = another_vm(site)
        _, waiting = await fill(site, vm)
        site.silent.add(coordinator_of(site, "t0"))
        assert await choose(site, vm) is None
        assert await asyncio.wait_for(waiting, 0.1) is None

    simulate(play())


def test_a_caller_that_leaves_while_its_request_waits_takes_no_place():
    async def play():
        site = Site(targets=1)
        taken, waiting = await fill(site, another_vm(site))
        waiting.cancel()
        await asyncio.sleep(0.05)
        assert gate_of(site, "t0").waiting == 0
        for each in taken:
            site.places[another_vm(site)].end(each.hold)
        await asyncio.sleep(0.05)
        assert gate_of(site, "t0").book.granted == 0

    simulate(play())


def test_who_waits_at_a_target_that_restarts_is_sent_directly():
    """The target restarts empty while a request waits for one of its places.

    The requests of the former incarnation free no place, so it waited for half of its
    remaining time and was refused.
    """

    async def play():
        site = Site(targets=1)
        _, waiting = await fill(site, another_vm(site))
        site.coordinators[coordinator_of(site, "t0")].discard("t0")
        assert await asyncio.wait_for(waiting, 0.05) is None

    simulate(play())


def test_requests_that_are_not_sent_do_not_shorten_the_expected_wait():
    """Thirty callers left just after their requests got places.

    These places were held for a moment only, which made the coordinator expect a third
    of the actual waits.
    """

    async def play():
        site = Site(targets=1)
        vm = another_vm(site)
        for _ in range(60):
            chosen = (await choose(site, vm)).unwrap()
            await asyncio.sleep(0.075)
            site.places[vm].end(chosen.hold)
        book = gate_of(site, "t0").book
        before_s = book.hold_s
        for _ in range(30):
            chosen = (await choose(site, vm)).unwrap()
            site.places[vm].end(chosen.hold, sent=False)
            await asyncio.sleep(0.02)
        assert book.hold_s == pytest.approx(before_s, rel=0.05)
        assert book.granted == 0

    simulate(play())


def test_a_request_without_a_place_in_time_is_refused_with_the_expected_time():
    async def play():
        site = Site(targets=1)
        taken, waiting = await fill(site, another_vm(site))
        began = site.timers.now()
        refused = await waiting
        assert isinstance(refused, Err)
        assert refused.err_value.kind is ErrorKind.OVERLOADED
        assert refused.err_value.retry_after_s > 0
        assert site.timers.now() - began < DEADLINE_S / 2

    simulate(play())


def test_a_new_coordinator_counts_the_announced_requests():
    """After a coordinator's restart, the next one fills a target that is full."""

    async def play():
        site = Site(targets=1)
        site.announced["t0"] = 30
        vm = another_vm(site)
        chosen = asyncio.ensure_future(choose(site, vm))
        await asyncio.sleep(0.1)
        assert not chosen.done()
        assert (await chosen).is_ok()

    simulate(play())


def test_the_coordinator_asks_itself_without_a_message():
    async def play():
        site = Site(targets=1)
        vm = coordinator_of(site, "t0")
        choice = await choose(site, vm)
        site.places[vm].end(choice.unwrap().hold)
        await asyncio.sleep(0.01)
        assert gate_of(site, "t0").book.granted == 0
        assert not site.messages

    simulate(play())


def test_a_suspect_target_is_not_asked_while_another_is_healthy():
    async def play():
        site = Site(targets=3)
        site.suspect = {"t0", "t1"}
        vm = another_vm(site)
        chosen = [(await choose(site, vm)).unwrap() for _ in range(6)]
        assert {each.hold.entry.target for each in chosen} == {"t2"}

    simulate(play())


def test_targets_with_more_slots_than_vms_or_with_own_rules_are_not_counted():
    async def play():
        few = Site(vms=SLOTS, targets=1)
        limited = Site(targets=2)
        limited.places["vm-1"]._keeps_own_rules = lambda target: target == "t1"
        for site in (few, limited):
            assert await choose(site, "vm-1") is None
            assert not site.messages

    simulate(play())


@pytest.mark.parametrize("odd", [float("nan"), float("inf"), -float("inf"), -1.0])
def test_odd_times_in_a_question_are_bounded(odd):
    async def play():
        site = Site(targets=1)
        vm = another_vm(site)
        question = ReservePlace("t0", 1, 1, odd, odd, 7, odd, odd)
        reply = await site.meshes[vm].call(coordinator_of(site, "t0"), question)
        assert reply.unwrap().reserved
        await asyncio.sleep(80)
        gate_of(site, "t0").grant_waiting(site.timers.now())
        assert gate_of(site, "t0").book.granted == 0

    simulate(play())


async def test_whole_gateways_send_a_target_no_more_than_it_takes():
    """Three VMs each send what would fit if they were alone, and it is rejected."""
    deployment = Deployment(vms=3, PLAIN_PLACES=True)
    for plain in deployment.plains:
        plain.places, plain.room, plain.work_s = 1, 2, 0.02
    async with deployment:
        await deployment.until(
            lambda: all(
                len(each._memberships.live()) == 3 for each in deployment.gateways
            )
        )
        answers = await asyncio.gather(
            *[deployment.ask("/unsafe/x", vm=number % 3) for number in range(24)]
        )
        assert {answer.status for answer in answers} == {200}
        assert not any(plain.refusals for plain in deployment.plains)
        assert sum(len(plain.ran) for plain in deployment.plains) == 24
        coordinators = [gateway._parts.placer for gateway in deployment.gateways]
        assert all(each._plain_places is not None for each in coordinators)
