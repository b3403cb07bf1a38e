"""Kept connections to targets, with one request at a time on each.

Tornado's ``HTTP1Connection`` implements the protocol. This module adds the reuse of
connections, and checks that an answer is complete and belongs to its request::

    opened = await connections.open("10.128.0.9:8080")
    exchange = opened.ok_value
    exchange.send("POST", path, headers, body, request_id="9c41", sink=sink)
    await asyncio.wait([exchange.ended], timeout=2.0)
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from result import Result
from tornado import httputil
from tornado.http1connection import HTTP1ConnectionParameters

from ..answers.answer_connections import AnswerConnection
from ..answers.answer_readers import AnswerReader, AnswerSink, Head
from ..answers.joined_answers import HEAD_END, MAX_HEAD_BYTES
from ..connections.connection_pools import Connection, ConnectionPool
from ..errors import Failure
from ..timers import TimerService
from .records import Incarnation

# A target accepts a connection in a few milliseconds. A lost packet is sent again after
# 200 ms or more, and one such loss must not fail the connection.
CONNECT_TIMEOUT_S = 0.5
# A connection is dropped this long before the target's announced idle time-out, so that
# no request is sent while the target closes it.
CLOSING_MARGIN_S = 0.7
# How long a connection is kept if its target announces no idle time-out.
DEFAULT_IDLE_S = 4.0
# A connection that a device on the path dropped stays silent. The kernel closes it when
# sent data stays unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_S = 2.5
# Answers to other requests that are read and dropped before a connection is abandoned.
MAX_STRAY_ANSWERS = 4
# A target in trouble may send bytes without end. The smallest VMs have 160 MB, and an
# answer takes twice its size while it is passed on.
MAX_ANSWER_BYTES = 16 << 20
# A body may end inside the head of another answer, whose rest is still on its way. The
# parts of an answer follow each other within some milliseconds.
JOINT_TIMEOUT_S = 0.05
# A body up to this size is copied behind its head, so that both are sent at once.
MAX_COPIED_BYTES = 64 << 10
# Reports and the answers to orders and probes have some kilobytes.
MAX_CONTROL_BYTES = 1 << 20


class WholeAnswer:
    """A sink that keeps the whole answer; ``head`` is None until it is received.

    ``reserve`` reserves memory for so many bytes and returns whether there is room.
    Without room the answer is ``dropped``, and nothing more is kept of it.
    """

    def __init__(self, reserve: Callable[[int], bool] = lambda size: True):
        self._reserve = reserve
        self._body: bytearray | bytes = bytearray()
        self.head: Head | None = None
        self.dropped = False

    @property
    def body(self) -> bytes:
        """The body, once all of it is received."""
        if isinstance(self._body, bytearray):
            self._body = bytes(self._body)
        return self._body

    def handle_head(self, head: Head) -> None:
        """Keep the head."""
        self.head = head

    def handle_data(self, chunk: bytes) -> bool:
        """Keep the next chunk; return False if there is no room for it."""
        if self.dropped or not self._reserve(len(chunk)):
            self.dropped = True
            self._body = bytearray()
            return False
        self._body += chunk
        return True


class ExchangeTrace(NamedTuple):
    """Where one request was sent, and which answer ended it, for the log.

    ``connection`` is the connection's number in this process, and ``use`` counts the
    exchanges on it up to this one. ``writer_ms`` is the start that the target stated on
    it, None if none. ``strays`` are answers to other requests that were dropped before.
    ``named`` tells whether the answer named its request, None if none came. ``fault``
    is why what came was no answer, None if nothing speaks against it.
    """

    connection: int
    use: int
    writer_ms: int | None
    strays: int
    status: int | None
    named: bool | None
    fault: str | None


class Exchange:
    """One request to a target and its answer, on a connection of its own."""

    def __init__(self, pool: ConnectionPool, address: str, connection: Connection):
        self._pool = pool
        self._address = address
        self._connection = connection
        self._stream = connection.stream
        self._strays = 0
        self._reader: AnswerReader | None = None
        self._reading: asyncio.Task | None = None
        self._written: asyncio.Future | None = None

    @property
    def reused(self) -> bool:
        """Whether the connection carried an exchange before."""
        return self._connection.reused

    @property
    def writer(self) -> Incarnation | None:
        """The start of the target behind the connection, None if it isn't proved."""
        return self._connection.peer

    @property
    def whole(self) -> bool:
        """Whether the answer is complete, by its framing or by its close.

        An answer without a length ends with its connection. If that was reset, the end
        of the answer is lost.
        """
        reader = self._reader
        if reader is None or not reader.finished or not self._reading.done():
            return False
        return reader.head.framed or self._stream.error is None

    @property
    def trace(self) -> ExchangeTrace:
        """Where the request was sent, and which answer ended it."""
        reader = self._reader
        head = reader.head if reader is not None else None
        fault = reader.fault if reader is not None else None
        return ExchangeTrace(
            self._connection.number,
            self._connection.uses,
            self.writer and self.writer.started_ms,
            self._strays,
            head and head.status,
            head and bool(head.signs.request_id),
            fault and fault.value,
        )

    @property
    def ended(self) -> asyncio.Task:
        """The task that reads the answer, done at its end."""
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
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Send the request; from here on it may reach the target.

        The answer goes to ``sink`` while it is read. An empty ``request_id`` accepts
        any answer that names no request. One whose body is longer than ``max_bytes``
        breaks off there.
        """
        params = HTTP1ConnectionParameters(no_keep_alive=False, max_body_size=max_bytes)
        connection = AnswerConnection(self._stream, True, params)
        if body or method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(body))
        start = httputil.RequestStartLine(method, path, "HTTP/1.1")
        if len(body) > MAX_COPIED_BYTES:
            connection.write_headers(start, headers)
            self._written = connection.write(body)
        else:
            self._written = connection.write_headers(start, headers, body)
        connection.finish()
        self._reading = asyncio.ensure_future(
            self._read(connection, params, request_id, method, sink)
        )
        self._reading.add_done_callback(self._on_read_end)

    def record_writer(self, writer: Incarnation) -> None:
        """Record which start of its target an answer on this connection stated."""
        self._connection.peer = writer if writer.started_ms is not None else None

    def follow_up(self) -> "Exchange | None":
        """Return an exchange on the same connection, None if it can't be used on."""
        if not self._may_reuse() or self._stream.closed():
            self.close()
            return None
        self._connection.uses += 1
        return Exchange(self._pool, self._address, self._connection)

    def release(self) -> None:
        """Keep the connection for reuse after a complete success, else close it.

        A target may send an answer a second time, ahead of the next one. On a kept
        connection that is then the copy of a success, so a refusal that is read there
        is always that of the request that waits.

        The connection is also closed if the target answered before it had read the
        whole request, because the target still expects the rest of it.
        """
        if not self._may_reuse():
            self.close()
            return
        idle_s = self._reader.head.signs.idle_s
        keep_s = DEFAULT_IDLE_S if idle_s is None else idle_s - CLOSING_MARGIN_S
        self._pool.keep(self._address, self._connection, keep_s)

    def _may_reuse(self) -> bool:
        """Whether the connection can carry another request; see ``release``."""
        head = self._reader.head if self._reader is not None else None
        request_read = self._written is not None and self._written.done()
        if not self.whole or not request_read or not head.framed:
            return False
        if not self._connection.clean:
            return False
        return head.succeeded and not head.signs.closes

    def close(self) -> None:
        """Close the connection, which tells the target that its caller is gone."""
        self._stream.close()

    async def _read(self, connection, params, request_id, method, sink) -> None:
        for _ in range(MAX_STRAY_ANSWERS):
            self._reader = AnswerReader(request_id, method, sink, self.close)
            open_still = await connection.read_response(self._reader)
            if self._reader.open_ended:
                self._reader.check_end(await self._read_on())
            if not self._reader.stray or self._reader.fault or not open_still:
                return
            if method == "HEAD":
                # Tornado knows only of the first answer that it has no body.
                self.close()
                return
            self._strays += 1
            connection = AnswerConnection(self._stream, True, params)
            connection.finish()

    async def _read_on(self) -> bytes:
        """Return what follows the answer, awaited if it can show that two are joined.

        The connection is closed then, because a read can't be taken back.
        """
        unread = self._connection.unread
        if self._stream.closed() or not self._reader.may_end_joined(unread):
            return unread
        rest = self._stream.read_until(HEAD_END, MAX_HEAD_BYTES)
        await asyncio.wait([rest], timeout=JOINT_TIMEOUT_S)
        arrived = rest.done() and rest.exception() is None
        unread = rest.result() if arrived else self._connection.unread
        self.close()
        return unread

    def _on_read_end(self, task: asyncio.Task) -> None:
        if self._reader is not None:
            self._reader.release()
        # Retrieve the error: a broken connection only means an incomplete answer.
        if not task.cancelled():
            task.exception()


