"""The events of a run: a seeded series, in which several go on at a time.

Each event is entered under its name by ``@event`` and plays until it is over.
"""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from loguru import logger

from .records import Leaving, Trouble
from .worlds import SERVICES, World

# An event begins each so many seconds.
PAUSES_S = (0.1, 0.4)
# VMs and store stay undisturbed for so long before and after a target leaves.
CALM_BEFORE_S = 3.2
SERVES_ON_S = 4.5
# More targets than there are.
ALL = 100
MOST_BUSY_VMS = 0.5


class Event(NamedTuple):
    """A kind of event: what it disturbs, how many go on at most, how it is played.

    None begins that would last for ``lasts_s`` beyond the end of the run.
    """

    kind: str
    most: int
    lasts_s: float
    play: Callable[["Stage"], Awaitable[None]]


EVENTS: dict[str, Event] = {}


def event(name: str, kind: str, most: int = 1, lasts_s: float = 4.0):
    """Enter an event under a name."""

    def enter(play):
        EVENTS[name] = Event(kind, most, lasts_s, play)
        return play

    return enter


class Stage:
    """What the events of a run share: which VMs and targets are taken by one."""

    def __init__(self, world: World):
        self.world = world
        self.rng = world.rng
        self.busy: set[str] = set()
        self.calm = False

    def take_vms(self) -> list:
        """Return one or some VMs that no event has; at most half of all at a time."""
        vms = self.world.vms
        free = [vm for vm in vms if vm.name not in self.busy]
        room = int(len(vms) * MOST_BUSY_VMS) - (len(vms) - len(free))
        if room <= 0:
            return []
        count = room if self.rng.random() < 0.4 else 1
        taken = self.rng.sample(free, min(count, len(free)))
        self.busy |= {vm.name for vm in taken}
        return taken

    def take_targets(self, most: int = 1, service: str = "") -> list:
        """Return targets that serve and that no event has, of a service or of all."""
        free = [
            each
            for each in self.world.targets
            if each.name not in self.busy
            and not each.left
            and service in ("", each.service)
        ]
        taken = self.rng.sample(free, min(most, len(free)))
        self.busy |= {each.name for each in taken}
        return taken

    def give_back(self, taken: list) -> None:
        """Let other events have what this one took."""
        self.busy -= {each.name for each in taken}


async def play_events(world: World, kinds: list[str], until: float) -> None:
    """Play the series of events; those that go on at the end end themselves."""
    stage = Stage(world)
    running: dict[str, list[asyncio.Task]] = {name: [] for name in kinds}
    while time.monotonic() < until:
        await asyncio.sleep(stage.rng.uniform(*PAUSES_S))
        for name, tasks in running.items():
            running[name] = [each for each in tasks if not each.done()]
        left_s = until - time.monotonic()
        may = [
            name
            for name in kinds
            if len(running[name]) < EVENTS[name].most and EVENTS[name].lasts_s < left_s
        ]
        if stage.calm:
            may = [name for name in may if EVENTS[name].kind not in ("vm", "store")]
        if may:
            name = stage.rng.choice(may)
            logger.debug("event {}", name)
            task = asyncio.create_task(EVENTS[name].play(stage))
            running[name].append(task)
    await asyncio.gather(*[task for tasks in running.values() for task in tasks])


# Targets


async def _with_faults(
    stage: Stage, name: str, apply, most: int = 4, service: str = ""
) -> None:
    """Set faults of some targets for some seconds."""
    taken = stage.take_targets(most, service)
    since = time.monotonic()
    for target in taken:
        apply(target, stage.rng)
    await asyncio.sleep(stage.rng.uniform(2.0, 4.0))
    for target in taken:
        target.faults.cut = target.faults.copy = 0.0
        target.failing = target.refusing = 0.0
        stage.world.record_trouble(since, "target", target.name, name)
    stage.give_back(taken)


@event("responses-cut", "target", most=3)
async def responses_cut(stage: Stage) -> None:
    """Targets cut responses at any byte, and go on in one way or another."""

    def apply(target, rng):
        target.faults.cut = rng.choice((0.15, 0.4))

    await _with_faults(stage, "responses-cut", apply)


@event("responses-repeated", "target", most=3)
async def responses_repeated(stage: Stage) -> None:
    """Targets send responses a second time, late or at once, whole or cut."""

    def apply(target, rng):
        target.faults.copy = rng.choice((0.2, 0.5))
        target.refusing = rng.choice((0.0, 0.2))

    await _with_faults(stage, "responses-repeated", apply)


@event("responses-cut-and-repeated", "target")
async def responses_cut_and_repeated(stage: Stage) -> None:
    """Both together, beside failures."""

    def apply(target, rng):
        target.faults.cut = target.faults.copy = 0.2
        target.failing = target.refusing = 0.1

    await _with_faults(stage, "responses-cut-and-repeated", apply)


@event("targets-fail", "target")
async def targets_fail(stage: Stage) -> None:
    """Targets run requests and answer them with failures."""

    def apply(target, rng):
        target.failing = rng.choice((0.2, 0.6))

    await _with_faults(stage, "targets-fail", apply)


@event("targets-refuse", "target")
async def targets_refuse(stage: Stage) -> None:
    """Targets refuse requests unrun."""

    def apply(target, rng):
        target.refusing = rng.choice((0.2, 0.8))

    await _with_faults(stage, "targets-refuse", apply, stage.rng.choice((4, 9)))


@event("service-in-trouble", "target")
async def service_in_trouble(stage: Stage) -> None:
    """All targets of a service cut responses and refuse most requests.

    A request that ran and whose response was lost is then refused everywhere else.
    """

    def apply(target, rng):
        target.faults.cut = 0.4
        target.refusing = 0.6

    service = stage.rng.choice(SERVICES)
    await _with_faults(stage, "service-in-trouble", apply, ALL, service)


