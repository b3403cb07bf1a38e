"""Heads, lines and unasked bytes without end, at each reader of answers."""

import asyncio
import random

import pytest
from result import Err
from tornado import httputil

from hawthornlead.engines.targets import TargetClient
from hawthornlead.errors import ErrorKind
from hawthornlead.gateway.store_clients import StoreClient
from hawthornlead.gateway.target_connections import TargetConnections, WholeAnswer
from hawthornlead.settings import default_settings
from hawthornlead.stores.http_stores import HttpObjectStore
from hawthornlead.timers import TimerService

from .standins.broken_target import BODY, broken_answer
from .standins.scripted_target import ScriptedTarget
from .test_exchange_responses import read_one
from .test_joined_answers import LONGEST_S

LARGE = 1 << 20
# Complete and sound but for its size, so that only the size can be its fault.
LARGE_HEADS = {
    "one field": broken_answer(field=b"X-Large: " + b"x" * LARGE),
    "many fields": broken_answer(field=b"\r\n".join([b"X-Large: y"] * (LARGE // 12))),
}
# What the system's buffers hold of what a process doesn't read.
MOST_UNREAD_BYTES = 16 << 20
KINDS = pytest.mark.parametrize("kind", list(LARGE_HEADS))


async def read(connections, address: str) -> tuple:
    """Return the exchange of a request and what was taken for its answer."""
    sink = WholeAnswer()
    exchange = (await connections.open(address)).ok_value
    headers = httputil.HTTPHeaders({"Host": "h"})
    exchange.send("GET", "/x", headers, b"", request_id="own", sink=sink)
    await asyncio.wait([exchange.ended], timeout=LONGEST_S)
    return exchange, sink


@KINDS
async def test_a_head_without_end_is_given_up(kind):
    """Guards against memory that targets in trouble fill with heads."""
    sent = LARGE_HEADS[kind]
    connections = TargetConnections(timers=TimerService())
    async with ScriptedTarget([sent.replace(b"%s", b"own")]) as target:
        exchange, sink = await read(connections, target.address)
        assert exchange.ended.done()
        assert sink.head is None
        assert exchange.follow_up() is None


@KINDS
async def test_a_large_head_is_none_of_a_signed_bundles_target_or_a_store(kind):
    """Guards against the same at the other readers."""
    sent = LARGE_HEADS[kind]
    assert (await read_one(sent, closes=False)).status == 0
    async with ScriptedTarget([sent]) as target:
        client = StoreClient(address=target.address, timers=TimerService())
        got = await client.get("owners", "e1")
        assert got.err_value.kind is ErrorKind.STORE_UNAVAILABLE
        assert "Timeout" not in got.err_value.detail
        client.close()
        reply = await TargetClient(target.address, rng=random.Random(1)).cancel("r.1")
        assert isinstance(reply, Err)


async def test_a_large_reply_is_none():
    """Guards against memory that endless reports of signed bundles' engines fill."""
    body = b'{"boot_id": "b", "now": 1, "x": "' + b"x" * 2 * LARGE + b'"}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    async with ScriptedTarget([head + body]) as target:
        client = TargetClient(target.address, rng=random.Random(1))
        assert isinstance(await client.health(), Err)


async def test_a_line_of_a_watch_without_end_ends_the_watch():
    """Guards against memory that a store in trouble fills with one line."""
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    async with ScriptedTarget([head + b"x" * 4 * LARGE]) as target:
        settings = default_settings(STORE_ADDRESS=target.address)
        store = HttpObjectStore(settings=settings, timers=TimerService(), rng=None)
        with pytest.raises(OSError) as raised:
            async with asyncio.timeout(LONGEST_S):
                async for _ in store.open_watch("k", 0):
                    pass
        assert not isinstance(raised.value, TimeoutError)
        await store.stop()


async def test_bytes_without_end_on_an_idle_connection_are_not_kept():
    """Guards against memory that a target fills while no request waits."""
    sent_bytes = 0

    async def serve(reader, writer):
        nonlocal sent_bytes
        await reader.readuntil(b"\r\n\r\n")
        writer.write(broken_answer().replace(b"%s", b"own"))
        await writer.drain()
        await idle.wait()
        try:
            while True:
                writer.write(BODY * 4096)
                await writer.drain()
                sent_bytes += len(BODY) * 4096
                await asyncio.sleep(0)
        except OSError:
            closed.set()
        finally:
            writer.close()

    idle, closed = asyncio.Event(), asyncio.Event()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connections = TargetConnections(timers=TimerService())
    exchange, sink = await read(connections, f"{host}:{port}")
    assert sink.body == BODY
    exchange.release()
    idle.set()
    before = -1
    while sent_bytes > before and not closed.is_set():
        before = sent_bytes
        await asyncio.sleep(0.3)
    assert sent_bytes < MOST_UNREAD_BYTES
    server.close()
