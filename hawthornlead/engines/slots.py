"""The owner's side of one target: who may run there, and what it has loaded.

A ``TargetOwner`` lives on the VM that owns ``target:NAME``, from taking it to losing
it. It reads the target's reports, gives grants, and lets the loader load and evict.
Other VMs' requests reach it as messages through ``TargetOwners``.
"""

from collections.abc import Callable

from ..core_parts import CoreParts
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..messages import (
    Resident,
    RevokeGrant,
    TargetState,
)
from ..ownership.owners import OrderRight
from ..waits import Signal
from .allowances import Allowances
from .engine_clocks import EngineClock
from .evict_guards import EvictGuard
from .grant_issuers import GrantIssuer, no_grant
from .grant_ledgers import GrantLedger, HeldGrant
from .load_queues import LoadQueue
from .loaders import Loader
from .orders import TargetOrders
from .owned_targets import OwnedTarget, Policies
from .residencies import Residency
from .slot_reclaimers import SlotReclaimer
from .target_pollers import TargetPoller
from .targets import TargetClient


class TargetOwner:
    """Decides for one target."""

    def __init__(
        self,
        *,
        core: CoreParts,
        owners,
        allowances: Allowances,
        policies: Policies,
        client: TargetClient,
        target: OwnedTarget,
        ownership,
        cast: Callable[[str, RevokeGrant], object],
        has_predecessor_stopped: Callable[[], bool] = lambda: False,
    ):
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._metrics = core.metrics
        self._target = target
        self._fence = ownership.fence
        self._cast = cast
        self._has_predecessor_stopped = has_predecessor_stopped
        self._clock = EngineClock()
        self._residency = Residency(self._clock, target.slots)
        self._queue = LoadQueue(policies.load_order)
        self._changed = Signal()
        self._ledger = GrantLedger(
            settings=core.settings,
            timers=core.timers,
            rng=core.rng,
            clock=self._clock,
            fence=ownership.fence,
        )
        self._guard = EvictGuard(
            settings=core.settings,
            timers=core.timers,
            clock=self._clock,
            ledger=self._ledger,
            ownership=ownership,
            fencing=target.fencing,
        )
        self._orders = TargetOrders(
            core=core,
            owners=owners,
            client=client,
            guard=self._guard,
            target=target.name,
            fence=ownership.fence,
        )
        reclaimer = SlotReclaimer(
            core=core,
            target=target.name,
            policies=policies,
            orders=self._orders,
            ledger=self._ledger,
            residency=self._residency,
            changed=self._changed,
            revoke=self._revoke,
        )
        self._loader = Loader(
            core=core,
            target=target,
            orders=self._orders,
            residency=self._residency,
            queue=self._queue,
            reclaimer=reclaimer,
            allowances=allowances,
            changed=self._changed,
        )
        self._grant_issuer = GrantIssuer(
            core=core,
            target=target.name,
            policies=policies,
            orders=self._orders,
            guard=self._guard,
            ledger=self._ledger,
            residency=self._residency,
            queue=self._queue,
            loader=self._loader,
            changed=self._changed,
            refusal=self._refusal,
        )
        self._poller = TargetPoller(
            timers=core.timers,
            events=core.events,
            metrics=core.metrics,
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
        return self._grant_issuer.leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self._grant_issuer.leaving = leaving

    @property
    def silent(self) -> bool:
        """Whether the target has stopped answering its owner."""
        return self._poller.silent

    @property
    def grants(self) -> GrantIssuer:
        """The part that gives, extends and takes back grants."""
        return self._grant_issuer

    @property
    def evictions_end_at(self) -> float:
        """When every eviction that was sent has surely taken effect, or never will."""
        return self._orders.evictions_end_at

    def start(self) -> None:
        """Begin to read reports."""
        self._timer = self._timers.every(
            self._settings["REPORT_INTERVAL_S"],
            self.poll,
            name=f"report of {self._target.name}",
        )
        self._events.emit(EventKind.TARGET_OWNED, self._target.name, fence=self._fence)

    def release(self) -> None:
        """Grant and order nothing from now on; what is under way ends in ``stop``."""
        self._orders.stop()
        self._changed.fire()

    async def stop(self) -> None:
        """End; grants that are out run out by themselves."""
        self.release()
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
            running=self._poller.running,
            queued=self._poller.queued,
            leaving=self.leaving,
            residents=() if silent else self._announced_residents(),
            boot_id=self._residency.boot_id or "",
        )

    def suspect(self) -> None:
        """Probe the target soon: a request failed there."""
        self._poller.request_probe()
        if not self._polling:
            self._timers.after(0, self.poll, name="suspected target")

    async def poll(self) -> None:
        """Fence, probe and read the report, as far as each is due."""
        if self._polling:
            return
        self._polling = True
        try:
            if self._orders.right() is not OrderRight.NONE:
                self._guard.record_right()
                if self._guard.needs_fence:
                    await self._orders.fence()
            await self._poller.poll()
        finally:
            self._polling = False
        if self._has_predecessor_stopped():
            self._guard.on_predecessor_stopped()
        self._loader.start_loads()
        self._changed.fire()
        self._metrics.grants_out.labels(self._target.name).set(self._ledger.outstanding)

    def _announced_residents(self) -> tuple[Resident, ...]:
        """Return the residents and the loads that wait, so that others join them."""
        residents = self._residency.residents()
        known = {resident[:2] for resident in residents}
        waiting = (r for r in self._queue.residents() if r[:2] not in known)
        return (*residents, *waiting)

    def _refusal(self) -> Failure | None:
        if self._orders.right() is OrderRight.NONE:
            return no_grant(f"no right to grant on {self._target.name}")
        if self.leaving:
            detail = f"{self._target.name} is leaving"
            return Failure(ErrorKind.TARGET_REFUSED, detail)
        if self.silent:
            detail = f"{self._target.name} does not answer"
            return Failure(ErrorKind.TARGET_UNREACHABLE, detail)
        return None

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
        self._loader.on_restart()
