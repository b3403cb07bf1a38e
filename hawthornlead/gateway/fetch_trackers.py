"""Tracking of an engine's adapter fetches until the adapters are ready.

Reports lag, so the end of a fetch is predicted once fetch times are known. Some fetches
are also tracked by reports, to learn how long fetches take::

    tasks.spawn(tracker.track(key, slot))
"""

from collections.abc import Awaitable, Callable

from result import Result

from ..errors import Failure
from ..fetches.arrival_times import ArrivalTimes
from ..timers import TimerService
from .engine_reports import REPORT_LAG_S
from .engine_slots import AdapterKey, EngineSlots, Slot
from .recent_adapters import RecentAdapters, remembered_adapters
from .records import EngineReport, held_version

# A fetch takes 250 to 290 ms, or a tenth of that if the engine held the adapter
# recently, and a report lags 100 ms. The first poll is early enough for the fast ones.
FIRST_POLL_S = 0.13
POLL_INTERVAL_S = 0.06
# One of this many fetches is also tracked by reports, to learn how long fetches take.
OBSERVE_INTERVAL = 8
# If the engine refuses an adapter this soon after it was taken as ready, it was not.
EARLY_READY_S = 0.3
# If an adapter is still missing after this time, it was refused or its fetch failed.
LOAD_TIMEOUT_S = 5.0


class FetchTracker:
    """Tracks the fetches of one engine.

    ``arrivals`` are the learned times of first fetches (False) and of repeated ones
    (True). ``on_ready`` is called with key, version and how readiness is known,
    ``on_missing`` with the key of an adapter whose fetch timed out, ``on_absent`` when
    a report shows that the engine doesn't hold what was ordered.
    """

    def __init__(
        self,
        *,
        slots: EngineSlots,
        arrivals: dict[bool, ArrivalTimes],
        timers: TimerService,
        read_report: Callable[[], Awaitable[Result[EngineReport, Failure]]],
        on_ready: Callable[[AdapterKey, int, str], None],
        on_missing: Callable[[AdapterKey], None],
        on_absent: Callable[[], None],
    ):
        self._slots = slots
        self._arrivals = arrivals
        self._timers = timers
        self._read_report = read_report
        self._on_ready = on_ready
        self._on_missing = on_missing
        self._on_absent = on_absent
        self._recent = RecentAdapters(remembered_adapters(slots.capacity))
        self._fetches = 0

    async def track(self, key: AdapterKey, slot: Slot, order_count: int) -> None:
        """Track one fetch by its predicted time if known, otherwise by reports.

        With its order the engine has accepted ``order_count`` orders.
        """
        times = self._arrivals[key in self._recent]
        self._recent.add(key)
        self._fetches += 1
        expected_s = times.expected_s
        if expected_s is None:
            await self._timers.sleep(FIRST_POLL_S)
            await self.poll(key, slot, times)
            return
        await self._timers.sleep(expected_s)
        if self._slots.slots.get(key) is slot:
            self._on_ready(key, max(1, slot.version), "foreseen")
        if self._fetches % OBSERVE_INTERVAL == 0:
            await self.poll(key, slot, times)

    async def follow(self, key: AdapterKey, slot: Slot) -> None:
        """Track a fetch that a report shows, ordered by whomever."""
        await self.poll(key, slot)

    async def recheck(self, key: AdapterKey, slot: Slot) -> None:
        """Check whether an adapter that seemed ready is still arriving, or gone."""
        await self._timers.sleep(REPORT_LAG_S)
        read = await self._read_report()
        if read.is_ok() and not shows_adapter(read.ok_value, key):
            self._on_absent()
            return
        await self.poll(key, slot, learn=False)

    async def poll(
        self,
        key: AdapterKey,
        slot: Slot,
        times: ArrivalTimes | None = None,
        learn: bool = True,
    ) -> None:
        """Poll reports until one shows the adapter or ``LOAD_TIMEOUT_S`` has passed.

        ``learn`` is False if it isn't known when the adapter was ordered.
        """
        while self._timers.now() - slot.since < LOAD_TIMEOUT_S:
            read = await self._read_report()
            shown = arrived_version(read.ok_value, key) if read.is_ok() else None
            version = 0 if shown is None else max(1, shown)
            if version and version >= slot.version:
                if learn:
                    seen_after_s = self._timers.now() - slot.since
                    (times or self._arrivals[False]).observe(seen_after_s)
                if self._slots.slots.get(key) is slot:
                    self._on_ready(key, version, "reported")
                return
            if key not in self._slots.slots:
                return
            await self._timers.sleep(POLL_INTERVAL_S)
        self._on_missing(key)

    def expected_at(self, key: AdapterKey) -> float | None:
        """Return None: turns aren't reserved before an adapter is ready."""
        return None

    def on_refused(self, key: AdapterKey, slot: Slot) -> bool:
        """Handle the engine's refusal of a request for the adapter of a ready slot.

        Return whether readiness was predicted too early and the fetch still runs.
        """
        early = self._timers.now() - slot.since < EARLY_READY_S
        if early:
            self._arrivals[key in self._recent].record_too_early()
        return early

    def on_refused_again(self, key: AdapterKey) -> None:
        """Ignore the refusal of a further request for an adapter expected too early."""


def arrived_version(report: EngineReport, key: AdapterKey) -> int | None:
    """Return the version of an adapter that is held, None while one is arriving.

    While one version replaces another, a report shows both. If the held version were
    taken for the arriving one, an older version that a late order loads would be
    permanently mistaken for the newer one.
    """
    if _is_arriving(report, key):
        return None
    return held_version(report.models, *key)


def shows_adapter(report: EngineReport, key: AdapterKey) -> bool:
    """Whether a report shows an adapter as held or arriving."""
    return _is_arriving(report, key) or held_version(report.models, *key) is not None


def _is_arriving(report: EngineReport, key: AdapterKey) -> bool:
    return any((coming.model, coming.adapter) == key for coming in report.arriving)
