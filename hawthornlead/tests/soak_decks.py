"""The order in which a soak injects its faults: all kinds before any comes again.

::

    DECK = Deck()

    @DECK.fault("vm-killed", often=2)
    async def vm_killed(world): ...

    await DECK.play(world, until, at_once=4, pause_s=0.8)
"""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, Protocol

import click

Fault = Callable[[Any], Awaitable[None]]
# How much longer than its time a run waits for faults that found nothing to hurt.
PATIENCE_S = 60.0
# After how many others a fault that is to come first is tried again.
SOON = 3


class Injectable(Protocol):
    """What faults act on: it counts each that was injected by its name."""

    rng: Random
    injected: Counter


class Deck:
    """Faults by name, and how they are dealt."""

    def __init__(self):
        self._often: dict[str, int] = {}
        self._first: set[str] = set()
        self._dealt: list[str] = []
        self.faults: dict[str, Fault] = {}

    def fault(
        self, name: str, often: int = 1, first: bool = False
    ) -> Callable[[Fault], Fault]:
        """Enter a fault that comes ``often`` times before any comes again.

        One that lasts long comes ``first``, so that a short run waits less for it.
        """

        def enter(function: Fault) -> Fault:
            self.faults[name] = function
            self._often[name] = often
            if first:
                self._first.add(name)
            return function

        return enter

    async def play(
        self, world: Injectable, until: float, at_once: int, pause_s: float
    ) -> None:
        """Inject faults in a random order, several overlapping, until a moment.

        Afterwards only those follow that were never injected, for ``PATIENCE_S``.
        """
        running: dict[asyncio.Task, str] = {}
        while time.monotonic() < until + PATIENCE_S:
            for task in [task for task in running if task.done()]:
                # A fault that raises is an error of the run.
                task.result()
                del running[task]
            if time.monotonic() > until and not self._missing(world):
                break
            if len(running) < at_once:
                name = self._next(world, until, set(running.values()))
                if name:
                    task = asyncio.create_task(self._inject(world, name))
                    running[task] = name
            await asyncio.sleep(world.rng.uniform(0.5, 1.5) * pause_s)
        await asyncio.gather(*running)

    def _missing(self, world: Injectable) -> list[str]:
        return [name for name in self.faults if not world.injected[name]]

    def _next(self, world: Injectable, until: float, running: set[str]) -> str:
        if time.monotonic() > until:
            missing = sorted(set(self._missing(world)) - running)
            return world.rng.choice(missing) if missing else ""
        if not self._dealt:
            self._deal(world.rng)
        return self._dealt.pop()

    def _deal(self, rng: Random) -> None:
        for name in sorted(self.faults):
            self._dealt += [name] * self._often[name]
        rng.shuffle(self._dealt)
        self._dealt.sort(key=lambda name: name in self._first)

    async def _inject(self, world: Injectable, name: str) -> None:
        at, before = time.monotonic(), world.injected[name]
        try:
            await self.faults[name](world)
        except RuntimeError as error:
            # An operator's order that a fault defeats is a refusal, not an error of
            # the run; whatever else went wrong shows as a fault never injected.
            click.echo(f"  {name}: {str(error)[-300:]}", err=True)
        if world.injected[name] == before:
            # Nothing was free to be hurt: it comes again later.
            soon = len(self._dealt) - SOON if name in self._first else 0
            self._dealt.insert(max(0, soon), name)
            return
        click.echo(f"  {name} {at:.1f} to {time.monotonic():.1f}", err=True)
