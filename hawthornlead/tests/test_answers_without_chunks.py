"""Answers to callers that know no chunks, whose end is shown by the connection."""

import asyncio
import itertools
import sys
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import pytest
from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from hawthornlead.gateway.caller_calls import CallerCall, CallerDispatcher

from .gateways import HOST, MODEL, Deployment
from .standins.unfinished_answers import EVENT

LONGEST_S = 20.0
# More than the buffers of a connection hold.
LARGE = b"x" * (24 << 20)
KEEPS = ("", "Connection: keep-alive\r\n", "Connection: close\r\n")
FRAMING = {b"content-length", b"transfer-encoding"}
UNFINISHED = "hawthornlead.tests.standins.unfinished_answers"


class Received(NamedTuple):
    """What a caller received until its connection ended, and whether by a reset."""

    head: bytes
    body: bytes
    reset: bool

    @property
    def fields(self) -> dict[bytes, bytes]:
        """The head's fields, by their names in lower case."""
        lines = [line.partition(b":") for line in self.head.split(b"\r\n")[1:]]
        return {name.lower(): value.strip() for name, _, value in lines}


class Protocol(asyncio.Protocol):
    """Receives bytes until the connection ends, pausing first if it is ``slow``."""

    def __init__(self, slow: bool = False):
        self._slow = slow
        self.received = bytearray()
        self.ended = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport):
        """Stop reading if slow."""
        self.transport = transport
        if self._slow:
            transport.pause_reading()

    def data_received(self, data):
        """Keep the bytes."""
        self.received += data

    def connection_lost(self, exc):
        """Keep how the connection ended."""
        self.ended.set_result(isinstance(exc, ConnectionResetError))


async def send(address: str, request: str, slow: bool = False) -> Protocol:
    """Send a request on a new connection."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_connection(lambda: Protocol(slow), host, int(port))
    protocol.transport.write(request.encode())
    return protocol


async def received(protocol: Protocol) -> Received:
    """Return what was received until the connection ended."""
    reset = await asyncio.wait_for(protocol.ended, LONGEST_S)
    head, _, body = bytes(protocol.received).partition(b"\r\n\r\n")
    return Received(head, body, reset)


def request(method: str, path: str, *, keep="", version="1.0", **fields) -> str:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/{version}", f"Host: {HOST}", "Content-Length: 0"]
    fields = {"Request-Id": "old", "Deadline-Ms": "6000", **fields}
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines) + "\r\n" + keep + "\r\n"


@asynccontextmanager
async def served(handler: Callable[[CallerCall], Awaitable[None]]):
    """Serve calls by a handler; yields the server and its address."""
    server = HTTPServer(CallerDispatcher(handler, lambda: 0.0))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    try:
        yield server, f"127.0.0.1:{sockets[0].getsockname()[1]}"
    finally:
        server.stop()
        await server.close_all_connections()


def begin(call: CallerCall, chunk: bytes = EVENT) -> None:
    """Begin an answer that has no length."""
    call.begin(200, "OK", httputil.HTTPHeaders({"Content-Type": "a/b"}), chunk)


@pytest.mark.parametrize("keep", KEEPS)
async def test_a_cut_stream_does_not_look_complete_without_chunks(keep):
    """Guards against a truncated stream that a caller takes for a complete one."""
    async with Deployment(vms=1) as deployment:
        address = deployment.settings[0]["CALLER_ADDRESS"]
        for engine in deployment.engines:
            engine.faults.append("cut")
        asked = request("POST", "/stream/x", keep=keep, Model=MODEL)
        got = await received(await send(address, asked))
        assert got.reset
        assert b"id: 4" not in got.body


@pytest.mark.parametrize("keep", KEEPS)
async def test_a_complete_stream_without_chunks_ends_in_order(keep):
    """Guards against complete streams that look cut, or that never end."""
    async with Deployment(vms=1) as deployment:
        address = deployment.settings[0]["CALLER_ADDRESS"]
        for method in ("GET", "POST"):
            asked = request(method, "/stream/x", keep=keep, Model=MODEL)
            got = await received(await send(address, asked))
            assert got.head.startswith(b"HTTP/1.1 200 ")
            assert not got.reset
            assert got.body.count(b"id: ") == 4
            assert got.fields[b"connection"] == b"close"
            assert b"transfer-encoding" not in got.fields


async def test_other_answers_to_old_callers_have_a_length():
    """Guards against an answer whose end an old caller can't know."""
    async with Deployment(vms=1) as deployment:
        address = deployment.settings[0]["CALLER_ADDRESS"]
        for path, status in (("/safe/x", b"200"), ("/none", b"404")):
            got = await received(await send(address, request("GET", path)))
            assert got.head.split(b" ")[1] == status
            assert len(got.body) == int(got.fields[b"content-length"])
            assert got.body
            assert not got.reset


