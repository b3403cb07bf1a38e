"""Which VMs there are, and which of them callers are sent to.

Each VM registers itself in the store. Whether it still lives is seen on the mesh: a VM
that is frozen, cut off or gone falls silent there within a second, while its object
in the store stays.
"""

from random import Random

from ..errors import ErrorKind
from ..events import EventKind, EventRing
from ..hashes import rendezvous
from ..mesh.peers import PeerMesh
from ..platform.objects import read_vm, vm_spec
from ..tasks import TaskSet
from ..timers import TimerService
from .records import StoredRecord, VmRecord
from .store_clients import StoreClient

VMS_KIND = "hawthornlead-vms"
# A VM that was silent for so long is left out of answers. Callers give a new
# connection one second, so that waiting longer costs them a try. In a small fleet each
# VM tells all others of its requests, four times in this time.
SILENT_S = 1.0
# In a large fleet a VM is heard through relays, within 1.2 s, and by heartbeats that
# come the seldomer the more VMs there are.
LARGE_SILENT_S = 2.0
# Telling all of 24 others of requests costs a VM half a percent of a core.
LARGE_FLEET = 24
MOST_ADDRESSES = 64
# By this name all VMs agree on those that own targets in a large fleet. So many
# suffice: with three engines each, a VM answers some 15 questions a second.
OWNERS_NAME = "owners"
MOST_OWNERS = 24
# How old a look at the mesh may be: small beside SILENT_S and LARGE_SILENT_S. A look at
# 87 other VMs takes 0.3 ms.
LOOK_S = 0.1
LARGE_LOOK_S = 0.3
MOST_ORDERS = 4096
REGISTER_RETRY_S = 0.5


