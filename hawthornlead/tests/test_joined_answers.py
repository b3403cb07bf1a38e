"""Answers that break off and are followed by another one on the same connection."""

import asyncio
import itertools
from typing import NamedTuple

import pytest
from tornado import httputil

from hawthornlead.answers.joined_answers import BodyScanner
from hawthornlead.connections.connection_pools import ConnectionPool
from hawthornlead.gateway.records import EngineOrder, OrderKind, OrderOutcome
from hawthornlead.gateway.stream_relays import CallerStream, StreamRelay
from hawthornlead.gateway.target_connections import (
    AnswerSink,
    Exchange,
    TargetConnections,
    WholeAnswer,
)
from hawthornlead.timers import TimerService

from .gateways import MODEL, Deployment
from .standins.scripted_target import ScriptedTarget, answer_bytes
from .test_repeated_answers import warmed

OWN_BODY = b"the answer to its own request"
OTHER_BODY = b"what another caller has asked for, " * 3
EVENT = b"id: 1\ndata: some text\n\n"
FRAMINGS = ("length", "chunks", "close")
ID_PLACES = (0, 1, 3)
# Far longer than any of these takes; what lasts so long waits for its deadline.
LONGEST_S = 20.0
AT_ONCE = 32


class Got(NamedTuple):
    """What was read for a request; ``status`` 0 if no whole answer was."""

    status: int
    body: bytes
    in_time: bool


class RecordedCall:
    """A caller's call that records the events which it gets."""

    def __init__(self):
        self.events = b""
        self.answered = self.left = False

    def begin(self, status, reason, headers, chunk):
        """Record the first events."""
        self.answered = True
        self.events += chunk

    def write(self, chunk):
        """Record further events."""
        self.events += chunk


async def ask(
    connections: TargetConnections,
    address: str,
    sink: AnswerSink,
    request_id: str = "own",
    method: str = "GET",
) -> Exchange:
    """Send a request, and read its answer to the end or until it lasts too long."""
    exchange = (await connections.open(address, within_s=LONGEST_S)).ok_value
    headers = httputil.HTTPHeaders({"Host": "h"})
    exchange.send(method, "/x", headers, b"", request_id=request_id, sink=sink)
    await asyncio.wait([exchange.ended], timeout=LONGEST_S)
    return exchange


async def read_one(
    connections: TargetConnections,
    answer: bytes,
    *,
    closes: bool,
    request_id: str = "own",
    sink: WholeAnswer | StreamRelay | None = None,
    rest: bytes = b"",
) -> Got:
    """Return what is taken for the answer to a request, on one connection.

    The ``rest`` of what is sent follows a moment later.
    """
    sink = sink or WholeAnswer()
    async with ScriptedTarget([answer], closes=closes, rest=rest) as target:
        exchange = await ask(connections, target.address, sink, request_id)
        in_time = exchange.ended.done()
        whole = sink.head is not None and exchange.whole
        exchange.close()
        body = sink.body if isinstance(sink, WholeAnswer) else b""
        return Got(sink.head.status if whole else 0, body, in_time)


async def read_all(answers: list[bytes], *, closes: bool, request_id="own"):
    """Return what is taken for the answer, for each of many."""
    connections = TargetConnections(timers=TimerService())
    got = []
    for at in range(0, len(answers), AT_ONCE):
        reading = (
            read_one(connections, answer, closes=closes, request_id=request_id)
            for answer in answers[at : at + AT_ONCE]
        )
        got += await asyncio.gather(*reading)
    return got


async def assert_own_or_none(first: bytes, own: bytes, status: int, body: bytes):
    """Check what is read where each part of an answer is followed by a request's own.

    It is the request's own answer, or none, and it is known at once that none is.
    """
    closes = b"Content-Length" not in first and b"chunked" not in first
    cuts = [first[:length] + own for length in range(len(first))]
    for length, got in enumerate(await read_all(cuts, closes=closes)):
        assert got.in_time, first[:length]
        assert got.status in (0, status), first[:length]
        assert not got.status or got.body == body, first[:length]


async def test_an_answer_joined_to_that_of_another_request_is_none():
    """Guards against a success whose target had refused the request."""
    for framing, place in itertools.product(FRAMINGS, ID_PLACES):
        first = answer_bytes(200, "another", OTHER_BODY, framing, place)
        for status in (200, 503):
            own = answer_bytes(status, "own", OWN_BODY, "length", place)
            await assert_own_or_none(first, own, status, OWN_BODY)


async def test_an_answer_joined_to_its_own_copy_is_none():
    """Guards against a body that is part of one answer and part of its copy."""
    for framing, place in itertools.product(FRAMINGS, ID_PLACES):
        first = answer_bytes(200, "own", OWN_BODY, framing, place)
        for own_framing in ("length", "chunks"):
            own = answer_bytes(200, "own", OWN_BODY, own_framing, place)
            await assert_own_or_none(first, own, 200, OWN_BODY)


