"""Callers: requests on kept connections, and what came back on which of them.

Developed from ``review/clients.py``. A caller draws requests of all kinds, checks that
nothing comes on an idle connection, and takes up broken streams at other VMs.
"""

import asyncio
import contextlib
import itertools
import random
import socket
import time
from typing import NamedTuple

from tornado.httputil import HTTPHeaders, parse_response_start_line

from .records import FIXED_HEADERS, Received, Sent, Unsolicited, digest

# Connections that were idle for longer may be closed by the VM.
REUSED_S = 12.0
DEADLINE_S = 4.0
# A VM that stands still answers nothing, and its connections stay open.
PATIENCE_S = 1.0
PIECE = 1 << 16
TAKE_UPS = 3


class Request(NamedTuple):
    """A request to be sent.

    ``first`` is the request that began the stream which it takes up after the event
    ``after``.
    """

    request: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    version: str = "1.1"
    first: str = ""
    after: int = 0


class Kept(NamedTuple):
    """An open connection of a caller; ``watch`` ends when something comes on it."""

    name: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: float = 0.0
    last: str = ""
    watch: asyncio.Task | None = None


class Reading:
    """What was read of one response."""

    def __init__(self):
        self.status = 0
        self.headers = HTTPHeaders()
        self.framing = "none"
        self.complete = False
        self.body = bytearray()


