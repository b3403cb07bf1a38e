"""Tests of places at engines: the contention deployment's load, and failures.

24 VMs send streams of three ranks to engines with batches of 12; runs take 0.8 to 2.4
s, announced counts are up to 0.4 s old and messages take 2 to 10 ms.
"""

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest
from prometheus_client import CollectorRegistry

from hawthornlead.errors import ErrorKind
from hawthornlead.gateway.engine_places import EnginePlaces
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.place_questions import PlaceQuestions
from hawthornlead.gateway.placers import PlacementRequest, Placer
from hawthornlead.gateway.records import CallerRequest, Configuration
from hawthornlead.gateway.run_times import RunTimes
from hawthornlead.gateway.target_choices import Holding
from hawthornlead.gateway.target_loads import TargetLoads
from hawthornlead.messages.gateways import PromptReserved, RequestEnded, ReservePrompt

from .fakes_admission import Site, simulate
from .gateways import MODEL, Deployment
from .test_placers import ROUTE, SERVICE, SPEC, FakeTargets, Quiet, Unlimited

BATCH = 12
ENGINE = SPEC._replace(batch=BATCH)
LLM = SERVICE._replace(engine=ENGINE)
RUN_S = 1.6
KEY = AdapterKey("tide", "a1")
STREAM = CallerRequest("r1", 12000.0, "tide", "a1", 500, 288, 288, "")


class Engines(FakeTargets):
    """Engines that hold the adapter; each is owned by the VM of its number."""

    def holding(self, entry, service, key):
        return Holding.READY

    def owner(self, target):
        return f"vm-{target[1:]}"


class Owner:
    """The owner of one engine without turns to wait for; ``held`` its adapter."""

    def __init__(self, target, held=True):
        self.target = target
        self.held = held
        self.finished = False
        self.slots = SimpleNamespace(spec=ENGINE)

    def reserve(self, key, vm, message):
        return PromptReserved(0.0, self.held, self.held)


class EngineSite(Site):
    """VMs before engines. ``counted`` False places by announced counts."""

    def __init__(self, engines=8, vms=24, counted=True):
        super().__init__(vms=vms, targets=0, counted=counted)
        self.engines = Engines(engines)
        self.running = {target: [] for target in self.engines.entries}
        self.preempted = 0
        self.begun = Counter()
        self.loads = {vm: TargetLoads(timers=self.timers) for vm in self.vms}
        self.placers = {vm: self._placer(vm) for vm in self.vms}
        self.owned = {target: Owner(target) for target in self.engines.entries}
        self.engine_places = {}
        for vm in self.vms:
            self._own(vm)

    def _own(self, vm):
        places = self.engine_places[vm] = EnginePlaces(
            loads=self.loads[vm],
            timers=self.timers,
            is_seen=lambda vm: True,
            report=self.report,
        )

        async def on_reserve(sender, message):
            owner = self.owned[message.target]
            if not self.counted:
                return owner.reserve(KEY, sender.vm, message)
            return await places.reserve(owner, KEY, sender.vm, message, 0.4)

        async def on_ended(sender, message):
            places.end(self.owned[message.target], KEY, sender.vm)

        self.meshes[vm].on(ReservePrompt, on_reserve)
        self.meshes[vm].on(RequestEnded, on_ended)

    def _placer(self, vm):
        loads = self.loads[vm]
        questions = PlaceQuestions(
            mesh=self.meshes[vm], loads=loads, timers=self.timers, report=self.report
        )
        placer = Placer(
            data_centre="gijon",
            targets=self.engines,
            loads=loads,
            healths=Quiet(),
            limits=Unlimited(),
            backoffs=Unlimited(),
            mesh=self.meshes[vm],
            timers=self.timers,
            metrics=GatewayMetrics(CollectorRegistry()),
            run_times=RunTimes(),
            place_questions=questions if self.counted else None,
        )
        placer.apply_configuration(Configuration(1, (ROUTE,), (LLM,), None))
        return placer

    async def place(self, vm, rank=1, request=STREAM):
        route = ROUTE._replace(priority=rank, objective_ms=507.0, timeout_ms=12000.0)
        now = self.timers.now()
        return await self.placers[vm].place(
            PlacementRequest(route, "llm", request, now, now + 12.0, frozenset())
        )

    async def request(self, rank=1):
        vm = self.rng.choice(self.vms)
        began = self.timers.now()
        placed = await self.place(vm, rank)
        if placed.is_err():
            self.results.append(SimpleNamespace(rank=rank, served=False, took_s=9.0))
            return
        target = placed.ok_value.entry.target
        running, loads = self.running[target], self.loads[vm]
        loads.on_request_started(target, KEY)
        self.begun[target] += 1
        if len(running) >= BATCH and rank < max(running):
            self.preempted += 1
        running.append(rank)
        took_s = self.timers.now() - began
        self.results.append(SimpleNamespace(rank=rank, served=True, took_s=took_s))
        await asyncio.sleep(RUN_S * self.rng.uniform(0.5, 1.5))
        running.remove(rank)
        loads.on_request_ended(target, KEY)
        self.placers[vm].notify_ended(placed.ok_value)

    async def announce(self):
        while True:
            await asyncio.sleep(0.4)
            updates = {vm: loads.build_update() for vm, loads in self.loads.items()}
            for vm, loads in self.loads.items():
                for other, update in updates.items():
                    if other != vm:
                        loads.apply_loads(other, update)


