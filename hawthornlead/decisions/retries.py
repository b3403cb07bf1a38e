"""Retries: a budget that keeps them from multiplying load, and backoff.

Retries may be at most ``RETRY_SHARE`` of the first attempts of the last ten seconds,
plus ``MIN_RETRIES`` so that an idle VM can retry at all. If a target fails under load,
the budget is soon exhausted and failures are returned at once. One call checks the
budget and waits::

    if not await retries.wait(number, deadline_at):
        return failure
"""

from collections import deque

WINDOW_S = 10.0
SLICE_INTERVAL_S = 1.0
MIN_RETRIES = 3
BASE_BACKOFF_S = 0.025
MAX_BACKOFF_S = 1.0


class _Slice:
    """The attempts within one ``SLICE_INTERVAL_S``."""

    def __init__(self, started_at: float):
        self.started_at = started_at
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
        """The number of retries that the budget allows now."""
        self._current_slice()
        firsts = sum(one.firsts for one in self._slices)
        retries = sum(one.retries for one in self._slices)
        return int(self._settings["RETRY_SHARE"] * firsts) + MIN_RETRIES - retries

    def record_first_attempt(self) -> None:
        """Count the first attempt of a request."""
        self._current_slice().firsts += 1

    def acquire(self) -> bool:
        """Acquire one retry from the budget; False if it is exhausted."""
        if self.left <= 0:
            return False
        self._current_slice().retries += 1
        return True

    def backoff(self, number: int) -> float:
        """Return the wait after attempt ``number`` (from 1), in seconds.

        Full jitter: uniform between 0 and a limit that doubles with each attempt, so
        that requests which failed together aren't retried together.
        """
        limit = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** (number - 1))
        return self._rng.uniform(0, limit)

    def next_wait(self, number: int, deadline_at: float) -> float | None:
        """Return the wait before the next attempt, or None if none is allowed.

        None if the wait would end after the deadline (on the timer service's clock),
        which uses no budget, or if the budget is exhausted.
        """
        wait_s = self.backoff(number)
        if self._timers.now() + wait_s >= deadline_at or not self.acquire():
            return None
        return wait_s

    async def wait(self, number: int, deadline_at: float) -> bool:
        """Wait for the backoff after attempt ``number`` (from 1).

        Return False at once if no further attempt is allowed: after ``MAX_ATTEMPTS``,
        or for the reasons of ``next_wait``.
        """
        if number >= self._settings["MAX_ATTEMPTS"]:
            return False
        wait_s = self.next_wait(number, deadline_at)
        if wait_s is None:
            return False
        await self._timers.sleep(wait_s)
        return True

    def _current_slice(self) -> _Slice:
        now = self._timers.now()
        while self._slices and self._slices[0].started_at <= now - WINDOW_S:
            self._slices.popleft()
        if not self._slices or self._slices[-1].started_at <= now - SLICE_INTERVAL_S:
            self._slices.append(_Slice(now))
        return self._slices[-1]
