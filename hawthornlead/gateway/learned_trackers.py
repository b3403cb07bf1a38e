"""Tracking of an engine's adapter fetches by learned fetch times and report lags.

An adapter counts as ready at its expected time. Some fetches are also observed by
reports, and requests that the engine refuses show that an expectation was too early.
Both teach the estimates, which all engines of a VM share.
"""

import asyncio
from collections.abc import Awaitable, Callable

from result import Result

from ..errors import Failure
from ..fetches.fetch_estimates import FetchEstimates
from ..fetches.fetch_observations import POLL_INTERVAL_S, FetchObservation
from ..timers import TimerService
from .engine_reports import REPORT_LAG_S
from .engine_slots import AdapterKey, EngineSlots, Slot, SlotState
from .fetch_trackers import LOAD_TIMEOUT_S, arrived_version, shows_adapter
from .recent_adapters import RecentAdapters, remembered_adapters
from .records import EngineReport

# A prompt may be sent this long after its adapter is ready, when its turn comes. If it
# is refused within this time, the adapter may still be arriving.
EARLY_READY_S = 1.0
# An expectation that has moved by less while it was awaited isn't awaited again.
MIN_DELAY_S = 0.005
# While the estimate is outdated it is read again at this interval, until this multiple
# of the expected time has passed. Contention rarely more than doubles the time.
OUTDATED_RETRY_S = 0.02
MAX_DELAY = 2.5


class _Fetch:
    """One fetch; ``since`` is when its order was accepted."""

    def __init__(self, since: float, repeated: bool, observed: bool):
        self.since = since
        self.repeated = repeated
        self.observed = observed
        self.expected_at = 0.0
        self.predicted_at: float | None = None


