"""The owner of one target: decides who may run there and what it has loaded.

A ``TargetOwner`` exists on the VM that owns ``target:NAME`` for as long as it owns it.
It polls the target's reports, issues grants, and lets the loader load and evict.
``TargetOwners`` hands it the messages of other VMs.
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
from .grant_ledgers import GrantLedger, IssuedGrant
from .load_queues import LoadQueue
from .loaders import Loader
from .orders import TargetOrders
from .owned_targets import OwnedTarget, Policies
from .residencies import Residency
from .slot_reclaimers import SlotReclaimer
from .target_pollers import TargetPoller
from .targets import TargetClient


class TargetOwner:
    """Decides on grants, loads and evictions of one target.

    ``cast`` sends a revocation to a VM without waiting for an answer.
    ``has_predecessor_stopped`` says whether all earlier owners are proved to have
    stopped.
    """

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
        """Whether the target no longer answers its owner."""
        return self._poller.silent

    @property
    def grants(self) -> GrantIssuer:
        """The part that issues, renews and takes back grants."""
        return self._grant_issuer

    @property
    def evictions_end_at(self) -> float:
        """When all evictions that were sent have taken effect, or never will."""
        return self._orders.evictions_end_at

    def start(self) -> None:
        """Start to poll the target."""
        self._timer = self._timers.every(
            self._settings["REPORT_INTERVAL_S"],
            self.poll,
            name=f"report of {self._target.name}",
        )
        self._events.emit(EventKind.TARGET_OWNED, self._target.name, fence=self._fence)

    def release(self) -> None:
        """Stop granting and ordering; ``stop`` ends what is under way."""
        self._orders.stop()
        self._changed.fire()

    async def stop(self) -> None:
        """End polls and loads; outstanding grants expire by themselves."""
        self.release()
        if self._timer is not None:
            self._timer.cancel()
        await self._loader.stop()
        self._metrics.grants_out.labels(self._target.name).set(0)
        self._events.emit(
            EventKind.TARGET_GIVEN_UP, self._target.name, fence=self._fence
        )

    def state(self, serial: int) -> TargetState:
        """Return the state to announce; a silent target offers no slots."""
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
        """Probe the target soon, since a request failed there."""
        self._poller.request_probe()
        if not self._polling:
            self._timers.after(0, self.poll, name="suspected target")

    async def poll(self) -> None:
        """Fence, probe and read the report, each if it is due."""
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
        """Return residents and waiting loads, so that other requests join a load."""
        residents = self._residency.residents()
        known = {resident[:2] for resident in residents}
        waiting = (r for r in self._queue.residents() if r[:2] not in known)
        return (*residents, *waiting)

    def _refusal(self) -> Failure | None:
        if self._orders.right() is OrderRight.NONE:
            return no_grant(f"this owner may not grant on {self._target.name} now")
        if self.leaving:
            detail = f"{self._target.name} is leaving"
            return Failure(ErrorKind.TARGET_REFUSED, detail)
        if self.silent:
            detail = f"{self._target.name} does not answer"
            return Failure(ErrorKind.TARGET_UNREACHABLE, detail)
        return None

    def _revoke(self, grants: list[IssuedGrant]) -> None:
        for grant in grants:
            self._events.emit(
                EventKind.GRANT_REVOKED,
                self._target.name,
                grant=grant.grant_id,
                vm=grant.vm,
            )
            self._cast(grant.vm, RevokeGrant(self._target.name, grant.grant_id))

    def _on_restart(self) -> None:
        """Revoke all grants, since the slots are empty.

        Adapters are loaded again only when requests need them, within the load
        allowance. Reloading all at once would overload the weight store.
        """
        self._revoke(self._ledger.revoke_all())
        self._loader.on_restart()
