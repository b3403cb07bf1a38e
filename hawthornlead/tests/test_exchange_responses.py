"""Tests of which bytes an exchange with a target takes for the response."""

import asyncio
import itertools
import socket
import struct
from typing import NamedTuple

from result import Err
from tornado.httputil import HTTPHeaders

from hawthornlead.callers.relays import AnswerCheck, Expected
from hawthornlead.engines.exchanges import (
    DataCallback,
    Exchange,
    Naming,
    TargetConnections,
)
from hawthornlead.timers import TimerService

from .standins.scripted_target import ScriptedTarget, answer_bytes
from .test_relays import stream

OWN_BODY = b"the response to its own request"
OTHER_BODY = b"what another caller has asked for, " * 3
FRAMINGS = ("length", "chunks", "close")
# Far longer than any of these responses takes.
LONGEST_S = 20.0


class Got(NamedTuple):
    """What was taken for the response; ``status`` is 0 if nothing was.

    ``passed`` is what was passed on of the body, ``failure`` the text of the failure.
    """

    status: int
    passed: bytes
    failure: str = ""


def response(status: int, attempt_id: str, body: bytes, framing: str, place=0) -> bytes:
    """Return a response's bytes; it names no attempt if ``attempt_id`` is empty."""
    sent = answer_bytes(status, attempt_id, body, framing, place)
    return sent.replace(b"Request-Id:", b"Hawthornlead-Attempt:")


def head_length(sent: bytes) -> int:
    """Return the length of a response's head."""
    return sent.index(b"\r\n\r\n") + 4


async def ask(exchange: Exchange, on_data: DataCallback | None = None) -> Got:
    """Send a request on an exchange and read the response to its end."""
    passed = bytearray()
    sent = await exchange.send(
        "GET", "/x", HTTPHeaders(), b"", on_data or passed.extend, LONGEST_S
    )
    if isinstance(sent, Err):
        return Got(0, bytes(passed), sent.err_value.detail)
    ended = await exchange.read_to_end(LONGEST_S)
    if isinstance(ended, Err):
        return Got(0, bytes(passed), ended.err_value.detail)
    return Got(sent.ok_value.status, bytes(passed))


async def read_one(
    sent: bytes, *, closes: bool, on_data: DataCallback | None = None
) -> Got:
    """Return what is taken for the response on a new connection."""
    connections = TargetConnections(timers=TimerService())
    async with ScriptedTarget([sent], closes=closes) as target:
        exchange = (await connections.open(target.address, Naming.EVENTS)).ok_value
        got = await ask(exchange, on_data)
        exchange.close()
        return got


async def read_joined(first: bytes, own: bytes, lengths: range) -> list[Got]:
    """Return what is taken where a part of a response is followed by another one."""
    closes = b"Content-Length" not in first and b"chunked" not in first
    return await asyncio.gather(
        *(read_one(first[:length] + own, closes=closes) for length in lengths)
    )


async def test_a_head_made_of_two_responses_is_none():
    """Guards against a failure that is read under the status of another response."""
    joints = 0
    for framing, place, attempt in itertools.product(FRAMINGS, (0, 1, 3), ("", "r.1")):
        first = response(200, attempt, OTHER_BODY, framing, place)
        lengths = range(1, head_length(first))
        for status in (200, 503):
            own = response(status, attempt, OWN_BODY, "length", place)
            for got in await read_joined(first, own, lengths):
                assert got.status == 0
                assert got.passed == b""
                joints += "another response" in got.failure
    assert joints


async def test_a_body_with_the_head_of_another_response_is_none():
    """Guards against a body that is part of one response and part of another.

    The failure of a service need not name the attempt, nor need the services that name
    none, so that each head counts.
    """
    for framing, attempt, other in itertools.product(
        FRAMINGS, ("", "r.1"), ("", "r.1", "r.2")
    ):
        first = response(200, attempt, OWN_BODY * 20, framing)
        lengths = range(head_length(first), len(first), 7)
        for status, following in ((200, "length"), (200, "chunks"), (500, "length")):
            own = response(status, other, OWN_BODY, following)
            for got in await read_joined(first, own, lengths):
                assert got.status == 0
                assert b"Content-Type" not in got.passed


