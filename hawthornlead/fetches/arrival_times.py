"""How long adapters take to arrive at engines, learned from reports.

A report lags: it shows an adapter some hundred milliseconds after requests for it can
run. A wait for the report would waste a third of the time, and one of the few fetches
that an engine runs at once. So the arrival time is learned and then predicted.
"""

from collections import deque
from statistics import median

# How much a report lags behind its engine, which specifies "some hundred" milliseconds.
REPORT_LAG_S = 0.1
# With fewer observations nothing is predicted, and the report itself is awaited.
MIN_OBSERVATIONS = 3
MAX_OBSERVATIONS = 15
# Each observation includes half the time between two polls of the report. The margin
# that is added back covers the spread: a request that comes too early is refused, and
# sent again after 50 ms.
HALF_POLL_S = 0.03
SPREAD_MARGIN_S = 0.02


class ArrivalTimes:
    """The arrival times of one kind of fetch, in seconds.

    ::

        times.observe(0.37)
        times.expected_s    # 0.26, None while unknown
    """

    def __init__(self):
        self._observed_s: deque[float] = deque(maxlen=MAX_OBSERVATIONS)

    @property
    def expected_s(self) -> float | None:
        """The time from the order until requests can run, None while unknown."""
        if len(self._observed_s) < MIN_OBSERVATIONS:
            return None
        return median(self._observed_s) - REPORT_LAG_S - HALF_POLL_S + SPREAD_MARGIN_S

    def observe(self, seen_after_s: float) -> None:
        """Record how long after its order a report showed an adapter.

        A report can't show what happened within its lag. If it seems to, it shows an
        earlier presence of the adapter.
        """
        if seen_after_s > REPORT_LAG_S + HALF_POLL_S:
            self._observed_s.append(seen_after_s)

    def record_too_early(self) -> None:
        """Record that an engine refused a request for an adapter predicted as ready."""
        if self._observed_s:
            self._observed_s.append(1.1 * max(self._observed_s))
