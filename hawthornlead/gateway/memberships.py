"""Which VMs there are, and which of them callers are sent to.

Each VM registers itself in the store. Whether it still lives is seen on the mesh: a VM
that is frozen, cut off or gone falls silent there within a second, while its object
in the store stays. In a large fleet the heads tell of it.
"""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from ..errors import ErrorKind
from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import MAX_MESHED_VMS, FleetMesh
from ..fleet.head_links import HEADS_PER_DATA_CENTRE
from ..fleet.registered_orders import RegisteredOrder
from ..hashes import rendezvous
from ..messages.fleets import MemberState
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
# In a large fleet its head says of a VM within 1.4 s that it is silent; this bears that
# a VM hears nothing for a moment, as it turns from one head to another.
LARGE_SILENT_S = 2.0
MOST_ADDRESSES = 64
# So many VMs own all targets of a large fleet, since each of them renews a lease and
# each other VM opens a connection with it.
MOST_OWNERS = 16
# How old a look at the mesh may be: small beside SILENT_S and LARGE_SILENT_S.
LOOK_S = 0.1
LARGE_LOOK_S = 0.4
# By this name all VMs agree on the order of those that registered at the same time.
ELDEST_NAME = "eldest"
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
        mesh: FleetMesh,
        timers: TimerService,
        rng: Random,
        events: EventRing,
        registered_order: RegisteredOrder | None = None,
    ):
        self._events = events
        self._record = record
        self._registered_order = registered_order or RegisteredOrder()
        self._client = client
        self._mesh = mesh
        self._timers = timers
        self._rng = rng
        self._looked_at: float | None = None
        self._heard: frozenset[str] = frozenset()
        self._heard_after = 0.0
        self._large = False
        self._live: tuple[str, ...] = ()
        self._orders: dict[str, list[str]] = {}
        self._eldest: list[str] = []
        self._owners: frozenset[str] = frozenset()
        self._serving = False
        self._registered = False
        self._tasks = TaskSet()
        # Called once with whether this VM had registered before, in an earlier process.
        self.on_registered: Callable[[bool], None] = lambda again: None

    @property
    def vm(self) -> str:
        """The name of this VM."""
        return self._record.vm

    @property
    def incarnation(self) -> str:
        """The incarnation of this VM's process."""
        return self._record.incarnation

    @property
    def registered_order(self) -> RegisteredOrder:
        """The VMs that registered themselves."""
        return self._registered_order

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
        """Whether there are so many VMs that they hear of each other through heads."""
        self._look()
        return self._large

    @property
    def mostly_serving(self) -> bool:
        """Whether at least half of the VMs that are heard take callers."""
        self._look()
        return 2 * len(self._live) >= len(self._heard) + 1

    @property
    def seen_share(self) -> float:
        """Which part of all VMs that stay is heard, this one included."""
        self._look()
        heard = len(self._heard) + 1
        return heard / max(heard, self._registered_order.count)

    @property
    def known(self) -> tuple[str, ...]:
        """The VMs that registered themselves, and those that the mesh reaches."""
        reached = [peer.vm for peer in self._mesh.live]
        return tuple({*self._registered_order.records, *reached})

    def start(self) -> None:
        """Begin to register."""
        self._tasks.spawn(self._register())

    def stop(self) -> None:
        """End what is under way."""
        self._tasks.cancel()

    def mark_serving(self, serving: bool) -> None:
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

    def own_state(self) -> MemberState:
        """Return what the other VMs are told of this one."""
        return MemberState(self.vm, self.incarnation, self.serving, self.leaving)

    def take(self, record: StoredRecord) -> None:
        """Note a VM's object in the store."""
        self._registered_order.apply(read_vm(record), record.revision)
        self._forget_orders()

    def on_unreadable_record(self, name: str) -> None:
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
        self._registered_order.remove(name)
        self._forget_orders()

    def record_of(self, vm: str) -> VmRecord | None:
        """Return how a VM registered itself, None if it is unknown."""
        return self._registered_order.records.get(vm)

    def live(self) -> tuple[str, ...]:
        """Return this VM and those heard lately that aren't leaving."""
        self._look()
        return self._live

    def recently_seen(self) -> frozenset[str]:
        """Return the other VMs that were heard lately, those that leave included."""
        self._look()
        return self._heard

    def is_reachable(self, vm: str) -> bool:
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

    def eldest(self, count: int) -> list[str]:
        """Return the live VMs that registered first.

        They stay the same while others are restarted, each of which registers anew.
        """
        self._look()
        if not self._eldest:
            order = self.order_for(ELDEST_NAME)
            self._eldest = sorted(order, key=self._registered_order.registered_at)
        return self._eldest[:count]

    def relay_order(self, count: int) -> list[str]:
        """Return the live VMs that may watch the store for all, the eldest first.

        In a large fleet the heads come before the others: the first two of each data
        centre.
        """
        self._look()
        if not self._large:
            return self.eldest(count)
        heads, others = [], []
        taken: Counter[str] = Counter()
        for vm in self.eldest(len(self._live)):
            record = self._registered_order.records.get(vm)
            if record is None or taken[record.data_centre] >= HEADS_PER_DATA_CENTRE:
                others.append(vm)
                continue
            taken[record.data_centre] += 1
            heads.append(vm)
        return [*heads, *others][:count]

    def owners_for(self, target: str) -> list[str]:
        """Return the live VMs in the order in which they should own a target.

        In a large fleet a few VMs come first for all targets: those that registered
        first, but not the heads, which have more to do than others.
        """
        order = self.order_for(target)
        if not self._large:
            return order
        if not self._owners:
            self._owners = self._choose_owners()
        return sorted(order, key=lambda vm: vm not in self._owners)

    def _choose_owners(self) -> frozenset[str]:
        heads: set[str] = set()
        for place in self._registered_order.data_centres:
            heads.update(
                self._registered_order.oldest_first(place)[:HEADS_PER_DATA_CENTRE]
            )
        eldest = [vm for vm in self.eldest(len(self._live)) if vm not in heads]
        return frozenset(eldest[:MOST_OWNERS])

    def _look(self) -> None:
        """Look at the mesh, unless that was done a moment ago.

        A request asks of each target whether its owner is heard.
        """
        now = self._timers.now()
        look_s = LARGE_LOOK_S if self._large else LOOK_S
        if self._looked_at is not None and now - self._looked_at < look_s:
            return
        self._looked_at = now
        peers = self._mesh.live
        self._large = max(self._registered_order.count, len(peers) + 1) > MAX_MESHED_VMS
        silent_s = LARGE_SILENT_S if self._large else SILENT_S
        self._heard_after = heard_after = now - silent_s
        self._heard = frozenset(
            [peer.vm for peer in peers if peer.last_seen_at >= heard_after]
        )
        names = [] if self._record.leaving else [self.vm]
        names += [peer.vm for peer in peers if self._is_live(peer)]
        if tuple(names) != self._live:
            self._live = tuple(names)
            self._orders.clear()
            self._forget_orders()
        elif len(self._orders) > MOST_ORDERS:
            self._orders.clear()

    def _forget_orders(self) -> None:
        """Drop what was worked out of who registered when."""
        self._eldest = []
        self._owners = frozenset()

    def entry_addresses(self) -> tuple[str, ...]:
        """Return where callers may connect now, in random order."""
        addresses = [self._record.caller_address] if self.serving else []
        self._look()
        for peer in self._mesh.live:
            known = self._registered_order.records.get(peer.vm)
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
        return peer.last_seen_at >= self._heard_after

    async def _register(self) -> None:
        """Write this VM's object until the store has taken it."""
        record = self._record
        spec = vm_spec(record)
        while record is self._record:
            written = await put(self._client, VMS_KIND, self.vm, spec)
            if written is not None:
                self._events.emit(EventKind.VM_REGISTERED, self.vm, **spec)
                self._note_registered(written.created)
                return
            await self._timers.sleep(REGISTER_RETRY_S * self._rng.uniform(0.5, 1.5))

    def _note_registered(self, created: bool) -> None:
        if not self._registered:
            self._registered = True
            self.on_registered(not created)


class Written(NamedTuple):
    """An object as the store took it; ``created`` if there was none before."""

    record: StoredRecord
    created: bool


async def put(client: StoreClient, kind: str, name: str, spec: dict) -> Written | None:
    """Write an object that only this VM writes; None if the store didn't take it."""
    created = await client.create(kind, name, spec)
    if created.is_ok():
        return Written(created.ok_value, True)
    if created.err_value.kind is not ErrorKind.VERSION_CONFLICT:
        return None
    found = await client.get(kind, name)
    if found.is_err() or found.ok_value is None:
        return None
    if found.ok_value.spec == spec:
        return Written(found.ok_value, False)
    replaced = await client.replace(kind, name, spec, found.ok_value.revision)
    return Written(replaced.ok_value, False) if replaced.is_ok() else None
