"""Fleets of many VMs within one process, each connected with a few others only.

Connections are made and lost as over a network: they are dialled, close when a process
ends, and look open while the other end is frozen::

    fleet = FakeFleet({"gijon": 30, "bilbao": 30})
    await fleet.settle()
    fleet.freeze("gijon-0")
    fleet.seen_by("bilbao-7")
"""

import asyncio
from collections import Counter
from random import Random

from hawthornlead.decisions.quotas import QuotaLedger
from hawthornlead.fleet.fleet_meshes import FleetMesh
from hawthornlead.fleet.registered_orders import RegisteredOrder
from hawthornlead.gateway.load_announcements import LoadAnnouncements
from hawthornlead.gateway.records import VmRecord
from hawthornlead.gateway.target_loads import TargetLoads
from hawthornlead.mesh.codecs import Frame, encode
from hawthornlead.messages import Heartbeat, Hello
from hawthornlead.messages.fleets import MemberState
from hawthornlead.timers import ManualTimerService

from .fakes_mesh import LocalMesh, LocalNetwork

MESSAGE_BYTES = 1 << 20
# The time until each VM sees all others after a change: the silence time-out of a head,
# the dial to another, and the propagation of an update through heads.
SETTLED_S = 4.0


class SparseNetwork(LocalNetwork):
    """A network on which only those speak that have a connection."""

    def __init__(self, timers):
        super().__init__(timers)
        self._links: set[frozenset[str]] = set()
        self._last_seen_at: dict[tuple[str, str], float] = {}
        self._frozen: set[str] = set()
        self.dialled = 0

    def join(self, vm: str, data_centre: str = "dc", incarnation: str = ""):
        """Start the mesh of a VM, replacing an older one of its name."""
        self.leave(vm)
        self._frozen.discard(vm)
        mesh = SparseMesh(
            network=self,
            settings=self._settings_of(vm, data_centre),
            timers=self._timers_of_vm(),
            incarnation=incarnation or f"{vm}-1",
        )
        self._meshes[vm] = mesh
        return mesh

    def _timers_of_vm(self):
        """Return the timers of a VM that joins."""
        return self._timers

    def leave(self, vm: str) -> None:
        """End a VM's process, which closes its connections."""
        super().leave(vm)
        self._links = {link for link in self._links if vm not in link}

    def freeze(self, vm: str) -> None:
        """Stop a VM; its connections stay open."""
        self._frozen.add(vm)

    def thaw(self, vm: str) -> None:
        """Let a VM go on."""
        self._frozen.discard(vm)

    def cut(self, a: str, b: str) -> None:
        """Cut two VMs apart, and their connection."""
        super().cut(a, b)
        self._links.discard(frozenset((a, b)))

    def dial(self, a: str, b: str) -> None:
        """Connect two VMs if that can be done."""
        link = frozenset((a, b))
        down = {a, b} & self._frozen or not {a, b} <= set(self._meshes)
        if link in self._links or down or link in self._cuts:
            return
        self.dialled += 1
        self._links.add(link)
        for one, other in ((a, b), (b, a)):
            self._last_seen_at[one, other] = self._timers.now()
        self._greet(a, b)

    def close(self, a: str, b: str) -> None:
        """Close a connection."""
        self._links.discard(frozenset((a, b)))

    def linked(self, a: str, b: str) -> bool:
        """Whether two VMs have a connection."""
        return frozenset((a, b)) in self._links

    def reachable(self, vm: str) -> list[str]:
        """Name the VMs that a VM has a connection with."""
        return [other for other in self._meshes if self.linked(vm, other)]

    def last_seen_at(self, a: str, b: str) -> float:
        """When ``a`` last saw ``b``: now, unless one of them is frozen."""
        if not {a, b} & self._frozen:
            self._last_seen_at[a, b] = self._timers.now()
        return self._last_seen_at[a, b]

    def _lost(self, a: str, b: str, message_type: type) -> bool:
        return bool({a, b} & self._frozen) or super()._lost(a, b, message_type)


class SparseMesh(LocalMesh):
    """The connections of one VM, as ``SparsePeerMesh`` offers them."""

    def __init__(self, **parts):
        super().__init__(**parts)
        self._dialled: dict[str, str] = {}

    def set_links(self, addresses, eager) -> None:
        """Dial these VMs, and close the connections with those dialled before."""
        for vm in set(self._dialled) - set(addresses):
            self._network.close(self.vm, vm)
        self._dialled = dict(addresses)
        for vm in addresses:
            self._network.dial(self.vm, vm)

    def limit_heartbeats_to(self, beaten) -> None:
        """Do nothing: each VM that isn't frozen is seen."""

    def connected(self, vm: str) -> bool:
        """Whether a VM is connected."""
        return self._network.linked(self.vm, vm)

    def last_seen_at(self, vm: str) -> float | None:
        """Return when a connected VM was last seen."""
        if not self.connected(vm):
            return None
        return self._network.last_seen_at(self.vm, vm)

    async def wait_connected(self, vm: str, wait_s: float) -> bool:
        """Say at once whether a VM is connected: dialling takes no time here."""
        return self.connected(vm)

    def drop(self, vm: str) -> None:
        """Close the connection with a VM."""
        self._network.close(self.vm, vm)

    def frame(self, message) -> bytes:
        """Return a message as it goes on a connection."""
        return encode(Frame(0, 0, self.clock.tick(), message), MESSAGE_BYTES).unwrap()

    def cast_to(self, vms, message) -> None:
        """Send a message to some connected VMs."""
        for vm in vms:
            self.cast(vm, message)


