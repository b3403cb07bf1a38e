"""A fleet that follows the store's objects, whole and on a played clock.

The parts that carry a change are the real ones: registration, heads, relays, watchers.
The store, the network and the clock are played::

    fleet = PlayedFleet({"gijon": 9, "bilbao": 9, "santander": 9}, Random(7))
    await fleet.start_all()
    fleet.configure()
    fleet.freeze("gijon-0")
"""

import asyncio
from random import Random
from typing import Any

from hawthornlead.clocks import HybridClock
from hawthornlead.decisions.quotas import QuotaLedger
from hawthornlead.events import EventRing
from hawthornlead.fleet.fleet_meshes import FleetMesh
from hawthornlead.fleet.registered_orders import RegisteredOrder
from hawthornlead.gateway.load_announcements import LoadAnnouncements
from hawthornlead.gateway.memberships import Memberships
from hawthornlead.gateway.records import StoredRecord, VmRecord
from hawthornlead.gateway.store_retries import StoreRetries
from hawthornlead.gateway.target_loads import TargetLoads
from hawthornlead.gateway.vm_registrations import VMS_KIND
from hawthornlead.gateway.watch_relays import WatchRelays
from hawthornlead.gateway.watchers import KindWatcher
from hawthornlead.mesh.codecs import Frame, decode, encode
from hawthornlead.messages import Heartbeat
from hawthornlead.platform.objects import CONFIGURATION_KIND, CONFIGURATION_NAME

from .fakes_clocks import PlayedTimers
from .fakes_fleets import MESSAGE_BYTES, SparseMesh, SparseNetwork
from .fakes_played_stores import PlayedClient, PlayedStore

NEAR_S = 0.0002
FAR_S = 0.0014
# A VM answers its messages one after the other, at times late.
MOST_LATE_S = 0.01
# Messages of one connection stay in order.
NEXT_S = 1e-6
THINGS_KIND = "things"
FIRST_VERSION = 1
STARTED_WITHIN_S = 0.3
SETTLED_S = 8.0


class PlayedNetwork(SparseNetwork):
    """Connections that take time, keep their order, and hold what a frozen VM gets."""

    def __init__(self, rng: Random):
        super().__init__(PlayedTimers())
        self._rng = rng
        self._arrives_at: dict[tuple[str, str], float] = {}
        self._opened: dict[frozenset[str], int] = {}
        self._silenced: set[frozenset[str]] = set()

    def _timers_of_vm(self) -> PlayedTimers:
        """Return timers that stop while the VM that joins is frozen."""
        return PlayedTimers()

    def dial(self, a: str, b: str) -> None:
        """Connect two VMs if that can be done."""
        link = frozenset((a, b))
        if link in self._silenced:
            return
        known = link in self._links
        super().dial(a, b)
        if not known and link in self._links:
            self._opened[link] = self._opened.get(link, 0) + 1

    def break_link(self, a: str, b: str) -> None:
        """Break a connection with what is on its way; it may be dialled again."""
        self.close(a, b)
        self._opened[frozenset((a, b))] = self._opened.get(frozenset((a, b)), 0) + 1

    def hush(self, a: str, b: str) -> None:
        """Lose all between two VMs; their connection, if there is one, looks open."""
        self._silenced.add(frozenset((a, b)))
        self.last_seen_at(a, b)

    def unhush(self, a: str, b: str) -> None:
        """End a silence, in which open connections are reset."""
        self._silenced.discard(frozenset((a, b)))
        self.break_link(a, b)

    def last_seen_at(self, a: str, b: str) -> float:
        """When ``a`` last saw ``b``."""
        still = {a, b} & self._frozen or frozenset((a, b)) in self._silenced
        if not still:
            self._last_seen_at[a, b] = self._timers.now()
        return self._last_seen_at.get((a, b), 0.0)

    async def carry(self, a: SparseMesh, b: str, message: Any) -> Any:
        """Return the message as it arrives, or None when it is lost."""
        link = frozenset((a.vm, b))
        opened = self._opened.get(link)
        data = encode(Frame(1, 0, a.clock.tick(), message), MESSAGE_BYTES).unwrap()
        await self._await_arrival(a, b)
        if opened != self._opened.get(link) or self._lost(a.vm, b, type(message)):
            return None
        arrived = decode(data, MESSAGE_BYTES).unwrap()
        self._meshes[b].clock.observe(arrived.at)
        return arrived.message

    async def _await_arrival(self, a: SparseMesh, b: str) -> None:
        other = self._meshes.get(b)
        near = other is not None and other.data_centre == a.data_centre
        now = self._timers.now()
        takes_s = (NEAR_S if near else FAR_S) + self._rng.uniform(0, MOST_LATE_S)
        at = max(now + takes_s, self._arrives_at.get((a.vm, b), 0.0) + NEXT_S)
        self._arrives_at[a.vm, b] = at
        await asyncio.sleep(at - now)
        if other is not None:
            await other._timers.running()

    def _lost(self, a: str, b: str, message_type: type) -> bool:
        if b not in self._meshes or not self.linked(a, b):
            return True
        return frozenset((a, b)) in self._silenced