@event("target-pauses", "target", most=2)
async def target_pauses(stage: Stage) -> None:
    """A target stands still for a second."""
    taken = stage.take_targets()
    since = time.monotonic()
    for target in taken:
        target.awake.clear()
    await asyncio.sleep(1.0)
    for target in taken:
        target.awake.set()
        stage.world.record_trouble(since, "target", target.name, "target-pauses")
    stage.give_back(taken)


@event("target-restarts", "target", most=2)
async def target_restarts(stage: Stage) -> None:
    """A target crashes and starts again under its id."""
    taken = stage.take_targets()
    since = time.monotonic()
    for target in taken:
        await target.restart(stage.rng.choice((0.0, 0.05, 0.5, 2.0)))
        stage.world.record_trouble(since, "target", target.name, "target-restarts")
    stage.give_back(taken)


@event("target-leaves", "leave", lasts_s=9.0)
async def target_leaves(stage: Stage) -> None:
    """A target leaves, serves on for some seconds, and ends; a new one comes."""
    world, history = stage.world, stage.world.history
    if stage.calm:
        return
    stage.calm = True
    try:
        while stage.busy & {vm.name for vm in world.vms}:
            await asyncio.sleep(0.05)
        await asyncio.sleep(CALM_BEFORE_S)
        for target in (taken := stage.take_targets()):
            await world.add_target(target.service, target.software)
            drains = stage.rng.random() < 0.5
            target.leave(drains)
            how = "its entry says so" if drains else "its entry was removed"
            history.add(Leaving(time.monotonic(), target.name, how))
            await asyncio.sleep(SERVES_ON_S)
            since = time.monotonic()
            if drains:
                world.store.remove("servers", target.name)
            await target.stop()
            history.add(Trouble(since, since, "target", target.name, "target-leaves"))
        stage.give_back(taken)
    finally:
        stage.calm = False


@event("address-reused", "target")
async def address_reused(stage: Stage) -> None:
    """A target crashes for good, and one of another service gets its address."""
    world = stage.world
    for target in (taken := stage.take_targets()):
        since = time.monotonic()
        target.left = True
        await target.stop()
        others = [each for each in SERVICES if each != target.service]
        await world.add_target(stage.rng.choice(others), address=target.address)
        await world.add_target(target.service, target.software)
        await asyncio.sleep(stage.rng.uniform(0.5, 2.0))
        world.store.remove("servers", target.name)
        world.record_trouble(since, "target", target.name, "address-reused")
    stage.give_back(taken)


# VMs


async def _restart_vm(stage: Stage, vm, number: signal.Signals, name: str) -> None:
    since = time.monotonic()
    vm.signal(number)
    await vm.wait()
    await asyncio.sleep(stage.rng.choice((0.0, 0.5)))
    await stage.world.fleet.start_vm(vm)
    await stage.world.fleet.wait_ready([vm])
    stage.world.record_trouble(since, "vm", vm.name, name)


async def _restart_vms(stage: Stage, number: signal.Signals, name: str) -> None:
    taken = stage.take_vms()
    await asyncio.gather(*[_restart_vm(stage, vm, number, name) for vm in taken])
    stage.give_back(taken)


@event("vms-terminated", "vm")
async def vms_terminated(stage: Stage) -> None:
    """One VM or some get a SIGTERM, end, and start again."""
    await _restart_vms(stage, signal.SIGTERM, "vms-terminated")


@event("vms-killed", "vm")
async def vms_killed(stage: Stage) -> None:
    """One VM or some get a SIGKILL and start again."""
    await _restart_vms(stage, signal.SIGKILL, "vms-killed")


@event("vms-stopped", "vm")
async def vms_stopped(stage: Stage) -> None:
    """One VM or some stand still for a while."""
    taken = stage.take_vms()
    since = time.monotonic()
    for vm in taken:
        vm.signal(signal.SIGSTOP)
    await asyncio.sleep(stage.rng.choice((0.3, 1.0, 2.5, 5.0)))
    for vm in taken:
        vm.signal(signal.SIGCONT)
        stage.world.record_trouble(since, "vm", vm.name, "vms-stopped")
    stage.give_back(taken)


# The store


@event("store-slow", "store")
async def store_slow(stage: Stage) -> None:
    """Calls of some VMs at the store take longer."""
    taken = stage.take_vms()
    since = time.monotonic()
    for vm in taken:
        stage.world.store.slow_s[vm.name] = stage.rng.choice((0.2, 0.8, 2.0))
    await asyncio.sleep(stage.rng.uniform(1.0, 4.0))
    for vm in taken:
        del stage.world.store.slow_s[vm.name]
        stage.world.record_trouble(since, "store", vm.name, "store-slow")
    stage.give_back(taken)


@event("store-refuses", "store")
async def store_refuses(stage: Stage) -> None:
    """The store refuses the calls of some VMs."""
    taken = stage.take_vms()
    since = time.monotonic()
    stage.world.store.refused |= {vm.name for vm in taken}
    await asyncio.sleep(stage.rng.uniform(0.5, 4.0))
    stage.world.store.refused -= {vm.name for vm in taken}
    for vm in taken:
        stage.world.record_trouble(since, "store", vm.name, "store-refuses")
    stage.give_back(taken)


# What lasts for the whole run


@event("old-callers", "whole run", most=0)
async def old_callers(stage: Stage) -> None:
    """A tenth of the requests is in HTTP/1.0."""


@event("unnamed-joined", "whole run", most=0)
async def unnamed_joined(stage: Stage) -> None:
    """Of the refusals that go on where another response was cut, half have no id."""
