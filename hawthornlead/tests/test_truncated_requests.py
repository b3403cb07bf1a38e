"""What callers get where a target, or another VM, stops in a response's head."""

import asyncio
import itertools
from collections import defaultdict
from contextlib import AsyncExitStack, asynccontextmanager

from .gateways import MODEL, ClientAnswer, Deployment
from .standins.truncating_fronts import TruncatingFront, TruncatingTarget
from .test_request_relays import runs, unreaching

FRAMINGS = ("length", "chunks", "close")
ENDS = tuple(itertools.product(FRAMINGS, (False, True)))
# These promise that a request hasn't run and never will.
PROMISES = (408, 421, 429, 503)
PATHS = ("/unsafe/", "/safe/", "/stream/", "/resume/")
EVENT_IDS = (b"id: 1", b"id: 2", b"id: 3", b"id: 4")


@asynccontextmanager
async def truncating(model: str = "", count: int = 1, paths: tuple = PATHS):
    """Start a deployment where all targets of a service truncate their answers.

    They do so at ``paths``. Yields the deployment and the targets.
    """
    service = "llm" if model else "plain"
    targets = [
        TruncatingTarget(f"{service}-{number}", service, paths, model)
        for number in range(count)
    ]
    async with Deployment(vms=1) as deployment:
        former = deployment.engines if model else deployment.plains
        for other in former:
            deployment.store.remove("servers", other.target)
        for target in targets:
            await target.begin()
            target.front.cut, target.event_s = None, 0.0
            deployment.register(target)
        known = deployment.gateways[0]._targets.entries
        await deployment.until(lambda: all(each.target in known for each in targets))
        await deployment.until(lambda: not any(each.target in known for each in former))
        try:
            yield deployment, targets
        finally:
            for target in targets:
                await target.stop()


def truncate_next(
    targets: list[TruncatingTarget], cut: int, framing: str, resets: bool
):
    """Have the target that is asked first truncate its answer, and no other."""
    due = [True]
    for target in targets:
        front = target.front
        front.cut, front.framing, front.resets = cut, framing, resets
        front.chosen = lambda method, path: path.startswith(PATHS) and due and due.pop()


def ids(answer: ClientAnswer) -> list[bytes]:
    """Return the lines with the ids of a stream's events."""
    return [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]


def assert_honest(answer: ClientAnswer, ran: int, detail) -> None:
    """Check a response where its target's was cut: no success, no false promise."""
    assert not (answer.whole and answer.status < 300), detail
    assert not (ran and answer.status in PROMISES), detail
    assert ran <= 1, detail


async def head_length(front: TruncatingFront, ask) -> int:
    """Return the length of the head of the answer that the front is sent."""
    front.cut, front.resets = None, False
    await asked_until_sent(front, ask)
    return front.lengths[-1]


async def asked_until_sent(front: TruncatingFront, ask) -> ClientAnswer:
    """Ask until the target is sent a request; return the response to that one.

    After failures its target may get no request for a moment.
    """
    before = len(front.lengths)
    while True:
        answer = await ask()
        if len(front.lengths) > before:
            return answer
        assert answer.status in PROMISES
        await asyncio.sleep(0.01)


async def ask_at_each_byte(front, ask, targets, ends=ENDS):
    """Ask once for each byte of a head, the last one included.

    Yields where it was cut, what the caller got, and how often its request ran.
    """
    for framing, resets in ends:
        front.framing = framing
        length = await head_length(front, ask)
        for cut in range(length + 1):
            before = sum(len(target.ran) for target in targets)
            front.cut, front.resets = cut, resets
            whole = (framing, resets, cut) == ("close", False, length)
            answer = await (asked_until_sent(front, ask) if whole else ask())
            ran = sum(len(target.ran) for target in targets) - before
            yield (framing, resets, cut), answer, ran, whole


async def test_a_request_that_may_have_run_gets_no_success_and_no_promise():
    """Guards against a success, or a promise, made of a part of a head."""
    async with truncating() as (deployment, (target,)):
        asked = ask_at_each_byte(
            target.front, lambda: deployment.ask("/unsafe/x"), [target]
        )
        statuses = []
        async for end, answer, ran, whole in asked:
            if whole:
                # By HTTP this is a complete response with an empty body.
                assert (answer.status, answer.body) == (200, b""), end
                continue
            assert_honest(answer, ran, end)
            assert answer.status == (502 if ran else 503), end
            statuses.append(answer.status)
        assert statuses.count(502) > len(statuses) / 2


async def test_a_repeatable_request_is_answered_by_another_target():
    """Guards against a success of half a head where another target can answer."""
    bodies = defaultdict(set)
    async with truncating(count=2) as (deployment, targets):
        for framing, resets in ENDS:
            for cut in range(0, 60, 2):
                truncate_next(targets, cut, framing, resets)
                before = sum(len(target.ran) for target in targets)
                answer = await deployment.ask("/safe/x", "GET")
                ran = sum(len(target.ran) for target in targets) - before
                assert not (ran and answer.status in PROMISES)
                bodies[answer.status].add(answer.body.partition(b" ")[2])
        # Where the budget for repeats is used up, a request isn't sent again, and after
        # failures its targets may get none for a moment.
        assert {200, 502} <= bodies.keys() <= {200, 502, 503}
        assert bodies[200] == {b"GET /safe/x"}
        assert len(targets[0].front.lengths + targets[1].front.lengths) > 90


