"""Estimates of one engine's speed from the samples of streams.

::

    estimator = SpeedEstimator(batch=12)
    estimator.record(sample, now=timers.now())
    estimator.speed.event_ms
"""

import math
import statistics
from collections import deque
from typing import NamedTuple

from .engine_speeds import (
    INITIAL_EVENT_MS,
    INITIAL_TOKENS_PER_MS,
    MAX_FACTOR,
    MIN_FACTOR,
    EngineSpeed,
)
from .stream_samples import StreamSample

# Fewer samples replace no value.
MIN_SAMPLES = 5
MAX_SAMPLES = 32
MAX_SAMPLE_AGE_S = 20.0
# If the newest samples differ by this factor from the estimate, the engine's speed has
# changed and the older samples are discarded.
CHANGE_FACTOR = 1.4
# An estimate takes 0.12 ms of processor time, so it isn't made with each sample.
ESTIMATE_INTERVAL_S = 0.2
# The growth of an event's time with each concurrent request, until it is measured. A
# slope needs samples at different numbers of requests.
INITIAL_GROWTH = 0.04
MAX_GROWTH = 0.2
MIN_SLOPE_SAMPLES = 10
MIN_BESIDE_SPREAD = 4
# From this fill on an engine may slow down more than linearly.
HIGH_FILL = 0.7
# A first event beside more requests waits for the prompts of others.
MAX_READING_FILL = 0.5
MIN_PROMPT_DIFFERENCE = 500
# An engine reads a prompt in chunks, one a step, and each step also writes tokens.
CHUNK_TOKENS = 1024
EVENT_TOKENS = 8
# Speeds of reading and of events scale alike in an engine. So a measured reading speed
# may differ from the one that the event time suggests only by this factor.
READING_TOLERANCE = 1.25
# Longer times are those of a VM or engine that was stopped in between.
MAX_EVENT_MS = 2000.0
MAX_FIRST_MS = 20000.0
MAX_PROMPT_TOKENS = 1_000_000
MAX_BESIDE = 1000


class _Timed(NamedTuple):
    at: float
    sample: StreamSample


