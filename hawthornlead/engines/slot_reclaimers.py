"""Frees a target's slots for loads: evicts idle adapters and revokes grants.

The loader says how many loads need a slot. An adapter that a grant, a request or a
waiting load still holds is not evicted::

    if reclaimer.has_capacity_for(expected=1) and await reclaimer.free_slot():
        ...  # a slot is free
"""

from collections.abc import Callable

from result import Ok

from ..core_parts import CoreParts
from ..errors import ErrorKind
from ..events import EventKind
from ..waits import Signal
from .grant_ledgers import AdapterVersion, GrantLedger, IssuedGrant
from .orders import TargetOrders
from .owned_targets import Policies
from .residencies import Residency, Slot, SlotState

# How long a load waits at most for the release of grants that it had revoked.
DRAIN_TIMEOUT_S = 0.1


class SlotReclaimer:
    """Frees slots of one target."""

    def __init__(
        self,
        *,
        core: CoreParts,
        target: str,
        policies: Policies,
        orders: TargetOrders,
        ledger: GrantLedger,
        residency: Residency,
        changed: Signal,
        revoke: Callable[[list[IssuedGrant]], None],
    ):
        self._timers = core.timers
        self._events = core.events
        self._metrics = core.metrics
        self._invariants = core.invariants
        self._target = target
        self._policies = policies
        self._orders = orders
        self._ledger = ledger
        self._residency = residency
        self._changed = changed
        self._revoke = revoke
        # Until when the target's answer that its slots are full overrules its reports.
        self._full_until = float("-inf")

    def could_hold(self, key: AdapterVersion, loads_before: int = 0) -> bool:
        """Whether ``key`` has a slot, or could soon have one.

        ``loads_before`` other loads need a slot each before it. A slot that runs
        nothing counts, even under grants, since grants can be revoked.
        """
        if self._residency.get(key) is not None:
            return True
        free = self._residency.free
        for slot in self._residency.slots():
            if slot.state is SlotState.RESIDENT and not slot.awaiting_grant:
                free += slot.running == 0 or self._ledger.idle(slot.key)
        return free > loads_before

    def has_capacity_for(self, expected: int) -> bool:
        """Whether a slot is free or idle beside those ``expected`` by other loads."""
        if self._timers.now() < self._full_until:
            return False
        free = self._residency.free
        if self._orders.may_evict():
            free += len(self._idle_slots())
        return free > expected

    def mark_full(self, until: float) -> None:
        """Count all slots as used until ``until``, whatever the reports say."""
        self._full_until = until

    async def free_slot(self) -> bool:
        """Evict one idle adapter if no slot is free; return whether one is."""
        if self._residency.free > 0:
            return True
        if not self._orders.may_evict():
            return False
        victim = self._choose(self._idle_slots())
        if victim is None or not await self._evict(victim):
            return False
        return self._residency.free > 0

    def drain_one(self, loads: int) -> None:
        """Revoke the grants on one adapter, so that it becomes idle.

        At most one slot for each of ``loads`` is drained at a time. A slot that runs
        nothing is preferred to one whose requests have to end first.
        """
        if not self._orders.may_evict():
            return
        draining = 0
        candidates = []
        for slot in self._residency.slots():
            draining += slot.draining
            if slot.grantable and slot.awaiting_grant == 0:
                candidates.append(slot)
        if draining >= loads:
            return
        not_running = [slot for slot in candidates if slot.running == 0]
        slot = self._choose(not_running or candidates)
        if slot is None:
            return
        slot.draining = True
        self._revoke(self._ledger.revoke(slot.key))

    async def drain_best(self) -> None:
        """Revoke the grants on the best adapter to evict, if it runs nothing.

        A VM keeps a grant for seconds after its last request. If only slots without
        grants were considered, an adapter used just once would outlive an adapter
        that is requested every ten seconds.
        """
        if self._residency.free > 0 or not self._orders.may_evict():
            return
        idle = self._idle_slots()
        not_running = [
            slot
            for slot in self._residency.slots()
            if slot.grantable and not slot.awaiting_grant and not slot.running
        ]
        best = self._choose(idle + [slot for slot in not_running if slot not in idle])
        if best is None or best in idle:
            return
        best.draining = True
        self._revoke(self._ledger.revoke(best.key))
        until = self._timers.now() + DRAIN_TIMEOUT_S
        while not self._ledger.idle(best.key) and self._timers.now() < until:
            await self._changed.wait(self._timers, until - self._timers.now())

    def end_drains(self) -> None:
        """Keep adapters whose grants were revoked for loads that have ended."""
        for slot in self._residency.slots():
            slot.draining = False

    async def _evict(self, victim: Slot) -> bool:
        """Evict; return whether the slot is free. No grant is issued meanwhile."""
        # GRA-7: nothing is granted on this slot until the outcome is known.
        victim.state = SlotState.EVICTING
        victim.evict_pending = True
        reply = await self._orders.evict(
            victim.key,
            lambda: self._ledger.idle(victim.key) and victim.awaiting_grant == 0,
        )
        if self._residency.get(victim.key) is not victim:
            return True
        if isinstance(reply, Ok):
            self._invariants.check(
                "evict-only-idle",
                self._ledger.idle(victim.key),
                f"{self._target} {victim.key.adapter}",
            )
            same_start = reply.ok_value.boot_id == self._residency.boot_id
            self._residency.remove(victim, reply.ok_value.now if same_start else None)
            self._metrics.evictions.inc()
            self._events.emit(
                EventKind.ADAPTER_EVICTED, self._target, adapter=victim.key
            )
            return True
        kind = reply.err_value.kind
        if kind is ErrorKind.NOT_FOUND:
            self._residency.remove(victim)
            return True
        if kind is ErrorKind.TARGET_LOST:
            # GRA-8: the eviction may still take effect, also under this same owner.
            # Requests granted meanwhile would lose their adapter. The bytes may have
            # been sent just before the timeout, so the time counts from here.
            self._residency.mark_uncertain(
                victim, self._timers.now() + self._orders.max_duration_s
            )
            return False
        victim.state = SlotState.RESIDENT
        victim.evict_pending = False
        return False

    def _idle_slots(self) -> list[Slot]:
        idle = []
        for slot in self._residency.slots():
            if slot.state is not SlotState.RESIDENT or slot.awaiting_grant > 0:
                continue
            if self._ledger.idle(slot.key):
                idle.append(slot)
        return idle

    def _choose(self, slots: list[Slot]) -> Slot | None:
        residents = [slot.resident() for slot in slots]
        chosen = self._policies.eviction.choose(
            residents,
            self._policies.popularity,
            self._timers.now(),
            self._policies.copies,
        )
        if chosen is None:
            return None
        return self._residency.get(AdapterVersion(chosen.adapter, chosen.version))
