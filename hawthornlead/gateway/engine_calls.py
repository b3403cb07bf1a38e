"""Calls to an engine's own interface: its report, and orders to it."""

import asyncio
import json
from collections.abc import Callable

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..platform.fields import decode
from ..platform.headers import control_headers
from ..platform.targets import (
    ORDER_PATH,
    REPORT_PATH,
    order_body,
    read_order_outcome,
    read_report,
)
from .records import (
    EngineOrder,
    EngineReport,
    Incarnation,
    OrderKind,
    OrderOutcome,
)
from .target_connections import (
    MAX_CONTROL_BYTES,
    Exchange,
    TargetConnections,
    WholeAnswer,
)

# An engine answers an order in a few milliseconds. An order unanswered after this time
# may still be carried out, and all orders to its engine wait that long. Repeating it is
# harmless, since an engine takes only one order of a count.
ORDER_TIMEOUT_S = 0.1
REPORT_TIMEOUT_S = 0.6


class EngineCalls:
    """Calls to engines, on the kept connections of requests.

    What an engine sends there a second time is a success (see ``Exchange.release``). If
    it answers a request, it names it and is dropped. If it answers a report or an
    order, it may be taken for the answer to the next call: a report then shows a lower
    count of orders, and a load counts as accepted that wasn't, until the engine refuses
    the next order for its count. An unload that is wrongly taken for done would be
    followed by one load too many, so it is sent on a new connection.
    """

    def __init__(self, *, connections: TargetConnections):
        self._connections = connections

    async def report(self, address: str, target: str) -> Result[EngineReport, Failure]:
        """Return an engine's report, which lags some hundred milliseconds."""
        opened = await self._connections.open(address)
        if opened.is_err():
            return opened
        read = await self.report_on(opened.ok_value, address, target, REPORT_TIMEOUT_S)
        if read.is_ok():
            opened.ok_value.release()
        return read

    async def report_on(
        self, exchange: Exchange, address: str, target: str, timeout_s: float
    ) -> Result[EngineReport, Failure]:
        """Return an engine's report, which proves who is behind the connection.

        The caller releases the exchange; after an error it is closed.
        """
        answer = await self._exchange(
            exchange, "GET", address, target, REPORT_PATH, b"", timeout_s
        )
        if answer.is_err():
            return answer
        status, body = answer.ok_value
        if status != 200:
            exchange.close()
            return Err(Failure(ErrorKind.TARGET_REFUSED, f"report answered {status}"))
        try:
            report = read_report(decode(body))
        except ValueError as error:
            exchange.close()
            return Err(Failure(ErrorKind.WRONG_ANSWER, f"report: {error}"))
        exchange.record_writer(Incarnation(target, report.started_ms))
        return Ok(report)

    async def order(
        self,
        address: str,
        target: str,
        order: EngineOrder,
        allowed: Callable[[], bool],
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> OrderOutcome:
        """Give an order; ``UNKNOWN`` if it may have been taken without an answer.

        ``allowed`` is called once there is a connection, right before sending, because
        the right to give the order may have been lost while connecting.
        """
        unloads = order.kind is OrderKind.UNLOAD
        opened = await self._connections.open(address, fresh=unloads)
        if opened.is_err():
            return OrderOutcome.REFUSED
        if not allowed():
            opened.ok_value.close()
            return OrderOutcome.REFUSED
        body = json.dumps(order_body(order)).encode()
        answer = await self._exchange(
            opened.ok_value, "POST", address, target, ORDER_PATH, body, timeout_s
        )
        if answer.is_err():
            return OrderOutcome.UNKNOWN
        opened.ok_value.release()
        return read_order_outcome(answer.ok_value[0])

    async def _exchange(
        self,
        exchange: Exchange,
        method: str,
        address: str,
        target: str,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> Result[tuple[int, bytes], Failure]:
        """Return the status and body of the answer; the connection stays open."""
        answer = WholeAnswer()
        headers = control_headers(target)
        headers["Host"] = address
        exchange.send(
            method,
            path,
            headers,
            body,
            request_id="",
            sink=answer,
            max_bytes=MAX_CONTROL_BYTES,
        )
        await asyncio.wait([exchange.ended], timeout=timeout_s)
        if answer.head is None or not exchange.whole:
            exchange.close()
            self._connections.forget(address)
            return Err(Failure(ErrorKind.TARGET_LOST, f"{address}: no whole answer"))
        return Ok((answer.head.status, answer.body))
