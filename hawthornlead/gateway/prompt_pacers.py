"""Pacing of the prompts that an engine reads, so that running streams don't stall.

An engine reads prompts between the tokens of its running streams. Several long prompts
at once delay all streams for longer than callers accept between two events, while a
prompt that waits a little still starts in time. So the VM that owns an engine spreads
out the prompts of all VMs. Where the engine's speed was measured, it decides how much
is read in a row; else the same is assumed of all engines.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from ..engine_speeds.engine_speeds import (
    INITIAL_EVENT_MS,
    INITIAL_TOKENS_PER_MS,
    EngineSpeed,
)

# The assumed reading speed of an engine.
TOKENS_PER_MS = INITIAL_TOKENS_PER_MS
# The default gap, for queries about the current wait.
MAX_GAP_MS = 400.0
# The share of an engine's time that prompts may take while others wait. The rest must
# suffice for the tokens of the streams.
DUTY = 0.5
# Short prompts on an idle engine delay nothing, so this much is read without a pause.
BURST_MS = 30.0
# The part of the time between two events that the tokens of one event take.
EVENT_MS = INITIAL_EVENT_MS
# Engines whose speeds differ from the assumed ones by less are paced as these.
ALIKE = 1.25
# Up to this multiple of the assumed time of an event, engines that read about as fast
# as assumed are paced so too.
SLOW_EVENT = 1.6
# On a measured engine, the part of the tolerated gap that is left for the steps between
# prompts, the network, and other engines' noise in the estimates.
MARGIN_MS = 30.0
# The least share of time for prompts on a measured engine with slow events. Prompts
# take a quarter of such an engine's time on average.
MIN_DUTY = 0.25
# On a measured engine with slow events, the share is lowered until this much can still
# be read in a row.
MIN_BURST_MS = 20.0
# A reserved turn that passed longer ago isn't used any more: others read meanwhile.
MAX_MISSED_S = 0.05


class ReadingPace(NamedTuple):
    """How an engine reads prompts between the events of its streams.

    An event takes ``event_ms`` beside the requests that run there. ``measured`` is
    False for the assumed values.
    """

    tokens_per_ms: float = TOKENS_PER_MS
    event_ms: float = EVENT_MS
    measured: bool = False

    def read_ms(self, tokens: int) -> float:
        """Return how long the engine takes to read a prompt, in milliseconds."""
        return tokens / self.tokens_per_ms

    def duty(self, gap_ms: float) -> float:
        """Return the share of the engine's time that prompts may take."""
        if not self.measured:
            return DUTY
        spare_ms = gap_ms - MARGIN_MS - self.event_ms - MIN_BURST_MS
        return max(MIN_DUTY, min(DUTY, spare_ms / max(1.0, gap_ms)))

    def allowed_ms(self, tokens: int, gap_ms: float) -> float:
        """Return how much of other prompts may be still to be read before this one.

        Together with them it would delay the streams for longer than they tolerate.
        """
        if not self.measured:
            spare_ms = gap_ms * (1 - DUTY) - EVENT_MS - self.read_ms(tokens)
            return max(0.0, min(BURST_MS, spare_ms))
        bearable_ms = (gap_ms - MARGIN_MS) * (1 - self.duty(gap_ms))
        spare_ms = bearable_ms - self.event_ms - self.read_ms(tokens)
        return max(0.0, min(BURST_MS, spare_ms))


ASSUMED_PACE = ReadingPace()


def pace_of(speed: EngineSpeed, beside: int, batch: int) -> ReadingPace:
    """Return the pace of an engine where ``beside`` requests run.

    Only slower engines are paced by their speeds. How fast an engine reads can't be
    told from the time of its events, which hold different numbers of tokens.
    """
    if not speed.known:
        return ASSUMED_PACE
    tokens_per_ms = min(speed.read_tokens_per_ms, TOKENS_PER_MS)
    event_ms = max(speed.event_ms_beside(beside, batch), EVENT_MS)
    if tokens_per_ms * ALIKE > TOKENS_PER_MS and event_ms < SLOW_EVENT * EVENT_MS:
        return ASSUMED_PACE
    return ReadingPace(tokens_per_ms, event_ms, True)


