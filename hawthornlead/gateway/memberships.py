"""Which VMs there are, and which of them callers are sent to.

Each VM registers itself in the store. Whether it is live is observed on the mesh: a VM
that is frozen, cut off or gone falls silent there within a second, while its object
in the store stays. In a large fleet the heads report it.
"""

from collections import Counter
from random import Random

from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import MAX_MESHED_VMS, FleetMesh
from ..fleet.head_links import HEADS_PER_DATA_CENTRE
from ..fleet.registered_orders import RegisteredOrder
from ..hashes import rendezvous
from ..mesh.meshes import PeerInfo
from ..messages.fleets import MemberState
from ..platform.objects import read_vm
from ..timers import TimerService
from .records import StoredRecord, VmRecord
from .store_clients import StoreClient
from .vm_registrations import VmRegistration

# A VM is left out of answers after this much silence. Callers give a new connection one
# second, so a longer time-out costs them an attempt. In a small fleet each VM announces
# its requests to all others four times within this time.
SILENCE_TIMEOUT_S = 1.0
# In a large fleet its head reports a VM as silent within 1.4 s; this allows for the
# moment without updates while a VM switches from one head to another.
LARGE_SILENCE_TIMEOUT_S = 2.0
MAX_ADDRESSES = 64
# The number of VMs that own all targets of a large fleet. It is small since each owner
# renews a lease and each other VM opens a connection with it.
MAX_OWNERS = 16
# How old the observed state of the mesh may be: small beside SILENCE_TIMEOUT_S and
# LARGE_SILENCE_TIMEOUT_S.
SNAPSHOT_MAX_AGE_S = 0.1
LARGE_SNAPSHOT_MAX_AGE_S = 0.4
# All VMs order those that registered at the same time by this rendezvous key.
OLDEST_ORDER_KEY = "eldest"
MAX_CACHED_ORDERS = 4096


