"""Tests of takeovers of a target, and of owners cut off from the store."""

import pytest

from hawthornlead.errors import ErrorKind
from hawthornlead.ownership.owners import OrderRight

from .fakes_takeovers import evictions, freeze_at, owned_world, streaming
from .fakes_worlds import ALLOWANCE


@pytest.mark.parametrize("fencing", [True, False])
async def test_owner_lost_with_grants_out(fencing):
    """Guards against an eviction under grants that the successor does not know.

    The owner dies while a VM streams under its grant, and a load waits for the slot.
    The successor evicts nothing until unknown grants have expired and a later report
    shows nothing running.
    """
    world = await owned_world("abc", fencing=fencing)
    grant = await streaming(world)
    world.kill("a")
    world.assign("c", ALLOWANCE, stopped=True)
    world.assign("c", stopped=True)
    pending = world.acquire("c", "lap", wait_s=100)
    await world.advance(9)
    # The holder may start requests under it until it expires by its own clock.
    if grant.start("r2").is_ok():
        assert world.engine.start("r2", ("tide", "1"))
    await world.advance(20)
    assert evictions(world) == []
    world.engine.end("r1")
    world.engine.end("r2")
    await world.advance(3)
    assert pending.result().is_ok() and world.engine.violations == []


async def test_frozen_owner_wakes_after_its_successor_loaded():
    """Guards against an old eviction that breaks a stream of the successor.

    An owner freezes while it connects to evict and wakes after its successor has
    granted the same adapter to a stream. It reads the clock again when the connection
    is open and does not send the order, whether or not the target fences.
    """
    world = await owned_world("abc", fencing=False)
    await world.acquired("b", "tide")
    await world.advance(4)
    woken = await freeze_at(world, "freeze_before_check")
    await world.advance(20)
    await streaming(world, "c", "tide", "r2")
    woken.set()
    await world.advance(5)
    assert evictions(world) == []
    assert world.engine.end("r2") and world.engine.violations == []


@pytest.mark.parametrize("fencing", [True, False])
async def test_order_frozen_after_the_last_look_at_the_clock(fencing):
    """An owner freezes between its last check of the clock and the write.

    No check in its own process can help. A fencing target refuses the order. One that
    ignores fencing numbers carries it out under a stream. This is the only gap left
    there, and it needs a freeze within a few instructions.
    """
    world = await owned_world("abc", fencing=fencing)
    await world.acquired("b", "tide")
    await world.advance(4)
    woken = await freeze_at(world, "freeze_after_check")
    await world.advance(20)
    await streaming(world, "c", "tide", "r2")
    woken.set()
    await world.advance(1)
    assert world.engine.end("r2") is fencing
    assert (world.engine.violations == []) is fencing


async def test_outage_keeps_serving_but_evicts_nothing():
    """The store is down and the owner's lease lapses.

    The owner may have a successor that it cannot learn of. It goes on granting what is
    resident, fills free slots, and refuses what would need an eviction.
    """
    world = await owned_world(slots=2)
    await world.acquired("b", "tide")
    world.degrade("a")
    world.degrade("a", ALLOWANCE)
    await world.advance(15)
    assert (await world.acquired("b", "tide")).is_ok()
    assert (await world.acquired("b", "lap")).is_ok()
    refused = await world.acquired("b", "heat", wait_s=20)
    assert refused.unwrap_err().kind is ErrorKind.NO_SLOT
    assert evictions(world) == []


async def test_degraded_owner_learns_of_its_successor_by_the_fence():
    """An owner is cut off from the store, and a successor has taken its target.

    On a fencing target it must stop granting, since the successor evicts there when
    the old grants have expired. It learns this when the target refuses its number.
    """
    world = await owned_world("abc")
    grant = await streaming(world)
    world.assign("c", old_right=OrderRight.DEGRADED)
    world.assign("c", ALLOWANCE, old_right=OrderRight.DEGRADED)
    await world.advance(5)
    world.records["target:engine"] = world.records["target:engine"]._replace(vm="a")
    grant.finish("r1", ended=True)
    world.engine.end("r1")
    await world.advance(8)
    refused = await world.acquired("b", "tide", wait_s=5)
    assert refused.unwrap_err().kind is ErrorKind.NO_GRANT


async def test_ignoring_target_is_not_evicted_before_predecessor_stopped():
    """Guards against evictions under the grants of a degraded predecessor.

    It goes on granting on a target that ignores fencing numbers. Its successor evicts
    nothing until it has proof that the predecessor has stopped.
    """
    world = await owned_world("abc", fencing=False)
    await streaming(world)
    world.engine.end("r1")
    world.assign("c", old_right=OrderRight.DEGRADED)
    world.assign("c", ALLOWANCE, old_right=OrderRight.DEGRADED)
    pending = world.acquire("c", "lap", wait_s=200)
    await world.advance(60)
    assert evictions(world) == []
    world.kill("a")
    owners = world.vms["c"].owners
    for resource, owned in owners.ownerships.items():
        owners.ownerships[resource] = owned._replace(predecessor_stopped=True)
    await world.advance(8)
    # The predecessor's last grants have not expired yet.
    assert evictions(world) == []
    await world.advance(20)
    assert pending.result().is_ok() and world.engine.violations == []


async def test_load_that_outlives_its_owner():
    """An owner is killed while a load runs that takes longer than ORDER_S.

    The load ends after its successor started to grant, in a slot that looked free.
    Loads that need the slot meanwhile are refused, no request loses its adapter, and
    the slot is used again.
    """
    world = await owned_world("abc", fencing=False)
    world.engine.load_s = 20.0
    world.acquire("a", "tide")
    await world.advance(2)
    assert world.engine.loading == 1
    world.kill("a")
    world.assign("c", ALLOWANCE, stopped=True)
    world.assign("c", stopped=True)
    await world.advance(10)
    assert world.vms["c"].targets.targets["engine"].ready
    world.engine.load_s = 0.2
    refused = await world.acquired("c", "lap")
    assert refused.unwrap_err().kind is ErrorKind.NO_SLOT
    await world.advance(12)
    assert (await world.acquired("c", "lap")).is_ok()
    assert world.engine.violations == []
    assert [key.adapter for key in world.engine.loads] == ["tide", "lap"]
