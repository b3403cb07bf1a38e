"""Incoming requests of callers, and their answers.

Tornado reads and writes HTTP. A request goes to the handler once it is read whole::

    server = HTTPServer(CallerDispatcher(handle, now))
    async def handle(call): call.answer(200, "OK", headers, body)
"""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

from loguru import logger
from tornado import httputil

from ..answers.framing import has_body, is_framed
from ..tasks import TaskSet

Handler = Callable[["CallerCall"], Awaitable[None]]

# Values of SO_LINGER. By the first one the system resets the connection whenever it is
# closed, also if this process is killed.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)


class CallerCall:
    """One request of a caller, and its answer."""

    def __init__(self, connection, start: httputil.RequestStartLine, headers):
        self._connection = connection
        self._headers = headers
        self._start = start
        self._parts: list[bytes] = []
        self._answered = False
        self._ended = False
        # Whether the end of the answer is known without a close.
        self._framed = True
        self.gone: asyncio.Future = asyncio.get_running_loop().create_future()
        self.arrived_at = 0.0
        # Whether the connection closes with the answer, so that the caller resolves the
        # addresses again before its next request.
        self.closing = False

    @property
    def method(self) -> str:
        """The request's method."""
        return self._start.method

    @property
    def path(self) -> str:
        """The request's path, with its query."""
        return self._start.path

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """The request's headers."""
        return self._headers

    @property
    def body(self) -> bytes:
        """The request's body."""
        return b"".join(self._parts)

    @property
    def answered(self) -> bool:
        """Whether an answer was started."""
        return self._answered

    @property
    def left(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.gone.done()

    def append_body(self, chunk: bytes) -> None:
        """Append a chunk to the request's body."""
        self._parts.append(chunk)

    def mark_gone(self) -> None:
        """Mark the caller's connection as closed."""
        if not self.gone.done():
            self.gone.set_result(None)

    def answer(self, status: int, reason: str, headers, body: bytes) -> None:
        """Send a complete answer; of one without a body only the head.

        Such a head has no length: the one that an answer to HEAD may state is that of
        the body in an answer to GET, which isn't known here.
        """
        if has_body(status, self.method):
            headers["Content-Length"] = str(len(body))
            self.begin(status, reason, headers, body)
        else:
            self.begin(status, reason, headers, b"")
        self.finish()

    def begin(self, status: int, reason: str, headers, chunk: bytes) -> None:
        """Start an answer; without a length in ``headers`` it is sent in chunks.

        HTTP/1.0 has no chunks: there the answer ends with the connection. Until it is
        complete every close is a reset, because an orderly one would end it too.
        """
        self._answered = True
        chunked = self._start.version == "HTTP/1.1"
        self._framed = chunked or is_framed(status, headers, self.method)
        if not self._framed:
            self.closing = True
            # Tornado would offer to keep the connection if the caller asks for it.
            self._headers["Connection"] = "close"
            self._set_linger(RESET_ON_CLOSE)
        if self.closing:
            headers["Connection"] = "close"
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(start, headers, chunk or None)

    def write(self, chunk: bytes) -> None:
        """Send a further chunk."""
        self._connection.write(chunk)

    def finish(self) -> None:
        """Complete the answer."""
        if self._ended:
            return
        self._ended = True
        stream = self._connection.stream
        if not self._framed and not stream.closed():
            # What the system has not taken yet would be lost with this process.
            stream.write(b"").add_done_callback(self._end_unframed)
            return
        self._connection.finish()
        if self.closing and stream is not None and not stream.closed():
            stream.write(b"").add_done_callback(lambda _: stream.close())

    def abort(self) -> None:
        """Abort the answer: its framing, or a reset, shows that it is incomplete."""
        if self._ended:
            return
        self._ended = True
        stream = self._connection.stream
        if stream is not None:
            stream.close()

    def _end_unframed(self, written: asyncio.Future) -> None:
        """Close the connection in order after all of the answer was sent."""
        if not written.cancelled() and written.exception() is None:
            self._set_linger(CLOSE_IN_ORDER)
        self._connection.finish()
        self._connection.stream.close()

    def _set_linger(self, value: bytes) -> None:
        stream = self._connection.stream
        if not stream.closed():
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


class CallerDispatcher(httputil.HTTPServerConnectionDelegate):
    """Dispatches complete requests to a handler, a task for each."""

    def __init__(self, handler: Handler, now: Callable[[], float]):
        self._handler = handler
        self._now = now
        self._tasks = TaskSet()
        self._open = 0

    @property
    def open(self) -> int:
        """How many requests are being read or answered."""
        return self._open

    def start_request(self, server_conn, request_conn):
        """Read one request."""
        return _CallReader(self, request_conn)

    def on_close(self, server_conn) -> None:
        """Do nothing: each request detects the close by itself."""

    def on_arrival(self) -> float:
        """Count a request whose head was received, and return the time."""
        self._open += 1
        return self._now()

    def on_end(self) -> None:
        """Uncount a request that is finished."""
        self._open -= 1

    def handle(self, call: CallerCall) -> None:
        """Handle a complete request."""
        self._tasks.spawn(self._run(call))

    async def _run(self, call: CallerCall) -> None:
        try:
            await self._handler(call)
        except Exception:
            # After an unexpected error the caller's connection must still be closed.
            logger.exception("unexpected error in the handler of a request")
            call.abort()
        finally:
            self.on_end()


class _CallReader(httputil.HTTPMessageDelegate):
    def __init__(self, dispatcher: CallerDispatcher, connection):
        self._dispatcher = dispatcher
        self._connection = connection
        self._call: CallerCall | None = None

    def headers_received(self, start_line, headers):
        self._call = CallerCall(self._connection, start_line, headers)
        self._call.arrived_at = self._dispatcher.on_arrival()
        self._connection.set_close_callback(self._call.mark_gone)

    def data_received(self, chunk):
        self._call.append_body(chunk)

    def finish(self):
        self._dispatcher.handle(self._call)

    def on_connection_close(self):
        if self._call is not None:
            self._call.mark_gone()
            self._dispatcher.on_end()
