"""Quotas of workspaces over all VMs, enforced by each VM from the others' reports.

A workspace's requests arrive at all VMs, at most of them less than one a second. So
credit can't be allocated to VMs ahead of time: more than the whole quota would lie at
VMs that don't need it. Instead all VMs count what every VM admitted, some tenths of a
second late, and each admits the share of its requests that brings the workspace back to
its credit within ``SETTLE_S``. The remaining credit covers a burst that begins within
that delay, and a debt is repaid before more is admitted::

    ledger.apply_limits({"zimi": Limit(rate=42000, burst=42000)})
    admitted = ledger.admit("zimi", cost=1115)
"""

import math
from collections.abc import Callable
from enum import Enum
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..messages.quotas import QuotaState, QuotaUse

# The demand of all VMs is averaged over this time.
DEMAND_WINDOW_S = 1.0
# An isolated VM sees few requests, and averages them over a longer time.
OWN_DEMAND_WINDOW_S = 4.0
# Credit is used up, or debt repaid, over this time. It must exceed the delay of the
# other VMs' reports, or all VMs would oscillate between too much and nothing.
SETTLE_S = 1.0
# An isolated VM uses this part of its even share, because the others may still count it
# as a member for some time.
ISOLATED_SHARE = 0.5
# How long the reported state of all VMs counts as current.
STATE_TTL_S = 1.3
# This part of a burst is reserved for what VMs admit before they learn that the rest is
# used up.
RESERVED_BURST_SHARE = 0.3
MIN_RETRY_S = 0.2
MAX_RETRY_S = 5.0
# Retries of requests refused at the same moment are spread over this share of the wait.
RETRY_SPREAD = 0.5
# A VM that doesn't know what the others admitted is updated after about this time.
ISOLATED_RETRY_S = 0.4


class Limit(NamedTuple):
    """A workspace's quota: ``rate`` a second, and up to ``burst`` at once.

    ``slack`` is by how much a window may exceed it beyond a part of the rate.
    """

    rate: float
    burst: float
    slack: float = 0.0


class QuotaRefusal(Enum):
    """Why a request was refused by its workspace's quota."""

    OVER_LIMIT = "over the limit"
    CREDIT_UNKNOWN = "credit unknown"
    ISOLATED = "isolated"


class Rate:
    """A rate a second, averaged over the last ``window_s``."""

    def __init__(self, window_s: float, now: float):
        self._window_s = window_s
        self._value = 0.0
        self._at = now

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._value = self.at(now) + amount / self._window_s
        self._at = now

    def set_rate(self, value: float, now: float) -> None:
        """Replace the rate by one that was counted elsewhere."""
        self._value, self._at = value, now

    def at(self, now: float) -> float:
        """Return the rate at a moment."""
        return self._value * math.exp(-max(0.0, now - self._at) / self._window_s)


class Account:
    """One workspace's credit as one VM knows it.

    It starts without credit, because after a power loss of all VMs nobody knows what
    was used just before.
    """

    def __init__(self, limit: Limit, now: float, phase: float):
        self.limit = limit
        self.credit = 0.0
        self.counted_at = now
        self.demand = Rate(DEMAND_WINDOW_S, now)
        self.own_demand = Rate(OWN_DEMAND_WINDOW_S, now)
        # What this VM has left of its own share while it is isolated.
        self.own_credit = 0.0
        # Not reported to other VMs yet.
        self.unreported_demand = 0.0
        self.unreported_use = 0.0
        # Admitted shares of requests add up here, and a request is admitted at 1. The
        # random start keeps VMs that admit one request of ten from all admitting their
        # first.
        self.phase = phase

    @property
    def max_credit(self) -> float:
        """The maximum credit that accumulates."""
        return (1 - RESERVED_BURST_SHARE) * self.limit.burst

    def fill(self, now: float, share: float) -> None:
        """Add the credit accrued since the last call."""
        added = max(0.0, now - self.counted_at) * self.limit.rate * share
        self.credit = min(self.max_credit, self.credit + added)
        # Only a debt is kept: a VM isolated a moment ago has accumulated nothing.
        self.own_credit = min(0.0, self.own_credit + added)
        self.counted_at = now


