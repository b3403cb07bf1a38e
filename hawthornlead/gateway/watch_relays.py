"""Sharing watches of the store: a few VMs watch, the others are told.

Each waiting watch and each of its answers is a call that the store counts. If every VM
watched, calls would grow with the fleet times its changes. So two VMs, those that
registered first, watch and pass changes on over the mesh; the others watch only while
no relay vouches for the kind. A VM that starts in a large fleet takes what there is
from the head that feeds it, and not from the store.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import (
    FetchedRecords,
    FetchRecords,
    RelayBasis,
    RelayedKind,
    RelayedRecord,
    RelayedRecords,
    RelayWord,
)
from ..tasks import TaskSet
from ..timers import TimerService
from .memberships import Memberships
from .records import StoredRecord
from .relay_roles import NEVER, WORD_KEPT_S, RelayRole
from .relayed_records import read_relayed, relayed_record
from .store_clients import StoreClient

# A relay whose store answered none of its calls for so long vouches for nothing. Its
# watches may wait WAIT_S for an answer and look well meanwhile, while the store is out
# of its reach: with the next word and a listing the others know of a change within
# 1.5 s, of the 2 s in which a leaving target must be heeded; else it took up to 5 s.
STORE_HEARD_S = 0.8
# After so long without an answer the store is asked; most often targets' heartbeats
# have brought one before.
ASK_STORE_S = 0.45
WORD_S = 0.4
ROLE_LOOK_S = 0.2
# What was told within this time a new relay tells again: some may have missed it.
RECENT_S = 5.0
# An object of the store may be as large as the largest message between VMs, by default
# 1 MiB, and larger once it is escaped. Half of it leaves room for what goes with it.
MOST_RELAYED_BYTES = 500_000
# So many VMs are asked for what they know, while the store is away.
MOST_ASKED = 8
# Records are fetched from other VMs in messages of about this size.
FETCHED_BYTES = 200_000


UNHEARD = -1
# What one relay passed on so long ago another one that vouches has passed on too: it
# takes less until a relay whose watch went silent vouches no more.
SETTLED_S = 4.0


class _Told(NamedTuple):
    """A change that a relay told, and when."""

    at: float
    kind: str
    record: RelayedRecord


class _Heard:
    """What was heard of one relay and kind.

    ``at`` is when it vouched last, ``heard_at`` when it told at all. ``from_start``
    tells that nothing is missing of what it passed on since it became a relay.
    """

    def __init__(self):
        self.at = 0.0
        self.heard_at = 0.0
        self.from_start = True
        self.serial = UNHEARD
        self.changed_at = 0.0
        self.behind = True
        self.behind_since = 0.0

    def begin_at(self, serial: int, now: float) -> None:
        """Begin with a relay's first word, if nothing was passed on before it."""
        if self.serial == UNHEARD and serial == 0:
            self.serial = 0
            self.behind_since = now


