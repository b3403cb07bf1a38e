"""Tests of the in-process meshes, on which other tests rely."""

import asyncio

import pytest

from hawthornlead.errors import ErrorKind
from hawthornlead.messages import Chunk, FetchChunk, Goodbye, Hello
from hawthornlead.timers import ManualTimerService

from .fakes_mesh import LocalNetwork


async def answer_chunk(sender, message):
    return Chunk(message.digest, sender.vm.encode())


@pytest.fixture
def timers():
    return ManualTimerService()


@pytest.fixture
def network(timers):
    return LocalNetwork(timers)


async def test_calls_reach_other_vms_and_oneself(network):
    a, b = network.join("a"), network.join("b")
    for mesh in (a, b):
        mesh.on(FetchChunk, answer_chunk)
    assert (await a.call("b", FetchChunk("x"))).unwrap() == Chunk("x", b"a")
    assert (await a.call("a", FetchChunk("x"))).unwrap() == Chunk("x", b"a")


async def test_cut_vms_are_not_live_and_not_called(network, timers):
    a, b = network.join("a"), network.join("b")
    greeted = []

    async def greet(sender, message):
        greeted.append(sender.vm)

    a.on(Hello, greet)
    await timers.advance(0)
    network.cut("a", "b")
    assert a.live == b.live == ()
    outcome = await a.call("b", FetchChunk("x"))
    assert outcome.unwrap_err().kind is ErrorKind.PEER_UNAVAILABLE
    network.heal("a", "b")
    await timers.advance(0)
    assert [info.vm for info in a.live] == ["b"]
    assert greeted == ["b", "b"]


async def test_calls_into_silence_time_out(network, timers):
    a, b = network.join("a"), network.join("b")
    b.on(FetchChunk, answer_chunk)
    network.silence("a", "b")
    call = asyncio.ensure_future(a.call("b", FetchChunk("x"), timeout_s=2))
    await timers.advance(0)
    await timers.advance(1.9)
    assert not call.done()
    await timers.advance(0.2)
    assert (await call).unwrap_err().kind is ErrorKind.PEER_UNAVAILABLE
    assert a.live[0].last_seen_at == timers.now() - 2.1


async def test_drops_and_delays(network, timers):
    a, b = network.join("a"), network.join("b")
    heard = []

    async def hear(sender, message):
        heard.append(message.digest)

    b.on(FetchChunk, hear)
    network.drop("a", "b", FetchChunk)
    network.delay("a", "b", 0.5)
    a.cast("b", FetchChunk("one"))
    a.cast("b", FetchChunk("two"))
    await timers.advance(0)
    await timers.advance(0.4)
    assert heard == []
    await timers.advance(0.2)
    assert heard == ["two"]


async def test_probes_and_goodbyes(network, timers):
    a, b, c = (network.join(vm) for vm in "abc")
    network.cut("a", "b")
    network.leave("c")
    assert await a.probe(b.address) == "silent"
    assert await a.probe(c.address) == "refused"
    network.heal("a", "b")
    assert await a.probe(b.address) == "accepted"
    heard = []

    async def hear(sender, message):
        heard.append(message)

    a.on(Goodbye, hear)
    await b.stop(goodbye=True)
    await timers.advance(0)
    assert a.gone("b", b.incarnation)
    assert heard == [Goodbye("b", "b-1")]
