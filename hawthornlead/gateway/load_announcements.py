"""Announce each VM's state and requests to the other VMs, directly or through heads.

In a small fleet each VM sends its announcements to all others. A message costs its
receiver about the same whatever it holds, and each VM receives one from every other VM.
In a large fleet each VM therefore announces to its heads. A head gathers the updates of
its subscribers, exchanges them with the other heads, and sends its subscribers the
membership changes and the number of requests of each target. Which adapters the
requests use is sent only to the VM that orders the target.
"""

from collections.abc import Callable

from ..decisions.quotas import QuotaLedger
from ..fleet.fleet_meshes import FleetMesh
from ..fleet.head_subscribers import NO_SERIAL, HeadSubscriber
from ..messages.fleets import (
    FleetUpdate,
    GroupUpdate,
    MemberLoads,
    MemberState,
    MemberUpdate,
    TargetRunning,
)
from ..messages.gateways import ForwardedLoads, GatheredLoads, TargetLoad, VmLoads
from ..tasks import TaskSet
from ..timers import TimerService
from .memberships import Memberships
from .target_loads import TargetLoads

ANNOUNCE_INTERVAL_S = 0.2
# Added to the interval for each VM, so that larger fleets announce less often.
ANNOUNCE_INTERVAL_PER_VM_S = 0.004
# Between two updates to a head, and between two messages of a head.
GATHER_INTERVAL_S = 0.4
# An update waits up to one interval at its VM, at that VM's head and at the receiver's
# head.
GATHER_HOPS = 3
# Membership changes are forwarded sooner than other updates, in batches of this time.
FORWARD_DELAY_S = 0.1
# A head reports a subscriber as silent if it received nothing from it for this time.
SILENCE_TIMEOUT_S = 1.0


