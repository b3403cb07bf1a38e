"""Loads adapters into one target's slots, on behalf of its owner.

Each load runs in one task: check that a slot can be had (or revoke grants to free
one), get a permit from the weight store's allowance, evict if needed, load. A resident
adapter is not evicted while the load still waits for its permit.
"""

import asyncio

from loguru import logger
from result import Err, Ok, Result

from ..core_parts import CoreParts
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..ownership.owners import OrderRight
from ..waits import Signal
from .allowances import Allowances, Permit
from .grant_ledgers import AdapterVersion
from .load_permits import LoadPermits
from .load_queues import Load, LoadQueue
from .orders import TargetOrders
from .owned_targets import OwnedTarget
from .residencies import Residency, Slot, SlotState
from .slot_reclaimers import SlotReclaimer
from .targets import OrderReply

# How often a load tries to get a slot. It tries again after another load took the
# slot while it waited for its permit.
MAX_SLOT_TRIES = 3
# How long nothing is loaded after the target answered that it has no free slot.
FULL_BACKOFF_S = 0.5
# Weight of the newest load in the running mean of how long loads take.
MEAN_WEIGHT = 0.2

# How often a waiting load checks whether the owner still has its full right.
RIGHT_CHECK_INTERVAL_S = 1.0
# When a caller may retry for a slot in a store outage, which lasts longer than the
# usual wait for a slot.
OUTAGE_RETRY_S = 15.0


