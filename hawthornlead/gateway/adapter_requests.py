"""Requests that wait for an adapter of one engine.

Each request waits for a slot, for the order that loads its adapter, and for the adapter
to be ready. Requests for the same adapter share all three::

    loaded = await requests.load(request, version=2, wait_s=1.0)
"""

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..tasks import TaskSet
from ..timers import TimerService
from ..waits import Signal
from .engine_slots import AdapterKey, EngineSlots
from .fetch_trackers import FIRST_POLL_S
from .load_accounts import LoadAccounts
from .load_checks import MAX_ARRIVING, LoadChecks
from .slot_queues import SlotRequest
from .slot_waits import SlotWaits

# A fetch takes 0.25 to 0.3 s. With four at once, one ends about every 65 ms.
FETCH_INTERVAL_S = 0.065


class AdapterRequests:
    """Loads adapters of one engine for requests; ``order`` orders one load."""

    def __init__(
        self,
        *,
        slots: EngineSlots,
        checks: LoadChecks,
        slot_waits: SlotWaits,
        timers: TimerService,
        tasks: TaskSet,
        order: Callable[[AdapterKey, int], Awaitable[Result[None, Failure]]],
        accounts: LoadAccounts,
    ):
        self._slots = slots
        self._checks = checks
        self._slot_waits = slot_waits
        self._timers = timers
        self._tasks = tasks
        self._order = order
        self._accounts = accounts
        self._stopped = False
        self._ordering: dict[tuple[AdapterKey, int], asyncio.Task] = {}
        self._waiting: dict[AdapterKey, int] = {}
        self._changed = Signal()

    def is_waiting(self, key: AdapterKey) -> bool:
        """Whether a request waits for an adapter."""
        return key in self._waiting

    def waiting(self, key: AdapterKey) -> int:
        """Return how many requests wait for an adapter."""
        return self._waiting.get(key, 0)

    def on_changed(self) -> None:
        """Let waiting requests check again what the engine holds."""
        self._changed.fire()

    def stop(self) -> None:
        """Fail all waiting requests: the engine isn't ordered here any more."""
        self._stopped = True
        self._changed.fire()
        self._slot_waits.stop()

    async def load(
        self,
        request: SlotRequest,
        version: int,
        wait_s: float,
        on_arriving: Callable[[], None] = lambda: None,
    ) -> Result[int, Failure]:
        """Make an adapter ready and return its version.

        ``on_arriving`` is called when the adapter is found to be arriving.

        Waits for a slot until ``request.until``, and for the adapter ``wait_s``. Fails
        with ``NO_SLOT`` if no slot becomes free in time, ``NO_GRANT`` if this VM may
        not order the engine, ``LOAD_FAILED`` if the adapter isn't ready in time.
        """
        key = request.key
        self._slots.record_use(key, 1, self._timers.now())
        deadline_at = self._timers.now() + wait_s
        self._waiting[key] = self._waiting.get(key, 0) + 1
        try:
            return await self._load_until(request, version, deadline_at, on_arriving)
        finally:
            self._waiting[key] -= 1
            if not self._waiting[key]:
                del self._waiting[key]
                self._accounts.on_abandoned(key)

    async def _load_until(
        self,
        request: SlotRequest,
        version: int,
        deadline_at: float,
        on_arriving: Callable[[], None],
    ) -> Result[int, Failure]:
        key = request.key
        while not self._slots.ready(key, version):
            if self._stopped:
                return Err(Failure(ErrorKind.NO_GRANT, "not ordered here now", 0.1))
            left_s = deadline_at - self._timers.now()
            if left_s <= 0:
                return Err(Failure(ErrorKind.LOAD_FAILED, f"{key} is not ready", 0.3))
            if self._checks.is_arriving(key, version):
                on_arriving()
                await self._changed.wait(self._timers, left_s)
                continue
            self._accounts.on_requested(key, self._timers.now())
            if self._slots.arriving >= MAX_ARRIVING:
                expected_s = FETCH_INTERVAL_S * self._fetches_ahead(key)
                if expected_s > left_s - FIRST_POLL_S:
                    detail = "too many loads at once"
                    return Err(Failure(ErrorKind.NO_SLOT, detail, expected_s))
                await self._changed.wait(self._timers, left_s)
                continue
            ordered = await self._wait_and_order(request, version, left_s)
            if ordered.is_err():
                return ordered
        slot = self._slots.slots.get(key)
        return Ok(slot.version if slot else version)

    async def _wait_and_order(
        self, request: SlotRequest, version: int, left_s: float
    ) -> Result[None, Failure]:
        """Wait for a slot and have the load ordered."""
        waited = await self._slot_waits.wait(request)
        if waited.is_err():
            return waited
        ordering = self._join_ordering(request.key, version)
        await asyncio.wait([ordering], timeout=left_s)
        if ordering.cancelled() or not ordering.done():
            return Ok(None)
        ordered = ordering.result()
        if ordered.is_ok():
            return ordered
        failure = ordered.err_value
        slot_left_s = request.until - self._timers.now()
        if failure.kind is not ErrorKind.NO_SLOT or failure.retry_after_s > slot_left_s:
            return ordered
        # Another request took the slot meanwhile, so this one waits for the next.
        # Without the pause an owner that refuses for another reason would be asked in a
        # busy loop and do nothing else.
        await self._slot_waits.pause()
        return Ok(None)

    def _fetches_ahead(self, key: AdapterKey) -> int:
        """Count the fetches that are in progress or were requested before this one."""
        ahead = 0
        for other in self._waiting:
            if other == key:
                break
            ahead += 1
        return max(ahead, self._slots.arriving)

    def _join_ordering(self, key: AdapterKey, version: int) -> asyncio.Task:
        """Return the task that orders this load, shared by all requests for it.

        It continues after they stop waiting, because the outcome of a sent order must
        be processed.
        """
        name = (key, version)
        task = self._ordering.get(name)
        if task is None or task.done():
            task = self._tasks.spawn(self._order(key, version))
            self._ordering[name] = task
            task.add_done_callback(lambda _: self._ordering.pop(name, None))
        return task
