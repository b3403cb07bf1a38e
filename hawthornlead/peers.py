"""The mesh of VMs over websockets: connections, calls, casts and heartbeats.

Every VM dials every other. Of two connections between the same VMs the one that the
lesser name dialled is used, and the other is closed by its dialler once both stand.

A connection on which nothing came for ``PEER_SILENT_S`` is closed and dialled
afresh, because something between the two ends may have lost track of it while new
connections work. A malformed frame closes its connection and nothing else.
"""

import asyncio
import heapq
import itertools
import random
from typing import Any, NamedTuple

from result import Err, Ok, Result
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from .codecs import Frame, encode
from .connections import Connection, QuietLogger
from .errors import ErrorKind, Failure
from .events import EventKind
from .meshes import Mesh, PeerInfo, failed, outcome_of
from .messages import (
    Challenge,
    Failed,
    Goodbye,
    Heartbeat,
    Hello,
    Proof,
)

CALL_SWEEP_S = 0.05
MAX_OPEN_HANDLERS = 1024
ENDED_KEPT = 1024
TOO_BIG_CODE = 1009


class _Peer:
    """What is known of a connected VM."""

    def __init__(self, hello: Hello):
        self.hello = hello
        self.heartbeat: Heartbeat | None = None
        self.connections: list[Connection] = []
        self.open_handlers = 0
        self.heard_at = 0.0

    @property
    def info(self) -> PeerInfo:
        """The VM as told to other parts."""
        for connection in self.connections:
            self.heard_at = max(self.heard_at, connection.heard_at)
        vm, incarnation, data_centre, address, _ = self.hello
        return PeerInfo(
            vm, incarnation, data_centre, address, self.heartbeat, self.heard_at
        )


class _Call(NamedTuple):
    vm: str
    outcome: asyncio.Future


