"""The bundle in force on this VM, its freshness and whether it may be served.

A VM serves a bundle only while it can prove that no newer one is in force elsewhere.
``BundleKeeper.may_serve`` is called for each request and reads the clock itself, so
that a process that was frozen refuses before it has received any message::

    permitted = keeper.may_serve()
    if permitted.is_err():
        return permitted
    bundle = permitted.unwrap().bundle
"""

from functools import partial
from typing import NamedTuple

from result import Err, Ok, Result

from ..core_parts import CoreParts
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..mesh.meshes import failed
from ..messages import (
    BundleDecided,
    BundlePointer,
    FetchBundlePointer,
    StageBundle,
    StagedBundle,
)
from ..signatures import OperatorKeys, SignedStatement
from ..tasks import TaskSet
from .bundle_freshness import BundleFreshness
from .bundle_knowledge import (
    NEVER,
    BundleKnowledge,
    BundleReport,
    report_from_peer,
    report_from_pointer,
)
from .bundle_libraries import BundleLibrary
from .bundle_pointers import POINTER_KIND, POINTER_NAME, Pointer, Stage, read_pointer
from .bundles import Bundle
from .roll_orders import RollOrders, RollOutcome, abandon_stage

# Polls of other VMs within the shorter of DOUBT_S and ISOLATION_S.
POLLS_PER_BOUND = 5
MAX_PEERS_POLLED = 2
# VMs of a data centre that read the pointer from the store for all others in it.
READERS_PER_DATA_CENTRE = 2
# A stage older than this many ACKNOWLEDGE_S is no longer being rolled.
STALE_STAGE_FACTOR = 3


class InForce(NamedTuple):
    """The bundle that is in force on this VM, and its sequence number."""

    seq: int
    digest: str
    bundle: Bundle