class Memberships:
    """This VM's registration, and the observed state of the other VMs.

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
        self._mesh = mesh
        self._timers = timers
        self._rng = rng
        self._refreshed_at: float | None = None
        self._recently_seen: frozenset[str] = frozenset()
        self._unreaching: frozenset[str] = frozenset()
        self._seen_after = 0.0
        self._large = False
        self._live: tuple[str, ...] = ()
        self._orders: dict[str, list[str]] = {}
        self._oldest: list[str] = []
        self._owners: frozenset[str] = frozenset()
        self._serving = False
        self._reaches_targets = True
        self._registration = VmRegistration(
            client=client,
            timers=timers,
            rng=rng,
            events=events,
            record=lambda: self._record,
        )

    @property
    def vm(self) -> str:
        """The name of this VM."""
        return self._record.vm

    @property
    def registration(self) -> VmRegistration:
        """This VM's registration in the store."""
        return self._registration

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
    def reaches_targets(self) -> bool:
        """Whether this VM reaches targets of all services."""
        return self._reaches_targets

    @property
    def large(self) -> bool:
        """Whether the fleet is so large that updates go through heads."""
        self._refresh()
        return self._large

    @property
    def mostly_serving(self) -> bool:
        """Whether at least half of the recently seen VMs serve callers."""
        self._refresh()
        return 2 * len(self._live) >= len(self._recently_seen) + 1

    @property
    def seen_share(self) -> float:
        """The recently seen share of all VMs that aren't leaving, with this one."""
        self._refresh()
        seen = len(self._recently_seen) + 1
        return seen / max(seen, self._registered_order.count)

    @property
    def known(self) -> tuple[str, ...]:
        """The registered VMs, and those that are live on the mesh."""
        live = [peer.vm for peer in self._mesh.live]
        return tuple({*self._registered_order.records, *live})

    def start(self) -> None:
        """Start registering this VM."""
        self._registration.start()

    def stop(self) -> None:
        """Cancel what is under way."""
        self._registration.stop()

    def mark_serving(self, serving: bool) -> None:
        """Set whether this VM is ready to serve callers."""
        if serving != self._serving:
            self._events.emit(EventKind.READINESS_CHANGED, self.vm, ready=serving)
        self._serving = serving

    def mark_reach(self, reaches_targets: bool) -> None:
        """Set whether this VM reaches targets of all services; notify the others."""
        if reaches_targets != self._reaches_targets:
            self._reaches_targets = reaches_targets
            self._mesh.heartbeat_changed()

    def leave(self) -> None:
        """Take this VM out of all answers; notify the other VMs at once."""
        self._record = self._record._replace(leaving=True)
        self._refreshed_at = None
        self._mesh.heartbeat_changed()
        self._registration.write()

    def own_state(self) -> MemberState:
        """Return the state that this VM announces to the others."""
        return MemberState(
            self.vm,
            self.incarnation,
            self.serving,
            self.leaving,
            reaches_targets=self._reaches_targets,
            stores_origins=True,
        )

    def apply_record(self, record: StoredRecord) -> None:
        """Apply a VM's object of the store."""
        self._registered_order.apply(read_vm(record), record.revision)
        self._discard_orders()

    def on_unreadable_record(self, name: str) -> None:
        """Keep the last readable state of a VM whose object can't be read.

        Whether a VM is live is observed on the mesh, not in its object, and callers are
        sent to a VM only while it is seen under the incarnation of its last readable
        object. So a dead VM isn't kept, and a writer that corrupts all objects of this
        kind can't separate the VMs from one another. The VM itself repairs its object;
        otherwise VMs that start later would never know it.
        """
        if name == self.vm:
            self._registration.repair()

    def remove(self, name: str) -> None:
        """Remove a VM whose object was deleted."""
        self._registered_order.remove(name)
        self._discard_orders()

    def record_of(self, vm: str) -> VmRecord | None:
        """Return a VM's registration, None if it is unknown."""
        return self._registered_order.records.get(vm)

    @property
    def has_registered_others(self) -> bool:
        """Whether other VMs are registered, which may have ended since."""
        return any(vm != self.vm for vm in self._registered_order.records)

    def live(self) -> tuple[str, ...]:
        """Return this VM and the recently seen VMs that aren't leaving."""
        self._refresh()
        return self._live

    def recently_seen(self) -> frozenset[str]:
        """Return the other recently seen VMs, including those that are leaving."""
        self._refresh()
        return self._recently_seen

    def is_reachable(self, vm: str) -> bool:
        """Whether a VM is this one or was recently seen."""
        self._refresh()
        return vm == self.vm or vm in self._recently_seen

    def relay_vms(self) -> tuple[str, ...]:
        """Return the other VMs that may serve a request of this one.

        Those that reach targets of all services, or all if there is none.
        """
        reaching, others = [], []
        for peer, record in self._entry_vms():
            if record.relay_address:
                vms = reaching if peer.heartbeat.reaches_targets else others
                vms.append(peer.vm)
        return tuple(reaching or others)

    def unreaching(self) -> frozenset[str]:
        """Return the live VMs that reach no target of some service."""
        self._refresh()
        own = () if self._reaches_targets else (self.vm,)
        return self._unreaching.union(own)

    def order_for(self, key: str) -> list[str]:
        """Return the live VMs in the rendezvous order of a key, same on all VMs."""
        self._refresh()
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = rendezvous(key, self._live)
        return order

    def oldest(self, count: int) -> list[str]:
        """Return the live VMs with the oldest registrations.

        They stay the same while others are restarted, each of which registers anew.
        """
        self._refresh()
        if not self._oldest:
            order = self.order_for(OLDEST_ORDER_KEY)
            self._oldest = sorted(order, key=self._registered_order.registered_at)
        return self._oldest[:count]

    def relay_order(self, count: int) -> list[str]:
        """Return the live VMs that may relay the store, oldest registrations first.

        In a large fleet the heads come before the others: the first two of each data
        centre.
        """
        self._refresh()
        if not self._large:
            return self.oldest(count)
        heads, others = [], []
        taken: Counter[str] = Counter()
        for vm in self.oldest(len(self._live)):
            record = self._registered_order.records.get(vm)
            if record is None or taken[record.data_centre] >= HEADS_PER_DATA_CENTRE:
                others.append(vm)
                continue
            taken[record.data_centre] += 1
            heads.append(vm)
        return [*heads, *others][:count]

    def owners_for(self, target: str) -> list[str]:
        """Return the live VMs in the order in which they should own a target.

        In a large fleet a few VMs come first for all targets: those with the oldest
        registrations except the heads, which carry more load than others.
        """
        order = self.order_for(target)
        if not self._large:
            return order
        if not self._owners:
            self._owners = self._choose_owners()
        return sorted(order, key=lambda vm: vm not in self._owners)

    def _choose_owners(self) -> frozenset[str]:
        heads: set[str] = set()
        for centre in self._registered_order.data_centres:
            heads.update(
                self._registered_order.oldest_first(centre)[:HEADS_PER_DATA_CENTRE]
            )
        oldest = [vm for vm in self.oldest(len(self._live)) if vm not in heads]
        return frozenset(oldest[:MAX_OWNERS])

    def _refresh(self) -> None:
        """Update the observed state from the mesh, unless it is recent.

        It is cached because a request checks for each target whether its owner is seen.
        """
        now = self._timers.now()
        max_age_s = LARGE_SNAPSHOT_MAX_AGE_S if self._large else SNAPSHOT_MAX_AGE_S
        if self._refreshed_at is not None and now - self._refreshed_at < max_age_s:
            return
        self._refreshed_at = now
        peers = self._mesh.live
        self._large = max(self._registered_order.count, len(peers) + 1) > MAX_MESHED_VMS
        silence_timeout_s = (
            LARGE_SILENCE_TIMEOUT_S if self._large else SILENCE_TIMEOUT_S
        )
        self._seen_after = seen_after = now - silence_timeout_s
        self._recently_seen = frozenset(
            [peer.vm for peer in peers if peer.last_seen_at >= seen_after]
        )
        self._unreaching = frozenset(
            [
                peer.vm
                for peer in peers
                if peer.heartbeat is not None and not peer.heartbeat.reaches_targets
            ]
        )
        names = [] if self._record.leaving else [self.vm]
        names += [peer.vm for peer in peers if self._is_live(peer)]
        if tuple(names) != self._live:
            self._live = tuple(names)
            self._orders.clear()
            self._discard_orders()
        elif len(self._orders) > MAX_CACHED_ORDERS:
            self._orders.clear()

    def _discard_orders(self) -> None:
        """Discard the orders that depend on registrations."""
        self._oldest = []
        self._owners = frozenset()

    def entry_addresses(self) -> tuple[str, ...]:
        """Return the addresses for callers to connect to, in random order.

        VMs that reach no target relay requests to others, so they are left out unless
        there are no others.
        """
        reaching, others = [], []
        if self.serving:
            addresses = reaching if self._reaches_targets else others
            addresses.append(self._record.caller_address)
        for peer, record in self._entry_vms():
            addresses = reaching if peer.heartbeat.reaches_targets else others
            addresses.append(record.caller_address)
        addresses = reaching or others
        self._rng.shuffle(addresses)
        return tuple(addresses[:MAX_ADDRESSES])

    def others_serve(self) -> bool:
        """Whether a caller that is refused here finds another VM."""
        return any(
            each != self._record.caller_address for each in self.entry_addresses()
        )

    def _entry_vms(self) -> list[tuple[PeerInfo, VmRecord]]:
        """Return the other VMs that serve callers, with their registrations."""
        self._refresh()
        serving = []
        for peer in self._mesh.live:
            known = self._registered_order.records.get(peer.vm)
            if known is None or known.incarnation != peer.incarnation:
                continue
            if known.leaving or not self._is_live(peer):
                continue
            if peer.heartbeat.capacity:
                serving.append((peer, known))
        return serving

    def _is_live(self, peer) -> bool:
        if peer.heartbeat is None or peer.heartbeat.draining:
            return False
        return peer.last_seen_at >= self._seen_after
