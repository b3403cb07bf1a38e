"""Incoming requests of callers, and their answers.

Tornado reads and writes HTTP. A request goes to the handler once it is read whole. What
is kept of it is held in the account of the process, where its connection has a share.
One that is too large, or for which there is no room, is refused while it is read::

    server = AccountedServer(CallerDispatcher(handle, now), account=account)
    async def handle(call): call.answer(200, "OK", headers, body)
"""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

from loguru import logger
from tornado import httputil

from ..answers.framing import has_body, is_framed
from ..errors import ErrorKind, Failure
from ..platform.headers import read_request_id, refusal_headers
from ..resources.accounts import Holding
from ..resources.reading_turns import ReadingTurns
from ..tasks import TaskSet

Handler = Callable[["CallerCall"], Awaitable[None]]

# Values of SO_LINGER. By the first one the system resets the connection whenever it is
# closed, also if this process is killed.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
# How long a refused client may send on until its connection is closed. Closing it with
# unread bytes resets it, which may lose the refusal.
LINGER_S = 1.0
ROOM_RETRY_S = 1.0
# A body up to this size is copied behind its head, so that both are sent at once.
MAX_COPIED_BYTES = 64 << 10
UNLIMITED = 1 << 60
REFUSAL_REASONS = {413: "Content Too Large", 503: "Service Unavailable"}


