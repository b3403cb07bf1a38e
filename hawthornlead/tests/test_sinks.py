"""Tests of streaming sinks over real connections."""

import asyncio
import socket

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from hawthornlead.callers.requests import AnswerHead
from hawthornlead.callers.sinks import StreamSink

HEAD = AnswerHead("r1", "tides", "v1", "engine-1", 1)
# More than the system buffers for a loopback connection.
LARGE = b"data: " + b"x" * (8 << 20) + b"\n\n"


class Streaming(RequestHandler):
    """Passes its sink to the test, which writes to it."""

    def initialize(self, sinks: asyncio.Queue, stall_timeout_s: float):
        self._sinks = sinks
        self._stall_timeout_s = stall_timeout_s

    async def get(self):
        sink = StreamSink(self, 0.001, self._stall_timeout_s)
        sink.set_head(HEAD)
        ended = asyncio.get_running_loop().create_future()
        self._sinks.put_nowait((sink, ended))
        await ended


async def stream_to(stall_timeout_s: float):
    """Start a server and a caller that sent a request and reads nothing yet."""
    sinks: asyncio.Queue = asyncio.Queue()
    routes = [("/", Streaming, {"sinks": sinks, "stall_timeout_s": stall_timeout_s})]
    server = HTTPServer(Application(routes, log_function=lambda handler: None))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    sink, ended = await sinks.get()
    return server, sink, ended, reader, writer


@pytest.fixture
async def streams():
    running = []

    async def start(stall_timeout_s: float):
        made = await stream_to(stall_timeout_s)
        running.append(made)
        return made

    yield start
    for server, _sink, ended, _reader, writer in running:
        writer.close()
        if not ended.done():
            ended.set_result(None)
        server.stop()
        await server.close_all_connections()


async def test_writes_that_overlap_do_not_make_a_reading_caller_gone(streams):
    # A caller pauses, more tokens arrive, and 20 s later its answer ends although it
    # reads again: with two pending flushes tornado drops the future of the first, whose
    # wait then times out, and the caller counts as gone.
    _server, sink, ended, reader, _writer = await streams(stall_timeout_s=2.0)
    first = asyncio.ensure_future(sink.write(LARGE))
    await asyncio.sleep(0)
    second = asyncio.ensure_future(sink.write(LARGE))
    await asyncio.sleep(0)
    read = 0
    while read < 2 * len(LARGE):
        read += len(await reader.read(1 << 20))
    await asyncio.gather(first, second)
    assert not sink.gone
    await sink.finish()
    ended.set_result(None)


async def test_a_caller_that_does_not_read_blocks_and_then_is_gone(streams):
    _server, sink, _ended, _reader, _writer = await streams(stall_timeout_s=0.05)
    pending = sink.write(LARGE)
    assert pending is not None
    await pending
    assert sink.gone


async def test_a_caller_that_reads_does_not_block(streams):
    _server, sink, _ended, reader, _writer = await streams(stall_timeout_s=2.0)
    assert sink.write(b'data: {"i": 0, "t": "a"}\n\n') is None
    assert sink.write(b'data: {"i": 1, "t": "b"}\n\n') is None
    await sink.finish()
    seen = b""
    while b'"count": 2' not in seen:
        seen += await reader.read(65536)
    assert seen.index(b'"adapter": "tides"') < seen.index(b'"i": 0')
    assert seen.index(b'"i": 0') < seen.index(b'"i": 1')


async def test_tokens_do_not_wait_for_acknowledgements(streams):
    # Without TCP_NODELAY each write waits for the caller's delayed acknowledgement of
    # the previous one, and tokens arrive in bursts 40 ms apart.
    _server, sink, ended, _reader, _writer = await streams(stall_timeout_s=2.0)
    sink.write(b'data: {"i": 0, "t": "a"}\n\n')
    connection = sink._stream.socket
    assert connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    ended.set_result(None)


async def test_a_write_after_the_caller_left_is_dropped(streams):
    _server, sink, _ended, _reader, writer = await streams(stall_timeout_s=2.0)
    writer.transport.abort()
    for number in range(200):
        sink.write(b'data: {"i": %d, "t": "a"}\n\n' % number)
        await asyncio.sleep(0.005)
        if sink.gone:
            break
    assert sink.gone
