"""The measured speeds of engines: of those owned here, and of all as announced.

::

    measured = MeasuredEngines(enabled=True, targets=targets, loads=loads,
                               timers=timers, events=events)
    engine = measured.start(entry, spec)
    engine.record(request_ended)
    measured.compared(entry).factors.full
"""

from collections.abc import Callable
from typing import NamedTuple

from ..engine_speeds.engine_speeds import (
    ComparedSpeed,
    EngineSpeed,
    SpeedClass,
    classify,
    compare,
    median_speed,
)
from ..engine_speeds.speed_estimators import SpeedEstimator
from ..engine_speeds.stream_samples import StreamSample
from ..events import EventKind, EventRing
from ..messages.gateways import RequestEnded
from ..timers import TimerService
from .prompt_pacers import ASSUMED_PACE, ReadingPace, pace_of
from .records import EngineSpec, TargetEntry
from .target_loads import TargetLoads
from .target_tables import TargetTable

# Speeds change with announcements, several times a second. Comparing all engines for
# each request would cost more than the changes within this time matter.
COMPARISON_AGE_S = 0.5
UNKNOWN = ComparedSpeed()
# Between two events about the class of one engine.
CLASS_EVENT_INTERVAL_S = 5.0


class MeasuredEngine:
    """The speed of one incarnation of an engine, as its owner measures it.

    Without an estimator nothing is measured, and the initial values are used.
    """

    def __init__(
        self,
        estimator: SpeedEstimator | None = None,
        now: Callable[[], float] = lambda: 0.0,
        on_speed: Callable[[EngineSpeed], None] = lambda speed: None,
        running: Callable[[], int] = lambda: 0,
        is_slower: Callable[[], bool] = lambda: False,
    ):
        self._estimator = estimator
        self._is_slower = is_slower
        self._running = running
        self._now = now
        self._on_speed = on_speed

    @property
    def speed(self) -> EngineSpeed:
        """The estimated speed, unknown if nothing is measured."""
        return self._estimator.speed if self._estimator else EngineSpeed()

    @property
    def announced(self) -> EngineSpeed:
        """The speed as the last fields of ``TargetHoldings`` state it."""
        return self.speed.rounded()

    def pace(self) -> ReadingPace:
        """Return how the engine reads prompts, with the requests that run there now.

        Engines that are alike are all paced as assumed: it isn't known which part of
        their events' time is theirs.
        """
        if not self.speed.known or not self._is_slower():
            return ASSUMED_PACE
        return pace_of(self.speed, self._running(), self._estimator.batch)

    def record(self, ended: RequestEnded) -> None:
        """Learn from a request that has ended, if it was measured."""
        if self._estimator is None or not ended.event_ms:
            return
        sample = StreamSample(
            ended.event_ms, ended.first_ms, ended.prompt_tokens, ended.beside
        )
        self._estimator.record(sample, self._now())
        self._on_speed(self._estimator.speed)


# An engine that isn't measured.
UNMEASURED = MeasuredEngine()


class _Comparison(NamedTuple):
    """The median speed of a service's engines, and how each compares with it."""

    until: float
    median: EngineSpeed
    engines: dict[str, ComparedSpeed]


class _Classified(NamedTuple):
    """The class of an engine owned here, and when it last changed."""

    at: float
    speed_class: SpeedClass


class MeasuredEngines:
    """Measures the engines owned here, and compares the speeds of all engines."""

    def __init__(
        self,
        *,
        enabled: bool,
        targets: TargetTable,
        loads: TargetLoads,
        timers: TimerService,
        events: EventRing,
    ):
        self.enabled = enabled
        self._targets = targets
        self._loads = loads
        self._timers = timers
        self._events = events
        self._comparisons: dict[str, _Comparison] = {}
        self._classes: dict[str, _Classified] = {}

    @property
    def count(self) -> int:
        """How many engines have a known speed."""
        if not self.enabled:
            return 0
        return sum(self._targets.speed(each).known for each in self._targets.entries)

    def start(self, entry: TargetEntry, spec: EngineSpec) -> MeasuredEngine:
        """Start to measure an incarnation, from what its former owner announced."""
        if not self.enabled:
            return UNMEASURED
        # A later incarnation starts as a normal engine, and others may be gone.
        self._classes = {
            target: classified
            for target, classified in self._classes.items()
            if target in self._targets.entries and target != entry.target
        }
        estimator = SpeedEstimator(spec.batch, self._targets.speed(entry.target))
        return MeasuredEngine(
            estimator,
            self._timers.now,
            on_speed=lambda speed: self._classify(entry, speed),
            running=lambda: self._loads.running(entry.target),
            is_slower=lambda: self.compared(entry).factors.slower,
        )

    def compared(self, entry: TargetEntry) -> ComparedSpeed:
        """Return an engine's speed, compared with the median one of its service."""
        if not self.enabled:
            return UNKNOWN
        return self._comparison(entry.service).engines.get(entry.target, UNKNOWN)

    def slowness(self, entry: TargetEntry, running: int, batch: int) -> float:
        """Return how many times as long as at others an event takes at an engine."""
        return self.compared(entry).factors.beside(running, batch)

    def _comparison(self, service: str) -> _Comparison:
        now = self._timers.now()
        known = self._comparisons.get(service)
        if known is not None and now < known.until:
            return known
        entries = self._targets.of_service(service)
        speeds = {each.target: self._targets.speed(each.target) for each in entries}
        median = median_speed(speeds.values())
        engines = {
            target: ComparedSpeed(speed, median, compare(speed, median))
            for target, speed in speeds.items()
        }
        made = _Comparison(now + COMPARISON_AGE_S, median, engines)
        self._comparisons[service] = made
        return made

    def _classify(self, entry: TargetEntry, speed: EngineSpeed) -> None:
        """Emit an event if an engine's class changed, and not again at once."""
        now = self._timers.now()
        known = self._classes.get(entry.target) or _Classified(
            now - CLASS_EVENT_INTERVAL_S, SpeedClass.NORMAL
        )
        if now - known.at < CLASS_EVENT_INTERVAL_S:
            return
        median = self._comparison(entry.service).median
        speed_class = classify(known.speed_class, compare(speed, median))
        if speed_class is known.speed_class:
            return
        self._classes[entry.target] = _Classified(now, speed_class)
        self._events.emit(
            EventKind.ENGINE_SPEED_CHANGED,
            entry.target,
            speed=speed_class.value,
            event_ms=round(speed.event_ms),
            full_event_ms=round(speed.full_event_ms),
            read_tokens_per_ms=round(speed.read_tokens_per_ms),
            median_event_ms=round(median.event_ms),
            running=self._loads.running(entry.target),
        )
