"""When VMs may claim engines after the store has started a new era.

The store may have lost leases and claims by which other VMs still act. So after a new
era nobody claims until all of these have ended, except owners, which write again what
they hold. A VM that starts then must not take a lost claim for a free engine either,
and can't see how old the era is. So an object of the store names the last era that is
settled::

    settlement = EraSettlement(eras=client.eras, now=timers.now, settle_s=20.0,
                               first_start=False, marker=StoredMarker(client))
    if settlement.settled:
        claim()
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from ..tasks import TaskSet
from .store_eras import NEVER, StoreEras

# Between reads of the stored era while the current one isn't settled.
CHECK_INTERVAL_S = 1.0


class Marker(Protocol):
    """The last settled era as the store holds it."""

    async def read(self) -> int | None:
        """Return the era by an answer of the current one, None if unknown."""

    async def write(self, era: int) -> bool:
        """Store a settled era; False if the store didn't accept it."""


class EraSettlement:
    """Whether the claims of former eras have ended; times in seconds of ``now``.

    ``first_start`` is set where the whole system starts for the first time, so that no
    VM can hold anything.
    """

    def __init__(
        self,
        *,
        eras: StoreEras,
        now: Callable[[], float],
        settle_s: float,
        first_start: bool,
        marker: Marker,
    ):
        self._eras = eras
        self._now = now
        self._settle_s = settle_s
        self._first_start = first_start
        self._marker = marker
        self._marked: int | None = None
        self._checked_at = NEVER
        self._reading: asyncio.Task | None = None
        self._tasks = TaskSet()

    @property
    def settled(self) -> bool:
        """Whether no VM can act by a lease or claim that the store has lost."""
        if not self._eras.named or self._eras.current == self._marked:
            return True
        if self._first_start and self._eras.changed_at == NEVER:
            return True
        return self._now() - self._eras.seen_at >= self._settle_s

    def check(self) -> None:
        """Read soon whether the current era is settled, if that isn't known.

        A VM that saw the era begin has nothing to learn: no other settles it sooner.
        """
        if self._eras.changed_at != NEVER:
            return
        if self.settled or self._now() - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = self._now()
        self._tasks.spawn_once("check", self.read)

    async def ensure(self) -> bool:
        """Return whether the current era is settled, after reading that if needed.

        Callers at the same time share one read.
        """
        if not self.settled:
            if self._reading is None or self._reading.done():
                self._reading = self._tasks.spawn(self.read())
            await asyncio.shield(self._reading)
        return self.settled

    def confirm(self) -> None:
        """Store soon that the current era is settled, for VMs that start later."""
        if not self._eras.named:
            return
        if self._eras.current != self._marked and self.settled:
            self._tasks.spawn_once("confirm", self._write)

    async def read(self) -> None:
        """Read whether the current era is settled."""
        era = await self._marker.read()
        if era == self._eras.current:
            self._marked = era

    async def _write(self) -> None:
        era = self._eras.current
        if await self._marker.write(era):
            self._marked = era
