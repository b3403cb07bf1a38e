"""Targets that stop in the middle of a response's head and close the connection."""

import asyncio
import itertools
from functools import partial
from typing import NamedTuple

import pytest
from tornado import httputil

from hawthornlead.gateway.engine_calls import EngineCalls
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.records import (
    EngineOrder,
    OrderKind,
    OrderOutcome,
    StoredRecord,
)
from hawthornlead.gateway.stream_relays import CallerStream, StreamRelay
from hawthornlead.gateway.target_connections import TargetConnections, WholeAnswer
from hawthornlead.gateway.target_probes import ProbeResult, TargetProbes
from hawthornlead.metric_library import CollectorRegistry
from hawthornlead.platform.configurations import read_configuration
from hawthornlead.platform.targets import read_target
from hawthornlead.timers import TimerService

from .gateways import MODEL, configuration
from .standins.scripted_target import ScriptedTarget, answer_bytes
from .standins.truncating_fronts import TruncatingTarget
from .test_joined_answers import EVENT, LONGEST_S, RecordedCall

BODY = b"the answer to its own request"
FRAMINGS = ("length", "chunks", "close")
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\n"
SEALED = b"Request-Id: own\r\nServer-Seal: seal\r\n"
CONTROL_PATHS = ("/v1/report", "/v1/order", "/health")


class Got(NamedTuple):
    """What was read for a request; ``status`` 0 if no whole answer was."""

    status: int
    body: bytes
    kept: bool


class Reader:
    """Requests to one stand-in, each on a new connection, whose answer is given."""

    def __init__(self, target: ScriptedTarget, answers: list[bytes]):
        self._target = target
        self._answers = answers
        self._connections = TargetConnections(timers=TimerService())

    async def read(
        self, answer: bytes, request_id: str = "own", method: str = "GET", sink=None
    ) -> Got:
        """Send a request, and return what is taken for its answer."""
        self._answers[:] = [answer]
        sink = sink or WholeAnswer()
        opened = await self._connections.open(self._target.address, fresh=True)
        exchange = opened.ok_value
        headers = httputil.HTTPHeaders({"Host": "h"})
        exchange.send(method, "/x", headers, b"", request_id=request_id, sink=sink)
        await asyncio.wait([exchange.ended], timeout=LONGEST_S)
        assert exchange.ended.done(), answer
        whole = sink.head is not None and exchange.whole
        kept = exchange.follow_up() is not None
        exchange.close()
        body = sink.body if isinstance(sink, WholeAnswer) else b""
        return Got(sink.head.status if whole else 0, body, kept)


@pytest.fixture(params=[False, True], ids=["closed", "reset"])
async def resets(request):
    """Whether the connection is reset at the end."""
    return request.param


@pytest.fixture
async def reader(resets):
    """Requests to a target that closes after its answer, in order or by a reset."""
    answers: list[bytes] = []
    async with ScriptedTarget(answers, closes=True, resets=resets) as target:
        yield Reader(target, answers)


def head_of(answer: bytes) -> bytes:
    """Return the head of an answer."""
    return answer.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"


async def assert_none(reader: Reader, head: bytes, request_id: str = "own") -> None:
    """Check that no part of a head is taken for an answer."""
    for length in range(len(head)):
        got = await reader.read(head[:length], request_id)
        assert got == Got(0, b"", kept=False), head[:length]


async def test_no_part_of_a_head_is_an_answer(reader):
    """Guards against a success whose target has sent a part of its head."""
    for framing, status in itertools.product(FRAMINGS, (200, 503)):
        head = head_of(answer_bytes(status, "own", BODY, framing, 1))
        await assert_none(reader, head)


async def test_no_part_of_a_head_answers_a_control_call(reader):
    """Guards against an order that takes its outcome from a part of a head."""
    for framing in FRAMINGS:
        await assert_none(reader, head_of(answer_bytes(202, "", b"{}", framing, 0)), "")


async def test_no_part_of_another_form_of_a_head_is_an_answer(reader):
    """Guards against heads that end early by line ends, version or interim heads."""
    for framing, before in itertools.product(FRAMINGS, (b"", CONTINUE, HINTS)):
        head = before + head_of(answer_bytes(200, "own", BODY, framing, 0))
        await assert_none(reader, head.replace(b"\r\n", b"\n"))
        await assert_none(reader, head.replace(b"HTTP/1.1 200", b"HTTP/1.0 200"))


async def test_a_whole_head_with_nothing_behind_it(reader, resets):
    """Guards against an empty body where the target had one to send.

    A head with neither a length nor chunks is a whole answer by HTTP if its connection
    is closed in order, and none if it is reset.
    """
    for before in (b"", CONTINUE, HINTS):
        for framing in ("length", "chunks"):
            head = before + head_of(answer_bytes(200, "own", BODY, framing, 0))
            assert (await reader.read(head)).status == 0
        head = before + head_of(answer_bytes(200, "own", BODY, "close", 0))
        for form in (
            head,
            head.replace(b"\r\n", b"\n"),
            head.replace(b"1.1 2", b"1.0 2"),
        ):
            assert await reader.read(form) == Got(0 if resets else 200, b"", kept=False)


async def test_a_body_without_a_length_that_is_reset_is_none(reader, resets):
    """Guards against a body whose end was lost with its connection."""
    answer = answer_bytes(200, "own", BODY, "close", 0)
    head = head_of(answer)
    for length in range(len(head), len(answer) + 1):
        got = await reader.read(answer[:length])
        assert got.status == (0 if resets else 200), answer[:length]


