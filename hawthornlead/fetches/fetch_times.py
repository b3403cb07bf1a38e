"""The time of one kind of fetch, learned from observed fetches and refused requests.

The level is a trimmed mean of the newest observations, so that it follows contention
within a few fetches. A margin on top of it is adjusted by outcomes: it grows when a
request was too early and shrinks when none was, so that about 1 in 20 is too early.
"""

from collections import deque

# The level is the mean of these without the longest and the shortest one.
MAX_OBSERVATIONS = 5
MIN_OBSERVATIONS = 3
# A longer time isn't a fetch: the order or the fetch failed.
MAX_FETCH_S = 5.0
# Requests that are too early count against a retry budget shared by all VMs.
EARLY_SHARE = 0.05
MARGIN_STEP_S = 0.02
INITIAL_MARGIN_S = 0.02
# The margin's bounds, as shares of the level and at least this in seconds.
MAX_MARGIN = 0.25
MIN_MARGIN = -0.1
MAX_MARGIN_S = 0.03
# A level that moved by this share, and at least this much, has changed. The margin that
# was learned before doesn't apply to it.
CHANGE = 0.15
CHANGE_S = 0.02
# Fetches are observed at this interval, more often while they are slow, so that the end
# of contention is found, and most often after a change.
OBSERVE_INTERVAL_S = 3.0
SLOW_INTERVAL_S = 1.0
CHANGED_INTERVAL_S = 0.3
CHANGED_S = 1.5
# Fetches are slow if they take this much longer than the shortest observed one, which
# grows with each longer observation so that it follows a lasting change.
SLOW = 1.25
SHORTEST_GROWTH = 1.01
# A VM that is late with its polls may observe a fetch of 0 s, from which nothing grows.
MIN_SHORTEST_S = 0.02
# Of the newest outcomes, this many refusals mean that fetches have become longer. A
# refused request's adapter is then awaited by reports, because the next prediction
# would be wrong as well.
OUTCOMES = 6
MAX_EARLY = 2
RETRY_S = 0.06
RETRY_SHARE = 1.25


class FetchTimes:
    """The times of one kind of fetch, in seconds; ``initial_s`` until observed.

    ::

        times.observe(0.29, now)
        times.expected_s        # 0.31
        times.record_predicted()
        times.record_early(now)
    """

    def __init__(self, initial_s: float):
        self._initial_s = initial_s
        self._observed_s: deque[float] = deque(maxlen=MAX_OBSERVATIONS)
        self._outcomes: deque[bool] = deque(maxlen=OUTCOMES)
        self._margin_s = INITIAL_MARGIN_S
        self._changed_until = 0.0
        self._observe_at = 0.0
        self._shorter = False
        self._shortest_s = initial_s
        self._early_at = self._observed_at = 0.0

    @property
    def shorter(self) -> bool:
        """Whether fetches have become shorter than the level, by an unknown amount."""
        return self._shorter

    @property
    def level_s(self) -> float:
        """The usual time of a fetch."""
        if not self._observed_s:
            return self._initial_s
        ordered = sorted(self._observed_s)
        if len(ordered) >= MIN_OBSERVATIONS:
            ordered = ordered[1:-1]
        return sum(ordered) / len(ordered)

    @property
    def expected_s(self) -> float:
        """The time from an order until requests can run."""
        return max(0.0, self.level_s + self._margin_s)

    @property
    def reliable(self) -> bool:
        """Whether few of the newest predictions were too early."""
        return self._outcomes.count(True) < MAX_EARLY

    @property
    def outdated(self) -> bool:
        """Whether fetches have become longer, and none was observed since."""
        return not self.reliable and self._observed_at <= self._early_at

    def retry_s(self, since_order_s: float) -> float:
        """Return when to expect an adapter that came later than predicted.

        It is the time from its order, which a request refused now has waited.
        """
        return max(since_order_s + RETRY_S, RETRY_SHARE * self.level_s)

    def acquire_observation(self, now: float) -> bool:
        """Whether the fetch that begins now is to be observed."""
        if len(self._observed_s) >= MIN_OBSERVATIONS and now < self._observe_at:
            return False
        interval_s = OBSERVE_INTERVAL_S
        if self.level_s > SLOW * self._shortest_s:
            interval_s = SLOW_INTERVAL_S
        if now < self._changed_until:
            interval_s = CHANGED_INTERVAL_S
        self._observe_at = now + interval_s
        return True

    def observe(self, fetch_s: float, now: float) -> None:
        """Record how long a fetch took."""
        if not 0 <= fetch_s <= MAX_FETCH_S:
            return
        self._shorter = False
        before_s = self.level_s
        if not self.reliable and _differs(fetch_s, before_s):
            # What was observed before the refusals doesn't apply any more.
            self._observed_s.clear()
            self._outcomes.clear()
        self._observed_at = now
        self._observed_s.append(fetch_s)
        shortest_s = min(fetch_s, SHORTEST_GROWTH * self._shortest_s)
        self._shortest_s = max(MIN_SHORTEST_S, shortest_s)
        if _differs(fetch_s, before_s):
            self._record_change(now)
        if _differs(self.level_s, before_s):
            self._margin_s = INITIAL_MARGIN_S

    def observe_shorter(self, now: float) -> None:
        """Record that a fetch was over before its observation expected that."""
        self._shorter = True
        self._record_change(now)

    def record_predicted(self, requests: int = 1) -> None:
        """Record that requests are sent at the predicted time."""
        self._outcomes.append(False)
        self._adjust(-EARLY_SHARE * MARGIN_STEP_S * requests)

    def record_early(self, now: float) -> None:
        """Record that the engine refused a request sent at the predicted time."""
        if self._outcomes and not self._outcomes[-1]:
            self._outcomes.pop()
        self._outcomes.append(True)
        self._early_at = now
        self._adjust(MARGIN_STEP_S)
        if not self.reliable:
            self._record_change(now)

    def record_early_again(self) -> None:
        """Record a further refusal after the same prediction."""
        self._adjust(MARGIN_STEP_S)

    def _record_change(self, now: float) -> None:
        self._changed_until = now + CHANGED_S
        self._observe_at = min(self._observe_at, now + CHANGED_INTERVAL_S)

    def _adjust(self, by_s: float) -> None:
        most_s = max(MAX_MARGIN_S, MAX_MARGIN * self.level_s)
        least_s = MIN_MARGIN * self.level_s
        self._margin_s = min(most_s, max(least_s, self._margin_s + by_s))


def _differs(one_s: float, other_s: float) -> bool:
    return abs(one_s - other_s) > max(CHANGE_S, CHANGE * other_s)
