"""The queue of loads of one target: one load for all requests that wait for it."""

import asyncio
import math

from result import Result

from ..decisions.load_orders import LoadOrder, LoadRequest
from ..errors import Failure
from ..messages import Resident
from .grant_ledgers import AdapterVersion
from .residencies import Slot

FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0


class Load:
    """One queued load; ``outcome`` holds its Result when it has ended."""

    def __init__(self, key: AdapterVersion, base_model: str, requested_at: float):
        self.key = key
        self.base_model = base_model
        self.requested_at = requested_at
        self.priority = 0
        # The earliest deadline of the waiting requests, and the latest of all waiters.
        self.earliest_deadline_at = math.inf
        self.latest_deadline_at = requested_at
        self.waiting = 0
        # How many of the waiters only prefetch, with no request behind them.
        self.prefetching = 0
        # The slot that it was loaded into, once it was.
        self.slot: Slot | None = None
        self.task: asyncio.Task | None = None
        self.outcome: asyncio.Future[Result[None, Failure]] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def requests(self) -> int:
        """How many requests wait for it, without prefetches."""
        return self.waiting - self.prefetching

    def request(self) -> LoadRequest:
        """Return what the load order sorts by."""
        return LoadRequest(
            self.key.adapter,
            self.key.version,
            self.priority,
            self.earliest_deadline_at,
            self.requested_at,
            self.requests,
        )

    def finish(self, outcome: Result[None, Failure]) -> None:
        """Give the outcome to all that wait, unless the load has ended before."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class LoadQueue:
    """The queued loads of one target, and the backoff of failed ones."""

    def __init__(self, order: LoadOrder):
        self._order = order
        self._loads: dict[AdapterVersion, Load] = {}
        self._failures: dict[AdapterVersion, int] = {}
        self._retry_at: dict[AdapterVersion, float] = {}

    def __len__(self) -> int:
        return len(self._loads)

    def join(
        self,
        key: AdapterVersion,
        base_model: str,
        priority: int,
        deadline_at: float,
        now: float,
        prefetch: bool = False,
    ) -> Load:
        """Join the load of an adapter version, queued now if it was not."""
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = Load(key, base_model, now)
        load.waiting += 1
        load.prefetching += prefetch
        load.priority = max(load.priority, priority)
        if not prefetch:
            load.earliest_deadline_at = min(load.earliest_deadline_at, deadline_at)
        load.latest_deadline_at = max(load.latest_deadline_at, deadline_at)
        return load

    def leave(self, load: Load, prefetch: bool = False) -> bool:
        """Take one waiter off a load; return whether none waits any more."""
        load.waiting -= 1
        load.prefetching -= prefetch
        return load.waiting == 0

    def contains(self, key: AdapterVersion) -> bool:
        """Whether a load of the adapter version is queued."""
        return key in self._loads

    def residents(self) -> tuple[Resident, ...]:
        """Return the loads that requests wait for, as owners announce them."""
        return tuple(
            Resident(load.key.adapter, load.key.version, 0, True)
            for load in self.loads()
            if load.requests > 0
        )

    def remove(self, load: Load) -> None:
        """Remove a load that has ended."""
        if self._loads.get(load.key) is load:
            del self._loads[load.key]

    def loads(self) -> list[Load]:
        """Return the queued loads in the load order."""
        return sorted(self._loads.values(), key=self._sort_key)

    def ahead_of(self, key: AdapterVersion) -> int:
        """Return how many loads go before the one of ``key``, or all if it has none."""
        ahead = 0
        for load in self.loads():
            if load.key == key:
                break
            ahead += 1
        return ahead

    def record_failure(self, key: AdapterVersion, now: float) -> None:
        """Delay the next try of a load, longer after each failure.

        Otherwise every request for an adapter with broken weights would use up one
        load of the weight store's rate.
        """
        failures = self._failures.get(key, 0)
        self._failures[key] = failures + 1
        self._retry_at[key] = now + min(FIRST_BACKOFF_S * 2**failures, MAX_BACKOFF_S)

    def record_success(self, key: AdapterVersion) -> None:
        """Clear the failures of an adapter version."""
        self._failures.pop(key, None)
        self._retry_at.pop(key, None)

    def retry_in(self, key: AdapterVersion, now: float) -> float:
        """Return how many seconds a failed load must still wait; 0 if it may start."""
        return max(0.0, self._retry_at.get(key, now) - now)

    def _sort_key(self, load: Load) -> tuple:
        return self._order.key(load.request())