class PeerMesh(Mesh):
    """The mesh of this VM with the VMs named to ``set_peers``.

    ::

        mesh.on(FetchChunk, answer_chunk)
        await mesh.listen()
        mesh.start()
        mesh.set_peers({"entry-2": "10.0.0.2:7000"})
        outcome = await mesh.call("entry-2", FetchChunk(digest))
    """

    def __init__(
        self,
        *,
        settings,
        timers,
        events,
        metrics,
        clock,
        incarnation: str,
        rng: random.Random | None = None,
    ):
        super().__init__(
            settings=settings,
            timers=timers,
            events=events,
            clock=clock,
            incarnation=incarnation,
        )
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._limit = settings["MAX_MESSAGE_BYTES"]
        self._address = settings["PEER_ADDRESS"]
        self._server = None
        self._subscriptions = []
        self._connections: set[Connection] = set()
        self._peers: dict[str, _Peer] = {}
        self._vacant: dict[str, asyncio.Event] = {}
        self._diallers: dict[str, tuple[str, asyncio.Task]] = {}
        self._tasks: set[asyncio.Task] = set()
        # Incarnations that were replaced or said goodbye; the value tells which.
        self._ended: dict[tuple[str, str], str] = {}
        self._ids = itertools.count(1)
        self._calls: dict[int, _Call] = {}
        self._call_ends: list[tuple[float, int]] = []
        self._checked_at = timers.now()

    @property
    def address(self) -> str:
        """The address on which this VM hears other VMs, its port the real one."""
        return self._address

    @property
    def live(self) -> tuple[PeerInfo, ...]:
        """The VMs that this one is connected to."""
        return tuple(peer.info for peer in self._peers.values())

    @property
    def connections(self) -> int:
        """Open connections, those that have not said hello yet included."""
        return len(self._connections)

    async def listen(self) -> None:
        """Open the port for other VMs; raises ``OSError`` when it is taken."""
        host, _, port = self._address.rpartition(":")
        self._server = await serve(
            lambda ws: self._run(ws, ""), host.strip("[]"), int(port), **self._options()
        )
        port = self._server.sockets[0].getsockname()[1]
        self._address = f"{host}:{port}"

    def start(self) -> None:
        """Begin heartbeats and the watch over silent connections and late calls."""
        every = self._timers.every
        beat_s = self._settings["HEARTBEAT_S"]
        self._checked_at = self._timers.now()
        self._subscriptions = [
            every(beat_s, self._check, name="heartbeat"),
            every(CALL_SWEEP_S, self._end_late_calls, name="calls"),
        ]

    async def stop(self, goodbye: bool = False) -> None:
        """Close all connections; ``goodbye`` tells all that this VM is gone for good.

        Only a VM that holds nothing any more may say goodbye.
        """
        for subscription in self._subscriptions:
            subscription.cancel()
        for _, task in self._diallers.values():
            task.cancel()
        self._diallers.clear()
        if goodbye:
            self.broadcast(Goodbye(self.vm, self._incarnation))
            await self._flush()
        for connection in tuple(self._connections):
            connection.abort("stopped")
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        for task in tuple(self._tasks):
            task.cancel()

    def set_peers(self, peers: dict[str, str]) -> None:
        """Dial these VMs, by name and address, and no others."""
        for vm, (address, task) in tuple(self._diallers.items()):
            if peers.get(vm) != address:
                task.cancel()
                del self._diallers[vm]
        for vm, address in peers.items():
            if vm == self.vm or vm in self._diallers:
                continue
            task = self._spawn(self._keep_dialled(vm, address))
            self._diallers[vm] = (address, task)

    def gone(self, vm: str, incarnation: str) -> bool:
        """Whether this incarnation of a VM said goodbye."""
        return self._ended.get((vm, incarnation)) == "goodbye"

    def heartbeat_changed(self) -> None:
        """Send a heartbeat at once."""
        self.broadcast(self.heartbeat_source())

    async def probe(self, address: str) -> str:
        """Open a fresh connection to an address and close it again.

        ``refused`` proves that no process listens there. ``accepted`` proves
        nothing, since a frozen process accepts too, nor does ``silent``.
        """
        host, _, port = address.rpartition(":")
        wait_s = self._settings["PEER_CALL_S"]
        try:
            async with asyncio.timeout(wait_s):
                _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except ConnectionRefusedError:
            return "refused"
        except OSError:
            return "silent"
        writer.close()
        return "accepted"

    async def call(
        self, vm: str, message: Any, timeout_s: float | None = None
    ) -> Result[Any, Failure]:
        """Send a message and wait for its reply.

        Fails with ``PEER_UNAVAILABLE`` when the VM is not connected or does not
        reply in time (the message may have arrived then), and with the kind in a
        ``Failed`` reply. A call to this VM itself takes as long as its handler.
        """
        if vm == self.vm:
            return outcome_of(await self.answer(self.myself, message))
        message_id = next(self._ids)
        encoded = self._encode(message, message_id)
        if encoded.is_err():
            return encoded
        if not self._send(vm, encoded.unwrap(), message):
            return _unavailable(f"{vm} is not connected")
        outcome = asyncio.get_running_loop().create_future()
        wait_s = self._settings["PEER_CALL_S"] if timeout_s is None else timeout_s
        self._calls[message_id] = _Call(vm, outcome)
        heapq.heappush(self._call_ends, (self._timers.now() + wait_s, message_id))
        try:
            return await outcome
        finally:
            self._calls.pop(message_id, None)

    def cast(self, vm: str, message: Any) -> bool:
        """Send a message that has no reply; False when it can't be sent."""
        if vm == self.vm:
            self._spawn(self.answer(self.myself, message))
            return True
        encoded = self._encode(message)
        return encoded.is_ok() and self._send(vm, encoded.unwrap(), message)

    def broadcast(self, message: Any) -> None:
        """Send a message that has no reply to all connected VMs, encoded once."""
        data = self._encode(message).unwrap()
        for vm in tuple(self._peers):
            self._send(vm, data, message)

    # Connections

    def _options(self) -> dict[str, Any]:
        return {
            "compression": None,
            "max_size": self._limit,
            "ping_interval": None,
            "open_timeout": self._settings["PEER_SILENT_S"],
            "close_timeout": self._settings["HEARTBEAT_S"],
            "logger": QuietLogger(),
        }

    async def _keep_dialled(self, vm: str, address: str) -> None:
        beat_s = self._settings["HEARTBEAT_S"]
        # The lesser name dials first, so that most pairs never have two.
        pause_s = 0.0 if self.vm < vm else beat_s
        while True:
            await self._timers.sleep(pause_s * self._rng.uniform(0.5, 1.5))
            await self._vacancy(vm).wait()
            try:
                ws = await connect(f"ws://{address}/", proxy=None, **self._options())
            except (OSError, InvalidHandshake, ConnectionClosed, EOFError):
                pause_s = min(max(2 * pause_s, beat_s / 4), 4 * beat_s)
                continue
            await self._run(ws, vm)
            pause_s = beat_s / 4

    async def _run(self, ws, expected: str) -> None:
        """Serve one connection to its end; ``expected`` is empty if accepted."""
        connection = Connection(
            ws,
            settings=self._settings,
            metrics=self._metrics,
            now=self._timers.now(),
            dialled=bool(expected),
        )
        self._connections.add(connection)
        writer = None
        try:
            peer = await self._greet(connection, expected)
            if peer is None:
                return
            writer = self._spawn(connection.write())
            await self._read(connection, peer)
        except ConnectionClosed as error:
            if error.sent is not None and error.sent.code == TOO_BIG_CODE:
                self._refuse(connection, "a frame is over the size limit")
        finally:
            if writer is not None:
                writer.cancel()
            connection.abort("ended")
            self._dismiss(connection)

    async def _greet(self, connection: Connection, expected: str) -> _Peer | None:
        own = Hello(
            self.vm, self._incarnation, self._settings["DATA_CENTRE"], self._address
        )
        secret = self._settings["PEER_SECRET"]
        outcome = await connection.shake_hands(own, secret, self._clock)
        outcome = outcome.and_then(lambda hello: self._check_hello(hello, expected))
        if outcome.is_err():
            self._refuse(connection, outcome.unwrap_err().detail)
            return None
        return self._admit(connection, outcome.unwrap())

    def _check_hello(self, hello: Hello, expected: str) -> Result[Hello, Failure]:
        fault = ""
        if hello.vm == self.vm:
            fault = "it has this VM's name"
        elif expected and hello.vm != expected:
            fault = f"{hello.vm} answered for {expected}"
        elif (hello.vm, hello.incarnation) in self._ended:
            fault = f"incarnation {hello.incarnation} of {hello.vm} has ended"
        if fault:
            return Err(Failure(ErrorKind.BAD_MESSAGE, fault))
        return Ok(hello)

    def _admit(self, connection: Connection, hello: Hello) -> _Peer:
        peer = self._peers.get(hello.vm)
        if peer is not None and peer.hello.incarnation != hello.incarnation:
            # The VM was replaced while its old connection still looks open. A frozen
            # predecessor may wake and send again; it must not be taken for the VM.
            self._end(peer, "replaced")
            peer = None
        if peer is None:
            peer = self._peers[hello.vm] = _Peer(hello)
        for older in tuple(peer.connections):
            if older.dialled == connection.dialled:
                older.abort("replaced by a fresh connection")
                peer.connections.remove(older)
        connection.hello = hello
        connection.heard_at = self._timers.now()
        peer.connections.append(connection)
        self._vacancy(hello.vm).clear()
        self._metrics.peers_live.set(len(self._peers))
        self._events.emit(
            EventKind.PEER_CONNECTED, hello.vm, incarnation=hello.incarnation
        )
        heartbeat = self.heartbeat_source()
        connection.send(self._encode(heartbeat).unwrap(), heartbeat)
        self._spawn(self.notice(peer.info, hello))
        return peer

    def _dismiss(self, connection: Connection) -> None:
        self._connections.discard(connection)
        hello = connection.hello
        if hello is None:
            return
        self._events.emit(EventKind.PEER_LOST, hello.vm, reason=connection.reason)
        peer = self._peers.get(hello.vm)
        if peer is None or connection not in peer.connections:
            return
        peer.connections.remove(connection)
        if not peer.connections:
            self._forget(peer)

    def _end(self, peer: _Peer, how: str) -> None:
        self._ended[(peer.hello.vm, peer.hello.incarnation)] = how
        while len(self._ended) > ENDED_KEPT:
            del self._ended[next(iter(self._ended))]
        for connection in peer.connections:
            connection.abort(how)
        self._forget(peer)

    def _forget(self, peer: _Peer) -> None:
        vm = peer.hello.vm
        if self._peers.get(vm) is not peer:
            return
        del self._peers[vm]
        self._vacancy(vm).set()
        self._metrics.peers_live.set(len(self._peers))
        for call in tuple(self._calls.values()):
            if call.vm == vm and not call.outcome.done():
                call.outcome.set_result(_unavailable(f"{vm} was lost"))

    def _vacancy(self, vm: str) -> asyncio.Event:
        if vm not in self._vacant:
            self._vacant[vm] = asyncio.Event()
            self._vacant[vm].set()
        return self._vacant[vm]

    def _refuse(self, connection: Connection, detail: str) -> None:
        vm = connection.hello.vm if connection.hello else "unknown"
        self._events.emit(EventKind.PEER_FRAME_REFUSED, vm, detail=detail)
        connection.reason = connection.reason or "refused"

    # Messages

    def _encode(
        self, message: Any, message_id: int = 0, reply_to: int = 0
    ) -> Result[bytes, Failure]:
        frame = Frame(message_id, reply_to, self._clock.tick(), message)
        return encode(frame, self._limit)

    def _send(self, vm: str, data: bytes, message: Any) -> bool:
        peer = self._peers.get(vm)
        if peer is None or not peer.connections:
            return False
        return self._best(peer).send(data, message)

    def _best(self, peer: _Peer) -> Connection:
        fresh_s = 2 * self._settings["HEARTBEAT_S"]
        now = self._timers.now()
        first = self.vm < peer.hello.vm
        return max(
            peer.connections,
            key=lambda each: (now - each.heard_at < fresh_s, each.dialled == first),
        )

    async def _read(self, connection: Connection, peer: _Peer) -> None:
        while True:
            outcome = await connection.receive()
            if outcome.is_err():
                self._refuse(connection, outcome.unwrap_err().detail)
                return
            if connection not in peer.connections:
                return
            frame = outcome.unwrap()
            connection.heard_at = self._timers.now()
            self._clock.observe(frame.at)
            self._take(peer, frame)

    def _take(self, peer: _Peer, frame: Frame) -> None:
        message = frame.message
        if frame.reply_to:
            call = self._calls.get(frame.reply_to)
            if call and call.vm == peer.hello.vm and not call.outcome.done():
                call.outcome.set_result(outcome_of(message))
            return
        if isinstance(message, Hello | Challenge | Proof):
            return
        if isinstance(message, Heartbeat):
            peer.heartbeat = message
            self._spawn(self.notice(peer.info, message))
            return
        if isinstance(message, Goodbye):
            self._spawn(self.notice(peer.info, message))
            self._end(peer, "goodbye")
            return
        self._spawn(self._handle(peer, frame))

    async def _handle(self, peer: _Peer, frame: Frame) -> None:
        if peer.open_handlers >= MAX_OPEN_HANDLERS:
            reply = Failed(ErrorKind.OVERLOADED.value, "too many calls at once", 1.0)
        else:
            peer.open_handlers += 1
            try:
                reply = await self.answer(peer.info, frame.message)
            finally:
                peer.open_handlers -= 1
        if not frame.message_id:
            return
        encoded = self._encode(reply, reply_to=frame.message_id)
        if encoded.is_err():
            reply = failed(encoded.unwrap_err())
            encoded = self._encode(reply, reply_to=frame.message_id)
        self._send(peer.hello.vm, encoded.unwrap(), reply)

    # Watch

    def _check(self) -> None:
        now = self._timers.now()
        beat_s = self._settings["HEARTBEAT_S"]
        late = now - self._checked_at > 2 * beat_s
        self._checked_at = now
        self.heartbeat_changed()
        if late:
            # This process itself stood still, so that all connections look silent
            # while their frames wait to be read. They get until the next check.
            return
        for connection in tuple(self._connections):
            if now - connection.heard_at > self._settings["PEER_SILENT_S"]:
                vm = connection.hello.vm if connection.hello else "unknown"
                self._events.emit(EventKind.PEER_SILENT, vm)
                connection.abort("silent")
        for peer in tuple(self._peers.values()):
            self._retire(peer, now - 2 * beat_s)

    def _retire(self, peer: _Peer, before: float) -> None:
        if len(peer.connections) < 2 or self.vm < peer.hello.vm:
            return
        if any(each.opened_at > before for each in peer.connections):
            return
        for connection in tuple(peer.connections):
            if connection.dialled:
                self._spawn(connection.close())

    def _end_late_calls(self) -> None:
        now = self._timers.now()
        while self._call_ends and self._call_ends[0][0] <= now:
            _, message_id = heapq.heappop(self._call_ends)
            call = self._calls.get(message_id)
            if call is not None and not call.outcome.done():
                call.outcome.set_result(_unavailable(f"{call.vm} did not reply"))

    async def _flush(self) -> None:
        end = self._timers.now() + self._settings["HEARTBEAT_S"]
        while self._timers.now() < end:
            if not any(each.queued_bytes for each in self._connections):
                return
            await self._timers.sleep(0.01)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _unavailable(detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.PEER_UNAVAILABLE, detail))
