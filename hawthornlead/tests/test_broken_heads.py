"""Targets, stores and VMs whose answers have an invalid status or field."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from result import Err
from tornado import httputil

from hawthornlead.engines.targets import TargetClient
from hawthornlead.errors import ErrorKind
from hawthornlead.gateway.engine_calls import EngineCalls
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.records import (
    EngineOrder,
    OrderKind,
    OrderOutcome,
    StoredRecord,
)
from hawthornlead.gateway.store_clients import StoreClient
from hawthornlead.gateway.target_connections import TargetConnections, WholeAnswer
from hawthornlead.gateway.target_probes import ProbeResult, TargetProbes
from hawthornlead.metric_library import CollectorRegistry
from hawthornlead.operators.queries import query_vm
from hawthornlead.ownership.platforms import VmList
from hawthornlead.platform.configurations import read_configuration
from hawthornlead.platform.targets import read_target
from hawthornlead.settings import default_settings
from hawthornlead.stores.http_stores import HttpObjectStore
from hawthornlead.stores.stores import may_have_taken_effect
from hawthornlead.timers import TimerService

from .gateways import MODEL, Deployment, configuration
from .standins.broken_target import (
    BODY,
    BROKEN_ANSWERS,
    BrokenTarget,
    broken_answer,
)
from .standins.platform_engine import PlatformEngine
from .standins.scripted_target import ScriptedTarget
from .test_exchange_responses import read_one
from .test_joined_answers import LONGEST_S
from .test_request_relays import unreaching

KINDS = pytest.mark.parametrize("kind", list(BROKEN_ANSWERS))
SOME_KINDS = pytest.mark.parametrize(
    "kind", ["status 000", "status 999", "switch", "field b'Bad Name: x'"]
)
TO_ENGINES = {"Model": MODEL, "Token-Usage": "10,40"}


@asynccontextmanager
async def broken(kind: str, model: str = "", vms: int = 1, count: int = 1):
    """Start a deployment in which targets of broken answers alone serve a service.

    Yields the deployment, these targets and the sound ones.
    """
    service = "llm" if model else "plain"
    names = [f"broken-{number}" for number in range(count)]
    targets = [BrokenTarget(name, service, model) for name in names]
    async with Deployment(vms=vms) as deployment:
        sound = deployment.engines if model else deployment.plains
        for other in sound:
            deployment.store.remove("servers", other.target)
        for target in targets:
            target.answer = BROKEN_ANSWERS[kind]
            await target.begin()
            deployment.register(target)
        for gateway in deployment.gateways:
            await deployment.until(
                lambda gateway=gateway: serving(gateway, service) == set(names)
            )
        try:
            yield deployment, targets, sound
        finally:
            for target in targets:
                await target.stop()


def serving(gateway, service: str) -> set[str]:
    """Return the targets of a service that a VM knows."""
    entries = gateway._targets.entries.values()
    return {entry.target for entry in entries if entry.service == service}


# Callers


@KINDS
async def test_a_broken_answer_fails_at_once_and_without_a_promise(kind):
    """Guards against an answer with no status that a caller gets as an answer."""
    async with broken(kind) as (deployment, (target,), _):
        answer = await deployment.ask("/unsafe/x")
        assert (answer.status, answer.whole) == (502, True)
        assert target.begun == 1
        assert "Server-Seal" not in answer.headers
        assert b"data: x" not in answer.body


@SOME_KINDS
async def test_a_safe_request_with_a_broken_answer_goes_to_another_target(kind):
    """Guards against a broken answer that a caller gets while another target serves."""
    async with broken(kind) as (deployment, (target,), (sound, *_)):
        answer = await deployment.ask_before(target, sound)
        assert answer.status == 200
        assert len(sound.ran) == 1


@SOME_KINDS
async def test_no_event_of_a_broken_answer_reaches_the_caller_of_a_stream(kind):
    """Guards against a stream that is made of a broken answer."""
    async with broken(kind, MODEL) as (deployment, _, __):
        answer = await deployment.ask("/stream/x", **TO_ENGINES)
        assert answer.status >= 500
        assert b"data: x" not in answer.body


@SOME_KINDS
async def test_a_broken_answer_fails_a_relayed_request(kind):
    """Guards against a VM that relays a broken answer to the VM of the caller."""
    async with broken(kind, vms=2, count=2) as (deployment, targets, _):
        deployment.plains = targets
        async with unreaching(deployment):
            answer = await deployment.ask("/unsafe/x")
        assert answer.status == 502
        assert sum(target.begun for target in targets) == 1


# Readers


@pytest.fixture
async def platform():
    """A stand-in that answers each connection with the one answer of its list."""
    answers: list[bytes] = []
    async with ScriptedTarget(answers) as target:
        yield target, answers


@KINDS
async def test_no_broken_head_is_one_of_an_answer(platform, kind):
    """Guards against a broken answer that is read under its target's connection."""
    target, answers = platform
    answers[:] = [BROKEN_ANSWERS[kind].replace(b"%s", b"own")]
    connections = TargetConnections(timers=TimerService())
    sink = WholeAnswer()
    exchange = (await connections.open(target.address)).ok_value
    headers = httputil.HTTPHeaders({"Host": "h"})
    exchange.send("GET", "/x", headers, b"", request_id="own", sink=sink)
    await asyncio.wait([exchange.ended], timeout=LONGEST_S)
    assert exchange.ended.done()
    assert (sink.head, sink.body, exchange.whole) == (None, b"", False)
    assert exchange.follow_up() is None


