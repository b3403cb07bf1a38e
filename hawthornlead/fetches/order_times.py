"""How long engines take to answer orders, and how long an answer is awaited.

All orders to an engine wait for an unanswered one. Repeating it is harmless, since an
engine takes only one order of a count.
"""

from collections import deque

MIN_OBSERVATIONS = 8
MAX_OBSERVATIONS = 40
# An answer is awaited for this multiple of the longest recent one, within bounds. The
# lower bound covers a VM that gets little processor time.
TIMEOUT_FACTOR = 3.0
MIN_TIMEOUT_S = 0.04
MAX_TIMEOUT_S = 0.1
# After this many unanswered orders in a row, the engine may just be slow.
MAX_SHORT_TIMEOUTS = 2


class OrderTimes:
    """The times of answered orders to all engines of a VM, in seconds.

    ::

        times.observe(0.004)
        times.timeout_s(unanswered=0)
    """

    def __init__(self):
        self._answered_s: deque[float] = deque(maxlen=MAX_OBSERVATIONS)

    def observe(self, took_s: float) -> None:
        """Record how long an engine took to answer an order."""
        self._answered_s.append(took_s)

    def timeout_s(self, unanswered: int) -> float:
        """Return how long to await the next answer.

        The engine left this many orders in a row ``unanswered``.
        """
        few = len(self._answered_s) < MIN_OBSERVATIONS
        if few or unanswered >= MAX_SHORT_TIMEOUTS:
            return MAX_TIMEOUT_S
        longest_s = TIMEOUT_FACTOR * max(self._answered_s)
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, longest_s))
