"""Tests of how long an owner lets a request wait for a slot, and of prefetches."""

from hawthornlead.errors import ErrorKind
from hawthornlead.messages import AcquireLoad

from .fakes_worlds import ALLOWANCE, Assigned, World


async def _world(**settings):
    world = World("ab", **settings)
    world.assign("a", ALLOWANCE)
    world.assign("a")
    await world.advance(1.0)
    return world


def _acquire(world, vm, adapter, **options):
    grants = world.vms[vm].grants
    return world.spawn(grants.acquire("engine", Assigned(adapter), 60.0, **options))


async def _streaming(world):
    grant = (await world.acquired("b", "tide")).unwrap()
    assert world.send("b", grant, "tide", "r1")
    await world.advance(1.0)
    return grant


async def test_refused_at_once_or_soon_while_all_slots_stream():
    """Guards against a request that waits at a full target until its deadline.

    The only slot runs a long stream while other targets have free slots.
    """
    world = await _world()
    await _streaming(world)
    at_once = _acquire(world, "a", "lap", slot_wait_s=0.0)
    soon = _acquire(world, "a", "buoy", slot_wait_s=0.5)
    await world.advance(0.1)
    assert at_once.result().unwrap_err().kind is ErrorKind.NO_SLOT
    assert not soon.done()
    await world.advance(1.5)
    assert soon.result().unwrap_err().kind is ErrorKind.NO_SLOT


async def test_an_idle_slot_under_a_grant_counts_as_free():
    world = await _world()
    grant = await _streaming(world)
    world.engine.end("r1")
    grant.finish("r1", ended=True)
    await world.advance(1.0)
    request = _acquire(world, "a", "lap", slot_wait_s=0.0)
    await world.advance(2.0)
    assert request.result().is_ok()


async def test_a_prefetch_revokes_no_grant():
    """A second copy is prefetched while the only slot is in use.

    No request waits for the copy, so none may lose its grant for it.
    """
    world = await _world()
    await _streaming(world)
    prefetched = _acquire(world, "a", "lap", prefetch=True)
    await world.advance(1.0)
    assert prefetched.result().unwrap_err().kind is ErrorKind.NO_SLOT
    assert (await world.acquired("b", "tide", wait_s=1.0)).is_ok()


async def test_no_prefetch_uses_a_free_slot_in_a_store_outage():
    """Guards against refusals of cold adapters in a store outage.

    If extra copies of a hot adapter filled the free slots during the outage, no other
    adapter would get one: an owner whose lease has lapsed evicts nothing.
    """
    world = await _world(slots=2)
    await _streaming(world)
    world.degrade("a", ALLOWANCE)
    world.degrade("a")
    prefetched = _acquire(world, "a", "buoy", prefetch=True)
    await world.advance(1.0)
    assert prefetched.result().unwrap_err().kind is ErrorKind.NO_SLOT
    pending = _acquire(world, "a", "lap")
    await world.advance(3.0)
    assert pending.result().is_ok()


async def test_a_full_target_refuses_soon_in_a_store_outage():
    """Guards against a useless wait until the deadline in a store outage.

    All slots are in use when the outage starts, and the owner evicts nothing from then
    on, so no wait for a slot can help.
    """
    world = await _world()
    await _streaming(world)
    world.degrade("a", ALLOWANCE)
    world.degrade("a")
    pending = _acquire(world, "a", "lap")
    await world.advance(3.0)
    assert not pending.done()
    await world.advance(3.0)
    refused = pending.result().unwrap_err()
    assert refused.kind is ErrorKind.NO_SLOT
    assert refused.retry_after_s >= 10


async def test_a_request_that_joins_a_prefetch_is_not_sorted_last():
    """Guards against a load that stays last although a request waits for it.

    A request joins a prefetch that waits for its permit, while other loads keep coming.
    The load requests its permit again with the number of its requests.
    """
    world = await _world(LOADS_PER_S=0.4, LOADS_AT_ONCE=1)
    world.engine.slots = 2
    permit_requests = []
    allowances = world.vms["a"].allowances

    async def record(sender, message: AcquireLoad):
        permit_requests.append((message.adapter, message.waiting))
        return await allowances._on_acquire(sender, message)

    world.vms["a"].mesh.on(AcquireLoad, record)
    (await world.acquired("b", "tide")).unwrap()
    await world.advance(0.6)
    prefetched = _acquire(world, "a", "lap", prefetch=True)
    await world.advance(0.1)
    joined = _acquire(world, "b", "lap")
    await world.advance(3.0)
    assert joined.result().is_ok() and prefetched.done()
    assert permit_requests == [("tide", 1), ("lap", 0), ("lap", 1)]


async def test_states_announce_loads_that_wait_for_a_permit():
    """Guards against two loads of one adapter on different targets.

    Two VMs need the same adapter while the weight store is busy. If the first load
    were announced only when it runs, the second VM would place another.
    """
    world = await _world(LOADS_PER_S=0.4, LOADS_AT_ONCE=1)
    world.engine.slots = 2
    (await world.acquired("b", "tide")).unwrap()
    await world.advance(0.6)
    _acquire(world, "b", "lap")
    await world.advance(0.2)
    permit_requests = world.vms["a"].targets.targets["engine"].state(0).residents
    assert ("lap", "1", 0, True) in permit_requests and len(permit_requests) == 2


async def test_an_adapter_used_once_is_evicted_before_a_hot_one():
    """Guards against the eviction of a hot adapter in place of one used once.

    The request for the other adapter has just ended, and its grant is kept for some
    seconds. The hot adapter had no request in the last seconds and has no grant. If
    only slots without grants were considered, the hot one would be evicted.
    """
    world = await _world()
    world.engine.slots = 2
    for number in range(8):
        grant = (await world.acquired("b", "hot")).unwrap()
        assert world.send("b", grant, "hot", f"r{number}")
        world.engine.end(f"r{number}")
        grant.finish(f"r{number}", ended=True)
        await world.advance(8.0)
    once = (await world.acquired("b", "once")).unwrap()
    assert world.send("b", once, "once", "r-once")
    world.engine.end("r-once")
    once.finish("r-once", ended=True)
    await world.advance(1.0)
    assert (await world.acquired("b", "lap")).is_ok()
    residents = {key.adapter for key in world.engine.residents}
    assert residents == {"hot", "lap"} and world.engine.violations == []
