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


class PromptPacer:
    """Assigns turns to the prompts of one engine.

    ::

        wait_s = pacer.reserve(tokens=1800, gap_ms=300.0, now=timers.now())
    """

    def __init__(self):
        self._free_at = 0.0

    def reserve(self, tokens: int, gap_ms: float, now: float) -> float:
        """Reserve a turn, and return how long the prompt must wait, in seconds.

        Streams that run there tolerate ``gap_ms`` between two events.
        """
        wait_s = self.expected_wait(now, tokens, gap_ms)
        read_s = read_ms(tokens) / 1000
        self._free_at = max(self._free_at, now) + read_s / DUTY
        return wait_s

    def expected_wait(
        self, now: float, tokens: int = 0, gap_ms: float = MAX_GAP_MS
    ) -> float:
        """Return how long a prompt would have to wait, in seconds.

        A long prompt waits until those before it have been read. Together with them it
        would delay the streams for longer than they tolerate.
        """
        spare_ms = gap_ms * (1 - DUTY) - EVENT_MS - read_ms(tokens)
        allowed_ms = max(0.0, min(BURST_MS, spare_ms))
        return max(0.0, self._free_at - allowed_ms / DUTY / 1000 - now)


def read_ms(tokens: int) -> float:
    """Return how long an engine takes to read a prompt, in milliseconds."""
    return tokens / TOKENS_PER_MS
