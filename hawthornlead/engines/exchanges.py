"""HTTP exchanges with targets: one request and its streamed response.

``TargetConnections`` keeps idle connections to targets for reuse. Tornado's
``HTTP1Connection`` implements the protocol. This module adds the connection pool and
the proof of whether a request can have reached its target::

    exchange = (await connections.open(address, Naming.EVENTS)).ok_value
    await exchange.send("POST", "/v1/completions", headers, body)
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import NamedTuple

from result import Err, Ok, Result
from tornado import httputil
from tornado.http1connection import HTTP1ConnectionParameters

from ..answers.answer_connections import AnswerConnection
from ..answers.heads import Fault, find_fault
from ..answers.joined_answers import BodyScanner
from ..connections.connection_pools import Connection, ConnectionPool
from ..errors import ErrorKind, Failure
from ..timers import TimerService
from .grant_ledgers import MAX_SEND_S

# A target may close an idle connection at any time. If a request is sent just then,
# nobody knows whether it ran. A short idle time keeps that rare.
IDLE_TIMEOUT_S = 5.0
MAX_IDLE_PER_TARGET = 64
CONNECT_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 1 << 30
# By this header a plain service states which attempt it responds to.
ATTEMPT_HEADER = "Hawthornlead-Attempt"
# Beginnings of the content types whose bodies may hold whole responses.
QUOTING_TYPES = ("message/", "multipart/", "application/http", "application/warc")

DataCallback = Callable[[bytes], Awaitable[None] | None]


class Naming(Enum):
    """Where responses name the attempt that they are for.

    Those of engines do in the first event of the body, those of plain services in the
    header ``ATTEMPT_HEADER``, if at all.
    """

    EVENTS = "events"
    HEADER = "header"


class ResponseHead(NamedTuple):
    """The status and headers of a response."""

    status: int
    headers: httputil.HTTPHeaders


class _Response(httputil.HTTPMessageDelegate):
    """Receives the parts of one response from Tornado, and decides if they are one.

    ``fault`` states why what was received is no response, None if nothing speaks
    against it. From then on nothing is passed on, and ``give_up`` was called.
    """

    def __init__(
        self,
        on_data: DataCallback,
        on_activity: Callable[[], None],
        give_up: Callable[[], None],
        ended_cleanly: Callable[[], bool],
    ):
        self._on_data = on_data
        self._on_activity = on_activity
        self._give_up = give_up
        self._ended_cleanly = ended_cleanly
        self._scanner = BodyScanner()
        self._framed = False
        self.fault: Fault | None = None
        self.head: asyncio.Future[ResponseHead | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.finished = False

    @property
    def detail(self) -> str:
        """Why what was received is no response, empty if nothing speaks against it."""
        return "" if self.fault is None else self.fault.detail

    def headers_received(self, start_line, headers):
        fault = find_fault(start_line, headers)
        if fault is not None:
            self._reject(fault)
            return
        if 100 <= start_line.code < 200:
            return
        self._on_activity()
        self._framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if headers.get("Content-Type", "").lower().startswith(QUOTING_TYPES):
            self._scanner = BodyScanner(ATTEMPT_HEADER)
        if not self.head.done():
            self.head.set_result(ResponseHead(start_line.code, headers))

    def data_received(self, chunk):
        if self.fault is not None:
            return None
        if self._scanner.feed(chunk):
            self._reject(Fault.JOINED_BODY)
            return None
        self._on_activity()
        return self._on_data(chunk)

    def finish(self):
        # A response with neither a length nor chunks ends with its connection. If that
        # was reset or closed at this end, the end of the response is lost.
        whole = self._framed or self._ended_cleanly()
        self.finished = self.fault is None and whole

    def check_end(self, unread: bytes) -> None:
        """Check, once the response was read, that it ends before ``unread`` begins.

        A body that was cut is filled up to its length by the first bytes of the next
        response.
        """
        if self.fault is None and self._scanner.ends_inside(unread):
            self._reject(Fault.JOINED_BODY)
            self.finished = False

    def on_connection_close(self):
        self.on_reading_ended()

    def on_reading_ended(self, reading: asyncio.Task | None = None) -> None:
        """Record that no more of the response will come."""
        if reading is not None and not reading.cancelled():
            # Retrieve the error: a broken connection means an incomplete response.
            reading.exception()
        if not self.head.done():
            self.head.set_result(None)

    def release(self) -> None:
        """Let go of the exchange and of who gets the data, once nothing more is read.

        The exchange holds its response, so that both would stay until a collection.
        """
        self._on_data = self._on_activity = self._give_up = self._ended_cleanly = None

    def _reject(self, fault: Fault) -> None:
        self.fault = fault
        self._give_up()


class Exchange:
    """One request to a target and its response, on a connection of its own."""

    def __init__(
        self,
        pool: ConnectionPool,
        timers: TimerService,
        address: str,
        connection: Connection,
    ):
        self._pool = pool
        self._timers = timers
        self._address = address
        self._connection = connection
        self._stream = connection.stream
        self._response: _Response | None = None
        self._reading: asyncio.Task | None = None
        self._last_active_at = timers.now()
        self._closed = False

    @property
    def reused(self) -> bool:
        """Whether the connection carried an exchange before."""
        return self._connection.reused

    @property
    def head(self) -> ResponseHead | None:
        """The status and headers of the response, None until they arrive."""
        if self._response is None or not self._response.head.done():
            return None
        return self._response.head.result()

    async def send(
        self,
        method: str,
        path: str,
        headers: httputil.HTTPHeaders,
        body: bytes,
        on_data: DataCallback,
        head_timeout_s: float,
    ) -> Result[ResponseHead, Failure]:
        """Send the request and wait up to ``head_timeout_s`` seconds for the headers.

        From here on the request may have reached the target: every error is
        ``TARGET_LOST``. The body goes to ``on_data`` as it comes; a future that it
        returns holds back the reading. If bytes came before, nothing is sent: what was
        not asked for is no response.
        """
        if self._connection.unread:
            self.close()
            return Err(_lost(self._address, "bytes came before the request"))
        params = HTTP1ConnectionParameters(
            no_keep_alive=False, max_body_size=MAX_ANSWER_BYTES
        )
        connection = AnswerConnection(self._stream, True, params)
        self._response = _Response(
            on_data, self._record_activity, self._stream.close, self._ended_cleanly
        )
        headers["Host"] = self._address
        headers["Content-Length"] = str(len(body))
        self._record_activity()
        start = httputil.RequestStartLine(method, path, "HTTP/1.1")
        connection.write_headers(start, headers, body)
        connection.finish()
        self._reading = asyncio.ensure_future(self._read(connection))
        # If the connection ends before the headers, the reading ends and the response
        # is not notified. Without this callback a dead target would look slow until
        # the deadline, and the request that killed it would never become a suspect.
        self._reading.add_done_callback(self._on_read_end)
        try:
            head = await asyncio.wait_for(
                asyncio.shield(self._response.head), head_timeout_s
            )
        except TimeoutError:
            return self._abort_silent(f"no answer within {head_timeout_s:.1f} s")
        if head is None:
            detail = self._response.detail or "closed before its answer"
            return Err(_lost(self._address, detail))
        return Ok(head)

    async def read_to_end(self, silence_timeout_s: float) -> Result[None, Failure]:
        """Wait for the response to end, or for ``silence_timeout_s`` without bytes."""
        while not self._reading.done():
            remaining_s = self._last_active_at + silence_timeout_s - self._timers.now()
            if remaining_s <= 0:
                return self._abort_silent(f"silent for {silence_timeout_s:.1f} s")
            await asyncio.wait([self._reading], timeout=remaining_s)
        if not self._response.finished:
            self.close()
            detail = self._response.detail or "closed within its answer"
            return Err(_lost(self._address, detail))
        return Ok(None)

    def release(self, named: bool) -> None:
        """Keep the connection for reuse after a complete success, else close it.

        ``named`` tells whether the response named the attempt that was sent. A target
        may send a response a second time, ahead of the next one. The copy of one that
        names its attempt can be told from the next response; the copy of one that names
        none can't, and after a refusal it would refuse the next request, which runs.
        """
        whole = self._response is not None and self._response.finished
        if not named or not whole or not self._reading.done():
            self.close()
        elif 200 <= self.head.status < 300:
            self._pool.keep(self._address, self._connection, IDLE_TIMEOUT_S)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection; the target sees that its caller has gone."""
        self._closed = True
        self._stream.close()

    async def _read(self, connection: AnswerConnection) -> None:
        await connection.read_response(self._response)
        self._response.check_end(self._connection.unread)

    def _on_read_end(self, task: asyncio.Task) -> None:
        self._response.on_reading_ended(task)
        self._response.release()

    def _ended_cleanly(self) -> bool:
        return not self._closed and self._stream.error is None

    def _abort_silent(self, detail: str) -> Err[Failure]:
        # What made this connection silent, such as lost state in something on the path,
        # may affect all open connections. If they were reused, each could cost a
        # request the whole silence timeout and one retry of the budget.
        self.close()
        self._pool.forget(self._address)
        return Err(_lost(self._address, detail))

    def _record_activity(self) -> None:
        self._last_active_at = self._timers.now()


