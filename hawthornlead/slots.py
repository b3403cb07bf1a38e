"""The owner's side of one target: who may run there, and what it has loaded.

A ``TargetOwner`` lives on the VM that owns ``target:NAME``, from taking it to losing
it. It reads the target's reports, gives grants, and lets the loader load and evict.
Other VMs' requests reach it as messages through ``TargetOwners``.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from .allowances import Allowances
from .engine_clocks import EngineClock
from .errors import ErrorKind, Failure
from .events import EventKind, EventRing
from .evict_guards import EvictGuard
from .grant_ledgers import AdapterVersion, GrantLedger, HeldGrant
from .invariants import Invariants
from .load_queues import Load, LoadQueue
from .load_waits import no_room, wait_for_load
from .loaders import Loader
from .messages import (
    AcquireGrant,
    GrantReply,
    ReleaseGrant,
    RenewedGrants,
    RenewGrants,
    Resident,
    RevokeGrant,
    TargetState,
)
from .metrics import Metrics
from .orders import TargetOrders
from .owned_targets import OwnedTarget, Policies
from .owners import OrderRight
from .residencies import Residency
from .target_readers import TargetReader
from .targets import TargetClient
from .timers import TimerService
from .waits import Signal


class TargetOwner:
    """Decides for one target."""

    def __init__(
        self,
        *,
        settings: dict,
        timers: TimerService,
        events: EventRing,
        metrics: Metrics,
        invariants: Invariants,
        rng: random.Random,
        owners,
        allowances: Allowances,
        policies: Policies,
        client: TargetClient,
        target: OwnedTarget,
        ownership,
        cast: Callable[[str, RevokeGrant], object],
        predecessor_gone: Callable[[], bool] = lambda: False,
    ):
        self._settings = settings
        self._timers = timers
        self._events = events
        self._metrics = metrics
        self._invariants = invariants
        self._target = target
        self._fence = ownership.fence
        self._cast = cast
        self._predecessor_gone = predecessor_gone
        self._clock = EngineClock()
        self._residency = Residency(self._clock, target.slots)
        self._queue = LoadQueue(policies.load_order)
        self._popularity = policies.popularity
        self._changed = Signal()
        self._ledger = GrantLedger(
            settings=settings,
            timers=timers,
            rng=rng,
            clock=self._clock,
            fence=ownership.fence,
        )
        self._guard = EvictGuard(
            settings=settings,
            timers=timers,
            clock=self._clock,
            ledger=self._ledger,
            ownership=ownership,
            fencing=target.fencing,
        )
        self._orders = TargetOrders(
            settings=settings,
            timers=timers,
            events=events,
            invariants=invariants,
            owners=owners,
            client=client,
            guard=self._guard,
            target=target.name,
            fence=ownership.fence,
        )
        self._loader = Loader(
            settings=settings,
            timers=timers,
            events=events,
            metrics=metrics,
            invariants=invariants,
            target=target.name,
            weight_store=target.weight_store,
            orders=self._orders,
            ledger=self._ledger,
            residency=self._residency,
            queue=self._queue,
            allowances=allowances,
            eviction=policies.eviction,
            popularity=policies.popularity,
            changed=self._changed,
            revoke=self._revoke,
            copies=policies.copies,
        )
        self._leaving = False
        self._reader = TargetReader(
            timers=timers,
            events=events,
            metrics=metrics,
            target=target.name,
            client=client,
            clock=self._clock,
            ledger=self._ledger,
            residency=self._residency,
            guard=self._guard,
            on_restart=self._on_restart,
        )
        self._polling = False
        self._timer = None

    @property
    def fence(self) -> int:
        """The fencing number of this ownership."""
        return self._fence

    @property
    def ready(self) -> bool:
        """Whether the target's slots are known since the takeover."""
        return self._guard.ready

    @property
    def leaving(self) -> bool:
        """Whether the target leaves and takes no new work."""
        return self._leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self._leaving = leaving

    @property
    def silent(self) -> bool:
        """Whether the target has stopped answering its owner."""
        return self._reader.silent

    @property
    def evicts_end_at(self) -> float:
        """When every eviction that was sent has surely taken effect, or never will."""
        return self._orders.evicts_end_at

    def start(self) -> None:
        """Begin to read reports."""
        self._timer = self._timers.every(
            self._settings["REPORT_INTERVAL_S"],
            self.poll,
            name=f"report of {self._target.name}",
        )
        self._events.emit(EventKind.TARGET_OWNED, self._target.name, fence=self._fence)

    def give_up(self) -> None:
        """Grant and order nothing from now on; what is under way ends in ``stop``."""
        self._orders.stop()
        self._changed.fire()

    async def stop(self) -> None:
        """End; grants that are out run out by themselves."""
        self.give_up()
        if self._timer is not None:
            self._timer.cancel()
        await self._loader.stop()
        self._metrics.grants_out.labels(self._target.name).set(0)
        self._events.emit(
            EventKind.TARGET_GIVEN_UP, self._target.name, fence=self._fence
        )

    def state(self, serial: int) -> TargetState:
        """Return what other VMs are told; a silent target has nothing to offer."""
        silent = self.silent
        return TargetState(
            target=self._target.name,
            fence=self._fence,
            serial=serial,
            slots=0 if silent else self._residency.size,
            running=self._reader.running,
            queued=self._reader.queued,
            leaving=self._leaving,
            residents=() if silent else self._told_residents(),
            boot_id=self._residency.boot_id or "",
        )

    async def acquire(self, vm: str, ask: AcquireGrant) -> Result[GrantReply, Failure]:
        """Give ``vm`` a grant, after a load where one is needed and in time."""
        key = AdapterVersion(ask.adapter, ask.version)
        asking = _Asking(vm, key, ask, self._now(), self._now() + ask.wait_s)
        if not ask.ahead:
            self._popularity.observe(ask.adapter, self._now())
        while True:
            refusal = self._refusal()
            if refusal is not None:
                return Err(refusal)
            if ask.ahead and self._orders.right() is not OrderRight.FULL:
                # Nothing is evicted in a store outage, so the free slots are all
                # there is: spare copies of hot adapters would use them up, and
                # requests for cold ones be refused till the outage ends.
                return Err(_no_spare())
            if not self._guard.ready:
                if not await self._changed.wait(
                    self._timers, asking.until - self._now()
                ):
                    return Err(_no_grant("the owner is still learning the target"))
                continue
            slot = self._residency.get(key)
            if slot is not None and slot.grantable:
                outcome = await self._grant_resident(asking)
            else:
                outcome = await self._load_and_grant(asking)
            if isinstance(outcome, Err) or outcome.ok_value is not None:
                return outcome

    def renew(self, message: RenewGrants) -> RenewedGrants:
        """Extend grants, as far as this owner may still give any."""
        right = self._orders.right()
        allowed = right is OrderRight.FULL or (
            right is OrderRight.DEGRADED and self._guard.fence_fresh()
        )
        if right is OrderRight.DEGRADED and not allowed:
            # The next renewal, GRANT_RENEW_S from now, may find it accepted.
            self._orders.start_fence()
        if not allowed or not self._guard.ready:
            return RenewedGrants((), 0.0)
        renewed = self._ledger.renew(message.grant_ids)
        for grant_id, begun in zip(message.grant_ids, message.begun, strict=False):
            self._observe(grant_id, begun)
        return RenewedGrants(renewed, self._settings["GRANT_S"])

    def release(self, message: ReleaseGrant) -> None:
        """Take a grant back from its holder."""
        self._observe(message.grant_id, message.begun)
        self._ledger.release(message.grant_id)
        self._changed.fire()

    def suspect(self) -> None:
        """Probe the target soon: a request failed there."""
        self._reader.want_probe()
        if not self._polling:
            self._timers.after(0, self.poll, name="suspected target")

    async def poll(self) -> None:
        """Fence, probe and read the report, as far as each is due."""
        if self._polling:
            return
        self._polling = True
        try:
            if self._orders.right() is not OrderRight.NONE:
                self._guard.has_right()
                if self._guard.needs_fence:
                    await self._orders.fence()
            await self._reader.read()
        finally:
            self._polling = False
        if self._predecessor_gone():
            self._guard.predecessor_gone()
        self._loader.start_loads()
        self._changed.fire()
        self._metrics.grants_out.labels(self._target.name).set(self._ledger.out)

    def _told_residents(self) -> tuple[Resident, ...]:
        """Return the residents and the loads that wait, so that others join them."""
        residents = self._residency.residents()
        known = {resident[:2] for resident in residents}
        waiting = (r for r in self._queue.residents() if r[:2] not in known)
        return (*residents, *waiting)

    def _now(self) -> float:
        return self._timers.now()

    def _observe(self, grant_id: str, begun: int) -> None:
        """Count the requests that a holder told of; the first was counted before."""
        grant = self._ledger.get(grant_id)
        if grant is not None and begun > 0:
            self._popularity.observe(grant.key.adapter, self._now(), begun)

    def _refusal(self) -> Failure | None:
        if self._orders.right() is OrderRight.NONE:
            return _no_grant(f"no right to grant on {self._target.name}")
        if self._leaving:
            detail = f"{self._target.name} is leaving"
            return Failure(ErrorKind.TARGET_REFUSED, detail)
        if self.silent:
            detail = f"{self._target.name} does not answer"
            return Failure(ErrorKind.TARGET_UNREACHABLE, detail)
        return None

    async def _grant_resident(
        self, asking: "_Asking"
    ) -> Result[GrantReply | None, Failure]:
        """Grant what is resident; Ok(None) when it must be looked at again."""
        if self._orders.right() is OrderRight.FULL or self._guard.fence_fresh():
            return Ok(self._grant(asking, 0.0))
        fenced = await self._orders.start_fence()
        if isinstance(fenced, Err):
            detail = f"{self._target.name} did not accept the fencing number"
            return Err(_no_grant(detail))
        return Ok(None)

    async def _load_and_grant(
        self, asking: "_Asking"
    ) -> Result[GrantReply | None, Failure]:
        """Load and grant; Ok(None) when the slot must be looked at again."""
        began_at = self._now()
        joined = self._join(asking)
        if isinstance(joined, Err):
            return joined
        load = joined.ok_value
        try:
            outcome = await wait_for_load(
                self._timers, self._loader, load, asking.until, asking.ask.room_s
            )
            if isinstance(outcome, Err):
                return outcome
            # The target may have begun to leave while its load was waited for: it
            # is looked at again, or it would get new work long after.
            if (
                load.slot.grantable
                and not self._leaving
                and self._orders.right() is OrderRight.FULL
            ):
                return Ok(self._grant(asking, self._now() - began_at))
            return Ok(None)
        finally:
            # The slot was held against eviction until here, for this request.
            if load.slot is not None:
                load.slot.wanted -= 1
            elif self._queue.leave(load, asking.ask.ahead):
                self._changed.fire()

    def _join(self, asking: "_Asking") -> Result[Load, Failure]:
        """Join the load, or refuse at once what can't be made in time."""
        now = self._now()
        key, ask, until = asking.key, asking.ask, asking.until
        if not ask.load:
            return Err(Failure(ErrorKind.NO_SLOT, "not resident", retry_after_s=1.0))
        retry_in = self._queue.retry_in(key, now)
        if retry_in > 0:
            detail = f"loading {key.adapter} {key.version} failed lately"
            return Err(Failure(ErrorKind.LOAD_FAILED, detail, retry_after_s=retry_in))
        estimate = self._loader.estimate_s(key)
        if now + estimate > until:
            detail = "a load can't be made in time"
            return Err(Failure(ErrorKind.NO_SLOT, detail, retry_after_s=estimate))
        if ask.room_s <= 0 and not self._loader.takes(key):
            return no_room()
        load = self._queue.join(
            key, ask.base_model, ask.priority, until, now, ask.ahead
        )
        self._loader.start_loads()
        return Ok(load)

    def _grant(self, asking: "_Asking", loaded_s: float) -> GrantReply:
        """Give a grant; called with nothing awaited since the right was read."""
        count = max(1, min(asking.ask.count, self._settings["GRANT_SIZE"]))
        grant = self._ledger.issue(asking.vm, asking.key, count)
        self._invariants.check(
            "leaving-target-no-new-work", not self._leaving, self._target.name
        )
        self._invariants.check(
            "order-under-lease",
            self._orders.right() is not OrderRight.NONE,
            f"grant {grant.grant_id} on {self._target.name}",
        )
        # The holder counts from its asking, so the wait here is added.
        ttl_s = self._now() - asking.asked_at + self._settings["GRANT_S"]
        return GrantReply(grant.grant_id, self._fence, count, ttl_s, loaded_s)

    def _revoke(self, grants: list[HeldGrant]) -> None:
        for grant in grants:
            self._events.emit(
                EventKind.GRANT_REVOKED,
                self._target.name,
                grant=grant.grant_id,
                vm=grant.vm,
            )
            self._cast(grant.vm, RevokeGrant(self._target.name, grant.grant_id))

    def _on_restart(self) -> None:
        """Ask all grants back: the slots are empty.

        Nothing is loaded again by itself. Requests ask for what they need, through
        the allowance, so that a restart makes no stampede on the weight store.
        """
        self._revoke(self._ledger.revoke_all())
        self._loader.restarted()


class _Asking(NamedTuple):
    """One VM's asking for a grant."""

    vm: str
    key: AdapterVersion
    ask: AcquireGrant
    asked_at: float
    until: float


def _no_spare() -> Failure:
    detail = "free slots are kept for requests while nothing can be evicted"
    return Failure(ErrorKind.NO_SLOT, detail, retry_after_s=1.0)


def _no_grant(detail: str) -> Failure:
    return Failure(ErrorKind.NO_GRANT, detail, retry_after_s=1.0)