class LoadAnnouncements:
    """Announces this VM's requests, and receives the announcements of the other VMs.

    ``on_update`` is called with each update, also with this VM's own. ``owned`` returns
    the targets that this VM orders.
    """

    def __init__(
        self,
        *,
        memberships: Memberships,
        loads: TargetLoads,
        mesh: FleetMesh,
        timers: TimerService,
        on_update: Callable[[VmLoads], None],
        owned: Callable[[], tuple[str, ...]],
        quotas: QuotaLedger,
    ):
        self._quotas = quotas
        self._memberships = memberships
        self._loads = loads
        self._mesh = mesh
        self._timers = timers
        self._on_update = on_update
        self._owned = owned
        # What a head has to forward: the updates of its subscribers, and all updates.
        self._subscriber_loads: dict[str, MemberLoads] = {}
        self._all_loads: dict[str, MemberLoads] = {}
        self._announced_serial = 0
        # Whether a workspace was over its limit at the last forwarding.
        self._surge_announced = False
        self._forwarded_at = 0.0
        self._tasks = TaskSet()
        mesh.on(VmLoads, self._on_loads)
        mesh.on(GatheredLoads, self._on_gathered)
        mesh.on(MemberUpdate, self._on_member_update)
        mesh.on(GroupUpdate, self._on_group_update)
        mesh.on(FleetUpdate, self._on_fleet_update)

    @property
    def max_report_age_s(self) -> float:
        """The maximum age of what VMs reported of their requests, in seconds."""
        if self._mesh.large:
            return GATHER_HOPS * GATHER_INTERVAL_S
        return ANNOUNCE_INTERVAL_S + ANNOUNCE_INTERVAL_PER_VM_S * len(
            self._memberships.live()
        )

    def start(self) -> None:
        """Start to announce periodically."""
        self._tasks.spawn(self._announce_periodically())

    def stop(self) -> None:
        """Stop announcing."""
        self._tasks.cancel()

    async def _announce_periodically(self) -> None:
        while True:
            large = self._mesh.large
            await self._timers.sleep(
                GATHER_INTERVAL_S if large else self.max_report_age_s
            )
            self.announce()

    def announce(self) -> None:
        """Announce this VM and its requests once, and forward gathered updates."""
        update = self._loads.build_update()
        self._on_update(update)
        if not self._mesh.large:
            self._count_quotas()
            self._mesh.broadcast(update._replace(quotas=self._quotas.collect_uses()))
            return
        state = self._memberships.own_state()
        if not self._mesh.is_head:
            self._announce_to_heads(state, update)
            return
        self._mesh.table.apply(state)
        self._count_quotas()
        own = MemberLoads(state, update.loads, self._quotas.collect_uses())
        self._store_subscriber_loads(own)
        self._mark_silent()
        self._forward()

    def _count_quotas(self) -> None:
        """Count quotas from the announcements of all VMs, if the VMs are known."""
        if self._memberships.registered_order.count:
            self._quotas.mark_counting_locally()

    def _announce_to_heads(self, state: MemberState, update: VmLoads) -> None:
        """Announce to the heads of this data centre, one of them the upstream head."""
        upstream, serial = self._mesh.upstream_head, self._mesh.upstream_serial
        owned = self._owned()
        for head in self._mesh.links.local_heads:
            if head == upstream:
                uses = self._quotas.collect_uses()
                message = MemberUpdate(state, True, serial, owned, update.loads, uses)
            else:
                message = MemberUpdate(state, False, NO_SERIAL, (), ())
            self._mesh.cast_to((head,), message)

    # What a head does

    def _mark_silent(self) -> None:
        """Report each subscriber once that has fallen silent."""
        silent_after = self._timers.now() - SILENCE_TIMEOUT_S
        table = self._mesh.table
        for vm, subscriber in self._mesh.subscribers.all.items():
            # It may be subscribed to another head by now.
            if not subscriber.subscribed or table.last_reported_at(vm) >= silent_after:
                continue
            state = table.states[vm]._replace(silent=True)
            if table.apply(state):
                self._store_subscriber_loads(MemberLoads(state, ()))

    def _store_subscriber_loads(self, loads: MemberLoads) -> None:
        """Store the update of a subscriber until it is forwarded.

        It replaces the previous update, except for quota uses, which add up.
        """
        vm = loads.state.vm
        earlier = self._subscriber_loads.get(vm)
        if earlier is not None:
            loads = loads._replace(quotas=earlier.quotas + loads.quotas)
        self._subscriber_loads[vm] = loads
        if not loads.state.silent:
            self._all_loads[vm] = loads

    def _forward(self) -> None:
        self._forwarded_at = self._timers.now()
        self._surge_announced = self._quotas.surging()
        subscriber_loads, self._subscriber_loads = self._subscriber_loads, {}
        all_loads, self._all_loads = self._all_loads, {}
        update = GroupUpdate(
            tuple(subscriber_loads.values()), self._quotas.states_for_heads()
        )
        self._mesh.cast_to(self._mesh.other_heads, update)
        subscribers = self._mesh.subscribers.all
        if not subscribers:
            return
        running = self._loads.totals()
        self._forward_changes(subscribers, running)
        for vm, subscriber in subscribers.items():
            if subscriber.subscribed and subscriber.owned:
                self._forward_uses(vm, subscriber, all_loads)

    def _forward_changes(
        self, subscribers: dict[str, HeadSubscriber], running: tuple[TargetRunning, ...]
    ) -> None:
        """Send subscribers the changed members and the totals of all targets."""
        table = self._mesh.table
        since, serial = self._announced_serial, table.serial
        self._announced_serial = serial
        up_to_date, behind = [], []
        for vm, subscriber in subscribers.items():
            if not subscriber.subscribed:
                continue
            (up_to_date if subscriber.serial == since else behind).append(vm)
            subscriber.serial = serial
        states = self._quotas.states_for_subscribers()
        share = self._memberships.seen_share
        quotas = (states, share) if states else ()
        changes = FleetUpdate(
            since, serial, table.changes_since(since), running, *quotas
        )
        self._mesh.cast_to(up_to_date, changes)
        if behind:
            living = table.live()
            whole = FleetUpdate(NO_SERIAL, serial, living, running, *quotas)
            self._mesh.cast_to(behind, whole)

    def _forward_uses(
        self, vm: str, subscriber: HeadSubscriber, all_loads: dict[str, MemberLoads]
    ) -> None:
        """Send a VM the requests that use adapters of the targets that it orders."""
        forwarded = []
        using = set()
        for other, update in all_loads.items():
            loads = _on_targets(update.loads, subscriber.owned)
            if loads:
                using.add(other)
            if loads or other in subscriber.forwarded_vms:
                forwarded.append(ForwardedLoads(other, loads))
        subscriber.forwarded_vms = (subscriber.forwarded_vms - set(all_loads)) | using
        if forwarded:
            self._mesh.cast_to((vm,), GatheredLoads(tuple(forwarded)))

    async def _on_member_update(self, sender, message: MemberUpdate) -> None:
        """Apply the update of a VM that has chosen this one as a head."""
        vm = sender.vm
        subscribers = self._mesh.subscribers
        is_new = subscribers.apply_update(
            vm, message.subscribed, message.owned, message.serial
        )
        changed = self._mesh.table.apply(message.state)
        if not message.subscribed:
            return
        self._store_subscriber_loads(
            MemberLoads(message.state, message.loads, message.quotas)
        )
        self._quotas.apply_uses(message.quotas)
        self._apply(vm, VmLoads(message.loads))
        if is_new:
            self._mesh.on_subscribed(vm)
        if changed or is_new or self._has_unannounced_surge():
            self._forward_soon()

    def _has_unannounced_surge(self) -> bool:
        """Whether the others have not been told that a workspace is over its limit."""
        return not self._surge_announced and self._quotas.surging()

    async def _on_group_update(self, sender, message: GroupUpdate) -> None:
        """Apply another head's updates of its subscribers."""
        self._mesh.subscribers.mark_head(sender.vm)
        if not self._mesh.is_head:
            # Only the upstream head sends it members, with consecutive serials.
            return
        changed = False
        for member in message.members:
            vm = member.state.vm
            if vm == self._mesh.vm:
                continue
            changed |= self._mesh.table.apply(member.state)
            self._quotas.apply_uses(member.quotas)
            if not member.state.silent:
                self._all_loads[vm] = member
                self._apply(vm, VmLoads(member.loads))
        self._quotas.reconcile(message.quotas)
        if changed or self._has_unannounced_surge():
            self._forward_soon()

    def _forward_soon(self) -> None:
        """Forward membership changes before the next update is due."""
        if self._mesh.is_head:
            self._tasks.spawn_once("forward", self._forward_after_delay)

    async def _forward_after_delay(self) -> None:
        await self._timers.sleep(FORWARD_DELAY_S)
        if self._timers.now() - self._forwarded_at >= FORWARD_DELAY_S:
            self._forward()

    # What subscribers receive

    async def _on_fleet_update(self, sender, message: FleetUpdate) -> None:
        """Apply a head's update of members and targets."""
        if sender.vm != self._mesh.upstream_head:
            return
        self._loads.apply_totals(message.running)
        self._quotas.apply_states(message.quotas, message.quota_share)
        table = self._mesh.table
        if message.since == NO_SERIAL:
            table.replace_all(message.members)
        elif message.since == self._mesh.upstream_serial:
            for state in message.members:
                table.apply(state)
        else:
            # Changes in between were lost with a connection. This requests all members.
            self._mesh.upstream_serial = NO_SERIAL
            return
        table.confirm_all()
        self._mesh.upstream_serial = message.serial

    async def _on_loads(self, sender, message: VmLoads) -> None:
        self._quotas.apply_uses(message.quotas)
        self._apply(sender.vm, message)

    async def _on_gathered(self, sender, message: GatheredLoads) -> None:
        for update in message.words:
            if update.vm != self._mesh.vm:
                self._apply(update.vm, VmLoads(update.loads))

    def _apply(self, vm: str, update: VmLoads) -> None:
        self._loads.apply_loads(vm, update)
        self._on_update(update)


def _on_targets(
    loads: tuple[TargetLoad, ...], targets: frozenset[str]
) -> tuple[TargetLoad, ...]:
    return tuple([load for load in loads if load.target in targets])
