"""A stand-in of a target that answers each request with bytes that a test gives."""

import asyncio
import socket
import struct

# With this, closing sends a reset in place of an orderly end.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def answer_bytes(
    status: int, request_id: str, body: bytes, framing: str, id_place: int
) -> bytes:
    """Return the bytes of an answer.

    ``framing`` is "length", "chunks" or "close"; the request's id, empty for none,
    comes after ``id_place`` other headers.
    """
    headers = [b"Server-Seal: seal-of-" + request_id.encode(), b"Content-Type: a/b"]
    if framing == "length":
        headers.append(b"Content-Length: %d" % len(body))
    elif framing == "chunks":
        headers.append(b"Transfer-Encoding: chunked")
        half = len(body) // 2
        parts = [body[:half], body[half:], b""]
        body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    if request_id:
        headers.insert(id_place, b"Request-Id: " + request_id.encode())
    lines = [b"HTTP/1.1 %d Some Reason" % status, *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class ScriptedTarget:
    """Answers the requests on each connection with ``answers``, one after the other.

    With ``closes`` a connection ends after its last answer, and with ``resets`` by a
    reset; otherwise it stays open and silent. A ``rest`` follows each answer a moment
    later::

        async with ScriptedTarget([copy[:40] + answer]) as target:
            await connections.open(target.address)
    """

    def __init__(
        self,
        answers: list[bytes],
        *,
        closes: bool = False,
        resets: bool = False,
        rest: bytes = b"",
    ):
        self._answers = answers
        self._closes = closes or resets
        self._resets = resets
        self._rest = rest
        self._writers: list[asyncio.StreamWriter] = []
        self.address = ""
        self.requests = 0

    async def __aenter__(self) -> "ScriptedTarget":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *error) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer) -> None:
        self._writers.append(writer)
        try:
            for answer in self._answers:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(answer)
                await writer.drain()
                if self._rest:
                    await asyncio.sleep(0.01)
                    writer.write(self._rest)
            if not self._closes:
                await reader.read()
            if self._resets:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()