def gate(site, target="e0"):
    return site.engine_places[site.engines.owner(target)]._owned[target].waits.gate


async def fill(site, vm="vm-5"):
    """Take all places of the one engine."""
    return [(await site.place(vm)).unwrap() for _ in range(BATCH)]


def question(site, **fields):
    message = ReservePrompt("e0", "tide", "a1", 500, 1.0, None, wait_s=0.0)
    return site.meshes["vm-5"].call("vm-0", message._replace(**fields))


def test_engines_preempt_no_more_than_a_quarter_and_the_urgent_start_in_time():
    """VMs fill the engine that looked least busy beyond its batch, which then preempts.

    On the contention deployment's first day, engines preempted 390 requests.
    """

    async def play(counted):
        site = EngineSite(counted=counted)
        await site.play([(45, 4), (75, 3), (40, 4)], ranks=(0, 0, 1, 2))
        return site

    before, site = simulate(play(False)), simulate(play(True))
    assert 4 * site.preempted < before.preempted
    waits = {
        rank: sorted(each.took_s for each in site.results if each.rank == rank)
        for rank in (0, 1, 2)
    }
    late = {
        rank: sum(s > 0.33 for s in waits[rank]) / len(waits[rank]) for rank in waits
    }
    assert late[0] <= late[1] <= late[2]
    refused = [each for each in site.results if not each.served and each.rank == 0]
    assert len(refused) < 0.02 * len(waits[0])
    assert max(site.begun.values()) < 1.25 * len(site.results) / len(site.begun)


def test_a_full_engine_answers_at_once_and_the_request_goes_to_another():
    async def play():
        site = EngineSite(engines=2)
        for _ in range(BATCH):
            reply = (await question(site)).unwrap()
            assert reply.reserved
        refused = (await question(site)).unwrap()
        assert (refused.reserved, refused.held, refused.running) == (False, True, BATCH)
        assert refused.place_s > 0
        began = site.timers.now()
        assert (await site.place("vm-7")).unwrap().entry.target == "e1"
        assert site.timers.now() - began < 0.1

    simulate(play())


def test_a_request_waits_for_a_place_where_all_engines_are_full():
    async def play():
        site = EngineSite(engines=1)
        placed = await fill(site)
        waiting = asyncio.ensure_future(site.place("vm-7"))
        await asyncio.sleep(0.2)
        assert gate(site).waiting == 1
        site.placers["vm-5"].notify_ended(placed[0])
        assert (await waiting).is_ok()

    simulate(play())


def test_a_request_that_gets_no_place_in_time_is_refused_with_the_expected_time():
    async def play():
        site = EngineSite(engines=1)
        await fill(site)
        began = site.timers.now()
        refused = (await site.place("vm-7")).err_value
        assert refused.kind is ErrorKind.OVERLOADED
        assert site.timers.now() - began < 2.0

    simulate(play())


def test_without_an_answer_of_the_owner_a_request_is_sent_directly():
    """The owner hangs: its engine still serves what it has places for."""

    async def play():
        site = EngineSite(engines=1)
        site.silent.add("vm-0")
        began = site.timers.now()
        assert (await site.place("vm-5")).is_ok()
        assert site.timers.now() - began < 0.2
        assert site.report.counts["direct"] == 1

    simulate(play())


