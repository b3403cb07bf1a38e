"""Tests of the load allowance: it is never exceeded, even when its holder changes."""

import pytest

from hawthornlead.engines.grant_ledgers import AdapterVersion
from hawthornlead.errors import ErrorKind
from hawthornlead.ownership.owners import OrderRight

from .fakes_worlds import ALLOWANCE, World


class _LoadRecorder:
    """Loads at the weight store, as the store would count them."""

    def __init__(self, world):
        self.world = world
        self.running = 0
        self.max_running = 0
        self.started = []

    async def run(
        self, vm, number, load_s, *, release=True, wait_s=60.0, priority=0, late_s=0.0
    ):
        """Acquire a permit at ``vm`` and load."""
        allowances = self.world.vms[vm].allowances
        key = AdapterVersion(f"adapter-{number}", "1")
        permit = await allowances.acquire("weights", "engine", key, priority, wait_s)
        if permit.is_err():
            return permit
        await self.world.timers.sleep(late_s)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.started.append((self.world.timers.now(), number))
        await self.world.timers.sleep(load_s)
        self.running -= 1
        if release:
            allowances.release(permit.ok_value, loaded=True)
        return permit

    def spawn(self, vm, number, load_s, **options):
        return self.world.spawn(self.run(vm, number, load_s, **options))

    def max_starts_in(self, window_s):
        """Return the most loads that started within any ``window_s`` seconds."""
        times = [at for at, _ in self.started]
        return max(
            len([at for at in times if start <= at < start + window_s - 1e-6])
            for start in times
        )


async def _world(vms="ab", **settings):
    world = World(vms, **{"LOADS_PER_S": 6.0, "LOADS_AT_ONCE": 2, **settings})
    world.assign("a", ALLOWANCE)
    return world, _LoadRecorder(world)


async def test_rate_and_loads_at_once():
    world, loads = await _world()
    tasks = [loads.spawn("ab"[n % 2], n, 0.2) for n in range(24)]
    await world.advance(10)
    assert all(task.done() for task in tasks)
    assert loads.max_running == 2 and loads.max_starts_in(1.0) <= 6


@pytest.mark.parametrize("late_s", [0.1, 0.4, 1.5])
@pytest.mark.parametrize("late", [0, 5, 12])
async def test_a_load_that_starts_late_does_not_exceed_the_rate(late, late_s):
    """Guards against a seventh load start in a second at a rate of six.

    A load starts late after its permit, because the owner first evicts an adapter or
    the target is slow. Loads with later permits start at once. If permits were spaced
    without regard to this, the late start would fall into the second of the next ones.
    """
    world, loads = await _world(LOADS_AT_ONCE=8)
    first = [loads.spawn("a", 0, 0.1, late_s=late_s if late == 0 else 0.0)]
    await world.advance(3)
    tasks = first + [
        loads.spawn("b", n, 0.1, late_s=late_s if late == n else 0.0)
        for n in range(1, 24)
    ]
    await world.advance(10)
    assert all(task.done() for task in tasks)
    assert loads.max_starts_in(1.0) <= 6


async def test_long_loads_overlap_at_a_low_rate():
    world, loads = await _world(LOADS_PER_S=1.0)
    for n in range(8):
        loads.spawn("a", n, 3.0)
    await world.advance(30)
    assert loads.max_running == 2 and len(loads.started) == 8


async def test_permits_of_a_dead_vm_end_only_by_expiry():
    """A VM dies while its load runs at the engine and never releases its permit.

    The permit counts until the longest load has ended, and then it is free again.
    """
    world, loads = await _world(LOADS_AT_ONCE=1)
    loads.spawn("b", 1, 4.0, release=False)
    await world.advance(0.5)
    world.kill("b")
    waiting = loads.spawn("a", 2, 0.1)
    await world.advance(5)
    assert not waiting.done()
    await world.advance(4)
    assert waiting.done() and loads.max_running == 1


async def test_change_of_holder_waits_for_unknown_permits():
    """Guards against too many loads after a change of holder.

    The holder dies with two loads running that its successor does not know of. With
    two more permits at once, four loads would run at the weight store.
    """
    world, loads = await _world("abc")
    for number in range(2):
        loads.spawn("b", number, 4.9)
    await world.advance(0.5)
    world.kill("a")
    world.assign("c", ALLOWANCE, stopped=True)
    later = [loads.spawn("b", 10 + n, 0.3) for n in range(6)]
    await world.advance(30)
    assert all(task.done() for task in later)
    assert loads.max_running == 2 and loads.max_starts_in(1.0) <= 6


async def test_two_unproved_holders_share_the_allowance():
    """A holder is cut off from the store, and a successor took over without proof.

    Both issue permits, each half of them, so that together they keep to the whole.
    """
    world, loads = await _world("ab")
    world.assign("b", ALLOWANCE, old_right=OrderRight.DEGRADED)
    await world.advance(10)
    for number in range(12):
        world.records[ALLOWANCE] = world.records[ALLOWANCE]._replace(
            vm="ab"[number % 2]
        )
        loads.spawn("b", number, 0.4)
        await world.advance(0.05)
    await world.advance(20)
    assert loads.running == 0 and len(loads.started) == 12
    assert loads.max_running == 2 and loads.max_starts_in(1.0) <= 6


async def test_frozen_holder_issues_no_permit_when_it_wakes():
    """A holder freezes while requests wait and wakes after its successor started."""
    world, loads = await _world("ab", LOADS_AT_ONCE=1)
    loads.spawn("b", 1, 3.0)
    await world.advance(0.5)
    waiting = loads.spawn("b", 2, 1.0)
    await world.advance(0.5)
    world.freeze("a")
    world.assign("b", ALLOWANCE, stopped=True)
    await world.advance(20)
    await world.thaw("a")
    await world.advance(1)
    assert waiting.result().is_err() and loads.max_running == 1


async def test_permit_that_would_come_too_late_is_refused_at_once():
    world, loads = await _world(LOADS_PER_S=1.0, LOADS_AT_ONCE=1)
    for number in range(5):
        loads.spawn("a", number, 0.5)
    await world.advance(0.1)
    refused = loads.spawn("a", 9, 0.5, wait_s=1.0)
    await world.advance(0.1)
    failure = refused.result().unwrap_err()
    assert failure.kind is ErrorKind.OVERLOADED and failure.retry_after_s > 1.0


async def test_load_order_decides_who_goes_next():
    world, loads = await _world(LOADS_AT_ONCE=1)
    loads.spawn("a", 0, 1.0)
    await world.advance(0.1)
    loads.spawn("a", 1, 0.1)
    loads.spawn("a", 2, 0.1, priority=5)
    await world.advance(5)
    assert [number for _, number in loads.started] == [0, 2, 1]


async def test_nobody_holds_the_allowance():
    world = World("a")
    permit = await _LoadRecorder(world).run("a", 1, 0.1)
    assert permit.unwrap_err().kind is ErrorKind.NO_GRANT
