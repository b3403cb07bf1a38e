"""A model of a fleet whose VMs tell each other, through heads, of one quota's use.

Delays are those of docs/design/fleet.md; VMs are cut off, frozen or restarted, and
heads are lost. A VM's registration lives on while it restarts, so that the share of
VMs that a head hears is low at first. Each loss is noticed late, as in the gateway.
"""

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from result import Result

from hawthornlead.decisions.quotas import Limit, QuotaLedger
from hawthornlead.errors import Failure
from hawthornlead.messages.quotas import QuotaState

from .bench_quotas import HEADS, HURRY_S, LOOK_S, NAME, TELL_S, WAY_S

# After this time without an update a VM or head counts as silent.
NOTICE_S = 1.0
# The connections of a killed head break, and its VMs turn to another.
BROKEN_S = 0.1
# All VMs are told of a silent one after this time.
SILENT_TOLD_S = 1.5
# A restarted VM takes requests within this range of times, after the restart.
BACK_S = (0.3, 1.0)
# For how long the share of VMs that a head has heard is kept.
SHARE_TTL_S = 0.05


class Faults(NamedTuple):
    """Which VMs are away from when to when."""

    restarts: tuple[float, ...] = ()
    cut: frozenset[int] = frozenset()
    cut_from: float = 0.0
    cut_until: float = 0.0
    frozen: frozenset[int] = frozenset()
    frozen_from: float = 0.0
    frozen_until: float = 0.0
    lost_heads: frozenset[int] = frozenset()
    lost_at: float = 0.0

    def is_calm(self, now: float) -> bool:
        """Whether no VM has been away so far."""
        if self.restarts:
            return False
        began = self.cut_from or self.frozen_from or self.lost_at
        return not began or now < began

    def is_cut(self, vm: int, now: float) -> bool:
        """Whether a VM hears nobody and isn't heard."""
        return vm in self.cut and self.cut_from <= now < self.cut_until

    def is_lost(self, vm: int, now: float) -> bool:
        """Whether a VM is a head that was killed."""
        return vm in self.lost_heads and now >= self.lost_at

    def back_at(self, vm: int, now: float) -> float:
        """Return when a VM takes requests again, now if it does.

        Callers of a lost head turn to another VM, which is played as this one.
        """
        if vm in self.frozen and self.frozen_from <= now < self.frozen_until:
            return self.frozen_until
        for restart in self.restarts:
            if restart <= now < restart + BACK_S[1]:
                return max(now, restart + Random(vm).uniform(*BACK_S))
        return now

    def is_mute(self, vm: int, now: float) -> bool:
        """Whether nothing passes between a VM and others."""
        away = self.is_cut(vm, now) or self.is_lost(vm, now)
        return away or self.back_at(vm, now) > now


