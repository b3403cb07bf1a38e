"""Stores that stop in the middle of an answer and close its connection."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from random import Random

from result import Result

from hawthornlead.errors import ErrorKind
from hawthornlead.gateway.store_clients import StoreClient
from hawthornlead.ownership.platforms import VmList
from hawthornlead.settings import default_settings
from hawthornlead.stores.http_stores import HttpObjectStore
from hawthornlead.stores.stores import may_have_taken_effect
from hawthornlead.timers import TimerService

from .gateways import Deployment
from .standins.object_api import ObjectApiStandIn
from .standins.platform_store import PlatformStore
from .standins.scripted_target import ScriptedTarget
from .standins.truncating_fronts import TruncatingFront

KIND = "owners"
SPEC = {"vm": "vm-1"}
ENDS = tuple(itertools.product(("length", "chunks", "close"), (False, True)))
# One for each framing, each way to end among them.
SOME_ENDS = (("length", True), ("chunks", False), ("close", True))


@asynccontextmanager
async def truncated(sound: str, chosen: Callable[[str, str], bool]):
    """Put a front before a store; yields the front."""
    front = TruncatingFront(sound, chosen)
    await front.start()
    try:
        yield front
    finally:
        await front.stop()


@asynccontextmanager
async def truncated_store():
    """Start a platform's store behind a front, with a client of the front."""
    store = PlatformStore()
    store.start()
    async with truncated(store.address, lambda method, path: True) as front:
        client = StoreClient(address=front.address, timers=TimerService())
        try:
            yield store, front, client
        finally:
            client.close()
            await store.stop()


def assert_unavailable(got: Result, detail) -> None:
    """Check that a call failed as one that wasn't answered, and before its time-out."""
    assert got.is_err(), detail
    assert got.err_value.kind is ErrorKind.STORE_UNAVAILABLE, detail
    assert "Timeout" not in got.err_value.detail, detail


async def head_length(front: TruncatingFront, call: Callable[[], Awaitable]) -> int:
    """Return the length of the answer's head to a call."""
    front.cut = None
    await call()
    return front.lengths[-1]


async def assert_none_accepted(front: TruncatingFront, call: Callable, ends=ENDS):
    """Check that no part of the head is taken for an answer to a call."""
    for framing, resets in ends:
        front.framing, front.resets = framing, resets
        for cut in range(await head_length(front, call)):
            front.cut = cut
            assert_unavailable(await call(), (framing, resets, cut))


async def test_no_part_of_a_head_answers_a_read():
    """Guards against an object, a listing or a history that counts as gone."""
    async with truncated_store() as (store, front, client):
        since = store.write(KIND, "e1", SPEC)
        store.write(KIND, "e2", SPEC)
        await assert_none_accepted(front, partial(client.get, KIND, "none"))
        await assert_none_accepted(front, partial(client.get, KIND, "e1"), SOME_ENDS)
        await assert_none_accepted(front, partial(client.list_all, KIND), SOME_ENDS)
        watch = partial(client.watch, KIND, since, 5.0)
        await assert_none_accepted(front, watch, SOME_ENDS)
        gone = partial(client.watch, KIND, since + 9, 5.0)
        await assert_none_accepted(front, gone, SOME_ENDS)


async def test_nothing_behind_a_head_is_no_answer_to_a_read():
    """Guards against an object that counts as gone as the connection is reset."""
    async with truncated_store() as (store, front, client):
        since = store.write(KIND, "e1", SPEC)
        calls = (
            partial(client.get, KIND, "none"),
            partial(client.get, KIND, "e1"),
            partial(client.list_all, KIND),
            partial(client.watch, KIND, since + 9, 5.0),
        )
        for call, (framing, resets) in itertools.product(calls, ENDS):
            front.framing, front.resets = framing, resets
            front.cut = await head_length(front, call)
            got = await call()
            if got.is_ok():
                # A head with neither length nor chunks and an orderly end is a whole
                # answer, whose status alone says that there is nothing.
                assert (framing, resets) == ("close", False)
                assert got.ok_value is None


async def test_a_reset_after_a_body_without_a_length_is_no_answer():
    """Guards against a listing whose end was lost with its connection."""
    async with truncated_store() as (store, front, client):
        store.write(KIND, "e1", SPEC)
        front.cut, front.framing = None, "close"
        for front.resets in (False, True):
            for got in (await client.get(KIND, "e1"), await client.list_all(KIND)):
                assert got.is_err() is front.resets


async def test_a_reset_inside_a_body_ends_the_call_at_once():
    """Guards against calls that wait for their time-out after a reset."""
    async with truncated_store() as (store, front, client):
        store.write(KIND, "e1", SPEC)
        for front.framing, front.resets in ENDS:
            length = await head_length(front, partial(client.get, KIND, "e1"))
            for front.cut in (length + 1, length + 9):
                assert_unavailable(await client.get(KIND, "e1"), front.cut)