async def test_an_answer_joined_to_one_that_names_no_request_is_none():
    """Guards against a body with the error of a target, or a report, inside it."""
    body = OWN_BODY * 12
    first = answer_bytes(200, "own", body, "length", 0)
    for status, length in ((500, 10), (503, 400), (200, 50)):
        unnamed = answer_bytes(status, "", b"x" * length, "length", 0)
        start = first.index(b"\r\n\r\n") + 4
        cuts = [first[:cut] + unnamed for cut in range(start, len(first))]
        for got in await read_all(cuts, closes=False):
            assert got.in_time
            assert not got.status


async def test_what_follows_a_joined_answer_is_not_read():
    """Guards against a refusal that is read behind bytes known to be no answer."""
    stray = answer_bytes(200, "another", OTHER_BODY * 3, "length", 0)
    own = answer_bytes(500, "own", b"failed", "length", 0)
    cut = stray[: len(stray) - len(own)]
    got = await read_all(
        [cut + own + answer_bytes(503, "", b"", "length", 0)], closes=False
    )
    assert not got[0].status


async def test_an_answer_to_another_request_ends_a_request_for_a_head():
    """Guards against the body of another's answer that is read as a head."""
    body = b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n"
    stray = answer_bytes(200, "another", body, "length", 0)
    connections = TargetConnections(timers=TimerService())
    async with ScriptedTarget([stray]) as target:
        exchange = await ask(connections, target.address, WholeAnswer(), method="HEAD")
        assert exchange.ended.done()
        assert not exchange.whole
        exchange.close()


async def test_a_long_answer_that_its_copy_fits_into_is_none():
    """Guards against a body that has its own copy, head and all, inside it."""
    body = OWN_BODY * 12
    first = answer_bytes(200, "own", body, "length", 0)
    own = answer_bytes(200, "own", body, "length", 0)
    await assert_own_or_none(first, own, 200, body)


@pytest.mark.parametrize("first_part", range(4, 60, 5))
async def test_an_answer_joined_to_its_copy_that_comes_in_parts_is_none(first_part):
    """Guards against a body filled up by a head whose rest has not arrived yet."""
    own = answer_bytes(200, "own", OWN_BODY * 4, "length", 0)
    sent = own[: len(own) - first_part] + own[:first_part]
    got = await read_one(
        TargetConnections(timers=TimerService()),
        sent,
        closes=False,
        rest=own[first_part:],
    )
    assert got.in_time
    assert not got.status


@pytest.mark.parametrize(
    "end",
    (b"by HTTP", b"GET / HTTP/1.1", b"HTTP/1.1 200 OK", b"HTTP/1.1 404 x\nA: b\n"),
)
async def test_a_body_that_ends_in_a_status_line_is_whole(end):
    """Guards against texts about HTTP that reach no caller."""
    own = answer_bytes(200, "own", OWN_BODY + end, "length", 0)
    (got,) = await read_all([own], closes=False)
    assert (got.status, got.body) == (200, OWN_BODY + end)


async def test_an_answer_without_a_reason_is_whole():
    """Guards against a response that no caller gets since its status has no reason."""
    own = answer_bytes(200, "own", OWN_BODY, "length", 0)
    own = own.replace(b" Some Reason", b" ")
    sink = WholeAnswer()
    got = await read_one(
        TargetConnections(timers=TimerService()), own, closes=False, sink=sink
    )
    assert (got.status, got.body) == (200, OWN_BODY)
    assert sink.head.reason == ""


def test_only_what_may_be_a_head_is_waited_for():
    """Guards against a delay of every text that quotes a status line."""
    for end, waits in (
        (b"HTTP", True),
        (b"HTTP/1.1 503 Some Reason\r\nContent-Ty", True),
        (b"HTT", False),
        (b"HTTP is a protocol", False),
        (b"HTTP/1.1 200 OK" + b"." * 100, False),
        (b"HTTP/1.1 200 OK\nby a line", False),
        (b"HTTP/1.1 200 OK\r\na line of text\r\n", False),
    ):
        scanner = BodyScanner()
        assert not scanner.feed(b"some text " + end)
        assert scanner.may_end_inside(b"") is waits, end


async def test_nothing_follows_an_answer_to_another_request_without_an_end():
    """Guards against a request that waits for its deadline behind such an answer."""
    stray = answer_bytes(200, "another", OTHER_BODY, "close", 0)
    got = await read_all([stray], closes=False)
    assert got[0].in_time
    assert not got[0].status


async def test_an_answer_joined_to_that_of_a_control_call_is_none():
    """Guards against an order or a report that takes a status from another answer."""
    for framing, place in itertools.product(FRAMINGS, ID_PLACES):
        first = answer_bytes(200, "another", b"{}", framing, place)
        own = answer_bytes(409, "", b"{}", "length", place)
        cuts = [first[:length] + own for length in range(first.index(b"\r\n\r\n"))]
        for got in await read_all(cuts, closes=False, request_id=""):
            assert got.in_time
            assert got.status in (0, 409)


