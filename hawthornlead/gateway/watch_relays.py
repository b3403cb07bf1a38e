"""Shared watches of the store: a few relays watch and forward changes to all VMs.

Each waiting watch and each of its answers is a call that the store counts. If every VM
watched, calls would grow with the fleet times its changes. So the two VMs with the
oldest registrations watch and forward changes over the mesh; the others watch only
while no relay confirms the kind up to date. A VM that starts in a large fleet fetches
the objects from its upstream head, not from the store.

A VM knows that it lacks nothing by the store's revisions: each batch of changes is
complete after one revision, up to another. So it makes no difference which relay sent
a batch, or whether one relay replaced another.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

from ..copies.record_pages import MAX_RELAYED_BYTES, record_page
from ..eras.dated_revisions import era_of
from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import (
    FetchedRecords,
    FetchRecords,
    RelayedChanges,
    RelayedKind,
    RelayHeartbeat,
)
from ..tasks import TaskSet
from ..timers import TimerService
from .change_logs import ChangeBatch, ChangeLog
from .kind_records import NO_REVISION, NONE_LOST, KindRecords
from .memberships import Memberships
from .records import StoredRecord, StoreEvent
from .relay_elections import RELAY_HEARTBEAT_TTL_S, RelayElection
from .relayed_records import read_events, relayed_record
from .store_clients import StoreClient

# A relay confirms no kind once the store has been silent for this long. Its watches may
# wait WATCH_WAIT_S for an answer and look healthy while the store is unreachable. With
# this bound, the next heartbeat and a listing, the others learn of a change within
# 1.5 s, of the 2 s in which a VM must stop using a leaving target; without it that took
# up to 5 s.
STORE_MAX_SILENCE_S = 0.8
# The store is probed after this much silence. Usually the heartbeats of targets have
# brought an answer before.
STORE_PROBE_AFTER_S = 0.45
RELAY_HEARTBEAT_INTERVAL_S = 0.4
RELAY_ELECTION_INTERVAL_S = 0.2
# How many VMs to fetch objects from while the store is unavailable.
MAX_FETCH_SOURCES = 8


class _Confirmation(NamedTuple):
    """A kind in a relay's last heartbeat, and when that was received.

    ``since`` is the revision after which the relay saw no effective change.
    """

    at: float
    since: int


class _Followed(NamedTuple):
    """A kind that a watcher follows.

    ``fresh`` tells whether the watcher's own calls show all changes.
    """

    known: KindRecords
    fresh: Callable[[], bool]


class WatchRelays:
    """Sends changes as a relay, and receives changes from relays.

    ::

        if relays.is_relayed("config"):
            return  # changes come over the mesh
    """

    def __init__(
        self,
        *,
        memberships: Memberships,
        mesh: FleetMesh,
        timers: TimerService,
        client: StoreClient,
        events: EventRing,
    ):
        self._client = client
        self._events = events
        self._tasks = TaskSet()
        self._memberships = memberships
        self._mesh = mesh
        self._timers = timers
        self._followed: dict[str, _Followed] = {}
        self._logs: dict[str, ChangeLog] = {}
        self._confirmations: dict[str, dict[str, _Confirmation]] = defaultdict(dict)
        self._confirmed_kinds_sent: set[str] = set()
        self._missing: set[str] = set()
        # By kind and relay: the digest of the lost versions that were fetched last.
        self._lost_fetched: dict[tuple[str, str], int] = {}
        self._fetch_count = 0
        self._relaying = False
        self._election = RelayElection(
            memberships=memberships, mesh=mesh, timers=timers
        )
        mesh.on(RelayHeartbeat, self._on_heartbeat)
        mesh.on(RelayedChanges, self._on_changes)
        mesh.on(FetchRecords, self._on_fetch)

    @property
    def is_relay(self) -> bool:
        """Whether this VM watches for the others."""
        return self._relaying

    @property
    def large(self) -> bool:
        """Whether the fleet is so large that changes come through heads."""
        return self._mesh.large

    @property
    def has_source(self) -> bool:
        """Whether another VM sends changes to this one, or will once it is connected.

        The first VMs of a fleet have no source.
        """
        return self._mesh.large and not self.is_relay

    @property
    def has_registered_others(self) -> bool:
        """Whether other VMs are registered, which may have ended since."""
        return self._memberships.has_registered_others

    def start(self) -> None:
        """Start electing relays, and sending heartbeats as a relay."""
        self._update_role()
        self._timers.every(
            RELAY_ELECTION_INTERVAL_S, self._update_role, name="relay-role"
        )
        self._timers.every(
            RELAY_HEARTBEAT_INTERVAL_S, self._send_heartbeat, name="relay-word"
        )

    def follow(self, kind: str, known: KindRecords, fresh: Callable[[], bool]) -> None:
        """Register the watcher of a kind."""
        self._followed[kind] = _Followed(known, fresh)

    def is_relayed(self, kind: str) -> bool:
        """Whether a relay was seen recently and no forwarded change is missing."""
        confirmed_after = self._timers.now() - RELAY_HEARTBEAT_TTL_S
        until = self._followed[kind].known.until
        if not self._client.eras.is_current(until):
            return False
        for confirmation in self._confirmations[kind].values():
            if confirmation.at >= confirmed_after and confirmation.since <= until:
                return True
        return False

    def change_sources(self) -> dict[str, str]:
        """Return the change source of each followed kind."""
        return {kind: self.change_source(kind) for kind in self._followed}

    def change_source(self, kind: str) -> str:
        """Return from where this VM receives changes of a kind."""
        if self.is_relay:
            return "watches for others"
        return "told by a relay" if self.is_relayed(kind) else "own watch"

    # Sending as a relay

    def watch_since(self, kind: str) -> int:
        """Return the revision after which the next watch of a kind must start."""
        log = self._logs.get(kind)
        known = self._followed[kind].known
        if log and era_of(log.until) < era_of(known.until):
            # Another relay has listed the kind in the new era and sent it to all.
            self._start_log(kind)
            return known.until
        return log.until if log else known.until

    def on_watched(
        self, kind: str, since: int, until: int, events: Iterable[StoreEvent]
    ) -> None:
        """Forward the result of this VM's watch, if it is a relay."""
        log = self._logs.get(kind)
        if log is not None:
            self._forward(kind, log, log.watched(since, until, events))

    def on_listed(self, kind: str, until: int, records: Iterable[StoredRecord]) -> None:
        """Forward the result of this VM's listing, if it is a relay."""
        log = self._logs.get(kind)
        if log is not None:
            self._forward(kind, log, log.listed(until, records))
        elif self.is_relay:
            self._start_log(kind)

    def _forward(self, kind: str, log: ChangeLog, batch: ChangeBatch | None) -> None:
        if batch is None:
            return
        records = []
        for event in batch.events:
            record = None if event.deleted else event.record
            name, revision = event.record.name, event.record.revision
            records.append(relayed_record(name, record, revision))
        if sum(record.size for record in records) > MAX_RELAYED_BYTES:
            # The mesh can't carry the batch, and raises an error that would end the
            # watch. The others see by the revisions that they miss changes, and watch.
            log.restart()
            return
        changes = RelayedChanges(kind, *batch._replace(events=tuple(records)))
        self._mesh.broadcast(changes)

    def _update_role(self) -> None:
        """Become a relay, or stop being one, according to the election."""
        relaying = self._election.should_relay()
        if relaying == self._relaying:
            if self._confirmed_kinds_sent - self._confirmed_kinds():
                # The others need another relay; the next heartbeat would be late.
                self._send_heartbeat()
            return
        self._relaying = relaying
        self._logs.clear()
        self._confirmed_kinds_sent = set()
        for kind in self._followed if relaying else ():
            self._start_log(kind)
        event = EventKind.RELAY_BEGUN if relaying else EventKind.RELAY_ENDED
        self._events.emit(event, self._memberships.vm)

    def _start_log(self, kind: str) -> None:
        known = self._followed[kind].known
        if known.until != NO_REVISION:
            self._logs[kind] = ChangeLog(known)

    def _send_heartbeat(self) -> None:
        if not self.is_relay:
            return
        if self._timers.now() - self._client.answered_at > STORE_PROBE_AFTER_S:
            self._tasks.spawn_once("ask", self._client.probe)
        self._confirmed_kinds_sent = self._confirmed_kinds()
        kinds = []
        for kind, log in self._logs.items():
            if kind in self._confirmed_kinds_sent:
                lost = self._followed[kind].known.lost_digest
                kinds.append(RelayedKind(kind, log.since, log.until, lost))
        self._mesh.broadcast(RelayHeartbeat(tuple(kinds)))

    def _confirmed_kinds(self) -> set[str]:
        """Return the kinds whose changes this VM's own calls currently show in full."""
        if self._timers.now() - self._client.answered_at > STORE_MAX_SILENCE_S:
            return set()
        confirmed = set()
        for kind, log in self._logs.items():
            if self._followed[kind].fresh() and self._client.eras.is_current(log.until):
                confirmed.add(kind)
        return confirmed

    # Receiving from relays

    async def _on_heartbeat(self, sender, message: RelayHeartbeat) -> None:
        kinds = []
        for relayed in message.kinds:
            self._client.eras.observe_revision(relayed.until)
            # A relay that the store doesn't serve may not know that an era has ended.
            current = self._client.eras.is_current(relayed.until)
            if relayed.kind in self._followed and current:
                kinds.append(relayed)
        self._election.record_heartbeat(sender.vm, bool(kinds))
        confirmed = {relayed.kind for relayed in kinds}
        for kind in set(self._confirmations) - confirmed:
            self._confirmations[kind].pop(sender.incarnation, None)
        for kind, since, until, lost in kinds:
            self._confirmations[kind][sender.incarnation] = _Confirmation(
                self._timers.now(), since
            )
            self._apply_changes(sender.vm, RelayedChanges(kind, since, until, ()))
            self._compare_lost_versions(sender.vm, kind, lost)

    async def _on_changes(self, sender, message: RelayedChanges) -> None:
        self._client.eras.observe_revision(message.until)
        if message.kind in self._followed:
            self._apply_changes(sender.vm, message)

    def _apply_changes(self, relay: str, message: RelayedChanges) -> None:
        kind = message.kind
        known = self._followed[kind].known
        events = read_events(message.records)
        changes = (message.since, message.until, events)
        if known.apply_changes(*changes, message.names, message.compared_at):
            self._missing.discard(kind)
            return
        if known.until == NO_REVISION or self.is_relayed(kind):
            return
        self._tasks.spawn_once(f"catch up {kind}", lambda: self._catch_up(kind, relay))
        if kind in self._missing:
            return
        self._missing.add(kind)
        self._events.emit(
            EventKind.CHANGES_MISSED,
            kind,
            relay=relay,
            known_until=known.until,
            told_since=message.since,
        )

    # Fetching from other VMs

    def _compare_lost_versions(self, relay: str, kind: str, lost: int) -> None:
        """Fetch a relay's versions that the store has lost, unless they are known."""
        known = self._followed[kind].known
        if known.until == NO_REVISION or lost in (NONE_LOST, known.lost_digest):
            return
        if self._lost_fetched.get((kind, relay)) != lost:
            fetch = partial(self._fetch_lost_versions, kind, relay, lost)
            self._tasks.spawn_once(f"lost {kind}", fetch)

    async def fetch_at_start(self, kind: str) -> bool:
        """Fetch all objects of a kind from a source; return False if there is none."""
        sources = self._sources()
        return bool(sources) and await self._fetch_from(sources[0], kind)

    async def fetch(self, kind: str) -> bool:
        """Fetch the objects of a kind from other VMs; return False if all failed.

        Used when the store doesn't serve this VM, while it may serve others. A starting
        VM would otherwise refuse all requests; one that missed a change would keep the
        previous state in force.
        """
        starting = self._followed[kind].known.until == NO_REVISION
        for vm in self._sources()[: MAX_FETCH_SOURCES if starting else 1]:
            if await self._fetch_from(vm, kind):
                return True
        return False

    def _sources(self) -> list[str]:
        """Return the VMs to fetch from, starting with a different one each time.

        In a large fleet these are connected heads.
        """
        if self._mesh.large and self._mesh.upstream_head:
            return [self._mesh.upstream_head]
        if self._mesh.large and self._mesh.is_head:
            vms = self._mesh.other_heads
        else:
            vms = [peer.vm for peer in self._mesh.live]
        others = [vm for vm in vms if vm != self._memberships.vm]
        self._fetch_count += 1
        first = self._fetch_count % len(others) if others else 0
        return others[first:] + others[:first]

    async def _catch_up(self, kind: str, relay: str) -> None:
        """Fetch the changes that are missing before those that a relay sent."""
        source = self._mesh.upstream_head if self._mesh.large else ""
        if source and await self._fetch_from(source, kind) and self.is_relayed(kind):
            return
        await self._fetch_from(relay, kind)

    async def _fetch_from(self, vm: str, kind: str) -> bool:
        """Fetch the objects that a VM knows of a kind; return False if it can't."""
        known = self._followed[kind].known
        since, until = known.until, None
        events: list[StoreEvent] = []
        names: list[str] = []
        after = ""
        while True:
            reply = await self._mesh.call(vm, FetchRecords(kind, after, since))
            if reply.is_err() or not reply.ok_value.known:
                return False
            page = reply.ok_value
            # Later changes to objects of a page are sent as changes after its revision.
            until = page.until if until is None else min(until, page.until)
            events += read_events(page.records)
            names += page.names
            if not page.more or not page.names:
                break
            after = page.names[-1]
        if until > since or until == NO_REVISION:
            known.apply_changes(since, until, tuple(events), tuple(names))
        known.keep_versions(event.record for event in events if not event.deleted)
        return True

    async def _fetch_lost_versions(self, kind: str, relay: str, lost: int) -> None:
        """Fetch versions that a relay keeps though the store has lost them."""
        if await self._fetch_from(relay, kind):
            self._lost_fetched[kind, relay] = lost

    async def _on_fetch(self, sender, message: FetchRecords) -> FetchedRecords:
        followed = self._followed.get(message.kind)
        if followed is None:
            return FetchedRecords(False, (), False)
        return record_page(followed.known, message)
