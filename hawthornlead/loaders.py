"""Loads and evictions of one target, ordered by its owner.

A load runs in one task from the wish to its end: see that there is room (or ask
grants back to make some), get leave from the weight store's allowance, evict if
needed, load. Nothing is taken from the requests of a resident adapter while the
load still waits for its leave.
"""

import asyncio
from collections.abc import Callable

from loguru import logger
from result import Err, Ok, Result

from .allowances import Allowances, Permit
from .errors import ErrorKind, Failure
from .events import EventKind, EventRing
from .grant_ledgers import AdapterVersion, GrantLedger, HeldGrant
from .invariants import Invariants
from .load_leaves import LoadLeaves
from .load_queues import Load, LoadQueue
from .messages import Resident
from .metrics import Metrics
from .orders import TargetOrders
from .owners import OrderRight
from .residencies import Residency, Slot, SlotState
from .targets import OrderReply
from .timers import TimerService
from .waits import Signal

# How often a load looks for room anew after it lost it while it had leave.
ROOM_TRIES = 3
# How long nothing is loaded after the target said that it has no free slot.
FULL_PAUSE_S = 0.5
# How long a load waits at most for grants that it has asked back.
DRAIN_S = 0.1
# Weight of the newest load in the running mean of how long loads take.
MEAN_WEIGHT = 0.2

# How often a load that waits looks whether its owner still has its full right.
LOOK_AGAIN_S = 1.0
# When to come back for a slot in a store outage: one lasts longer than a moment.
NO_EVICTION_S = 15.0


