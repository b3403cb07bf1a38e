"""Faults of gateway processes: killed, frozen, stopped, reloaded, and in series.

A fault counts itself once it was injected and notes in the journal what it hurts and
for how long; ``vm_fault`` and ``target_fault`` do both for one VM or target. A fault
that waits for something to hurt, and met nothing, returns False and doesn't count::

    @vm_fault("vm-frozen")
    async def vm_frozen(world, vm): ...
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from contextlib import ExitStack, nullcontext

from hawthornlead.gateway.ownerships import OWNERS_KIND

from .soak_decks import Deck
from .soak_gateway_world import GatewayWorld
from .standins.restarting_engine import RestartingTarget

VmFault = Callable[[GatewayWorld, str], Awaitable[bool | None]]
TargetFault = Callable[[GatewayWorld, RestartingTarget], Awaitable[bool | None]]

GATEWAY_DECK = Deck()
fault = GATEWAY_DECK.fault

# Another VM may order what an owner ordered when it has seen its lease unrenewed for
# 15.5 s, and looks for the first time some seconds after the owner is gone.
PAST_LEASE_S = 22.0
ASKED_S = 0.8


def vm_fault(
    name: str,
    often: int = 1,
    first: bool = False,
    choose: Callable[[GatewayWorld], str | None] = lambda world: "",
    linked: bool = False,
):
    """Enter a fault of one VM, which no other fault of a VM works on meanwhile."""

    def enter(function: VmFault):
        @fault(name, often, first)
        async def run(world: GatewayWorld) -> None:
            wanted = choose(world)
            if wanted is None:
                return
            with world.own_vm(wanted, linked) as vm:
                if vm is None:
                    return
                with world.journal.trouble(name, vm):
                    met = await function(world, vm)
                world.injected[name] += met is not False

        return function

    return enter


def target_fault(
    name: str, often: int = 1, model: bool | None = None, hurts: bool = True
):
    """Enter a fault of one target; without ``hurts`` it notes its trouble itself."""

    def enter(function: TargetFault):
        @fault(name, often)
        async def run(world: GatewayWorld) -> None:
            with world.own_target(model) as target:
                if target is None:
                    return
                noted = world.journal.trouble(name, target.target)
                with noted if hurts else nullcontext():
                    met = await function(world, target)
                world.injected[name] += met is not False

        return function

    return enter


async def _kill(world: GatewayWorld, vm: str, rest_s: float) -> None:
    await world.fleet.kill_vm(vm)
    await asyncio.sleep(rest_s)
    await world.fleet.start_vm(vm)


async def _freeze(world: GatewayWorld, vm: str, hold_s: float) -> None:
    world.fleet.signal_vm(vm, signal.SIGSTOP)
    try:
        await asyncio.sleep(hold_s)
    finally:
        world.fleet.signal_vm(vm, signal.SIGCONT)


async def terminated(world: GatewayWorld, vm: str) -> None:
    """Stop a VM as planned work does, and start it again."""
    with world.asked(vm):
        # So that streams are under way, and more requests come until it is gone.
        await asyncio.sleep(ASKED_S)
        with world.journal.trouble("vm-terminated", vm, planned=True):
            await world.fleet.terminate_vm(vm)
            await world.fleet.start_vm(vm)


@vm_fault("vm-killed", often=2)
async def vm_killed(world: GatewayWorld, vm: str) -> None:
    """A VM is gone at once; a new process takes its name later."""
    await _kill(world, vm, world.rng.choice((0.1, 1.0, 4.0)))


@vm_fault("vm-killed-in-series")
async def vm_killed_in_series(world: GatewayWorld, vm: str) -> None:
    """A VM is killed again and again, soon after it came back."""
    for _ in range(3):
        await _kill(world, vm, 0.2)
        await asyncio.sleep(world.rng.uniform(0.5, 2.0))


@vm_fault("last-writer-killed", choose=lambda world: world.fleet.store.last_writer)
async def last_writer_killed(world: GatewayWorld, vm: str) -> None:
    """The VM that last wrote to the store under a condition is killed."""
    await _kill(world, vm, 1.0)


@vm_fault("killed-after-configuration")
async def killed_after_configuration(world: GatewayWorld, vm: str) -> None:
    """A VM is killed right after a configuration was acknowledged."""
    world.configure()
    await _kill(world, vm, 0.3)


@fault("all-vms-killed")
async def all_vms_killed(world: GatewayWorld) -> None:
    """All VMs are killed at the same moment, engines live on."""
    world.injected["all-vms-killed"] += 1
    await kill_all(world, "all-vms-killed")


async def kill_all(world: GatewayWorld, name: str, times: int = 1) -> None:
    """Kill all VMs that no other fault works on, several times in series."""
    with ExitStack() as taken:
        vms = [vm for vm in sorted(world.fleet.vms) if not world.taken(vm)]
        for vm in vms:
            taken.enter_context(world.taking(vm))
        for _ in range(times):
            with world.journal.trouble(name, *vms):
                await asyncio.gather(*(_kill(world, vm, 0.3) for vm in vms))
            await asyncio.sleep(world.rng.uniform(0.5, 4.0))


@vm_fault("vm-frozen", often=2)
async def vm_frozen(world: GatewayWorld, vm: str) -> None:
    """A VM stands still for less, or for more, than others wait for it."""
    await _freeze(world, vm, world.rng.choice((0.3, 1.5, 5.0)))


def an_owner(world: GatewayWorld) -> str | None:
    """Choose a VM that may order some engine, None if none is free."""
    store = world.fleet.store
    records = [store.spec(OWNERS_KIND, name) for name in store.names(OWNERS_KIND)]
    owners = {str(spec.get("vm")) for spec in records if isinstance(spec, dict)}
    free = sorted(vm for vm in owners & set(world.fleet.linked) if not world.taken(vm))
    return world.rng.choice(free) if free else None


@vm_fault("owner-frozen-past-its-lease", first=True, choose=an_owner)
async def owner_frozen_past_its_lease(world: GatewayWorld, vm: str) -> None:
    """A VM that orders engines freezes until the lease has run out.

    Callers go on to ask it, so that it has something to order as it thaws.
    """
    with world.asked(vm):
        await _freeze(world, vm, PAST_LEASE_S)
        await asyncio.sleep(1.0)


@vm_fault("owner-cut-off-past-its-lease", first=True, choose=an_owner, linked=True)
async def owner_cut_off_past_its_lease(world: GatewayWorld, vm: str) -> None:
    """A VM that orders engines hears neither store nor VMs until its lease ran out.

    It reaches its engines, and callers go on to ask it: it must stop ordering before
    another VM begins to.
    """
    paths = world.fleet.paths_between(vm)
    with world.asked(vm):
        for path in paths:
            path.cut()
        await asyncio.sleep(PAST_LEASE_S)
        for path in paths:
            path.mend()


@fault("vm-terminated", often=2)
async def vm_terminated(world: GatewayWorld) -> None:
    """A VM is asked to stop, and a new process takes its name."""
    await _terminated_if_free(world, "")


async def _terminated_if_free(world: GatewayWorld, vm: str) -> None:
    with world.own_vm(vm) as own:
        if own is not None:
            world.injected["vm-terminated"] += 1
            await terminated(world, own)


@fault("vms-terminated-in-turn", first=True)
async def vms_terminated_in_turn(world: GatewayWorld) -> None:
    """VM after VM is asked to stop, the next before the last is back."""
    vms = world.any_vms(3)
    world.injected["vms-terminated-in-turn"] += bool(vms)
    stopping = []
    for vm in vms:
        stopping.append(asyncio.create_task(_terminated_if_free(world, vm)))
        await asyncio.sleep(world.rng.uniform(0.5, 3.0))
    await asyncio.gather(*stopping)


@fault("vms-reload")
async def vms_reload(world: GatewayWorld) -> None:
    """Settings files change, and SIGHUP says so, several times in a row."""
    vms = world.any_vms(3)
    world.injected["vms-reload"] += bool(vms)
    for vm in vms * 2:
        with world.journal.trouble("vms-reload", vm, planned=True):
            world.fleet.write_settings(vm)
            world.fleet.signal_vm(vm, signal.SIGHUP)
            await asyncio.sleep(0.2)
