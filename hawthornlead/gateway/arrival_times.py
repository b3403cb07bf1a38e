"""How long adapters take to arrive at engines, learned from reports.

A report lags: it shows an adapter some hundred milliseconds after requests for it can
run. Who waited for the report would waste a third of the wait, and a place among the
few fetches that an engine runs at once. So the time is learned and then foreseen.
"""

from collections import deque
from statistics import median

# How much later than the engine a report is; the engines' own word is "some hundred".
REPORT_LAG_S = 0.1
# Before so many observations nothing is foreseen: the report itself is waited for.
FEWEST = 3
KEPT = 15
# Half the time between two looks at a report is in each observation. What is added
# back covers the spread: a request that comes too early is refused, and sent again
# after 50 ms.
LOOK_HALF_S = 0.03
MARGIN_S = 0.02


class ArrivalTimes:
    """The arrival times of one kind of fetch, in seconds.

    ::

        times.observe(0.37)
        times.expected_s    # 0.26, None while unknown
    """

    def __init__(self):
        self._seen: deque[float] = deque(maxlen=KEPT)

    @property
    def expected_s(self) -> float | None:
        """The time from the order until requests can run, None while unknown."""
        if len(self._seen) < FEWEST:
            return None
        return median(self._seen) - REPORT_LAG_S - LOOK_HALF_S + MARGIN_S

    def observe(self, seen_after_s: float) -> None:
        """Note how long after its order a report showed an adapter.

        A report can't show what happened within its lag. One that seems to do so
        shows an earlier stay of the adapter.
        """
        if seen_after_s > REPORT_LAG_S + LOOK_HALF_S:
            self._seen.append(seen_after_s)

    def record_too_early(self) -> None:
        """Note that an engine refused a request for an adapter said to be there."""
        if self._seen:
            self._seen.append(1.1 * max(self._seen))
