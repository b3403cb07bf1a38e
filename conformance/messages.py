"""HTTP messages of the stand-ins: requests that they read, responses that they send.

The heads are parsed by Tornado; the bytes of responses are made here, because targets
send them cut, doubled and joined.
"""

import asyncio
import json
from typing import NamedTuple

from tornado.httputil import HTTPHeaders, HTTPInputError, parse_request_start_line


class Message(NamedTuple):
    """One request that a stand-in has read."""

    method: str
    path: str
    headers: HTTPHeaders
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one request, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, _, rest = head.decode("latin1").partition("\r\n")
    try:
        line = parse_request_start_line(start)
        headers = HTTPHeaders.parse(rest)
    except HTTPInputError:
        return None
    body = b""
    if "chunked" in headers.get("Transfer-Encoding", ""):
        while size := int((await reader.readline()).strip() or b"0", 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif length := int(headers.get("Content-Length", "0")):
        body = await reader.readexactly(length)
    return Message(line.method, line.path, headers, body)


def head_bytes(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the bytes of a response's head."""
    reason = {200: "OK", 421: "Misdirected", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'No')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return the bytes of one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def json_response(status: int, body) -> bytes:
    """Return the bytes of a response with a JSON body."""
    data = json.dumps(body).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", len(data))]
    return head_bytes(status, headers) + data