def test_who_waits_at_an_owner_that_hangs_is_sent_directly():
    """A frozen owner keeps its connections: who waits there would start too late."""

    async def play():
        site = EngineSite(engines=1)
        await fill(site)
        waiting = asyncio.ensure_future(site.place("vm-7"))
        await asyncio.sleep(0.1)
        site.silent.add("vm-0")
        site.loads["vm-7"].record_counted("e0", 0)
        assert (await site.place("vm-7")).is_ok()
        assert (await asyncio.wait_for(waiting, 0.05)).is_ok()

    simulate(play())


def test_a_new_owner_counts_the_announced_requests():
    async def play():
        site = EngineSite(engines=1)
        for _ in range(BATCH):
            site.loads["vm-5"].on_request_started("e0", KEY)
        site.loads["vm-0"].apply_loads("vm-5", site.loads["vm-5"].build_update())
        assert not (await question(site)).unwrap().reserved

    simulate(play())


def test_no_request_waits_at_an_owner_that_was_relieved():
    """Guards against a count of waiting requests that never falls to 0 again."""

    async def play():
        site = EngineSite(engines=1)
        await fill(site)
        waiting = [
            asyncio.ensure_future(question(site, wait_s=1.0, due_s=0.5))
            for _ in range(3)
        ]
        await asyncio.sleep(0.05)
        assert site.engine_places["vm-0"].waiting == 3
        site.owned["e0"].finished = True
        for reply in await asyncio.gather(*waiting):
            assert reply.err_value.kind is ErrorKind.NO_GRANT
        assert site.engine_places["vm-0"].waiting == 0

    simulate(play())


def test_a_restarted_engine_has_no_place_taken():
    async def play():
        site = EngineSite(engines=1)
        await fill(site)
        site.owned["e0"] = Owner("e0")
        assert (await question(site)).unwrap().reserved

    simulate(play())


def test_a_request_whose_adapter_has_left_holds_no_place():
    async def play():
        site = EngineSite(engines=1)
        site.owned["e0"] = Owner("e0", held=False)
        reply = (await question(site)).unwrap()
        assert (reply.held, gate(site).book.granted) == (False, 0)

    simulate(play())


def test_a_vm_that_does_not_ask_for_places_is_counted_and_never_refused():
    """A VM of the former release took the refusal of a place for a long turn."""

    async def play():
        site = EngineSite(engines=1)
        for count in range(1, BATCH + 3):
            reply = (await question(site, wait_s=-1.0)).unwrap()
            assert (reply.reserved, reply.running) == (True, count)

    simulate(play())


@pytest.mark.parametrize(
    ("prompt", "output"), [(-5, -5), (10**15, 1), (0, 10**15), (2**62, 2**62)]
)
def test_absurd_lengths_are_bounded_by_the_engine_and_no_reason_for_refusal(
    prompt, output
):
    async def play():
        site = EngineSite(engines=1)
        request = STREAM._replace(
            prompt_tokens=prompt, max_tokens=output, likely_tokens=output
        )
        assert (await site.place("vm-5", request=request)).is_ok()
        assert 0 <= gate(site).book.tokens <= ENGINE.kv_tokens

    simulate(play())


async def test_whole_gateways_serve_more_streams_than_batches_and_end_all_places():
    """A place whose end isn't reported keeps its engine full for 30 s."""
    async with Deployment(vms=2, ENGINE_PLACES=True) as deployment:
        answers = await asyncio.gather(
            *[
                deployment.ask("/stream/x", vm=number % 2, Model=f"{MODEL}/a1")
                for number in range(20)
            ]
        )
        assert {answer.status for answer in answers} == {200}
        for gateway in deployment.gateways:
            places = gateway._engine_manager._places
            for owned in places._owned.values():
                await deployment.until(
                    lambda owned=owned: not owned.waits.gate.book.granted
                )


def test_a_request_that_is_overdue_ends_its_search_at_a_full_engine():
    """It may wait no longer, and asked the full engine again without end."""

    async def play():
        site = EngineSite(engines=1)
        await fill(site)
        now = site.timers.now()
        overdue = PlacementRequest(
            ROUTE, "llm", STREAM, now - 5.0, now + 5.0, frozenset()
        )
        refused = await asyncio.wait_for(site.placers["vm-5"].place(overdue), 1.0)
        assert refused.err_value.kind is ErrorKind.NO_PLACE

    simulate(play())