class WatchRelays:
    """What this VM passes on as a relay, and what it hears from relays.

    ::

        if relays.vouched("config"):
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
        self._serials: dict[str, int] = defaultdict(int)
        self._known: dict[str, Callable[[], dict[str, StoredRecord] | None]] = {}
        self._fresh: dict[str, Callable[[], bool]] = {}
        self._takers: dict[str, Callable[[StoredRecord | None, str, int], None]] = {}
        self._heard: dict[str, dict[str, _Heard]] = defaultdict(dict)
        self._relaying = False
        self._role = RelayRole(memberships=memberships, mesh=mesh, timers=timers)
        self._basis: tuple[RelayBasis, ...] = ()
        self._recent: deque[_Told] = deque()
        mesh.on(RelayWord, self._on_word)
        mesh.on(RelayedRecords, self._on_records)
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
        self._timers.every(ROLE_LOOK_S, self._look_at_role, name="relay-role")
        self._timers.every(WORD_S, self._tell_word, name="relay-word")

    def follow(
        self,
        kind: str,
        *,
        fresh: Callable[[], bool],
        take: Callable[[StoredRecord | None, str, int], None],
        known: Callable[[], dict[str, StoredRecord] | None],
    ) -> None:
        """Enter a watcher of a kind.

        ``fresh`` tells whether its own watch shows all changes, ``take`` takes what
        others tell, ``known`` returns all that it knows, None before it knows any.
        """
        self._known[kind] = known
        self._fresh[kind] = fresh
        self._takers[kind] = take

    def vouched(self, kind: str) -> bool:
        """Whether a relay was heard lately and nothing that it passed on is missing."""
        heard_after = self._timers.now() - WORD_KEPT_S
        for heard in self._heard[kind].values():
            if heard.at >= heard_after and not heard.behind:
                return True
        return False

    def ways(self) -> dict[str, str]:
        """Return by what this VM learns of changes of each kind that it follows."""
        ways = {}
        for kind in self._fresh:
            told = "told by a relay" if self.vouched(kind) else "own watch"
            ways[kind] = "watches for others" if self.is_relay else told
        return ways

    def caught_up(self, kind: str, began_at: float) -> None:
        """Note that an own call begun at that time shows what was missed before."""
        for heard in self._heard[kind].values():
            if heard.behind_since <= began_at:
                heard.behind = False

    def pass_on(self, kind: str, name: str, record: StoredRecord | None, revision: int):
        """Pass a change on that this VM's own watch showed; None if deleted."""
        if not self.is_relay:
            return
        self._pass(kind, relayed_record(name, record, revision))

    def _pass(self, kind: str, relayed: RelayedRecord) -> None:
        serial = self._serials[kind]
        self._serials[kind] += 1
        if relayed.size > MOST_RELAYED_BYTES:
            # The mesh can't carry it, and raises an error that would end the watch.
            # The others see by the count that they miss a change, and list the kind.
            return
        self._mesh.broadcast(RelayedRecords(kind, serial, (relayed,)))

    async def fetch_vouched(self, kind: str) -> bool:
        """Take all of a kind from a VM that is told all changes; False if none is.

        That VM passes on all changes, so that what it knows and what it tells after
        leave nothing out.
        """
        source = self._source()
        if not source or not self._heard[kind]:
            return False
        began_at = self._timers.now()
        told_by = await self._fetch_from(source, kind)
        if not told_by:
            return False
        for incarnation, heard in self._heard[kind].items():
            if incarnation in told_by and heard.behind_since <= began_at:
                heard.behind = False
        return True

    def _source(self) -> str:
        """Return the VM through which changes come to this one, empty if none does."""
        if not self._mesh.large or self.is_relay:
            return ""
        if self._mesh.is_head:
            return self._memberships.eldest(1)[0]
        return self._mesh.feed

    async def fetch(self, kind: str) -> bool:
        """Take what another VM knows of a kind; False if none could tell.

        For a VM that starts while the store is away: without this it would refuse
        all requests until the store is back, though the others serve.
        """
        for peer in self._mesh.live[:MOST_ASKED]:
            if await self._fetch_from(peer.vm, kind) is not None:
                return True
        return False

    async def _fetch_from(self, vm: str, kind: str) -> frozenset[str] | None:
        """Take what a VM knows of a kind; None if it can't tell.

        Return the relays of which it has missed nothing.
        """
        after = ""
        told_by: frozenset[str] | None = None
        while True:
            reply = await self._mesh.call(vm, FetchRecords(kind, after))
            if reply.is_err() or not reply.ok_value.known:
                return None
            told = frozenset(reply.ok_value.told_by)
            told_by = told if told_by is None else told_by & told
            self._take_all(kind, reply.ok_value.records)
            if not reply.ok_value.more:
                return told_by
            after = reply.ok_value.records[-1].name

    async def _on_fetch(self, sender, message: FetchRecords) -> FetchedRecords:
        read = self._known.get(message.kind)
        known = read() if read is not None else None
        if known is None:
            return FetchedRecords(False, (), False)
        told_by = self._told_by(message.kind)
        records: list[RelayedRecord] = []
        size = 0
        for name in sorted(name for name in known if name > message.after):
            if records and size > FETCHED_BYTES:
                return FetchedRecords(True, tuple(records), True, told_by)
            relayed = relayed_record(name, known[name], known[name].revision)
            if relayed.size > MOST_RELAYED_BYTES:
                # It is listed once the store is back; the others must not wait for it.
                told_by = ()
                continue
            size += relayed.size
            records.append(relayed)
        return FetchedRecords(True, tuple(records), False, told_by)

    def _told_by(self, kind: str) -> tuple[str, ...]:
        """Return the relays of which this VM knows all that they passed on."""
        told_by = [self._memberships.incarnation] if self._watches(kind) else []
        heard_after = self._timers.now() - WORD_KEPT_S
        for incarnation, heard in self._heard[kind].items():
            if heard.at >= heard_after and not heard.behind:
                told_by.append(incarnation)
        return tuple(told_by)

    def _watches(self, kind: str) -> bool:
        return self.is_relay and self._fresh[kind]()

    def _look_at_role(self) -> None:
        """Become a relay, or stop being one, by who else vouches."""
        relaying = self._role.should_relay()
        if relaying == self._relaying:
            return
        if relaying:
            self._begin_to_relay()
        self._relaying = relaying
        kind = EventKind.RELAY_BEGUN if relaying else EventKind.RELAY_ENDED
        self._events.emit(kind, self._memberships.vm)

    def _begin_to_relay(self) -> None:
        """Note on what this VM's words stand, and tell again what was told lately."""
        now = self._timers.now()
        basis = []
        for kind, heard_of in self._heard.items():
            for incarnation, heard in heard_of.items():
                if now - heard.heard_at < RECENT_S and not heard.behind:
                    basis.append(RelayBasis(incarnation, kind, heard.serial))
        self._basis = tuple(basis)
        for told in self._recent:
            if now - told.at < RECENT_S:
                self._pass(told.kind, told.record)

    def _tell_word(self) -> None:
        if not self.is_relay:
            return
        unanswered_s = self._timers.now() - self._client.answered_at
        if unanswered_s > ASK_STORE_S:
            self._tasks.spawn_once("ask", self._client.ask)
        kinds = []
        for kind, fresh in self._fresh.items():
            if unanswered_s <= STORE_HEARD_S and fresh():
                kinds.append(RelayedKind(kind, self._serials[kind]))
        self._mesh.broadcast(RelayWord(tuple(kinds), self._basis))

    async def _on_word(self, sender, message: RelayWord) -> None:
        now = self._timers.now()
        self._role.note_word(sender.vm, bool(message.kinds))
        vouched_for = {kind for kind, _ in message.kinds}
        for kind, heard_of in self._heard.items():
            if kind not in vouched_for and sender.incarnation in heard_of:
                heard_of[sender.incarnation].at = NEVER
        for kind, serial in message.kinds:
            heard = self._heard[kind].setdefault(sender.incarnation, _Heard())
            heard.at = heard.heard_at = now
            heard.begin_at(serial, now)
            if heard.serial != serial:
                heard.changed_at = now
                # Something that this relay passed on did not come here, as after a
                # lost connection. Only a listing shows what it was.
                if not heard.behind:
                    self._note_missed(kind, sender.vm)
                heard.serial = serial
                heard.from_start = False
                heard.behind = True
                heard.behind_since = now
                continue
            if heard.behind and heard.from_start:
                heard.behind = not self._knows_basis(kind, message.basis)
            if heard.behind and now - heard.changed_at >= SETTLED_S:
                heard.behind = not self.vouched(kind)

    def _note_missed(self, kind: str, relay: str) -> None:
        self._events.emit(EventKind.CHANGES_MISSED, kind, relay=relay)

    def _knows_basis(self, kind: str, basis: tuple[RelayBasis, ...]) -> bool:
        """Whether this VM knows of a kind all that a relay knew as it began.

        It does if it has missed nothing of another relay up to where that one stood.
        """
        for each in basis:
            heard = self._heard[kind].get(each.incarnation)
            if each.kind != kind or heard is None or heard.behind:
                continue
            if heard.serial >= each.serial:
                return True
        return False

    async def _on_records(self, sender, message: RelayedRecords) -> None:
        heard = self._heard[message.kind].setdefault(sender.incarnation, _Heard())
        heard.begin_at(message.serial, self._timers.now())
        if heard.serial == message.serial:
            heard.serial = message.serial + len(message.records)
            heard.changed_at = self._timers.now()
        self._note_told(message)
        self._take_all(message.kind, message.records)

    def _note_told(self, message: RelayedRecords) -> None:
        now = self._timers.now()
        for record in message.records:
            self._recent.append(_Told(now, message.kind, record))
        while self._recent and now - self._recent[0].at >= RECENT_S:
            self._recent.popleft()

    def _take_all(self, kind: str, records: tuple[RelayedRecord, ...]) -> None:
        take = self._takers.get(kind)
        for relayed in records if take is not None else ():
            record = None
            if relayed.size:
                # An object that the relay couldn't read is told as such, so that all
                # VMs stop using what it named at the same time.
                record = read_relayed(relayed)
            take(record, relayed.name, relayed.revision)
