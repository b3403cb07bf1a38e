"""Following one kind of the store's objects: list it, watch it, never go back.

Whoever follows a kind hands in callbacks::

    watcher = KindWatcher("config", client=client, timers=timers, on_changed=take,
                          on_deleted=drop, on_unreadable=warn)
    watcher.start()
"""

from collections.abc import Callable
from random import Random
from typing import Any

from ..events import EventKind, EventRing
from ..tasks import TaskSet
from ..timers import TimerService
from .gateway_metrics import GatewayMetrics
from .records import StoredRecord
from .store_clients import WATCH_SLACK_S, StoreClient
from .watch_relays import WatchRelays

# A watch that waits longer finds out later that its answer was lost or its connection
# went silent. With WATCH_SLACK_S and a listing this stays below the 3 s after which a
# VM counts as in touch again and must heed new configurations.
WAIT_S = 2.0
# Between calls that failed; all VMs together must stay far below the store's rates.
RETRY_S = 0.4
SOON_RETRIES = 4
LATER_RETRY_S = 0.9
# Where the history that a watch wants is gone, a kind is listed each RETRY_S instead.
# All changes are known as long as the last listing isn't older than two of these.
LISTED_FRESH_S = 0.8
# How often a VM that is told looks whether it still is.
TOLD_LOOK_S = 0.2
LARGE_TOLD_LOOK_S = 0.4
# A VM that starts in a large fleet asks its head so often for what there is, and turns
# to the store if that takes longer than this. All VMs start at once.
FETCH_AGAIN_S = 0.25
FETCHED_WITHIN_S = 2.5
# By then a VM that starts knows whether it is one of many, if the store answers at all.
ROSTER_S = 0.1
# In a large fleet all lose their relays at once. Their own calls are spread over this,
# in which other relays have most often stepped in.
SPREAD_S = 1.0
# A change that was passed on comes within a second; so many objects don't go in one.
REMOVED_KEPT = 1000
_NOTHING = object()
_UNREADABLE = object()


