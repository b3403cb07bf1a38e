"""Orders to one engine, each sent under the lease and numbered by the engine's count.

Every order names how many orders the engine has accepted so far. The engine therefore
refuses an order that arrives late, after a newer one, and an order that was decided
from an old report::

    outcome = await orders.give(entry, OrderKind.LOAD, AdapterKey("m", "a3"), 2)
"""

from ..events import EventKind, EventRing
from ..fetches.fetch_estimates import FetchEstimates
from ..timers import TimerService
from .engine_calls import EngineCalls
from .engine_slots import AdapterKey
from .gateway_metrics import GatewayMetrics
from .ownerships import Ownerships
from .records import EngineOrder, OrderKind, OrderOutcome, TargetEntry
from .unacknowledged_orders import MAX_ORDER_DELAY_S, UnacknowledgedOrders

# Consecutive unanswered orders after which a report is read. If every answer comes too
# late, the engine carried out the first order and refuses all others, however often the
# owner repeats its count.
MAX_UNANSWERED = 3
# A load started within this time may still be in progress. Some loads take seconds
# because many adapters are fetched at once.
LOAD_IN_PROGRESS_S = 10.0


class EngineOrders:
    """Sends the orders to one engine; ``holder`` names this VM to it.

    With ``estimates``, an answer is awaited as long as answers take, and a refusal may
    show that an unanswered order was carried out.
    """

    def __init__(
        self,
        *,
        ownerships: Ownerships,
        calls: EngineCalls,
        timers: TimerService,
        holder: str,
        events: EventRing,
        metrics: GatewayMetrics,
        unacknowledged: UnacknowledgedOrders,
        estimates: FetchEstimates | None = None,
    ):
        self._ownerships = ownerships
        self._calls = calls
        self._timers = timers
        self._holder = holder
        self._events = events
        self._metrics = metrics
        self._unacknowledged = unacknowledged
        self._estimates = estimates
        # The unanswered orders that the engine may still have to carry out, because it
        # isn't known to have passed their count, and when each was sent last.
        self._unanswered_orders: dict[EngineOrder, float] = {}
        self._unanswered_at = 0.0
        self._taken_at = 0.0
        self._effective_at = 0.0
        self._accepted: int | None = None
        self._confirmed_accepted = 0
        self._last_sent_at = 0.0
        self._unanswered = 0
        self._load_started_at: dict[AdapterKey, float] = {}

    @property
    def accepted(self) -> int | None:
        """How many orders the engine has accepted; None until a report shows it."""
        return self._accepted

    @property
    def confirmed_accepted(self) -> int:
        """The minimum number of accepted orders that the engine's answers confirm."""
        return self._confirmed_accepted

    @property
    def last_sent_at(self) -> float:
        """When the last order was sent, in seconds of the ``TimerService``."""
        return self._last_sent_at

    @property
    def settled_from(self) -> float:
        """When the last order was sent that a report has to show.

        An order that the engine refused has changed nothing.
        """
        return self._last_sent_at if self._estimates is None else self._effective_at

    @property
    def taken_at(self) -> float:
        """When the engine took the last accepted order, as far as is known."""
        return self._taken_at

    def set_accepted(self, accepted: int | None) -> None:
        """Set the count that a report shows; None requests a report."""
        self._accepted = accepted
        if accepted is not None:
            self._discard_passed(accepted)
            # An accepted report overrides what the answers seemed to show.
            self._confirmed_accepted = min(self._confirmed_accepted, accepted)

    async def give(
        self, entry: TargetEntry, kind: OrderKind, key: AdapterKey, version: int
    ) -> OrderOutcome:
        """Give one order if the lease still holds, and return its outcome."""
        ownership = self._ownerships.current(entry.target)
        if ownership is None or self._accepted is None:
            self._accepted = None
            return OrderOutcome.REFUSED
        order = EngineOrder(
            kind,
            key.model,
            key.adapter,
            version,
            self._accepted,
            self._holder,
            ownership.fence,
        )
        self._last_sent_at = self._timers.now()
        self._unacknowledged.on_sent()
        self._ownerships.record_order(entry.target)
        outcome = await self._calls.order(
            entry.address,
            entry.target,
            order,
            allowed=lambda: self._ownerships.current(entry.target) == ownership,
            **self._timeout(),
        )
        if self._may_have_changed(outcome):
            self._effective_at = self._last_sent_at
        if outcome is not OrderOutcome.UNKNOWN:
            self._unacknowledged.on_answered()
        took_s = self._timers.now() - self._last_sent_at
        self._events.emit(
            EventKind.ORDER_GIVEN,
            entry.target,
            order=kind.value,
            adapter=key.adapter,
            version=version,
            number=order.order_count,
            fence=order.fence,
            outcome=outcome.value,
            took_ms=round(1000 * took_s),
        )
        self._metrics.orders.labels(kind.value, outcome.value).inc()
        self._metrics.order_time.observe(took_s)
        self._taken_at = self._timers.now()
        taken = self._was_taken(order, outcome)
        if taken:
            # Without this, all orders wait 0.25 s for a report that shows the order.
            outcome = OrderOutcome.STARTED
            self._taken_at = self._unanswered_at
        elif self._estimates and outcome is not OrderOutcome.UNKNOWN:
            self._estimates.orders.observe(took_s)
        self._apply_outcome(order, outcome, confirmed=not taken)
        return outcome

    def _may_have_changed(self, outcome: OrderOutcome) -> bool:
        """Whether a report from before the order may lack a change.

        A refused order changes nothing. But if no unanswered order explains the
        refusal, another one was carried out since the last report was read. A report
        that was read at once would show the same count again.
        """
        if outcome is OrderOutcome.CONFLICT:
            return not self._unanswered
        return outcome is not OrderOutcome.REFUSED

    def _timeout(self) -> dict[str, float]:
        """Return the bound for an answer if it differs from the usual one."""
        if self._estimates is None:
            return {}
        return {"timeout_s": self._estimates.orders.timeout_s(self._unanswered)}

    def _was_taken(self, order: EngineOrder, outcome: OrderOutcome) -> bool:
        """Whether a refusal shows that the engine took this order without an answer.

        The engine refuses a count that it has passed. It can have passed it only by an
        order of this count, and the unanswered ones are all the same. Those from before
        the last report count too, since they may be carried out later. If it refuses
        for another reason, the count that follows from this is wrong as well. The
        engine then refuses the next order, and a report is read. After an unload only a
        report shows whether the adapter has left or is still in use.
        """
        if self._estimates is None or outcome is not OrderOutcome.CONFLICT:
            return False
        if order.kind is not OrderKind.LOAD or not order.adapter:
            return False
        if self._unacknowledged.others_may_arrive:
            return False
        if AdapterKey(order.model, order.adapter) in self._load_started_at:
            return False
        return self._accepted is not None and self._unanswered_orders.keys() == {order}

    def _apply_outcome(
        self, order: EngineOrder, outcome: OrderOutcome, confirmed: bool
    ) -> None:
        if outcome is OrderOutcome.UNKNOWN:
            # The order may be carried out, now or later, or not. The next order names
            # the same count. The engine takes one of the two and refuses the other, so
            # there is no need to wait for a report.
            self._unanswered += 1
            self._unanswered_orders[order] = self._last_sent_at
            self._discard_passed(order.order_count)
            self._unanswered_at = self._last_sent_at
            if self._unanswered >= MAX_UNANSWERED:
                self.set_accepted(None)
                self._unanswered = 0
            return
        self._unanswered = 0
        loads_already = self._loads_already(order)
        if loads_already or not confirms_acceptance(order, outcome):
            # Only a report shows how many orders the engine has accepted.
            self._accepted = None
            return
        if confirmed:
            self._confirmed_accepted = order.order_count + 1
        if self._accepted is not None:
            # None if the count was found to be wrong while the order was in flight.
            self._accepted = order.order_count + 1
            self._discard_passed(self._accepted)

    def _discard_passed(self, accepted: int) -> None:
        """Discard the unanswered orders that the engine won't carry out any more."""
        since = self._timers.now() - MAX_ORDER_DELAY_S
        self._unanswered_orders = {
            order: sent_at
            for order, sent_at in self._unanswered_orders.items()
            if order.order_count >= accepted and sent_at >= since
        }

    def _loads_already(self, order: EngineOrder) -> bool:
        """Whether a load started recently may already bring what is ordered.

        The engine then answers that it is in progress, and may not count the order.
        """
        key = AdapterKey(order.model, order.adapter)
        if order.kind is not OrderKind.LOAD:
            self._load_started_at.pop(key, None)
            return False
        now = self._timers.now()
        for other, started_at in tuple(self._load_started_at.items()):
            if now - started_at >= LOAD_IN_PROGRESS_S:
                del self._load_started_at[other]
        loads_already = key in self._load_started_at
        self._load_started_at[key] = now
        return loads_already


def confirms_acceptance(order: EngineOrder, outcome: OrderOutcome) -> bool:
    """Whether an outcome shows that the engine has counted the order.

    Loading a model and unloading an adapter in use change more than the count, so a
    report is read after them.
    """
    if order.kind is OrderKind.UNLOAD:
        return outcome is OrderOutcome.HOLDS_ALREADY
    return outcome is OrderOutcome.STARTED and bool(order.adapter)
