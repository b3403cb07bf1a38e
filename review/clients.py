"""Clients of the gateways: requests on kept connections, and what came back."""

import asyncio
import contextlib
import itertools
import time

# Clients reuse connections that were idle for up to four fifths of the idle limit.
REUSED_S = 12.0


class Attempt:
    """One client attempt and its answer."""

    def __init__(self, request: str, path: str):
        self.request = request
        self.path = path
        self.sent = time.monotonic()
        self.ended = 0.0
        self.status = 0
        self.whole = False
        self.sealed = False
        self.answers = ""
        self.body = b""


class Client:
    """Sends requests one after the other, on a connection that it keeps."""

    def __init__(self, host: str):
        self._host = host
        self._open: dict[str, tuple] = {}
        self._ids = itertools.count(1)

    async def send(
        self,
        attempt: Attempt,
        address: str,
        method: str,
        headers: dict[str, str],
        body: bytes,
        within_s: float,
    ) -> None:
        """Send one attempt to a machine and read its answer."""
        kept, used = self._open.pop(address, (None, 0.0))
        if kept is not None and time.monotonic() - used > REUSED_S:
            kept[1].close()
            kept = None
        try:
            async with asyncio.timeout(within_s + 1.0):
                if kept is None:
                    host, _, port = address.rpartition(":")
                    kept = await asyncio.open_connection(host, int(port))
                keep = await self._exchange(attempt, kept, method, headers, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            keep = False
        attempt.ended = time.monotonic()
        if keep:
            self._open[address] = kept, attempt.ended
        elif kept is not None:
            kept[1].close()

    def close(self) -> None:
        """Close all kept connections."""
        for (_, writer), _ in self._open.values():
            with contextlib.suppress(OSError):
                writer.close()
        self._open.clear()

    async def _exchange(self, attempt, kept, method, headers, body) -> bool:
        reader, writer = kept
        lines = [f"{method} {attempt.path} HTTP/1.1", f"Host: {self._host}"]
        lines.append(f"Request-Id: {attempt.request}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await reader.readuntil(b"\r\n\r\n")
        start, *rest = head.decode("latin1").rstrip().split("\r\n")
        fields = {}
        for line in rest:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        attempt.status = int(start.split(" ")[1])
        attempt.sealed = "server-seal" in fields
        attempt.answers = fields.get("request-id", "")
        if "chunked" in fields.get("transfer-encoding", ""):
            while size := int((await reader.readline()).strip(), 16):
                attempt.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(fields.get("content-length", "0"))
            attempt.body = await reader.readexactly(length)
        attempt.whole = True
        return fields.get("connection", "").lower() != "close"
