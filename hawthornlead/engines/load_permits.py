"""Acquires permits from the weight store's allowance for one target's loads."""

from result import Err, Ok, Result

from ..errors import Failure
from ..timers import TimerService
from .allowances import Allowances, Permit
from .load_queues import Load

# How long a prefetch waits for a permit. Short, so that a request that joins it
# meanwhile soon requests the permit again with its own priority and deadline.
PREFETCH_TIMEOUT_S = 0.5
# How long the last wait for a permit counts as the expected wait of a new load.
WAIT_MAX_AGE_S = 2.0


class LoadPermits:
    """Acquires permits and measures how long that takes."""

    def __init__(
        self,
        *,
        timers: TimerService,
        allowances: Allowances,
        weight_store: str,
        target: str,
    ):
        self._timers = timers
        self._allowances = allowances
        self._weight_store = weight_store
        self._target = target
        self._wait_s = 0.0
        self._issued_at = float("-inf")

    @property
    def expected_s(self) -> float:
        """How long a new load would wait for its permit; 0 without a recent permit."""
        if self._timers.now() - self._issued_at >= WAIT_MAX_AGE_S:
            return 0.0
        return self._wait_s

    async def acquire(self, load: Load) -> Result[Permit, Failure] | None:
        """Acquire a permit; None if requests joined a prefetch meanwhile."""
        requested_at = self._timers.now()
        remaining_s = load.latest_deadline_at - requested_at
        prefetch = load.requests == 0
        reply = await self._allowances.acquire(
            self._weight_store,
            self._target,
            load.key,
            load.priority,
            min(remaining_s, PREFETCH_TIMEOUT_S) if prefetch else remaining_s,
            load.requests,
        )
        if isinstance(reply, Err) and prefetch and load.requests > 0:
            return None
        if isinstance(reply, Ok) and not prefetch:
            self._issued_at = self._timers.now()
            self._wait_s = self._issued_at - requested_at
        return reply