class FleetVm:
    """One VM of a fleet: its mesh, and the announcements of its requests."""

    def __init__(self, fleet, name, place, incarnation):
        self.place = place
        self.serving = True
        self.leaving = False
        self.owned = ()
        self.registered_order = RegisteredOrder()
        self.transport = fleet.network.join(name, place, incarnation)
        self.transport.heartbeat_source = lambda: Heartbeat(
            0, 0, False, 0, 1, 0.0, stores_origins=True
        )
        self.mesh = FleetMesh(
            transport=self.transport,
            data_centre=place,
            registered_order=self.registered_order,
            timers=fleet.timers,
            message_bytes=MESSAGE_BYTES,
        )
        self.loads = TargetLoads(timers=fleet.timers)
        self.started = Counter()
        self.heard = Counter()
        self.quotas = QuotaLedger(
            now=fleet.timers.now,
            rng=Random(name),
            share=lambda: self.seen_share,
            vms=lambda: self.registered_order.count or 1,
        )
        self.words = LoadAnnouncements(
            memberships=self,
            loads=self.loads,
            mesh=self.mesh,
            timers=fleet.timers,
            on_update=self._note_word,
            owned=lambda: self.owned,
            quotas=self.quotas,
        )
        self._count_messages()

    def own_state(self) -> MemberState:
        """Return the state that this VM announces."""
        return MemberState(
            self.mesh.vm,
            self.mesh.incarnation,
            self.serving,
            self.leaving,
            stores_origins=True,
        )

    @property
    def seen_share(self) -> float:
        """Return the share of all VMs that this one sees, including itself."""
        heard = len(self.live())
        return heard / max(heard, self.registered_order.count)

    def live(self) -> tuple[str, ...]:
        """Name this VM and those that it takes for living."""
        return (self.mesh.vm, *[peer.vm for peer in self.mesh.live])

    def start(self) -> None:
        """Start connecting and announcing."""
        self.mesh.start()
        self.words.start()

    def stop(self) -> None:
        """End everything."""
        self.words.stop()
        self.mesh._refreshing.cancel()

    def _note_word(self, word) -> None:
        for load in word.loads:
            for use in load.uses:
                self.started[load.target, use.adapter] += use.started

    def _count_messages(self) -> None:
        answer = self.transport.answer

        async def counted(sender, message):
            if not isinstance(message, Hello):
                self.heard[type(message).__name__] += 1
            return await answer(sender, message)

        self.transport.answer = counted


class FakeFleet:
    """VMs of several data centres, registered in the order in which they started."""

    def __init__(self, places: dict[str, int]):
        self.timers = ManualTimerService()
        self.network = SparseNetwork(self.timers)
        self.vms: dict[str, FleetVm] = {}
        self.frozen: set[str] = set()
        self._registered: dict[str, VmRecord] = {}
        self._revisions: dict[str, int] = {}
        self._revision = 0
        for number in range(max(places.values())):
            for place, count in places.items():
                if number < count:
                    self.start(f"{place}-{number}", place)

    def start(self, name: str, place: str) -> FleetVm:
        """Start the process of a VM, or restart it."""
        self._revision += 1
        incarnation = f"{name}-{self._revision}"
        former = self.vms.pop(name, None)
        if former is not None:
            former.stop()
        self.frozen.discard(name)
        vm = FleetVm(self, name, place, incarnation)
        for known in self._registered.values():
            vm.registered_order.apply(known, self._revisions[known.vm])
        self.vms[name] = vm
        record = VmRecord(name, incarnation, place, f"{name}:1", f"{name}:2", False)
        self._register(record)
        vm.start()
        return vm

    def kill(self, name: str) -> None:
        """Kill the process of a VM without a goodbye."""
        self.vms.pop(name).stop()
        self.frozen.discard(name)
        self.network.leave(name)

    def freeze(self, name: str) -> None:
        """Stop a VM for a while."""
        self.frozen.add(name)
        self.network.freeze(name)

    def thaw(self, name: str) -> None:
        """Let a VM go on."""
        self.frozen.discard(name)
        self.network.thaw(name)

    def leave(self, name: str) -> None:
        """Let a VM say that it leaves."""
        self.vms[name].leaving = True
        self._register(self._registered[name]._replace(leaving=True))

    async def settle(self, seconds: float = SETTLED_S) -> None:
        """Let time pass."""
        await self.timers.advance(seconds)

    def seen_by(self, name: str) -> set[str]:
        """Name the other VMs that a VM takes for living and staying now."""
        heard_after = self.timers.now() - 2.0
        seen = set()
        for peer in self.vms[name].mesh.live:
            if peer.last_seen_at >= heard_after and not peer.heartbeat.draining:
                seen.add(peer.vm)
        return seen

    def staying(self) -> set[str]:
        """Name the VMs that run and stay."""
        return {
            name
            for name, vm in self.vms.items()
            if name not in self.frozen and not vm.leaving
        }

    def heads(self) -> set[str]:
        """Name the VMs that take themselves for heads."""
        return {name for name, vm in self.vms.items() if vm.mesh.is_head}

    def connections(self, name: str) -> int:
        """Count the connections of a VM."""
        return len(self.network.reachable(name))

    def stop(self) -> None:
        """End all VMs."""
        for vm in self.vms.values():
            vm.stop()

    def _register(self, record: VmRecord) -> None:
        """Apply a registration at all VMs, as the store would."""
        self._revision += 1
        self._registered[record.vm] = record
        self._revisions[record.vm] = self._revision
        for vm in self.vms.values():
            vm.registered_order.apply(record, self._revision)


async def let_run() -> None:
    """Let tasks run that are due."""
    for _ in range(20):
        await asyncio.sleep(0)
