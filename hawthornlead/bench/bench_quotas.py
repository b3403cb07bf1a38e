"""Who lets a workspace's requests through: ways to keep a quota over many VMs.

A model of one workspace whose requests come to all VMs of a fleet, which hear of one
another through heads, some tenths of a second late. The quota's ledger is the gateway's
own. Each way is compared with one bucket that knows all at once::

    figures = play_quota("told", QuotaDemand(vms=89, rate=42000), "hot", seed=11)
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from hawthornlead.decisions.fair_quotas import FairQuotaLedger
from hawthornlead.decisions.quotas import Limit, QuotaLedger
from hawthornlead.registries import Registry

NAME = "workspace"
# As in the gateway: how often VMs tell their heads, and these what they gathered.
TELL_S = 0.4
HURRY_S = 0.1
LOOK_S = 0.05
WAY_S = 0.003
HEADS = 6
WINDOW_S = 8.0

QUOTA_WAYS: Registry[type["QuotaWay"]] = Registry("way to keep a quota")
quota_way = QUOTA_WAYS.register


class QuotaDemand(NamedTuple):
    """A workspace that usually asks for ``usual`` of its limit, in requests of tokens.

    ``rate`` is the limit, in tokens a second; its burst is that of one second.
    """

    vms: int = 89
    rate: float = 42000.0
    usual: float = 0.55
    mean_tokens: float = 1100.0
    hot: float = 7.5
    cut: float = 0.17
    duration_s: float = 30.0


class QuotaFigures(NamedTuple):
    """What became of a workspace's tokens.

    ``over`` is the most that was let through in a window, as a multiple of what the
    limit allows; ``unused`` the part of what one bucket would have let through that
    was refused. ``messages`` are those for quotas alone, a VM and second.
    """

    over: float
    unused: float
    messages: float


class Request(NamedTuple):
    """One request: when it comes, to which VM, and what it takes."""

    at: float
    vm: int
    tokens: float


class QuotaWay(Protocol):
    """Lets requests through; ``cut`` VMs hear nobody and aren't heard."""

    messages: int

    def admit(self, request: Request, cut: bool) -> bool:
        """Let a request through, or not."""

    def pass_time(self, until: float, cut: frozenset[int]) -> None:
        """Let the VMs tell one another, up to a moment."""

    def restart(self, now: float) -> None:
        """Start all VMs anew at once."""


class Bucket:
    """Credit that fills at a rate, up to a burst."""

    def __init__(self, limit: Limit, now: float = 0.0, full: bool = True):
        self._limit = limit
        self._credit = limit.burst if full else 0.0
        self._at = now

    def take(self, tokens: float, now: float) -> bool:
        """Take tokens if there is credit left; the last request may take it below 0."""
        added = (now - self._at) * self._limit.rate
        self._credit = min(self._limit.burst, self._credit + added)
        self._at = now
        if self._credit <= 0:
            return False
        self._credit -= tokens
        return True


@quota_way("fixed")
class FixedShares:
    """Each VM has the same part of rate and burst, and tells nobody anything."""

    def __init__(self, demand: QuotaDemand, rng: Random):
        self._limit = Limit(demand.rate / demand.vms, demand.rate / demand.vms)
        self._vms = demand.vms
        self.messages = 0
        self.restart(0.0)

    def admit(self, request: Request, cut: bool) -> bool:
        """Take from the VM's own part."""
        return self._buckets[request.vm].take(request.tokens, request.at)

    def pass_time(self, until: float, cut: frozenset[int]) -> None:
        """Tell nothing."""

    def restart(self, now: float) -> None:
        """Begin with full buckets."""
        self._buckets = [Bucket(self._limit, now) for _ in range(self._vms)]


@quota_way("owner")
class AskedOwner:
    """One VM has all credit and is asked for each request; who can't ask refuses."""

    def __init__(self, demand: QuotaDemand, rng: Random):
        self._limit = Limit(demand.rate, demand.rate)
        self._bucket = Bucket(self._limit)
        self.messages = 0

    def admit(self, request: Request, cut: bool) -> bool:
        """Ask the owner."""
        if cut:
            return False
        self.messages += 2
        return self._bucket.take(request.tokens, request.at)

    def pass_time(self, until: float, cut: frozenset[int]) -> None:
        """Tell nothing more."""

    def restart(self, now: float) -> None:
        """Begin without credit: nobody knows what was used."""
        self._bucket = Bucket(self._limit, now, full=False)


