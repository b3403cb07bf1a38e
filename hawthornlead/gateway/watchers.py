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
from .kind_records import NO_REVISION, KindRecords
from .records import StoredRecord, StoreEvent
from .store_clients import WATCH_SLACK_S, StoreClient
from .watch_relays import WatchRelays

# A watch that waits longer finds out later that its answer was lost or its connection
# went silent. With WATCH_SLACK_S and a listing this stays below the 3 s after which a
# VM counts as in touch again and must heed new configurations.
WAIT_S = 2.0
# A watch that only asks what has changed until now.
NO_WAIT_S = 0.001
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


class KindWatcher:
    """Tells changes of one kind, each object's in the order of its revisions.

    After changes the watch pauses for ``pause_s``, so that a kind that changes all the
    time costs few calls. A kind that is ``fetched`` is taken from a head at the start,
    in a large fleet. What it does with objects is told by ``KindRecords``.
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
        effective_content: Callable[[StoredRecord], Any] = lambda record: record,
        pause_s: float = 0.0,
        fetched: bool = False,
    ):
        self._kind = kind
        self._client = client
        self._timers = timers
        self._rng = rng
        self._events = events
        self._relays = relays
        self._known = KindRecords(
            kind,
            events=events,
            on_changed=on_changed,
            on_deleted=on_deleted,
            on_unreadable=on_unreadable,
            metrics=metrics,
            effective_content=effective_content,
        )
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
        self._listed = False
        self._answering = True
        self._lost_at = 0.0
        self._back_at = 0.0
        self._tasks = TaskSet()
        relays.follow(kind, self._known, self._is_fresh)

    @property
    def listed(self) -> bool:
        """Whether the kind was listed at least once."""
        return self._listed

    @property
    def current(self) -> bool:
        """Whether this VM knows all changes, by its own calls or through a relay."""
        if not self._listed:
            return False
        return self._relays.is_relayed(self._kind) or self._is_fresh()

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
            self._current = await self._ask_store()
            if self._current:
                self._failures = 0
                continue
            if self._history_gone:
                await self._await_next_listing()
                continue
            self._failures += 1
            if await self._relays.fetch(self._kind):
                self._listed = True
            soon = self._failures <= SOON_RETRIES or not self._listed
            pause_s = RETRY_S if soon else LATER_RETRY_S
            await self._timers.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _ask_store(self) -> bool:
        """Ask the store once for what this VM doesn't know; whether it was told."""
        if self._history_gone or self._known.until == NO_REVISION:
            return await self._list()
        return await self._watch(WAIT_S if self._current else NO_WAIT_S)

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
        way = self._relays.change_source(self._kind)
        if way != self._way:
            self._way = way
            self._events.emit(EventKind.WAY_CHANGED, self._kind, way=way)

    async def _fetch_at_start(self) -> None:
        """Take what there is from a head, where the fleet is large and one tells it.

        Then a relay's word is waited for, which shows that nothing is missing.
        """
        await self._timers.sleep(ROSTER_S)
        until = self._timers.now() + FETCHED_WITHIN_S
        while self._relays.has_source and self._timers.now() < until:
            if not self._listed:
                self._listed = await self._relays.fetch_at_start(self._kind)
            if self._listed and self._relays.is_relayed(self._kind):
                return
            await self._timers.sleep(FETCH_AGAIN_S)

    async def _await_next_listing(self) -> None:
        """Wait before the kind is listed again because its history is gone.

        The first time it is listed at once: a relay that paused here would vouch for
        nothing, and all VMs would watch and list by themselves.
        """
        pause_s = RETRY_S * self._rng.uniform(0.5, 1.5)
        wait_s = self._listed_at + pause_s - self._timers.now()
        if wait_s > 0:
            await self._timers.sleep(wait_s)

    def _is_told(self) -> bool:
        """Whether relays tell all changes, so that this VM needs no watch."""
        if not self._listed or self._relays.is_relay:
            return False
        if not self._relays.is_relayed(self._kind):
            return False
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
        found = listed.ok_value
        self._note_skipped(found.skipped)
        self._known.apply_listing(found.revision, found.events)
        self._listed = True
        self._history_gone = False
        self._listed_at = began_at
        self._relays.on_listed(self._kind, found.revision, found.events)
        return True

    async def _watch(self, wait_s: float) -> bool:
        """Wait for changes once; False if the history is gone or the call failed."""
        began_at = self._timers.now()
        since = self._relays.watch_since(self._kind)
        outcome = await self._client.watch(self._kind, since, wait_s)
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
        events = tuple([_dated(event, since) for event in changes.events])
        self._known.apply_changes(since, changes.revision, events)
        self._relays.on_watched(self._kind, since, changes.revision, events)
        if self._timers.now() - began_at > wait_s + WATCH_SLACK_S:
            # This VM stood still meanwhile, and the answer is from before that.
            self._current = False
            return await self._watch(NO_WAIT_S)
        if events:
            await self._timers.sleep(self._pause_s)
        return True

    def _note_skipped(self, skipped: int) -> None:
        """Note objects without a readable name; told once until a listing has none."""
        if skipped and not self._skipped:
            self._known.note_unnamed()
        self._skipped = skipped > 0

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


def _dated(event: StoreEvent, since: int) -> StoreEvent:
    """Return a change after ``since``: a removal may bear the object's revision."""
    if not event.deleted or event.record.revision > since:
        return event
    return event._replace(record=event.record._replace(revision=since + 1))