class TargetConnections:
    """Exchanges with targets on a pool of kept connections."""

    def __init__(self, *, timers: TimerService):
        self._pool = ConnectionPool(
            timers=timers,
            connect_s=CONNECT_TIMEOUT_S,
            unacknowledged_s=UNACKNOWLEDGED_TIMEOUT_S,
        )

    @property
    def connect_timeout_s(self) -> float:
        """The time within which a new connection must be established."""
        return CONNECT_TIMEOUT_S

    @property
    def opened(self) -> int:
        """How many connections were opened since the process started."""
        return self._pool.opened

    async def open(
        self,
        address: str,
        fresh: bool = False,
        within_s: float | None = None,
        writer: Incarnation | None = None,
    ) -> Result[Exchange, Failure]:
        """Return an exchange on an idle connection, or on a new one.

        Nothing has been sent when this fails, so its error is
        ``TARGET_UNREACHABLE``. ``fresh`` True never reuses; ``within_s`` bounds the
        time for a new one. An idle connection to the start ``writer`` is preferred.
        """
        opened = await self._pool.open(address, fresh, within_s, writer)
        return opened.map(lambda opening: Exchange(self._pool, address, opening))

    def forget(self, address: str) -> None:
        """Close the idle connections to one target."""
        self._pool.forget(address)

    def sweep(self) -> None:
        """Close the connections that were idle for too long."""
        self._pool.sweep()

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
