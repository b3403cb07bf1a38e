"""A stand-in in front of a process, which stops in the middle of its answers.

::

    front = TruncatingFront(store.address, lambda method, path: method == "PUT")
    await front.start()
    front.cut, front.framing, front.resets = 40, "chunks", True
"""

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

from .platform_engine import PlatformEngine
from .scripted_target import RESET_ON_CLOSE

HEAD_END = b"\r\n\r\n"
FRAMING_FIELDS = (b"content-length", b"transfer-encoding")


class RawAnswer(NamedTuple):
    """The bytes of an answer."""

    head: bytes
    body: bytes


class TruncatingFront:
    """Sends the first ``cut`` bytes of an answer, and closes the connection.

    It does so for requests that ``chosen`` names by method and path; other answers are
    passed on as they are. The connection is reset if ``resets``, else closed in order.
    An answer that is cut has a "length", "chunks" or neither ("close") by ``framing``.
    With ``cut`` None the whole of it is sent. ``lengths`` are those of the heads of
    the answers that were cut.
    """

    def __init__(self, sound: str, chosen: Callable[[str, str], bool]):
        self._sound = sound
        self.chosen = chosen
        self._serving: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.cut: int | None = 0
        self.framing = "length"
        self.resets = False
        self.lengths: list[int] = []

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """End all connections."""
        self._server.close()
        for task in tuple(self._serving):
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._serving.add(task)
        try:
            while head := await reader.readuntil(HEAD_END):
                if not await self._answer(head, reader, writer):
                    return
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()
            self._serving.discard(task)

    async def _answer(self, head: bytes, reader, writer) -> bool:
        """Answer a request; return whether the connection goes on."""
        method, path = head.decode("latin1").split(" ", 2)[:2]
        length = int(_fields(head).get(b"content-length", b"0"))
        answer = await self._ask(head + await reader.readexactly(length))
        if not self.chosen(method, path):
            writer.write(answer.head + answer.body)
            await writer.drain()
            return True
        framed = reframed(answer, self.framing)
        self.lengths.append(len(framed.head))
        writer.write((framed.head + framed.body)[: self.cut])
        await writer.drain()
        if self.resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return False

    async def _ask(self, request: bytes) -> RawAnswer:
        host, _, port = self._sound.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            head = await reader.readuntil(HEAD_END)
            fields = _fields(head)
            if fields.get(b"transfer-encoding") == b"chunked":
                return RawAnswer(head, await _read_chunks(reader))
            length = int(fields.get(b"content-length", b"0"))
            return RawAnswer(head, await reader.readexactly(length))
        finally:
            writer.close()


class TruncatingTarget(PlatformEngine):
    """A target behind a ``front``, which cuts the answers to the given ``paths``."""

    def __init__(self, target: str, service: str, paths: tuple[str, ...], model=""):
        super().__init__(target, service, model)
        self._paths = paths
        self.front: TruncatingFront | None = None

    async def begin(self) -> None:
        """Listen, and have the front listen in place of the target."""
        self.start()
        self.front = TruncatingFront(
            self.address, lambda method, path: path.startswith(self._paths)
        )
        await self.front.start()
        self.address = self.front.address

    async def stop(self) -> None:
        """End all connections."""
        await self.front.stop()
        await super().stop()


def reframed(answer: RawAnswer, framing: str) -> RawAnswer:
    """Return an answer with a length, in chunks, or with neither."""
    lines = [
        line
        for line in answer.head.removesuffix(HEAD_END).split(b"\r\n")
        if line.partition(b":")[0].lower() not in FRAMING_FIELDS
    ]
    body = answer.body
    if _fields(answer.head).get(b"transfer-encoding") == b"chunked":
        body = unchunked(body)
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
    elif framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        body = chunk + b"0\r\n\r\n"
    return RawAnswer(b"\r\n".join(lines) + HEAD_END, body)


def unchunked(body: bytes) -> bytes:
    """Return what a body in chunks consists of."""
    parts = []
    while body:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16)
        parts.append(rest[:length])
        body = rest[length + 2 :]
    return b"".join(parts)


async def _read_chunks(reader) -> bytes:
    body = b""
    while not body.endswith(b"0\r\n\r\n"):
        size = await reader.readuntil(b"\r\n")
        length = int(size, 16)
        body += size + await reader.readexactly(length + 2)
    return body


def _fields(head: bytes) -> dict[bytes, bytes]:
    fields = {}
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        fields[name.strip().lower()] = value.strip()
    return fields
