"""Sends an owner's orders to its target, each under its lease.

The right to order is read from the clock right before each order, and again when the
connection is open and the bytes are about to be written. The process may still freeze
between that last check and the write. A fencing target refuses the order that comes
after it wakes; another target carries it out.
"""

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from ..core_parts import CoreParts
from ..decisions.views import target_resource
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..ownership.lease_terminators import clock_safe_wait_s
from ..ownership.owners import OrderRight
from .evict_guards import EvictGuard
from .grant_ledgers import AdapterVersion
from .targets import Order, OrderReply, TargetClient


class TargetOrders:
    """The orders of one owner of one target.

    ``fence`` is the fencing number of the ownership.
    """

    def __init__(
        self,
        *,
        core: CoreParts,
        owners,
        client: TargetClient,
        guard: EvictGuard,
        target: str,
        fence: int,
    ):
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._invariants = core.invariants
        self._owners = owners
        self._client = client
        self._guard = guard
        self._target = target
        self._fence = fence
        self._superseded = False
        self._stopped = False
        self._fencing: asyncio.Task | None = None
        # Evictions sent and not answered, and until when each may take effect.
        self._pending_evictions: dict[str, float] = {}

    @property
    def superseded(self) -> bool:
        """Whether the target refused this owner's number for a later owner's."""
        return self._superseded

    @property
    def ready(self) -> bool:
        """Whether the target's slots are known since the takeover."""
        return self._guard.ready

    @property
    def max_duration_s(self) -> float:
        """The longest time from an order's last check to its effect."""
        return clock_safe_wait_s(
            self._settings["ORDER_S"], self._settings["CLOCK_RATE_ERROR"]
        )

    @property
    def evictions_end_at(self) -> float:
        """When all evictions that were sent have taken effect, or never will."""
        return max(self._pending_evictions.values(), default=float("-inf"))

    def stop(self) -> None:
        """Order nothing more, since the ownership has ended."""
        self._stopped = True

    def right(self) -> OrderRight:
        """Return what may be ordered now, by the clock at this call."""
        if self._superseded or self._stopped:
            return OrderRight.NONE
        owned = self._owners.owned(target_resource(self._target))
        if owned is None or owned.fence != self._fence:
            return OrderRight.NONE
        # A successor waits for ORDER_S after the lease ends, so an order needs only a
        # lease that is held when it starts. A load may take longer (LOAD_S). A late
        # load fills a slot, which the successor's reports show, and takes no adapter
        # from any request.
        return self._owners.right(target_resource(self._target), 0.0)

    def may_evict(self) -> bool:
        """Whether an eviction may be ordered now."""
        return self.right() is OrderRight.FULL and self._guard.may_evict

    async def load(
        self, key: AdapterVersion, base_model: str, in_time: Callable[[], bool]
    ) -> Result[OrderReply, Failure]:
        """Order a load; ``in_time`` says whether its permit is still valid."""
        return await self._order(
            Order.LOAD,
            key,
            base_model,
            self._settings["LOAD_S"],
            lambda: self.right() is not OrderRight.NONE and in_time(),
        )

    async def evict(
        self, key: AdapterVersion, idle: Callable[[], bool]
    ) -> Result[OrderReply, Failure]:
        """Order the eviction of an adapter version while ``idle`` says it is unused."""

        serial = f"{key.adapter}/{key.version}"

        def allowed() -> bool:
            if not self.may_evict() or not idle():
                return False
            # Called right before the bytes are written.
            self._pending_evictions[serial] = self._timers.now() + self.max_duration_s
            return True

        reply = await self._order(
            Order.EVICT, key, "", self._settings["ORDER_S"], allowed
        )
        # GRA-8: an order without an answer may take effect until its time is over. Any
        # answer ends it, and so does a connection that was never made.
        if isinstance(reply, Ok) or reply.err_value.kind is not ErrorKind.TARGET_LOST:
            self._pending_evictions.pop(serial, None)
        return reply

    def start_fence(self) -> Awaitable[Result[OrderReply, Failure]]:
        """Send a fence order unless one is under way; all callers share its outcome."""
        if self._fencing is None or self._fencing.done():
            loop = asyncio.get_running_loop()
            self._fencing = loop.create_task(self.fence())
        return asyncio.shield(self._fencing)

    async def fence(self) -> Result[OrderReply, Failure]:
        """Order the target to accept this owner's fencing number."""
        sent_at = self._timers.now()
        reply = await self._order(
            Order.FENCE,
            AdapterVersion("", ""),
            "",
            self._settings["ORDER_S"],
            lambda: self.right() is not OrderRight.NONE,
        )
        if isinstance(reply, Err):
            return reply
        boot_id = reply.ok_value.boot_id
        if not self._guard.record_fenced(sent_at, self._timers.now(), boot_id):
            detail = f"{self._target} restarted during the fence order"
            return Err(Failure(ErrorKind.TARGET_LOST, detail))
        return reply

    async def _order(
        self,
        op: Order,
        key: AdapterVersion,
        base_model: str,
        timeout_s: float,
        allowed: Callable[[], bool],
    ) -> Result[OrderReply, Failure]:
        if not allowed():
            detail = f"this owner may not order {op.value} at {self._target} now"
            return Err(Failure(ErrorKind.NO_GRANT, detail))
        owned = self._owners.owned(target_resource(self._target))
        self._invariants.check(
            "order-under-lease",
            owned is not None and owned.fence == self._fence,
            f"{op.value} {self._target} fence={self._fence}",
        )
        reply = await self._client.order(
            op, self._fence, key.adapter, key.version, base_model, timeout_s, allowed
        )
        if isinstance(reply, Err) and reply.err_value.kind is ErrorKind.STALE_FENCE:
            self._superseded = True
            self._events.emit(
                EventKind.OWNER_SUPERSEDED, self._target, fence=self._fence
            )
        return reply