async def test_no_part_of_a_framed_body_is_whole(reader):
    """Guards against a short body that is framed as complete."""
    for framing in ("length", "chunks"):
        answer = answer_bytes(200, "own", BODY, framing, 0)
        for length in range(len(head_of(answer)), len(answer)):
            assert (await reader.read(answer[:length])).status == 0, answer[:length]
        assert (await reader.read(answer)).body == BODY


async def test_an_answer_without_a_body_ends_with_its_head(reader, resets):
    """Guards against a complete success that counts as cut by what comes after it."""
    for status in (204, 304):
        head = b"HTTP/1.1 %d Some Reason\r\n%s\r\n" % (status, SEALED)
        await assert_none(reader, head)
        assert (await reader.read(head)).status == status
    empty = b"HTTP/1.1 200 Some Reason\r\n%sContent-Length: 0\r\n\r\n" % SEALED
    assert (await reader.read(empty)).status == 200
    unframed = b"HTTP/1.1 200 Some Reason\r\n%s\r\n" % SEALED
    assert (await reader.read(unframed, method="HEAD")).status == 200
    # This one has a body by HTTP, which should be empty.
    reset_content = b"HTTP/1.1 205 Some Reason\r\n%s\r\n" % SEALED
    await assert_none(reader, reset_content)
    assert (await reader.read(reset_content)).status == (0 if resets else 205)


async def test_no_part_of_a_streams_head_reaches_its_caller(reader):
    """Guards against a stream that begins, or ends, with a part of a head."""
    for framing in FRAMINGS:
        answer = answer_bytes(200, "own", EVENT * 2, framing, 0)
        for length in range(len(head_of(answer)) + 1):
            call = RecordedCall()
            relay = StreamRelay(CallerStream(call), TimerService().now)
            got = await reader.read(answer[:length], sink=relay)
            assert not call.answered
            whole = framing == "close" and length == len(head_of(answer))
            assert relay.accepted is (length == len(head_of(answer)))
            assert got.status == 0 or whole


# Control calls


@pytest.fixture
async def engine(resets):
    """An engine that stops in the answers of its control interface."""
    target = TruncatingTarget("e1", "llm", CONTROL_PATHS, MODEL)
    await target.begin()
    target.front.resets = resets
    yield target
    await target.stop()


async def cuts(engine: TruncatingTarget, call, framing: str):
    """Have the engine stop at each byte of its head's answer to a call."""
    engine.front.framing, engine.front.cut = framing, None
    await call()
    for cut in range(engine.front.lengths[-1]):
        engine.front.cut = cut
        yield cut


async def test_a_report_that_stops_in_its_head_is_an_error(engine):
    """Guards against an engine whose state is read from a part of a report."""
    calls = EngineCalls(connections=TargetConnections(timers=TimerService()))

    async def report():
        return await calls.report(engine.address, engine.target)

    for framing in FRAMINGS:
        async for _ in cuts(engine, report, framing):
            assert (await report()).is_err()
        engine.front.cut = engine.front.lengths[-1]
        assert (await report()).is_err()


async def test_an_order_whose_answer_stops_in_its_head_is_unknown(engine, resets):
    """Guards against an order that counts as taken, or as refused, by half a head."""
    calls = EngineCalls(connections=TargetConnections(timers=TimerService()))

    async def order(count=None):
        count = engine.order_count if count is None else count
        given = EngineOrder(OrderKind.UNLOAD, MODEL, "a1", 0, count, "vm-1", 1)
        return await calls.order(
            engine.address, engine.target, given, lambda: True, LONGEST_S
        )

    for framing in FRAMINGS:
        async for cut in cuts(engine, order, framing):
            before = engine.order_count
            assert await order() is OrderOutcome.UNKNOWN, cut
            assert engine.order_count == before + 1
            # A refusal that is cut is no refusal either.
            assert await order(-1) is OrderOutcome.UNKNOWN, cut
        engine.front.cut = engine.front.lengths[-1]
        whole = framing == "close" and not resets
        expected = OrderOutcome.HOLDS_ALREADY if whole else OrderOutcome.UNKNOWN
        assert await order() is expected


async def test_a_probe_whose_answer_stops_in_its_head_finds_nothing(engine, resets):
    """Guards against a target that counts as alive, or as another, by half a head."""
    probes = TargetProbes(
        connections=TargetConnections(timers=TimerService()),
        timers=TimerService(),
        metrics=GatewayMetrics(CollectorRegistry()),
    )
    main = StoredRecord("main", 1, configuration(1), None)
    spec = read_configuration(main).service("llm")
    entry = read_target(StoredRecord(engine.target, 1, engine.entry(), None))
    other = entry._replace(target="e9")
    for framing, asked in itertools.product(FRAMINGS, (entry, other)):
        async for cut in cuts(engine, partial(probes.probe, asked, spec), framing):
            assert await probes.probe(asked, spec) is ProbeResult.NOTHING, cut
        async for cut in cuts(engine, partial(probes.identify, asked, spec), framing):
            assert await probes.identify(asked, spec) is ProbeResult.UNKNOWN, cut
    for framing in FRAMINGS:
        whole = framing == "close" and not resets
        engine.front.framing, engine.front.cut = framing, None
        await probes.probe(entry, spec)
        engine.front.cut = engine.front.lengths[-1]
        expected = ProbeResult.ALIVE if whole else ProbeResult.NOTHING
        assert await probes.probe(entry, spec) is expected
