"""VMs that record in a played store where streams may begin, for tests.

::

    world = RecordingWorld(("a", "b"))
    await world.begin("a", "r1", V1)
    await world.find("b", "r1")
"""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from result import Err, Ok, Result

from hawthornlead.eras.dated_revisions import dated_revision, era_of, stored_revision
from hawthornlead.eras.store_eras import StoreEras
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.gateway.records import StoreChanges, StoredRecord
from hawthornlead.provenance.origin_ledgers import OriginLedger, RouteOrigin
from hawthornlead.provenance.origin_lookups import OriginLookups
from hawthornlead.provenance.origin_records import RouteKey
from hawthornlead.provenance.origin_sweeps import OriginSweeps
from hawthornlead.provenance.origin_tables import StreamOrigin
from hawthornlead.timers import ManualTimerService

HOST, PATH = "office.example", "/resume/x"
KEY = RouteKey(HOST, "/resume/")
V1, V2, V3 = (StreamOrigin("llm", version) for version in ("v1", "v2", "v3"))
INTERVAL_S = 0.1
STEP_S = 0.05
LONGEST_S = 3.0
# How long a caller resumes a stream after it began.
RESUMED_S = 20.0


class StreamBegun(NamedTuple):
    """A stream whose first event went to its caller."""

    origin: StreamOrigin
    at: float


class RecordStore:
    """Objects of one kind, under conditions, with faults of single writes.

    ``away`` refuses all calls, and answers of listings wait for ``held``. The next
    ``lost`` writes are carried out and not answered, the next ``late`` ones are carried
    out by ``carry_out_late``, if their condition still holds.
    """

    def __init__(self):
        self.objects: dict[str, StoredRecord] = {}
        self.revision = 1
        self.era = 1
        self.away = False
        self.held: asyncio.Event | None = None
        self.deleted: list[str] = []
        self.lost = 0
        self.late = 0
        self.writes = 0
        self._late: list[tuple[str, dict, int | None]] = []

    def write(self, name: str, spec: dict, revision: int | None) -> bool:
        """Create or replace an object if its condition holds."""
        known = self.objects.get(name)
        held = known.revision if known is not None else None
        if held != revision:
            return False
        self.revision += 1
        self.objects[name] = StoredRecord(name, self.revision, spec, None)
        return True

    def defer(self, name: str, spec: dict, revision: int | None) -> None:
        """Keep a write for later."""
        self._late.append((name, spec, revision))

    def carry_out_late(self) -> None:
        """Carry out the writes that were kept."""
        kept, self._late = self._late, []
        for write in kept:
            self.write(*write)

    def copy(self) -> tuple[int, dict[str, StoredRecord]]:
        """Return a copy to which the store may go back."""
        return self.revision, dict(self.objects)

    def restore(self, taken: tuple[int, dict[str, StoredRecord]]) -> None:
        """Go back to a copy, in a new era."""
        self.revision, self.objects = taken[0], dict(taken[1])
        self.era += 1
        self._late.clear()


class RecordClient:
    """Calls of the store from one VM, with the interface of ``StoreClient``."""

    def __init__(self, store: RecordStore, now):
        self._store = store
        self.eras = StoreEras(now=now)

    async def get(self, kind: str, name: str) -> Result[StoredRecord | None, Failure]:
        """Return one object, None if there is none of this name."""
        await asyncio.sleep(0)
        if self._store.away:
            return _unavailable()
        self.eras.observe(self._store.era)
        found = self._store.objects.get(name)
        return Ok(None if found is None else self._dated(found))

    async def create(self, kind, name, spec) -> Result[StoredRecord, Failure]:
        """Create an object; ``VERSION_CONFLICT`` if there is one."""
        return await self._write(name, spec, None)

    async def replace(self, kind, name, spec, revision):
        """Replace an object; ``VERSION_CONFLICT`` if it is at another revision."""
        if era_of(revision) < self.eras.current:
            return _conflict()
        return await self._write(name, spec, revision)

    async def delete(self, kind, name, revision):
        """Delete an object if it is at a revision."""
        known = self._store.objects.get(name)
        if known is None or known.revision != stored_revision(revision):
            return _conflict()
        del self._store.objects[name]
        self._store.deleted.append(name)
        return Ok(None)

    async def list_all(self, kind: str) -> Result[StoreChanges, Failure]:
        """Return all objects."""
        await asyncio.sleep(0)
        if self._store.away:
            return _unavailable()
        self.eras.observe(self._store.era)
        records = tuple([self._dated(each) for each in self._store.objects.values()])
        changes = StoreChanges(records, dated_revision(self._store.era, 1))
        if self._store.held is not None:
            await self._store.held.wait()
        return Ok(changes)

    async def _write(self, name, spec, revision) -> Result[StoredRecord, Failure]:
        await asyncio.sleep(0)
        store = self._store
        if store.away:
            return _unavailable()
        stored = None if revision is None else stored_revision(revision)
        if revision is not None and era_of(revision) != store.era:
            self.eras.observe(store.era)
            return _conflict()
        if store.late:
            store.late -= 1
            store.defer(name, spec, stored)
            return _unavailable()
        store.writes += 1
        written = store.write(name, spec, stored)
        if store.lost:
            store.lost -= 1
            return _unavailable()
        self.eras.observe(store.era)
        return Ok(self._dated(store.objects[name])) if written else _conflict()

    def _dated(self, record: StoredRecord) -> StoredRecord:
        return record._replace(
            revision=dated_revision(self._store.era, record.revision)
        )