class ToldFleet:
    """The ledgers of all VMs, which hear of each other with the gateway's delays."""

    def __init__(
        self,
        vms: int,
        limit: Limit,
        ledger: Callable[..., QuotaLedger],
        faults: Faults,
        rng: Random,
    ):
        self._vms = vms
        self._limit = limit
        self._ledger = ledger
        self._faults = faults
        self._rng = rng
        self._restarts = list(faults.restarts)
        self._order = itertools.count()
        self.started_at = 0.0
        self._now = 0.0
        self._start()

    def admit(self, vm: int, tokens: float) -> Result[None, Failure]:
        """Ask the ledger of a VM, or of the next one for a lost head."""
        while self._faults.is_lost(vm, self._now):
            vm += 1
        return self._ledgers[vm].admit(NAME, tokens)

    def credit(self, vm: int) -> float:
        """Return the credit that a VM knows."""
        (state,) = self._ledgers[vm].states()
        return state.credit

    def pass_time(self, until: float) -> None:
        """Let the VMs tell each other, up to a moment."""
        if self._restarts and until >= self._restarts[0]:
            restart = self._restarts.pop(0)
            self.pass_time(restart - 1e-9)
            self._now = self.started_at = restart
            self._start()
        while self._due and self._due[0][0] <= until:
            self._now, _, act = heapq.heappop(self._due)
            act()
        self._now = until

    def _start(self) -> None:
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._ledgers = []
        self._shares = [(-1.0, 0.0)] * HEADS
        self._heard: list[dict[int, float]] = [{} for _ in range(HEADS)]
        self._gathered: list[tuple] = [()] * HEADS
        self._passed_at = [self._now] * HEADS
        self._surged = [False] * HEADS
        for vm in range(self._vms):
            ledger = self._ledger(
                now=lambda: self._now,
                rng=self._rng,
                share=lambda vm=vm: self._share(vm),
                vms=lambda: self._vms,
            )
            ledger.apply_limits({NAME: self._limit})
            self._ledgers.append(ledger)
            wait_s = max(self._faults.back_at(vm, self._now) - self._now, 0.0)
            wait_s += TELL_S * self._rng.random()
            self._after(wait_s, lambda vm=vm: self._tell(vm))
        for head in range(HEADS):
            self._after(LOOK_S, lambda head=head: self._hurry(head))
        if self._now == 0.0:
            # The fleet has been running for long.
            for vm in range(self._vms):
                self._hear(range(HEADS), vm)
            for head in range(HEADS):
                self._pass_on(head)
            for ledger in self._ledgers:
                ledger.apply_states((QuotaState(NAME, self._limit.burst, 0.0),), 1.0)

    def _after(self, wait_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self._now + wait_s, next(self._order), act))

    def _hear(self, heads, vm: int) -> None:
        for head in heads:
            self._heard[head][vm] = self._now

    def _share(self, vm: int) -> float:
        """Return the share of VMs that a VM has heard, as a head or through one."""
        head = vm if vm < HEADS else self._head_of(vm)
        at, share = self._shares[head]
        if self._now - at > SHARE_TTL_S:
            since = self._now - SILENT_TOLD_S
            seen = sum(at >= since for at in self._heard[head].values())
            share = min(1.0, max(1, seen) / self._vms)
            self._shares[head] = self._now, share
        return share

    def _head_of(self, vm: int) -> int:
        """Return the head of a VM; it leaves a lost or silent one after a second."""
        head = vm % HEADS
        if self._faults.is_calm(self._now):
            return head
        while self._is_avoided(head):
            head = (head + 1) % HEADS
            if head == vm % HEADS:
                break
        return head

    def _is_avoided(self, head: int) -> bool:
        faults = self._faults
        if faults.is_lost(head, self._now - BROKEN_S):
            return True
        if not faults.is_mute(head, self._now):
            return False
        return faults.is_mute(head, self._now - NOTICE_S)

    def _tell(self, vm: int) -> None:
        self._after(TELL_S, lambda: self._tell(vm))
        if self._faults.back_at(vm, self._now) > self._now:
            return
        if vm < HEADS:
            self._pass_on(vm)
            return
        head = self._head_of(vm)
        if self._faults.is_cut(vm, self._now) or self._faults.is_cut(head, self._now):
            return
        # What is told to a head that isn't known to be lost is lost with it. A frozen
        # one reads it when it goes on.
        uses = self._ledgers[vm].collect_uses()
        if not self._faults.is_lost(head, self._now):
            wait_s = self._faults.back_at(head, self._now) - self._now
            self._after(WAY_S + wait_s, lambda: self._gather(head, vm, uses))

    def _gather(self, head: int, vm: int, uses: tuple) -> None:
        is_new = vm not in self._heard[head]
        self._hear((head,), vm)
        self._gathered[head] += ((vm, uses),)
        self._ledgers[head].apply_uses(uses)
        if is_new:
            self._after(HURRY_S, lambda: self._pass_on(head))

    def _hurry(self, head: int) -> None:
        self._after(LOOK_S, lambda: self._hurry(head))
        if self._now - self._passed_at[head] < HURRY_S or self._surged[head]:
            return
        if self._ledgers[head].surging():
            self._pass_on(head)

    def _pass_on(self, head: int) -> None:
        self._hear((head,), head)
        if self._faults.is_lost(head, self._now):
            return
        if self._faults.back_at(head, self._now) > self._now:
            return
        ledger = self._ledgers[head]
        self._passed_at[head] = self._now
        self._surged[head] = ledger.surging()
        ledger.mark_counting_locally()
        if self._faults.is_cut(head, self._now):
            return
        told = self._gathered[head] + ((head, ledger.collect_uses()),)
        self._gathered[head] = ()
        counted = ledger.states_for_heads()
        for other in range(HEADS):
            if other != head and not self._faults.is_mute(other, self._now):
                self._after(WAY_S, lambda other=other: self._take(other, told, counted))
        states, share = ledger.states_for_subscribers(), self._share(head)
        for vm in range(HEADS, self._vms):
            if self._head_of(vm) == head and not self._faults.is_mute(vm, self._now):
                self._ledgers[vm].apply_states(states, share)

    def _take(self, head: int, told: tuple, counted: tuple) -> None:
        for vm, uses in told:
            self._hear((head,), vm)
            self._ledgers[head].apply_uses(uses)
        self._ledgers[head].reconcile(counted)
