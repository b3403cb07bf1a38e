"""Tests of limits on callers' connections: their number, time and body size."""

import asyncio
import json
import time

import pytest
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from hawthornlead.callers.caller_servers import CallerServer
from hawthornlead.resources.accounts import Account
from hawthornlead.resources.process_limits import process_limits
from hawthornlead.settings import default_settings

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"


class _Echo(RequestHandler):
    def get(self):
        self.finish("here")

    def post(self):
        self.finish(str(len(self.request.body)))


class _Running:
    """A server with small limits, and raw connections to it."""

    def __init__(self):
        settings = default_settings(
            MAX_CONNECTIONS=2, MAX_BODY_BYTES=1000, CALLER_SILENT_S=0.2
        )
        self.account = Account(process_limits(settings), time.monotonic)
        self.server = CallerServer(
            Application([("/", _Echo)]), settings=settings, account=self.account
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    async def connect(self, data: bytes):
        """Open a connection and send ``data``."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        return reader, writer


async def _answer(reader) -> tuple[int, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = next(
        int(line.split(":")[1])
        for line in head.splitlines()
        if line.lower().startswith("content-length")
    )
    return int(head.split()[1]), await reader.readexactly(length)


@pytest.fixture
async def running():
    running = _Running()
    yield running
    running.server.stop()
    await running.server.close_all_connections()


async def test_a_connection_too_many_is_refused_at_once(running):
    """A caller's faulty client keeps opening connections.

    If they were queued, they would use up file descriptors and memory, and other
    callers would wait without an answer. The refusal has the usual form, which tells
    that nothing ran, and the open connections continue to work.
    """
    kept = [await running.connect(GET) for _ in range(2)]
    for reader, _ in kept:
        assert await _answer(reader) == (200, b"here")
    reader, writer = await running.connect(GET)
    status, body = await _answer(reader)
    refusal = json.loads(body)
    assert (status, refusal["error"], refusal["ran"]) == (503, "overloaded", "not run")
    assert refusal["retry_after_s"] > 0
    assert await reader.read() == b""
    writer.close()
    kept[0][1].write(GET)
    assert await _answer(kept[0][0]) == (200, b"here")
    kept[1][1].close()
    while running.server.open_connections > 1:
        await asyncio.sleep(0.01)
    reader, writer = await running.connect(GET)
    assert await _answer(reader) == (200, b"here")


@pytest.mark.parametrize(
    "started",
    [b"", GET[:-2] + b"X: ", POST + b"Content-Length: 900\r\n\r\nab"],
    ids=["nothing", "head", "body"],
)
async def test_a_head_or_body_that_never_ends_frees_its_place(running, started):
    """A caller sends a byte now and then and keeps its connection forever.

    With ``MAX_CONNECTIONS`` such callers no other could connect. A limit on the
    silence between bytes would not help, so the limit is on the whole head or body.
    """
    reader, writer = await running.connect(started)

    async def drip():
        while True:
            writer.write(b"a")
            await asyncio.sleep(0.02)

    dripping = asyncio.ensure_future(drip())
    try:
        assert await asyncio.wait_for(reader.read(), 5) == b""
    except ConnectionResetError:
        pass
    finally:
        dripping.cancel()
    assert running.server.open_connections == 0


@pytest.mark.parametrize("chunked", [False, True])
async def test_a_body_too_large_is_refused_as_such(running, chunked):
    large = b"x" * 3000
    if chunked:
        data = POST + b"Transfer-Encoding: chunked\r\n\r\nbb8\r\n" + large
        data += b"\r\n0\r\n\r\n"
    else:
        data = POST + b"Content-Length: 3000\r\n\r\n" + large
    reader, _ = await running.connect(data)
    status, body = await _answer(reader)
    assert (status, json.loads(body)["error"]) == (413, "too-large")
    assert json.loads(body)["ran"] == "not run"
    reader, _ = await running.connect(
        POST + b"Content-Length: 1000\r\n\r\n" + large[:1000]
    )
    assert await _answer(reader) == (200, b"1000")