class SpeedEstimator:
    """Estimates the speed of one incarnation of an engine.

    ``initial`` is what a former owner announced of the same incarnation.
    """

    def __init__(self, batch: int, initial: EngineSpeed | None = None):
        self.batch = max(1, batch)
        self._speed = initial or EngineSpeed()
        self._samples: deque[_Timed] = deque(maxlen=MAX_SAMPLES)
        self._estimated_at = -math.inf

    @property
    def speed(self) -> EngineSpeed:
        """The estimate; unknown until enough samples are there."""
        return self._speed

    def record(self, sample: StreamSample, now: float) -> None:
        """Learn from a stream's sample, unless it holds an impossible value."""
        if not is_plausible(sample):
            return
        self._samples.append(_Timed(now, sample))
        while self._samples[0].at < now - MAX_SAMPLE_AGE_S:
            self._samples.popleft()
        if len(self._samples) < MIN_SAMPLES:
            return
        if now - self._estimated_at < ESTIMATE_INTERVAL_S and self._speed.known:
            return
        self._estimated_at = now
        if self._has_changed():
            self._discard_former()
        self._speed = self._estimate([each.sample for each in self._samples])

    def _has_changed(self) -> bool:
        """Whether the newest samples differ clearly from the estimate."""
        if not self._speed.known:
            return False
        ratio = statistics.median(
            [
                sample.event_ms / self._speed.event_ms_beside(sample.beside, self.batch)
                for _, sample in list(self._samples)[-MIN_SAMPLES:]
            ]
        )
        return not 1 / CHANGE_FACTOR < ratio < CHANGE_FACTOR

    def _discard_former(self) -> None:
        """Discard the samples of before a change of the engine's speed.

        A slower event at a high fill says nothing of the speed at a low one, since some
        engines slow down only when they are nearly full. One that is faster than at a
        low fill shows that this was measured before the change.
        """
        samples = list(self._samples)
        limit = HIGH_FILL * self.batch
        newest = [each.sample for each in samples[-MIN_SAMPLES:]]
        high = sum(sample.beside >= limit for sample in newest)
        event_ms = statistics.median([sample.event_ms for sample in newest])
        self._samples.clear()
        if high > MIN_SAMPLES // 2 and event_ms >= self._speed.event_ms:
            # Among the newest samples few may be at a high fill.
            kept = 2 * MIN_SAMPLES
            former = [each for each in samples[:-kept] if each.sample.beside < limit]
            self._samples.extend(former + samples[-kept:])
            return
        self._speed = EngineSpeed()
        self._samples.extend(samples[-MIN_SAMPLES:])

    def _estimate(self, samples: list[StreamSample]) -> EngineSpeed:
        limit = HIGH_FILL * self.batch
        low = [sample for sample in samples if sample.beside < limit]
        high = [sample for sample in samples if sample.beside >= limit]
        enough = len(low) >= MIN_SAMPLES
        fitted = low if enough else samples
        growth = self._growth(fitted)
        alone_ms = _alone_ms(fitted, growth)
        if not enough and self._speed.known:
            # An engine that is slow only when it is full isn't slow when it runs few.
            alone_ms = min(alone_ms, self._speed.event_ms)
        alone_ms = _bounded(alone_ms, INITIAL_EVENT_MS)
        at_full = 1 + growth * (self.batch - 1)
        full_ms = alone_ms * at_full
        if len(high) >= MIN_SAMPLES:
            full_ms = max(alone_ms, _alone_ms(high, growth) * at_full)
        full_ms = min(full_ms, MAX_FACTOR * alone_ms)
        return EngineSpeed(alone_ms, full_ms, self._reading(samples, alone_ms))

    def _growth(self, samples: list[StreamSample]) -> float:
        """Return the growth of an event's time per request, as a share of it alone.

        The median of the slopes between all pairs ignores outliers.
        """
        beside = [sample.beside for sample in samples]
        spread = max(beside) - min(beside)
        if len(samples) < MIN_SLOPE_SAMPLES or spread < MIN_BESIDE_SPREAD:
            return INITIAL_GROWTH
        slopes = [
            (one.event_ms - other.event_ms) / (one.beside - other.beside)
            for index, one in enumerate(samples)
            for other in samples[:index]
            if abs(one.beside - other.beside) >= 2
        ]
        if len(slopes) < MIN_SLOPE_SAMPLES:
            return INITIAL_GROWTH
        slope = statistics.median(slopes)
        alone = statistics.median(
            [sample.event_ms - slope * sample.beside for sample in samples]
        )
        if alone <= 0:
            return MAX_GROWTH
        return min(MAX_GROWTH, max(0.0, slope / alone))

    def _reading(self, samples: list[StreamSample], alone_ms: float) -> float:
        """Return the reading speed, in tokens per ms.

        It is the difference in tokens between long and short prompts by that between
        their first events, in which the constant parts cancel out.
        """
        suggested = INITIAL_TOKENS_PER_MS * INITIAL_EVENT_MS / alone_ms
        suggested = _bounded(suggested, INITIAL_TOKENS_PER_MS)
        quiet = [
            sample
            for sample in samples
            if sample.beside <= MAX_READING_FILL * self.batch
        ]
        if not quiet:
            return suggested
        tokens = [sample.prompt_tokens for sample in quiet]
        middle = (min(tokens) + max(tokens)) / 2
        long = [sample for sample in quiet if sample.prompt_tokens > middle]
        short = [sample for sample in quiet if sample.prompt_tokens <= middle]
        if min(len(long), len(short)) < MIN_SAMPLES:
            return suggested
        more_tokens = _median_tokens(long) - _median_tokens(short)
        more_ms = _quick_first_ms(long) - _quick_first_ms(short)
        more_ms -= more_tokens / CHUNK_TOKENS * alone_ms / EVENT_TOKENS
        if more_tokens < MIN_PROMPT_DIFFERENCE:
            return suggested
        most = suggested * READING_TOLERANCE
        measured = more_tokens / more_ms if more_ms > 0 else most
        return _bounded(
            min(most, max(suggested / READING_TOLERANCE, measured)),
            INITIAL_TOKENS_PER_MS,
        )


def is_plausible(sample: StreamSample) -> bool:
    """Whether a sample's values are possible; NaN isn't."""
    if not all(map(math.isfinite, sample)):
        return False
    return (
        1.0 <= sample.event_ms <= MAX_EVENT_MS
        and 0 < sample.first_ms <= MAX_FIRST_MS
        and 0 <= sample.prompt_tokens <= MAX_PROMPT_TOKENS
        and 0 <= sample.beside <= MAX_BESIDE
    )


def _alone_ms(samples: list[StreamSample], growth: float) -> float:
    return statistics.median(
        [sample.event_ms / (1 + growth * sample.beside) for sample in samples]
    )


def _median_tokens(samples: list[StreamSample]) -> float:
    return statistics.median([sample.prompt_tokens for sample in samples])


def _quick_first_ms(samples: list[StreamSample]) -> float:
    """Return the lower quartile: slower first events waited for other prompts."""
    times = sorted(sample.first_ms for sample in samples)
    return times[len(times) // 4]


def _bounded(value: float, initial: float) -> float:
    return min(MAX_FACTOR * initial, max(MIN_FACTOR * initial, value))
