"""A small HTTP client for the long run, which can leave in the middle of an answer.

It takes one connection per request and hands each piece of the body on as it comes.
Unlike a library's, its caller sees how far an answer came before it broke::

    async with exchange("127.0.0.1:7001", "POST", "/v1/completions", {}, b"{}") as got:
        async for piece in got.pieces():
            ...
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

CONNECT_S = 1.0


class Unconnected(Exception):
    """No connection was made, so nothing was sent."""


class Broken(Exception):
    """The connection ended, or said nothing for too long, within an answer."""


class Malformed(Exception):
    """An answer came that is none by the protocol."""


class Exchange:
    """One request's answer, read piece by piece."""

    def __init__(self, reader: asyncio.StreamReader, silent_s: float):
        self._reader = reader
        self._silent_s = silent_s
        self.status = 0
        self.headers: dict[str, str] = {}

    async def read_head(self) -> None:
        """Read status and headers."""
        lines = (await self._read(self._reader.readuntil(b"\r\n\r\n"))).split(b"\r\n")
        start = lines[0].split()
        if len(start) < 2 or start[0] != b"HTTP/1.1" or not start[1].isdigit():
            raise Malformed(f"no status line: {lines[0][:80]!r}")
        self.status = int(start[1])
        for line in lines[1:]:
            name, _, value = line.decode("latin-1").partition(":")
            self.headers[name.strip().lower()] = value.strip()

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the body, up to its proper end."""
        if self.headers.get("transfer-encoding") != "chunked":
            length = int(self.headers.get("content-length", 0))
            yield await self._read(self._reader.readexactly(length))
            return
        while True:
            line = await self._read(self._reader.readuntil(b"\r\n"))
            length = int(line, 16)
            piece = await self._read(self._reader.readexactly(length + 2))
            if not length:
                return
            yield piece[:-2]

    async def body(self) -> bytes:
        """Return the whole body."""
        return b"".join([piece async for piece in self.pieces()])

    async def _read(self, reading) -> bytes:
        try:
            return await asyncio.wait_for(reading, self._silent_s)
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            raise Broken(str(error) or type(error).__name__) from None


class Line:
    """One connection, for one request after the other."""

    def __init__(self, reader, writer, address: str):
        self._reader = reader
        self._writer = writer
        self.address = address

    @classmethod
    async def open(cls, address: str) -> "Line":
        """Connect; raises ``Unconnected``."""
        host, _, port = address.rpartition(":")
        try:
            opening = asyncio.open_connection(host, int(port))
            reader, writer = await asyncio.wait_for(opening, CONNECT_S)
        except (OSError, TimeoutError) as error:
            raise Unconnected(str(error)) from None
        return cls(reader, writer, address)

    @property
    def usable(self) -> bool:
        """Whether the other end hasn't closed and nothing came unasked."""
        return not self._reader.at_eof() and not self._writer.is_closing()

    def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes, silent_s
    ) -> Exchange:
        """Send a request; its answer is read from what is returned."""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self._writer.write("\r\n".join(lines).encode() + body)
        return Exchange(self._reader, silent_s)

    def close(self) -> None:
        """Leave."""
        self._writer.close()


@asynccontextmanager
async def exchange(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    silent_s: float = 15.0,
) -> AsyncIterator[Exchange]:
    """Send a request; the connection closes when the context is left."""
    line = await Line.open(address)
    common = {"Host": address, "Connection": "close"}
    try:
        got = line.send(method, path, common | headers, body, silent_s)
        await got.read_head()
        yield got
    finally:
        line.close()