@quota_way("told")
class ToldLedgers:
    """The gateway's way: ledgers that hear of all use within other messages."""

    ledger = QuotaLedger

    def __init__(self, demand: QuotaDemand, rng: Random):
        self._demand = demand
        self._rng = rng
        self._cut: frozenset[int] = frozenset()
        self._now = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._told: dict[int, tuple] = {}
        self._passed_at: dict[int, float] = {}
        self._surged: dict[int, bool] = {}
        self.messages = 0
        self.restart(0.0)

    def admit(self, request: Request, cut: bool) -> bool:
        """Ask the VM's ledger."""
        return self._ledgers[request.vm].admit(NAME, request.tokens).is_ok()

    def pass_time(self, until: float, cut: frozenset[int]) -> None:
        """Let VMs tell their heads, and heads all others."""
        self._cut = cut
        while self._due and self._due[0][0] <= until:
            self._now, _, act = heapq.heappop(self._due)
            act()
        self._now = until

    def restart(self, now: float) -> None:
        """Begin with new ledgers."""
        self._now = now
        self._due = []
        limit = Limit(self._demand.rate, self._demand.rate)
        self._ledgers = []
        for vm in range(self._demand.vms):
            ledger = self.ledger(
                now=lambda: self._now,
                rng=self._rng,
                share=lambda vm=vm: self._heard_by(vm) / self._demand.vms,
                vms=lambda: self._demand.vms,
            )
            ledger.apply_limits({NAME: limit})
            self._ledgers.append(ledger)
            self._after(TELL_S * self._rng.random(), lambda vm=vm: self._tell(vm))
        for head in range(HEADS):
            self._passed_at[head], self._surged[head] = now, False
            self._told[head] = ()
            self._after(LOOK_S, lambda head=head: self._hurry(head))

    def _after(self, wait_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self._now + wait_s, next(self._order), act))

    def _heard_by(self, vm: int) -> int:
        return 1 if vm in self._cut else self._demand.vms - len(self._cut)

    def _tell(self, vm: int) -> None:
        self._after(TELL_S, lambda: self._tell(vm))
        head = vm % HEADS
        if vm < HEADS:
            self._pass_on(head)
            return
        if vm in self._cut or head in self._cut:
            return
        uses = self._ledgers[vm].collect_uses()
        self._after(WAY_S, lambda: self._gather(head, uses))

    def _gather(self, head: int, uses: tuple) -> None:
        self._told[head] += uses
        self._ledgers[head].apply_uses(uses)

    def _hurry(self, head: int) -> None:
        self._after(LOOK_S, lambda: self._hurry(head))
        if self._now - self._passed_at[head] < HURRY_S or self._surged[head]:
            return
        if self._ledgers[head].surging():
            self._pass_on(head)

    def _pass_on(self, head: int) -> None:
        ledger = self._ledgers[head]
        self._passed_at[head] = self._now
        self._surged[head] = ledger.surging()
        ledger.mark_counting_locally()
        uses = self._told[head] + ledger.collect_uses()
        self._told[head] = ()
        if head in self._cut:
            return
        for other in range(HEADS):
            if other != head and other not in self._cut:
                self._after(WAY_S, lambda other=other: self._take(other, uses))
        states = ledger.states_for_subscribers()
        share = self._heard_by(head) / self._demand.vms
        for vm in range(head + HEADS, self._demand.vms, HEADS):
            if vm not in self._cut:
                self._ledgers[vm].apply_states(states, share)

    def _take(self, head: int, uses: tuple) -> None:
        self._ledgers[head].apply_uses(uses)


@quota_way("told fairly")
class FairToldLedgers(ToldLedgers):
    """The same with ``fair_shares``."""

    ledger = FairQuotaLedger


class _Load(NamedTuple):
    """How much of its limit a workspace asks for at a moment, and which VMs it asks."""

    asked: Callable[[QuotaDemand, float], float]
    vms: Callable[[QuotaDemand, float], range]
    cut: bool = False
    restarts: bool = False


def _all_vms(demand: QuotaDemand, at: float) -> range:
    return range(demand.vms)


def _moving(demand: QuotaDemand, at: float) -> range:
    third = demand.vms // 3
    first = int(at) % 3 * third
    return range(first, first + third)


def _usual(demand: QuotaDemand, at: float) -> float:
    return demand.usual


def _hot(demand: QuotaDemand, at: float) -> float:
    return demand.usual * (demand.hot if 10 <= at < 16.5 else 1)


LOADS = {
    "usual": _Load(_usual, _all_vms),
    "one VM": _Load(_usual, lambda demand, at: range(7, 8)),
    "moving": _Load(_usual, _moving),
    "hot": _Load(_hot, _all_vms),
    "hot, cut": _Load(_hot, _all_vms, cut=True),
    "hot, restarted": _Load(_hot, _all_vms, restarts=True),
}
CUT_FROM_S, CUT_UNTIL_S, RESTART_S = 11.0, 16.5, 13.0


def draw_requests(demand: QuotaDemand, load: str, seed: int) -> list[Request]:
    """Draw a workspace's requests; the same for the same seed."""
    rng = Random(seed)
    how = LOADS[load]
    most = demand.usual * demand.hot * demand.rate / demand.mean_tokens
    requests = []
    at = 0.0
    while at < demand.duration_s:
        at += rng.expovariate(most)
        if rng.random() * demand.usual * demand.hot > how.asked(demand, at):
            continue
        tokens = rng.lognormvariate(0, 0.7) / 1.278 * demand.mean_tokens
        requests.append(Request(at, rng.choice(how.vms(demand, at)), tokens))
    return requests


def play_quota(way: str, demand: QuotaDemand, load: str, seed: int) -> QuotaFigures:
    """Play one workspace's requests through a way to keep its quota."""
    rng = Random(seed)
    how = LOADS[load]
    kept = QUOTA_WAYS[way](demand, rng)
    isolated = frozenset(rng.sample(range(demand.vms), round(demand.cut * demand.vms)))
    exact = Bucket(Limit(demand.rate, demand.rate))
    let = [0.0, 0.0]
    window: deque[Request] = deque()
    within = most = 0.0
    restarts_at = RESTART_S if how.restarts else demand.duration_s
    for request in draw_requests(demand, load, seed):
        if request.at >= restarts_at:
            kept.restart(request.at)
            restarts_at = demand.duration_s
        cut_now = how.cut and CUT_FROM_S <= request.at < CUT_UNTIL_S
        cut = isolated if cut_now else frozenset()
        kept.pass_time(request.at, cut)
        let[0] += request.tokens * exact.take(request.tokens, request.at)
        if not kept.admit(request, request.vm in cut):
            continue
        let[1] += request.tokens
        window.append(request)
        within += request.tokens
        while window[0].at <= request.at - WINDOW_S:
            within -= window.popleft().tokens
        most = max(most, within)
    allowed = demand.rate * (WINDOW_S + 1)
    messages = kept.messages / demand.vms / demand.duration_s
    return QuotaFigures(most / allowed, max(0.0, 1 - let[1] / let[0]), messages)
