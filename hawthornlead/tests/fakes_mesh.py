"""Meshes within one process, with cuts, losses and delays, for tests.

Every message passes through the codec, so that a test also finds what would not
survive the network::

    network = LocalNetwork(timers)
    a = network.join("a", "gijon")
    b = network.join("b", "bilbao")
    network.cut("a", "b")
"""

import asyncio
from collections import Counter, defaultdict
from typing import Any

from result import Err, Result

from hawthornlead.clocks import HybridClock
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.events import EventRing
from hawthornlead.mesh.codecs import Frame, decode, encode
from hawthornlead.mesh.meshes import Mesh, PeerInfo, outcome_of
from hawthornlead.messages import Goodbye, Heartbeat, Hello
from hawthornlead.settings import default_settings


class LocalNetwork:
    """The network between the meshes of one test.

    ``cut`` is known at once to both ends, as after a closed connection; what is
    ``silent`` looks connected and loses all that is sent, as before its discovery.
    """

    def __init__(self, timers):
        self._timers = timers
        self._meshes: dict[str, LocalMesh] = {}
        self._cuts: set[frozenset[str]] = set()
        self._silent: dict[frozenset[str], float] = {}
        self._drops: Counter[tuple[str, str, type]] = Counter()
        self._delays: dict[tuple[str, str], float] = {}
        self._tasks: set[asyncio.Task] = set()
        # Open calls to each VM, and how to fail them.
        self.open_calls: dict[str, set] = defaultdict(set)
        self.sent: Counter[str] = Counter()

    def join(self, vm: str, data_centre: str = "dc", incarnation: str = "", **settings):
        """Start the mesh of a VM, replacing an older one of its name."""
        mesh = LocalMesh(
            network=self,
            settings=self._settings_of(vm, data_centre, **settings),
            timers=self._timers,
            incarnation=incarnation or f"{vm}-1",
        )
        self._meshes[vm] = mesh
        for other in self.reachable(vm):
            self._greet(vm, other)
        return mesh

    def leave(self, vm: str) -> None:
        """Stop a VM's process without a word, as a kill does."""
        self._meshes.pop(vm, None)
        # As by a closed connection, those who wait for an answer learn of it.
        for fail in self.open_calls.pop(vm, ()):
            fail()

    def cut(self, a: str, b: str) -> None:
        """Cut two VMs apart."""
        self._cuts.add(frozenset((a, b)))

    def silence(self, a: str, b: str) -> None:
        """Lose all between two VMs, which still look connected."""
        self._silent[frozenset((a, b))] = self._timers.now()

    def heal(self, a: str, b: str) -> None:
        """End a cut or a silence."""
        self._silent.pop(frozenset((a, b)), None)
        if frozenset((a, b)) in self._cuts:
            self._cuts.discard(frozenset((a, b)))
            self._greet(a, b)

    def drop(self, a: str, b: str, message_type: type, count: int = 1) -> None:
        """Lose the next messages of a type from ``a`` to ``b``."""
        self._drops[(a, b, message_type)] += count

    def delay(self, a: str, b: str, seconds: float) -> None:
        """Let each message from ``a`` to ``b`` take this long."""
        self._delays[(a, b)] = seconds

    def mesh_of(self, vm: str) -> "LocalMesh | None":
        """Return the running mesh of a VM."""
        return self._meshes.get(vm)

    def reachable(self, vm: str) -> list[str]:
        """Name the VMs that a VM is connected to."""
        return [
            other
            for other in self._meshes
            if other != vm and frozenset((vm, other)) not in self._cuts
        ]

    def last_seen_at(self, a: str, b: str) -> float:
        """When ``a`` last heard ``b``."""
        return self._silent.get(frozenset((a, b)), self._timers.now())

    def probe(self, vm: str, address: str) -> str:
        """Say how a fresh connection from a VM to an address fares."""
        for name, mesh in self._meshes.items():
            if mesh.address != address:
                continue
            pair = frozenset((vm, name))
            return "silent" if pair in self._cuts else "accepted"
        return "refused"

    def spawn(self, coroutine) -> None:
        """Run a delivery in a task of its own."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def carry(self, a: "LocalMesh", b: str, message: Any) -> Any:
        """Return the message as it arrives, or None when it is lost."""
        limit = a.settings["MAX_MESSAGE_BYTES"]
        frame = Frame(1, 0, a.clock.tick(), message)
        data = encode(frame, limit).unwrap()
        self.sent[type(message).__name__] += 1
        if seconds := self._delays.get((a.vm, b), 0.0):
            await self._timers.sleep(seconds)
        if self._lost(a.vm, b, type(message)):
            return None
        arrived = decode(data, limit).unwrap()
        self._meshes[b].clock.observe(arrived.at)
        return arrived.message

    @staticmethod
    def _settings_of(vm: str, data_centre: str, **settings):
        return default_settings(
            VM_NAME=vm, DATA_CENTRE=data_centre, PEER_ADDRESS=f"{vm}:7000", **settings
        )

    def _lost(self, a: str, b: str, message_type: type) -> bool:
        if b not in self.reachable(a) or frozenset((a, b)) in self._silent:
            return True
        if self._drops[(a, b, message_type)] == 0:
            return False
        self._drops[(a, b, message_type)] -= 1
        return True

    def _greet(self, a: str, b: str) -> None:
        for one, other in ((a, b), (b, a)):
            if one in self._meshes and other in self._meshes:
                sender = self._meshes[one]
                hello = Hello(
                    sender.vm, sender.incarnation, sender.data_centre, sender.address
                )
                self.spawn(sender.deliver(other, hello))


class LocalMesh(Mesh):
    """The mesh of one VM within a test's process."""

    def __init__(self, *, network: LocalNetwork, settings, timers, incarnation: str):
        clock = HybridClock(timers)
        events = EventRing(settings["VM_NAME"], clock)
        super().__init__(
            settings=settings,
            timers=timers,
            events=events,
            clock=clock,
            incarnation=incarnation,
        )
        self._network = network
        self._gone: set[tuple[str, str]] = set()

    # Of a small fleet, in which every VM speaks with all others itself.
    large = False
    is_head = True
    feed = ""

    @property
    def settings(self):
        """The settings of this VM."""
        return self._settings

    @property
    def clock(self) -> HybridClock:
        """The hybrid logical clock of this VM."""
        return self._clock

    @property
    def data_centre(self) -> str:
        """The data centre of this VM."""
        return self._settings["DATA_CENTRE"]

    @property
    def live(self) -> tuple[PeerInfo, ...]:
        """The VMs that this one is connected to."""
        if self._network.mesh_of(self.vm) is not self:
            return ()
        infos = []
        for vm in self._network.reachable(self.vm):
            info = self._network.mesh_of(vm).myself
            infos.append(
                info._replace(last_seen_at=self._network.last_seen_at(self.vm, vm))
            )
        return tuple(infos)

    def start(self) -> None:
        """Do nothing: a mesh is joined when it is made."""

    async def listen(self) -> None:
        """Do nothing: a mesh is joined when it is made."""

    async def stop(self, goodbye: bool = False) -> None:
        """Leave the network, with a ``Goodbye`` to all if asked."""
        if goodbye:
            self.broadcast(Goodbye(self.vm, self.incarnation))
            await asyncio.sleep(0)
        self._network.leave(self.vm)

    def set_peers(self, peers: dict[str, str]) -> None:
        """Do nothing: all meshes of a network are connected."""

    def gone(self, vm: str, incarnation: str) -> bool:
        """Whether this incarnation of a VM said goodbye."""
        return (vm, incarnation) in self._gone

    def heartbeat_changed(self) -> None:
        """Send the heartbeat to all."""
        self.broadcast(self.heartbeat_source())

    async def probe(self, address: str) -> str:
        """Open a fresh connection: ``refused``, ``accepted`` or ``silent``."""
        return self._network.probe(self.vm, address)

    async def call(
        self, vm: str, message: Any, timeout_s: float | None = None
    ) -> Result[Any, Failure]:
        """Send a message and wait for its reply."""
        if vm == self.vm:
            return outcome_of(await self.answer(self.myself, message))
        away = Failure(ErrorKind.PEER_UNAVAILABLE, f"{vm} is not connected")
        if vm not in self._network.reachable(self.vm):
            return Err(away)
        outcome = asyncio.get_running_loop().create_future()

        def time_out():
            if not outcome.done():
                outcome.set_result(Err(away._replace(detail=f"{vm} did not reply")))

        wait_s = timeout_s or self._settings["PEER_CALL_S"]
        timeout = self._timers.after(wait_s, time_out, name="call")
        self._network.open_calls[vm].add(time_out)
        self._network.spawn(self._ask(vm, message, outcome))
        try:
            return await outcome
        finally:
            timeout.cancel()
            self._network.open_calls[vm].discard(time_out)

    def cast(self, vm: str, message: Any) -> bool:
        """Send a message that has no reply; False when the VM is not connected."""
        if vm == self.vm:
            self._network.spawn(self.answer(self.myself, message))
            return True
        if vm not in self._network.reachable(self.vm):
            return False
        self._network.spawn(self.deliver(vm, message))
        return True

    def cast_to(self, vms, message: Any) -> None:
        """Send a message that has no reply to some connected VMs."""
        for vm in vms:
            self.cast(vm, message)

    def broadcast(self, message: Any) -> None:
        """Send a message that has no reply to all connected VMs."""
        for vm in self._network.reachable(self.vm):
            self.cast(vm, message)

    async def deliver(self, vm: str, message: Any) -> None:
        """Carry one message to a VM and have it handled there."""
        other = self._network.mesh_of(vm)
        arrived = await self._network.carry(self, vm, message)
        if arrived is None or other is not self._network.mesh_of(vm):
            return
        if isinstance(arrived, Goodbye):
            other._gone.add((arrived.vm, arrived.incarnation))
        if isinstance(arrived, Hello | Heartbeat | Goodbye):
            await other.dispatch(self.myself, arrived)
            return
        await other.answer(self.myself, arrived)

    async def _ask(self, vm: str, message: Any, outcome: asyncio.Future) -> None:
        other = self._network.mesh_of(vm)
        arrived = await self._network.carry(self, vm, message)
        if arrived is None:
            return
        reply = await other.answer(self.myself, arrived)
        if other is not self._network.mesh_of(vm):
            return
        back = await self._network.carry(other, self.vm, reply)
        if back is not None and not outcome.done():
            outcome.set_result(outcome_of(back))
