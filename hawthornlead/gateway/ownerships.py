"""Ownership of engines: one VM alone may order an engine, under a fencing number.

Each engine has an object in the store that names its owner (``owner_objects``). The
object changes only by conditional update, and its fencing number grows with each
change. A successor claims it only once the owner has released it or restarted, or the
owner's lease has expired.
"""

import math
from typing import NamedTuple

from result import Err, Ok, Result

from ..eras.dated_revisions import era_of
from ..eras.settlements import EraSettlement
from ..errors import Failure
from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import YieldTarget
from ..messages.sessions import Done
from ..recovery.starting_owners import StartingOwners
from .batched_reads import BatchedReads
from .memberships import MAX_OWNERS, Memberships
from .owner_objects import (
    OWNERS_KIND,
    UNKNOWN,
    UNOWNED,
    OwnerObject,
    owner_spec,
    read_owner,
)
from .records import StoredRecord
from .store_clients import StoreClient
from .unacknowledged_orders import MAX_IN_FLIGHT_S
from .vm_leases import CLOCK_MARGIN_S, LEASE_S, VmLease

# How long a VM further down in an engine's order waits for each VM before it.
RANK_WAIT_S = 1.5
# When to check again an engine whose owner may still hold its lease. A check costs two
# store calls, and a lease lasts about seven times as long.
HELD_RECHECK_S = 2.0
# Alternating orders of two VMs within this time count as orders of two owners at once.
# The platform bounds it to 3 s.
MIN_HANDOVER_S = 3.0
# After a new era of the store, until all claims of former eras have ended and orders
# given under them no longer count as alternating with later ones.
SETTLE_S = LEASE_S + CLOCK_MARGIN_S + MIN_HANDOVER_S
# An order is sent at the latest this long before the lease expires, because an order
# whose packet is lost and retransmitted must not collide with a successor's order.
ORDER_MARGIN_S = MAX_IN_FLIGHT_S


class Ownership(NamedTuple):
    """The right to order one engine; ``term`` is the term of the lease behind it.

    ``since`` is when it was taken, in seconds of the ``TimerService``. ``first`` is set
    if nobody has owned the engine before. A claim of a former era of the store holds
    only ``until`` the lease of that era would have expired.
    """

    target: str
    fence: int
    revision: int
    term: int
    since: float
    owner: OwnerObject
    first: bool = False
    until: float = math.inf


class _Held(NamedTuple):
    """An owner whose lease was valid at the last check; ``until`` is the next check."""

    vm: str
    incarnation: str
    until: float


