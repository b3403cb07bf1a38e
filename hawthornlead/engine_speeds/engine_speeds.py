"""The speed of one engine, and how it compares with those of other engines.

::

    speed = EngineSpeed(event_ms=34.0, full_event_ms=55.0, read_tokens_per_ms=54.0)
    speed.event_ms_beside(6, batch=12)
    compare(speed, median_speed(all_speeds)).full
"""

import math
import statistics
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

# What is assumed of an engine until it is measured.
INITIAL_EVENT_MS = 45.0
INITIAL_TOKENS_PER_MS = 38.1
# Faster or slower engines are taken for measuring errors.
MIN_FACTOR = 0.25
MAX_FACTOR = 4.0
# Estimates are rounded to powers of this, so that noise seldom changes them.
ROUNDING = 1.05
# Engines whose speeds differ by less are alike. Under played loads nine in ten
# estimates of an event's time are at most 1.32 times the real value.
ALIKE = 1.35
ALIKE_READING = 1.5
# A median of fewer engines says little about a fleet.
MIN_ENGINES = 3
# An engine is slow if its events take this much longer than the median engine's, and
# overloaded if only those beside a full batch do.
SLOW_FACTOR = 1.5
# A class ends at a lower factor than it begins, so that it doesn't alternate.
SLOW_END_FACTOR = 1.35


class SpeedClass(Enum):
    """Where an engine's events take longer than on other engines."""

    NORMAL = "normal"
    SLOW = "slow"
    OVERLOADED = "overloaded"


class EngineSpeed(NamedTuple):
    """The speed of an engine; all 0 if it is unknown.

    ``event_ms`` is the time of an event of a stream that runs alone, ``full_event_ms``
    that beside a full batch.
    """

    event_ms: float = 0.0
    full_event_ms: float = 0.0
    read_tokens_per_ms: float = 0.0

    @property
    def known(self) -> bool:
        """Whether the engine was measured."""
        return self.event_ms > 0

    def event_ms_beside(self, beside: int, batch: int) -> float:
        """Return the time of an event beside other requests."""
        fill = _fill(beside, batch)
        return self.event_ms + fill * (self.full_event_ms - self.event_ms)

    def rounded(self) -> "EngineSpeed":
        """Return the speed in the whole numbers in which it is announced."""
        return EngineSpeed(*map(_rounded, self))


class SpeedFactors(NamedTuple):
    """The times of an engine as multiples of the median engine's.

    ``alone`` and ``full`` are of an event, ``reading`` is of a prompt token.
    """

    alone: float = 1.0
    full: float = 1.0
    reading: float = 1.0

    @property
    def slower(self) -> bool:
        """Whether the engine is slower than the median one in any respect."""
        return max(self) > 1.0

    def beside(self, running: int, batch: int) -> float:
        """Return the factor of an event's time beside other requests."""
        return self.alone + _fill(running, batch) * (self.full - self.alone)


class ComparedSpeed(NamedTuple):
    """The speed of an engine, that of the median one, and the factors between them."""

    speed: EngineSpeed = EngineSpeed()
    median: EngineSpeed = EngineSpeed()
    factors: SpeedFactors = SpeedFactors()


def checked_speed(event_ms: float, full_event_ms: float, read: float) -> EngineSpeed:
    """Return an announced speed, unknown if a value is impossible."""
    if not is_within(event_ms, INITIAL_EVENT_MS):
        return EngineSpeed()
    if not is_within(read, INITIAL_TOKENS_PER_MS):
        return EngineSpeed()
    if not event_ms <= full_event_ms <= MAX_FACTOR * MAX_FACTOR * INITIAL_EVENT_MS:
        return EngineSpeed()
    return EngineSpeed(event_ms, full_event_ms, read)


def is_within(value: float, initial: float) -> bool:
    """Whether a value is a possible one, given the initial one; NaN isn't."""
    # Rounding may exceed the bounds of the estimates a little.
    return 0.9 * MIN_FACTOR * initial <= value <= 1.1 * MAX_FACTOR * initial


def median_speed(speeds: Iterable[EngineSpeed]) -> EngineSpeed:
    """Return the median speed of the measured engines, unknown if these are few."""
    known = [speed for speed in speeds if speed.known]
    if len(known) < MIN_ENGINES:
        return EngineSpeed()
    return EngineSpeed(*map(statistics.median, zip(*known, strict=True)))


def compare(speed: EngineSpeed, median: EngineSpeed) -> SpeedFactors:
    """Compare an engine with the median one; alike engines have factors of 1."""
    if not speed.known or not median.known:
        return SpeedFactors()
    return SpeedFactors(
        _factor(speed.event_ms, median.event_ms),
        _factor(speed.full_event_ms, median.full_event_ms),
        _factor(median.read_tokens_per_ms, speed.read_tokens_per_ms, ALIKE_READING),
    )


def classify(former: SpeedClass, factors: SpeedFactors) -> SpeedClass:
    """Return the class of an engine, given its former class."""
    limit = SLOW_FACTOR if former is SpeedClass.NORMAL else SLOW_END_FACTOR
    if factors.alone >= limit:
        return SpeedClass.SLOW
    return SpeedClass.OVERLOADED if factors.full >= limit else SpeedClass.NORMAL


def _factor(value: float, median: float, alike: float = ALIKE) -> float:
    factor = value / median
    return factor if not 1 / alike < factor < alike else 1.0


def _fill(beside: int, batch: int) -> float:
    """Return the share of a batch that is taken beside one request."""
    return min(1.0, max(0, beside) / max(1, batch - 1))


def _rounded(value: float) -> int:
    if value <= 0:
        return 0
    return round(ROUNDING ** round(math.log(value, ROUNDING)))