class QuotaLedger:
    """Credit of all workspaces with a quota, as one VM knows it.

    ``share`` returns the share of all VMs that this one has seen recently, itself
    included. VMs in a network partition use only their share of each rate. ``vms``
    returns the number of VMs. ``on_refused`` is called with the cause of each refusal.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        rng: Random,
        share: Callable[[], float],
        vms: Callable[[], int],
        on_refused: Callable[[QuotaRefusal], None] = lambda cause: None,
    ):
        self._on_refused = on_refused
        self._now = now
        self._rng = rng
        self._share = share
        self._vms = vms
        self._accounts: dict[str, Account] = {}
        self._updated_at = -math.inf
        # The share of the rates that the upstream head uses, if there is one.
        self._announced_share: float | None = None

    @property
    def limits(self) -> dict[str, Limit]:
        """The limits in force, by workspace."""
        return {name: account.limit for name, account in self._accounts.items()}

    def apply_limits(self, limits: dict[str, Limit]) -> None:
        """Apply new limits, and keep the known credit of each workspace."""
        now = self._now()
        known, self._accounts = self._accounts, {}
        for name, limit in limits.items():
            account = known.get(name)
            if account is None:
                account = self._open_account(limit, now)
            account.limit = limit
            account.credit = min(account.max_credit, account.credit)
            self._accounts[name] = account

    def admit(self, name: str, cost: float) -> Result[None, Failure]:
        """Admit a request, or fail with a retry time.

        Fails with ``CALLER_LIMITED`` over the limit, and with ``ISOLATED`` if this VM
        doesn't know what the others admitted and its own share is used up.
        """
        account = self._accounts.get(name)
        if account is None:
            return Ok(None)
        now = self._now()
        account.own_demand.add(cost, now)
        account.demand.add(cost, now)
        account.unreported_demand += cost
        current = self._is_current(now)
        account.fill(now, self._rate_share(current))
        if not self._is_admitted(account, current, now):
            self._on_refused(self._cause(current))
            return Err(self._refusal(name, account, cost, current))
        if not current:
            account.own_credit -= cost
        self._use(account, cost)
        return Ok(None)

    def refund(self, name: str, cost: float) -> None:
        """Refund the credit of a request that was admitted and never ran."""
        account = self._accounts.get(name)
        if account is not None:
            self._use(account, -cost)

    # Exchange between VMs

    def collect_uses(self) -> tuple[QuotaUse, ...]:
        """Return this VM's demand and admitted use since the last call."""
        uses = []
        for name, account in self._accounts.items():
            if not account.unreported_demand and not account.unreported_use:
                continue
            uses.append(
                QuotaUse(name, account.unreported_demand, account.unreported_use)
            )
            account.unreported_demand = account.unreported_use = 0.0
        return tuple(uses)

    def apply_uses(self, uses: tuple[QuotaUse, ...]) -> None:
        """Count another VM's demand and admitted use."""
        now = self._now()
        share = self._share()
        for use in uses:
            account = self._accounts.get(use.workspace)
            if account is None:
                continue
            account.fill(now, share)
            account.demand.add(use.asked, now)
            account.credit -= use.used

    def states(self) -> tuple[QuotaState, ...]:
        """Return the state of all workspaces with a quota."""
        now = self._now()
        share = self._rate_share(self._is_current(now))
        states = []
        for name, account in self._accounts.items():
            account.fill(now, share)
            states.append(QuotaState(name, account.credit, account.demand.at(now)))
        return tuple(states)

    def apply_states(self, states: tuple[QuotaState, ...], share: float) -> None:
        """Replace the local state by a head's state of all VMs."""
        now = self._now()
        self._updated_at = now
        self._announced_share = share
        for state in states:
            account = self._accounts.get(state.workspace)
            if account is None:
                continue
            # The head doesn't know yet what this VM hasn't reported.
            account.credit = min(
                account.max_credit, state.credit - account.unreported_use
            )
            account.demand.set_rate(state.demand, now)
            account.counted_at = now

    def mark_counting_locally(self) -> None:
        """Mark that this VM counts by itself, as a head or in a small fleet."""
        self._updated_at = self._now()
        self._announced_share = None

    def states_for_subscribers(self) -> tuple[QuotaState, ...]:
        """Return the state that a head tells its subscribers."""
        return self.states()

    def states_for_heads(self) -> tuple[QuotaState, ...]:
        """Return the state that heads tell each other: nothing, without fair shares."""
        return ()

    def reconcile(self, states: tuple[QuotaState, ...]) -> None:
        """Apply the state that another head tells: not used without fair shares."""

    def surging(self) -> bool:
        """Whether the demand of any workspace exceeds its limit."""
        now = self._now()
        for account in self._accounts.values():
            if account.demand.at(now) > account.limit.rate:
                return True
        return False

    # Decisions

    def _open_account(self, limit: Limit, now: float) -> Account:
        return Account(limit, now, self._rng.random())

    def _is_admitted(self, account: Account, current: bool, now: float) -> bool:
        return self._is_in_share(account, self._admitted_share(account, current, now))

    def _is_in_share(self, account: Account, share: float) -> bool:
        """Whether a request is one of the share of requests that is admitted."""
        account.phase += share
        if account.phase < 1:
            return False
        account.phase -= 1
        return True

    def _cause(self, current: bool) -> QuotaRefusal:
        """Return why a request is refused."""
        if current:
            return QuotaRefusal.OVER_LIMIT
        if self._updated_at == -math.inf:
            return QuotaRefusal.CREDIT_UNKNOWN
        return QuotaRefusal.ISOLATED

    def _is_current(self, now: float) -> bool:
        return now - self._updated_at < STATE_TTL_S

    def _rate_share(self, current: bool) -> float:
        if not current:
            return ISOLATED_SHARE / max(1, self._vms())
        return self._share() if self._announced_share is None else self._announced_share

    def _admitted_share(self, account: Account, current: bool, now: float) -> float:
        """Return which share of a workspace's requests may be admitted now."""
        rate = account.limit.rate * self._rate_share(current)
        if current:
            allowed = rate + account.credit / SETTLE_S
            demand = account.demand.at(now)
        else:
            allowed = rate + account.own_credit / SETTLE_S
            demand = account.own_demand.at(now)
        if demand <= 0:
            # The only request may have a cost of 0.
            return 1.0
        return min(1.0, max(0.0, allowed / demand))

    def _use(self, account: Account, amount: float) -> None:
        account.unreported_use += amount
        account.credit -= amount

    def _refusal(
        self, name: str, account: Account, cost: float, current: bool
    ) -> Failure:
        spread = 1 + RETRY_SPREAD * self._rng.random()
        if not current:
            detail = f"what {name} uses elsewhere isn't known here"
            return Failure(ErrorKind.ISOLATED, detail, ISOLATED_RETRY_S * spread)
        wait_s = self._wait_s(account, cost, spread)
        wait_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        detail = (
            f"{name} is over its limit of {account.limit.rate:g} a second: "
            f"demand {account.demand.at(self._now()):.0f}, credit {account.credit:.0f}"
        )
        return Failure(ErrorKind.CALLER_LIMITED, detail, wait_s)

    def _wait_s(self, account: Account, cost: float, spread: float) -> float:
        """Return when there is credit for a request, times a spread of 1 or more."""
        return (cost - account.credit) / account.limit.rate * spread
