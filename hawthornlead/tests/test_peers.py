"""Tests of the mesh between VMs, with real connections over loopback."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from websockets.asyncio.client import connect

from hawthornlead.clocks import HybridClock, HybridTime
from hawthornlead.errors import ErrorKind
from hawthornlead.events import EventRing
from hawthornlead.mesh import diallers, heartbeats
from hawthornlead.mesh.codecs import Frame, encode
from hawthornlead.mesh.peers import PeerMesh
from hawthornlead.messages import Chunk, FetchChunk, Goodbye, Heartbeat, Hello
from hawthornlead.metrics import Metrics
from hawthornlead.settings import default_settings
from hawthornlead.timers import TimerService

LIMIT = 1 << 16
QUICK = {
    "HEARTBEAT_S": 0.05,
    "PEER_SILENT_S": 0.4,
    "PEER_CALL_S": 5.0,
    "MAX_MESSAGE_BYTES": LIMIT,
}


class Forwarder:
    """A TCP forwarder that loses track of the connections it has when told to."""

    def __init__(self, address: str):
        self._address = address
        self._lost = False
        self._tasks = []
        self._writers = []
        self.accepted = 0

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def lose_connections(self):
        for task in self._tasks:
            task.cancel()

    async def stop(self):
        self.lose_connections()
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _accept(self, reader, writer):
        self.accepted += 1
        host, _, port = self._address.rpartition(":")
        there, back = await asyncio.open_connection(host, int(port))
        self._writers += [writer, back]
        for source, sink in ((reader, back), (there, writer)):
            self._tasks.append(asyncio.create_task(self._copy(source, sink)))

    async def _copy(self, source, sink):
        while data := await source.read(65536):
            sink.write(data)
            await sink.drain()
        sink.close()


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


def numbers(mesh):
    return [record.number for record in mesh._events.newest()]


@asynccontextmanager
async def running(*names, **settings):
    meshes = [await started(name, **settings) for name in names]
    addresses = {mesh.vm: mesh.address for mesh in meshes}
    for mesh in meshes:
        mesh.set_peers(addresses)
    try:
        yield meshes
    finally:
        for mesh in meshes:
            await mesh.stop()


async def started(name, incarnation="", **settings):
    timers = TimerService()
    clock = HybridClock(timers)
    mesh = PeerMesh(
        settings=default_settings(
            VM_NAME=name,
            DATA_CENTRE="gijon",
            PEER_ADDRESS="127.0.0.1:0",
            **(QUICK | settings),
        ),
        timers=timers,
        events=EventRing(name, clock),
        metrics=Metrics(),
        clock=clock,
        incarnation=incarnation or f"{name}-1",
        rng=random.Random(name),
    )

    async def answer(sender, message):
        return Chunk(message.digest, sender.vm.encode())

    mesh.on(FetchChunk, answer)
    await mesh.listen()
    mesh.start()
    return mesh


async def test_three_vms_call_one_another_and_settle_on_one_connection_each():
    async with running("a", "b", "c") as meshes:
        await until(lambda: all(len(mesh.live) == 2 for mesh in meshes))
        for mesh in meshes:
            for vm in ("a", "b", "c"):
                reply = await mesh.call(vm, FetchChunk("x"))
                assert reply.unwrap() == Chunk("x", mesh.vm.encode())
        await until(lambda: all(mesh.connections == 2 for mesh in meshes))


async def test_heartbeats_come_at_once_when_they_change():
    async with running("a", "b", HEARTBEAT_S=15, PEER_SILENT_S=60) as (a, b):
        await until(lambda: a.live and a.live[0].heartbeat)
        b.heartbeat_source = lambda: Heartbeat(7, 0, True, 0, 0, 0.0)
        b.heartbeat_changed()
        await until(lambda: a.live[0].heartbeat.in_force_seq == 7)


async def test_with_many_peers_heartbeats_are_seldomer_and_no_connection_is_cut(
    monkeypatch,
):
    """A fleet grows, and its VMs spend more and more on heartbeats to all others.

    Beaten seldomer at one end only, each connection would look silent at the other and
    be cut again and again.
    """
    monkeypatch.setattr(heartbeats, "HEARTBEAT_INTERVAL_PER_PEER_S", 0.3)
    async with running("a", "b", PEER_SILENT_S=0.1) as (a, b):
        await until(lambda: a.live and b.live)
        sent, looked = [], []
        source, look = a.heartbeat_source, a._timers.now
        a.heartbeat_source = lambda: sent.append(look()) or source()
        a._timers.every(QUICK["HEARTBEAT_S"], lambda: looked.append(look()), "looks")
        before = numbers(b)
        await until(lambda: len(sent) == 3)
        assert len(looked) > 3 * 2
        assert numbers(b) == before


async def test_causes_come_before_effects():
    async with running("a", "b") as (a, b):
        await until(lambda: a.live)
        a._clock.observe(HybridTime(2**45, 0))
        await a.call("b", FetchChunk("x"))
        assert b._clock.last.wall_ms >= 2**45


async def test_a_silent_connection_is_dialled_afresh():
    """A caller would see requests wait while VMs do not hear one another.

    Something between a and b loses track of their connection: nothing arrives, no
    end is told, and new connections work. Each end must notice by itself.
    """
    a, b = await started("a"), await started("b")
    forwarder = Forwarder(b.address)
    a.set_peers({"b": await forwarder.start()})
    await until(lambda: a.live and b.live)
    forwarder.lose_connections()
    await until(lambda: 202 in numbers(a))
    await until(lambda: forwarder.accepted == 2 and a.live and b.live)
    assert (await a.call("b", FetchChunk("x"))).is_ok()
    assert (await b.call("a", FetchChunk("x"))).is_ok()
    for mesh in (a, b):
        await mesh.stop()
    await forwarder.stop()


async def test_a_process_that_stood_still_does_not_close_its_connections():
    """A VM is paused for a while and wakes with its connections in order.

    All look silent, since their frames wait to be read. Closing all of them at once
    would cut every VM that was paused from the fleet.
    """
    quiet = {"HEARTBEAT_S": 15, "PEER_SILENT_S": 60}
    async with running("a", "b", **quiet) as (a, b):
        await until(lambda: a.live and b.live)
        (connection,) = a._peers["b"].connections
        connection.last_seen_at -= 100
        a._checked_at -= 100
        a._check()
        assert 202 not in numbers(a)
        a._check()
        assert 202 in numbers(a)


@pytest.mark.parametrize("address", ["no address", "127.0.0.1:99999", ":", "x:y"])
async def test_an_address_that_is_none_does_not_end_the_dialling(address, monkeypatch):
    tried = []

    def count(uri, **options):
        tried.append(uri)
        return connect(uri, **options)

    monkeypatch.setattr(diallers, "connect", count)
    async with running("a") as (a,):
        a.set_peers({"c": address})
        await until(lambda: len(tried) >= 3)
        assert await a.probe(address) == "silent"


async def test_a_malformed_frame_ends_its_connection_only():
    """A VM of an unknown release, or anything else, sends what is no frame.

    It is closed with event 203 while all other connections go on.
    """
    hello = encode(
        Frame(0, 0, HybridTime(1, 0), Hello("x", "x-1", "gijon", "127.0.0.1:1")), LIMIT
    ).unwrap()
    async with running("a", "b") as (a, b):
        await until(lambda: a.live and b.live)
        for frames in (
            [b"junk"],
            ["text"],
            [hello, b"junk"],
            [hello, b"x" * 2 * LIMIT],
        ):
            before = numbers(a).count(203)
            async with connect(f"ws://{a.address}/", proxy=None) as ws:
                for frame in frames:
                    await ws.send(frame)
                await ws.wait_closed()
            await until(lambda count=before: numbers(a).count(203) == count + 1)
        assert (await a.call("b", FetchChunk("x"))).is_ok()
        assert 201 not in numbers(b)


async def test_only_vms_with_the_secret_are_heard():
    a = await started("a", PEER_SECRET="one")
    b = await started("b", PEER_SECRET="one")
    c = await started("c", PEER_SECRET="two")
    d = await started("d")
    for mesh in (b, c, d):
        mesh.set_peers({"a": a.address})
    await until(lambda: a.live and numbers(a).count(203) >= 4)
    assert [info.vm for info in a.live] == ["b"]
    assert (await a.call("b", FetchChunk("x"))).is_ok()
    for mesh in (a, b, c, d):
        await mesh.stop()


async def test_a_replaced_incarnation_does_not_come_back():
    """A frozen VM is replaced under its name and wakes up later.

    The others must go on with the replacement and refuse the old process.
    """
    a = await started("a")
    old = await started("b", incarnation="b-1")
    old.set_peers({"a": a.address})
    await until(lambda: a.live)
    new = await started("b", incarnation="b-2")
    new.set_peers({"a": a.address})
    await until(lambda: a.live and a.live[0].incarnation == "b-2")
    await until(lambda: 203 in numbers(a))
    assert [info.incarnation for info in a.live] == ["b-2"]
    assert not a.gone("b", "b-1")
    for mesh in (a, old, new):
        await mesh.stop()


@pytest.mark.parametrize("leaver", ["a", "b"])
async def test_a_goodbye_is_remembered_whichever_end_dialled(leaver):
    """A goodbye got lost with its connection if the VM that left had dialled it."""
    async with running("a", "b") as meshes:
        await until(lambda: all(mesh.live for mesh in meshes))
        leaving = next(mesh for mesh in meshes if mesh.vm == leaver)
        staying = next(mesh for mesh in meshes if mesh.vm != leaver)
        heard = asyncio.Event()

        async def hear(sender, message):
            heard.set()

        staying.on(Goodbye, hear)
        await leaving.stop(goodbye=True)
        await asyncio.wait_for(heard.wait(), 20)
        assert staying.gone(leaver, f"{leaver}-1")
        assert staying.live == ()


async def test_a_vm_that_stops_is_not_connected_again():
    """The other end, faster than its stop, dialled it again and listed it as live."""
    async with running("a", "b") as (a, b):
        await until(lambda: a.live and b.live)
        # From now on, b dials as soon as it loses its connection.
        await asyncio.sleep(2 * QUICK["HEARTBEAT_S"])
        connected = numbers(b).count(200)
        await a.stop(goodbye=True)
        await until(lambda: b.live == () and a.connections == 0)
        assert numbers(b).count(200) == connected


async def test_a_lost_vm_fails_its_open_calls():
    async with running("a", "b", PEER_CALL_S=60) as (a, b):
        await until(lambda: a.live and b.live)

        async def never(sender, message):
            await asyncio.Event().wait()

        b.on(Chunk, never)
        call = asyncio.ensure_future(a.call("b", Chunk("x", b"")))
        await until(lambda: b._peers["a"].open_handlers == 1)
        await b.stop()
        outcome = await asyncio.wait_for(call, 20)
        assert outcome.unwrap_err().kind is ErrorKind.PEER_UNAVAILABLE
        outcome = await a.call("b", FetchChunk("x"))
        assert outcome.unwrap_err().kind is ErrorKind.PEER_UNAVAILABLE


async def test_a_call_without_reply_times_out_and_a_large_one_is_refused():
    async with running("a", "b") as (a, b):
        await until(lambda: a.live and b.live)

        async def never(sender, message):
            await asyncio.Event().wait()

        b.on(Chunk, never)
        outcome = await a.call("b", Chunk("x", b""), timeout_s=0.1)
        assert outcome.unwrap_err().kind is ErrorKind.PEER_UNAVAILABLE
        outcome = await a.call("b", Chunk("x", b"x" * LIMIT))
        assert outcome.unwrap_err().kind is ErrorKind.TOO_LARGE


async def test_a_vm_that_does_not_read_is_dropped():
    """A stuck VM stops reading; what is sent to it must not fill this VM's memory.

    The far end says hello and then reads nothing more. The queue stays bounded and
    the connection is dropped once the bound is reached.
    """
    a = await started("a", PEER_SILENT_S=60)
    hello = Frame(0, 0, HybridTime(1, 0), Hello("x", "x-1", "gijon", "127.0.0.1:1"))
    async with connect(f"ws://{a.address}/", proxy=None, max_queue=1) as ws:
        await ws.send(encode(hello, LIMIT).unwrap())
        await until(lambda: a.live)
        connection = a._peers["x"].connections[0]
        chunk = Chunk("x", bytes(LIMIT // 2))
        for _ in range(2000):
            if not a.cast("x", chunk):
                break
            assert connection.queued_bytes <= 4 * LIMIT
            await asyncio.sleep(0)
        assert not a.cast("x", chunk)
        await until(lambda: not a.live)
    await a.stop()


@pytest.mark.parametrize("closed", [True, False])
async def test_a_probe_tells_a_refusal(closed):
    a, b = await started("a"), await started("b")
    if closed:
        await b.stop()
    assert await a.probe(b.address) == ("refused" if closed else "accepted")
    for mesh in (a, b):
        await mesh.stop()
