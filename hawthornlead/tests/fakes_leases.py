"""Leases and ownerships of a few VMs over one store in memory, with a manual clock.

::

    fleet = Fleet()
    await fleet.a.lease._renew()
    assert await fleet.a.ownerships.claim("e1")
"""

from random import Random

from result import Err, Ok

from hawthornlead.clocks import HybridClock
from hawthornlead.eras.dated_revisions import (
    dated_revision,
    era_of,
    stored_revision,
)
from hawthornlead.eras.settlements import EraSettlement
from hawthornlead.eras.store_eras import StoreEras
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.events import EventRing
from hawthornlead.gateway.memberships import Memberships
from hawthornlead.gateway.ownerships import SETTLE_S, Ownerships
from hawthornlead.gateway.records import StoreChanges, StoredRecord, VmRecord
from hawthornlead.gateway.stored_markers import StoredMarker
from hawthornlead.gateway.vm_leases import VmLease
from hawthornlead.messages import Heartbeat
from hawthornlead.timers import ManualTimerService

from .fakes_mesh import LocalNetwork

UNAVAILABLE = Err(Failure(ErrorKind.STORE_UNAVAILABLE, "the store is away"))


class FakeStore:
    """A store in memory.

    While ``away`` is set it refuses calls. A replacement takes ``answer_s``.
    ``after_read`` is awaited between the read of an object and the answer.
    """

    def __init__(self, timers):
        self._timers = timers
        self._revision = 0
        self.objects = {}
        self.era = None
        self.away = False
        self.answer_s = 0.0
        self.after_read = None

    async def get(self, kind, name):
        """Return one object, None if there is none."""
        if self.away:
            return UNAVAILABLE
        found = self.objects.get((kind, name))
        if self.after_read is not None:
            await self.after_read(kind)
        return Ok(found)

    async def list_all(self, kind):
        """Return all objects of a kind."""
        if self.away:
            return UNAVAILABLE
        records = [each for (of, _), each in self.objects.items() if of == kind]
        return Ok(StoreChanges(tuple(records), self._revision))

    def copy(self):
        """Return a copy to which the store may go back."""
        return self._revision, dict(self.objects)

    def restore(self, taken):
        """Go back to a copy: a new era, which gives out later revisions again."""
        self.era = (self.era or 0) + 1
        self._revision, objects = taken
        self.objects = dict(objects)

    def overwrite(self, kind, name, spec):
        """Write unconditionally, as another writer may."""
        return self._write(kind, name, spec)

    async def create(self, kind, name, spec):
        """Create an object."""
        if self.away:
            return UNAVAILABLE
        if (kind, name) in self.objects:
            return Err(Failure(ErrorKind.VERSION_CONFLICT, "it exists"))
        return Ok(self._write(kind, name, spec))

    async def replace(self, kind, name, spec, revision):
        """Replace an object that is at a revision."""
        if self.away:
            return UNAVAILABLE
        known = self.objects.get((kind, name))
        if known is None or known.revision != revision:
            return Err(Failure(ErrorKind.VERSION_CONFLICT, "it changed"))
        self._timers._now += self.answer_s
        return Ok(self._write(kind, name, spec))

    async def delete(self, kind, name):
        """Remove an object."""
        self.objects.pop((kind, name), None)
        return Ok(None)

    def _write(self, kind, name, spec):
        self._revision += 1
        record = StoredRecord(name, self._revision, spec, None)
        self.objects[kind, name] = record
        return record


class FakeClient:
    """One VM's calls of the store, with revisions dated by its era."""

    def __init__(self, store, timers):
        self._store = store
        self.eras = StoreEras(now=timers.now)

    async def get(self, kind, name):
        """Return one object, None if there is none."""
        return self._dated(await self._store.get(kind, name))

    async def list_all(self, kind):
        """Return all objects of a kind."""
        listed = await self._store.list_all(kind)
        if listed.is_err():
            return listed
        self.eras.observe(self._store.era)
        records = tuple([self._dated(Ok(each)).ok_value for each in listed.ok_value[0]])
        revision = dated_revision(self._store.era or 0, listed.ok_value.revision)
        return Ok(StoreChanges(records, revision))

    async def create(self, kind, name, spec):
        """Create an object."""
        return self._dated(await self._store.create(kind, name, spec))

    async def replace(self, kind, name, spec, revision):
        """Replace an object that is at a revision."""
        if era_of(revision) != (self._store.era or 0) and not self._store.away:
            self.eras.observe(self._store.era)
            return Err(Failure(ErrorKind.VERSION_CONFLICT, "another era"))
        stored = stored_revision(revision)
        return self._dated(await self._store.replace(kind, name, spec, stored))

    def _dated(self, found):
        if found.is_err():
            return found
        self.eras.observe(self._store.era)
        if found.ok_value is None:
            return found
        revision = dated_revision(self._store.era or 0, found.ok_value.revision)
        return Ok(found.ok_value._replace(revision=revision))


class Vm:
    """The lease and ownerships of one VM over a shared store."""

    def __init__(self, network, store, timers, name, incarnation="1", first_start=True):
        mesh = network.join(name, incarnation=incarnation)
        mesh.heartbeat_source = lambda: Heartbeat(0, 0, False, 0, 1, 0.0)
        events = EventRing(name, HybridClock(timers))
        record = VmRecord(name, incarnation, "gijon", f"{name}:1", f"{name}:2", False)
        self.client = FakeClient(store, timers)
        common = {
            "client": self.client,
            "timers": timers,
            "rng": Random(1),
            "events": events,
        }
        memberships = Memberships(record=record, mesh=mesh, **common)
        self.lease = VmLease(vm=name, incarnation=incarnation, **common)
        self.lease.want(True)
        settlement = EraSettlement(
            eras=self.client.eras,
            now=timers.now,
            settle_s=SETTLE_S,
            first_start=first_start,
            marker=StoredMarker(self.client),
        )
        self.ownerships = Ownerships(
            memberships=memberships,
            lease=self.lease,
            client=self.client,
            mesh=mesh,
            events=events,
            settlement=settlement,
        )


class Fleet:
    """Two VMs that share a store, with a manual clock."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.store = FakeStore(self.timers)
        self.network = LocalNetwork(self.timers)
        self.a = self.start("a")
        self.b = self.start("b")

    def start(self, name, incarnation="1", first_start=True):
        """Start the process of a VM."""
        network, store = self.network, self.store
        return Vm(network, store, self.timers, name, incarnation, first_start)

    def pass_time(self, seconds):
        """Move the clock without running timers, as a suspension of all VMs does."""
        self.timers._now += seconds