async def read_response(reader: asyncio.StreamReader, reading: Reading) -> None:
    """Read one response; what was read stays in ``reading`` when this raises."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, _, rest = head.decode("latin1").partition("\r\n")
    reading.status = parse_response_start_line(start).code
    reading.headers = HTTPHeaders.parse(rest)
    if "chunked" in reading.headers.get("Transfer-Encoding", ""):
        reading.framing = "chunked"
        while size := int((await reader.readline()).strip(), 16):
            await _read_length(reader, reading, size)
            if await reader.readexactly(2) != b"\r\n":
                raise ValueError("a chunk that doesn't end")
        if await reader.readexactly(2) != b"\r\n":
            raise ValueError("chunks that don't end")
    elif "Content-Length" in reading.headers:
        reading.framing = "length"
        await _read_length(reader, reading, int(reading.headers["Content-Length"]))
    else:
        reading.framing = "close"
        while data := await reader.read(PIECE):
            reading.body += data
    reading.complete = True


async def _read_length(reader, reading: Reading, size: int) -> None:
    while size:
        data = await reader.read(min(size, PIECE))
        if not data:
            raise asyncio.IncompleteReadError(b"", size)
        reading.body += data
        size -= len(data)


def parse_events(body: bytes) -> tuple[list[list], int]:
    """Return numbers and digests of the whole events, and the size of what follows."""
    *events, tail = bytes(body).split(b"\n\n")
    found = []
    for event in events:
        number = event.partition(b"\n")[0].removeprefix(b"id:").strip()
        whole = event + b"\n\n"
        found.append([int(number) if number.isdigit() else 0, digest(whole)])
    return found, len(tail)


class Caller:
    """One caller, with a connection of its own to each VM."""

    def __init__(self, number: int, world):
        self._world = world
        self._number = number
        self._rng = random.Random(f"{world.seed} caller {number}")
        self._kept: dict[str, Kept] = {}
        self._ids = itertools.count(1)
        self._connections = itertools.count(1)

    async def run(self, over: asyncio.Event) -> None:
        """Send requests one after the other until the run is over."""
        while not over.is_set():
            await self._call(self._draw())
            await asyncio.sleep(self._rng.uniform(0.0, 0.15))
        for kept in self._kept.values():
            kept.watch.cancel()
            kept.writer.close()

    def _next_id(self) -> str:
        return f"{self._world.seed & 0xFFFF:04x}{self._number:04x}{next(self._ids):08x}"

    def _draw(self) -> Request:
        request = self._next_id()
        prefix = self._rng.choice(self._world.prefixes)
        headers = [("Deadline-Ms", str(int(DEADLINE_S * 1000)))]
        method = "POST"
        body = b"body of " + request.encode() * self._rng.choice((1, 1, 40))
        if self._world.is_streaming(prefix):
            adapter = self._rng.choice(("", "", "/a1", "/a2", "/a3"))
            headers.append(("Model", f"daka510000{adapter}"))
            headers.append(("Token-Usage", "100,40"))
            part = f"5c1e07a2:60,{self._number:x}{next(self._ids):x}:40"
            headers.append(("Prompt-Prefix", part))
        elif self._rng.random() < 0.4:
            method, body = "GET", b""
        old = self._world.old_callers and self._rng.random() < 0.1
        path = f"{prefix}{self._rng.randrange(100)}?of={self._number}"
        version = "1.0" if old else "1.1"
        return Request(request, method, path, headers, body, version)

    async def _call(self, request: Request) -> None:
        """Send a request, and take its stream up while it breaks off."""
        first, after = request.request, 0
        for _ in range(TAKE_UPS + 1):
            received = await self._send(request)
            if received is None or (received.complete and received.succeeded):
                return
            after = received.events[-1][0] if received.events else after
            if not self._world.is_resumable(request.path) or not after:
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
            headers = [each for each in request.headers if each[0] in TAKEN_HEADERS]
            headers += [("Resumes", first), ("Last-Event-Id", str(after))]
            request = request._replace(
                request=self._next_id(), headers=headers, first=first, after=after
            )

    async def _send(self, request: Request) -> Received | None:
        """Send a request to some VM; None if no connection could be opened."""
        vm = self._rng.choice(self._world.vms)
        kept = await self._connect(vm, request.version)
        if kept is None:
            await asyncio.sleep(0.05)
            return None
        reading = Reading()
        self._record_sent(request, vm.name, kept)
        try:
            async with asyncio.timeout(DEADLINE_S + PATIENCE_S):
                kept.writer.write(_request_bytes(request, self._world.host))
                await read_response(kept.reader, reading)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            reading.complete = False
        except asyncio.LimitOverrunError:
            reading.complete = False
        received = self._record_received(request, kept, reading)
        self._end(vm, kept, request, reading)
        return received

    async def _connect(self, vm, version: str) -> Kept | None:
        kept = self._kept.pop(vm.name, None)
        if kept is not None and await self._is_usable(kept, version):
            return kept
        host, _, port = vm.front.rpartition(":")
        name = f"c{self._number}#{next(self._connections)}"
        try:
            async with asyncio.timeout(PATIENCE_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return None
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        return Kept(name, reader, writer)

    async def _is_usable(self, kept: Kept, version: str) -> bool:
        """Whether nothing came on an idle connection; record it if something did."""
        if kept.watch.done():
            self._record_unsolicited(kept)
            kept.writer.close()
            return False
        kept.watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await kept.watch
        old = time.monotonic() - kept.used > REUSED_S
        if old or version == "1.0" or kept.reader.at_eof():
            kept.writer.close()
            return False
        return True

    def _end(self, vm, kept: Kept, request: Request, reading: Reading) -> None:
        closes = reading.headers.get("Connection", "").lower() == "close"
        if not reading.complete or closes or request.version == "1.0":
            kept.writer.close()
            return
        if reading.framing == "close":
            kept.writer.close()
            return
        watch = asyncio.create_task(_watch(kept.reader))
        self._kept[vm.name] = kept._replace(
            used=time.monotonic(), last=request.request, watch=watch
        )

    # Records

    def _record_unsolicited(self, kept: Kept) -> None:
        data = kept.watch.result()
        if data:
            start = repr(data[:60])
            self._world.history.add(
                Unsolicited(time.monotonic(), kept.name, kept.last, start)
            )

    def _record_sent(self, request: Request, vm: str, kept: Kept) -> None:
        given = dict(request.headers)
        self._world.history.add(
            Sent(
                time.monotonic(),
                request.request,
                kept.name,
                vm,
                request.version,
                request.method,
                request.path,
                [given.get(name, "") for name in FIXED_HEADERS],
                digest(request.body),
                request.first,
                request.after,
            )
        )

    def _record_received(self, request, kept: Kept, reading: Reading) -> Received:
        events, tail = [], 0
        if 200 <= reading.status < 300 and self._world.is_streaming(request.path):
            events, tail = parse_events(reading.body)
        received = Received(
            time.monotonic(),
            request.request,
            kept.name,
            reading.status,
            reading.headers.get("Server-Seal", ""),
            reading.headers.get("Request-Id", ""),
            reading.framing,
            reading.complete,
            digest(bytes(reading.body)),
            len(reading.body),
            events,
            tail,
        )
        self._world.history.add(received)
        return received


TAKEN_HEADERS = (*FIXED_HEADERS, "Deadline-Ms")


async def _watch(reader: asyncio.StreamReader) -> bytes:
    """Return what comes on an idle connection, nothing when it closes."""
    try:
        return await reader.read(PIECE)
    except OSError:
        return b""


def _request_bytes(request: Request, host: str) -> bytes:
    lines = [f"{request.method} {request.path} HTTP/{request.version}"]
    lines += [f"Host: {host}", f"Request-Id: {request.request}"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    if request.body:
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + request.body