class CallerCall:
    """One request of a caller, and its answer."""

    def __init__(self, connection, start: httputil.RequestStartLine, headers):
        self._connection = connection
        self._headers = headers
        self._start = start
        self._body = b""
        # A stand-in's connections have no share of an account.
        self._holding: Holding | None = getattr(connection.stream, "holding", None)
        self._held = self._holding.take_head() if self._holding is not None else 0
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
        return self._body

    @property
    def answered(self) -> bool:
        """Whether an answer was started."""
        return self._answered

    @property
    def left(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.gone.done()

    @property
    def holding(self) -> Holding | None:
        """The share that its connection has of the account, None without an account."""
        return self._holding

    def complete(self, body: bytes) -> None:
        """Complete the request with its body."""
        self._body = body

    def reserve(self, size: int) -> bool:
        """Reserve memory until the end of the call; return False without room."""
        if self._holding is None:
            return True
        if not self._holding.reserve(size):
            return False
        self._held += size
        return True

    def release(self, size: int | None = None) -> None:
        """Release some of what was reserved, by default all of it."""
        size = self._held if size is None else size
        if self._holding is not None:
            self._held -= size
            self._holding.release(size)

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

    def refuse(self, failure: Failure) -> None:
        """Refuse a request that isn't read whole; its connection closes after it."""
        self.closing = True
        status = failure.answer.status
        request_id = read_request_id(self._headers)
        headers = refusal_headers(request_id, failure.retry_after_s)
        detail = failure.detail.encode() if has_body(status, self.method) else b""
        headers["Content-Length"] = str(len(detail))
        # A client that is refused isn't asked for its body.
        self._headers.pop("Expect", None)
        reason = REFUSAL_REASONS.get(status, "Refused")
        self.begin(status, reason, headers, detail)

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
        if len(chunk) <= MAX_COPIED_BYTES:
            self._connection.write_headers(start, headers, chunk or None)
            return
        self._connection.write_headers(start, headers)
        self._connection.write(chunk)

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
    """Dispatches complete requests to a handler, a task for each.

    ``max_body_bytes`` returns the largest body that a request may have now.
    """

    def __init__(
        self,
        handler: Handler,
        now: Callable[[], float],
        max_body_bytes: Callable[[], int] = lambda: UNLIMITED,
    ):
        self._handler = handler
        self._now = now
        self._max_body_bytes = max_body_bytes
        self._tasks = TaskSet()
        self._turns = ReadingTurns()
        self._open = 0

    @property
    def turns(self) -> ReadingTurns:
        """The turns in which bodies in chunks are read."""
        return self._turns

    @property
    def open(self) -> int:
        """How many requests are being read or answered."""
        return self._open

    def start_request(self, server_conn, request_conn):
        """Read one request."""
        request_conn.set_max_body_size(UNLIMITED)
        return _CallReader(self, request_conn, self._max_body_bytes())

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
        if call.holding is not None:
            call.holding.begin_work()
        self._tasks.spawn(self._run(call))

    async def _run(self, call: CallerCall) -> None:
        try:
            await self._handler(call)
        except Exception:
            # After an unexpected error the caller's connection must still be closed.
            logger.exception("unexpected error in the handler of a request")
            call.abort()
        finally:
            call.release()
            if call.holding is not None:
                call.holding.end_work()
            self.on_end()


class _CallReader(httputil.HTTPMessageDelegate):
    """Reads one request, whose bytes are held in the account as they come.

    A request that is refused is read on for a moment, and nothing of it is kept.
    """

    def __init__(self, dispatcher: CallerDispatcher, connection, max_body_bytes: int):
        self._dispatcher = dispatcher
        self._connection = connection
        self._max_body_bytes = max_body_bytes
        self._call: CallerCall | None = None
        self._body = bytearray()
        self._refused = False
        self._chunked = self._begun = False

    def headers_received(self, start_line, headers):
        self._call = call = CallerCall(self._connection, start_line, headers)
        call.arrived_at = self._dispatcher.on_arrival()
        self._connection.set_close_callback(call.mark_gone)
        holding = call.holding
        if holding is not None:
            holding.begin_request()
            holding.give_way = self._give_way
        self._chunked = "Transfer-Encoding" in headers
        announced = headers.get("Content-Length", "")
        if announced.isascii() and announced.isdigit():
            # A longer number is one of a body that is too large.
            length = int(announced[:20])
            if length > self._max_body_bytes:
                self._refuse(self._too_large())
                return

    def data_received(self, chunk):
        if not self._refused:
            self._take(chunk)
        if not self._chunked:
            return None
        if not self._begun:
            # Most bodies are short, and read without waiting.
            self._begun = True
            return None
        return self._dispatcher.turns.take()

    def finish(self):
        call = self._call
        if self._refused:
            call.finish()
            self._end()
            return
        if call.holding is not None:
            call.holding.give_way = self._connection.stream.close
        call.complete(bytes(self._body))
        self._body.clear()
        self._dispatcher.handle(call)

    def on_connection_close(self):
        if self._call is None:
            return
        self._call.mark_gone()
        self._end()

    def _end(self) -> None:
        """End a request that isn't handled."""
        self._drop_body()
        self._call.release()
        self._dispatcher.on_end()

    def _take(self, chunk: bytes) -> None:
        if len(self._body) + len(chunk) > self._max_body_bytes:
            self._refuse(self._too_large())
        elif self._reserve(len(chunk)):
            self._body += chunk

    def _reserve(self, size: int) -> bool:
        if self._call.reserve(size):
            return True
        detail = "this VM has no memory left for the request"
        self._refuse(Failure(ErrorKind.OVERLOADED, detail, ROOM_RETRY_S))
        return False

    def _too_large(self) -> Failure:
        detail = f"the body is over {self._max_body_bytes} bytes"
        return Failure(ErrorKind.TOO_LARGE, detail)

    def _refuse(self, failure: Failure) -> None:
        self._refused = True
        self._drop_body()
        self._call.refuse(failure)
        if self._call.holding is not None:
            self._call.holding.close_after(LINGER_S)

    def _give_way(self) -> None:
        """Refuse the request and close its connection at once."""
        if not self._refused:
            detail = "others need the memory that the request takes"
            self._refuse(Failure(ErrorKind.OVERLOADED, detail, ROOM_RETRY_S))
        self._connection.close()

    def _drop_body(self) -> None:
        """Release the body; Tornado keeps the head while the request is read."""
        self._call.release(len(self._body))
        self._body = bytearray()
