"""An HTTP server whose connections are in the account of their process.

Each server of a process gets the same account, so that it bounds them together::

    server = AccountedServer(delegate, account=account, idle_connection_timeout=30.0)
    server.add_sockets(bind_sockets(8080))
"""

import asyncio
import errno
import socket
from collections.abc import Callable, Iterable

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.netutil import ssl_wrap_socket

from .accounts import SOCKET_BUFFER_BYTES, Account, Holding
from .streams import AccountedStream, AccountedTlsStream

# Connections that are accepted in a row before other tasks run.
MAX_ACCEPTED = 64
# Bodies are read in parts of this size.
PART_BYTES = 4 << 10
# How long a process without descriptors accepts no connections.
PAUSE_S = 0.2
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class AccountedServer(HTTPServer):
    """An HTTP server that opens a holding for each connection that it accepts."""

    def initialize(self, delegate, *, account: Account, **options) -> None:
        """Set the account; ``options`` are those of Tornado's server."""
        super().initialize(delegate, chunk_size=SOCKET_BUFFER_BYTES, **options)
        self.conn_params.chunk_size = PART_BYTES
        self._account = account
        self._listeners: list[_Listener] = []

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        for listening in sockets:
            bound_buffers(listening)
            self._listeners.append(_Listener(listening, self._on_accepted))

    def stop(self) -> None:
        """Accept no further connections."""
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()

    def _on_accepted(self, connection: socket.socket, address) -> None:
        holding = self._account.open(connection.close)
        if holding is None:
            connection.close()
            return
        try:
            stream = self._make_stream(connection, holding)
        except OSError:
            # The client has closed the connection already.
            connection.close()
            holding.close()
            holding.end()
            return
        holding.give_way = stream.close
        self.handle_stream(stream, address)

    def on_close(self, server_conn) -> None:
        """Note that a connection was read to its end."""
        super().on_close(server_conn)
        # Tornado names the stream of a connection nowhere else.
        server_conn.stream.holding.end()

    def _make_stream(self, connection: socket.socket, holding: Holding):
        options = {
            "max_buffer_size": self.max_buffer_size,
            "read_chunk_size": self.read_chunk_size,
        }
        if self.ssl_options is None:
            return AccountedStream(connection, holding, **options)
        wrapped = ssl_wrap_socket(
            connection,
            self.ssl_options,
            server_side=True,
            do_handshake_on_connect=False,
        )
        return AccountedTlsStream(wrapped, holding, **options)


def bound_buffers(listening: socket.socket) -> None:
    """Bound what the system keeps for each connection that a socket accepts."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listening.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)


class _Listener:
    """Accepts connections on one socket, and pauses while there are no descriptors."""

    def __init__(
        self,
        listening: socket.socket,
        on_accepted: Callable[[socket.socket, tuple], None],
    ):
        self._socket = listening
        self._on_accepted = on_accepted
        self._loop = IOLoop.current()
        self._closed = False
        self._resuming: asyncio.TimerHandle | None = None
        self._listen()

    def close(self) -> None:
        """Close the listening socket."""
        if self._closed:
            return
        self._closed = True
        if self._resuming is None:
            self._loop.remove_handler(self._socket)
        else:
            self._resuming.cancel()
        self._socket.close()

    def _listen(self) -> None:
        self._resuming = None
        self._loop.add_handler(self._socket, self._accept, IOLoop.READ)

    def _accept(self, listening: socket.socket, events: int) -> None:
        for _ in range(MAX_ACCEPTED):
            if self._closed:
                return
            try:
                connection, address = self._socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in NO_DESCRIPTORS:
                    raise
                self._pause(error)
                return
            self._on_accepted(connection, address)

    def _pause(self, error: OSError) -> None:
        """Accept nothing for a while; else the loop would spin on the waiting ones."""
        logger.warning("no connection is accepted for {} s: {}", PAUSE_S, error)
        self._loop.remove_handler(self._socket)
        running = asyncio.get_running_loop()
        self._resuming = running.call_later(PAUSE_S, self._listen)
