"""What is held of an answer once its exchange has ended."""

import asyncio
import gc
import tracemalloc
import weakref
from contextlib import contextmanager, suppress

import pytest
from tornado import httputil
from tornado.httpclient import HTTPClientError

from hawthornlead.answers.whole_clients import WholeAnswerClient
from hawthornlead.engines.exchanges import Naming
from hawthornlead.engines.exchanges import TargetConnections as SignedConnections
from hawthornlead.gateway.target_connections import TargetConnections, WholeAnswer
from hawthornlead.timers import TimerService

from .standins.broken_target import broken_answer
from .standins.scripted_target import ScriptedTarget
from .test_joined_answers import LONGEST_S

MOST_BYTES = 1 << 16
# So long after its first bytes an answer that stays open is given up.
SILENT_S = 0.1
READS = 4
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: own\r\nServer-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PART = b"x" * (MOST_BYTES // 2)
CHUNK = b"%x\r\n%s\r\n" % (len(PART), PART)
SOUND = HEAD + b"Content-Length: 1000\r\n\r\n" + PART[:1000]
ANSWERS = {
    "whole": HEAD + b"Content-Length: %d\r\n\r\n" % len(PART) + PART,
    "too long": HEAD + b"\r\n" + PART * 3,
    "too long in chunks": CHUNKED + CHUNK * 3,
    "announced as too long": HEAD + b"Content-Length: 999999\r\n\r\n" + PART,
    "cut": HEAD + b"Content-Length: 60000\r\n\r\n" + PART,
    "cut in chunks": CHUNKED + CHUNK + b"7",
    "no chunk": CHUNKED + CHUNK + b"z\r\n",
    "two answers": HEAD + b"\r\n" + PART + HEAD,
    "to another": CHUNKED.replace(b"own", b"other") + CHUNK + b"0\r\n\r\n" + HEAD,
    "no status": broken_answer(b"000").replace(b"%s", b"own"),
}
ENDS = {
    "stays open": {},
    "closes": {"closes": True},
    "resets": {"resets": True},
}


@contextmanager
def uncollected():
    """Switch the collection of cycles off; yields a count of held bytes."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
        gc.enable()


async def read_target(address: str) -> None:
    """Read an answer of a target, and check that nobody holds its sink."""
    connections = TargetConnections(timers=TimerService())
    sink = WholeAnswer()
    held = weakref.ref(sink)
    exchange = (await connections.open(address, fresh=True)).ok_value
    headers = httputil.HTTPHeaders({"Host": "h"})
    exchange.send(
        "GET", "/x", headers, b"", request_id="own", sink=sink, max_bytes=MOST_BYTES
    )
    del sink
    await asyncio.wait([exchange.ended], timeout=SILENT_S)
    exchange.close()
    await asyncio.wait([exchange.ended], timeout=LONGEST_S)
    await asyncio.sleep(0)
    assert held() is None


async def read_signed_target(address: str) -> None:
    """Do the same at a target of signed bundles."""
    connections = SignedConnections(timers=TimerService())
    data = bytearray()
    opened = await connections.open(address, Naming.EVENTS, fresh=True)
    exchange = opened.ok_value
    headers = httputil.HTTPHeaders({"Host": "h"})
    await exchange.send("GET", "/x", headers, b"", data.extend, LONGEST_S)
    await exchange.read_to_end(SILENT_S)
    exchange.close()
    await asyncio.wait([exchange._reading], timeout=LONGEST_S)
    await asyncio.sleep(0)


async def call_store(address: str) -> None:
    """Do the same with a call of a store."""
    client = WholeAnswerClient(force_instance=True, max_body_size=MOST_BYTES)
    with suppress(OSError, HTTPClientError):
        await client.fetch(f"http://{address}/x", request_timeout=SILENT_S)
    client.close()
    await asyncio.sleep(0.01)


@pytest.mark.parametrize("read", [read_target, read_signed_target, call_store])
@pytest.mark.parametrize("end", list(ENDS))
@pytest.mark.parametrize("kind", list(ANSWERS))
async def test_the_bytes_of_an_answer_go_with_its_exchange(kind, end, read, caplog):
    """Guards against answers in trouble that fill the memory until a collection."""
    # Pytest keeps records of the log, and with them the errors and their frames.
    caplog.set_level("WARNING", logger="tornado.general")
    async with ScriptedTarget([ANSWERS[kind]], **ENDS[end]) as target:
        with uncollected() as held_bytes:
            await read(target.address)
            before = held_bytes()
            for _ in range(READS):
                await read(target.address)
            assert held_bytes() - before < len(PART)


async def test_the_call_that_holds_most_gives_way_to_the_others():
    """Guards against sound answers that are lost as another one has no end."""
    client = WholeAnswerClient(force_instance=True, max_held_bytes=MOST_BYTES)
    endless = HEAD + b"\r\n" + PART * 8
    async with ScriptedTarget([endless]) as large, ScriptedTarget([SOUND]) as small:
        urls = [f"http://{each.address}/x" for each in (large, small, small)]
        got = await asyncio.gather(
            *[client.fetch(url, request_timeout=LONGEST_S) for url in urls],
            return_exceptions=True,
        )
    assert "at once" in str(got[0])
    assert [each.body for each in got[1:]] == [PART[:1000]] * 2
    client.close()