async def test_no_event_of_a_stream_has_another_response_in_it():
    """Guards against an event of an engine that goes on with another response.

    The check of the events looks at their indexes and their number. An event that was
    cut, the head of the next response and its first event read as one event.
    """
    events = stream(texts=["some text"] * 3)
    first = response(200, "", b"".join(events), "close")
    # The second response breaks off after its first event.
    own = response(200, "", events[0], "close")
    for length in range(head_length(first), len(first)):
        check = AnswerCheck(Expected("r.1", "tide", "3", 0))
        passed = bytearray()

        def forward(data, check=check, passed=passed):
            passed.extend(check.feed(data).unwrap_or(b""))

        await read_one(first[:length] + own, closes=True, on_data=forward)
        assert b"HTTP/1." not in passed


async def test_a_head_that_fills_up_a_body_makes_it_none():
    """Guards against a body whose last bytes are the first ones of another response."""
    first = response(200, "r.1", OTHER_BODY, "length")
    own = response(500, "", OWN_BODY, "length")
    lengths = range(len(first) - 60, len(first))
    for length, got in zip(
        lengths, await read_joined(first, own, lengths), strict=True
    ):
        # Fewer bytes than the beginning of a status line tell nothing.
        assert got.status == 0 or length > len(first) - len(b"HTTP/1.")


async def test_a_body_may_hold_a_response_where_its_type_says_so():
    """Guards against a service that can't return recorded HTTP messages."""
    quoted = response(200, "", OWN_BODY, "length")
    named = response(200, "r.2", OWN_BODY, "length")
    for kind, body, status in (
        (b"application/http", quoted, 200),
        (b"multipart/mixed; boundary=x", quoted, 200),
        (b"message/http", named, 0),
        (b"text/plain", quoted, 0),
        (b"text/plain", b"the line HTTP/1.1 200 OK\r\nbegins a response", 200),
        (b"text/plain", b"it ends in HTTP/1.1 200 OK", 200),
        (b"text/plain", b"HTTP/1.1 200 OK\r\nServer", 0),
        (b"text/plain", b"HTTP/1.1 200 OK\r\n\r\n", 0),
    ):
        sent = response(200, "r.1", body, "length").replace(b"a/b", kind)
        got = await read_one(sent, closes=False)
        assert got.status == status, (kind, body)


async def read_closed(sent: bytes, *, resets: bool) -> Got:
    """Return what is taken of a response after which the connection is closed."""
    received = asyncio.Event()
    passed = bytearray()

    def on_data(data):
        passed.extend(data)
        received.set()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        await received.wait()
        if resets:
            linger = struct.pack("ii", 1, 0)
            connected = writer.get_extra_info("socket")
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connections = TargetConnections(timers=TimerService())
    exchange = (await connections.open(f"{host}:{port}", Naming.EVENTS)).ok_value
    got = await ask(exchange, on_data)
    exchange.close()
    server.close()
    return got._replace(passed=bytes(passed))


async def test_a_response_without_a_length_that_was_reset_is_not_whole():
    """Guards against a body that lost its end and counts as complete."""
    for framing in FRAMINGS:
        sent = response(200, "r.1", OWN_BODY, framing)
        assert await read_closed(sent, resets=False) == Got(200, OWN_BODY)
        whole = framing != "close"
        got = await read_closed(sent, resets=True)
        assert got.passed == OWN_BODY
        assert got.status == (200 if whole else 0), framing


async def test_a_response_without_a_length_that_was_given_up_is_not_whole():
    """Guards against the caller's own close that counts as the response's end.

    A response whose length was received is whole, however its connection ends.
    """
    connections = TargetConnections(timers=TimerService())
    for framing, status in (("close", 0), ("length", 200)):
        sent = response(200, "r.1", OWN_BODY, framing)
        async with ScriptedTarget([sent]) as target:
            opened = await connections.open(target.address, Naming.EVENTS)
            exchange = opened.ok_value
            got = await ask(exchange, lambda data, open_=exchange: open_.close())
            assert got.status == status


async def test_bytes_that_came_before_the_request_are_no_response_to_it():
    """Guards against what a target sends unasked, such as a greeting or a timeout."""
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    connections = TargetConnections(timers=TimerService())
    exchange = (await connections.open(address, Naming.EVENTS)).ok_value
    target, _ = listener.accept()
    target.sendall(response(200, "r.1", OWN_BODY, "length"))
    got = await ask(exchange)
    assert got.status == 0
    assert "before the request" in got.failure
    for opened in (exchange, target, listener):
        opened.close()
