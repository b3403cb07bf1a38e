"""The targets that this VM owns: takeovers, announcements, messages to their owners."""

from collections.abc import Callable
from typing import NamedTuple

from result import Err

from ..core_parts import CoreParts
from ..decisions.views import TargetViews, target_resource
from ..errors import ErrorKind, Failure
from ..mesh.casts import send
from ..messages import (
    AcquireGrant,
    Done,
    Failed,
    ReleaseGrant,
    RenewedGrants,
    RenewGrants,
    Resident,
    TargetState,
    TargetSuspect,
)
from .allowances import Allowances, allowance_resource
from .owned_targets import OwnedTarget, Policies
from .slots import TargetOwner
from .targets import TargetClient

# States are announced at most this often, soon after a change ...
ANNOUNCE_INTERVAL_S = 0.1
# ... and this often without one. With many targets the interval grows, so that all
# owners together send each VM at most MAX_STATES_PER_S states a second.
REANNOUNCE_INTERVAL_S = 3.0
MAX_STATES_PER_S = 40.0
DEFAULT_WEIGHT_STORE = "default"


class _Announced:
    """What was last announced of one target."""

    def __init__(self):
        self.state: TargetState | None = None
        self.at = float("-inf")
        self.serial = 0


class _Incarnation(NamedTuple):
    """One incarnation of a VM; the mesh distinguishes VMs by it."""

    vm: str
    incarnation: str


