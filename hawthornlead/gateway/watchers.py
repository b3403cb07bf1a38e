"""Watching one kind of the store's objects: list, then watch, never move backwards.

Changes go to callbacks::

    watcher = KindWatcher("config", client=client, timers=timers, on_changed=apply,
                          on_deleted=remove, on_unreadable=warn)
    watcher.start()
"""

from collections.abc import Callable
from random import Random
from typing import Any

from ..eras.dated_revisions import era_of
from ..eras.removal_dates import dated_removals
from ..eras.settlements import EraSettlement
from ..events import EventKind, EventRing
from ..tasks import TaskSet
from ..timers import TimerService
from .gateway_metrics import GatewayMetrics
from .kind_records import KindRecords
from .records import StoredRecord
from .store_clients import WATCH_SLACK_S, StoreClient
from .store_retries import StoreRetries
from .watch_relays import WatchRelays

# How long a watch waits for changes. A longer wait detects a lost answer or a silent
# connection later. Together with WATCH_SLACK_S and a listing this stays below the 3 s
# after which a VM counts as connected again and must apply new configurations.
WATCH_WAIT_S = 2.0
# The wait of a watch that only requests the changes until now.
NO_WAIT_S = 0.001
# Pauses after failed calls; all VMs together must stay far below the store's rates.
RETRY_S = 0.4
MAX_FAST_RETRIES = 4
SLOW_RETRY_S = 0.9
# A store that answered within this time is up; a relay asks it twice as often.
STORE_HEARD_S = 1.0
# When the history that a watch requires is gone, the kind is listed every RETRY_S
# instead. All changes are known while the last listing is at most two of these old.
LISTING_MAX_AGE_S = 0.8
# How often a VM checks whether relays still send it changes.
RELAYED_POLL_INTERVAL_S = 0.2
LARGE_RELAYED_POLL_INTERVAL_S = 0.4
# A VM that starts in a large fleet fetches the objects from its head, and uses the
# store only after this time-out, since all VMs may start at once.
FETCH_RETRY_S = 0.25
FETCH_TIMEOUT_S = 2.5
# A stale listing is awaited for this long before the head is asked as well. A store
# that is overloaded or silent would delay the start by the time-out of a call, 1 s.
STALE_LISTING_WAIT_S = 0.25
STALE_LISTING_POLL_S = 0.02
# A VM that starts while an era isn't settled looks for this long for another VM that
# knows what the store has lost.
LOST_VERSIONS_WAIT_S = 1.0
# After this pause a starting VM knows whether the fleet is large, if the store answers.
REGISTRATIONS_WAIT_S = 0.1
# In a large fleet all VMs lose their relays at once. Their own calls are spread over
# this time, in which other relays usually take over.
FALLBACK_SPREAD_S = 1.0


