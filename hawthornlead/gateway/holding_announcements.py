"""Announce to all VMs which adapters engines hold, directly or through heads.

In a small fleet an owner announces each change to all other VMs. An engine with few
slots changes several times a second, and each change would be a message to every VM.
In a large fleet heads therefore batch the changes, as they do for load announcements.
A VM that has not received a change yet is corrected by the owner, which it asks before
each load and each turn.
"""

from collections.abc import Callable

from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import GatheredHoldings, TargetHoldings, VmHoldings
from ..tasks import TaskSet
from ..timers import TimerService

# Changes of one engine within this time are announced in one message. The time grows
# with the number of VMs, since each change is a message to each of them.
BATCH_S = 0.01
BATCH_PER_VM_S = 0.0005
# How long changes are batched at their VM and at each of two heads. Runs last 0.3 s and
# more, so most changes are known in time for the next choice.
GATHER_INTERVAL_S = 0.15
# Changes that a head had gathered when it died are lost, so everything is announced
# again.
REANNOUNCE_INTERVAL_S = 4.0
# Changes of one engine within this time are announced in one message. The time grows
# with the number of VMs, if each change is a message to each of them.
BATCH_S = 0.01
BATCH_PER_VM_S = 0.0005


def batch_time_s(vms: int) -> float:
    """Return how long changes are batched for messages to so many VMs."""
    return BATCH_S + BATCH_PER_VM_S * vms


class HoldingAnnouncements:
    """Announces this VM's engines, and receives the announcements of other owners.

    ``own_holdings`` returns what to reannounce. ``on_holdings`` is called with each
    owner and its holdings::

        announcements = HoldingAnnouncements(
            mesh=mesh,
            timers=timers,
            own_holdings=manager.holdings,
            on_holdings=targets.apply_holdings,
        )
        announcements.announce(owner.holdings)
    """

    def __init__(
        self,
        *,
        mesh: FleetMesh,
        timers: TimerService,
        own_holdings: Callable[[], tuple[TargetHoldings, ...]],
        on_holdings: Callable[[str, TargetHoldings], None],
    ):
        self._mesh = mesh
        self._timers = timers
        self._own_holdings = own_holdings
        self._on_holdings = on_holdings
        # Changes to forward to the other heads and to this head's subscribers, and
        # changes to forward to these subscribers only.
        self._for_all: dict[str, VmHoldings] = {}
        self._for_subscribers: dict[str, VmHoldings] = {}
        # The newest holdings of each target, for new subscribers.
        self._newest: dict[str, VmHoldings] = {}
        self._tasks = TaskSet()
        mesh.on(TargetHoldings, self._on_direct)
        mesh.on(GatheredHoldings, self._on_gathered)

    def start(self) -> None:
        """Start to reannounce all holdings periodically."""
        self._tasks.spawn(self._reannounce_periodically())

    def stop(self) -> None:
        """Stop announcing and forwarding."""
        self._tasks.cancel()

    def batch_s(self, vms: int) -> float:
        """Return how long the changes of an engine are batched where ``vms`` live."""
        return BATCH_S if self._mesh.large else BATCH_S + BATCH_PER_VM_S * vms

    def announce(self, holdings: TargetHoldings) -> None:
        """Announce to all other VMs what an engine holds."""
        if not self._mesh.large:
            self._mesh.broadcast(holdings)
            return
        update = VmHoldings(self._mesh.vm, holdings)
        self._for_all[holdings.target] = self._newest[holdings.target] = update
        self._forward_soon()

    def announce_all(self, vm: str) -> None:
        """Send one VM the newest holdings of all engines known here."""
        for holdings in self._own_holdings():
            self._newest[holdings.target] = VmHoldings(self._mesh.vm, holdings)
        self._mesh.cast(vm, GatheredHoldings(tuple(self._newest.values())))

    def discard(self, target: str) -> None:
        """Discard the holdings of a target that is gone."""
        self._newest.pop(target, None)

    async def _reannounce_periodically(self) -> None:
        while True:
            await self._timers.sleep(REANNOUNCE_INTERVAL_S)
            if self._mesh.large:
                for holdings in self._own_holdings():
                    self.announce(holdings)

    def _forward_soon(self) -> None:
        self._tasks.spawn_once("forward", self._forward_after_delay)

    async def _forward_after_delay(self) -> None:
        await self._timers.sleep(GATHER_INTERVAL_S)
        while not self._mesh.is_head and not self._mesh.upstream_head:
            await self._timers.sleep(GATHER_INTERVAL_S)
        self._forward()

    def _forward(self) -> None:
        for_all, self._for_all = self._for_all, {}
        for_subscribers, self._for_subscribers = self._for_subscribers, {}
        gathered = GatheredHoldings(tuple(for_all.values()))
        if not self._mesh.is_head:
            if for_all:
                self._mesh.cast_to((self._mesh.upstream_head,), gathered)
            return
        if for_all:
            self._mesh.cast_to(self._mesh.other_heads, gathered)
        both = GatheredHoldings((*for_subscribers.values(), *for_all.values()))
        self._mesh.cast_to(self._mesh.subscribers.subscribed, both)

    async def _on_direct(self, sender, message: TargetHoldings) -> None:
        self._on_holdings(sender.vm, message)

    async def _on_gathered(self, sender, message: GatheredHoldings) -> None:
        from_subscriber = sender.vm in self._mesh.subscribers.all
        forwards = self._mesh.is_head
        for update in message.words:
            if update.vm == self._mesh.vm:
                continue
            self._on_holdings(update.vm, update.holdings)
            if not forwards:
                continue
            pending = self._for_all if from_subscriber else self._for_subscribers
            target = update.holdings.target
            pending[target] = self._newest[target] = update
        if forwards:
            self._forward_soon()