class PromptTurn:
    """A turn reserved for a prompt that can't be read before ``not_before``.

    ``start_at`` is None until the prompts before it are known.
    """

    def __init__(self, tokens: int, gap_ms: float, not_before: float):
        self.tokens = tokens
        self.gap_ms = gap_ms
        self.not_before = not_before
        self.start_at: float | None = None


class PromptPacer:
    """Assigns turns to the prompts of one engine.

    No prompt counts for more than ``max_tokens``, whatever its caller declares.
    ``pace`` returns how the engine reads prompts now::

        wait_s = pacer.reserve(tokens=1800, gap_ms=300.0, now=timers.now())

    A prompt whose adapter is still arriving reserves its turn before. Prompts that can
    be read until then aren't delayed by it::

        turn = pacer.reserve_from(1800, 300.0, not_before=ready_at)
        wait_s = pacer.claim(turn, now=timers.now())
    """

    def __init__(
        self,
        pace: Callable[[], ReadingPace] = lambda: ASSUMED_PACE,
        max_tokens: float = math.inf,
    ):
        self._pace = pace
        self._max_tokens = max_tokens
        self._free_at = 0.0
        self._reserved: list[PromptTurn] = []

    def reserve(self, tokens: int, gap_ms: float, now: float) -> float:
        """Reserve a turn, and return how long the prompt must wait, in seconds.

        Streams that run there tolerate ``gap_ms`` between two events.
        """
        wait_s = self.expected_wait(now, tokens, gap_ms)
        self._occupy(tokens, gap_ms, now)
        return wait_s

    def reserve_from(self, tokens: int, gap_ms: float, not_before: float) -> PromptTurn:
        """Reserve a turn that doesn't come before a time."""
        turn = PromptTurn(tokens, gap_ms, not_before)
        self._reserved.append(turn)
        self._reserved.sort(key=lambda each: each.not_before)
        return turn

    def claim(self, turn: PromptTurn, now: float) -> float:
        """Use a reserved turn, and return how long its prompt must wait, in seconds."""
        self._place_due(now)
        if turn.start_at is None or turn.start_at < now - MAX_MISSED_S:
            self.cancel(turn)
            return self.reserve(turn.tokens, turn.gap_ms, now)
        return max(0.0, turn.start_at - now)

    def cancel(self, turn: PromptTurn) -> None:
        """Give up a reserved turn, unless its time has come."""
        if turn in self._reserved:
            self._reserved.remove(turn)

    def expected_wait(
        self, now: float, tokens: int = 0, gap_ms: float = MAX_GAP_MS
    ) -> float:
        """Return how long a prompt would have to wait, in seconds.

        A long prompt waits until those before it have been read. Together with them it
        would delay the streams for longer than they tolerate.
        """
        self._place_due(now)
        return self._wait(now, tokens, gap_ms)

    def _place_due(self, now: float) -> None:
        """Place the reserved turns that come before the end of the queue."""
        while self._reserved:
            turn = self._reserved[0]
            if turn.not_before > max(self._free_at, now):
                return
            del self._reserved[0]
            wait_s = self._wait(turn.not_before, turn.tokens, turn.gap_ms)
            turn.start_at = turn.not_before + wait_s
            self._occupy(turn.tokens, turn.gap_ms, turn.not_before)

    def _occupy(self, tokens: int, gap_ms: float, at: float) -> None:
        pace = self._pace()
        tokens = min(tokens, self._max_tokens)
        taken_s = pace.read_ms(tokens) / 1000 / pace.duty(gap_ms)
        self._free_at = max(self._free_at, at) + taken_s

    def _wait(self, now: float, tokens: int, gap_ms: float) -> float:
        pace = self._pace()
        tokens = min(tokens, self._max_tokens)
        allowed_s = pace.allowed_ms(tokens, gap_ms) / pace.duty(gap_ms) / 1000
        return max(0.0, self._free_at - allowed_s - now)


def read_ms(tokens: int) -> float:
    """Return how long an engine is assumed to read a prompt, in milliseconds."""
    return ASSUMED_PACE.read_ms(tokens)
