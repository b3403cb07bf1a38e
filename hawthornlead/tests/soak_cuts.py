"""Faults of the long run's network: cuts and connections that go silent."""

import asyncio

from .soak_faults import World, fault
from .soak_links import Link

# Longer than DOUBT_S, ISOLATION_S and a lease after the roll has ended.
MISSED_S = 5.0
SLOW_S = 3.0


async def cut(world: World, links: list[Link]) -> None:
    """Cut links for a while that is shorter or longer than a lease."""
    for link in links:
        link.cut()
    try:
        await asyncio.sleep(world.rng.choice((0.8, 2.0, 5.0, 8.0)))
    finally:
        for link in links:
            link.mend()


@fault("vm-cut-from-store")
async def vm_cut_from_store(world: World) -> None:
    """A VM hears its peers but not the store."""
    with world.own_vm() as vm:
        if vm is None:
            return
        world.injected["vm-cut-from-store"] += 1
        await cut(world, [world.network.stores[vm]])


@fault("vm-cut-from-peers")
async def vm_cut_from_peers(world: World) -> None:
    """A VM hears the store but no other VM."""
    with world.own_vm() as vm:
        if vm is None:
            return
        world.injected["vm-cut-from-peers"] += 1
        await cut(world, world.network.around(vm))


@fault("vm-cut-from-all")
async def vm_cut_from_all(world: World) -> None:
    """A VM hears neither store nor peers, but its callers and targets."""
    with world.own_vm() as vm:
        if vm is None:
            return
        world.injected["vm-cut-from-all"] += 1
        await cut(world, [world.network.stores[vm], *world.network.around(vm)])


@fault("cut-vm-misses-roll")
async def cut_vm_misses_roll(world: World) -> None:
    """A VM is cut off in the middle of a roll, and callers go on to ask it."""
    with world.own_vm() as vm:
        if vm is None:
            return
        links = [world.network.stores[vm], *world.network.around(vm)]
        rolling, asking = await _rolled_slowly(world, vm)
        world.injected["cut-vm-misses-roll"] += 1
        for link in links:
            link.cut()
        try:
            await rolling
            await asyncio.sleep(MISSED_S)
        finally:
            for link in links:
                link.mend()
            asking.cancel()


@fault("frozen-vm-misses-roll")
async def frozen_vm_misses_roll(world: World) -> None:
    """A VM is frozen in the middle of a roll; requests wait for it as it wakes."""
    with world.own_vm() as vm:
        if vm is None:
            return
        rolling, asking = await _rolled_slowly(world, vm)
        world.injected["frozen-vm-misses-roll"] += 1
        with world.frozen(vm):
            await rolling
            await asyncio.sleep(MISSED_S)
        await asyncio.sleep(1.0)
        asking.cancel()


async def _rolled_slowly(world: World, vm: str) -> tuple[asyncio.Task, asyncio.Task]:
    """Begin a roll and return within it, at best between its word and its decision.

    The store is slow meanwhile, so that the decision takes its time.
    """
    digest = await world.made()
    expected = await world.seq_in_force()
    asking = world.keep_asking(vm)

    async def roll() -> None:
        slow = asyncio.create_task(world.held("store", SLOW_S, slow_s=0.3))
        await world.rolled(digest, 0, expected)
        await slow

    rolling = asyncio.create_task(roll())
    await asyncio.sleep(world.rng.uniform(0.8, 2.0))
    return rolling, asking


@fault("two-vms-cut")
async def two_vms_cut(world: World) -> None:
    """Two VMs don't hear one another, all others hear both."""
    pair = world.rng.choice(sorted(world.network.peers))
    world.injected["two-vms-cut"] += 1
    await cut(world, world.network.between(*pair))


@fault("peer-connections-silent")
async def peer_connections_silent(world: World) -> None:
    """The connections between two VMs go silent for good; new ones work."""
    pair = world.rng.choice(sorted(world.network.peers))
    world.injected["peer-connections-silent"] += 1
    for link in world.network.between(*pair):
        link.hush()


@fault("store-connections-silent")
async def store_connections_silent(world: World) -> None:
    """A VM's connections to the store go silent for good; new ones work."""
    vm = world.rng.choice(sorted(world.network.stores))
    world.injected["store-connections-silent"] += 1
    world.network.stores[vm].hush()
