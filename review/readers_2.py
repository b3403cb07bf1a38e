"""Targets with large answers, and clients that take them at a bounded rate."""

import asyncio
import socket
import time
from typing import NamedTuple

import rig_2 as rigs

from conformance.records import Arrival
from conformance.responses import make_response
from conformance.targets import Port, Target

PIECE_BYTES = 4096
WINDOW_BYTES = 8192


class LargeTarget(Target):
    """A target of a plain service that sends each answer of ``body_bytes`` at once.

    A request to a path that ends in ``small`` gets a few bytes.
    """

    def __init__(self, rig: rigs.Rig, name: str, service: str, body_bytes: int):
        super().__init__(name, service, rig.target_host(), rig)
        self._rig = rig
        self._body_bytes = body_bytes

    async def run(self, message, arrival: Arrival, port: Port) -> None:
        """Answer a request."""
        size = 16 if message.path.endswith("small") else self._body_bytes
        self._rig.note("run", target=self.name, request=arrival.request)
        body = (f"{arrival.request} ".encode() * size)[:size]
        response = make_response(200, self.names(arrival), [body], "length")
        await self.answer(arrival, port, response, body)
        self._rig.note("answered", target=self.name, request=arrival.request, size=size)


class Asked(NamedTuple):
    """One request of a client, and what it got of the answer."""

    request: str
    status: int
    length: int
    received: int
    how: str

    @property
    def complete(self) -> bool:
        """Whether the answer is whole."""
        return self.how == "complete"


class SlowReader:
    """A client with one kept connection, which it reads at ``bytes_per_s``.

    With 0 it reads as fast as it can.
    """

    def __init__(self, rig: rigs.Rig, front: str, bytes_per_s: int):
        self._rig = rig
        self._front = front
        self._bytes_per_s = bytes_per_s
        self._socket = socket.socket()

    async def connect(self) -> None:
        """Open the connection."""
        host, _, port = self._front.rpartition(":")
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, (host, int(port)))

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    async def ask(
        self, method: str, path: str, request: str, deadline_ms: int
    ) -> Asked:
        """Send a request and read its answer."""
        began_at = time.monotonic()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {rigs.HOST}\r\n"
            f"Request-Id: {request}\r\nDeadline-Ms: {deadline_ms}\r\n"
        )
        if method == "POST":
            head += "Content-Length: 0\r\n"
        status, length, received, how = 0, -1, 0, "complete"
        loop = asyncio.get_running_loop()
        data = b""
        try:
            await loop.sock_sendall(self._socket, f"{head}\r\n".encode())
            while length < 0 or received < length:
                piece = await loop.sock_recv(self._socket, PIECE_BYTES)
                if not piece:
                    how = "closed before its end"
                    break
                data += piece
                if length < 0 and b"\r\n\r\n" in data:
                    read, _, data = data.partition(b"\r\n\r\n")
                    status, length = _read_head(read)
                received = len(data)
                if self._bytes_per_s:
                    await asyncio.sleep(PIECE_BYTES / self._bytes_per_s)
        except OSError as error:
            how = f"broken off: {error!r}"
        asked = Asked(request, status, length, received, how)
        after_s = round(time.monotonic() - began_at, 2)
        self._rig.note("received", after_s=after_s, **asked._asdict())
        return asked


def _read_head(head: bytes) -> tuple[int, int]:
    """Return the status and the length that the head of an answer states."""
    start, *lines = head.decode("latin1").split("\r\n")
    named = dict(line.lower().split(": ", 1) for line in lines)
    return int(start.split()[1]), int(named["content-length"])
