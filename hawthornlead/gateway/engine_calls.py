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
from .records import EngineOrder, EngineReport, OrderOutcome
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
    """Calls to engines over persistent connections, separate from those of requests."""

    def __init__(self, *, connections: TargetConnections):
        self._connections = connections

    async def report(self, address: str, target: str) -> Result[EngineReport, Failure]:
        """Return an engine's report, which lags some hundred milliseconds."""
        opened = await self._connections.open(address)
        if opened.is_err():
            return opened
        answer = await self._exchange(
            opened.ok_value, "GET", address, target, REPORT_PATH, b"", REPORT_TIMEOUT_S
        )
        if answer.is_err():
            return answer
        status, body = answer.ok_value
        if status != 200:
            return Err(Failure(ErrorKind.TARGET_REFUSED, f"report answered {status}"))
        try:
            return Ok(read_report(decode(body)))
        except ValueError as error:
            return Err(Failure(ErrorKind.WRONG_ANSWER, f"report: {error}"))

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
        opened = await self._connections.open(address)
        if opened.is_err():
            return OrderOutcome.REFUSED
        if not allowed():
            opened.ok_value.close()
            return OrderOutcome.REFUSED
        body = json.dumps(order_body(order)).encode()
        answer = await self._exchange(
            opened.ok_value, "POST", address, target, ORDER_PATH, body, timeout_s
        )
        if answer.is_ok():
            return read_order_outcome(answer.ok_value[0])
        return OrderOutcome.UNKNOWN

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
        exchange.release()
        return Ok((answer.head.status, answer.body))
