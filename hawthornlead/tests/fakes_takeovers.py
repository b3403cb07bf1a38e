"""Initial situations shared by several tests of a target's owners."""

import asyncio

from hawthornlead.engines.targets import Order

from .fakes_worlds import ALLOWANCE, World


async def owned_world(*args, **settings):
    """Return a world in which VM ``a`` owns the target and the allowance."""
    world = World(*args, **settings)
    world.assign("a", ALLOWANCE)
    world.assign("a")
    await world.advance(1.0)
    return world


async def streaming(world, vm="b", adapter="tide", request_id="r1"):
    """Let ``vm`` run a stream on the target."""
    grant = (await world.acquired(vm, adapter)).unwrap()
    assert world.send(vm, grant, adapter, request_id)
    return grant


async def freeze_at(world, place):
    """Freeze owner ``a`` in an eviction and let ``c`` succeed it.

    ``place`` names the point of the client at which it freezes. The returned event
    wakes it.
    """
    woken = asyncio.Event()

    async def freeze(op):
        if op is Order.EVICT:
            await woken.wait()

    setattr(world.vms["a"].client, place, freeze)
    world.acquire("a", "lap", wait_s=100)
    await world.advance(1)
    world.freeze("a")
    world.assign("c", ALLOWANCE, stopped=True)
    world.assign("c", stopped=True)
    return woken


def evictions(world):
    """Return the evictions that the engine was ordered."""
    return [order for order in world.engine.orders if order[0] is Order.EVICT]
