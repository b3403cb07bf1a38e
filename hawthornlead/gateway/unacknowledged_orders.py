"""Unanswered orders that an engine may still carry out after it has restarted.

An order without an answer may be carried out up to twelve seconds later. Within one
incarnation of the engine this is harmless, whoever gave the order. Each order names how
many orders were accepted before, and only orders change what an engine holds. So a late
order is refused, or it finds the slots as they were when it was decided. Fences prevent
none of this, because engines here don't check them. The engine's id doesn't either,
because the engine keeps it.

After a restart the count starts again. An order to the former incarnation can then name
a count that is valid again, while the slots hold something else. A load beyond the
slots crashes the engine, a load of an older version replaces a newer one, and an unload
removes an adapter in use. While such an order may arrive

- one slot is kept free beyond those that the owner uses, so that one late load fits;
- the engine's report is read every half second. A count above the owner's own shows
  that the engine took another order, and the owner then reads again what it holds.

Two cases remain. Two late loads that name consecutive counts and arrive within the same
half second find only one free slot. And requests may run for that long with an older
version that was loaded late. Each case takes two lost answers within one tenth of a
second of an engine's last twelve seconds, and a restart in between.
"""

from ..timers import TimerService

# The longest time after which engines carry out an unanswered order.
MAX_ORDER_DELAY_S = 12.0
# Between checks of the count while a late order may arrive.
CHECK_INTERVAL_S = 0.5
SPARE_SLOTS = 1
# Between checks whether an order was answered. Engines answer within milliseconds.
POLL_INTERVAL_S = 0.005
# A lost packet is retransmitted within a second.
MAX_IN_FLIGHT_S = 1.0


class UnacknowledgedOrders:
    """Orders of any VM that may still reach one incarnation of an engine.

    ``unanswered_until`` is the time until which earlier orders may arrive, 0 if all of
    them were answered. ``since`` is when this VM first saw the incarnation. An order
    can only belong to a former incarnation while this one is younger than the order::

        orders = UnacknowledgedOrders(timers=timers, since=now, unanswered_until=before)
        orders.on_sent()
        orders.on_answered()
    """

    def __init__(
        self, *, timers: TimerService, since: float = 0.0, unanswered_until: float = 0.0
    ):
        self._timers = timers
        self._unanswered_until = unanswered_until
        self._others_until = unanswered_until
        self._guard_until = min(unanswered_until, since + MAX_ORDER_DELAY_S)
        self._sent_at: float | None = None

    @property
    def may_arrive(self) -> bool:
        """Whether an order to a former incarnation may still arrive."""
        return self._timers.now() < self._guard_until

    @property
    def others_may_arrive(self) -> bool:
        """Whether an order that wasn't given here may still arrive."""
        return self._timers.now() < self._others_until

    @property
    def spare_slots(self) -> int:
        """The number of slots to keep free beyond those in use."""
        return SPARE_SLOTS if self.may_arrive else 0

    @property
    def unanswered_until(self) -> float:
        """The time until which an unanswered order may be carried out."""
        if self._sent_at is None:
            return self._unanswered_until
        return max(self._unanswered_until, self._sent_at + MAX_ORDER_DELAY_S)

    @property
    def in_flight_s(self) -> float:
        """How long the last order, if unanswered, may still be in the network."""
        if self._sent_at is None:
            return 0.0
        return max(0.0, self._sent_at + MAX_IN_FLIGHT_S - self._timers.now())

    def on_sent(self) -> None:
        """Record that an order is being sent, unanswered until ``on_answered``."""
        self._unanswered_until = self.unanswered_until
        self._sent_at = self._timers.now()

    def on_answered(self) -> None:
        """Record that the engine answered the last order."""
        self._sent_at = None

    async def wait_answered(self, within_s: float) -> None:
        """Wait for the answer to an order in flight, for at most ``within_s``."""
        until = self._timers.now() + within_s
        while self.in_flight_s > 0 and self._timers.now() < until:
            await self._timers.sleep(POLL_INTERVAL_S)
