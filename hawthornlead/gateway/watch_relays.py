"""Sharing watches of the store: a few VMs watch, the others are told.

Each waiting watch and each of its answers is a call that the store counts. If every VM
watched, calls would grow with the fleet times its changes. So two VMs, on which all
agree by rendezvous hashing, watch and pass changes on over the mesh; the others watch
only while no relay vouches for the kind.
"""

from collections import defaultdict
from collections.abc import Callable

from ..mesh.peers import PeerMesh
from ..messages.gateways import (
    FetchedRecords,
    FetchRecords,
    RelayedKind,
    RelayedRecord,
    RelayedRecords,
    RelayWord,
)
from ..platform.objects import content_body, read_content
from ..tasks import TaskSet
from ..timers import TimerService
from .memberships import Memberships
from .records import StoredRecord
from .store_clients import StoreClient

# A relay whose store answered none of its calls for so long vouches for nothing. Its
# watches may wait WAIT_S for an answer and look well meanwhile, while the store is out
# of its reach: with the next word and a listing the others know of a change within
# 1.5 s, of the 2 s in which a leaving target must be heeded; else it took up to 5 s.
STORE_HEARD_S = 0.8
# After so long without an answer the store is asked; most often targets' heartbeats
# have brought one before.
ASK_STORE_S = 0.45
# Two, so that one may freeze, leave or lose the store without a gap.
RELAYS = 2
WORD_S = 0.4
# After this the word of a relay is too old: with the way to a direct watch it stays
# well within the 2 s in which a configuration or a leaving target must be heeded.
WORD_KEPT_S = 1.1
RELAY_NAME = "store-relay"
# An object of the store may be as large as the largest message between VMs, by default
# 1 MiB, and larger once it is escaped. Half of it leaves room for what goes with it.
MOST_RELAYED_BYTES = 500_000
# Records are fetched from other VMs in messages of about this size.
FETCHED_BYTES = 200_000


NEVER = float("-inf")


class _Heard:
    """What was heard of one relay and kind."""

    def __init__(self):
        self.at = 0.0
        self.serial = -1
        self.behind = True
        self.behind_since = 0.0


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
        mesh: PeerMesh,
        timers: TimerService,
        client: StoreClient,
    ):
        self._client = client
        self._tasks = TaskSet()
        self._memberships = memberships
        self._mesh = mesh
        self._timers = timers
        self._serials: dict[str, int] = defaultdict(int)
        self._known: dict[str, Callable[[], dict[str, StoredRecord] | None]] = {}
        self._fresh: dict[str, Callable[[], bool]] = {}
        self._takers: dict[str, Callable[[StoredRecord | None, str, int], None]] = {}
        self._heard: dict[str, dict[str, _Heard]] = defaultdict(dict)
        mesh.on(RelayWord, self._on_word)
        mesh.on(RelayedRecords, self._on_records)
        mesh.on(FetchRecords, self._on_fetch)

    @property
    def is_relay(self) -> bool:
        """Whether this VM watches for the others."""
        order = self._memberships.order_for(RELAY_NAME)
        return self._memberships.vm in order[:RELAYS]

    def start(self) -> None:
        """Begin to vouch for what this VM watches."""
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

    def caught_up(self, kind: str, began_at: float) -> None:
        """Note that an own call begun at that time shows what was missed before."""
        for heard in self._heard[kind].values():
            if heard.behind_since <= began_at:
                heard.behind = False

    def pass_on(self, kind: str, name: str, record: StoredRecord | None, revision: int):
        """Pass a change on that this VM's own watch showed; None if deleted."""
        if not self.is_relay:
            return
        relayed = _relayed(name, record, revision)
        serial = self._serials[kind]
        self._serials[kind] += 1
        if len(relayed.body) > MOST_RELAYED_BYTES:
            # The mesh can't carry it, and raises an error that would end the watch.
            # The others see by the count that they miss a change, and list the kind.
            return
        self._mesh.broadcast(RelayedRecords(kind, serial, (relayed,)))

    async def fetch(self, kind: str) -> bool:
        """Take what another VM knows of a kind; False if none could tell.

        For a VM that starts while the store is away: without this it would refuse
        all requests until the store is back, though the others serve.
        """
        for peer in self._mesh.live:
            if await self._fetch_from(peer.vm, kind):
                return True
        return False

    async def _fetch_from(self, vm: str, kind: str) -> bool:
        after = ""
        while True:
            reply = await self._mesh.call(vm, FetchRecords(kind, after))
            if reply.is_err() or not reply.ok_value.known:
                return False
            self._take_all(kind, reply.ok_value.records)
            if not reply.ok_value.more:
                return True
            after = reply.ok_value.records[-1].name

    async def _on_fetch(self, sender, message: FetchRecords) -> FetchedRecords:
        read = self._known.get(message.kind)
        known = read() if read is not None else None
        if known is None:
            return FetchedRecords(False, (), False)
        records: list[RelayedRecord] = []
        size = 0
        for name in sorted(name for name in known if name > message.after):
            if records and size > FETCHED_BYTES:
                return FetchedRecords(True, tuple(records), True)
            relayed = _relayed(name, known[name], known[name].revision)
            if len(relayed.body) > MOST_RELAYED_BYTES:
                # It is listed once the store is back; the others must not wait for it.
                continue
            size += len(relayed.body)
            records.append(relayed)
        return FetchedRecords(True, tuple(records), False)

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
        self._mesh.broadcast(RelayWord(tuple(kinds)))

    async def _on_word(self, sender, message: RelayWord) -> None:
        vouched_for = {kind for kind, _ in message.kinds}
        for kind, heard_of in self._heard.items():
            if kind not in vouched_for and sender.incarnation in heard_of:
                heard_of[sender.incarnation].at = NEVER
        for kind, serial in message.kinds:
            heard = self._heard[kind].setdefault(sender.incarnation, _Heard())
            heard.at = self._timers.now()
            if heard.serial != serial:
                # Something that this relay passed on did not come here, as after a
                # lost connection. Only a listing shows what it was.
                heard.serial = serial
                heard.behind = True
                heard.behind_since = heard.at

    async def _on_records(self, sender, message: RelayedRecords) -> None:
        heard = self._heard[message.kind].setdefault(sender.incarnation, _Heard())
        if heard.serial == message.serial:
            heard.serial = message.serial + len(message.records)
        self._take_all(message.kind, message.records)

    def _take_all(self, kind: str, records: tuple[RelayedRecord, ...]) -> None:
        take = self._takers.get(kind)
        for relayed in records if take is not None else ():
            record = None
            if relayed.body:
                # An object that the relay couldn't read is told as such, so that all
                # VMs stop using what it named at the same time.
                record = read_content(relayed.name, relayed.revision, relayed.body)
            take(record, relayed.name, relayed.revision)


def _relayed(name: str, record: StoredRecord | None, revision: int) -> RelayedRecord:
    body = "" if record is None else content_body(record)
    return RelayedRecord(name, revision, body)
