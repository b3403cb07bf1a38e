"""The platform's store on a played clock: history, watches, and VMs that it refuses.

::

    store = PlayedStore()
    client = PlayedClient("gijon-3", store, timers, rng)
    store.turn_away("gijon-3", Refusal.SILENT)
"""

import asyncio
from collections import Counter, defaultdict
from enum import Enum
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from hawthornlead.eras.dated_revisions import (
    dated_revision,
    era_of,
    stored_revision,
)
from hawthornlead.eras.store_eras import StoreEras
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.gateway.records import StoreChanges, StoredRecord, StoreEvent
from hawthornlead.gateway.store_clients import CALL_TIMEOUT_S, WATCH_SLACK_S
from hawthornlead.outages.answer_gaps import AnswerGaps

from .fakes_clocks import PlayedTimers

LEAST_ANSWER_S = 0.002
MOST_ANSWER_S = 0.03


class Refusal(Enum):
    """How the store treats a VM that it doesn't serve."""

    BUSY = "answers at once"
    SILENT = "never answers"


class StoreCopy(NamedTuple):
    """All objects of a store at one revision."""

    revision: int
    objects: dict[str, dict[str, StoredRecord]]


class PlayedStore:
    """Objects by kind, with one revision over all, which goes back with a new era."""

    def __init__(self):
        self.revision = 1
        self.era = 1
        self.calls: Counter[str] = Counter()
        # Whether watches can go on; otherwise each ends at once, its history gone.
        self.keeps_history = True
        self.refusals: dict[str, Refusal] = {}
        # How the store treats all VMs; None while it serves.
        self.down: Refusal | None = None
        self._objects: dict[str, dict[str, StoredRecord]] = defaultdict(dict)
        self._history: list[tuple[str, StoreEvent]] = []
        self._forgotten = 0
        self._changed = asyncio.Event()
        self.silences = 0

    def write(self, kind: str, name: str, spec: dict) -> StoredRecord:
        """Write an object; it is acknowledged when this returns."""
        self.revision += 1
        record = StoredRecord(name, self.revision, spec, None)
        self._objects[kind][name] = record
        self._note(kind, StoreEvent(record, False))
        return record

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it is there."""
        record = self._objects[kind].pop(name, None)
        if record is None:
            return
        self.revision += 1
        gone = record._replace(revision=self.revision)
        self._note(kind, StoreEvent(gone, True))

    def turn_away(self, vm: str, refusal: Refusal) -> None:
        """Serve a VM no more; what it waits for ends or falls silent."""
        self.refusals[vm] = refusal
        self._wake()

    def serve(self, vm: str) -> None:
        """Serve a VM again."""
        self.refusals.pop(vm, None)

    def go_down(self, refusal: Refusal) -> None:
        """Serve nobody."""
        self.down = refusal
        self._wake()

    def silence_watches(self) -> None:
        """Let the connections of all watches that wait go silent; new ones work."""
        self.silences += 1
        self._wake()

    def forget_history(self) -> None:
        """Drop all changes of before now, and end the watches."""
        self._forgotten = self.revision
        self._wake()

    def copy(self) -> StoreCopy:
        """Return a copy to which the store may go back."""
        objects = {kind: dict(of_kind) for kind, of_kind in self._objects.items()}
        return StoreCopy(self.revision, objects)

    def restore(self, taken: StoreCopy) -> None:
        """Go back to a copy: a new era, which gives out later revisions again."""
        self.era += 1
        self.revision = self._forgotten = taken.revision
        self._objects.clear()
        for kind, of_kind in taken.objects.items():
            self._objects[kind] = dict(of_kind)
        self._history.clear()
        self._wake()

    def refusal(self, vm: str) -> Refusal | None:
        """Return how a VM is refused, None if it is served."""
        return self.down or self.refusals.get(vm)

    def record(self, kind: str, name: str) -> StoredRecord | None:
        """Return one object."""
        return self._objects[kind].get(name)

    def records(self, kind: str) -> tuple[StoredRecord, ...]:
        """Return all objects of a kind."""
        return tuple(self._objects[kind].values())

    def changes(self, kind: str, after: int) -> tuple[StoreEvent, ...] | None:
        """Return the changes of a kind after a revision, None if they are forgotten."""
        if not self.keeps_history:
            return None
        if after < self._forgotten or after > self.revision:
            return None
        changes = []
        for of_kind, event in reversed(self._history):
            if event.record.revision <= after:
                break
            if of_kind == kind:
                changes.append(event)
        return tuple(reversed(changes))

    async def changed(self, wait_s: float) -> None:
        """Wait until anything has changed, or for so long."""
        try:
            await asyncio.wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            return

    def _note(self, kind: str, event: StoreEvent) -> None:
        self._history.append((kind, event))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class PlayedClient:
    """Calls of the store from one VM, with the interface of ``StoreClient``."""

    def __init__(self, vm: str, store: PlayedStore, timers: PlayedTimers, rng: Random):
        self._vm = vm
        self._store = store
        self._timers = timers
        self._rng = rng
        self.gaps = AnswerGaps(now=timers.now)
        self.eras = StoreEras(now=timers.now)

    @property
    def answered_at(self) -> float:
        """When a call was last served."""
        return self.gaps.answered_at

    async def probe(self) -> None:
        """Ask for any object."""
        await self._answered(CALL_TIMEOUT_S)

    async def get(self, kind: str, name: str) -> Result[StoredRecord | None, Failure]:
        """Return one object, None if there is none of this name."""
        if not await self._answered(CALL_TIMEOUT_S):
            return self._unavailable()
        record = self._store.record(kind, name)
        return Ok(None if record is None else self._dated(record))

    async def create(self, kind, name, spec) -> Result[StoredRecord, Failure]:
        """Create an object; ``VERSION_CONFLICT`` if there is one."""
        if not await self._answered(CALL_TIMEOUT_S):
            return self._unavailable()
        if self._store.record(kind, name) is not None:
            return Err(Failure(ErrorKind.VERSION_CONFLICT, "it exists"))
        return Ok(self._dated(self._store.write(kind, name, spec)))

    async def replace(self, kind, name, spec, revision):
        """Replace an object; ``VERSION_CONFLICT`` if it is at another revision."""
        if not await self._answered(CALL_TIMEOUT_S):
            return self._unavailable()
        known = self._store.record(kind, name)
        changed = known is None or known.revision != stored_revision(revision)
        if changed or era_of(revision) != self._store.era:
            return Err(Failure(ErrorKind.VERSION_CONFLICT, "it has changed"))
        return Ok(self._dated(self._store.write(kind, name, spec)))

    async def list_all(self, kind: str) -> Result[StoreChanges, Failure]:
        """Return all objects of a kind, and where to watch from."""
        if not await self._answered(CALL_TIMEOUT_S):
            return self._unavailable()
        records = tuple([self._dated(each) for each in self._store.records(kind)])
        changes = StoreChanges(records, self._now_at())
        era = self._store.era
        return Ok(changes) if await self._come_back(era) else self._unavailable()

    async def watch(self, kind: str, revision: int, wait_s: float):
        """Wait for changes after a revision; None if that history is gone."""
        if not await self._answered(wait_s + WATCH_SLACK_S):
            return self._unavailable()
        until = self._timers.now() + wait_s
        silences = self._store.silences
        while True:
            if silences != self._store.silences:
                await self._timers.sleep(until + WATCH_SLACK_S - self._timers.now())
                return self._unavailable()
            if era_of(revision) != self._store.era:
                return Ok(None)
            changes = self._store.changes(kind, stored_revision(revision))
            if changes is None:
                return Ok(None)
            left_s = until - self._timers.now()
            if changes or left_s <= 0:
                break
            await self._store.changed(left_s)
            if self._store.refusal(self._vm) is not None:
                left_s = until - self._timers.now()
                await self._refused(max(0.0, left_s) + WATCH_SLACK_S)
                return self._unavailable()
        events = []
        for event in changes:
            events.append(event._replace(record=self._dated(event.record)))
        told = StoreChanges(tuple(events), self._now_at())
        era = self._store.era
        return Ok(told) if await self._come_back(era) else self._unavailable()

    def _dated(self, record: StoredRecord) -> StoredRecord:
        revision = dated_revision(self._store.era, record.revision)
        return record._replace(revision=revision)

    def _now_at(self) -> int:
        return dated_revision(self._store.era, self._store.revision)

    async def _answered(self, timeout_s: float) -> bool:
        """Let a call go to the store; whether it was served."""
        self._store.calls[self._vm] += 1
        await self._timers.sleep(self._rng.uniform(LEAST_ANSWER_S, MOST_ANSWER_S) / 2)
        if self._store.refusal(self._vm) is not None:
            await self._refused(timeout_s)
            return False
        self.gaps.record_answer()
        self.eras.observe(self._store.era)
        return True

    async def _come_back(self, era: int) -> bool:
        """Let an answer of an era go back to the VM; whether it arrives."""
        await self._timers.sleep(self._rng.uniform(LEAST_ANSWER_S, MOST_ANSWER_S) / 2)
        if self._store.refusal(self._vm) is not None:
            return False
        self.gaps.record_answer()
        self.eras.observe(era)
        return True

    async def _refused(self, timeout_s: float) -> None:
        if self._store.refusal(self._vm) is Refusal.SILENT:
            await self._timers.sleep(timeout_s)

    def _unavailable(self) -> Err[Failure]:
        self.gaps.record_failure()
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, "not served"))
