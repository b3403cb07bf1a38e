"""Reading one engine's reports, and heeding only those of its own incarnation.

A report lags some hundred milliseconds, and may be the first to show that the engine
has started again::

    reports = EngineReports(incarnation, calls=calls, orders=orders, late=late,
                            timers=timers, events=events, on_restarted=replace)
    report = await reports.read_settled(address)
"""

from collections.abc import Callable

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..events import EventKind, EventRing
from ..timers import TimerService
from .engine_calls import EngineCalls
from .engine_orders import EngineOrders
from .records import EngineReport, Incarnation
from .unacknowledged_orders import CHECK_INTERVAL_S, UnacknowledgedOrders

# A report this long after an order shows it: reports lag some hundred milliseconds.
REPORT_LAG_S = 0.25
# A report that doesn't show an order this long after the engine took it is of an engine
# that started again; one that doesn't show it sooner may only be late.
MAX_REPORT_DELAY_S = 1.0


class EngineReports:
    """The reports of one incarnation of an engine.

    ``on_restarted`` takes the start that a report tells of another incarnation, None
    where a count that went back is all that tells.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        *,
        calls: EngineCalls,
        orders: EngineOrders,
        unacknowledged: UnacknowledgedOrders,
        timers: TimerService,
        events: EventRing,
        on_restarted: Callable[[int | None], None],
    ):
        self._incarnation = incarnation
        self._calls = calls
        self._orders = orders
        self._unacknowledged = unacknowledged
        self._timers = timers
        self._events = events
        self._on_restarted = on_restarted
        self._checked_at = 0.0

    async def read(self, address: str) -> Result[EngineReport, Failure]:
        """Read a report, perhaps one of before the last order."""
        target = self._incarnation.target
        read = await self._calls.report(address, target)
        if read.is_err():
            return read
        report = read.ok_value
        told = Incarnation(target, report.started_ms)
        if told.precedes(self._incarnation):
            return _unusable("the report is of a former start")
        if self._incarnation.precedes(told):
            self._on_restarted(report.started_ms)
            return _unusable("the engine started again")
        return Ok(report)

    async def read_settled(self, address: str) -> Result[EngineReport, Failure]:
        """Read a report once it can show the last order."""
        early_s = self._orders.last_sent_at + REPORT_LAG_S - self._timers.now()
        if early_s > 0:
            await self._timers.sleep(early_s)
        read = await self.read(address)
        if read.is_ok():
            read = self._check_count(read.ok_value)
        if read.is_err():
            detail = read.err_value.detail
            self._events.emit(
                EventKind.REPORT_MISSING, self._incarnation.target, detail=detail
            )
        return read

    async def detect_late_order(self, address: str) -> bool:
        """Look now and then whether the engine took an order that wasn't given here.

        A late load of an older version, or a late unload, is refused by nobody: it
        would be found only when a request ran with the wrong version.
        """
        now = self._timers.now()
        if (
            not self._unacknowledged.may_arrive
            or now - self._checked_at < CHECK_INTERVAL_S
        ):
            return False
        self._checked_at = now
        read = await self.read(address)
        accepted = self._orders.accepted
        # Reports lag, so that the engine's count is never above this owner's own.
        if read.is_err() or accepted is None or read.ok_value.order_count <= accepted:
            return False
        self._events.emit(
            EventKind.ORDER_UNEXPECTED,
            self._incarnation.target,
            accepted=read.ok_value.order_count,
            expected=accepted,
        )
        return True

    def _check_count(self, report: EngineReport) -> Result[EngineReport, Failure]:
        """Refuse a report whose count is below what the engine surely accepted.

        Such a report is older than the last order, or of an engine that started again
        and doesn't tell its start. It can't be seen there once the new start has
        accepted as many orders as the former one; what it holds is then taken from
        its report all the same.
        """
        if report.order_count >= self._orders.confirmed_accepted:
            return Ok(report)
        if self._timers.now() - self._orders.last_sent_at < MAX_REPORT_DELAY_S:
            return _unusable("the report is older than the last order")
        if report.started_ms is None:
            self._on_restarted(None)
            return _unusable("the engine counts its orders anew")
        return Ok(report)


def _unusable(detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.WRONG_ANSWER, detail))