class Memberships:
    """This VM's registration, and what it knows of the others.

    ::

        await memberships.register()
        memberships.entry_addresses()
    """

    def __init__(
        self,
        *,
        record: VmRecord,
        client: StoreClient,
        mesh: PeerMesh,
        timers: TimerService,
        rng: Random,
        events: EventRing,
    ):
        self._events = events
        self._record = record
        self._client = client
        self._mesh = mesh
        self._timers = timers
        self._rng = rng
        self._looked_at: float | None = None
        self._heard: set[str] = set()
        self._heard_after = 0.0
        self._relayed_at: dict[str, float] = {}
        self._large = False
        self._live: tuple[str, ...] = ()
        self._orders: dict[str, list[str]] = {}
        self._vms: dict[str, VmRecord] = {}
        self._serving = False
        self._tasks = TaskSet()

    @property
    def vm(self) -> str:
        """The name of this VM."""
        return self._record.vm

    @property
    def incarnation(self) -> str:
        """The incarnation of this VM's process."""
        return self._record.incarnation

    @property
    def leaving(self) -> bool:
        """Whether this VM takes itself out of the answers."""
        return self._record.leaving

    @property
    def serving(self) -> bool:
        """Whether this VM is ready for callers."""
        return self._serving and not self._record.leaving

    @property
    def large(self) -> bool:
        """Whether there are so many VMs that they don't tell all others everything."""
        self._look()
        return self._large

    @property
    def mostly_serving(self) -> bool:
        """Whether at least half of the VMs that are heard take callers."""
        self._look()
        return 2 * len(self._live) >= len(self._heard) + 1

    @property
    def known(self) -> tuple[str, ...]:
        """The VMs that registered themselves, and those that the mesh reaches."""
        reached = [peer.vm for peer in self._mesh.live]
        return tuple({*self._vms, *reached})

    def start(self) -> None:
        """Begin to register."""
        self._tasks.spawn(self._register())

    def stop(self) -> None:
        """End what is under way."""
        self._tasks.cancel()

    def note_serving(self, serving: bool) -> None:
        """Note whether this VM knows enough to serve callers."""
        if serving != self._serving:
            self._events.emit(EventKind.READINESS_CHANGED, self.vm, ready=serving)
        self._serving = serving

    def leave(self) -> None:
        """Take this VM out of all answers; the other VMs are told at once."""
        self._record = self._record._replace(leaving=True)
        self._looked_at = None
        self._mesh.heartbeat_changed()
        self._tasks.spawn(self._register())

    def take(self, record: StoredRecord) -> None:
        """Note a VM's object in the store."""
        vm = read_vm(record)
        self._vms[vm.vm] = vm
        self._meet()

    def keep_unreadable(self, name: str) -> None:
        """Note that a VM's object can't be read: what was known of the VM stays.

        Whether it lives is seen on the mesh and not in its object, and callers are
        sent to a VM only while it is heard under the incarnation that its last readable
        object named. So the VM isn't kept longer than it lives, and a writer that
        spoils all objects of this kind can't part the VMs from one another. The VM
        itself mends its object, or those that start later would never know it.
        """
        if name == self.vm:
            self._tasks.spawn_once("mend", self._register)

    def drop(self, name: str) -> None:
        """Note that a VM's object was removed."""
        self._vms.pop(name, None)
        self._meet()

    def note_relayed(self, vm: str) -> None:
        """Note that a relay passed on what a VM told it a moment ago.

        The more VMs, the seldomer each sends heartbeats to all. Without this one that
        was frozen would stay in the answers for seconds.
        """
        self._relayed_at[vm] = self._timers.now()

    def record_of(self, vm: str) -> VmRecord | None:
        """Return how a VM registered itself, None if it is unknown."""
        return self._vms.get(vm)

    def live(self) -> tuple[str, ...]:
        """Return this VM and those heard lately that aren't leaving."""
        self._look()
        return self._live

    def reaches(self, vm: str) -> bool:
        """Whether a VM is this one or was heard lately."""
        self._look()
        return vm == self.vm or vm in self._heard

    def order_for(self, key: str) -> list[str]:
        """Return the live VMs in the order in which all agree for a key."""
        self._look()
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = rendezvous(key, self._live)
        return order

    def owners_for(self, target: str) -> list[str]:
        """Return the live VMs in the order in which they should own a target.

        In a large fleet a few VMs come first for all targets, since each VM that owns
        one renews a lease in the store. With 88 VMs and 70 engines some 60 of them did,
        17 times a second together.
        """
        order = self.order_for(target)
        if not self._large:
            return order
        few = frozenset(self.order_for(OWNERS_NAME)[:MOST_OWNERS])
        return sorted(order, key=lambda vm: vm not in few)

    def _look(self) -> None:
        """Look at the mesh, unless that was done a moment ago.

        A request asks of each target whether its owner is heard. Looking at all VMs
        each time took a third of the processor time with 58 VMs.
        """
        now = self._timers.now()
        look_s = LARGE_LOOK_S if self._large else LOOK_S
        if self._looked_at is not None and now - self._looked_at < look_s:
            return
        self._looked_at = now
        peers = self._mesh.live
        self._large = len(peers) >= LARGE_FLEET
        silent_s = LARGE_SILENT_S if self._large else SILENT_S
        self._heard_after = heard_after = now - silent_s
        self._heard = {peer.vm for peer in peers if self._heard_at(peer) >= heard_after}
        names = [] if self._record.leaving else [self.vm]
        names += [peer.vm for peer in peers if self._is_live(peer)]
        if tuple(names) != self._live:
            self._live = tuple(names)
            self._orders.clear()
        elif len(self._orders) > MOST_ORDERS:
            self._orders.clear()

    def entry_addresses(self) -> tuple[str, ...]:
        """Return where callers may connect now, in random order."""
        addresses = [self._record.caller_address] if self.serving else []
        self._look()
        for peer in self._mesh.live:
            known = self._vms.get(peer.vm)
            if known is None or known.incarnation != peer.incarnation:
                continue
            if known.leaving or not self._is_live(peer):
                continue
            if not peer.heartbeat.capacity:
                continue
            addresses.append(known.caller_address)
        self._rng.shuffle(addresses)
        return tuple(addresses[:MOST_ADDRESSES])

    def _is_live(self, peer) -> bool:
        if peer.heartbeat is None or peer.heartbeat.draining:
            return False
        return self._heard_at(peer) >= self._heard_after

    def _heard_at(self, peer) -> float:
        return max(peer.heard_at, self._relayed_at.get(peer.vm, 0.0))

    def _meet(self) -> None:
        peers = {}
        for vm in self._vms.values():
            if vm.vm != self.vm and not vm.leaving:
                peers[vm.vm] = vm.peer_address
        self._mesh.set_peers(peers)

    async def _register(self) -> None:
        """Write this VM's object until the store has taken it."""
        record = self._record
        spec = vm_spec(record)
        while record is self._record:
            if await put(self._client, VMS_KIND, self.vm, spec) is not None:
                self._events.emit(EventKind.VM_REGISTERED, self.vm, **spec)
                return
            await self._timers.sleep(REGISTER_RETRY_S * self._rng.uniform(0.5, 1.5))


async def put(
    client: StoreClient, kind: str, name: str, spec: dict
) -> StoredRecord | None:
    """Write an object that only this VM writes; None if the store didn't take it."""
    created = await client.create(kind, name, spec)
    if created.is_ok():
        return created.ok_value
    if created.err_value.kind is not ErrorKind.VERSION_CONFLICT:
        return None
    found = await client.get(kind, name)
    if found.is_err() or found.ok_value is None:
        return None
    if found.ok_value.spec == spec:
        return found.ok_value
    replaced = await client.replace(kind, name, spec, found.ok_value.revision)
    return replaced.ok_value if replaced.is_ok() else None