class TargetConnections:
    """Opens exchanges with targets; keeps idle connections for a short time.

    All responses on a connection name their attempts in the same place, so that the
    copy of an earlier one is recognized where the name of the next one is looked for.
    """

    def __init__(self, *, timers: TimerService):
        self._timers = timers
        # GRA-5: a request sent at the end of its grant must not arrive, after many
        # retransmissions, when a report has shown the adapter idle and it is evicted.
        self._pools = {
            naming: ConnectionPool(
                timers=timers,
                connect_s=CONNECT_TIMEOUT_S,
                unacknowledged_s=MAX_SEND_S,
                most_idle=MAX_IDLE_PER_TARGET,
            )
            for naming in Naming
        }

    @property
    def opened(self) -> int:
        """The number of connections opened since the start."""
        return sum(pool.opened for pool in self._pools.values())

    async def open(
        self, address: str, naming: Naming, fresh: bool = False
    ) -> Result[Exchange, Failure]:
        """Return an exchange on an idle connection or on a new one.

        Nothing has been sent when this fails, so its error is
        ``TARGET_UNREACHABLE``. With ``fresh`` a new one is always opened: only a new
        connection, not one gone silent, proves something about its target.
        """
        pool = self._pools[naming]
        opened = await pool.open(address, fresh)
        return opened.map(
            lambda opening: Exchange(pool, self._timers, address, opening)
        )

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()


def _lost(address: str, detail: str) -> Failure:
    return Failure(ErrorKind.TARGET_LOST, f"{address}: {detail}")
