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
        self.status = int(lines[0].split()[1])
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
    host, _, port = address.rpartition(":")
    try:
        opening = asyncio.open_connection(host, int(port))
        reader, writer = await asyncio.wait_for(opening, CONNECT_S)
    except (OSError, TimeoutError) as error:
        raise Unconnected(str(error)) from None
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    try:
        writer.write("\r\n".join(lines).encode() + body)
        got = Exchange(reader, silent_s)
        await got.read_head()
        yield got
    finally:
        writer.close()
