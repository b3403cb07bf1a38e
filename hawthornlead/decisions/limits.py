"""Admission by each caller's rate and concurrency, then by priority and VM capacity.

A request is refused before anything is done for it, with the time after which to
retry::

    admitted = admissions.admit(caller, priority)
    if admitted.is_ok():
        try:
            ...
        finally:
            admitted.ok_value.release()

Limits apply to each VM separately: a caller that spreads its requests over several
entry VMs gets its rate at each of them.
"""

from collections import OrderedDict

from result import Err, Ok, Result

from ..bundles.bundles import CallerTerms
from ..errors import ErrorKind, Failure

HIGHEST_PRIORITY = 9
MIN_OPEN_SHARE = 0.55
MAX_CALLERS = 4096
CONCURRENCY_RETRY_S = 0.5
OVERLOAD_RETRY_S = 1.0


def open_share(priority: int) -> float:
    """Return the share of ``MAX_OPEN_REQUESTS`` that a priority may fill.

    It grows by 0.05 a step from 0.55 for priority 0 to 1 for priority 9, the highest.
    As a VM fills, the lowest priorities are refused first, while there is still
    capacity for the others.
    """
    bounded = min(max(priority, 0), HIGHEST_PRIORITY)
    return MIN_OPEN_SHARE + (1 - MIN_OPEN_SHARE) * bounded / HIGHEST_PRIORITY


class TokenBucket:
    """A rate limit: ``rate`` tokens a second, up to ``burst`` at once.

    The limits come with each call, since a new bundle may change them.
    """

    def __init__(self, burst: float, now: float):
        self._tokens = float(burst)
        self._filled_at = now

    def acquire(self, rate: float, burst: float, now: float) -> float:
        """Acquire one token; return 0, or the seconds until one is available."""
        self._fill(rate, burst, now)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / rate if rate > 0 else float("inf")

    def refund(self) -> None:
        """Refund the token of a request that was refused for another reason."""
        self._tokens += 1

    def _fill(self, rate: float, burst: float, now: float) -> None:
        added = max(0.0, now - self._filled_at) * rate
        self._tokens = min(max(1.0, burst), self._tokens + added)
        self._filled_at = now


class _CallerState:
    """The rate limit and open requests of one caller."""

    def __init__(self, burst: float, now: float):
        self.bucket = TokenBucket(max(1.0, burst), now)
        self.open = 0


class Admission:
    """One admitted request; ``release`` ends it and may be called again."""

    def __init__(self, admissions: "Admissions", state: _CallerState):
        self._admissions = admissions
        self._state = state
        self._released = False

    def release(self) -> None:
        """Release the request's capacity."""
        if self._released:
            return
        self._released = True
        self._state.open -= 1
        self._admissions._open -= 1


class Admissions:
    """Decides which requests this VM admits."""

    def __init__(self, *, settings, timers, rng):
        self._settings = settings
        self._timers = timers
        self._rng = rng
        self._callers: OrderedDict[str, _CallerState] = OrderedDict()
        self._open = 0

    @property
    def open(self) -> int:
        """How many admitted requests are open on this VM."""
        return self._open

    def admit(self, caller: CallerTerms, priority: int) -> Result[Admission, Failure]:
        """Admit a request, or fail with the reason and a retry time.

        The caller's own limits are checked first, so that a caller over its limit
        learns that and costs the others nothing.
        """
        state = self._state_of(caller)
        if state.open >= caller.concurrency:
            detail = f"{caller.name} has {state.open} requests open, its limit"
            return self._limited(detail, CONCURRENCY_RETRY_S)
        wait_s = state.bucket.acquire(caller.rate, caller.burst, self._timers.now())
        if wait_s > 0:
            detail = f"{caller.name} is over its rate of {caller.rate:g} a second"
            return self._limited(detail, wait_s)
        max_open = int(self._settings["MAX_OPEN_REQUESTS"] * open_share(priority))
        if self._open >= max(1, max_open):
            state.bucket.refund()
            # Random, so that refused callers don't all retry at once.
            wait_s = OVERLOAD_RETRY_S * self._rng.uniform(0.5, 1.5)
            detail = f"no capacity for priority {priority}: {self._open} requests open"
            return Err(Failure(ErrorKind.OVERLOADED, detail, wait_s))
        state.open += 1
        self._open += 1
        return Ok(Admission(self, state))

    def _limited(self, detail: str, wait_s: float) -> Err[Failure]:
        return Err(Failure(ErrorKind.CALLER_LIMITED, detail, wait_s))

    def _state_of(self, caller: CallerTerms) -> _CallerState:
        state = self._callers.get(caller.name)
        if state is None:
            state = _CallerState(caller.burst, self._timers.now())
            self._callers[caller.name] = state
            self._evict_idle()
        self._callers.move_to_end(caller.name)
        return state

    def _evict_idle(self) -> None:
        """Bound the memory by evicting the caller that has been idle the longest."""
        if len(self._callers) <= MAX_CALLERS:
            return
        for name, state in self._callers.items():
            if state.open == 0:
                del self._callers[name]
                return
