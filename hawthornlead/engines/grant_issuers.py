"""The issuing side of grants, at the owner of a target.

The issuer reads from the clock whether it may grant right before each grant. An
adapter that is not resident is loaded first if that can be done in time::

    reply = await issuer.acquire("vm-3", request)
"""

from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from ..core_parts import CoreParts
from ..errors import ErrorKind, Failure
from ..messages import (
    AcquireGrant,
    GrantReply,
    ReleaseGrant,
    RenewedGrants,
    RenewGrants,
)
from ..ownership.owners import OrderRight
from ..waits import Signal
from .evict_guards import EvictGuard
from .grant_ledgers import AdapterVersion, GrantLedger
from .load_queues import Load, LoadQueue
from .load_waits import no_free_slot, wait_for_load
from .loaders import Loader
from .orders import TargetOrders
from .owned_targets import Policies
from .residencies import Residency


class GrantIssuer:
    """Issues, renews and takes back the grants of one target.

    ``refusal`` returns why nothing can be granted now, or None.
    """

    def __init__(
        self,
        *,
        core: CoreParts,
        target: str,
        policies: Policies,
        orders: TargetOrders,
        guard: EvictGuard,
        ledger: GrantLedger,
        residency: Residency,
        queue: LoadQueue,
        loader: Loader,
        changed: Signal,
        refusal: Callable[[], Failure | None],
    ):
        self._settings = core.settings
        self._timers = core.timers
        self._invariants = core.invariants
        self._target = target
        self._popularity = policies.popularity
        self._orders = orders
        self._guard = guard
        self._ledger = ledger
        self._residency = residency
        self._queue = queue
        self._loader = loader
        self._changed = changed
        self._refusal = refusal
        self._leaving = False

    @property
    def leaving(self) -> bool:
        """Whether the target leaves and takes no new work."""
        return self._leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self._leaving = leaving

    async def acquire(
        self, vm: str, request: AcquireGrant
    ) -> Result[GrantReply, Failure]:
        """Issue a grant to ``vm``, after a load if one is needed and fits in time."""
        key = AdapterVersion(request.adapter, request.version)
        pending = _PendingGrant(
            vm, key, request, self._now(), self._now() + request.wait_s
        )
        if not request.prefetch:
            self._popularity.observe(request.adapter, self._now())
        while True:
            refusal = self._refusal()
            if refusal is not None:
                return Err(refusal)
            if request.prefetch and self._orders.right() is not OrderRight.FULL:
                # Nothing is evicted in a store outage. Extra copies of hot adapters
                # would use up the free slots, and requests for cold adapters would
                # be refused until the outage ends.
                return Err(_refuse_prefetch())
            if not self._guard.ready:
                if not await self._changed.wait(
                    self._timers, pending.deadline_at - self._now()
                ):
                    return Err(no_grant("the owner has no report of the target yet"))
                continue
            slot = self._residency.get(key)
            if slot is not None and slot.grantable:
                outcome = await self._grant_resident(pending)
            else:
                outcome = await self._load_and_grant(pending)
            if isinstance(outcome, Err) or outcome.ok_value is not None:
                return outcome

    def renew(self, message: RenewGrants) -> RenewedGrants:
        """Renew grants if this owner may still grant."""
        right = self._orders.right()
        allowed = right is OrderRight.FULL or (
            right is OrderRight.DEGRADED and self._guard.fence_is_fresh()
        )
        if right is OrderRight.DEGRADED and not allowed:
            # The next renewal, GRANT_RENEW_S later, may find the fence accepted.
            self._orders.start_fence()
        if not allowed or not self._guard.ready:
            return RenewedGrants((), 0.0)
        renewed = self._ledger.renew(message.grant_ids)
        for grant_id, started_count in zip(
            message.grant_ids, message.begun, strict=False
        ):
            self._observe_started(grant_id, started_count)
        return RenewedGrants(renewed, self._settings["GRANT_S"])

    def release(self, message: ReleaseGrant) -> None:
        """Take back a grant that its holder released."""
        self._observe_started(message.grant_id, message.begun)
        self._ledger.release(message.grant_id)
        self._changed.fire()

    def _observe_started(self, grant_id: str, started_count: int) -> None:
        """Count the requests that a holder reported; ``acquire`` counted the first."""
        grant = self._ledger.get(grant_id)
        if grant is not None and started_count > 0:
            self._popularity.observe(grant.key.adapter, self._now(), started_count)

    def _now(self) -> float:
        return self._timers.now()

    async def _grant_resident(
        self, pending: "_PendingGrant"
    ) -> Result[GrantReply | None, Failure]:
        """Grant a resident adapter; Ok(None) when the slot must be checked again."""
        if self._orders.right() is OrderRight.FULL or self._guard.fence_is_fresh():
            return Ok(self._grant(pending, 0.0))
        fenced = await self._orders.start_fence()
        if isinstance(fenced, Err):
            detail = f"{self._target} did not accept the fencing number"
            return Err(no_grant(detail))
        return Ok(None)

    async def _load_and_grant(
        self, pending: "_PendingGrant"
    ) -> Result[GrantReply | None, Failure]:
        """Load and grant; Ok(None) when the slot must be checked again."""
        started_at = self._now()
        joined = self._join(pending)
        if isinstance(joined, Err):
            return joined
        load = joined.ok_value
        try:
            outcome = await wait_for_load(
                self._timers,
                self._loader,
                load,
                pending.deadline_at,
                pending.request.slot_wait_s,
            )
            if isinstance(outcome, Err):
                return outcome
            # The target may have started to leave during the load. Without this
            # check it would get new work long after.
            if (
                load.slot.grantable
                and not self._leaving
                and self._orders.right() is OrderRight.FULL
            ):
                return Ok(self._grant(pending, self._now() - started_at))
            return Ok(None)
        finally:
            # The slot was held against eviction until here, for this request.
            if load.slot is not None:
                load.slot.awaiting_grant -= 1
            elif self._queue.leave(load, pending.request.prefetch):
                self._changed.fire()

    def _join(self, pending: "_PendingGrant") -> Result[Load, Failure]:
        """Join the load, or refuse at once if it cannot be done in time."""
        now = self._now()
        key, request, deadline_at = pending.key, pending.request, pending.deadline_at
        if not request.load:
            return Err(Failure(ErrorKind.NO_SLOT, "not resident", retry_after_s=1.0))
        retry_in = self._queue.retry_in(key, now)
        if retry_in > 0:
            detail = f"loading {key.adapter} {key.version} failed recently"
            return Err(Failure(ErrorKind.LOAD_FAILED, detail, retry_after_s=retry_in))
        estimate = self._loader.estimate_s(key)
        if now + estimate > deadline_at:
            detail = "the load would not end before the deadline"
            return Err(Failure(ErrorKind.NO_SLOT, detail, retry_after_s=estimate))
        if request.slot_wait_s <= 0 and not self._loader.accepts(key):
            return no_free_slot()
        load = self._queue.join(
            key,
            request.base_model,
            request.priority,
            deadline_at,
            now,
            request.prefetch,
        )
        self._loader.start_loads()
        return Ok(load)

    def _grant(self, pending: "_PendingGrant", loaded_s: float) -> GrantReply:
        """Issue a grant; call it with nothing awaited since the right was read."""
        count = max(1, min(pending.request.count, self._settings["GRANT_SIZE"]))
        grant = self._ledger.issue(pending.vm, pending.key, count)
        self._invariants.check(
            "leaving-target-no-new-work", not self._leaving, self._target
        )
        self._invariants.check(
            "order-under-lease",
            self._orders.right() is not OrderRight.NONE,
            f"grant {grant.grant_id} on {self._target}",
        )
        # The holder counts from when it sent the request, so the wait here is added.
        ttl_s = self._now() - pending.requested_at + self._settings["GRANT_S"]
        return GrantReply(grant.grant_id, self._ledger.fence, count, ttl_s, loaded_s)


class _PendingGrant(NamedTuple):
    """A VM's request for a grant.

    ``requested_at`` and ``deadline_at`` are on the owner's clock.
    """

    vm: str
    key: AdapterVersion
    request: AcquireGrant
    requested_at: float
    deadline_at: float


def _refuse_prefetch() -> Failure:
    detail = "free slots are kept for requests while nothing can be evicted"
    return Failure(ErrorKind.NO_SLOT, detail, retry_after_s=1.0)


def no_grant(detail: str) -> Failure:
    """Return the failure when the owner may not grant; another owner soon may."""
    return Failure(ErrorKind.NO_GRANT, detail, retry_after_s=1.0)
