"""Permits to load, asked of the weight store's allowance for one target's loads."""

from result import Err, Ok, Result

from ..errors import Failure
from ..timers import TimerService
from .allowances import Allowances, Permit
from .load_queues import Load

# How long a load that no request waits for asks for a permit. Short, so that a request
# that joins it meanwhile soon asks with its own weight.
AHEAD_ASK_S = 0.5
# For how long the wait for a permit counts in what a new load is expected to take.
WAIT_KEEP_S = 2.0


class LoadPermits:
    """Asks for permits, and remembers how long they took lately."""

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
        self._waited_s = 0.0
        self._given_at = float("-inf")

    @property
    def expected_s(self) -> float:
        """How long a new load would wait for its permit, 0 if none was given lately."""
        if self._timers.now() - self._given_at >= WAIT_KEEP_S:
            return 0.0
        return self._waited_s

    async def ask(self, load: Load) -> Result[Permit, Failure] | None:
        """Ask for a permit; None when requests came to a load ahead meanwhile."""
        asked_at = self._timers.now()
        left = load.deadline_at - asked_at
        prefetch = load.requests == 0
        asked = await self._allowances.acquire(
            self._weight_store,
            self._target,
            load.key,
            load.priority,
            min(left, AHEAD_ASK_S) if prefetch else left,
            load.requests,
        )
        if isinstance(asked, Err) and prefetch and load.requests > 0:
            return None
        if isinstance(asked, Ok) and not prefetch:
            self._given_at = self._timers.now()
            self._waited_s = self._given_at - asked_at
        return asked