class PlayedVm:
    """One VM with all parts by which it follows the store's objects."""

    def __init__(self, name: str, place: str, number: int, fleet: "PlayedFleet"):
        self.name = name
        self.place = place
        incarnation = f"{name}.{number}"
        rng = Random(f"{fleet.seed} {incarnation}")
        self.transport = fleet.network.join(name, place, incarnation)
        self.timers = self.transport._timers
        self.transport.heartbeat_source = lambda: Heartbeat(0, 0, False, 0, 1, 0.0)
        self.registered_order = RegisteredOrder()
        self.mesh = FleetMesh(
            transport=self.transport,
            data_centre=place,
            registered_order=self.registered_order,
            timers=self.timers,
            message_bytes=MESSAGE_BYTES,
        )
        self.client = PlayedClient(name, fleet.store, self.timers, rng)
        self.events = EventRing(name, HybridClock(self.timers))
        self.events.write = lambda line: None
        record = VmRecord(name, incarnation, place, f"{name}:1", f"{name}:2", False)
        self.memberships = Memberships(
            record=record,
            client=self.client,
            mesh=self.mesh,
            timers=self.timers,
            rng=rng,
            events=self.events,
            registered_order=self.registered_order,
        )
        self.relays = WatchRelays(
            memberships=self.memberships,
            mesh=self.mesh,
            timers=self.timers,
            client=self.client,
            events=self.events,
        )
        self.words = self._make_words(rng)
        self.version = 0
        self.things: dict[str, int] = {}
        self.watchers = self._make_watchers(rng)
        self.disturbed_at = self.timers.now()

    def start(self) -> None:
        """Begin to register, connect and follow."""
        self.mesh.start()
        self.memberships.start()
        self.memberships.mark_serving(True)
        self.words.start()
        self.relays.start()
        for watcher in self.watchers.values():
            watcher.start()

    def stop(self) -> None:
        """End the process."""
        for watcher in self.watchers.values():
            watcher.stop()
        self.words.stop()
        self.memberships.stop()
        self.mesh._refreshing.cancel()
        self.timers.stop()
        self.timers.freeze()

    def _make_words(self, rng: Random) -> LoadAnnouncements:
        quotas = QuotaLedger(
            now=self.timers.now,
            rng=rng,
            share=lambda: self.memberships.seen_share,
            vms=lambda: self.registered_order.count or 1,
        )
        return LoadAnnouncements(
            memberships=self.memberships,
            loads=TargetLoads(timers=self.timers),
            mesh=self.mesh,
            timers=self.timers,
            on_update=lambda word: None,
            owned=lambda: (),
            quotas=quotas,
        )

    def _make_watchers(self, rng: Random) -> dict[str, KindWatcher]:
        common = {
            "client": self.client,
            "timers": self.timers,
            "rng": rng,
            "events": self.events,
            "relays": self.relays,
            "retries": StoreRetries(self.timers),
        }
        return {
            CONFIGURATION_KIND: KindWatcher(
                CONFIGURATION_KIND,
                **common,
                on_changed=self._take_configuration,
                on_deleted=lambda name: None,
                version_of=lambda record: record.spec["version"],
                fetched=True,
            ),
            THINGS_KIND: KindWatcher(
                THINGS_KIND,
                **common,
                on_changed=self._take_thing,
                on_deleted=lambda name: self.things.pop(name),
                effective_content=lambda record: record.spec["n"] // 10,
                pause_s=0.3,
                fetched=True,
            ),
            VMS_KIND: KindWatcher(
                VMS_KIND,
                **common,
                on_changed=self.memberships.apply_record,
                on_deleted=self.memberships.remove,
                on_unreadable=self.memberships.on_unreadable_record,
                pause_s=0.2,
            ),
        }

    def _take_configuration(self, record: StoredRecord) -> None:
        if record.name == CONFIGURATION_NAME:
            self.version = max(self.version, record.spec["version"])

    def _take_thing(self, record: StoredRecord) -> None:
        self.things[record.name] = record.spec["n"] // 10


