"""Tests of how long an owner lets a request wait for a slot, and of loads ahead."""

from hawthornlead.errors import ErrorKind
from hawthornlead.messages import AcquireLoad

from .fakes_worlds import ALLOWANCE, Assigned, World


async def _world(**settings):
    world = World("ab", **settings)
    world.give("a", ALLOWANCE)
    world.give("a")
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
    """The one slot streams for a minute while other targets have room.

    An owner that let the request wait till its deadline would keep it from them.
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


async def test_a_quiet_slot_under_a_grant_counts_as_room():
    world = await _world()
    grant = await _streaming(world)
    world.engine.end("r1")
    grant.finish("r1", ended=True)
    await world.advance(1.0)
    asked = _acquire(world, "a", "lap", slot_wait_s=0.0)
    await world.advance(2.0)
    assert asked.result().is_ok()


async def test_a_load_ahead_asks_no_grant_back():
    """A second copy is wanted while the only slot serves.

    Nobody waits for the copy, so no request may lose its grant for it.
    """
    world = await _world()
    await _streaming(world)
    prefetched = _acquire(world, "a", "lap", prefetch=True)
    await world.advance(1.0)
    assert prefetched.result().unwrap_err().kind is ErrorKind.NO_SLOT
    assert (await world.acquired("b", "tide", wait_s=1.0)).is_ok()


async def test_no_load_ahead_takes_a_free_slot_in_a_store_outage():
    """In a store outage requests for cold adapters are refused, though slots were free.

    A hot adapter was given spare copies during the outage. They filled the free
    slots, and an owner whose lease ran out evicts nothing.
    """
    world = await _world(slots=2)
    await _streaming(world)
    world.degrade("a", ALLOWANCE)
    world.degrade("a")
    prefetched = _acquire(world, "a", "buoy", prefetch=True)
    await world.advance(1.0)
    assert prefetched.result().unwrap_err().kind is ErrorKind.NO_SLOT
    wanted = _acquire(world, "a", "lap")
    await world.advance(3.0)
    assert wanted.result().is_ok()


async def test_a_full_target_refuses_soon_in_a_store_outage():
    """A caller is told only at its deadline that its cold adapter has no slot.

    All slots are taken when the store goes out. Its owner evicts nothing from then
    on, so that no wait could have helped, and let the request wait all the same.
    """
    world = await _world()
    await _streaming(world)
    world.degrade("a", ALLOWANCE)
    world.degrade("a")
    wanted = _acquire(world, "a", "lap")
    await world.advance(3.0)
    assert not wanted.done()
    await world.advance(3.0)
    refused = wanted.result().unwrap_err()
    assert refused.kind is ErrorKind.NO_SLOT
    assert refused.retry_after_s >= 10


async def test_a_request_that_joins_a_load_ahead_does_not_stand_last():
    """A load ahead waits for leave, a request joins it, and others keep coming.

    Were the load still sorted as one that nobody waits for, all later ones would
    go before it. It asks anew, with the number of its requests.
    """
    world = await _world(LOADS_PER_S=0.4, LOADS_AT_ONCE=1)
    world.engine.slots = 2
    told = []
    allowances = world.vms["a"].allowances

    async def note(sender, ask: AcquireLoad):
        told.append((ask.adapter, ask.waiting))
        return await allowances._on_acquire(sender, ask)

    world.vms["a"].mesh.on(AcquireLoad, note)
    (await world.acquired("b", "tide")).unwrap()
    await world.advance(0.6)
    prefetched = _acquire(world, "a", "lap", prefetch=True)
    await world.advance(0.1)
    joined = _acquire(world, "b", "lap")
    await world.advance(3.0)
    assert joined.result().is_ok() and prefetched.done()
    assert told == [("tide", 1), ("lap", 0), ("lap", 1)]


async def test_states_tell_loads_that_wait_for_leave():
    """Two VMs miss the same adapter while the weight store is busy.

    Were the first load told only once it runs, the second VM would place another.
    """
    world = await _world(LOADS_PER_S=0.4, LOADS_AT_ONCE=1)
    world.engine.slots = 2
    (await world.acquired("b", "tide")).unwrap()
    await world.advance(0.6)
    _acquire(world, "b", "lap")
    await world.advance(0.2)
    told = world.vms["a"].targets.targets["engine"].state(0).residents
    assert ("lap", "1", 0, True) in told and len(told) == 2


async def test_a_one_off_under_an_idle_grant_goes_before_a_hot_adapter():
    """A one-off has just ended; its grant is kept for some seconds more.

    Were only slots without grants weighed, the hot adapter would be evicted, which
    nobody has asked for in the last seconds, and its next requests wait for a load.
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
