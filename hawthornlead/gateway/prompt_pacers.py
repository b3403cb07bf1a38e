"""Pacing of the prompts that an engine reads, so that running streams don't stall.

An engine reads prompts between the tokens of its running streams. Several long prompts
at once delay all streams for longer than callers accept between two events, while a
prompt that waits a little still starts in time. So the VM that owns an engine spreads
out the prompts of all VMs.
"""

# The assumed reading speed of an engine.
TOKENS_PER_MS = 38.1
# The default gap, for queries about the current wait.
MAX_GAP_MS = 400.0
# The share of an engine's time that prompts may take while others wait. The rest must
# suffice for the tokens of the streams.
DUTY = 0.5
# Short prompts on an idle engine delay nothing, so this much is read without a pause.
BURST_MS = 30.0
# The part of the time between two events that the tokens of one event take.
EVENT_MS = 45.0
# A reserved turn that passed longer ago isn't used any more: others read meanwhile.
MAX_MISSED_S = 0.05


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

    ::

        wait_s = pacer.reserve(tokens=1800, gap_ms=300.0, now=timers.now())

    A prompt whose adapter is still arriving reserves its turn before. Prompts that can
    be read until then aren't delayed by it::

        turn = pacer.reserve_from(1800, 300.0, not_before=ready_at)
        wait_s = pacer.claim(turn, now=timers.now())
    """

    def __init__(self):
        self._free_at = 0.0
        self._reserved: list[PromptTurn] = []

    def reserve(self, tokens: int, gap_ms: float, now: float) -> float:
        """Reserve a turn, and return how long the prompt must wait, in seconds.

        Streams that run there tolerate ``gap_ms`` between two events.
        """
        wait_s = self.expected_wait(now, tokens, gap_ms)
        self._occupy(tokens, now)
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
            self._occupy(turn.tokens, turn.not_before)

    def _occupy(self, tokens: int, at: float) -> None:
        read_s = read_ms(tokens) / 1000
        self._free_at = max(self._free_at, at) + read_s / DUTY

    def _wait(self, now: float, tokens: int, gap_ms: float) -> float:
        spare_ms = gap_ms * (1 - DUTY) - EVENT_MS - read_ms(tokens)
        allowed_ms = max(0.0, min(BURST_MS, spare_ms))
        return max(0.0, self._free_at - allowed_ms / DUTY / 1000 - now)


def read_ms(tokens: int) -> float:
    """Return how long an engine takes to read a prompt, in milliseconds."""
    return tokens / TOKENS_PER_MS
