"""Faults of the long run's network: cuts and connections that go silent."""

import asyncio

from .soak_faults import World, fault
from .soak_links import Link


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
