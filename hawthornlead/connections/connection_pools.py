"""Pools of connections to other processes, kept while idle for later exchanges.

The newest idle connection is reused first, so that the others expire and are closed::

    pool = ConnectionPool(timers=timers, connect_s=0.5, unacknowledged_s=2.5)
    opened = await pool.open("10.128.0.9:8080")
    ...
    pool.keep("10.128.0.9:8080", opened.ok_value, 4.0)
"""

import errno
import socket
from collections import deque
from collections.abc import Hashable
from typing import NamedTuple

from result import Err, Ok, Result
from tornado import iostream
from tornado.tcpclient import TCPClient
from tornado.util import TimeoutError as GaveUp

from ..errors import ErrorKind, Failure
from ..resolvers import NumberResolver
from ..timers import TimerService

MAX_PEEKED_BYTES = 1 << 14
# A time-out that fires this much too late was delayed by this process itself.
MAX_LAG_S = 0.1


class Connection:
    """An open connection, with its ``number`` in this process.

    ``uses`` counts the exchanges that it was opened or taken for, this one included.
    ``peer`` is what the process at its other end has stated of itself there, None if
    nothing. It holds as long as the connection, which ends with that process.
    """

    def __init__(self, stream: iostream.IOStream, number: int):
        self._stream = stream
        self._number = number
        self.uses = 1
        self.peer: Hashable | None = None

    @property
    def stream(self) -> iostream.IOStream:
        """The stream of its bytes."""
        return self._stream

    @property
    def number(self) -> int:
        """Its number in this process, from 1."""
        return self._number

    @property
    def reused(self) -> bool:
        """Whether it carried an exchange before."""
        return self.uses > 1

    @property
    def unread(self) -> bytes:
        """The bytes that were received and not read: no request has asked for them.

        Of those that the system holds, as many as ``MAX_PEEKED_BYTES``.
        """
        # Tornado has no public look at its buffer. Bytes that came since the event loop
        # last polled are still the system's.
        return bytes(self._stream._read_buffer) + self._peek()

    def _peek(self) -> bytes:
        if self._stream.socket is None:
            return b""
        try:
            return self._stream.socket.recv(
                MAX_PEEKED_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except OSError:
            # Nothing to read, or a broken connection, which the stream will notice.
            return b""

    @property
    def clean(self) -> bool:
        """Whether nothing is unread but empty lines, which may precede an answer."""
        return not self.unread.strip(b"\r\n")


class _Kept(NamedTuple):
    until: float
    connection: Connection


class ConnectionPool:
    """Open connections by address.

    One on which bytes came that nobody has asked for isn't used again: they would be
    read ahead of the next answer, or as a part of it.
    A new connection must be established within ``connect_s`` seconds. The system closes
    a connection when bytes stay unacknowledged for ``unacknowledged_s``. Without that,
    a connection whose state a device on the path has lost would stay silent for ever.
    At most ``most_idle`` idle connections are kept per address.
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        connect_s: float,
        unacknowledged_s: float,
        most_idle: int = 1024,
    ):
        self._timers = timers
        self._connect_s = connect_s
        self._unacknowledged_ms = int(unacknowledged_s * 1000)
        self._most_idle = most_idle
        self._client = TCPClient(resolver=NumberResolver())
        self._kept: dict[str, deque[_Kept]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """The number of connections opened since the start."""
        return self._opened

    async def open(
        self,
        address: str,
        fresh: bool = False,
        within_s: float | None = None,
        peer: Hashable | None = None,
    ) -> Result[Connection, Failure]:
        """Return an idle connection or a new one.

        Nothing has been sent when this fails, so the error is ``TARGET_UNREACHABLE``,
        with ``refused`` if nobody listens. With ``fresh`` no connection is reused: a
        silent old connection proves nothing about the process at its end, but a new one
        does. ``within_s`` replaces ``connect_s`` by a shorter time. An idle connection
        to ``peer`` is preferred.
        """
        kept = None if fresh else self._take(address, peer)
        if kept is not None:
            return Ok(kept)
        host, _, port = address.rpartition(":")
        try:
            # With its own timeout the client closes the socket. If it were cancelled
            # from outside, each attempt at an address that doesn't answer would leave
            # a socket open for the minutes until the system gives up.
            stream = await self._connect(
                host.strip("[]"), int(port), within_s or self._connect_s
            )
        except (OSError, iostream.StreamClosedError, GaveUp) as error:
            detail = f"no connection to {address}: {error or 'timeout'}"
            refused = _is_refused(error)
            return Err(Failure(ErrorKind.TARGET_UNREACHABLE, detail, refused=refused))
        self._opened += 1
        if stream.closed():
            # The peer reset it before this task went on; it has no socket any more.
            detail = f"no connection to {address}: reset at once"
            return Err(Failure(ErrorKind.TARGET_UNREACHABLE, detail))
        stream.set_nodelay(True)
        stream.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._unacknowledged_ms
        )
        return Ok(Connection(stream, self._opened))

    async def _connect(self, host: str, port: int, within_s: float):
        """Connect, once more if this process stood still meanwhile.

        A time-out that fires late shows nothing about the address, and ends connections
        that were established during the standstill.
        """
        started_at = self._timers.now()
        try:
            return await self._client.connect(host, port, timeout=within_s)
        except GaveUp:
            if self._timers.now() - started_at <= within_s + MAX_LAG_S:
                raise
        return await self._client.connect(host, port, timeout=within_s)

    def keep(self, address: str, connection: Connection, keep_s: float) -> None:
        """Keep an idle connection for ``keep_s`` seconds."""
        stream = connection.stream
        kept = self._kept.setdefault(address, deque())
        full = len(kept) >= self._most_idle
        if stream.closed() or keep_s <= 0 or full or not connection.clean:
            stream.close()
            return
        # With a close callback the stream is read while idle, so that its closing is
        # noticed before the next request is written to it.
        stream.set_close_callback(lambda: None)
        kept.append(_Kept(self._timers.now() + keep_s, connection))

    def forget(self, address: str) -> None:
        """Close the idle connections to one address."""
        for kept in self._kept.pop(address, ()):
            kept.connection.stream.close()

    def sweep(self) -> None:
        """Close connections that were idle for too long, or that the peer closed."""
        now = self._timers.now()
        for address, kept in tuple(self._kept.items()):
            while kept and (kept[0].until <= now or kept[0].connection.stream.closed()):
                kept.popleft().connection.stream.close()
            if not kept:
                del self._kept[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._kept):
            self.forget(address)

    def _take(self, address: str, peer: Hashable | None) -> Connection | None:
        kept = self._kept.get(address)
        while kept:
            until, connection = _pop_newest(kept, peer)
            stream = connection.stream
            if stream.closed():
                continue
            if until <= self._timers.now() or not connection.clean:
                stream.close()
                continue
            stream.set_close_callback(None)
            connection.uses += 1
            return connection
        return None


def _pop_newest(kept: deque[_Kept], peer: Hashable | None) -> _Kept:
    """Remove and return the newest connection to a peer, else the newest of all."""
    if peer is not None:
        for place in range(len(kept) - 1, -1, -1):
            found = kept[place]
            if found.connection.peer == peer:
                del kept[place]
                return found
    return kept.pop()


def _is_refused(error: Exception) -> bool:
    cause = getattr(error, "real_error", None) or error
    return isinstance(cause, ConnectionRefusedError) or (
        getattr(cause, "errno", None) == errno.ECONNREFUSED
    )