async def test_statuses_that_http_knows_by_their_class_are_passed_on(platform):
    """Guards against a check that refuses the statuses of sound targets."""
    target, answers = platform
    connections = TargetConnections(timers=TimerService())
    for status in (200, 299, 399, 418, 499, 500, 599):
        sent = broken_answer(b"%d" % status).replace(b"%s", b"own")
        answers[:] = [b"HTTP/1.1 103 Early Hints\r\n\r\n" + sent]
        sink = WholeAnswer()
        exchange = (await connections.open(target.address, fresh=True)).ok_value
        headers = httputil.HTTPHeaders({"Host": "h"})
        exchange.send("GET", "/x", headers, b"", request_id="own", sink=sink)
        await asyncio.wait([exchange.ended], timeout=LONGEST_S)
        assert (sink.head.status, exchange.whole) == (status, True)


@KINDS
async def test_a_broken_answer_is_none_of_a_control_call(platform, kind):
    """Guards against orders, reports and probes that are read from a broken head."""
    target, answers = platform
    sent = BROKEN_ANSWERS[kind].replace(b"Request-Id: %s\r\n", b"")
    answers[:] = [sent]
    timers = TimerService()
    connections = TargetConnections(timers=timers)
    calls = EngineCalls(connections=connections)
    assert (await calls.report(target.address, "e1")).is_err()
    order = EngineOrder(OrderKind.LOAD, MODEL, "a1", 0, 1, "vm-1", 1)
    outcome = await calls.order(target.address, "e1", order, lambda: True, LONGEST_S)
    assert outcome is OrderOutcome.UNKNOWN
    probes = TargetProbes(
        connections=connections,
        timers=timers,
        metrics=GatewayMetrics(CollectorRegistry()),
    )
    main = StoredRecord("main", 1, configuration(1), None)
    spec = read_configuration(main).service("llm")
    engine = PlatformEngine("e1", "llm", MODEL)
    engine.address = target.address
    known = read_target(StoredRecord("e1", 1, engine.entry(), None))
    assert await probes.probe(known, spec) is ProbeResult.NOTHING
    assert await probes.identify(known, spec) is ProbeResult.UNKNOWN


@KINDS
async def test_a_broken_answer_of_a_store_is_none(platform, kind):
    """Guards against objects, lists and writes that are read from a broken head."""
    target, answers = platform
    answers[:] = [BROKEN_ANSWERS[kind]]
    settings = default_settings(
        STORE_ADDRESS=target.address, VM_LIST_ADDRESS=target.address
    )
    timers = TimerService()
    client = StoreClient(address=target.address, timers=timers)
    store = HttpObjectStore(settings=settings, timers=timers, rng=random.Random(1))
    vms = VmList(settings=settings, timers=timers)
    vms.start()
    for read in (
        await client.get("owners", "e1"),
        await client.create("owners", "e1", {}),
        await store._get("k", "n"),
        await vms.read(),
    ):
        assert read.err_value.kind is ErrorKind.STORE_UNAVAILABLE
        assert "Timeout" not in read.err_value.detail
    assert may_have_taken_effect((await store._put("k", "n", {}, None)).err_value)
    client.close()
    await store.stop()
    await vms.stop()


@KINDS
async def test_a_broken_response_of_a_signed_bundles_target_is_none(kind):
    """Guards against a broken response that a caller of signed bundles gets."""
    got = await read_one(BROKEN_ANSWERS[kind], closes=False)
    assert (got.status, got.passed) == (0, b"")


@KINDS
async def test_a_broken_reply_confirms_nothing(platform, kind):
    """Guards against a cancel or a health check that is read from a broken head."""
    target, answers = platform
    answers[:] = [BROKEN_ANSWERS[kind]]
    client = TargetClient(target.address, rng=random.Random(1))
    for got in (await client.cancel("r.1"), await client.health()):
        assert isinstance(got, Err)
        assert got.err_value.kind is ErrorKind.TARGET_LOST
        assert "Timeout" not in got.err_value.detail


@KINDS
async def test_a_broken_answer_to_an_operator_is_an_error(platform, kind):
    """Guards against a query that takes its answer from a broken head."""
    target, answers = platform
    answers[:] = [BROKEN_ANSWERS[kind].replace(BODY, b'{"vms": {}}    ')]
    got = await asyncio.to_thread(query_vm, target.address, "/status", {})
    assert got.err_value.kind is ErrorKind.PEER_UNAVAILABLE
