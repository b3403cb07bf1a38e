"""Tests of owners, slots and grants together, checked by the stand-ins' records."""

import pytest

from hawthornlead.timers import ManualTimerService

from .fakes_joined import Fleet
from .fakes_worlds import ALLOWANCE
from .standins.engine import EngineStandIn
from .standins.weight_store import WeightStoreStandIn


@pytest.fixture
async def build():
    """Build a fleet, and stop it at the end."""
    started = []

    async def make(names=("engine",), *, weights=None, settings=(), **faults):
        timers = ManualTimerService()
        store = None
        if weights is not None:
            store = WeightStoreStandIn(name="weights", timers=timers, **weights)
            faults["weight_store"] = await store.start()
            started.append(store)
        engines = {}
        for name in names:
            engines[name] = EngineStandIn(
                name=name, timers=timers, token_s=0.05, **faults
            )
            await engines[name].start()
            started.append(engines[name])
        fleet = Fleet(timers, engines, store, **dict(settings))
        started.append(fleet)
        await fleet.until(lambda: fleet.owner(ALLOWANCE) is not None)
        for name in names:
            await fleet.until(lambda n=name: fleet.owner(f"target:{n}") is not None)
        return fleet

    yield make
    for part in reversed(started):
        await part.stop()


async def _resident(fleet, adapter="tide"):
    """Let an adapter be loaded and its grant be released again."""
    request = fleet.acquire(fleet.others()[0], adapter)
    await fleet.until(request.done)
    assert request.result().is_ok()
    del request
    await fleet.advance(8)


@pytest.mark.parametrize("fencing", [True, False])
async def test_owner_killed_with_grants_out(build, fencing):
    """Guards against an eviction under grants that the successor does not know.

    An owner is killed while a VM streams and holds grants, and a load waits. The
    adapter is not evicted under the stream, nor under a request that starts at the end
    of its grant. The load is done when both have ended.
    """
    fleet = await build(fencing=fencing, slots=1)
    owner, (holder, other) = fleet.owner(), fleet.others()
    request = fleet.acquire(holder, "tide")
    late = fleet.acquire(holder, "tide")
    await fleet.until(lambda: request.done() and late.done())
    stream = fleet.send(holder, request.result().unwrap(), "tide", "r1", 500)
    await fleet.advance(1)
    await fleet.kill(owner)
    await fleet.until(lambda: fleet.owner() is not None)
    pending = fleet.acquire(other, "lap")
    last_grant = late.result().unwrap()
    await fleet.until(lambda: holder.timers.now() > last_grant.ends_at - 0.25)
    second = fleet.send(holder, last_grant, "tide", "r2", 300)
    await fleet.until(lambda: stream.done() and second.done())
    fleet.check()
    for _ in range(5):
        await fleet.until(pending.done)
        if pending.result().is_ok():
            break
        pending = fleet.acquire(other, "lap")
    assert pending.result().is_ok()
    fleet.check()
    outcomes = {run["id"]: run["outcome"] for run in fleet.engine.record()["runs"]}
    assert outcomes == {"r1": "done", "r2": "done"}


@pytest.mark.parametrize("fencing", [True, False])
@pytest.mark.parametrize("loss", ["killed", "shut down"])
async def test_eviction_under_way_when_its_owner_goes(build, fencing, loss):
    """Guards against an eviction of a former owner that hits requests.

    The target carries out an eviction seven seconds late. Meanwhile its owner is killed
    or shuts down, and the successor may take over at once. Requests need the adapter,
    which the target still reports as resident.
    """
    fleet = await build(fencing=fencing, slots=1)
    owner, (holder, _) = fleet.owner(), fleet.others()
    await _resident(fleet)
    fleet.engine.set_faults(order_delay_s=7.0)
    pending = fleet.acquire(owner, "lap")
    orders = fleet.engine.book.orders
    await fleet.until(lambda: orders and orders[-1]["op"] == "evict")
    eviction = orders[-1]
    fleet.engine.set_faults(order_delay_s=0.0)
    if loss == "killed":
        await fleet.kill(owner)
    else:
        await fleet.shut_down(owner)
    pending.cancel()
    streams = []
    for number in range(60):
        if "ended" in eviction:
            break
        request = fleet.acquire(holder, "tide", 2.0, load=False)
        await fleet.until(request.done)
        if request.result().is_err():
            await fleet.advance(0.5)
            continue
        grant = request.result().ok_value
        streams.append(fleet.send(holder, grant, "tide", f"r{number}", 100))
        await fleet.advance(2)
    await fleet.until(lambda: all(stream.done() for stream in streams))
    assert "ended" in eviction
    fleet.check()


async def test_allowance_through_a_change_of_its_holder(build):
    """Guards against too many loads after a change of the allowance's holder.

    The holder is killed with loads under way that its successor does not know of. By
    the weight store's record neither the concurrent loads nor the rate exceed the
    allowance, and in the end all adapters are loaded.
    """
    settings = {"LOADS_PER_S": 1.0, "LOADS_AT_ONCE": 2, "LOAD_S": 8.0}
    # Each hop may shift a start by one step of the manual clocks.
    weights = {"load_s": 5.0, "loads_per_s": 1.0, "at_once": 2, "slack_s": 0.25}
    names = ("engine-1", "engine-2", "engine-3")
    fleet = await build(
        names, weights=weights, settings=settings, fencing=True, slots=8
    )
    holder = fleet.owner(ALLOWANCE)
    requester = [vm for vm in fleet.vms.values() if vm is not holder][0]
    pending = {(name, f"adapter-{n}") for name in names for n in range(2)}
    tasks = {}

    def request_missing():
        for target, adapter in pending:
            task = tasks.get((target, adapter))
            if task is None or (task.done() and task.result().is_err()):
                tasks[target, adapter] = fleet.acquire(requester, adapter, 15.0, target)

    request_missing()
    await fleet.until(lambda: fleet.weights.open == 2)
    await fleet.kill(holder)
    for _ in range(120):
        await fleet.advance(1)
        request_missing()
        if all(task.done() and task.result().is_ok() for task in tasks.values()):
            break
    record = fleet.weights.record()
    assert all(task.done() and task.result().is_ok() for task in tasks.values())
    assert record["over_concurrency"] == 0 and record["most_at_once"] == 2
    assert record["over_rate"] == 0
    fleet.check()