class KindWatcher:
    """Reports changes of one kind, for each object in the order of its revisions.

    After changes the watch pauses for ``pause_s``, so that a kind with frequent changes
    costs few calls. With ``fetched``, the objects are fetched from a head at the start,
    in a large fleet; with ``stale_start``, a listing that may be seconds old comes
    first, if ``settlement`` shows that no new era can have begun since. ``KindRecords``
    describes how objects are applied, and what ``version_of`` is for.
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
        retries: StoreRetries,
        on_changed: Callable[[StoredRecord], bool | None],
        on_deleted: Callable[[str], None],
        on_unreadable: Callable[[str], None] = lambda name: None,
        metrics: GatewayMetrics | None = None,
        effective_content: Callable[[StoredRecord], Any] = lambda record: record,
        version_of: Callable[[StoredRecord], int] | None = None,
        pause_s: float = 0.0,
        fetched: bool = False,
        stale_start: bool = False,
        settlement: EraSettlement | None = None,
    ):
        self._kind = kind
        self._client = client
        self._timers = timers
        self._rng = rng
        self._events = events
        self._relays = relays
        self._retries = retries
        self._known = KindRecords(
            kind,
            events=events,
            on_changed=on_changed,
            on_deleted=on_deleted,
            on_unreadable=on_unreadable,
            metrics=metrics,
            effective_content=effective_content,
            version_of=version_of,
        )
        self._settlement = settlement
        self._failures = 0
        self._pause_s = pause_s
        self._fetched = fetched
        self._stale_start = stale_start
        self._current = False
        self._answered_at = 0.0
        self._listed_at = float("-inf")
        self._history_gone = False
        self._was_relayed = False
        self._change_source = ""
        self._skipped = False
        self._listed = False
        self._answering = True
        self._lost_at = 0.0
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
        """When the store last answered again after an outage; 0 if it had none.

        A call that failed while the store answered others of this VM, or a relay, is no
        outage. Before a new era the store was away, even if this VM didn't call it.
        """
        relayed = self._relays.is_relayed(self._kind)
        outage_end = 0.0 if relayed else self._client.gaps.outage_end
        return max(outage_end, self._client.eras.changed_at)

    def is_restored(self, revision: int) -> bool:
        """Whether an object may be from a copy of the store, older than known ones."""
        return self._known.is_restored(revision)

    def apply_again(self, name: str) -> None:
        """Pass on an object again that ``on_changed`` didn't take."""
        self._known.apply_again(name)

    def start(self) -> None:
        """Start listing and watching."""
        self._tasks.spawn(self._run())

    def stop(self) -> None:
        """Stop watching."""
        self._tasks.cancel()

    async def _run(self) -> None:
        if self._fetched:
            await self._fetch_at_start()
        while True:
            pause_s = self._relayed_pause_s()
            if pause_s > 0:
                await self._timers.sleep(pause_s)
                continue
            if self._retries.acquire_call(self._retry_s()):
                self._current = await self._call_store()
                if self._current:
                    self._failures = 0
                    continue
                if self._history_gone:
                    await self._await_next_listing()
                    continue
            self._failures += 1
            if await self._relays.fetch(self._kind):
                self._listed = True
            await self._retries.wait(self._retry_s() * self._rng.uniform(0.5, 1.5))

    def _retry_s(self) -> float:
        """Return the mean pause after a call that failed or was left to others.

        A call that fails first while the store answers others is repeated at once: its
        connection has gone silent, and changes have been missed for seconds.
        """
        heard_s = self._timers.now() - self._client.answered_at
        if self._failures == 1 and heard_s < STORE_HEARD_S:
            return 0.0
        soon = self._failures <= MAX_FAST_RETRIES or not self._listed
        return RETRY_S if soon else SLOW_RETRY_S

    async def _call_store(self) -> bool:
        """Call the store once for missing changes; return whether that succeeded."""
        since = self._relays.watch_since(self._kind)
        if self._history_gone or era_of(since) < self._client.eras.current:
            return await self._list()
        return await self._watch(WATCH_WAIT_S if self._current else NO_WAIT_S)

    def _relayed_pause_s(self) -> float:
        """Return for how long no own call is needed, since relays send all changes.

        When the relays fall silent, all VMs of a large fleet call the store, and their
        calls are spread.
        """
        large = self._relays.large
        self._record_change_source()
        if self._is_relayed():
            self._was_relayed = True
            return LARGE_RELAYED_POLL_INTERVAL_S if large else RELAYED_POLL_INTERVAL_S
        spread = self._was_relayed and large and not self._relays.is_relay
        self._was_relayed = False
        return FALLBACK_SPREAD_S * self._rng.random() if spread else 0.0

    def _record_change_source(self) -> None:
        way = self._relays.change_source(self._kind)
        if way != self._change_source:
            self._change_source = way
            self._events.emit(EventKind.WAY_CHANGED, self._kind, way=way)

    async def _fetch_at_start(self) -> None:
        """Fetch the objects from a head, if the fleet is large and there is a source.

        Then wait for a relay's heartbeat, which shows that nothing is missing.
        """
        await self._timers.sleep(REGISTRATIONS_WAIT_S)
        if self._stale_start and self._relays.has_source:
            await self._begin_stale_listing()
        until = self._timers.now() + FETCH_TIMEOUT_S
        while self._relays.has_source and self._timers.now() < until:
            if not self._listed:
                self._listed = await self._relays.fetch_at_start(self._kind)
            if self._listed and self._relays.is_relayed(self._kind):
                return
            await self._timers.sleep(FETCH_RETRY_S)

    async def _begin_stale_listing(self) -> None:
        listing = self._tasks.spawn(self._list_stale())
        until = self._timers.now() + STALE_LISTING_WAIT_S
        while not listing.done() and self._timers.now() < until:
            await self._timers.sleep(STALE_LISTING_POLL_S)

    async def _list_stale(self) -> None:
        """List the kind as it may have been seconds ago.

        If all VMs start at once, no head knows anything yet, and until one does each
        VM would refuse all requests. It isn't ``current`` before a relay or its own
        watch has shown it what changed since. In an era that isn't settled, the listing
        may be of the era before, at revisions that were given out again.
        """
        listed = await self._client.list_all(self._kind, stale=True)
        if listed.is_err():
            return
        if self._settlement is not None and not await self._settlement.ensure():
            return
        found = listed.ok_value
        self._known.apply_listing(found.revision, found.events)
        self._listed = True

    async def _await_next_listing(self) -> None:
        """Wait before the kind is listed again because its history is gone.

        The first listing is immediate: a relay that paused here would confirm nothing,
        and all VMs would watch and list by themselves.
        """
        pause_s = RETRY_S * self._rng.uniform(0.5, 1.5)
        wait_s = self._listed_at + pause_s - self._timers.now()
        if wait_s > 0:
            await self._timers.sleep(wait_s)

    def _is_relayed(self) -> bool:
        """Whether relays send all changes, so that this VM needs no watch."""
        if not self._listed or self._relays.is_relay:
            return False
        if not self._relays.is_relayed(self._kind):
            return False
        self._current = False
        return True

    def _is_fresh(self) -> bool:
        """Whether this VM's own recent calls show all changes."""
        if self._timers.now() - self._listed_at < LISTING_MAX_AGE_S:
            return True
        answered_after = self._timers.now() - WATCH_WAIT_S - WATCH_SLACK_S
        return self._current and self._answered_at >= answered_after

    async def _list(self) -> bool:
        started_at = self._timers.now()
        known_until = self._known.until
        listed = await self._client.list_all(self._kind)
        if listed.is_err():
            self._mark_lost(listed.err_value.detail)
            return False
        self._mark_recovered()
        await self._fetch_lost_versions()
        found = listed.ok_value
        if found.revision < known_until:
            self._events.emit(
                EventKind.LISTING_OUTDATED,
                self._kind,
                revision=found.revision,
                known_until=known_until,
            )
        self._report_skipped(found.skipped)
        self._known.apply_listing(found.revision, found.events)
        self._listed = True
        self._history_gone = False
        self._listed_at = started_at
        self._relays.on_listed(self._kind, found.revision, found.events)
        return True

    async def _fetch_lost_versions(self) -> None:
        """Fetch what other VMs know before a first listing that may lack versions.

        It is put in force without them if no VM that knows them is found in time.
        """
        if self._listed or not self._known.counts_versions:
            return
        if self._settlement is None or await self._settlement.ensure():
            return
        until = self._timers.now() + LOST_VERSIONS_WAIT_S
        await self._timers.sleep(REGISTRATIONS_WAIT_S)
        while self._relays.has_registered_others and self._timers.now() < until:
            if await self._relays.fetch(self._kind):
                return
            await self._timers.sleep(FETCH_RETRY_S)

    async def _watch(self, wait_s: float) -> bool:
        """Wait for changes once; False if the history is gone or the call failed."""
        started_at = self._timers.now()
        since = self._relays.watch_since(self._kind)
        outcome = await self._client.watch(self._kind, since, wait_s)
        if outcome.is_err():
            self._mark_lost(outcome.err_value.detail)
            return False
        self._mark_recovered()
        changes = outcome.ok_value
        if changes is None:
            self._history_gone = True
            return False
        if changes.skipped:
            self._report_skipped(changes.skipped)
        events = dated_removals(
            changes.events, since, changes.revision, self._known.records
        )
        self._known.apply_changes(since, changes.revision, events)
        self._relays.on_watched(self._kind, since, changes.revision, events)
        if self._timers.now() - started_at > wait_s + WATCH_SLACK_S:
            # This process was suspended during the call, and the answer is older.
            self._current = False
            return await self._watch(NO_WAIT_S)
        if events:
            await self._timers.sleep(self._pause_s)
        return True

    def _report_skipped(self, skipped: int) -> None:
        """Report objects without a readable name, once until a listing has none."""
        if skipped and not self._skipped:
            self._known.report_unnamed()
        self._skipped = skipped > 0

    def _mark_lost(self, detail: str) -> None:
        self._retries.record(served=False)
        if self._answering:
            self._lost_at = self._timers.now()
            self._events.emit(EventKind.WATCH_LOST, self._kind, detail=detail)
        self._answering = False

    def _mark_recovered(self) -> None:
        self._retries.record(served=True)
        self._answered_at = self._timers.now()
        if not self._answering:
            away_s = round(self._timers.now() - self._lost_at, 3)
            outage = self._client.gaps.outage_end >= self._lost_at
            self._events.emit(
                EventKind.WATCH_BACK, self._kind, away_s=away_s, outage=outage
            )
        self._answering = True
