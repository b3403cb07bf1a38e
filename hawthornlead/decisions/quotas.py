"""Quotas of workspaces over all VMs, kept by each VM from what the others tell.

A workspace's requests come to all VMs, at most of them less than one a second, so that
credit can't be handed out ahead: what lay at VMs that don't need it would be more than
there is. So all VMs count what every VM let through, some tenths of a second late, and
each lets through the share of its requests that brings the workspace back to its credit
within ``SETTLE_S``. A burst that begins within that delay is met by the credit that is
left; a debt is paid back before more is let through::

    ledger.apply_limits({"zimi": Limit(rate=42000, burst=42000)})
    admitted = ledger.admit("zimi", cost=1115)
"""

import math
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..messages.quotas import QuotaState, QuotaUse

# Over this time the demand of all VMs is averaged.
DEMAND_S = 1.0
# A VM that hears nobody sees few requests, and averages them over a longer time.
OWN_DEMAND_S = 4.0
# Credit or debt is used up, or paid back, over this time: longer than word of what the
# other VMs let through is under way, or all would swing between too much and nothing.
SETTLE_S = 1.0
# A VM that hears nobody takes this part of its even share: the others may count it as
# one of theirs for some time yet.
UNTOLD_PART = 0.5
# What was told of all VMs counts for so long.
TOLD_KEPT_S = 1.3
# This part of a burst is held back, for what VMs let through before they hear that the
# rest is used up.
HELD_BACK = 0.3
LEAST_RETRY_S = 0.2
MOST_RETRY_S = 5.0
# Those that are refused at one moment come back spread over this share of their wait.
RETRY_SPREAD = 0.5
# A VM that can't tell what the others let through hears of them again about so soon.
UNTOLD_RETRY_S = 0.4


class Limit(NamedTuple):
    """What a workspace may use: ``rate`` a second, and up to ``burst`` at once."""

    rate: float
    burst: float


class _Rate:
    """A rate a second, averaged over the last ``window_s``."""

    def __init__(self, window_s: float, now: float):
        self._window_s = window_s
        self._value = 0.0
        self._at = now

    def add(self, amount: float, now: float) -> None:
        """Count something."""
        self._value = self.at(now) + amount / self._window_s
        self._at = now

    def correct(self, value: float, now: float) -> None:
        """Take the rate that another one counted."""
        self._value, self._at = value, now

    def at(self, now: float) -> float:
        """Return the rate at a moment."""
        return self._value * math.exp(-max(0.0, now - self._at) / self._window_s)


class _Account:
    """What one VM knows of one workspace's credit.

    It begins without credit: after all VMs have lost their power at once, nobody knows
    what was used just before.
    """

    def __init__(self, limit: Limit, now: float, phase: float):
        self.limit = limit
        self.credit = 0.0
        self.counted_at = now
        self.demand = _Rate(DEMAND_S, now)
        self.own_demand = _Rate(OWN_DEMAND_S, now)
        # What this VM has left of its own part, while it hears nobody.
        self.own_credit = 0.0
        # Told to nobody yet.
        self.asked = 0.0
        self.used = 0.0
        # Parts of requests add up here, and a whole one goes through. It begins
        # anywhere, so that VMs which let one of ten through don't all begin with their
        # first.
        self.phase = phase

    @property
    def most(self) -> float:
        """The most credit that is saved up."""
        return (1 - HELD_BACK) * self.limit.burst

    def fill(self, now: float, share: float) -> None:
        """Add the credit that has come since it was counted last."""
        added = max(0.0, now - self.counted_at) * self.limit.rate * share
        self.credit = min(self.most, self.credit + added)
        # Only a debt is kept: a VM that was told a moment ago has saved nothing up.
        self.own_credit = min(0.0, self.own_credit + added)
        self.counted_at = now