async def assert_held(front: TruncatingFront, call: Awaitable[Result]) -> None:
    """Check that a write, sent again, finds that it was done."""
    front.cut, front.resets = None, False
    got = await call
    assert got.err_value.kind is ErrorKind.VERSION_CONFLICT


async def test_a_write_with_a_truncated_answer_is_an_error_and_is_done_once():
    """Guards against a write that is lost, or done twice, as its answer is cut."""
    async with truncated_store() as (store, front, client):
        for framing, resets in ENDS:
            front.framing, front.resets = framing, resets
            name = f"e-{framing}-{resets}"
            length = await head_length(front, partial(client.create, KIND, name, {}))
            for cut in range(length):
                front.cut, front.resets = cut, resets
                name = f"e-{framing}-{resets}-{cut}"
                before = store.revision
                assert_unavailable(await client.create(KIND, name, SPEC), name)
                await assert_held(front, client.create(KIND, name, {}))
                assert store.revision == before + 1
                assert store.spec(KIND, name) == SPEC


async def test_a_replacement_or_removal_with_a_truncated_answer_is_an_error():
    """Guards against a change that counts as refused, or as done twice."""
    async with truncated_store() as (store, front, client):
        revision = store.write(KIND, "e1", SPEC)
        length = await head_length(front, partial(client.get, KIND, "e1"))
        for number, cut in enumerate(range(length)):
            front.framing, front.resets = ENDS[number % len(ENDS)]
            front.cut, spec = cut, {"number": number}
            got = await client.replace(KIND, "e1", spec, revision)
            assert_unavailable(got, cut)
            await assert_held(front, client.replace(KIND, "e1", {}, revision))
            assert store.revision == revision + 1
            revision = store.revision
            assert store.spec(KIND, "e1") == spec
        for number, cut in enumerate(range(length)):
            front.framing, front.resets = ENDS[number % len(ENDS)]
            front.cut, revision = cut, store.write(KIND, "e1", SPEC)
            got = await client.delete(KIND, "e1", revision)
            assert_unavailable(got, cut)
            assert store.spec(KIND, "e1") is None


async def test_a_fleet_whose_store_truncates_answers_owns_each_engine_once():
    """Guards against two owners, or none, where answers to writes are cut."""
    rng = Random(5)
    async with AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(Deployment(vms=1))
        sound = deployment.store.address
        front = await stack.enter_async_context(
            truncated(sound, lambda method, path: rng.random() < 0.7)
        )
        # The second VM alone calls the store through the front.
        deployment.store.address = front.address
        await deployment.add_vm("vm-2")
        deployment.store.address = sound
        second = deployment.gateways[1]
        for _ in range(60):
            front.framing, front.resets = rng.choice(ENDS)
            front.cut = rng.randrange(80)
            await asyncio.sleep(0.02)
        assert len(front.lengths) >= 4
        front.cut = None
        await deployment.until(lambda: deployment.ready(second))
        owned = [
            target
            for gateway in deployment.gateways
            for target in gateway._engine_manager.owned
        ]
        assert sorted(owned) == ["e1", "e2"]
        for vm in (0, 1):
            assert (await deployment.ask("/safe/x", "GET", vm=vm)).status == 200


async def test_no_part_of_an_answer_of_the_object_api_is_one():
    """Guards against a claim or an order that counts as gone or as written."""
    stand_in = ObjectApiStandIn()
    await stand_in.start()
    async with truncated(stand_in.address, lambda method, path: True) as front:
        settings = default_settings(STORE_ADDRESS=front.address)
        store = HttpObjectStore(settings=settings, timers=TimerService(), rng=Random(1))
        for framing, resets in SOME_ENDS:
            front.framing, front.resets = framing, resets
            length = await head_length(front, partial(store._get, "k", "none"))
            for cut in range(length + 1):
                front.cut = cut
                end = (framing, resets, cut)
                assert_unavailable(await store._get("k", "none"), end)
                written = await store._put("k", str(end), {}, None)
                assert may_have_taken_effect(written.err_value), end
        await store.stop()
    await stand_in.stop()


async def test_no_part_of_an_answer_is_a_list_of_vms():
    """Guards against VMs that count as gone as the list's end is lost."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    body = b'{"vms": []}'
    framed = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    unframed = head + b"\r\n" + body
    for whole, resets in itertools.product((framed, unframed), (False, True)):
        answers = [whole]
        async with ScriptedTarget(answers, closes=True, resets=resets) as platform:
            settings = default_settings(VM_LIST_ADDRESS=platform.address)
            vms = VmList(settings=settings, timers=TimerService())
            vms.start()
            got = await vms.read()
            assert got.is_err() is (resets and whole is unframed)
            for length in range(len(whole)):
                answers[:] = [whole[:length]]
                assert_unavailable(await vms.read(), whole[:length])
            await vms.stop()