class KindWatcher:
    """Tells changes of one kind, each object's in the order of its revisions.

    ``essence`` is what of an object matters: a change of the rest is not told. After
    changes the watch pauses for ``pause_s``, so that a kind that changes all the time
    costs few calls. A kind that is ``fetched`` is taken from a head at the start, in a
    large fleet.

    Guards against an old answer overtaking a newer one, which would bring back a
    configuration that was replaced: an object at a revision that isn't newer than the
    one known is dropped, and a listing older than the last known revision too.

    What another writer put into the store may be unreadable: ``essence`` or
    ``on_changed`` raise ``ValueError``, and ``on_unreadable`` is called instead, once
    until the object can be read again. The watch goes on, and the other objects hold.
    """

    def __init__(
        self,
        kind: str,
        *,
        client: StoreClient,
        timers: TimerService,
        rng: Random,
        events: EventRing,
        relays: WatchRelays,
        on_changed: Callable[[StoredRecord], None],
        on_deleted: Callable[[str], None],
        on_unreadable: Callable[[str], None] = lambda name: None,
        metrics: GatewayMetrics | None = None,
        essence: Callable[[StoredRecord], Any] = lambda record: record,
        pause_s: float = 0.0,
        fetched: bool = False,
    ):
        self._kind = kind
        self._client = client
        self._timers = timers
        self._rng = rng
        self._events = events
        self._on_changed = on_changed
        self._on_deleted = on_deleted
        self._on_unreadable = on_unreadable
        self._metrics = metrics
        self._relays = relays
        self._essence = essence
        self._essences: dict[str, Any] = {}
        self._records: dict[str, StoredRecord] = {}
        self._failures = 0
        self._pause_s = pause_s
        self._fetched = fetched
        self._current = False
        self._answered_at = 0.0
        self._listed_at = float("-inf")
        self._history_gone = False
        self._was_told = False
        self._way = ""
        self._skipped = False
        self._revisions: dict[str, int] = {}
        # The revisions at which objects went: an older change, told late by another
        # relay, must not bring them back.
        self._removed: dict[str, int] = {}
        self._revision = 0
        self._listed = False
        self._answering = True
        self._lost_at = 0.0
        self._back_at = 0.0
        self._tasks = TaskSet()

    @property
    def listed(self) -> bool:
        """Whether the kind was listed at least once."""
        return self._listed

    @property
    def current(self) -> bool:
        """Whether this VM knows all changes, by its own calls or through a relay."""
        if not self._listed:
            return False
        return self._relays.vouched(self._kind) or self._is_fresh()

    @property
    def answering(self) -> bool:
        """Whether the last call of the store was answered."""
        return self._answering

    @property
    def back_at(self) -> float:
        """When the store began to answer again after it was lost; 0 if it never was."""
        return self._back_at

    def start(self) -> None:
        """Begin to list and watch."""
        self._relays.follow(
            self._kind,
            fresh=self._is_fresh,
            take=self._take_told,
            known=lambda: self._records if self._listed else None,
        )
        self._tasks.spawn(self._run())

    def stop(self) -> None:
        """End the watch."""
        self._tasks.cancel()

    async def _run(self) -> None:
        if self._fetched:
            await self._fetch_at_start()
        while True:
            pause_s = self._told_pause_s()
            if pause_s > 0:
                await self._timers.sleep(pause_s)
                continue
            if not self._current:
                self._current = await self._list()
            elif not await self._watch():
                self._current = False
            if self._current:
                self._failures = 0
                continue
            if self._history_gone:
                await self._await_next_listing()
                continue
            self._failures += 1
            if not self._listed:
                self._listed = await self._relays.fetch(self._kind)
            soon = self._failures <= SOON_RETRIES or not self._listed
            pause_s = RETRY_S if soon else LATER_RETRY_S
            await self._timers.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    def _told_pause_s(self) -> float:
        """Return how long no own call is needed, since relays tell all changes.

        When they fall silent all VMs of a large fleet turn to the store, and their
        calls are spread.
        """
        large = self._relays.large
        self._note_way()
        if self._is_told():
            self._was_told = True
            return LARGE_TOLD_LOOK_S if large else TOLD_LOOK_S
        spread = self._was_told and large and not self._relays.is_relay
        self._was_told = False
        return SPREAD_S * self._rng.random() if spread else 0.0

    def _note_way(self) -> None:
        way = self._relays.ways()[self._kind]
        if way != self._way:
            self._way = way
            self._events.emit(EventKind.WAY_CHANGED, self._kind, way=way)

    async def _fetch_at_start(self) -> None:
        """Take what there is from a head, where the fleet is large and one tells it."""
        await self._timers.sleep(ROSTER_S)
        until = self._timers.now() + FETCHED_WITHIN_S
        while self._relays.has_source and self._timers.now() < until:
            if await self._relays.fetch_vouched(self._kind):
                self._listed = True
                return
            await self._timers.sleep(FETCH_AGAIN_S)

    async def _await_next_listing(self) -> None:
        """Wait before the kind is listed again because its history is gone.

        The first time it is listed at once: a relay that paused here would vouch for
        nothing, and all VMs would watch and list by themselves.
        """
        self._history_gone = False
        pause_s = RETRY_S * self._rng.uniform(0.5, 1.5)
        wait_s = self._listed_at + pause_s - self._timers.now()
        if wait_s > 0:
            await self._timers.sleep(wait_s)

    def _is_told(self) -> bool:
        """Whether relays tell all changes, so that this VM needs no watch."""
        if not self._listed or self._relays.is_relay:
            return False
        if not self._relays.vouched(self._kind):
            return False
        # What comes over the mesh does not move the revision to watch from.
        self._current = False
        return True

    def _is_fresh(self) -> bool:
        """Whether this VM's own calls show all changes, as far as it can know."""
        if self._timers.now() - self._listed_at < LISTED_FRESH_S:
            return True
        answered_after = self._timers.now() - WAIT_S - WATCH_SLACK_S
        return self._current and self._answered_at >= answered_after

    async def _list(self) -> bool:
        began_at = self._timers.now()
        listed = await self._client.list_all(self._kind)
        if listed.is_err():
            self._note_lost(listed.err_value.detail)
            return False
        self._note_back()
        changes = listed.ok_value
        if changes.revision < self._revision:
            return False
        self._note_skipped(changes.skipped)
        names = set()
        for record in changes.events:
            names.add(record.name)
            self._take(record)
        for name in [name for name in self._revisions if name not in names]:
            if self._revisions[name] <= changes.revision:
                self._drop(name, changes.revision)
        self._revision = changes.revision
        self._listed = True
        self._listed_at = began_at
        self._relays.caught_up(self._kind, began_at)
        return True

    async def _watch(self) -> bool:
        """Wait for changes once; False if the history is gone or the call failed."""
        began_at = self._timers.now()
        outcome = await self._client.watch(self._kind, self._revision, WAIT_S)
        if outcome.is_err():
            self._note_lost(outcome.err_value.detail)
            return False
        self._note_back()
        changes = outcome.ok_value
        if changes is None:
            self._history_gone = True
            return False
        if changes.skipped:
            self._note_skipped(changes.skipped)
        for event in changes.events:
            if event.deleted:
                self._drop(event.record.name, event.record.revision)
                continue
            self._take(event.record)
        self._revision = max(self._revision, changes.revision)
        self._relays.caught_up(self._kind, began_at)
        if changes.events:
            await self._timers.sleep(self._pause_s)
        return True

    def _take_told(self, record: StoredRecord | None, name: str, revision: int) -> None:
        """Take a change that a relay told."""
        if record is not None:
            self._apply(record)
        else:
            self._forget(name, revision)

    def _take(self, record: StoredRecord) -> None:
        """Take a change that this VM's own calls showed, and pass it on."""
        if self._apply(record):
            self._relays.pass_on(self._kind, record.name, record, record.revision)

    def _drop(self, name: str, revision: int) -> None:
        if self._forget(name, revision):
            self._relays.pass_on(self._kind, name, None, revision)

    def _apply(self, record: StoredRecord) -> bool:
        """Put a change in force; False if it is old, or changes nothing of note."""
        if record.revision <= self._revisions.get(record.name, -1):
            return False
        if record.revision <= self._removed.get(record.name, -1):
            return False
        self._revisions[record.name] = record.revision
        self._records[record.name] = record
        try:
            essence = self._read_essence(record)
            if essence == self._essences.get(record.name, _NOTHING):
                return False
            self._on_changed(record)
        except ValueError as error:
            return self._take_unreadable(record, error)
        self._essences[record.name] = essence
        return True

    def _read_essence(self, record: StoredRecord) -> Any:
        if record.unreadable:
            raise ValueError("it is no object, or has bytes that can't be read")
        return self._essence(record)

    def _take_unreadable(self, record: StoredRecord, error: ValueError) -> bool:
        """Note an unreadable object; False if it was unreadable before too.

        A writer may go on writing such objects several times a second: only the first
        of a series is told.
        """
        if self._essences.get(record.name) is _UNREADABLE:
            return False
        self._essences[record.name] = _UNREADABLE
        self._tell_unusable(f"{self._kind}/{record.name}", str(error))
        self._on_unreadable(record.name)
        return True

    def _note_skipped(self, skipped: int) -> None:
        """Note objects without a readable name; told once until a listing has none."""
        if skipped and not self._skipped:
            self._tell_unusable(self._kind, "no name or revision that can be read")
        self._skipped = skipped > 0

    def _tell_unusable(self, subject: str, detail: str) -> None:
        self._events.emit(EventKind.RECORD_UNUSABLE, subject, error=detail)
        if self._metrics is not None:
            self._metrics.unreadable.labels(self._kind).inc()

    def _forget(self, name: str, revision: int) -> bool:
        known = self._revisions.get(name)
        if known is not None and revision < known:
            return False
        # Also of an object that isn't known: another VM that was asked for all may
        # tell of it as it was before.
        self._removed[name] = max(revision, self._removed.get(name, -1))
        if len(self._removed) > REMOVED_KEPT:
            del self._removed[next(iter(self._removed))]
        if known is None:
            return False
        del self._revisions[name]
        self._essences.pop(name, None)
        self._records.pop(name, None)
        self._on_deleted(name)
        return True

    def _note_lost(self, detail: str) -> None:
        if self._answering:
            self._lost_at = self._timers.now()
            self._events.emit(EventKind.WATCH_LOST, self._kind, detail=detail)
        self._answering = False

    def _note_back(self) -> None:
        self._answered_at = self._timers.now()
        if not self._answering:
            self._back_at = self._timers.now()
            away_s = round(self._back_at - self._lost_at, 3)
            self._events.emit(EventKind.WATCH_BACK, self._kind, away_s=away_s)
        self._answering = True
