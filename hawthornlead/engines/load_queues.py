"""Loads that wait for a slot of one target: one load for many waiting requests."""

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
    """One load that is wanted; ``outcome`` holds its Result when it is over."""

    def __init__(self, key: AdapterVersion, base_model: str, asked_at: float):
        self.key = key
        self.base_model = base_model
        self.requested_at = asked_at
        self.priority = 0
        # The first of the waiting requests to be late, and the last.
        self.due_at = math.inf
        self.deadline_at = asked_at
        self.waiting = 0
        # How many of those who wait only load ahead: no request stands behind them.
        self.prefetching = 0
        # The slot that it was loaded into, once it was.
        self.slot: Slot | None = None
        self.task: asyncio.Task | None = None
        self.outcome: asyncio.Future[Result[None, Failure]] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def requests(self) -> int:
        """How many requests wait for it, leaving out those who load ahead."""
        return self.waiting - self.prefetching

    def request(self) -> LoadRequest:
        """Return what a load order sorts."""
        return LoadRequest(
            self.key.adapter,
            self.key.version,
            self.priority,
            self.due_at,
            self.requested_at,
            self.requests,
        )

    def finish(self, outcome: Result[None, Failure]) -> None:
        """Tell all who wait."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class LoadQueue:
    """Wanted loads of one target, and loads that failed lately."""

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
        """Return the load of an adapter version, wanted from now on if it was not."""
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = Load(key, base_model, now)
        load.waiting += 1
        load.prefetching += prefetch
        load.priority = max(load.priority, priority)
        if not prefetch:
            load.due_at = min(load.due_at, deadline_at)
        load.deadline_at = max(load.deadline_at, deadline_at)
        return load

    def leave(self, load: Load, prefetch: bool = False) -> bool:
        """One request less waits; return whether the load is wanted by none."""
        load.waiting -= 1
        load.prefetching -= prefetch
        return load.waiting == 0

    def contains(self, key: AdapterVersion) -> bool:
        """Whether a load of the adapter version is wanted."""
        return key in self._loads

    def residents(self) -> tuple[Resident, ...]:
        """Return the loads that requests wait for, as owners tell them."""
        return tuple(
            Resident(load.key.adapter, load.key.version, 0, True)
            for load in self.loads()
            if load.requests > 0
        )

    def remove(self, load: Load) -> None:
        """Take a load that is over out of the queue."""
        if self._loads.get(load.key) is load:
            del self._loads[load.key]

    def loads(self) -> list[Load]:
        """Return the wanted loads, in the load order."""
        return sorted(self._loads.values(), key=self._sort_key)

    def ahead_of(self, key: AdapterVersion) -> int:
        """Return how many loads go before the one of ``key``, or all if none."""
        ahead = 0
        for load in self.loads():
            if load.key == key:
                break
            ahead += 1
        return ahead

    def record_failure(self, key: AdapterVersion, now: float) -> None:
        """Remember a failed load: the next try waits, longer after each failure.

        Without it, every request for an adapter whose weights are broken would use
        up a share of the weight store's rate.
        """
        failures = self._failures.get(key, 0)
        self._failures[key] = failures + 1
        self._retry_at[key] = now + min(FIRST_BACKOFF_S * 2**failures, MAX_BACKOFF_S)

    def record_success(self, key: AdapterVersion) -> None:
        """Forget earlier failures."""
        self._failures.pop(key, None)
        self._retry_at.pop(key, None)

    def retry_in(self, key: AdapterVersion, now: float) -> float:
        """Return how many seconds a failed load must still wait, 0 if none."""
        return max(0.0, self._retry_at.get(key, now) - now)

    def _sort_key(self, load: Load) -> tuple:
        return self._order.key(load.request())
