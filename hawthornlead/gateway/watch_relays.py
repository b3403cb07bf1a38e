"""Sharing watches of the store: a few VMs watch, the others are told.

Each waiting watch and each of its answers is a call that the store counts. If every VM
watched, calls would grow with the fleet times its changes. So two VMs, those that
registered first, watch and pass changes on over the mesh; the others watch only while
no relay vouches for the kind. A VM that starts in a large fleet takes what there is
from the head that feeds it, and not from the store.

A VM knows that it lacks nothing by the store's revisions: whatever is passed on says
after which revision these are all changes, and up to which one. So it makes no
difference which relay told what, or whether one took the place of another.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import (
    FetchedRecords,
    FetchRecords,
    RelayedChanges,
    RelayedKind,
    RelayedRecord,
    RelayHeartbeat,
)
from ..tasks import TaskSet
from ..timers import TimerService
from .change_logs import ChangeBatch, ChangeLog
from .kind_records import NO_REVISION, KindRecords
from .memberships import Memberships
from .records import StoredRecord, StoreEvent
from .relay_elections import RELAY_HEARTBEAT_TTL_S, RelayElection
from .relayed_records import read_relayed, relayed_record
from .store_clients import StoreClient

# A relay whose store answered none of its calls for so long vouches for nothing. Its
# watches may wait WAIT_S for an answer and look well meanwhile, while the store is out
# of its reach: with the next word and a listing the others know of a change within
# 1.5 s, of the 2 s in which a leaving target must be heeded; else it took up to 5 s.
STORE_MAX_SILENCE_S = 0.8
# After so long without an answer the store is asked; most often targets' heartbeats
# have brought one before.
ASK_STORE_S = 0.45
RELAY_HEARTBEAT_INTERVAL_S = 0.4
RELAY_ELECTION_INTERVAL_S = 0.2
# An object of the store may be as large as the largest message between VMs, by default
# 1 MiB, and larger once it is escaped. Half of it leaves room for what goes with it.
MAX_RELAYED_BYTES = 500_000
# So many VMs are asked for what they know, while the store is away.
MAX_FETCH_SOURCES = 8
# Records are fetched from other VMs in messages of about this size.
FETCHED_BYTES = 200_000


class _Heard(NamedTuple):
    """What a relay said last of a kind, and when: a ``RelayedKind`` of its word."""

    at: float
    since: int


class _Followed(NamedTuple):
    """A kind that a watcher follows.

    ``fresh`` tells whether its own watch shows all changes.
    """

    known: KindRecords
    fresh: Callable[[], bool]


class WatchRelays:
    """What this VM passes on as a relay, and what it hears from relays.

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
        self._chains: dict[str, ChangeLog] = {}
        self._heard: dict[str, dict[str, _Heard]] = defaultdict(dict)
        self._told_kinds: set[str] = set()
        self._missing: set[str] = set()
        self._asked = 0
        self._relaying = False
        self._role = RelayElection(memberships=memberships, mesh=mesh, timers=timers)
        mesh.on(RelayHeartbeat, self._on_word)
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
        """Whether another VM tells this one of changes, or will as soon as it's heard.

        The first VMs of a fleet have nobody to ask.
        """
        return self._mesh.large and not self.is_relay

    def start(self) -> None:
        """Begin to vouch for what this VM watches."""
        self._look_at_role()
        self._timers.every(
            RELAY_ELECTION_INTERVAL_S, self._look_at_role, name="relay-role"
        )
        self._timers.every(
            RELAY_HEARTBEAT_INTERVAL_S, self._tell_word, name="relay-word"
        )

    def follow(self, kind: str, known: KindRecords, fresh: Callable[[], bool]) -> None:
        """Enter a watcher of a kind."""
        self._followed[kind] = _Followed(known, fresh)

    def is_relayed(self, kind: str) -> bool:
        """Whether a relay was heard lately and nothing that it passed on is missing."""
        heard_after = self._timers.now() - RELAY_HEARTBEAT_TTL_S
        until = self._followed[kind].known.until
        for heard in self._heard[kind].values():
            if heard.at >= heard_after and heard.since <= until:
                return True
        return False

    def change_sources(self) -> dict[str, str]:
        """Return by what this VM learns of changes of each kind that it follows."""
        return {kind: self.change_source(kind) for kind in self._followed}

    def change_source(self, kind: str) -> str:
        """Return by what this VM learns of changes of one kind."""
        if self.is_relay:
            return "watches for others"
        return "told by a relay" if self.is_relayed(kind) else "own watch"

    # What a relay passes on

    def watch_since(self, kind: str) -> int:
        """Return the revision after which the next watch of a kind has to begin."""
        chain = self._chains.get(kind)
        return chain.until if chain else self._followed[kind].known.until

    def on_watched(
        self, kind: str, since: int, until: int, events: Iterable[StoreEvent]
    ) -> None:
        """Pass on what an own watch showed, if this VM is a relay."""
        chain = self._chains.get(kind)
        if chain is not None:
            self._pass_on(kind, chain, chain.watched(since, until, events))

    def on_listed(self, kind: str, until: int, records: Iterable[StoredRecord]) -> None:
        """Pass on what an own listing showed, if this VM is a relay."""
        chain = self._chains.get(kind)
        if chain is not None:
            self._pass_on(kind, chain, chain.listed(until, records))
        elif self.is_relay:
            self._begin_chain(kind)

    def _pass_on(self, kind: str, chain: ChangeLog, link: ChangeBatch | None) -> None:
        if link is None:
            return
        records = []
        for event in link.events:
            record = None if event.deleted else event.record
            name, revision = event.record.name, event.record.revision
            records.append(relayed_record(name, record, revision))
        if sum(record.size for record in records) > MAX_RELAYED_BYTES:
            # The mesh can't carry it, and raises an error that would end the watch.
            # The others see by the revisions that they miss changes, and watch.
            chain.restart()
            return
        changes = RelayedChanges(kind, *link._replace(events=tuple(records)))
        self._mesh.broadcast(changes)

    def _look_at_role(self) -> None:
        """Become a relay, or stop being one, by who else vouches."""
        relaying = self._role.should_relay()
        if relaying == self._relaying:
            if self._told_kinds - self._vouched_kinds():
                # The others need another relay; the next word would be late.
                self._tell_word()
            return
        self._relaying = relaying
        self._chains.clear()
        self._told_kinds = set()
        for kind in self._followed if relaying else ():
            self._begin_chain(kind)
        event = EventKind.RELAY_BEGUN if relaying else EventKind.RELAY_ENDED
        self._events.emit(event, self._memberships.vm)

    def _begin_chain(self, kind: str) -> None:
        known = self._followed[kind].known
        if known.until != NO_REVISION:
            self._chains[kind] = ChangeLog(known)

    def _tell_word(self) -> None:
        if not self.is_relay:
            return
        if self._timers.now() - self._client.answered_at > ASK_STORE_S:
            self._tasks.spawn_once("ask", self._client.ask)
        self._told_kinds = self._vouched_kinds()
        kinds = []
        for kind, chain in self._chains.items():
            if kind in self._told_kinds:
                kinds.append(RelayedKind(kind, chain.since, chain.until))
        self._mesh.broadcast(RelayHeartbeat(tuple(kinds)))

    def _vouched_kinds(self) -> set[str]:
        """Return the kinds of which this VM's own calls show all changes now."""
        if self._timers.now() - self._client.answered_at > STORE_MAX_SILENCE_S:
            return set()
        return {kind for kind in self._chains if self._followed[kind].fresh()}

    # What relays tell

    async def _on_word(self, sender, message: RelayHeartbeat) -> None:
        self._role.note_word(sender.vm, bool(message.kinds))
        vouched_for = {told.kind for told in message.kinds}
        for kind in set(self._heard) - vouched_for:
            self._heard[kind].pop(sender.incarnation, None)
        for kind, since, until in message.kinds:
            if kind not in self._followed:
                continue
            self._heard[kind][sender.incarnation] = _Heard(self._timers.now(), since)
            self._apply_changes(sender.vm, RelayedChanges(kind, since, until, ()))

    async def _on_changes(self, sender, message: RelayedChanges) -> None:
        if message.kind in self._followed:
            self._apply_changes(sender.vm, message)

    def _apply_changes(self, relay: str, message: RelayedChanges) -> None:
        kind = message.kind
        known = self._followed[kind].known
        events = _read_events(message.records)
        told = (message.since, message.until, events)
        if known.apply_changes(*told, message.names, message.compared_at):
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

    # What one VM asks another

    async def fetch_at_start(self, kind: str) -> bool:
        """Take all of a kind from a VM that tells this one; False if none does."""
        sources = self._sources()
        return bool(sources) and await self._fetch_from(sources[0], kind)

    async def fetch(self, kind: str) -> bool:
        """Take what other VMs know of a kind; False if none could tell.

        For a VM that the store doesn't serve, while it may serve others. One that
        starts would refuse all requests; one that missed a change would keep what was
        in force before.
        """
        starts = self._followed[kind].known.until == NO_REVISION
        for vm in self._sources()[: MAX_FETCH_SOURCES if starts else 1]:
            if await self._fetch_from(vm, kind):
                return True
        return False

    def _sources(self) -> list[str]:
        """Return the VMs that may be asked, another one first each time.

        In a large fleet these are heads, to which there are connections.
        """
        if self._mesh.large and self._mesh.upstream_head:
            return [self._mesh.upstream_head]
        if self._mesh.large and self._mesh.is_head:
            vms = self._mesh.other_heads
        else:
            vms = [peer.vm for peer in self._mesh.live]
        others = [vm for vm in vms if vm != self._memberships.vm]
        self._asked += 1
        first = self._asked % len(others) if others else 0
        return others[first:] + others[:first]

    async def _catch_up(self, kind: str, relay: str) -> None:
        """Ask for changes that were missed of what a relay told."""
        source = self._mesh.upstream_head if self._mesh.large else ""
        if source and await self._fetch_from(source, kind) and self.is_relayed(kind):
            return
        await self._fetch_from(relay, kind)

    async def _fetch_from(self, vm: str, kind: str) -> bool:
        """Take what a VM knows of a kind; False if it can't tell."""
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
            # What changed on a page since it was sent is told after its revision.
            until = page.until if until is None else min(until, page.until)
            events += _read_events(page.records)
            names += page.names
            if not page.more or not page.names:
                break
            after = page.names[-1]
        if until > since or until == NO_REVISION:
            known.apply_changes(since, until, tuple(events), tuple(names))
        return True

    async def _on_fetch(self, sender, message: FetchRecords) -> FetchedRecords:
        followed = self._followed.get(message.kind)
        if followed is None or followed.known.until == NO_REVISION:
            return FetchedRecords(False, (), False)
        records, until = followed.known.records, followed.known.until
        if until <= message.since:
            return FetchedRecords(True, (), False, until)
        told: list[RelayedRecord] = []
        names: list[str] = []
        size = 0
        for name in sorted(name for name in records if name > message.after):
            if size > FETCHED_BYTES:
                return FetchedRecords(True, tuple(told), True, until, tuple(names))
            names.append(name)
            size += len(name)
            if records[name].revision <= message.since:
                continue
            relayed = relayed_record(name, records[name], records[name].revision)
            if relayed.size > MAX_RELAYED_BYTES:
                # It is listed once the store is back; the others must not wait for it.
                until = NO_REVISION
                continue
            size += relayed.size
            told.append(relayed)
        return FetchedRecords(True, tuple(told), False, until, tuple(names))


def _read_events(records: Iterable[RelayedRecord]) -> tuple[StoreEvent, ...]:
    """Return changes as the store would tell them.

    An object that the relay couldn't read is told as such, so that all VMs stop using
    what it named at the same time.
    """
    events = []
    for relayed in records:
        if relayed.size:
            events.append(StoreEvent(read_relayed(relayed), False))
            continue
        gone = StoredRecord(relayed.name, relayed.revision, None, None)
        events.append(StoreEvent(gone, True))
    return tuple(events)
