"""Requests of callers as they come in, and the ways to answer them.

Tornado reads and writes HTTP. A request is handed on once it was read whole::

    server = HTTPServer(CallerDispatcher(handle))
    async def handle(call): call.answer(200, "OK", headers, body)
"""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger
from tornado import httputil

from ..tasks import TaskSet

Handler = Callable[["CallerCall"], Awaitable[None]]


class CallerCall:
    """One request of a caller, and its answer."""

    def __init__(self, connection, start: httputil.RequestStartLine, headers):
        self._connection = connection
        self._headers = headers
        self._start = start
        self._parts: list[bytes] = []
        self._answered = False
        self._ended = False
        self.gone: asyncio.Future = asyncio.get_running_loop().create_future()
        self.arrived_at = 0.0
        # Whether the connection is closed with the answer, so that its caller asks for
        # other addresses before its next request.
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
        """Whether an answer was begun."""
        return self._answered

    @property
    def left(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.gone.done()

    def take(self, chunk: bytes) -> None:
        """Take a piece of the request's body."""
        self._parts.append(chunk)

    def mark_gone(self) -> None:
        """Note that the caller has closed its connection."""
        if not self.gone.done():
            self.gone.set_result(None)

    def answer(self, status: int, reason: str, headers, body: bytes) -> None:
        """Give a whole answer."""
        headers["Content-Length"] = str(len(body))
        self.begin(status, reason, headers, body)
        self.finish()

    def begin(self, status: int, reason: str, headers, chunk: bytes) -> None:
        """Begin an answer; without a length in ``headers`` it is sent in chunks."""
        self._answered = True
        if self.closing:
            headers["Connection"] = "close"
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(start, headers, chunk or None)

    def write(self, chunk: bytes) -> None:
        """Send a further piece."""
        self._connection.write(chunk)

    def finish(self) -> None:
        """End the answer as a whole one."""
        if self._ended:
            return
        self._ended = True
        stream = self._connection.stream
        self._connection.finish()
        if self.closing and stream is not None and not stream.closed():
            stream.write(b"").add_done_callback(lambda _: stream.close())

    def abort(self) -> None:
        """Break the answer off: its framing shows that it isn't whole."""
        if self._ended:
            return
        self._ended = True
        stream = self._connection.stream
        if stream is not None:
            stream.close()


class CallerDispatcher(httputil.HTTPServerConnectionDelegate):
    """Hands whole requests to a handler, a task for each."""

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
        return _Reading(self, request_conn)

    def on_close(self, server_conn) -> None:
        """Need nothing: each request notices the closing by itself."""

    def arrived(self) -> float:
        """Count a request whose head has come, and return the moment."""
        self._open += 1
        return self._now()

    def ended(self) -> None:
        """Count a request that is over."""
        self._open -= 1

    def handle(self, call: CallerCall) -> None:
        """Answer a request that was read whole."""
        self._tasks.spawn(self._run(call))

    async def _run(self, call: CallerCall) -> None:
        try:
            await self._handler(call)
        except Exception:
            # A bug in serving one request must not leave its caller without an end.
            logger.exception("a request failed")
            call.abort()
        finally:
            self.ended()


class _Reading(httputil.HTTPMessageDelegate):
    def __init__(self, entry: CallerDispatcher, connection):
        self._entry = entry
        self._connection = connection
        self._call: CallerCall | None = None

    def headers_received(self, start_line, headers):
        self._call = CallerCall(self._connection, start_line, headers)
        self._call.arrived_at = self._entry.arrived()
        self._connection.set_close_callback(self._call.mark_gone)

    def data_received(self, chunk):
        self._call.take(chunk)

    def finish(self):
        self._entry.handle(self._call)

    def on_connection_close(self):
        if self._call is not None:
            self._call.mark_gone()
            self._entry.ended()