class Loader:
    """Runs the loads of one target."""

    def __init__(
        self,
        *,
        core: CoreParts,
        target: OwnedTarget,
        orders: TargetOrders,
        residency: Residency,
        queue: LoadQueue,
        reclaimer: SlotReclaimer,
        allowances: Allowances,
        changed: Signal,
    ):
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._metrics = core.metrics
        self._target = target.name
        self._orders = orders
        self._residency = residency
        self._queue = queue
        self._reclaimer = reclaimer
        self._allowances = allowances
        self._load_permits = LoadPermits(
            timers=core.timers,
            allowances=allowances,
            weight_store=target.weight_store,
            target=target.name,
        )
        self._changed = changed
        self._running: set[Load] = set()
        # Loads that found a slot and wait for a permit.
        self._awaiting_permit: set[Load] = set()
        # Permits of loads whose outcome is unknown; they expire or end at a restart.
        self._unsettled_permits: list[Permit] = []
        self._stopped = False
        self._mean_load_s = (
            core.settings["LOADS_AT_ONCE"] / core.settings["LOADS_PER_S"]
        )

    def estimate_s(self, key: AdapterVersion) -> float:
        """Return how long a request for ``key`` would wait for its load."""
        turns = self._queue.ahead_of(key) // self._settings["LOADS_AT_ONCE"] + 1
        return turns * self._mean_load_s + self._load_permits.expected_s

    def can_load(self, key: AdapterVersion, loads_before: int = 0) -> bool:
        """Whether ``key`` has a slot, or may soon have one after other loads.

        ``loads_before`` is the number of those other loads.
        """
        return self._reclaimer.could_hold(key, loads_before)

    def accepts(self, key: AdapterVersion) -> bool:
        """Whether a load of ``key`` is queued, or could get a slot after the queue."""
        return self._queue.contains(key) or self.can_load(key, len(self._queue))

    def start_loads(self) -> None:
        """Start queued loads in their order, ``LOADS_AT_ONCE`` at a time."""
        if self._stopped:
            return
        for load in self._queue.loads():
            if len(self._running) >= self._settings["LOADS_AT_ONCE"]:
                return
            if load in self._running:
                continue
            self._running.add(load)
            load.task = asyncio.get_running_loop().create_task(self._run(load))

    async def stop(self) -> None:
        """End all loads; their requests fail because the owner changed."""
        self._stopped = True
        tasks = [load.task for load in self._running if load.task is not None]
        for load in self._queue.loads():
            load.finish(Err(Failure(ErrorKind.NO_GRANT, "the target's owner changed")))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_restart(self) -> None:
        """Release the permits of loads that the target's restart has ended."""
        for permit in self._unsettled_permits:
            self._allowances.release(permit, loaded=False)
        self._unsettled_permits.clear()

    async def _run(self, load: Load) -> None:
        outcome = Err(Failure(ErrorKind.NO_GRANT, "the load was abandoned"))
        try:
            outcome = await self._attempt(load)
        except Exception:
            # A bug in one load must not leave its requests waiting or block the queue.
            logger.exception("load at {} failed", self._target)
        finally:
            self._awaiting_permit.discard(load)
            self._running.discard(load)
            self._queue.remove(load)
            load.finish(outcome)
            if not self._running:
                self._reclaimer.end_drains()
            self._changed.fire()
        self.start_loads()

    async def _attempt(self, load: Load) -> Result[None, Failure]:
        for _ in range(MAX_SLOT_TRIES):
            available = await self._wait_for_slot(load)
            if isinstance(available, Err) or available.ok_value:
                return available if isinstance(available, Err) else Ok(None)
            self._awaiting_permit.add(load)
            if load.requests > 0:
                await self._reclaimer.drain_best()
            acquired = await self._load_permits.acquire(load)
            self._awaiting_permit.discard(load)
            if acquired is None:
                continue
            if isinstance(acquired, Err):
                return acquired
            permit = acquired.ok_value
            needed = self._residency.get(load.key) is None and self._orders.ready
            if needed and await self._reclaimer.free_slot():
                return await self._order_load(load, permit)
            self._allowances.release(permit, loaded=False)
        return self._no_slot("no slot became free")

    async def _wait_for_slot(self, load: Load) -> Result[bool, Failure]:
        """Wait until a slot can be had; Ok(True) if the adapter is resident already."""
        wait_started_at = self._timers.now()
        while True:
            remaining_s = load.latest_deadline_at - self._timers.now()
            if load.waiting <= 0 or remaining_s <= 0:
                return self._no_slot("no slot became free in time")
            if self._orders.right() is OrderRight.NONE:
                return Err(Failure(ErrorKind.NO_GRANT, "the owner lost its right"))
            slot = self._residency.get(load.key)
            if slot is not None and self._reuse_slot(slot, load):
                return Ok(True)
            if slot is None and self._orders.ready:
                if self._reclaimer.has_capacity_for(len(self._awaiting_permit)):
                    return Ok(False)
                if load.requests == 0:
                    return self._no_slot("no slot is free for a prefetch")
                waited_s = self._timers.now() - wait_started_at
                degraded = self._orders.right() is OrderRight.DEGRADED
                if degraded and waited_s >= self._settings["OWNER_WAIT_S"]:
                    # No slot becomes free while nothing may be evicted. If the outage
                    # does not end soon, waiting would only delay the answer until the
                    # deadline.
                    detail = "nothing is evicted while the store does not answer"
                    failure = Failure(ErrorKind.NO_SLOT, detail, OUTAGE_RETRY_S)
                    return Err(failure)
                self._reclaimer.drain_one(len(self._running))
            await self._changed.wait(
                self._timers, min(remaining_s, RIGHT_CHECK_INTERVAL_S)
            )

    def _reuse_slot(self, slot: Slot, load: Load) -> bool:
        """Whether the adapter's slot can be used; holds it for the load's requests.

        A slot being drained is kept only if no other load goes before this one.
        """
        if slot.state is not SlotState.RESIDENT:
            return False
        if slot.draining and self._queue.ahead_of(load.key) == 0:
            slot.draining = False
        if slot.draining:
            return False
        self._hold_slot(slot, load)
        return True

    def _hold_slot(self, slot: Slot, load: Load) -> None:
        """Keep the slot until each request that waited for the load has its grant."""
        slot.awaiting_grant += load.waiting
        load.slot = slot

    async def _order_load(self, load: Load, permit: Permit) -> Result[None, Failure]:
        slot = self._residency.start_load(load.key, load.base_model)
        started_at = self._timers.now()
        self._events.emit(EventKind.LOAD_STARTED, self._target, adapter=load.key)
        reply = await self._orders.load(
            load.key,
            load.base_model,
            lambda: self._timers.now() < permit.start_by,
        )
        outcome = self._finish_load(load, slot, permit, started_at, reply)
        result = "loaded" if isinstance(outcome, Ok) else outcome.err_value.kind.value
        self._metrics.loads.labels(result).inc()
        return outcome

    def _finish_load(
        self,
        load: Load,
        slot: Slot,
        permit: Permit,
        started_at: float,
        reply: Result[OrderReply, Failure],
    ) -> Result[None, Failure]:
        now = self._timers.now()
        if self._residency.get(load.key) is not slot:
            # The target restarted meanwhile and holds no adapter any more.
            self._allowances.release(permit, loaded=False)
            return Err(Failure(ErrorKind.LOAD_FAILED, "the target restarted"))
        if isinstance(reply, Ok) and self._residency.boot_id == reply.ok_value.boot_id:
            self._residency.mark_loaded(slot, reply.ok_value.now)
            self._hold_slot(slot, load)
            self._allowances.release(permit, loaded=True)
            self._queue.record_success(load.key)
            self._mean_load_s += MEAN_WEIGHT * (now - started_at - self._mean_load_s)
            self._events.emit(
                EventKind.LOAD_ENDED,
                self._target,
                adapter=load.key,
                seconds=round(now - started_at, 3),
            )
            return Ok(None)
        if isinstance(reply, Ok):
            # Another incarnation of the target, which no probe has seen yet.
            failure = Failure(ErrorKind.TARGET_LOST, "the target restarted")
        else:
            failure = reply.err_value
        self._finish_failed_load(load, slot, permit, started_at, failure)
        return Err(
            failure._replace(kind=_REQUEST_ERROR_KINDS.get(failure.kind, failure.kind))
        )

    def _finish_failed_load(
        self,
        load: Load,
        slot: Slot,
        permit: Permit,
        started_at: float,
        failure: Failure,
    ) -> None:
        self._events.emit(
            EventKind.LOAD_NOT_DONE,
            self._target,
            adapter=load.key,
            why=failure.kind.value,
        )
        if failure.kind is ErrorKind.TARGET_LOST:
            # It may still be loading, so its slot and its permit stay in use.
            self._residency.mark_uncertain(slot, started_at + self._settings["LOAD_S"])
            now = self._timers.now()
            self._unsettled_permits = [
                p for p in self._unsettled_permits if now < p.ends_at
            ]
            self._unsettled_permits.append(permit)
            return
        self._residency.remove(slot)
        self._allowances.release(permit, loaded=False)
        if failure.kind is ErrorKind.NO_SLOT:
            # A load that an earlier owner ordered is still under way there. Each
            # further try would use up one load of the weight store's rate.
            self._reclaimer.mark_full(self._timers.now() + FULL_BACKOFF_S)
        if failure.kind is ErrorKind.LOAD_FAILED:
            self._queue.record_failure(load.key, self._timers.now())

    def _no_slot(self, detail: str) -> Err[Failure]:
        return Err(Failure(ErrorKind.NO_SLOT, detail, retry_after_s=self._mean_load_s))


# The error kinds that waiting requests get when their load fails. The request itself
# did not run, whatever became of the load.
_REQUEST_ERROR_KINDS = {
    ErrorKind.TARGET_LOST: ErrorKind.LOAD_FAILED,
    ErrorKind.NOT_FOUND: ErrorKind.LOAD_FAILED,
}
