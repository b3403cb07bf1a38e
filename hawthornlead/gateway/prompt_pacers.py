"""When an engine may read the next prompt, so that running streams don't stall.

An engine reads prompts between the tokens of the streams that it runs. Several long
prompts at once hold all of them up for longer than callers accept between two events,
while a prompt that waits a little still begins in good time. So the prompts of all VMs
for one engine are spread out by the one VM that owns it.
"""

# What an engine is taken to read in a millisecond.
TOKENS_PER_MS = 38.1
# For who only asks how long the wait is.
MAX_GAP_MS = 400.0
# The share of an engine's time that prompts may take while others wait for theirs. What
# is left of a pause must do for the tokens of the streams themselves.
DUTY = 0.5
# A short prompt at an idle moment delays nothing: so much may be read without a pause.
BURST_MS = 30.0
# What the tokens of one event take beside prompts, of the time between two events.
EVENT_MS = 45.0


class PromptPacer:
    """The pace of one engine.

    ::

        wait_s = pace.reserve(tokens=1800, gap_ms=300.0, now=timers.now())
    """

    def __init__(self):
        self._free_at = 0.0

    def reserve(self, tokens: int, gap_ms: float, now: float) -> float:
        """Return how long the prompt has to wait, in seconds, and count it as read.

        Streams that run there bear ``gap_ms`` between two events.
        """
        wait_s = self.expected_wait(now, tokens, gap_ms)
        read_s = read_ms(tokens) / 1000
        self._free_at = max(self._free_at, now) + read_s / DUTY
        return wait_s

    def expected_wait(
        self, now: float, tokens: int = 0, gap_ms: float = MAX_GAP_MS
    ) -> float:
        """Return how long a prompt would have to wait, in seconds.

        A long one waits until those before it were read, for together with them it
        would hold up the streams for longer than they bear.
        """
        spare_ms = gap_ms * (1 - DUTY) - EVENT_MS - read_ms(tokens)
        allowed_ms = max(0.0, min(BURST_MS, spare_ms))
        return max(0.0, self._free_at - allowed_ms / DUTY / 1000 - now)


def read_ms(tokens: int) -> float:
    """Return how long an engine reads a prompt, in milliseconds."""
    return tokens / TOKENS_PER_MS
