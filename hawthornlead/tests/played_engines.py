"""A played engine of the contention deployment, with paced prompts.

::

    played = play(Random(1), factor=1.7, per_s=3.0, learns=True)
    played.late
"""

import heapq
from typing import NamedTuple

from hawthornlead.engine_speeds.speed_estimators import SpeedEstimator
from hawthornlead.engine_speeds.stream_samples import EventTimes
from hawthornlead.gateway.prompt_pacers import (
    ASSUMED_PACE,
    PromptPacer,
    pace_of,
)

BATCH = 12
CHUNK = 1024
EVENT_TOKENS = 8
GAP_MS = 300.0
# Requests whose turn is later than this go to another engine, as in ``placers``.
MOST_WAIT_S = 0.15
# Rate, prompt tokens and events of interactive, batch and short streams.
KINDS = ((133, 826, 36), (18.5, 826, 36), (74.1, 2368, 3))


class _Stream:
    """One stream; ``beside`` others ran when it was sent at ``sent_ms``."""

    def __init__(self, kind, sent_ms, beside):
        _, self.tokens, self.events = kind
        self.unread = self.tokens
        self.sent_ms, self.beside = sent_ms, beside
        self.written, self.first_ms, self.event_at, self.gap_ms = 0, None, 0.0, 0.0
        self.times = EventTimes()

    @property
    def ended(self):
        return self.written >= EVENT_TOKENS * self.events

    def write(self, now_ms):
        """Write a token, and with each eighth an event."""
        self.written += 1
        if self.written % EVENT_TOKENS:
            return
        if self.first_ms is None:
            self.first_ms = now_ms - self.sent_ms
        else:
            self.gap_ms = max(self.gap_ms, now_ms - self.event_at)
            self.times.record(1, (now_ms - self.event_at) / 1000)
        self.event_at = now_ms


class Played(NamedTuple):
    """The longest gaps of all streams, and the waits of all prompts, sorted.

    ``moved`` is the share of requests that went to another engine.
    """

    gaps_ms: list[float]
    waits_ms: list[float]
    moved: float

    @property
    def late(self) -> float:
        """The share of streams with a gap over the allowed one."""
        return sum(gap > GAP_MS for gap in self.gaps_ms) / len(self.gaps_ms)


class _Engine:
    """An engine whose steps take ``factor`` times as long; ``learns`` its speed."""

    def __init__(self, factor, learns):
        self._factor = factor
        self._learns = learns
        self._estimator = SpeedEstimator(BATCH)
        self._pacer = PromptPacer(self._pace)
        self._reading: list[_Stream] = []
        self._running: list[_Stream] = []
        self.now_ms = 0.0
        self.gaps_ms: list[float] = []
        self.waits_ms: list[float] = []

    @property
    def busy(self):
        return bool(self._reading or self._running)

    def _pace(self):
        if not self._learns:
            return ASSUMED_PACE
        beside = len(self._running) + len(self._reading)
        return pace_of(self._estimator.speed, beside, BATCH)

    def reserve(self, tokens, at_ms):
        """Return when a prompt has its turn, None if that is too late for it."""
        if self._pacer.expected_wait(at_ms / 1000, tokens, GAP_MS) > MOST_WAIT_S:
            return None
        wait_ms = 1000 * self._pacer.reserve(tokens, GAP_MS, at_ms / 1000)
        self.waits_ms.append(wait_ms)
        return at_ms + wait_ms

    def send(self, kind, at_ms):
        beside = len(self._running) + len(self._reading)
        self._reading.append(_Stream(kind, at_ms, beside))

    def step(self):
        """Read a chunk of the prompts, and write a token of each stream."""
        admitted, read = self._reading[: BATCH - len(self._running)], 0
        for stream in admitted:
            part = min(CHUNK - read, stream.unread)
            stream.unread -= part
            read += part
        write_ms = 5.47 * (1 + 0.04 * max(0, len(self._running) - 1))
        self.now_ms += self._factor * (write_ms + read / 38.7)
        for stream in self._running:
            stream.write(self.now_ms)
            if stream.ended:
                self._end(stream)
        self._running = [each for each in self._running if not each.ended]
        self._running += [each for each in admitted if not each.unread]
        self._reading = [each for each in self._reading if each.unread]

    def _end(self, stream):
        self.gaps_ms.append(stream.gap_ms)
        sample = stream.times.sample(stream.first_ms, stream.tokens, stream.beside)
        if sample is not None:
            self._estimator.record(sample, self.now_ms / 1000)


def play(rng, factor, per_s, learns, seconds=120.0) -> Played:
    """Serve random streams at an engine whose steps take ``factor`` times as long."""
    engine = _Engine(factor, learns)
    events, at_ms = [], 0.0
    while at_ms < 1000 * seconds:
        at_ms += rng.expovariate(per_s) * 1000
        kind = rng.choices(KINDS, [each[0] for each in KINDS])[0]
        heapq.heappush(events, (at_ms, len(events), False, kind))
    count = len(events)
    while events or engine.busy:
        if not engine.busy:
            engine.now_ms = max(engine.now_ms, events[0][0])
        while events and events[0][0] <= engine.now_ms:
            at_ms, number, has_turn, kind = heapq.heappop(events)
            if has_turn:
                engine.send(kind, at_ms)
                continue
            turn_ms = engine.reserve(kind[1], at_ms)
            if turn_ms is not None:
                heapq.heappush(events, (turn_ms, number, True, kind))
        engine.step()
    moved = 1 - len(engine.waits_ms) / count
    return Played(sorted(engine.gaps_ms), sorted(engine.waits_ms), moved)
