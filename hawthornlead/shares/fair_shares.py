"""Start-time fair queueing over workspaces, for the waiters of one rank in one queue.

Each waiter gets a virtual start time, and the waiter with the lowest one is served
next. A workspace with many waiters is so served in turn with the others, and one that
waits seldom is served before a backlog of others::

    tag = shares.tag("zimi", cost=1115)
    heapq.heappush(waiters, (tag, arrival_number, waiter))
    ...
    tag, _, waiter = heapq.heappop(waiters)
    shares.served(tag)

The costs are tokens at engines and 1 at plain targets. Requests without a workspace
have the key ``""`` in common.
"""

import math
from collections.abc import Callable

# A cost is bounded, so that no declared length can put off a workspace indefinitely or
# let its requests count as nothing.
MIN_COST = 1.0
MAX_COST = 1e6
# A weight outside of these bounds is cut to them.
MIN_WEIGHT = 1e-3
MAX_WEIGHT = 1e9
# Workspaces beyond this number that wait at the same time have one share in common.
MAX_KEYS = 1024
OVERFLOW_KEY = "\0overflow"


class FairShares:
    """The virtual time of one queue.

    A workspace that is idle saves no credit: its next waiter starts at the current
    virtual time. ``weight`` returns the weight of a workspace; all weigh the same
    without it. Weights by size reserve little for a small workspace: beside the largest
    at six times its usual, one waited 0.13 s, and at most 0.04 s with equal weights.
    """

    def __init__(self, weight: Callable[[str], float] | None = None):
        self._weight = weight
        # The start time of the last waiter served.
        self._virtual_time = 0.0
        # When the last waiter of a workspace ends, if that is in the future.
        self._ends: dict[str, float] = {}

    @property
    def keys(self) -> int:
        """How many workspaces are remembered."""
        return len(self._ends)

    def tag(self, share_key: str, cost: float) -> float:
        """Return the virtual start time of a new waiter, by which it is ordered."""
        key = self._bounded(share_key)
        start = max(self._virtual_time, self._ends.get(key, 0.0))
        self._ends[key] = start + self._length(share_key, cost)
        return start

    def served(self, tag: float) -> None:
        """Advance the virtual time as a waiter is served."""
        self._virtual_time = max(self._virtual_time, tag)

    def withdraw(self, share_key: str, cost: float) -> None:
        """Give back the cost of a waiter that left or was refused without service.

        Without it, a workspace whose waiters give up would be put off for work that was
        never done.
        """
        key = share_key if share_key in self._ends else OVERFLOW_KEY
        if key in self._ends:
            self._ends[key] -= self._length(share_key, cost)

    def _length(self, share_key: str, cost: float) -> float:
        weight = 1.0 if self._weight is None else self._weight(share_key)
        return _clamp(cost, MIN_COST, MAX_COST) / _clamp(weight, MIN_WEIGHT, MAX_WEIGHT)

    def _bounded(self, share_key: str) -> str:
        """Return the key under which a workspace is counted, within the bound."""
        if share_key in self._ends or len(self._ends) < MAX_KEYS:
            return share_key
        # An end that has passed has no effect on later waiters.
        self._ends = {
            key: end for key, end in self._ends.items() if end > self._virtual_time
        }
        return share_key if len(self._ends) < MAX_KEYS else OVERFLOW_KEY


def _clamp(value: float, low: float, high: float) -> float:
    """Return a value within bounds, the lower bound for one that is not a number."""
    return low if math.isnan(value) else min(high, max(low, value))
