"""Retries: a budget that keeps them from multiplying load, and backoff.

Retries may be at most ``RETRY_SHARE`` of the first attempts of the last ten
seconds, plus a few so that a quiet VM can retry at all. When a target fails under
load, the budget is soon spent and the final answer goes out at once. One call does
it all::

    if not await retries.wait(number, deadline_at):
        return failure
"""

from collections import deque

WINDOW_S = 10.0
SLICE_S = 1.0
FLOOR = 3
BASE_S = 0.025
LONGEST_S = 1.0


class _Slice:
    """What happened within one second."""

    def __init__(self, began_at: float):
        self.began_at = began_at
        self.firsts = 0
        self.retries = 0


class Retries:
    """The retry budget of one VM over a sliding window."""

    def __init__(self, *, settings, timers, rng):
        self._settings = settings
        self._timers = timers
        self._rng = rng
        self._slices: deque[_Slice] = deque()

    @property
    def left(self) -> int:
        """How many retries the budget still allows now."""
        self._current()
        firsts = sum(one.firsts for one in self._slices)
        retries = sum(one.retries for one in self._slices)
        return int(self._settings["RETRY_SHARE"] * firsts) + FLOOR - retries

    def record_first_attempt(self) -> None:
        """Count the first attempt of a request."""
        self._current().firsts += 1

    def acquire(self) -> bool:
        """Use one retry of the budget; False when it is spent."""
        if self.left <= 0:
            return False
        self._current().retries += 1
        return True

    def backoff(self, number: int) -> float:
        """Return the wait after attempt ``number`` (from 1), in seconds.

        Full jitter: evenly between 0 and a limit that doubles with each attempt,
        so that requests which failed together don't come back together.
        """
        limit = min(LONGEST_S, BASE_S * 2 ** (number - 1))
        return self._rng.uniform(0, limit)

    def next_wait(self, number: int, deadline_at: float) -> float | None:
        """Return the wait before the next attempt, or None if there is to be none.

        None when the wait would end past the deadline (on the timer service's
        clock), which uses up nothing, or when the budget is spent.
        """
        wait_s = self.backoff(number)
        if self._timers.now() + wait_s >= deadline_at or not self.acquire():
            return None
        return wait_s

    async def wait(self, number: int, deadline_at: float) -> bool:
        """Wait out the backoff after attempt ``number`` (from 1).

        False at once when there is to be no further attempt: after ``MAX_ATTEMPTS``,
        or for the reasons of ``next_wait``.
        """
        if number >= self._settings["MAX_ATTEMPTS"]:
            return False
        wait_s = self.next_wait(number, deadline_at)
        if wait_s is None:
            return False
        await self._timers.sleep(wait_s)
        return True

    def _current(self) -> _Slice:
        now = self._timers.now()
        while self._slices and self._slices[0].began_at <= now - WINDOW_S:
            self._slices.popleft()
        if not self._slices or self._slices[-1].began_at <= now - SLICE_S:
            self._slices.append(_Slice(now))
        return self._slices[-1]
