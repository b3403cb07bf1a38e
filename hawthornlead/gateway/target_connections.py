"""Connections to targets: one request at a time on each, kept for the next one.

Tornado's ``HTTP1Connection`` speaks the protocol. Added here are the keeping of
connections, and the proof that an answer is whole and belongs to its request::

    opened = await connections.open("10.128.0.9:8080")
    exchange = opened.ok_value
    exchange.send("POST", path, headers, body, request_id="9c41", sink=sink)
    await asyncio.wait([exchange.ended], timeout=2.0)
"""

import asyncio
from typing import NamedTuple, Protocol

from result import Result
from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters

from ..connection_pools import ConnectionPool
from ..errors import Failure
from ..platform.headers import AnswerMetadata, read_answer_metadata
from ..timers import TimerService

# A target answers a new connection in a few milliseconds; a packet that is lost is
# sent again after 200 ms or more, which one such loss must survive.
CONNECT_S = 0.5
# Keeping stops this long before the target closes by its own word, so that no request
# crosses with the closing and is lost in doubt.
CLOSING_MARGIN_S = 0.7
# For how long a connection is kept whose target says nothing of closing.
IDLE_S = 4.0
# A connection that something on the way forgot stays silent; the system gives it up
# when bytes stay unacknowledged for this long.
UNACKNOWLEDGED_S = 2.5
# Answers to other requests that are read and dropped before a connection is given up.
MAX_STRAY_ANSWERS = 4
MAX_ANSWER_BYTES = 1 << 26


class Head(NamedTuple):
    """The beginning of an answer; ``framed`` if its end shows without a closing."""

    status: int
    reason: str
    headers: httputil.HTTPHeaders
    signs: AnswerMetadata
    framed: bool


class AnswerSink(Protocol):
    """Takes an answer as it comes."""

    def handle_head(self, head: Head) -> None:
        """Take the beginning."""

    def handle_data(self, chunk: bytes) -> None:
        """Take the next piece of the body."""


class WholeAnswer:
    """A sink that keeps the whole body; ``head`` is None until it came."""

    def __init__(self):
        self._parts: list[bytes] = []
        self.head: Head | None = None

    @property
    def body(self) -> bytes:
        """What came of the body so far."""
        return b"".join(self._parts)

    def handle_head(self, head: Head) -> None:
        """Keep the beginning."""
        self.head = head

    def handle_data(self, chunk: bytes) -> None:
        """Keep the next piece."""
        self._parts.append(chunk)


class _AnswerReader(httputil.HTTPMessageDelegate):
    """Takes one answer; ``stray`` if it belongs to another request."""

    def __init__(self, request_id: str, sink: AnswerSink):
        self._request_id = request_id
        self._sink = sink
        self.stray = False
        self.head: Head | None = None
        self.finished = False

    def headers_received(self, start_line, headers):
        if 100 <= start_line.code < 200:
            return
        signs = read_answer_metadata(start_line.code, headers)
        if signs.request_id != self._request_id and (
            signs.request_id or start_line.code < 300
        ):
            # A target may send an answer twice, or late, where the next answer is
            # due. Without this check its caller would get another caller's answer.
            self.stray = bool(self._request_id)
        if self.stray:
            return
        framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        code = start_line.code
        self.head = Head(code, start_line.reason, headers, signs, framed)
        self._sink.handle_head(self.head)

    def data_received(self, chunk):
        if not self.stray:
            self._sink.handle_data(chunk)

    def finish(self):
        self.finished = not self.stray


class Exchange:
    """One request to a target and its answer, on a connection of its own."""

    def __init__(self, pool: ConnectionPool, address: str, stream, reused: bool):
        self._pool = pool
        self._address = address
        self._stream = stream
        self._reused = reused
        self._reader: _AnswerReader | None = None
        self._reading: asyncio.Task | None = None
        self._written: asyncio.Future | None = None

    @property
    def reused(self) -> bool:
        """Whether the connection carried an exchange before."""
        return self._reused

    @property
    def whole(self) -> bool:
        """Whether the answer came to its end, as its framing or its closing tells.

        An answer without a length ends with its connection; one that was reset has
        lost its rest on the way.
        """
        reader = self._reader
        if reader is None or not reader.finished or not self._reading.done():
            return False
        return reader.head.framed or self._stream.error is None

    @property
    def ended(self) -> asyncio.Task:
        """The task that reads the answer; done when nothing more will come."""
        return self._reading

    def send(
        self,
        method: str,
        path: str,
        headers: httputil.HTTPHeaders,
        body: bytes,
        *,
        request_id: str,
        sink: AnswerSink,
    ) -> None:
        """Send the request; from here on it may reach the target.

        The answer goes to ``sink`` as it comes. An empty ``request_id``
        takes whatever answer comes first.
        """
        params = HTTP1ConnectionParameters(
            no_keep_alive=False, max_body_size=MAX_ANSWER_BYTES
        )
        connection = HTTP1Connection(self._stream, True, params)
        if body or method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(body))
        start = httputil.RequestStartLine(method, path, "HTTP/1.1")
        self._written = connection.write_headers(start, headers, body)
        connection.finish()
        self._reading = asyncio.ensure_future(
            self._read(connection, params, request_id, sink)
        )
        self._reading.add_done_callback(self._note_end)

    def release(self) -> None:
        """Give the connection back for reuse if its answer came whole, else close it.

        A target may answer before it has read the whole request. What it reads next
        on that connection must be the rest of it, so that such a one is closed.
        """
        reader = self._reader
        taken = self._written is not None and self._written.done()
        if not self.whole or not taken or not reader.head.framed:
            self.close()
            return
        if reader.head.signs.closes:
            self.close()
            return
        idle_s = reader.head.signs.idle_s
        keep_s = IDLE_S if idle_s is None else idle_s - CLOSING_MARGIN_S
        self._pool.keep(self._address, self._stream, keep_s)

    def close(self) -> None:
        """Close the connection; the target sees its caller gone."""
        self._stream.close()

    async def _read(self, connection, params, request_id, sink) -> None:
        for _ in range(MAX_STRAY_ANSWERS):
            self._reader = _AnswerReader(request_id, sink)
            open_still = await connection.read_response(self._reader)
            if not self._reader.stray or not open_still:
                return
            connection = HTTP1Connection(self._stream, True, params)
            connection.finish()

    def _note_end(self, task: asyncio.Task) -> None:
        # What a broken connection raises says no more than that the answer isn't whole.
        if not task.cancelled():
            task.exception()


class TargetConnections:
    """Exchanges with targets on connections that are kept for as long as theirs are."""

    def __init__(self, *, timers: TimerService):
        self._pool = ConnectionPool(
            timers=timers, connect_s=CONNECT_S, unacknowledged_s=UNACKNOWLEDGED_S
        )

    @property
    def opened(self) -> int:
        """How many connections were opened since the start."""
        return self._pool.opened

    async def open(
        self, address: str, fresh: bool = False, within_s: float | None = None
    ) -> Result[Exchange, Failure]:
        """Return an exchange on an idle connection, or on a new one.

        Nothing has been sent when this fails, so its error is
        ``TARGET_UNREACHABLE``. ``fresh`` True never reuses; ``within_s`` bounds the
        time for a new one.
        """
        opened = await self._pool.open(address, fresh, within_s)
        return opened.map(lambda stood: Exchange(self._pool, address, *stood))

    def forget(self, address: str) -> None:
        """Close the idle connections to one target."""
        self._pool.forget(address)

    def sweep(self) -> None:
        """Close the connections that were idle for too long."""
        self._pool.sweep()

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