class RecordingVm:
    """One process of a VM; ``used`` is where it may begin streams as it knows."""

    def __init__(self, name: str, world: "RecordingWorld", again: bool):
        self.client = RecordClient(world.store, world.timers.now)
        self.used: set[StreamOrigin] = set(world.used)
        self.ledger = OriginLedger(
            vm=name,
            client=self.client,
            timers=world.timers,
            wanted=lambda: [RouteOrigin(KEY, origin) for origin in self.used],
            interval_s=lambda: INTERVAL_S,
        )
        self.lookups = OriginLookups(
            client=self.client,
            timers=world.timers,
            vms=lambda: world.running,
            pause_s=lambda: 0.02,
            on_streams=lambda streams: None,
        )
        self.sweeps = OriginSweeps(
            vm=name,
            client=self.client,
            timers=world.timers,
            vms=lambda: world.running,
        )
        self.ledger.start(again)

    def stop(self) -> None:
        """End the process."""
        self.ledger.stop()
        self.lookups.stop()
        self.sweeps.stop()


class RecordingWorld:
    """The store, VMs by name, and the streams that have begun.

    ``used`` is where VMs that start now may begin streams.
    """

    def __init__(self, vms: Iterable[str], used: Iterable[StreamOrigin] = (V1,)):
        self.timers = ManualTimerService()
        self.store = RecordStore()
        self.used = set(used)
        self.vms: dict[str, RecordingVm] = {}
        self.began: dict[str, StreamBegun] = {}
        self._registered: set[str] = set()
        for vm in vms:
            self.start(vm)

    @property
    def running(self) -> list[str]:
        """The VMs that run."""
        return list(self.vms)

    def start(self, vm: str) -> None:
        """Start a VM's process, which knows nothing."""
        self.vms[vm] = RecordingVm(vm, self, vm in self._registered)
        self._registered.add(vm)

    def kill(self, vm: str) -> None:
        """Kill a VM's process."""
        self.vms.pop(vm).stop()

    def stop(self) -> None:
        """Kill all VMs."""
        for vm in self.running:
            self.kill(vm)

    async def begin(self, vm: str, request: str, origin: StreamOrigin) -> bool:
        """Begin a stream at a VM, as a request does; whether it may."""
        ledger = self.vms[vm].ledger
        if not await self._wait(ledger.ensure(KEY, origin)):
            return False
        now = self.timers.now()
        self.began[request] = StreamBegun(origin, now)
        ledger.add_stream(request, KEY, origin, now + RESUMED_S)
        return True

    async def find(self, vm: str, request: str) -> StreamOrigin | None:
        """Return where a VM finds by the records that a stream began."""
        return await self._wait(self.vms[vm].lookups.find(HOST, PATH, request))

    async def advance(self, seconds: float) -> None:
        """Let time go on, in short steps."""
        for _ in range(round(seconds / STEP_S)):
            await self.timers.advance(STEP_S)

    async def _wait(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        for _ in range(round(LONGEST_S / STEP_S)):
            await self.timers.advance(STEP_S)
            if task.done():
                return task.result()
        raise AssertionError("it did not end")


def _unavailable() -> Err[Failure]:
    return Err(Failure(ErrorKind.STORE_UNAVAILABLE, "not answered"))


def _conflict() -> Err[Failure]:
    return Err(Failure(ErrorKind.VERSION_CONFLICT, "another write came first"))