class BundleKeeper:
    """Maintains the bundle in force on one VM and runs rolls for operators."""

    def __init__(
        self,
        *,
        core: CoreParts,
        store,
        mesh,
        members,
        leases,
    ):
        self._vm = core.settings["VM_NAME"]
        self._data_centre = core.settings["DATA_CENTRE"]
        self._stale_s = STALE_STAGE_FACTOR * core.settings["ACKNOWLEDGE_S"]
        shorter_s = min(core.settings["DOUBT_S"], core.settings["ISOLATION_S"])
        self._poll_interval_s = shorter_s / POLLS_PER_BOUND
        self._timers = core.timers
        self._events = core.events
        self._metrics = core.metrics
        self._invariants = core.invariants
        self._rng = core.rng
        self._store = store
        self._mesh = mesh
        self._leases = leases
        keys = OperatorKeys(core.settings["OPERATORS"])
        self._library = BundleLibrary(
            settings=core.settings, store=store, mesh=mesh, keys=keys
        )
        self._orders = RollOrders(
            core=core,
            store=store,
            mesh=mesh,
            members=members,
            library=self._library,
            keeper=self,
        )
        self._knowledge = BundleKnowledge()
        self._freshness = BundleFreshness(
            settings=core.settings,
            knowledge=self._knowledge,
            leases=leases,
            incarnation=mesh.incarnation,
        )
        self._in_force: InForce | None = None
        self._permit: Ok[InForce] | None = None
        self._announced_state = (0, 0)
        self._source = ""
        self._loaded: dict[str, Bundle] = {}
        self._tasks = TaskSet()
        self._subscription = None
        mesh.on(StageBundle, self._on_stage)
        mesh.on(BundleDecided, self._on_decision)
        mesh.on(FetchBundlePointer, self._on_fetch_pointer)

    @property
    def in_force(self) -> InForce | None:
        """The bundle in force on this VM, as far as it knows."""
        return self._in_force

    @property
    def staged_seq(self) -> int:
        """The sequence number of the staged, undecided bundle, 0 for none."""
        staged = self._knowledge.staged
        return staged.seq if staged else 0

    @property
    def seq_in_force(self) -> int:
        """The sequence number in force on this VM, 0 for none."""
        return self._in_force.seq if self._in_force else 0

    @property
    def library(self) -> BundleLibrary:
        """The chunks and signatures that this VM holds."""
        return self._library

    def start(self) -> None:
        """Start to poll for the pointer, at once and then periodically."""
        self._subscription = self._timers.every(
            self._poll_interval_s, self._poll, "bundles"
        )
        self._tasks.spawn_once("store", self._read_store)

    async def stop(self) -> None:
        """Stop polling. The bundle in force stays readable."""
        if self._subscription is not None:
            self._subscription.cancel()
        await self._tasks.stop()

    def may_serve(self) -> Result[InForce, Failure]:
        """Return the bundle to serve, or why no request may be served now.

        All times are compared with the clock at this call, so that a process that was
        frozen refuses before it has received any message.
        """
        refusal = self._freshness.refusal(self._timers.now(), self.seq_in_force)
        if refusal is not None:
            return Err(refusal)
        return self._permit

    async def roll(self, order: SignedStatement) -> Result[RollOutcome, Failure]:
        """Roll the bundle of a signed order, or return why it was not rolled."""
        return await self._orders.roll(order)

    async def retire(self, order: SignedStatement) -> Result[None, Failure]:
        """Prevent a bundle from being rolled again."""
        return await self._orders.retire(order)

    async def read_pointer(self) -> Result[Pointer, Failure]:
        """Read the pointer from the store and apply it."""
        read_at = self._timers.now()
        # Guards against a VM that no roll waits for and that never learns of one
        # (BUN-7). The incarnation is taken before the read: a VM has joined once it
        # has read the pointer after it was registered, because a roll staged after
        # that read finds it registered and waits for its acknowledgement.
        incarnation = self._leases.incarnation
        registered = self._leases.state in ("held", "lapsed")
        got = await self._store.get(POINTER_KIND, POINTER_NAME)
        if got.is_err():
            return got
        stored = got.unwrap()
        pointer = read_pointer(stored.value if stored else None)
        if registered:
            self._freshness.record_join(incarnation)
        self._freshness.record_contact(read_at)
        self.apply_report(report_from_pointer(pointer, read_at))
        return Ok(pointer)

    def apply_report(self, report: BundleReport, source: str = "") -> None:
        """Merge the report of a source and put an accepted bundle in force."""
        before = self._knowledge.seq
        self._knowledge.merge(report, self._timers.now())
        if self._knowledge.seq > before:
            self._source = source
        self._apply_knowledge()
        self._announce_change()

    def cache_bundle(self, bundle: Bundle) -> None:
        """Cache a verified bundle, so that it comes into force without a fetch."""
        self._loaded[bundle.digest] = bundle

    def mark_accepting(self, seq: int) -> None:
        """Record that the write which accepts a stage is about to be sent."""
        self._freshness.mark_accepting(seq, self._timers.now())

    def apply_abandoned(self, seq: int) -> None:
        """Record that a stage was abandoned."""
        self._knowledge.mark_abandoned(seq)
        self._announce_change()

    # Coming into force

    def _apply_knowledge(self) -> None:
        knowledge = self._knowledge
        if knowledge.seq <= self.seq_in_force:
            return
        bundle = self._loaded.get(knowledge.digest)
        if bundle is not None:
            self._put_in_force(knowledge.seq, bundle)
            return
        self._events.emit(EventKind.BUNDLE_BEHIND, knowledge.digest, seq=knowledge.seq)
        self._tasks.spawn_once("catch-up", self._catch_up)

    def _put_in_force(self, seq: int, bundle: Bundle) -> None:
        old = self._in_force
        grows = old is None or seq > old.seq
        if not self._invariants.check("bundle-seq-grows", grows, f"{seq}"):
            return
        self._in_force = InForce(seq, bundle.digest, bundle)
        self._permit = Ok(self._in_force)
        retained = {bundle.digest}
        if old is not None:
            retained.add(old.digest)
        if self._knowledge.staged is not None:
            retained.add(self._knowledge.staged.digest)
        self._loaded = {d: b for d, b in self._loaded.items() if d in retained}
        self._library.evict_except(retained)
        self._metrics.bundle_seq.set(seq)
        self._events.emit(EventKind.BUNDLE_IN_FORCE, bundle.digest, seq=seq)

    def _announce_change(self) -> None:
        """Send a heartbeat at once if its bundle sequence numbers have changed."""
        state = (self.seq_in_force, self.staged_seq)
        if state != self._announced_state:
            self._announced_state = state
            self._mesh.heartbeat_changed()

    async def _catch_up(self) -> None:
        while True:
            seq, digest = self._knowledge.seq, self._knowledge.digest
            if self._in_force is not None and self._in_force.seq >= seq:
                return
            sources = [vm for vm in (self._source,) if vm]
            loaded = await self._library.load(digest, sources)
            if loaded.is_err():
                self._emit_refusal(digest, loaded.unwrap_err())
                return
            self.cache_bundle(loaded.unwrap().bundle)
            if self._knowledge.seq == seq and self.seq_in_force < seq:
                self._put_in_force(seq, loaded.unwrap().bundle)
                self._announce_change()

    def _emit_refusal(self, digest: str, failure: Failure) -> None:
        self._events.emit(
            EventKind.BUNDLE_REFUSED,
            digest,
            kind=failure.kind.value,
            detail=failure.detail,
        )

    # Polling

    def _poll(self) -> None:
        for peer in self._mesh.live:
            reported_seq = peer.heartbeat.in_force_seq if peer.heartbeat else 0
            if reported_seq > self._knowledge.seq:
                self._tasks.spawn_once(
                    f"ask {peer.vm}", partial(self._query_peer, peer.vm)
                )
        for vm in self._polled_vms():
            self._tasks.spawn_once(f"ask {vm}", partial(self._query_peer, vm))
        if self._should_read_store():
            self._tasks.spawn_once("store", self._read_store)
        if self.seq_in_force < self._knowledge.seq:
            self._tasks.spawn_once("catch-up", self._catch_up)

    def _polled_vms(self) -> set[str]:
        live = {peer.vm for peer in self._mesh.live} - {self._vm}
        names = sorted(live)
        polled = set(self._rng.sample(names, min(MAX_PEERS_POLLED, len(names))))
        staged = self._knowledge.staged
        if staged is not None:
            # The VM that staged it always knows its state, the readers nearly always.
            polled.update(vm for vm in (staged.vm, *self._readers()) if vm in live)
        return polled

    def _readers(self) -> list[str]:
        names = {self._vm}
        for peer in self._mesh.live:
            if peer.data_centre == self._data_centre:
                names.add(peer.vm)
        return sorted(names)[:READERS_PER_DATA_CENTRE]

    def _should_read_store(self) -> bool:
        is_reader = self._vm in self._readers()
        return is_reader or self._freshness.requires_read(self._timers.now())

    async def _query_peer(self, vm: str) -> None:
        requested_at = self._timers.now()
        reply = await self._mesh.call(vm, FetchBundlePointer())
        if reply.is_err() or not isinstance(reply.unwrap(), BundlePointer):
            return
        self._freshness.record_contact(requested_at)
        self.apply_report(report_from_peer(reply.unwrap(), requested_at), vm)

    async def _read_store(self) -> None:
        read = await self.read_pointer()
        if read.is_err():
            return
        staged = self._knowledge.staged
        if staged is None or self._vm not in self._readers():
            return
        # The VM that staged it died or abandoned the roll without reaching the store.
        # Any VM may abandon a stage, because its acceptance is a conditional update
        # and then fails.
        sent_at = self._timers.now()
        if sent_at - self._knowledge.staged_at > self._stale_s:
            abandoned = await abandon_stage(self._store, staged.seq)
            if abandoned.is_ok():
                self.apply_report(report_from_pointer(abandoned.unwrap(), sent_at))

    # Answering other VMs

    async def _on_fetch_pointer(self, sender, message) -> BundlePointer:
        now = self._timers.now()
        knowledge = self._knowledge
        staged = knowledge.staged or Stage(0, "", "", "")
        confirmed_undecided_at = self._freshness.confirmed_undecided_at(now)
        return BundlePointer(
            knowledge.seq,
            knowledge.digest,
            staged.seq,
            staged.digest,
            knowledge.decided_seq,
            staged.vm,
            staged.incarnation,
            now - confirmed_undecided_at if confirmed_undecided_at != NEVER else -1.0,
        )

    async def _on_stage(self, sender, message: StageBundle):
        received_at = self._timers.now()
        loaded = await self._library.load(message.digest, [message.vm])
        if loaded.is_err():
            self._emit_refusal(message.digest, loaded.unwrap_err())
            return failed(loaded.unwrap_err())
        if message.seq <= self._knowledge.decided_seq:
            detail = f"stage {message.seq} is decided"
            return failed(Failure(ErrorKind.ROLL_CONFLICT, detail))
        self.cache_bundle(loaded.unwrap().bundle)
        staged = Stage(message.seq, message.digest, message.vm, message.incarnation)
        known = self._knowledge.staged
        first = known is None or known.seq < message.seq
        base = (message.base_seq, message.base_digest)
        self.apply_report(BundleReport(*base, message.seq - 1, staged), message.vm)
        if first:
            self._freshness.record_acknowledgement(message.seq, received_at)
        if self.staged_seq != message.seq:
            detail = f"stage {message.seq} is decided"
            return failed(Failure(ErrorKind.ROLL_CONFLICT, detail))
        self._events.emit(EventKind.BUNDLE_STAGED, message.digest, seq=message.seq)
        return StagedBundle(
            message.seq, message.digest, self._vm, self._mesh.incarnation
        )

    async def _on_decision(self, sender, message: BundleDecided) -> None:
        self._events.emit(
            EventKind.BUNDLE_DECIDED,
            message.digest,
            seq=message.seq,
            accepted=message.accepted,
        )
        if not message.accepted:
            self.apply_abandoned(message.seq)
            return
        self.apply_report(
            BundleReport(message.seq, message.digest, message.seq, None), sender.vm
        )