class LearnedFetchTracker:
    """Tracks the fetches of one engine, as ``FetchTracker`` does.

    ``waiting`` returns how many requests wait for an adapter. They are sent when the
    adapter counts as ready, and show whether that was too early.
    """

    def __init__(
        self,
        *,
        slots: EngineSlots,
        estimates: FetchEstimates,
        timers: TimerService,
        read_report: Callable[[], Awaitable[Result[EngineReport, Failure]]],
        waiting: Callable[[AdapterKey], int],
        on_ready: Callable[[AdapterKey, int, str], None],
        on_missing: Callable[[AdapterKey], None],
        on_absent: Callable[[], None],
    ):
        self._slots = slots
        self._estimates = estimates
        self._timers = timers
        self._read_report = read_report
        self._waiting = waiting
        self._on_ready = on_ready
        self._on_missing = on_missing
        self._on_absent = on_absent
        self._recent = RecentAdapters(remembered_adapters(slots.capacity))
        self._fetches: dict[AdapterKey, _Fetch] = {}

    async def track(self, key: AdapterKey, slot: Slot, order_count: int) -> None:
        """Track one fetch by its expected time, and observe it if that is due.

        With its order the engine has accepted ``order_count`` orders.
        """
        repeated = key in self._recent
        self._recent.add(key)
        observation = self._estimates.begin_observation(repeated, self._timers.now())
        fetch = _Fetch(slot.since, repeated, observation is not None)
        fetch.expected_at = slot.since + self._estimates.times[repeated].expected_s
        self._discard_former()
        self._fetches[key] = fetch
        if observation is None:
            await self._foresee(key, slot, fetch)
            return
        await asyncio.gather(
            self._foresee(key, slot, fetch),
            self._observe(key, slot, fetch, observation, order_count),
        )

    async def follow(self, key: AdapterKey, slot: Slot) -> None:
        """Track a fetch that a report shows, by its expected time if it is known."""
        fetch = self._fetches.get(key)
        if fetch is None or fetch.predicted_at is not None:
            await self._poll(key, slot)
            return
        await asyncio.gather(self._foresee(key, slot, fetch), self._poll(key, slot))

    def expected_at(self, key: AdapterKey) -> float | None:
        """Return when an arriving adapter is expected, None while that is unknown."""
        fetch = self._fetches.get(key)
        if fetch is None or fetch.expected_at <= self._timers.now():
            return None
        return fetch.expected_at

    def on_refused(self, key: AdapterKey, slot: Slot) -> bool:
        """Handle the engine's refusal of a request for the adapter of a ready slot.

        Return whether readiness was expected too early and the fetch still runs.
        """
        fetch = self._fetches.get(key)
        if fetch is None or fetch.predicted_at is None:
            return False
        now = self._timers.now()
        if now - fetch.predicted_at > EARLY_READY_S:
            return False
        self._estimates.times[fetch.repeated].record_early(now)
        return True

    def on_refused_again(self, key: AdapterKey) -> None:
        """Handle the refusal of a further request for an adapter expected too early."""
        fetch = self._fetches.get(key)
        if fetch is not None and fetch.predicted_at is not None:
            self._estimates.times[fetch.repeated].record_early_again()

    async def recheck(self, key: AdapterKey, slot: Slot) -> None:
        """Expect a refused adapter again, and await it by reports."""
        fetch = self._fetches.get(key)
        if fetch is None:
            await self.follow(key, slot)
            return
        times = self._estimates.times[fetch.repeated]
        after_s = self._timers.now() - fetch.since
        awaited = [self._await_report(key, slot, fetch, after_s)]
        if times.reliable:
            awaited.append(self._foresee_again(key, slot, times.retry_s(after_s)))
        await asyncio.gather(*awaited)

    async def _poll(self, key: AdapterKey, slot: Slot) -> None:
        """Poll reports until one shows the adapter."""
        while self._timers.now() - slot.since < LOAD_TIMEOUT_S:
            read = await self._read_report()
            if read.is_ok() and self._take_report(key, slot, read.ok_value):
                return
            if key not in self._slots.slots:
                return
            await self._timers.sleep(2 * POLL_INTERVAL_S)
        self._on_missing(key)

    async def _foresee(self, key: AdapterKey, slot: Slot, fetch: _Fetch) -> None:
        """Count an adapter as ready at its expected time."""
        times = self._estimates.times[fetch.repeated]
        while True:
            # The estimate may change meanwhile.
            past_s = self._timers.now() - fetch.since
            left_s = times.expected_s - past_s
            if times.outdated and past_s < MAX_DELAY * times.expected_s:
                left_s = max(left_s, OUTDATED_RETRY_S)
            if left_s < MIN_DELAY_S:
                break
            fetch.expected_at = self._timers.now() + left_s
            await self._timers.sleep(left_s)
        if self._slots.slots.get(key) is not slot:
            return
        requests = self._waiting(key)
        if requests:
            times.record_predicted(requests)
        fetch.predicted_at = self._timers.now()
        self._on_ready(key, max(1, slot.version), "foreseen")

    async def _foresee_again(
        self, key: AdapterKey, slot: Slot, expected_s: float
    ) -> None:
        fetch = self._fetches[key]
        fetch.expected_at = fetch.since + expected_s
        left_s = fetch.expected_at - self._timers.now()
        if left_s > 0:
            await self._timers.sleep(left_s)
        if self._slots.slots.get(key) is slot:
            fetch.predicted_at = self._timers.now()
            self._on_ready(key, max(1, slot.version), "foreseen again")

    async def _observe(
        self,
        key: AdapterKey,
        slot: Slot,
        fetch: _Fetch,
        observation: FetchObservation,
        order_count: int,
    ) -> None:
        """Poll reports until one shows the adapter, and learn from them."""
        reported = False
        while observation.next_poll_s < LOAD_TIMEOUT_S:
            left_s = fetch.since + observation.next_poll_s - self._timers.now()
            if left_s > 0:
                await self._timers.sleep(left_s)
            read = await self._read_report()
            at_s = self._timers.now() - fetch.since
            reported = read.is_ok()
            if read.is_err():
                observation.skip(at_s)
                continue
            report = read.ok_value
            shows_order = report.order_count >= order_count
            version = arrived_version(report, key) or 0
            shows_held = version > 0 and version >= slot.version
            observation.record(at_s, shows_order, shows_held)
            if observation.complete:
                now = self._timers.now()
                self._estimates.end_observation(observation, fetch.repeated, now)
                self._take_report(key, slot, report)
                return
            if not self._is_current(key, fetch):
                return
        self._end_missing(key, reported)

    async def _await_report(
        self, key: AdapterKey, slot: Slot, fetch: _Fetch, after_s: float
    ) -> None:
        """Poll reports until one shows a refused adapter, and learn its fetch time.

        The refusal shows that the fetch takes longer than ``after_s``.
        """
        lag_s = self._estimates.lag.expected_s
        # A report from before the order wouldn't show the adapter at all.
        bound_s = max(REPORT_LAG_S, self._estimates.lag.bound_s)
        first_s = max(bound_s, after_s + lag_s - POLL_INTERVAL_S)
        await self._timers.sleep(max(0.0, fetch.since + first_s - self._timers.now()))
        reported = False
        while self._timers.now() - fetch.since < LOAD_TIMEOUT_S:
            read = await self._read_report()
            reported = read.is_ok()
            if reported:
                if not shows_adapter(read.ok_value, key):
                    self._on_absent()
                    return
                shown_s = self._timers.now() - fetch.since - lag_s
                if arrived_version(read.ok_value, key):
                    if not fetch.observed and shown_s > after_s:
                        times = self._estimates.times[fetch.repeated]
                        times.observe((after_s + shown_s) / 2, self._timers.now())
                    self._take_report(key, slot, read.ok_value)
                    return
                after_s = max(after_s, shown_s)
            if not self._is_current(key, fetch):
                return
            await self._timers.sleep(POLL_INTERVAL_S)
        self._end_missing(key, reported)

    def _end_missing(self, key: AdapterKey, reported: bool) -> None:
        """Handle an adapter that wasn't shown in time, ``reported`` by a last report.

        Without reports, one that counts as ready isn't missing.
        """
        slot = self._slots.slots.get(key)
        if slot is not None and (reported or slot.state is SlotState.ARRIVING):
            self._on_missing(key)

    def _is_current(self, key: AdapterKey, fetch: _Fetch) -> bool:
        """Whether the adapter of a fetch hasn't left or been fetched again since."""
        return key in self._slots.slots and self._fetches.get(key) is fetch

    def _take_report(self, key: AdapterKey, slot: Slot, report: EngineReport) -> bool:
        """Take an adapter as ready if a report shows it; return whether it does."""
        version = arrived_version(report, key)
        version = 0 if version is None else max(1, version)
        if not version or version < slot.version:
            return False
        current = self._slots.slots.get(key)
        if current is not None and current.state is SlotState.ARRIVING:
            self._on_ready(key, version, "reported")
        fetch = self._fetches.get(key)
        if fetch is not None and fetch.since <= slot.since:
            # A later refusal isn't due to the expected time.
            fetch.predicted_at = None
        return True

    def _discard_former(self) -> None:
        """Discard the fetches of adapters that have left."""
        for key in tuple(self._fetches):
            if key not in self._slots.slots:
                del self._fetches[key]