async def test_no_caller_gets_a_success_where_its_target_failed():
    """Guards against a failure that reaches its caller under another's status."""
    async with Deployment(vms=1) as deployment:
        plain, other = deployment.plains
        deployment.store.remove("servers", other.target)
        known = deployment.gateways[0]._targets.entries
        await deployment.until(lambda: other.target not in known)
        plain.repeats.least = 200
        for place, cut in itertools.product((0, 2), range(1, 90)):
            plain.repeats.id_place, plain.repeats.cut = place, cut
            assert (await deployment.ask("/unsafe/x")).status == 200
            plain.faults.append("fail")
            answer = await deployment.ask("/unsafe/x")
            assert answer.status in (500, 502), cut
        assert plain.repeats.sent >= 170
        broken = deployment.gateways[0]._parts.metrics.broken_answers
        assert broken.labels("joined_head")._value.get() > 0


async def test_no_event_of_a_stream_has_another_answer_in_it():
    """Guards against a stream that goes on with the bytes of another answer."""
    copy = answer_bytes(200, "own", EVENT * 2, "chunks", 0)
    head, _, _ = answer_bytes(200, "own", b"", "close", 0).partition(b"\r\n\r\n")
    chunked = head + b"\r\nTransfer-Encoding: chunked"
    for start, cut in itertools.product((head, chunked), range(len(EVENT))):
        size = b"%x\r\n" % len(EVENT + copy) if start is chunked else b""
        sent = start + b"\r\n\r\n" + size + EVENT + EVENT[:cut] + copy
        call = RecordedCall()
        relay = StreamRelay(CallerStream(call), TimerService().now)
        connections = TargetConnections(timers=TimerService())
        got = await read_one(connections, sent, closes=start is head, sink=relay)
        assert got.in_time
        assert got.status == 0
        assert call.events in (b"", EVENT)


async def test_a_caller_of_a_joined_stream_sees_that_it_is_cut():
    """Guards against a stream of two answers that looks complete to its caller."""
    async with Deployment(software=("v1",)) as deployment:
        engine, vm = await warmed(deployment)
        copy = answer_bytes(200, "own", EVENT * 2, "length", 0)
        engine.joined = b"%x\r\n" % len(EVENT + copy) + EVENT[:9] + copy
        engine.faults.append("joined")
        answer = await deployment.ask("/stream/x", vm=vm, Model=f"{MODEL}/a7")
        assert answer.status == 200
        assert not answer.whole
        assert b"HTTP/1." not in answer.body


async def test_a_stream_that_ends_inside_an_event_is_cut():
    """Guards against a stream without its last piece that looks complete."""
    async with Deployment(software=("v1",)) as deployment:
        engine, vm = await warmed(deployment)
        engine.joined = b"%x\r\n%s\r\n0\r\n\r\n" % (9, EVENT[:9])
        engine.faults.append("joined")
        answer = await deployment.ask("/stream/x", vm=vm, Model=f"{MODEL}/a7")
        assert answer.status == 200
        assert not answer.whole


async def test_a_connection_with_bytes_that_nobody_asked_for_is_not_used_again():
    """Guards against a late answer that is read ahead of the next request's own."""
    pool = ConnectionPool(timers=TimerService(), connect_s=1.0, unacknowledged_s=1.0)
    async with ScriptedTarget([b"late"]) as target:
        first = (await pool.open(target.address)).ok_value
        pool.keep(target.address, first, 60.0)
        assert not first.stream.closed()
        await first.stream.write(b"\r\n\r\n")
        while not first.unread:
            await asyncio.sleep(0.01)
        second = (await pool.open(target.address)).ok_value
        assert second is not first
        assert first.stream.closed()
        await second.stream.write(b"\r\n\r\n")
        await second.stream.read_bytes(1)
        pool.keep(target.address, second, 60.0)
        assert second.stream.closed()


async def test_a_connection_with_bytes_after_its_answer_is_not_kept():
    """Guards against bytes after an answer that are read ahead of the next one."""
    answer = answer_bytes(200, "own", OWN_BODY, "length", 0)
    connections = TargetConnections(timers=TimerService())
    for extra in (b"", b"\r\n", b"more", answer):
        async with ScriptedTarget([answer + extra]) as target:
            exchange = await ask(connections, target.address, WholeAnswer())
            assert exchange.whole
            kept = not extra.strip()
            assert (exchange.follow_up() is not None) is kept
            exchange.close()


async def test_an_order_takes_no_status_from_another_answer():
    """Guards against an order that counts as accepted though it was refused."""
    async with Deployment() as deployment:
        engine, vm = await warmed(deployment)
        calls = deployment.gateways[vm]._engine_manager._calls
        engine.repeats.least = 200
        engine.repeats.id_place = 9
        passed = EngineOrder(OrderKind.LOAD, MODEL, "a9", 0, -1, "vm-x", 1)
        for cut in range(1, 60):
            engine.repeats.cut = cut
            await deployment.ask("/stream/x", vm=vm, Model=f"{MODEL}/a7")
            told = await calls.order(
                engine.address, engine.target, passed, lambda: True, LONGEST_S
            )
            assert told in (OrderOutcome.CONFLICT, OrderOutcome.UNKNOWN), cut