async def test_a_stream_that_stops_in_its_head_fails():
    """Guards against an empty stream that looks complete."""
    async with truncating(MODEL) as (deployment, (target,)):
        asked = ask_at_each_byte(
            target.front,
            lambda: deployment.ask("/stream/x", Model=MODEL),
            [target],
        )
        statuses = set()
        async for end, answer, ran, _ in asked:
            # An accepted stream without an event is none, however it ends.
            assert_honest(answer, ran, end)
            assert answer.status == (502 if ran else 503), end
            statuses.add(answer.status)
        assert 502 in statuses


async def test_a_resumable_stream_that_stops_in_its_head_goes_on_elsewhere():
    """Guards against events that are lost, or sent twice, after half a head."""
    events = defaultdict(set)
    async with truncating(MODEL, count=2) as (deployment, targets):
        for framing, resets in ENDS:
            for cut in range(0, 60, 5):
                truncate_next(targets, cut, framing, resets)
                before = sum(len(target.ran) for target in targets)
                answer = await deployment.ask("/resume/x", Model=MODEL)
                ran = sum(len(target.ran) for target in targets) - before
                assert answer.whole
                assert not (ran and answer.status in PROMISES)
                events[answer.status].add(tuple(ids(answer)))
        assert {200, 502} <= events.keys() <= {200, 502, 503}
        assert events[200] == {EVENT_IDS}
        assert len(targets[0].front.lengths + targets[1].front.lengths) > 36


async def test_orders_whose_answers_stop_in_their_head_are_carried_out_once():
    """Guards against loads that are lost or given twice after half a head."""
    async with truncating(MODEL, paths=("/v1/order",)) as (deployment, (target,)):
        for number, (framing, resets) in enumerate(ENDS):
            target.front.framing, target.front.resets = framing, resets
            target.front.cut = (0, 9, 17, 40, 60, 70)[number]
            answer = await deployment.ask("/stream/x", Model=f"{MODEL}/a{number}")
            while answer.status == 503:
                # A slot whose adapter was used just now isn't given away at once.
                await asyncio.sleep(float(answer.headers["Retry-After"]))
                answer = await deployment.ask("/stream/x", Model=f"{MODEL}/a{number}")
            assert (answer.status, answer.whole) == (200, True)
        assert not target.crashed
        taken = [order["precondition"] for order in target.orders]
        loads = [order for order in target.orders if order["op"] == "load"]
        assert len({order["adapter"] for order in loads}) == len(ENDS)
        assert target.order_count <= len(set(taken))


@asynccontextmanager
async def relaying(*unreaching_vms: int):
    """Have the first of two VMs relay to the second one through a front."""
    async with AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(Deployment())
        address = deployment.settings[1]["RELAY_ADDRESS"]
        for engine in deployment.engines:
            engine.event_s = 0.0
        front = TruncatingFront(address, lambda method, path: True)
        await front.start()
        front.cut = None
        relay_vms = deployment.gateways[0]._parts.relay_vms
        relay_vms.address = lambda vm: front.address
        relay_vms.record_not_taken = lambda vm, service: None
        await stack.enter_async_context(unreaching(deployment, *unreaching_vms))
        try:
            yield deployment, front
        finally:
            await front.stop()


async def test_a_relayed_response_that_stops_in_its_head_is_none():
    """Guards against a success, or a promise, made of a part of a VM's response."""
    async with relaying(0) as (deployment, front):
        asked = ask_at_each_byte(
            front, lambda: deployment.ask("/unsafe/x"), deployment.plains
        )
        async for end, answer, ran, _ in asked:
            # A VM's response always has a length or chunks.
            assert (answer.status, ran) == (502, 1), end


async def test_a_relayed_stream_that_stops_in_its_head_fails():
    """Guards against an empty stream that looks complete behind a relay."""
    async with relaying(0) as (deployment, front):
        asked = ask_at_each_byte(
            front,
            lambda: deployment.ask("/stream/x", Model=MODEL),
            deployment.engines,
        )
        async for end, answer, ran, _ in asked:
            assert (answer.status, ran) == (502, 1), end


async def test_a_refusal_to_take_a_request_that_stops_in_its_head_is_none():
    """Guards against a request that runs twice as a VM counts as refusing it."""
    async with relaying(0, 1) as (deployment, front):
        for framing, resets in ENDS:
            front.framing = framing
            length = await head_length(front, lambda: deployment.ask("/unsafe/x"))
            for cut in range(length + 1):
                front.cut, front.resets = cut, resets
                answer = await deployment.ask("/unsafe/x")
                whole = (framing, cut) == ("length", length)
                assert answer.status == (503 if whole else 502), (framing, resets, cut)
        assert not runs(deployment)
