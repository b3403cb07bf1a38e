"""Tests of how the VMs of a large fleet observe one another through heads."""

import pytest

from hawthornlead.fleet.head_links import HEADS_PER_DATA_CENTRE
from hawthornlead.messages.gateways import TargetReleased

from .fakes_fleets import SETTLED_S, FakeFleet, let_run

PLACES = {"gijon": 14, "bilbao": 14, "santander": 12}
# The aim: a VM has at most so many connections with others, and takes at most so many
# messages a second while nothing is asked.
MOST_CONNECTIONS = 40
MOST_MESSAGES = 15


@pytest.fixture
async def fleet():
    """A large fleet in which each VM sees all others."""
    running = FakeFleet(PLACES)
    await running.settle()
    yield running
    running.stop()


def all_see_all(fleet):
    """Whether each running VM sees exactly the running VMs that aren't leaving."""
    staying = fleet.staying()
    running = set(fleet.vms) - fleet.frozen
    return all(fleet.seen_by(name) == staying - {name} for name in running)


async def test_all_vms_see_all_others(fleet):
    assert all_see_all(fleet)
    assert len(fleet.heads()) == HEADS_PER_DATA_CENTRE * len(PLACES)


@pytest.mark.parametrize("size", [40, 195])
async def test_connections_and_messages_dont_grow_with_the_fleet(size):
    """A fleet of 195 VMs spends its processor time on talk with itself.

    Each VM was connected with all others: 194 connections, each with heartbeats both
    ways. Now a VM that is no head has two connections, whatever the fleet's size.
    """
    each = size // 5
    fleet = FakeFleet({f"place{number}": each for number in range(5)})
    await fleet.settle()
    for vm in fleet.vms.values():
        vm.heard.clear()
    await fleet.settle(5.0)
    assert all_see_all(fleet)
    others = set(fleet.vms) - fleet.heads()
    for name in others:
        assert fleet.connections(name) == HEADS_PER_DATA_CENTRE
        assert fleet.vms[name].heard.total() <= 5 * MOST_MESSAGES
    for name in fleet.heads():
        assert fleet.connections(name) <= each + HEADS_PER_DATA_CENTRE * 5
    fleet.stop()


async def test_a_broadcast_reaches_each_vm_once(fleet):
    heard = []
    for name, vm in fleet.vms.items():

        async def take(sender, message, name=name):
            heard.append((name, sender.vm, message.fence))

        vm.mesh.on(TargetReleased, take)
    head = next(iter(fleet.heads()))
    other = next(iter(set(fleet.vms) - fleet.heads()))
    for fence, name in enumerate((head, other)):
        heard.clear()
        fleet.vms[name].mesh.broadcast(TargetReleased("i-1", fence))
        await let_run()
        assert sorted(heard) == sorted(
            (each, name, fence) for each in fleet.vms if each != name
        )


async def test_a_frozen_vm_is_left_out_of_answers_in_time(fleet):
    """Guards against callers being sent to a VM that has been frozen for seconds.

    Each new connection with it costs a caller a second. With heartbeats between all VMs
    the interval would grow with their number, and with it the detection time.
    """
    name = next(iter(set(fleet.vms) - fleet.heads()))
    fleet.freeze(name)
    await fleet.settle(2.0)
    assert all(name not in fleet.seen_by(other) for other in fleet.staying())


@pytest.mark.parametrize("lost", ["one", "both"])
@pytest.mark.parametrize("how", ["kill", "freeze"])
async def test_heads_that_are_lost_cost_two_seconds_of_stale_answers(fleet, lost, how):
    """Guards against answers that lose a whole data centre, or keep its dead VMs.

    Its heads are killed or frozen, so that no head forwards the updates of its VMs.
    """
    heads = [name for name in fleet.heads() if name.startswith("gijon")]
    for name in heads if lost == "both" else heads[:1]:
        getattr(fleet, how)(name)
    near = {name for name in fleet.staying() if name.startswith("gijon")}
    for _ in range(20):
        await fleet.settle(0.2)
        seen = fleet.seen_by("bilbao-9")
        missing = len(near - seen)
        if lost == "one":
            assert missing == 0
    await fleet.settle(1.0)
    assert all_see_all(fleet)


async def test_a_restarted_vm_changes_no_head(fleet):
    """Guards against heads that change with each VM of a rolling restart, one a second.

    If heads were chosen by a hash over the live VMs, each VM that starts or stops could
    change one; in the order of registration a restarted VM goes to the end.
    """
    heads = fleet.heads()
    dialled = fleet.network.dialled
    restarted = sorted(set(fleet.vms) - heads)[:8]
    for name in restarted:
        place = fleet.vms[name].place
        fleet.kill(name)
        await fleet.settle(1.0)
        fleet.start(name, place)
    await fleet.settle()
    assert fleet.heads() == heads
    assert all_see_all(fleet)
    assert fleet.network.dialled - dialled <= len(restarted) * HEADS_PER_DATA_CENTRE


async def test_all_heads_restarted_in_turn(fleet):
    for name in sorted(fleet.heads()):
        place = fleet.vms[name].place
        fleet.kill(name)
        await fleet.settle(1.0)
        fleet.start(name, place)
    await fleet.settle()
    assert all_see_all(fleet)
    assert len(fleet.heads()) == HEADS_PER_DATA_CENTRE * len(PLACES)


async def test_most_vms_fail_at_once(fleet):
    """Guards against remaining VMs that never connect with one another again.

    More than half of the VMs fail, including all with the oldest registrations, and a
    dial to each of them takes until its time-out.
    """
    gone = sorted(fleet.vms)[: len(fleet.vms) * 6 // 10]
    gone = sorted(set(gone) | fleet.heads())
    for name in gone:
        fleet.freeze(name)
    await fleet.settle(8.0)
    assert all_see_all(fleet)
    for name in gone:
        fleet.thaw(name)
    await fleet.settle(2 * SETTLED_S)
    assert all_see_all(fleet)


async def test_a_leaving_vm_is_reported_at_once(fleet):
    name = next(iter(set(fleet.vms) - fleet.heads()))
    fleet.leave(name)
    await fleet.settle(1.0)
    assert all(name not in fleet.seen_by(other) for other in fleet.staying())


async def test_a_restarted_vm_that_knows_nobody_is_dialled_by_a_head(fleet):
    """Guards against a VM that starts during a store outage and serves nobody in it.

    It can't learn the addresses of the others, so one of them has to dial it.
    """
    name = next(iter(set(fleet.vms) - fleet.heads()))
    place = fleet.vms[name].place
    fleet.kill(name)
    vm = fleet.start(name, place)
    for known in tuple(vm.registered_order.records):
        vm.registered_order.remove(known)
    await fleet.settle()
    assert fleet.network.reachable(name)


async def test_seventy_in_a_hundred_vms_are_added(fleet):
    added = [
        (f"{place}-{number}", place) for place in PLACES for number in range(20, 30)
    ]
    for name, place in added:
        fleet.start(name, place)
    await fleet.settle(3.0)
    assert all_see_all(fleet)


async def test_a_small_fleet_that_becomes_large():
    fleet = FakeFleet({"gijon": 12, "bilbao": 10})
    await fleet.settle()
    assert all_see_all(fleet)
    assert fleet.heads() == set(fleet.vms)
    for number in range(20, 30):
        fleet.start(f"gijon-{number}", "gijon")
    await fleet.settle()
    assert all_see_all(fleet)
    assert len(fleet.heads()) == 2 * HEADS_PER_DATA_CENTRE
    fleet.stop()
