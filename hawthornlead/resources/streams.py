"""Streams of accepted connections, whose unsent bytes are held in the account.

::

    stream = AccountedStream(connection, holding, read_chunk_size=16 << 10)
"""

import asyncio
import re
from socket import socket

from tornado.iostream import (
    IOStream,
    SSLIOStream,
    StreamBufferFullError,
    StreamClosedError,
)

from .accounts import SOCKET_BUFFER_BYTES, Holding

# What a parsed header takes beside its bytes.
HEADER_BYTES = 256


class _Accounted:
    """Adds a holding to a stream of Tornado's.

    ``holding`` has what the client has not taken yet, and what the system keeps of it.
    If there is no room for more, the connection is closed.
    """

    def __init__(self, connection: socket, holding: Holding, **options):
        self._given = self._taken = 0
        self._holding = holding
        super().__init__(connection, **options)

    @property
    def holding(self) -> Holding:
        """The connection's share of the account."""
        return self._holding

    def read_until_regex(
        self, regex: bytes | re.Pattern, max_bytes: int | None = None
    ) -> asyncio.Future:
        """Read the head of a request; without room for it the connection is closed.

        A head in many lines takes far more memory once it is parsed, so that it is held
        before it is.
        """
        reading = super().read_until_regex(regex, max_bytes)
        held = asyncio.get_running_loop().create_future()
        reading.add_done_callback(lambda _: self._hold_head(reading, held))
        return held

    def write(self, data: bytes | memoryview):
        """Write to the client, as far as it takes the bytes now."""
        written = super().write(data)
        self._given += memoryview(data).nbytes
        self._account_unsent()
        return written

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the system."""
        taken = super().write_to_fd(data)
        self._taken += taken
        if self._given > self._taken:
            self._account_unsent()
        return taken

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the system; what nobody reads on is held."""
        size = super().read_from_fd(buf)
        if size and not self.reading() and not self._holding.hold_unread():
            self.close(StreamBufferFullError("no room for unread bytes"))
        return size

    def close(self, exc_info=False) -> None:
        """Close the connection and release what was held for it."""
        super().close(exc_info)
        self._holding.close()

    def _hold_head(self, reading: asyncio.Future, held: asyncio.Future) -> None:
        if held.done() or reading.cancelled():
            held.cancel()
            return
        error = reading.exception()
        if error is None:
            head = reading.result()
            lines = head.count(b"\n")
            if self._holding.hold_head(len(head) + lines * HEADER_BYTES):
                held.set_result(head)
                return
            error = StreamClosedError(StreamBufferFullError("no room for a head"))
            self.close(error)
        held.set_exception(error)
        # Nobody may wait for it any more.
        held.exception()

    def _account_unsent(self) -> None:
        if self.closed():
            return
        unsent = max(0, self._given - self._taken)
        # The system takes nothing more while its own buffer is full.
        held = unsent + SOCKET_BUFFER_BYTES if unsent else 0
        if not self._holding.set_buffered(held):
            self.close(StreamBufferFullError("no room for unsent bytes"))


class AccountedStream(_Accounted, IOStream):
    """A plain connection of a client."""


class AccountedTlsStream(_Accounted, SSLIOStream):
    """A connection of a client over TLS, whose socket is wrapped already."""
