"""Orders without an answer that an engine may still carry out, after it started again.

An order that gets no answer may be carried out up to twelve seconds later. Within one
incarnation of the engine it does no harm, whoever gave it: each order names how many
were accepted before, what an engine holds changes by orders only, and so the order is
refused, or finds the slots as they were when it was decided. Fences exclude none of
this, since engines here don't check them, and neither does the engine's id, which it
keeps.

After a restart the count begins anew. Then an order to the former start can name a
count that is right once more, while the slots hold something else: a load beyond the
slots breaks the engine down, one of an older version puts it in the place of a newer
one, an unload takes an adapter that is in use. For as long as one may come

- a slot is kept free beyond what the owner uses, so that one late load always fits;
- the engine's report is read every half second: a count above the owner's own shows
  that another order was taken, and the owner then reads anew what the engine holds.

What remains: two late orders that name counts following one another, both within that
half second and both loads, find one free slot; and requests may run for as long with an
older version that came late. Each takes two lost answers within one tenth of a second
of an engine's last twelve, and a restart in between.
"""

from ..timers import TimerService

# The longest time after which engines carry out an order that got no answer.
MAX_ORDER_DELAY_S = 12.0
# Between looks at the count while a late order may come.
CHECK_INTERVAL_S = 0.5
SPARE_SLOTS = 1
# Between looks whether an order was answered; engines answer within milliseconds.
POLL_INTERVAL_S = 0.005
# A packet that is lost is sent again within a second.
MAX_IN_FLIGHT_S = 1.0


class UnacknowledgedOrders:
    """The orders of any VM that may still reach one incarnation of an engine.

    ``unanswered_until`` is until when orders of before may come, 0 if all of them were
    answered; ``since`` is when this VM first heard of the incarnation. Orders can only
    be of a former start while this one is younger than they are::

        late = UnacknowledgedOrders(timers=timers, since=now, unanswered_until=before)
        late.on_sent()
        late.on_answered()
    """

    def __init__(
        self, *, timers: TimerService, since: float = 0.0, unanswered_until: float = 0.0
    ):
        self._timers = timers
        self._unanswered_until = unanswered_until
        self._guard_until = min(unanswered_until, since + MAX_ORDER_DELAY_S)
        self._sent_at: float | None = None

    @property
    def may_arrive(self) -> bool:
        """Whether an order that was given to a former start may still come."""
        return self._timers.now() < self._guard_until

    @property
    def spare_slots(self) -> int:
        """How many slots to keep free beyond those that are used."""
        return SPARE_SLOTS if self.may_arrive else 0

    @property
    def unanswered_until(self) -> float:
        """Until when an order without an answer may be carried out."""
        if self._sent_at is None:
            return self._unanswered_until
        return max(self._unanswered_until, self._sent_at + MAX_ORDER_DELAY_S)

    @property
    def in_flight_s(self) -> float:
        """For how long the order sent last may still be on the network, unanswered."""
        if self._sent_at is None:
            return 0.0
        return max(0.0, self._sent_at + MAX_IN_FLIGHT_S - self._timers.now())

    def on_sent(self) -> None:
        """Note that an order is being sent; it counts as unanswered until it is."""
        self._unanswered_until = self.unanswered_until
        self._sent_at = self._timers.now()

    def on_answered(self) -> None:
        """Note that the engine answered the order that was sent last."""
        self._sent_at = None

    async def wait_answered(self, within_s: float) -> None:
        """Wait for the answer to an order that is being given."""
        until = self._timers.now() + within_s
        while self.in_flight_s > 0 and self._timers.now() < until:
            await self._timers.sleep(POLL_INTERVAL_S)