class Ownerships:
    """The engines that this VM owns.

    ::

        await ownerships.claim("i-7f3a")
        ownership = ownerships.current("i-7f3a")
    """

    def __init__(
        self,
        *,
        memberships: Memberships,
        lease: VmLease,
        client: StoreClient,
        mesh: FleetMesh,
        events: EventRing,
        settlement: EraSettlement,
        fast_start: bool = False,
    ):
        self._events = events
        self._memberships = memberships
        self._starting = None
        if fast_start:
            self._starting = StartingOwners(
                memberships.vm, started_at=lease.now(), max_owners=MAX_OWNERS
            )
        self._lease = lease
        self._client = client
        self._reads = BatchedReads(client, OWNERS_KIND)
        self._mesh = mesh
        self._owned: dict[str, Ownership] = {}
        self._started_at = lease.now()
        # When this process gave its last order to each engine, owned by now or not.
        self._ordered_at: dict[str, float] = {}
        # How often this VM was requested to yield each engine.
        self._yields: dict[str, int] = {}
        self._held: dict[str, _Held] = {}
        self._settlement = settlement
        client.eras.subscribe(self._on_new_era)
        mesh.on(YieldTarget, self._on_yield)

    @property
    def owned(self) -> tuple[str, ...]:
        """The engines that this VM may order now."""
        return tuple([target for target in self._owned if self.current(target)])

    def current(self, target: str) -> Ownership | None:
        """Return the right to order an engine, None if this VM doesn't have it now.

        Call it right before each order, because the lease may have expired while this
        process was suspended.
        """
        ownership = self._owned.get(target)
        if ownership is None or not self._lease.holds_for(ORDER_MARGIN_S):
            return None
        if ownership.term != self._lease.term:
            return None
        if self._lease.now() + ORDER_MARGIN_S >= ownership.until:
            return None
        return ownership

    def outdated(self) -> tuple[str, ...]:
        """Return the engines owned here by claims of former eras of the store."""
        era = self._client.eras.current
        outdated = []
        for target in self.owned:
            if era_of(self._owned[target].revision) < era:
                outdated.append(target)
        return tuple(outdated)

    def should_claim(self, target: str, orphaned_s: float) -> bool:
        """Whether this VM should claim an engine without owner for ``orphaned_s``.

        Without a lease it should not yet, and a lease is requested.
        """
        if self._memberships.leaving:
            return False
        if not self._settlement.settled:
            self._settlement.check()
            return False
        if self._is_starting():
            return self._should_claim_at_start(target)
        order = self._memberships.owners_for(target)
        # VMs that reach no target couldn't order it. They count if there are no others.
        unreaching = self._memberships.unreaching()
        order = [vm for vm in order if vm not in unreaching] or order
        if self._memberships.vm not in order:
            return False
        rank = order.index(self._memberships.vm)
        if orphaned_s < rank * RANK_WAIT_S or self._is_held(target):
            return False
        self._lease.want(True)
        return self._lease.holds_for(ORDER_MARGIN_S)

    def _is_starting(self) -> bool:
        """Whether this VM of a large fleet started too recently to know the others."""
        if self._starting is None or not self._memberships.large:
            return False
        return self._starting.applies(self._lease.now())

    def _should_claim_at_start(self, target: str) -> bool:
        registered = self._memberships.registered_order.records
        if not self._starting.is_owner(target, registered) or self._is_held(target):
            return False
        self._lease.want(True)
        return self._lease.holds_for(ORDER_MARGIN_S)

    def _is_held(self, target: str) -> bool:
        """Whether the last check showed an owner that probably still holds the engine.

        An owner that has restarted since holds nothing; its first renewal shows that.
        """
        held = self._held.get(target)
        if held is None or self._lease.now() >= held.until:
            return False
        record = self._memberships.record_of(held.vm)
        return record is None or record.incarnation == held.incarnation

    def on_released(self, target: str) -> None:
        """Record that an owner released an engine, so that a claim may succeed now."""
        self._held.pop(target, None)

    def on_idle(self) -> None:
        """Give up the lease while nothing is owned."""
        if not self._owned:
            self._lease.want(False)

    def record_order(self, target: str) -> None:
        """Record that an order is being given to an engine."""
        self._ordered_at[target] = self._lease.now()

    async def claim(self, target: str) -> bool:
        """Try to become the owner of an engine; False if another VM still may be."""
        if not self._settlement.settled:
            return False
        term, yields = self._lease.term, self._yields.get(target, 0)
        found = await self._find(target)
        if found.is_err():
            return False
        record = found.ok_value
        owner = read_owner(record)
        if owner is None:
            free = await self._prove_unowned(target)
            owner = UNKNOWN
        else:
            free = await self._is_free(target, owner)
        if not free or not self._lease.holds() or self._lease.term != term:
            return False
        ownership = await self._write_claim(target, record, owner, term)
        if ownership is None or self._yields.get(target, 0) != yields:
            # Meanwhile this VM was asked to yield the engine, and agreed. The requester
            # may have claimed it since. The next claim finds out.
            return False
        if era_of(ownership.revision) < self._client.eras.current:
            # A new era began before this answer arrived.
            return False
        self._owned[target] = ownership._replace(first=owner == UNOWNED)
        self._settlement.confirm()
        if self._memberships.leaving:
            # The answer came while this VM was releasing what it owns.
            await self.release(target)
            return False
        return True

    async def reassert(self, target: str) -> None:
        """Write a claim of a former era again, which the store may have lost.

        No other VM can have claimed the engine since: none does before the era is
        settled, and by then this claim has ended.
        """
        ownership, yields = self.current(target), self._yields.get(target, 0)
        if ownership is None:
            return
        found = await self._find(target)
        if found.is_err():
            return
        record = found.ok_value
        owner = read_owner(record) or UNKNOWN
        if self._is_claimed_since(owner, record):
            self._owned.pop(target, None)
            return
        written = await self._write_claim(target, record, owner, ownership.term)
        if written is None or self._yields.get(target, 0) != yields:
            return
        if self._owned.get(target) is ownership:
            self._owned[target] = written._replace(since=ownership.since)

    def _is_claimed_since(self, owner: OwnerObject, record: StoredRecord) -> bool:
        """Whether another VM has claimed an engine in the era of this object."""
        if owner.vm in ("", self._memberships.vm):
            return False
        return era_of(owner.fence) == era_of(record.revision)

    def _on_new_era(self) -> None:
        """Bound claims of former eras by the lease that they were made under."""
        until = self._lease.now() + self._lease.left_s
        for target, ownership in self._owned.items():
            self._owned[target] = ownership._replace(until=min(until, ownership.until))

    async def release(self, target: str) -> Ownership | None:
        """Release an engine, so that a successor need not wait.

        Return the released ownership, None if the store may not have taken the release.

        The object stays even if the engine is gone. If an engine returns under the same
        id, the object names its former owners to the next one.
        """
        ownership = self._owned.pop(target, None)
        if ownership is None:
            return None
        fence = ownership.fence
        self._events.emit(EventKind.OWNERSHIP_RELEASED, target, fence=fence)
        settled = self._lease.now() - ownership.since >= MIN_HANDOVER_S
        spec = owner_spec(ownership.owner.released(settled))
        written = await self._client.replace(
            OWNERS_KIND, target, spec, ownership.revision
        )
        return ownership if written.is_ok() else None

    async def is_store_available(self) -> bool:
        """Whether the store could take a release now."""
        for target in self._owned:
            found = await self._client.get(OWNERS_KIND, target)
            return found.is_ok()
        return False

    async def _find(self, target: str) -> Result[StoredRecord, Failure]:
        """Return an engine's owner object, and create it without owner if missing.

        Only an existing object has a revision, from which the fence is derived.
        """
        found = await self._reads.get(target)
        if found.is_err():
            return found
        if found.ok_value is not None:
            return Ok(found.ok_value)
        return await self._client.create(OWNERS_KIND, target, owner_spec(UNOWNED))

    async def _is_free(self, target: str, owner: OwnerObject) -> bool:
        if owner.vm == self._memberships.vm:
            # An earlier process of this VM, or a claim whose answer was lost.
            return True
        if self._would_alternate(target, owner):
            return False
        self._held.pop(target, None)
        if not owner.vm or await self._lease.has_run_out(owner.vm, owner.incarnation):
            return True
        until = self._lease.now() + HELD_RECHECK_S
        self._held[target] = _Held(owner.vm, owner.incarnation, until)
        return False

    def _would_alternate(self, target: str, owner: OwnerObject) -> bool:
        """Whether this VM ordered the engine a moment ago and another VM has since.

        If this VM claimed the engine now, two VMs would order it alternately, which
        counts as two owners at once. This happens if VMs are restarted or killed one
        after the other. An earlier process of this VM may have given orders until this
        one started.
        """
        vm = self._memberships.vm
        if not owner.vm and owner.former[:1] in ((), (vm,)):
            return False
        ordered_at = self._ordered_at.get(target)
        if ordered_at is None and vm in owner.former:
            ordered_at = self._started_at
        return (
            ordered_at is not None and self._lease.now() - ordered_at < MIN_HANDOVER_S
        )

    async def _prove_unowned(self, target: str) -> bool:
        """Whether no other VM owns an engine whose owner object can't be read.

        Another writer overwrote the name of the owner, which doesn't read the object
        again and continues. So each VM with a lease must confirm that it no longer
        orders the engine, or its lease must have expired.
        """
        listed = await self._lease.others()
        if listed.is_err():
            return False
        others = {*listed.ok_value, *self._memberships.known} - {self._memberships.vm}
        # Every VM is checked in each round, so that their leases expire in parallel.
        unowned = [
            await self._has_yielded(vm, target) or await self._lease.has_run_out(vm, "")
            for vm in sorted(others)
        ]
        return all(unowned)

    async def _has_yielded(self, vm: str, target: str) -> bool:
        if not self._memberships.is_reachable(vm):
            return False
        reply = await self._mesh.call(vm, YieldTarget(target))
        return reply.is_ok()

    async def _on_yield(self, sender, message: YieldTarget) -> Done:
        self._yields[message.target] = self._yields.get(message.target, 0) + 1
        ownership = self._owned.pop(message.target, None)
        if ownership is not None:
            self._events.emit(
                EventKind.OWNERSHIP_YIELDED,
                message.target,
                fence=ownership.fence,
                asked_by=sender.vm,
            )
        return Done()

    async def _write_claim(
        self, target: str, record: StoredRecord, owner: OwnerObject, term: int
    ) -> Ownership | None:
        vm, incarnation = self._memberships.vm, self._memberships.incarnation
        claimed = owner.claimed(vm, incarnation, record.revision)
        written = await self._client.replace(
            OWNERS_KIND, target, owner_spec(claimed), record.revision
        )
        if isinstance(written, Err):
            detail = written.err_value.detail
            self._events.emit(EventKind.CLAIM_FAILED, target, detail=detail)
            return None
        fence, revision = claimed.fence, written.ok_value.revision
        self._events.emit(EventKind.OWNERSHIP_TAKEN, target, fence=fence, term=term)
        return Ownership(target, fence, revision, term, self._lease.now(), claimed)