class Loader:
    """Runs the loads of one target."""

    def __init__(
        self,
        *,
        settings: dict,
        timers: TimerService,
        events: EventRing,
        metrics: Metrics,
        invariants: Invariants,
        target: str,
        weight_store: str,
        orders: TargetOrders,
        ledger: GrantLedger,
        residency: Residency,
        queue: LoadQueue,
        allowances: Allowances,
        eviction,
        popularity,
        changed: Signal,
        revoke: Callable[[list[HeldGrant]], None],
        copies: Callable[[Resident], int] | None = None,
    ):
        self._settings = settings
        self._timers = timers
        self._events = events
        self._metrics = metrics
        self._invariants = invariants
        self._target = target
        self._orders = orders
        self._ledger = ledger
        self._residency = residency
        self._queue = queue
        self._allowances = allowances
        self._leaves = LoadLeaves(
            timers=timers,
            allowances=allowances,
            weight_store=weight_store,
            target=target,
        )
        self._eviction = eviction
        self._popularity = popularity
        self._changed = changed
        self._revoke = revoke
        self._copies = copies
        self._running: set[Load] = set()
        # Loads that saw room and wait for leave.
        self._expecting: set[Load] = set()
        # Permits of loads whose end is not known; they end by time or restart.
        self._kept_permits: list[Permit] = []
        # The target said that its slots are full, against what is known of them.
        self._full_until = float("-inf")
        self._stopped = False
        self._mean_s = settings["LOADS_AT_ONCE"] / settings["LOADS_PER_S"]

    def estimate_s(self, key: AdapterVersion) -> float:
        """Return how long a request for ``key`` would wait for its load."""
        turns = self._queue.ahead_of(key) // self._settings["LOADS_AT_ONCE"] + 1
        return turns * self._mean_s + self._leaves.expected_s

    def can_load(self, key: AdapterVersion, ahead: int = 0) -> bool:
        """Whether a load of ``key`` has a slot, or could soon have one.

        ``ahead`` loads need one each before it. A slot that runs nothing counts,
        also under grants, which can be asked back.
        """
        if self._residency.get(key) is not None:
            return True
        room = self._residency.free
        for slot in self._residency.slots():
            if slot.state is SlotState.RESIDENT and not slot.wanted:
                room += slot.running == 0 or self._ledger.idle(slot.key)
        return room > ahead

    def takes(self, key: AdapterVersion) -> bool:
        """Whether a load of ``key`` is wanted, or has a slot beside those that are."""
        return self._queue.wants(key) or self.can_load(key, len(self._queue))

    def start_loads(self) -> None:
        """Start wanted loads in their order, as many at once as may be."""
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
        """End all loads; their requests are told that the owner changed."""
        self._stopped = True
        tasks = [load.task for load in self._running if load.task is not None]
        for load in self._queue.loads():
            load.end(Err(Failure(ErrorKind.NO_GRANT, "the target's owner changed")))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def restarted(self) -> None:
        """The target restarted: no load runs there any more."""
        for permit in self._kept_permits:
            self._allowances.release(permit, loaded=False)
        self._kept_permits.clear()

    async def _run(self, load: Load) -> None:
        outcome = Err(Failure(ErrorKind.NO_GRANT, "the load was given up"))
        try:
            outcome = await self._carry_out(load)
        except Exception:
            # A bug in one load must not leave its requests waiting, nor its place.
            logger.exception("load at {} failed", self._target)
        finally:
            self._expecting.discard(load)
            self._running.discard(load)
            self._queue.remove(load)
            load.end(outcome)
            self._end_drains()
            self._changed.fire()
        self.start_loads()

    async def _carry_out(self, load: Load) -> Result[None, Failure]:
        for _ in range(ROOM_TRIES):
            seen = await self._wait_for_room(load)
            if isinstance(seen, Err) or seen.ok_value:
                return seen if isinstance(seen, Err) else Ok(None)
            self._expecting.add(load)
            if load.requests > 0:
                await self._drain_best()
            leave = await self._leaves.ask(load)
            self._expecting.discard(load)
            if leave is None:
                continue
            if isinstance(leave, Err):
                return leave
            permit = leave.ok_value
            if await self._make_room(load):
                return await self._load(load, permit)
            self._allowances.release(permit, loaded=False)
        return self._no_slot("no slot became free")

    async def _wait_for_room(self, load: Load) -> Result[bool, Failure]:
        """Wait until there is room; Ok(True) when the adapter is resident already."""
        began = self._timers.now()
        while True:
            left = load.deadline_at - self._timers.now()
            if load.waiting <= 0 or left <= 0:
                return self._no_slot("no slot became free in time")
            if self._orders.right() is OrderRight.NONE:
                return Err(Failure(ErrorKind.NO_GRANT, "the owner lost its right"))
            slot = self._residency.get(load.key)
            if slot is not None and self._keep(slot, load):
                return Ok(True)
            if slot is None and self._orders.ready:
                if self._has_room():
                    return Ok(False)
                if load.requests == 0:
                    return self._no_slot("no slot is free for a load ahead")
                waited_s = self._timers.now() - began
                degraded = self._orders.right() is OrderRight.DEGRADED
                if degraded and waited_s >= self._settings["OWNER_WAIT_S"]:
                    # No slot becomes free while nothing may be evicted. An outage
                    # that does not end soon would only hold the answer back until
                    # the deadline.
                    detail = "nothing is evicted while the store does not answer"
                    failure = Failure(ErrorKind.NO_SLOT, detail, NO_EVICTION_S)
                    return Err(failure)
                self._drain_one()
            await self._changed.wait(self._timers, min(left, LOOK_AGAIN_S))

    def _keep(self, slot: Slot, load: Load) -> bool:
        """Whether the adapter's own slot serves; it stays if no load goes before."""
        if slot.state is not SlotState.RESIDENT:
            return False
        if slot.draining and self._queue.ahead_of(load.key) == 0:
            slot.draining = False
        if slot.draining:
            return False
        self._hold(slot, load)
        return True

    def _hold(self, slot: Slot, load: Load) -> None:
        """Keep the slot until each request that waited for the load has its grant."""
        slot.wanted += load.waiting
        load.slot = slot

    def _has_room(self) -> bool:
        if self._timers.now() < self._full_until:
            return False
        room = self._residency.free
        if self._orders.may_evict():
            room += len(self._idle_slots())
        return room > len(self._expecting)

    async def _make_room(self, load: Load) -> bool:
        if self._residency.get(load.key) is not None or not self._orders.ready:
            return False
        if self._residency.free > 0:
            return True
        if not self._orders.may_evict():
            return False
        victim = self._choose(self._idle_slots())
        if victim is None or not await self._evict(victim):
            return False
        return self._residency.free > 0

    async def _load(self, load: Load, permit: Permit) -> Result[None, Failure]:
        slot = self._residency.begin_load(load.key, load.base_model)
        started_at = self._timers.now()
        self._events.emit(EventKind.LOAD_STARTED, self._target, adapter=load.key)
        reply = await self._orders.load(
            load.key,
            load.base_model,
            lambda: self._timers.now() < permit.start_by,
        )
        outcome = self._settle_load(load, slot, permit, started_at, reply)
        result = "loaded" if isinstance(outcome, Ok) else outcome.err_value.kind.value
        self._metrics.loads.labels(result).inc()
        return outcome

    def _settle_load(
        self,
        load: Load,
        slot: Slot,
        permit: Permit,
        started_at: float,
        reply: Result[OrderReply, Failure],
    ) -> Result[None, Failure]:
        now = self._timers.now()
        if self._residency.get(load.key) is not slot:
            # The target restarted meanwhile: whatever was loaded is gone.
            self._allowances.release(permit, loaded=False)
            return Err(Failure(ErrorKind.LOAD_FAILED, "the target restarted"))
        if isinstance(reply, Ok) and self._residency.boot_id == reply.ok_value.boot_id:
            self._residency.loaded(slot, reply.ok_value.now)
            self._hold(slot, load)
            self._allowances.release(permit, loaded=True)
            self._queue.succeeded(load.key)
            self._mean_s += MEAN_WEIGHT * (now - started_at - self._mean_s)
            self._events.emit(
                EventKind.LOAD_ENDED,
                self._target,
                adapter=load.key,
                seconds=round(now - started_at, 3),
            )
            return Ok(None)
        if isinstance(reply, Ok):
            # A start of the target that no probe has told of yet.
            failure = Failure(ErrorKind.TARGET_LOST, "the target restarted")
        else:
            failure = reply.err_value
        self._settle_failed_load(load, slot, permit, started_at, failure)
        return Err(failure._replace(kind=_LOAD_KINDS.get(failure.kind, failure.kind)))

    def _settle_failed_load(
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
            # It may still be loading: its slot and its share stay taken.
            self._residency.lost(slot, started_at + self._settings["LOAD_S"])
            now = self._timers.now()
            self._kept_permits = [p for p in self._kept_permits if now < p.ends_at]
            self._kept_permits.append(permit)
            return
        self._residency.gone(slot)
        self._allowances.release(permit, loaded=False)
        if failure.kind is ErrorKind.NO_SLOT:
            # A load that an earlier owner ordered is still under way there. Each
            # further try would use up a share of the weight store's rate.
            self._full_until = self._timers.now() + FULL_PAUSE_S
        if failure.kind is ErrorKind.LOAD_FAILED:
            self._queue.failed(load.key, self._timers.now())

    async def _evict(self, victim: Slot) -> bool:
        """Evict; return whether the slot is free. No grant is given meanwhile."""
        # GRA-7: nothing is granted on it from here until its outcome is known.
        victim.state = SlotState.EVICTING
        victim.evict_open = True
        reply = await self._orders.evict(
            victim.key, lambda: self._ledger.idle(victim.key) and victim.wanted == 0
        )
        if self._residency.get(victim.key) is not victim:
            return True
        if isinstance(reply, Ok):
            self._invariants.check(
                "evict-only-idle",
                self._ledger.idle(victim.key),
                f"{self._target} {victim.key.adapter}",
            )
            same_start = reply.ok_value.boot_id == self._residency.boot_id
            self._residency.gone(victim, reply.ok_value.now if same_start else None)
            self._metrics.evictions.inc()
            self._events.emit(
                EventKind.ADAPTER_EVICTED, self._target, adapter=victim.key
            )
            return True
        kind = reply.err_value.kind
        if kind is ErrorKind.NOT_FOUND:
            self._residency.gone(victim)
            return True
        if kind is ErrorKind.TARGET_LOST:
            # GRA-8: it may still take effect, also under this same owner. Granted
            # meanwhile, its requests would lose their adapter. The bytes may have
            # left just before the timeout, so the time counts from here.
            self._residency.lost(victim, self._timers.now() + self._orders.longest_s)
            return False
        victim.state = SlotState.RESIDENT
        victim.evict_open = False
        return False

    def _idle_slots(self) -> list[Slot]:
        idle = []
        for slot in self._residency.slots():
            if slot.state is not SlotState.RESIDENT or slot.wanted > 0:
                continue
            if self._ledger.idle(slot.key):
                idle.append(slot)
        return idle

    def _drain_one(self) -> None:
        """Ask the grants on one adapter back, so that it falls idle.

        One slot is drained for each running load at most, and one with nothing
        running rather than one whose requests would have to end first.
        """
        if not self._orders.may_evict():
            return
        draining = 0
        candidates = []
        for slot in self._residency.slots():
            draining += slot.draining
            if slot.grantable and slot.wanted == 0:
                candidates.append(slot)
        if draining >= len(self._running):
            return
        quiet = [slot for slot in candidates if slot.running == 0]
        slot = self._choose(quiet or candidates)
        if slot is None:
            return
        slot.draining = True
        self._revoke(self._ledger.revoke(slot.key))

    async def _drain_best(self) -> None:
        """Ask the grants on the best to evict back, if it is quiet but under some.

        A grant is kept for seconds after its last request. Were only slots without
        grants weighed, a one-off that has just ended would outlive an adapter that is
        asked for every ten seconds.
        """
        if self._residency.free > 0 or not self._orders.may_evict():
            return
        idle = self._idle_slots()
        quiet = [
            slot
            for slot in self._residency.slots()
            if slot.grantable and not slot.wanted and not slot.running
        ]
        best = self._choose(idle + [slot for slot in quiet if slot not in idle])
        if best is None or best in idle:
            return
        best.draining = True
        self._revoke(self._ledger.revoke(best.key))
        until = self._timers.now() + DRAIN_S
        while not self._ledger.idle(best.key) and self._timers.now() < until:
            await self._changed.wait(self._timers, until - self._timers.now())

    def _end_drains(self) -> None:
        if self._running:
            return
        for slot in self._residency.slots():
            slot.draining = False

    def _choose(self, slots: list[Slot]) -> Slot | None:
        residents = [slot.resident() for slot in slots]
        chosen = self._eviction.choose(
            residents, self._popularity, self._timers.now(), self._copies
        )
        if chosen is None:
            return None
        return self._residency.get(AdapterVersion(chosen.adapter, chosen.version))

    def _no_slot(self, detail: str) -> Err[Failure]:
        return Err(Failure(ErrorKind.NO_SLOT, detail, retry_after_s=self._mean_s))


# What a request is told when its load was not carried out: the request itself did
# not run, whatever became of the load.
_LOAD_KINDS = {
    ErrorKind.TARGET_LOST: ErrorKind.LOAD_FAILED,
    ErrorKind.NOT_FOUND: ErrorKind.LOAD_FAILED,
}