async def test_a_stream_that_a_stopping_vm_ends_does_not_look_complete():
    """Guards against streams that look complete as their VM closes connections."""

    async def handle(call):
        begin(call)
        await call.gone

    async with served(handle) as (server, address):
        caller = await send(address, request("GET", "/x"))
        while EVENT not in caller.received:
            await asyncio.sleep(0.01)
        await server.close_all_connections()
        assert (await received(caller)).reset


async def test_a_stream_whose_process_is_killed_does_not_look_complete():
    """Guards against the orderly close that the system makes for a killed process."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", UNFINISHED, stdout=asyncio.subprocess.PIPE
    )
    try:
        address = (await process.stdout.readline()).decode().strip()
        caller = await send(address, request("GET", "/x"))
        while EVENT not in caller.received:
            await asyncio.sleep(0.01)
    finally:
        process.kill()
        await process.wait()
    assert (await received(caller)).reset


async def test_an_unexpected_error_does_not_complete_a_stream():
    """Guards against a stream that looks complete after a fault of this program."""

    async def handle(call):
        begin(call)
        raise ValueError("a fault")

    async with served(handle) as (_, address):
        old = await received(await send(address, request("GET", "/x")))
        assert old.reset
        new = await received(await send(address, request("GET", "/x", version="1.1")))
        assert not new.body.endswith(b"0\r\n\r\n")


async def test_a_large_answer_without_a_length_arrives_to_its_last_byte():
    """Guards against a reset that loses what a slow caller has yet to receive."""

    async def handle(call):
        begin(call, LARGE)
        call.finish()

    async with served(handle) as (_, address):
        caller = await send(address, request("GET", "/x"), slow=True)
        await asyncio.sleep(0.2)
        caller.transport.resume_reading()
        got = await received(caller)
        assert not got.reset
        assert len(got.body) == len(LARGE)


async def test_a_large_answer_that_is_closed_before_its_end_is_reset():
    """Guards against an answer that is finished, but not sent, and looks complete."""
    calls = []

    async def handle(call):
        calls.append(call)
        begin(call, LARGE)
        call.finish()

    async with served(handle) as (server, address):
        caller = await send(address, request("GET", "/x"), slow=True)
        while not calls:
            await asyncio.sleep(0.01)
        await server.close_all_connections()
        caller.transport.resume_reading()
        got = await received(caller)
        assert got.reset
        assert len(got.body) < len(LARGE)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_nothing_completes_an_answer_whose_connection_broke(version):
    """Guards against a shortened answer that looks complete to its caller."""
    ended = []

    async def handle(call):
        begin(call, EVENT)
        await asyncio.sleep(0.05)
        call._connection.stream.close()
        call.write(EVENT)
        call.finish()
        ended.append(call)

    async with served(handle) as (_, address):
        got = await received(await send(address, request("GET", "/x", version=version)))
        assert got.reset is (version == "1.0")
        assert got.body.count(EVENT) == 1
        assert not got.body.endswith(b"0\r\n\r\n")
        while not ended:
            await asyncio.sleep(0.01)


async def test_an_answer_to_a_caller_that_has_gone_harms_nothing():
    """Guards against a call that is never ended as its caller breaks off."""
    ended = []

    async def handle(call):
        await call.gone
        if call.path == "/begun":
            begin(call)
            call.write(EVENT)
            call.finish()
        else:
            call.answer(200, "OK", httputil.HTTPHeaders(), EVENT)
        ended.append(call.path)

    async with served(handle) as (_, address):
        for path, version in itertools.product(("/begun", "/whole"), ("1.0", "1.1")):
            before = len(ended)
            caller = await send(address, request("GET", path, version=version))
            await asyncio.sleep(0.02)
            caller.transport.abort()
            while len(ended) == before:
                await asyncio.sleep(0.01)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_a_request_for_a_head_gets_the_head_of_each_answer(version):
    """Guards against a refusal that breaks off as its body may not be sent."""
    async with Deployment(vms=1) as deployment:
        address = deployment.settings[0]["CALLER_ADDRESS"]
        for path, status in (("/safe/x", b"200"), ("/none", b"404")):
            asked = request("HEAD", path, version=version, keep="Connection: close\r\n")
            got = await received(await send(address, asked))
            assert got.head.split(b" ")[1:2] == [status]
            assert not got.body


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("status", [204, 304])
async def test_an_answer_that_has_no_body_ends_with_its_head(version, status):
    """Guards against a body or a length that its caller doesn't expect."""

    async def handle(call):
        headers = httputil.HTTPHeaders()
        if call.path == "/whole":
            call.answer(status, "Some Reason", headers, b"")
        else:
            call.begin(status, "Some Reason", headers, b"")
            call.finish()

    async with served(handle) as (_, address):
        for path in ("/whole", "/begun"):
            keep = "Connection: close\r\n"
            asked = request("GET", path, version=version, keep=keep)
            got = await received(await send(address, asked))
            assert got.head.startswith(b"HTTP/1.1 %d " % status)
            assert got.fields.keys().isdisjoint(FRAMING)
            assert not got.body
            assert not got.reset
