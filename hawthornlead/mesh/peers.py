"""The mesh of VMs over websockets: connections, calls, casts and heartbeats.

Every VM dials every other. Of two connections between the same VMs the one that the
lesser name dialled is used, and the other is closed by its dialler once both stand.

A connection on which nothing arrived for ``PEER_SILENT_S`` is closed and dialled
again, because a device on the path may have lost its state while new connections work.
A malformed frame closes its connection and nothing else.
"""

import random
from collections.abc import Iterable
from functools import partial
from typing import Any

from result import Result
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed

from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..messages import Challenge, Failed, Goodbye, Heartbeat, Hello, Proof
from ..resources.accounts import Account
from ..tasks import TaskSet
from .accounted_connections import accounted
from .calls import PendingCalls, unavailable
from .codecs import Frame, encode
from .connections import Connection, QuietLogger, checked_hello
from .diallers import Dialler
from .heartbeats import HeartbeatSchedule
from .meshes import Mesh, PeerInfo, failed, outcome_of
from .peer_sessions import PeerSession
from .probes import probe

MAX_OPEN_HANDLERS = 1024
MAX_ENDED = 1024
TOO_BIG_CODE = 1009


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
        self._limit = settings["MAX_MESSAGE_BYTES"]
        self._address = settings["PEER_ADDRESS"]
        self._server = None
        self._subscriptions = []
        self._connections: set[Connection] = set()
        self._peers: dict[str, PeerSession] = {}
        self._tasks = TaskSet()
        self._dialler = Dialler(
            settings=settings,
            timers=timers,
            rng=rng or random.Random(),
            run=self._run,
            options=self._options(),
        )
        # Incarnations that were replaced or said goodbye; the value is which of these.
        self._ended: dict[tuple[str, str], str] = {}
        self._calls = PendingCalls()
        self._heartbeats = HeartbeatSchedule(settings)
        self._checked_at = timers.now()
        self._heartbeat_sent_at = timers.now()

    @property
    def address(self) -> str:
        """The address on which this VM accepts connections, with the actual port."""
        return self._address

    @property
    def live(self) -> tuple[PeerInfo, ...]:
        """The VMs that this one is connected to."""
        return tuple(peer.info for peer in self._peers.values())

    @property
    def connections(self) -> int:
        """The number of open connections, including those before their hello."""
        return len(self._connections)

    async def listen(self, account: Account | None = None) -> None:
        """Open the port for other VMs; raises ``OSError`` when it is taken."""
        host, _, port = self._address.rpartition(":")
        options = self._options() | {"create_connection": accounted(account)}
        run = partial(self._run, expected="")
        self._server = await serve(run, host.strip("[]"), int(port), **options)
        port = self._server.sockets[0].getsockname()[1]
        self._address = f"{host}:{port}"

    def start(self) -> None:
        """Start sending heartbeats and checking for silent connections."""
        check_interval_s = self._settings["HEARTBEAT_S"]
        self._checked_at = self._timers.now()
        self._subscriptions = [
            self._timers.every(check_interval_s, self._check, name="heartbeat"),
        ]

    async def stop(self, goodbye: bool = False) -> None:
        """Close all connections; with ``goodbye``, announce that this VM is gone.

        Only a VM that no longer holds anything may say goodbye.
        """
        for subscription in self._subscriptions:
            subscription.cancel()
        if self._server is not None:
            # Peers dial a lost VM at once, and would list this one as live.
            self._server.close(close_connections=False)
        if goodbye:
            self.broadcast(Goodbye(self.vm, self._incarnation))
            await self._flush()
        # This also drops what is queued on the connections that this end dialled.
        self._dialler.stop()
        for connection in tuple(self._connections):
            connection.abort("stopped")
        if self._server is not None:
            await self._server.wait_closed()
        self._tasks.cancel()

    def set_peers(self, peers: dict[str, str]) -> None:
        """Dial these VMs, by name and address (IP:PORT), and no others."""
        self._dialler.set_peers(peers)

    def gone(self, vm: str, incarnation: str) -> bool:
        """Whether this incarnation of a VM said goodbye."""
        return self._ended.get((vm, incarnation)) == "goodbye"

    def heartbeat_changed(self) -> None:
        """Send a heartbeat at once."""
        self._heartbeat_sent_at = self._timers.now()
        self.cast_to(self._heartbeats.carried_by(self._peers), self.heartbeat_source())

    async def probe(self, address: str) -> str:
        """Connect to an address; only ``refused`` proves that nobody listens there."""
        return await probe(address, self._settings["PEER_CALL_S"])

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
        message_id = self._calls.new_id()
        encoded = self._encode(message, message_id)
        if encoded.is_err():
            return encoded
        if not self._send(vm, encoded.unwrap(), message):
            return unavailable(f"{vm} is not connected")
        wait_s = self._settings["PEER_CALL_S"] if timeout_s is None else timeout_s
        return await self._calls.wait(message_id, vm, wait_s)

    def cast(self, vm: str, message: Any) -> bool:
        """Send a message without a reply; return False when it can't be sent."""
        if vm == self.vm:
            self._tasks.spawn(self.answer(self.myself, message))
            return True
        data = self._encode(message)
        return data.is_ok() and self._send(vm, data.ok_value, message)

    def broadcast(self, message: Any) -> None:
        """Send a message without a reply to all connected VMs, encoded once."""
        self.cast_to(tuple(self._peers), message)

    def cast_to(self, vms: Iterable[str], message: Any) -> None:
        """Send a message without a reply to some connected VMs, encoded once."""
        data = self._encode(message).unwrap()
        for vm in vms:
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
            writer = self._tasks.spawn(connection.write())
            await self._read(connection, peer)
        except ConnectionClosed as error:
            if error.sent is not None and error.sent.code == TOO_BIG_CODE:
                self._refuse(connection, "a frame is over the size limit")
        finally:
            if writer is not None:
                writer.cancel()
            connection.abort("ended")
            self._dismiss(connection)

    async def _greet(self, connection: Connection, expected: str) -> PeerSession | None:
        own = Hello(
            self.vm, self._incarnation, self._settings["DATA_CENTRE"], self._address
        )
        secret = self._settings["PEER_SECRET"]
        outcome = await connection.shake_hands(own, secret, self._clock)
        outcome = outcome.and_then(
            lambda hello: checked_hello(hello, self.vm, expected, self._ended)
        )
        if outcome.is_err():
            self._refuse(connection, outcome.unwrap_err().detail)
            return None
        return self._admit(connection, outcome.unwrap())

    def _admit(self, connection: Connection, hello: Hello) -> PeerSession:
        peer = self._peers.get(hello.vm)
        if peer is not None and peer.hello.incarnation != hello.incarnation:
            # The VM was replaced while its old connection still looks open. A frozen
            # predecessor may resume and send; it must not be mistaken for the VM.
            self._end(peer, "replaced")
            peer = None
        if peer is None:
            peer = self._peers[hello.vm] = PeerSession(hello)
        connection.admit(hello)
        connection.last_seen_at = self._timers.now()
        peer.add(connection)
        self._dialler.on_connected(hello.vm)
        self._metrics.peers_live.set(len(self._peers))
        self._events.emit(
            EventKind.PEER_CONNECTED, hello.vm, incarnation=hello.incarnation
        )
        heartbeat = self.heartbeat_source()
        connection.send(self._encode(heartbeat).unwrap(), heartbeat)
        self._tasks.spawn(self.dispatch(peer.info, hello))
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
            self._remove_peer(peer)

    def _end(self, peer: PeerSession, how: str) -> None:
        self._ended[(peer.hello.vm, peer.hello.incarnation)] = how
        while len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]
        for connection in peer.connections:
            connection.abort(how)
        self._remove_peer(peer)

    def _remove_peer(self, peer: PeerSession) -> None:
        vm = peer.hello.vm
        if self._peers.get(vm) is not peer:
            return
        del self._peers[vm]
        self._dialler.on_lost(vm)
        self._metrics.peers_live.set(len(self._peers))
        self._calls.fail_all(vm)

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
        seen_after = self._timers.now() - 2 * self._heartbeats.interval_s(self._peers)
        return peer.best(self.vm, seen_after).send(data, message)

    async def _read(self, connection: Connection, peer: PeerSession) -> None:
        while True:
            outcome = await connection.receive()
            if outcome.is_err():
                self._refuse(connection, outcome.unwrap_err().detail)
                return
            if connection not in peer.connections:
                return
            frame = outcome.unwrap()
            connection.last_seen_at = self._timers.now()
            self._clock.observe(frame.at)
            self._handle_frame(peer, frame)

    def _handle_frame(self, peer: PeerSession, frame: Frame) -> None:
        message = frame.message
        if frame.reply_to:
            self._calls.settle(peer.hello.vm, frame.reply_to, message)
            return
        if isinstance(message, Hello | Challenge | Proof):
            return
        if isinstance(message, Heartbeat):
            peer.heartbeat = message
            if Heartbeat in self._handlers:
                self._tasks.spawn(self.dispatch(peer.info, message))
            return
        if isinstance(message, Goodbye):
            self._tasks.spawn(self.dispatch(peer.info, message))
            self._end(peer, "goodbye")
            return
        self._tasks.spawn(self._answer(peer, frame))

    async def _answer(self, peer: PeerSession, frame: Frame) -> None:
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

    def _check(self) -> None:
        now = self._timers.now()
        interval_s = self._heartbeats.interval_s(self._peers)
        late = now - self._checked_at > 2 * self._settings["HEARTBEAT_S"]
        self._checked_at = now
        if (
            now - self._heartbeat_sent_at
            >= interval_s - self._settings["HEARTBEAT_S"] / 2
        ):
            self.heartbeat_changed()
        if late:
            # This process itself was suspended, so all connections look silent while
            # their frames wait to be read. They get until the next check.
            return
        for connection in self._heartbeats.silent(self._connections, self._peers, now):
            vm = connection.hello.vm if connection.hello else "unknown"
            self._events.emit(EventKind.PEER_SILENT, vm)
            connection.abort("silent")
        for peer in tuple(self._peers.values()):
            for connection in peer.spare(self.vm, now - 2 * interval_s):
                self._tasks.spawn(connection.close())

    async def _flush(self) -> None:
        end = self._timers.now() + self._settings["HEARTBEAT_S"]
        while self._timers.now() < end:
            if not any(each.queued_bytes for each in self._connections):
                return
            await self._timers.sleep(0.01)
