"""Tests of exchanges with targets: lost connections and late requests."""

import asyncio
import socket

import pytest
from result import Err
from tornado.httputil import HTTPHeaders

from hawthornlead.engines.exchanges import Naming, TargetConnections
from hawthornlead.engines.grant_ledgers import MAX_SEND_S
from hawthornlead.errors import ErrorKind
from hawthornlead.timers import TimerService

from .standins.scripted_target import ScriptedTarget


@pytest.mark.parametrize("reset", [False, True])
async def test_a_target_that_dies_before_its_headers_is_seen_at_once(reset):
    """Guards against a crash that looks like a slow target.

    The target reads the request and dies of it before it sends a header. If the
    exchange waited for headers on the closed connection until the deadline, nobody
    would check whether the target died, and the request would crash the next one.
    """

    async def die(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if reset:
            writer.transport.abort()
        writer.close()

    server = await asyncio.start_server(die, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connections = TargetConnections(timers=TimerService())
    opened = await connections.open(f"{host}:{port}", Naming.EVENTS)
    exchange = opened.ok_value
    sent = await exchange.send("POST", "/", HTTPHeaders(), b"{}", lambda data: None, 1)
    server.close()
    assert isinstance(sent, Err)
    assert sent.err_value.kind is ErrorKind.TARGET_LOST
    assert "closed before its answer" in sent.err_value.detail


async def test_a_request_that_the_network_holds_back_is_abandoned():
    """Guards against a request that arrives after its adapter was evicted.

    The request is sent at the end of its grant, and a lossy network delivers it seconds
    later, after the report that showed the adapter idle.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    connections = TargetConnections(timers=TimerService())
    exchange = (await connections.open(address, Naming.EVENTS)).ok_value
    held_ms = exchange._stream.socket.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
    )
    assert held_ms == MAX_SEND_S * 1000
    exchange.close()
    listener.close()


@pytest.mark.parametrize(("status", "kept"), [("200 OK", True), ("503 No", False)])
async def test_a_repeated_refusal_refuses_no_later_request(status, kept):
    """Guards against a refusal whose copy is read in place of the next response."""
    answer = f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode()
    connections = TargetConnections(timers=TimerService())
    async with ScriptedTarget([answer]) as target:
        exchange = (await connections.open(target.address, Naming.EVENTS)).ok_value
        await exchange.send("POST", "/", HTTPHeaders(), b"{}", lambda data: None, 1)
        await exchange.read_to_end(1)
        exchange.release(named=True)
        following = (await connections.open(target.address, Naming.EVENTS)).ok_value
        assert following.reused is kept
        following.close()
        connections.close()


@pytest.mark.parametrize("released", [False, True])
async def test_a_connection_with_bytes_that_were_not_read_yet_is_not_used(released):
    """Guards against bytes after a response that are read ahead of the next one.

    They have reached this machine before the connection is kept, or taken again, and
    the event loop has not read them yet.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    connections = TargetConnections(timers=TimerService())
    exchange = (await connections.open(address, Naming.EVENTS)).ok_value
    target, _ = listener.accept()
    sending = asyncio.ensure_future(
        exchange.send("POST", "/", HTTPHeaders(), b"{}", lambda data: None, 5)
    )
    await asyncio.sleep(0)
    target.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    await sending
    await exchange.read_to_end(5)
    if released:
        exchange.release(named=True)
        target.sendall(b"late")
    else:
        target.sendall(b"late")
        exchange.release(named=True)
        assert exchange._stream.closed()
    following = (await connections.open(address, Naming.EVENTS)).ok_value
    assert not following.reused
    following.close()
    connections.close()
    for opened in (target, listener):
        opened.close()