class PlayedFleet:
    """All VMs, the store, and what disturbs them.

    A VM is ``disturbed`` while it is frozen, cut off or started; what holds for VMs in
    touch is asked of those that weren't for a while.
    """

    def __init__(self, places: dict[str, int], rng: Random):
        self.seed = rng.random()
        self.network = PlayedNetwork(Random(self.seed))
        self.store = PlayedStore()
        self.vms: dict[str, PlayedVm] = {}
        self.acknowledged: list[tuple[float, int]] = []
        self._rng = rng
        self._starts = 0
        self._silenced: set[tuple[str, str]] = set()
        self._places = places
        self.configure()

    @property
    def now(self) -> float:
        """Seconds of the played clock."""
        return asyncio.get_running_loop().time()

    async def start_all(self) -> None:
        """Start all VMs within a moment, and let them settle."""
        for number in range(max(self._places.values())):
            for place, count in self._places.items():
                if number < count:
                    self.start(f"{place}-{number}", place)
                    count_all = sum(self._places.values())
                    await asyncio.sleep(STARTED_WITHIN_S / count_all)
        await asyncio.sleep(SETTLED_S)

    def start(self, name: str, place: str) -> None:
        """Start a VM's process, in the place of an earlier one."""
        self.kill(name)
        self._starts += 1
        self.vms[name] = vm = PlayedVm(name, place, self._starts, self)
        vm.start()

    def kill(self, name: str) -> None:
        """Kill a VM's process without a goodbye."""
        vm = self.vms.pop(name, None)
        if vm is not None:
            vm.stop()
            self.network.leave(name)

    def freeze(self, name: str) -> None:
        """Freeze a VM."""
        self.vms[name].timers.freeze()
        self.network.freeze(name)

    def thaw(self, name: str) -> None:
        """Let a VM go on, with what was sent to it meanwhile."""
        vm = self.vms.get(name)
        if vm is not None and vm.timers.frozen:
            self.network.thaw(name)
            vm.timers.thaw()
            self.disturb(name)

    def cut_off(self, name: str) -> None:
        """Cut a VM from all others, silently for both sides."""
        for other in self.vms:
            if other != name:
                self._silenced.add((name, other))
                self.network.hush(name, other)

    def join_again(self, name: str) -> None:
        """End a cut."""
        for pair in tuple(self._silenced):
            if name in pair:
                self._silenced.discard(pair)
                self.network.unhush(*pair)
        self.disturb(name)

    def disturb(self, name: str) -> None:
        """Note that a VM isn't in touch now."""
        vm = self.vms.get(name)
        if vm is not None:
            vm.disturbed_at = self.now

    def disturbed(self, name: str) -> bool:
        """Whether something holds a VM up now."""
        return self.vms[name].timers.frozen or any(
            name == pair[0] for pair in self._silenced
        )

    def configure(self) -> int:
        """Write the next version of the configuration, and return it."""
        version = len(self.acknowledged) + FIRST_VERSION
        spec = {"version": version}
        self.store.write(CONFIGURATION_KIND, CONFIGURATION_NAME, spec)
        self.acknowledged.append((self.now, version))
        return version

    def heads(self) -> list[str]:
        """Name the VMs that take themselves for heads."""
        return [name for name, vm in self.vms.items() if vm.mesh.is_head]

    def relays(self) -> list[str]:
        """Name the VMs that watch for all others."""
        return [name for name, vm in self.vms.items() if vm.relays.is_relay]

    def subscribers_of(self, head: str) -> list[str]:
        """Name the subscribers of a head."""
        return [name for name, vm in self.vms.items() if vm.mesh.upstream_head == head]

    def stop(self) -> None:
        """End all VMs."""
        for name in tuple(self.vms):
            self.kill(name)