class QuotaLedger:
    """Credit of all workspaces with a quota, as one VM knows it.

    ``share`` returns which part of all VMs this one hears of, itself included: VMs that
    are parted from one another have only their part of each rate. ``vms`` returns how
    many there are.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        rng: Random,
        share: Callable[[], float],
        vms: Callable[[], int],
    ):
        self._now = now
        self._rng = rng
        self._share = share
        self._vms = vms
        self._accounts: dict[str, _Account] = {}
        self._told_at = -math.inf
        # The share of the rates that a head counts with, where one tells this VM.
        self._told_share: float | None = None

    @property
    def limits(self) -> dict[str, Limit]:
        """The limits in force, by workspace."""
        return {name: account.limit for name, account in self._accounts.items()}

    def apply_limits(self, limits: dict[str, Limit]) -> None:
        """Put limits in force; what is known of a workspace's credit stays."""
        now = self._now()
        known, self._accounts = self._accounts, {}
        for name, limit in limits.items():
            account = known.get(name)
            if account is None:
                account = _Account(limit, now, self._rng.random())
            account.limit = limit
            account.credit = min(account.most, account.credit)
            self._accounts[name] = account

    def admit(self, name: str, cost: float) -> Result[None, Failure]:
        """Let a request through, or say when to come back.

        Fails with ``CALLER_LIMITED`` over the limit, and ``ISOLATED`` where this VM
        doesn't know what the others let through and its own part is used up.
        """
        account = self._accounts.get(name)
        if account is None:
            return Ok(None)
        now = self._now()
        account.own_demand.add(cost, now)
        account.demand.add(cost, now)
        account.asked += cost
        told = self._is_told(now)
        account.fill(now, self._rate_share(told))
        part = self._part(account, told, now)
        account.phase += part
        if account.phase < 1:
            return Err(self._refusal(name, account, cost, told))
        account.phase -= 1
        if not told:
            account.own_credit -= cost
        self._use(account, cost)
        return Ok(None)

    def refund(self, name: str, cost: float) -> None:
        """Return the credit of a request that was let through and never ran."""
        account = self._accounts.get(name)
        if account is not None:
            self._use(account, -cost)

    # What the VMs tell one another

    def collect_uses(self) -> tuple[QuotaUse, ...]:
        """Return what this VM was asked for and let through since it was asked last."""
        uses = []
        for name, account in self._accounts.items():
            if not account.asked and not account.used:
                continue
            uses.append(QuotaUse(name, account.asked, account.used))
            account.asked = account.used = 0.0
        return tuple(uses)

    def apply_uses(self, uses: tuple[QuotaUse, ...]) -> None:
        """Count what another VM was asked for and let through."""
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
        """Return what is known of all workspaces with a quota."""
        now = self._now()
        share = self._rate_share(self._is_told(now))
        states = []
        for name, account in self._accounts.items():
            account.fill(now, share)
            states.append(QuotaState(name, account.credit, account.demand.at(now)))
        return tuple(states)

    def apply_states(self, states: tuple[QuotaState, ...], share: float) -> None:
        """Take what a head knows of all VMs, in place of what was known here."""
        now = self._now()
        self._told_at = now
        self._told_share = share
        for state in states:
            account = self._accounts.get(state.workspace)
            if account is None:
                continue
            # The head doesn't know yet what this VM hasn't told.
            account.credit = min(account.most, state.credit - account.used)
            account.demand.correct(state.demand, now)
            account.counted_at = now

    def mark_counting_locally(self) -> None:
        """Note that this VM counts by itself, as a head or in a small fleet."""
        self._told_at = self._now()
        self._told_share = None

    def surging(self) -> bool:
        """Whether a workspace asks for more than its limit."""
        now = self._now()
        for account in self._accounts.values():
            if account.demand.at(now) > account.limit.rate:
                return True
        return False

    # What decides

    def _is_told(self, now: float) -> bool:
        return now - self._told_at < TOLD_KEPT_S

    def _rate_share(self, told: bool) -> float:
        if not told:
            return UNTOLD_PART / max(1, self._vms())
        return self._share() if self._told_share is None else self._told_share

    def _part(self, account: _Account, told: bool, now: float) -> float:
        """Return which part of a workspace's requests may go through now."""
        rate = account.limit.rate * self._rate_share(told)
        if told:
            allowed = rate + account.credit / SETTLE_S
            demand = account.demand.at(now)
        else:
            allowed = rate + account.own_credit / SETTLE_S
            demand = account.own_demand.at(now)
        if demand <= 0:
            # A request may cost nothing, and be the only one.
            return 1.0
        return min(1.0, max(0.0, allowed / demand))

    def _use(self, account: _Account, amount: float) -> None:
        account.used += amount
        account.credit -= amount

    def _refusal(
        self, name: str, account: _Account, cost: float, told: bool
    ) -> Failure:
        spread = 1 + RETRY_SPREAD * self._rng.random()
        if not told:
            detail = f"what {name} uses elsewhere isn't known here"
            return Failure(ErrorKind.ISOLATED, detail, UNTOLD_RETRY_S * spread)
        limit = account.limit
        wait_s = (cost - account.credit) / limit.rate
        wait_s = min(MOST_RETRY_S, max(LEAST_RETRY_S, wait_s * spread))
        detail = (
            f"{name} is over its limit of {limit.rate:g} a second: "
            f"{account.demand.at(self._now()):.0f} asked, credit {account.credit:.0f}"
        )
        return Failure(ErrorKind.CALLER_LIMITED, detail, wait_s)
