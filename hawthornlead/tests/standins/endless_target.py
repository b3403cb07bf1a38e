"""A stand-in of a target in trouble, whose answers go on without end.

It is healthy when probed, and answers requests by one of ``ANSWERS`` until its caller
closes the connection::

    target = EndlessTarget("p9", "plain", "body without length")
    await target.start()
"""

import asyncio

from .platform_engine import PlatformEngine

SEAL = b"Request-Id: %s\r\nServer-Seal: endless\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + SEAL
STRAY = b"HTTP/1.1 200 OK\r\nRequest-Id: z\r\nContent-Length: 0\r\n\r\n"
CHUNK_BYTES = 1 << 16
CHUNK = b"x" * CHUNK_BYTES
EVENT = b"id: 1\ndata: x\n\n"
EVENTS = EVENT * (CHUNK_BYTES // len(EVENT))

# What comes first, and what comes again and again after it.
ANSWERS: dict[str, tuple[bytes, bytes]] = {
    "bytes that are no answer": (b"", CHUNK),
    "status line": (b"HTTP/1.1 200 ", CHUNK),
    "header": (OK + b"X-Endless: ", CHUNK),
    "headers": (OK, b"X-Endless: yes\r\n" * 4096),
    "informational heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "answers to others": (b"", STRAY * 1000),
    "body without length": (OK + b"\r\n", CHUNK),
    "body in chunks": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%s\r\n" % (CHUNK_BYTES, CHUNK),
    ),
    "body with a large length": (OK + b"Content-Length: 99999999999\r\n\r\n", CHUNK),
    "unended": (OK + b"Content-Type: text/event-stream\r\n\r\ndata: ", CHUNK),
    "events": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%s\r\n" % (len(EVENTS), EVENTS),
    ),
}


class EndlessTarget(PlatformEngine):
    """A target that answers requests, and reports if it is asked to, without end."""

    def __init__(self, target: str, service: str, how: str, model: str = ""):
        super().__init__(target, service, model)
        self._how = how
        self._raw: asyncio.Server | None = None
        self._forwarding: set[asyncio.Task] = set()
        self.endless_reports = False
        self.sent_bytes = 0
        # Of one answer.
        self.most_sent_bytes = 0
        self.answering = 0
        self.begun = 0
        # Answers begin once this is set.
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def begin(self) -> None:
        """Listen in front of the sound target, which answers probes and orders."""
        self.start()
        self._raw = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._raw.sockets[0].getsockname()[1]
        self._sound, self.address = self.address, f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """End all connections."""
        self._raw.close()
        for task in tuple(self._forwarding):
            task.cancel()
        await super().stop()

    async def _serve(self, reader, writer) -> None:
        self._forwarding.add(asyncio.current_task())
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await self._take(head, reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    async def _take(self, head: bytes, reader, writer) -> None:
        path = head.split(b" ", 2)[1]
        fields = _fields(head)
        body = await reader.readexactly(int(fields.get(b"content-length", b"0")))
        own = path in (b"/health", b"/v1/order")
        if own or (path == b"/v1/report" and not self.endless_reports):
            await self._forward(head + body, writer)
            return
        await self._answer_endlessly(fields.get(b"request-id", b""), writer)

    async def _answer_endlessly(self, request_id: bytes, writer) -> None:
        self.begun += 1
        await self.may_answer.wait()
        first, again = ANSWERS[self._how]
        writer.write(first.replace(b"%s", request_id))
        self.answering += 1
        sent_bytes = 0
        try:
            while True:
                writer.write(again)
                await writer.drain()
                await asyncio.sleep(0)
                sent_bytes += len(again)
                self.sent_bytes += len(again)
                self.most_sent_bytes = max(sent_bytes, self.most_sent_bytes)
        finally:
            self.answering -= 1

    async def _forward(self, request: bytes, writer) -> None:
        host, _, port = self._sound.rpartition(":")
        reader, own = await asyncio.open_connection(host, int(port))
        own.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(_fields(head).get(b"content-length", b"0"))
        writer.write(head + await reader.readexactly(length))
        await writer.drain()
        own.close()


class EndlessStore(EndlessTarget):
    """A front of a store, whose answers have no end once ``endless`` is set."""

    def __init__(self, how: str):
        super().__init__("store", "", how)
        self.endless = False

    async def begin(self, sound: str) -> None:
        """Listen in front of a ``sound`` store."""
        await super().begin()
        self._sound = sound

    async def _take(self, head: bytes, reader, writer) -> None:
        length = int(_fields(head).get(b"content-length", b"0"))
        body = await reader.readexactly(length)
        if self.endless:
            await self._answer_endlessly(b"", writer)
            return
        await self._forward(head + body, writer)


def _fields(head: bytes) -> dict[bytes, bytes]:
    fields = {}
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        fields[name.strip().lower()] = value.strip()
    return fields
