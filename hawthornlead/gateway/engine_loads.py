"""The orders for one load at one engine, with the evictions that it needs.

The owner of the engine calls this under its lock, so that one order is given at a
time::

    ordered = await loads.order(AdapterKey("m", "a3"), version=2)
"""

from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..timers import TimerService
from .engine_orders import EngineOrders
from .engine_slots import AdapterKey, EngineSlots, SlotState
from .load_accounts import LoadAccounts
from .load_checks import LoadChecks
from .records import OrderKind, OrderOutcome, TargetEntry

MAX_ORDER_TRIES = 6
# When to retry for an adapter whose slot was taken by another. At a busy engine the
# next slot is free 0.1 s to 0.2 s later.
NO_SLOT_RETRY_S = 0.15


class EngineLoads:
    """Orders loads at one engine.

    ``entry`` returns the engine's current entry, ``may_order`` whether it is still
    ordered here, and ``is_waiting`` whether a request waits for an adapter. ``resync``
    reads what the engine holds. ``on_started`` is called with an ordered adapter and
    the number of orders that the engine has accepted then, ``on_changed`` when the
    slots change.
    """

    def __init__(
        self,
        *,
        slots: EngineSlots,
        checks: LoadChecks,
        orders: EngineOrders,
        accounts: LoadAccounts,
        timers: TimerService,
        entry: Callable[[], TargetEntry],
        may_order: Callable[[], bool],
        is_waiting: Callable[[AdapterKey], bool],
        resync: Callable[[], Awaitable[bool]],
        on_started: Callable[[AdapterKey, int], None],
        on_changed: Callable[[], None],
    ):
        self._slots = slots
        self._checks = checks
        self._orders = orders
        self._accounts = accounts
        self._timers = timers
        self._entry = entry
        self._may_order = may_order
        self._is_waiting = is_waiting
        self._resync = resync
        self._on_started = on_started
        self._on_changed = on_changed

    async def order(self, key: AdapterKey, version: int) -> Result[None, Failure]:
        """Order a load, after evicting another adapter if there is no free slot."""
        for _ in range(MAX_ORDER_TRIES):
            if not self._may_order():
                return Err(Failure(ErrorKind.NO_GRANT, "engine released", 0.1))
            if self._orders.accepted is None and not await self._resync():
                return Err(Failure(ErrorKind.TARGET_LOST, "no report", 0.5))
            if not self._checks.is_needed(key, version):
                return Ok(None)
            if not self._is_waiting(key):
                # A load that nobody waits for would only take away a slot.
                return Err(Failure(ErrorKind.LOAD_FAILED, "nobody waits", 0.3))
            refusal = self._checks.refusal(self._entry(), key, version)
            if refusal is not None:
                return Err(refusal)
            if not self._checks.has_capacity(key):
                if not await self._evict_one():
                    detail = "no slot to spare"
                    return Err(Failure(ErrorKind.NO_SLOT, detail, NO_SLOT_RETRY_S))
                continue
            outcome = await self.load_one(key, version)
            if outcome in (OrderOutcome.STARTED, OrderOutcome.HOLDS_ALREADY):
                return Ok(None)
        return Err(Failure(ErrorKind.LOAD_FAILED, f"{key} can't be ordered", 0.3))

    async def load_one(self, key: AdapterKey, version: int) -> OrderOutcome:
        """Order one model or adapter."""
        accepted = self._orders.accepted or 0
        self._accounts.on_order_sent(key, self._timers.now())
        outcome = await self._orders.give(self._entry(), OrderKind.LOAD, key, version)
        if outcome is not OrderOutcome.STARTED:
            return outcome
        if key.adapter:
            since = self._orders.taken_at
            self._accounts.on_ordered(key, since)
            self._slots.set(key, version, SlotState.ARRIVING, since)
            self._on_started(key, accepted + 1)
        self._on_changed()
        return outcome

    async def _evict_one(self) -> bool:
        victim = self._checks.victim()
        if victim is None:
            return False
        version = self._slots.slots[victim].version
        self._slots.evicting = victim
        try:
            outcome = await self._orders.give(
                self._entry(), OrderKind.UNLOAD, victim, 0
            )
        finally:
            self._slots.evicting = None
        if outcome is OrderOutcome.HOLDS_ALREADY:
            self._slots.remove(victim)
            self._on_changed()
            return True
        if outcome is OrderOutcome.STARTED:
            # A request runs on it after all. The adapter leaves when its runs end, up
            # to 20 s later, and the engine refuses all orders until then.
            now = self._timers.now()
            self._slots.set(victim, version, SlotState.LEAVING, now)
            self._on_changed()
            return True
        return outcome in (OrderOutcome.CONFLICT, OrderOutcome.UNKNOWN)
