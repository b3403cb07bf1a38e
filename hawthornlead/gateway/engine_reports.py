"""Reports of one engine, checked against its incarnation and order count.

A report lags some hundred milliseconds behind, and may be the first to show that the
engine has restarted::

    reports = EngineReports(incarnation, calls=calls, orders=orders,
                            unacknowledged=unacknowledged, timers=timers,
                            events=events, on_restarted=replace)
    report = await reports.read_settled(address)
"""

from collections.abc import Callable

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..events import EventKind, EventRing
from ..fetches.report_lags import ReportLag
from ..timers import TimerService
from .engine_calls import EngineCalls
from .engine_orders import EngineOrders
from .records import EngineReport, Incarnation
from .unacknowledged_orders import CHECK_INTERVAL_S, UnacknowledgedOrders

# A report this long after an order shows it. Reports lag some hundred milliseconds.
REPORT_LAG_S = 0.25
# If a report this long after an accepted order doesn't show the order, the engine has
# restarted. An earlier report may only be late.
MAX_REPORT_DELAY_S = 1.0


class EngineReports:
    """Reads the reports of one incarnation of an engine.

    ``on_restarted`` is called with the start time of another incarnation that a report
    shows, or with None if only a lower order count reveals the restart. ``lag`` is the
    learned lag, None if it isn't learned.
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
        lag: ReportLag | None = None,
    ):
        self._incarnation = incarnation
        self._calls = calls
        self._orders = orders
        self._unacknowledged = unacknowledged
        self._timers = timers
        self._events = events
        self._on_restarted = on_restarted
        self._lag = lag
        self._checked_at = 0.0

    async def read(self, address: str) -> Result[EngineReport, Failure]:
        """Read a report, which may be from before the last order."""
        target = self._incarnation.target
        read = await self._calls.report(address, target)
        if read.is_err():
            return read
        report = read.ok_value
        reported = Incarnation(target, report.started_ms)
        if reported.precedes(self._incarnation):
            return _unusable("the report is from a former incarnation")
        if self._incarnation.precedes(reported):
            self._on_restarted(report.started_ms)
            return _unusable("the engine has restarted")
        return Ok(report)

    async def read_settled(self, address: str) -> Result[EngineReport, Failure]:
        """Read a report once it can show the last order."""
        # A learned lag only lengthens the wait. After a shorter one, a report that is
        # late once would hide an unanswered order.
        lag_s = max(REPORT_LAG_S, self._lag.bound_s if self._lag else 0.0)
        early_s = self._orders.settled_from + lag_s - self._timers.now()
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
        """Check periodically whether the engine took an order not given here.

        Nothing else detects a late load of an older version or a late unload, until a
        request runs with the wrong version.
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
        # Reports lag, so without such an order the count is at most this owner's own.
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
        """Refuse a report whose count is below the confirmed number of orders.

        Such a report is older than the last order, or the engine has restarted and
        doesn't report its start time. Such a restart is not detected once the new
        incarnation has accepted as many orders as the former one. What the engine holds
        is then still taken from its report.
        """
        if report.order_count >= self._orders.confirmed_accepted:
            return Ok(report)
        if self._timers.now() - self._orders.last_sent_at < MAX_REPORT_DELAY_S:
            return _unusable("the report is older than the last order")
        if report.started_ms is None:
            self._on_restarted(None)
            return _unusable("the engine's order count started again")
        return Ok(report)


def _unusable(detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.WRONG_ANSWER, detail))