class TargetOwners:
    """Keeps a ``TargetOwner`` for each target that this VM owns."""

    def __init__(
        self,
        *,
        core: CoreParts,
        mesh,
        owners,
        vm_list,
        views: TargetViews,
        allowances: Allowances,
        policies: Policies,
        make_client: Callable[[str], TargetClient],
    ):
        self._core = core
        self._timers = core.timers
        self._mesh = mesh
        self._owners = owners
        self._vm_list = vm_list
        self._views = views
        self._allowances = allowances
        self._policies = policies._replace(copies=self._copies)
        self._make_client = make_client
        self._targets: dict[str, TargetOwner] = {}
        self._announced: dict[str, _Announced] = {}
        self._requested: set[str] = set()
        # Until when evictions of targets that were released may take effect.
        self._evictions_end_at: dict[str, float] = {}
        self._connected: frozenset[_Incarnation] = frozenset()
        self._timer = None

    @property
    def targets(self) -> dict[str, TargetOwner]:
        """The owned targets by name."""
        return dict(self._targets)

    def start(self) -> None:
        """Request ownership of the targets in the VM list and serve the owned ones."""
        self._mesh.on(AcquireGrant, self._on_acquire)
        self._mesh.on(RenewGrants, self._on_renew)
        self._mesh.on(ReleaseGrant, self._on_release)
        self._mesh.on(TargetSuspect, self._on_suspect)
        self._owners.on_taken(self._on_taken)
        self._owners.on_lost(self._on_lost)
        self._owners.set_open_order_check(self._has_pending_order)
        self._vm_list.subscribe(self._on_vm_list)
        self._on_vm_list()
        self._timer = self._timers.every(
            ANNOUNCE_INTERVAL_S, self._announce_all, name="target states"
        )

    async def stop(self) -> None:
        """Release all targets."""
        if self._timer is not None:
            self._timer.cancel()
        owners = list(self._targets.values())
        for name, owner in self._targets.items():
            owner.release()
            self._evictions_end_at[target_resource(name)] = owner.evictions_end_at
        self._targets.clear()
        for owner in owners:
            await owner.stop()

    def _on_vm_list(self, *_unused) -> None:
        required = {}
        for entry in self._vm_list.engines():
            required[target_resource(entry.name)] = entry.data_centre
            store = allowance_resource(_weight_store(entry))
            required.setdefault(store, entry.data_centre)
            if entry.name in self._targets:
                self._targets[entry.name].leaving = entry.state == "leaving"
        for resource, data_centre in required.items():
            if resource not in self._requested:
                self._owners.request(resource, data_centre)
        for resource in self._requested - required.keys():
            self._owners.withdraw(resource)
        self._requested = set(required)

    def _on_taken(self, ownership) -> None:
        kind, _, name = ownership.resource.partition(":")
        if kind == "allowance":
            self._allowances.on_taken(ownership)
            return
        entry = self._entry(name)
        if kind != "target" or entry is None:
            return
        self._on_lost(ownership.resource)
        owner = self._build(entry, ownership)
        self._targets[name] = owner
        self._announced[name] = _Announced()
        owner.leaving = entry.state == "leaving"
        owner.start()
        self._timers.after(0, owner.poll, name="target taken")

    def _on_lost(self, resource: str) -> None:
        kind, _, name = resource.partition(":")
        if kind == "allowance":
            self._allowances.on_lost(resource)
            return
        owner = self._targets.pop(name, None) if kind == "target" else None
        if owner is None:
            return
        del self._announced[name]
        owner.release()
        self._evictions_end_at[resource] = owner.evictions_end_at
        self._timers.after(0, owner.stop, name="target lost")

    def _has_pending_order(self, resource: str) -> bool:
        """Whether an eviction that this VM sent may still take effect.

        GRA-8: at a shutdown or a move the resource is released at once. A successor
        that does not know of the pending order would grant before it takes effect.
        """
        return self._timers.now() < self._evictions_end_at.get(resource, float("-inf"))

    def _entry(self, name: str):
        for entry in self._vm_list.engines():
            if entry.name == name:
                return entry
        return None

    def _build(self, entry, ownership) -> TargetOwner:
        target = OwnedTarget(
            name=entry.name,
            address=entry.address,
            slots=int(entry.attributes.get("slots", 0)),
            fencing=bool(entry.attributes.get("fencing", False)),
            weight_store=_weight_store(entry),
        )
        return TargetOwner(
            core=self._core,
            owners=self._owners,
            allowances=self._allowances,
            policies=self._policies,
            client=self._make_client(entry.address),
            target=target,
            ownership=ownership,
            cast=lambda vm, message: send(self._mesh, vm, message),
            has_predecessor_stopped=lambda: self._has_predecessor_stopped(ownership),
        )

    def _has_predecessor_stopped(self, ownership) -> bool:
        """Whether all earlier owners are now proved to have stopped."""
        owned = self._owners.owned(ownership.resource)
        if owned is None or owned.fence != ownership.fence:
            return False
        return owned.predecessor_stopped

    def _copies(self, resident: Resident) -> int:
        """Count the other targets that hold an adapter version, as far as known."""
        copies = -1
        for view in self._views.views():
            if view.state is None:
                continue
            for other in view.state.residents:
                if other[:2] == resident[:2]:
                    copies += 1
        return max(0, copies)

    def _announce_all(self) -> None:
        count = len(self._vm_list.engines())
        reannounce_interval_s = max(REANNOUNCE_INTERVAL_S, count / MAX_STATES_PER_S)
        now = self._timers.now()
        for name, owner in self._targets.items():
            announced = self._announced[name]
            state = owner.state(announced.serial)
            if (
                now - announced.at < reannounce_interval_s
                and not _routing_state_changed(announced.state, state)
            ):
                continue
            announced.serial += 1
            announced.at = now
            announced.state = state._replace(serial=announced.serial)
            self._views.apply_state(announced.state)
            self._mesh.broadcast(announced.state)
        self._announce_to_new_vms()

    def _announce_to_new_vms(self) -> None:
        """Announce the last states to VMs that connected since the last run.

        A VM that has just started knows no target. Without this it would refuse every
        request with no-target until the next announcement, seconds later.
        """
        connected = frozenset(
            _Incarnation(peer.vm, peer.incarnation) for peer in self._mesh.live
        )
        for new_vm in connected - self._connected:
            for announced in self._announced.values():
                if announced.state is not None:
                    self._mesh.cast(new_vm.vm, announced.state)
        self._connected = connected

    async def _on_acquire(self, sender, request: AcquireGrant):
        owner = self._targets.get(request.target)
        if owner is None:
            return _failed(_not_owner(request.target))
        outcome = await owner.grants.acquire(sender.vm, request)
        if isinstance(outcome, Err):
            return _failed(outcome.err_value)
        return outcome.ok_value

    async def _on_renew(self, sender, message: RenewGrants):
        owner = self._targets.get(message.target)
        if owner is None:
            return RenewedGrants((), 0.0)
        return owner.grants.renew(message)

    async def _on_release(self, sender, message: ReleaseGrant):
        owner = self._targets.get(message.target)
        if owner is not None:
            owner.grants.release(message)
        return Done()

    async def _on_suspect(self, sender, message: TargetSuspect):
        owner = self._targets.get(message.target)
        if owner is not None:
            owner.suspect()
        return Done()


def _weight_store(entry) -> str:
    return str(entry.attributes.get("weight_store") or DEFAULT_WEIGHT_STORE)


def _routing_state_changed(announced: TargetState | None, state: TargetState) -> bool:
    """Whether what routing depends on has changed; changed counts can wait."""
    if announced is None or (announced.slots, announced.leaving) != (
        state.slots,
        state.leaving,
    ):
        return True
    if announced.boot_id != state.boot_id:
        return True
    before = [(r.adapter, r.version, r.loading) for r in announced.residents]
    after = [(r.adapter, r.version, r.loading) for r in state.residents]
    return before != after


def _not_owner(target: str) -> Failure:
    return Failure(ErrorKind.NO_GRANT, f"not the owner of {target}", retry_after_s=0.5)


def _failed(failure: Failure) -> Failed:
    return Failed(failure.kind.value, failure.detail, failure.retry_after_s)
