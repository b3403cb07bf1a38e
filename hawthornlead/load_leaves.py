"""Leave to load for one target's loads, asked of the weight store's allowance."""

from result import Err, Ok, Result

from .allowances import Allowances, Permit
from .errors import Failure
from .load_queues import Load
from .timers import TimerService

# How long a load that no request waits for asks for leave. Short, so that a request
# that joins it meanwhile soon asks with its own weight.
AHEAD_ASK_S = 0.5
# For how long the wait for leave counts in what a new load is expected to take.
LEAVE_KEEP_S = 2.0


class LoadLeaves:
    """Asks for leave, and remembers how long it took lately."""

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
        """How long a new load would wait for leave, 0 if none was given lately."""
        if self._timers.now() - self._given_at >= LEAVE_KEEP_S:
            return 0.0
        return self._waited_s

    async def ask(self, load: Load) -> Result[Permit, Failure] | None:
        """Ask for leave; None when requests came to a load ahead meanwhile."""
        asked_at = self._timers.now()
        left = load.deadline_at - asked_at
        ahead = load.requests == 0
        leave = await self._allowances.acquire(
            self._weight_store,
            self._target,
            load.key,
            load.priority,
            min(left, AHEAD_ASK_S) if ahead else left,
            load.requests,
        )
        if isinstance(leave, Err) and ahead and load.requests > 0:
            return None
        if isinstance(leave, Ok) and not ahead:
            self._given_at = self._timers.now()
            self._waited_s = self._given_at - asked_at
        return leave
