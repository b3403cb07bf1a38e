"""The lag of engine reports, learned from when they show an accepted order."""

from collections import deque
from statistics import median

# Assumed until a lag was observed. Deployments had lags of 0.1 s and 0.2 s.
INITIAL_LAG_S = 0.2
MAX_OBSERVATIONS = 9
# A longer time isn't a lag: the report doesn't belong to the order.
MAX_LAG_S = 1.0
# Covers the time between two polls of an observation.
BOUND_MARGIN_S = 0.03


class ReportLag:
    """The lag of the reports of all engines ordered here, in seconds.

    ::

        lag.observe(0.21)
        lag.expected_s
    """

    def __init__(self):
        self._observed_s: deque[float] = deque(maxlen=MAX_OBSERVATIONS)

    @property
    def known(self) -> bool:
        """Whether a lag has been observed."""
        return bool(self._observed_s)

    @property
    def expected_s(self) -> float:
        """The usual lag."""
        return median(self._observed_s) if self._observed_s else INITIAL_LAG_S

    @property
    def bound_s(self) -> float:
        """The time after which a report shows an order, 0 while unknown."""
        if not self._observed_s:
            return 0.0
        return max(self._observed_s) + BOUND_MARGIN_S

    def observe(self, lag_s: float) -> None:
        """Record how long after its order a report showed the order."""
        if 0 <= lag_s <= MAX_LAG_S:
            self._observed_s.append(lag_s)
