"""Quotas that admit whole requests while there is credit, for ``fair_shares``.

The ledger of ``quotas`` spreads refusals evenly over requests before the credit is used
up, never grants the reserved part of a burst, and loses the credit that fills while
uses are still on their way. This one estimates what the others have admitted and not
reported yet, admits every request while the credit after that is above 0, and beyond
that the share of requests that keeps to the rate.

The limit, over any 8 s: 1.1 x rate x 8 s + burst + 17,000. One bucket admits at most
rate x 8 s + burst, so that 0.8 s of the rate and 17,000 are left for errors. A restart
of all VMs within the window takes most of it, in seconds of the rate: 0.3 for a debt
that is forgotten (``OVERDRAFT_S``), 0.25 at the start (``START_S``), 0.2 before the VMs
hear of each other (``FRESH_S``) and the overdraft of 0.3 again, less the 0.3 or more in
which no VM takes requests: 0.75. Two restarts within a window aren't covered, nor are
more uses on their way to heads that are lost than the rest covers.
"""

import math
from collections import deque
from collections.abc import Callable

from ..messages.quotas import QuotaState, QuotaUse
from .quotas import (
    ISOLATED_SHARE,
    RETRY_SPREAD,
    STATE_TTL_S,
    Account,
    Limit,
    QuotaLedger,
    Rate,
)

# Reports wait for about half an interval at their VM, and as long at its head.
REPORT_AGE_S = 0.2
# Under a lasting demand over the limit the credit settles at this debt, in seconds of
# the rate and in parts of the limit's slack, so that a bucket that knows all at once
# would have refused too.
OVERDRAFT_S = 0.3
OVERDRAFT_SLACK = 0.05
# A debt beyond the overdraft is repaid within about this time.
SETTLE_S = 0.7
# The demand is averaged over this time, two intervals of heads. A rate that decays
# between reports would swing by half of its value with each of them.
DEMAND_WINDOW_S = 0.8
# The demand that a head reported holds until its next update, and some lateness.
DEMAND_HOLD_S = 0.5
# No overdraft is used once this part of the VMs is missing: what they admitted before
# they were missed takes its place.
MAX_MISSING_SHARE = 0.25
# A VM whose update is later than this may be cut off. Beyond the credit it then uses
# only this part of its share, and no overdraft.
LATE_UPDATE_S = 0.5
LATE_SHARE = 0.1
# What all VMs together may admit before the credit is first reported to them, in
# seconds of the rate.
FRESH_S = 0.2
# Of requests to such a VM, at least this part is admitted first. A VM gets less than
# one request in that time from most workspaces, usually and in a surge.
FRESH_SHARE = 0.15
# The credit of all VMs after they started, in seconds of the rate: in place of what
# accrues before they hear of each other.
START_S = 0.25
# For so long after its first update a VM takes those it doesn't hear for VMs that are
# still starting.
START_TTL_S = 2.0
# A head that didn't count for this time missed uses, and takes the credit of others for
# as long.
GAP_S = 1.0
# Heads move by this part towards the credit that another one tells, beyond the band, so
# that reports that are lost with a head make no lasting difference.
RECONCILE_SHARE = 0.1
RECONCILE_BAND_S = 0.5
# Retries are spread over at most this multiple of the time until the credit suffices.
MAX_EXCESS = 4.0


class WindowRate(Rate):
    """A rate over a window that slides, for reports that come in lumps."""

    def __init__(self, window_s: float, now: float):
        super().__init__(window_s, now)
        self._amounts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._discard_until(now - self._window_s)
        self._amounts.append((now, amount))
        self._sum += amount

    def set_rate(self, value: float, now: float) -> None:
        """Replace the rate by one that was counted elsewhere."""
        self._amounts.clear()
        self._sum = 0.0
        super().set_rate(value, now)

    def at(self, now: float) -> float:
        """Return the rate at a moment."""
        self._discard_until(now - self._window_s)
        over_s = max(0.0, now - self._at - DEMAND_HOLD_S)
        held = self._value * max(0.0, 1 - over_s / self._window_s)
        return held + self._sum / self._window_s

    def _discard_until(self, until: float) -> None:
        while self._amounts and self._amounts[0][0] <= until:
            self._sum -= self._amounts.popleft()[1]
        if not self._amounts:
            self._sum = 0.0


class FairAccount(Account):
    """An account that keeps the credit for uses that are not reported yet."""

    def __init__(self, limit: Limit, now: float, phase: float):
        super().__init__(limit, now, phase)
        self.demand = WindowRate(DEMAND_WINDOW_S, now)
        self.credit = START_S * limit.rate
        # Estimated use by other VMs that was not reported yet.
        self.unseen = 0.0

    @property
    def overdraft(self) -> float:
        """The debt at which the credit settles under a lasting demand."""
        return OVERDRAFT_S * self.limit.rate + OVERDRAFT_SLACK * self.limit.slack

    @property
    def max_credit(self) -> float:
        """The maximum credit that accumulates.

        Uses that are reported later are subtracted then. Were the credit cut to the
        burst before, they would be subtracted from less than there was.
        """
        return self.limit.burst + self.unseen


class FairQuotaLedger(QuotaLedger):
    """A ledger that admits whole requests from credit first."""

    # Until when this VM may lack uses that other heads counted.
    _unsure_until = -math.inf
    # Until when it may lack them because it was frozen.
    _resumed_until = -math.inf
    # When the credit was first reported to this VM, or first counted here.
    _began_at = -math.inf
    # When another VM last reported.
    _last_report_at = -math.inf

    def __init__(self, *, share: Callable[[], float], **parts):
        super().__init__(share=lambda: self._starting_share(share()), **parts)

    def apply_uses(self, uses: tuple[QuotaUse, ...]) -> None:
        """Count another VM's demand and admitted use."""
        self._last_report_at = self._now()
        super().apply_uses(uses)

    def refund(self, name: str, cost: float) -> None:
        """Refund a request that never ran, also to the VM's own share."""
        super().refund(name, cost)
        account = self._accounts.get(name)
        if account is not None and not self._is_current(self._now()):
            account.own_credit = min(0.0, account.own_credit + cost)

    def mark_counting_locally(self) -> None:
        """Mark that this VM counts by itself, maybe after it missed uses."""
        now = self._now()
        self._record_first_update(now)
        if now - self._updated_at > GAP_S:
            self._unsure_until = now + GAP_S
            if self._updated_at > -math.inf:
                self._resumed_until = now + GAP_S
                for account in self._accounts.values():
                    # What accrued meanwhile was used, as far as this VM knows.
                    account.counted_at = now
        super().mark_counting_locally()

    def states_for_subscribers(self) -> tuple[QuotaState, ...]:
        """Return the state for subscribers, nothing on return from a freeze."""
        return () if self._now() < self._resumed_until else self.states()

    def apply_states(self, states: tuple[QuotaState, ...], share: float) -> None:
        """Replace the local state by a head's state of all VMs, if it tells any."""
        if states:
            self._record_first_update(self._now())
            super().apply_states(states, share)

    def _record_first_update(self, now: float) -> None:
        if self._updated_at == -math.inf:
            self._began_at = now

    def states_for_heads(self) -> tuple[QuotaState, ...]:
        """Return the state for other heads, nothing while it may lack uses."""
        return () if self._is_unsure() else self.states()

    def reconcile(self, states: tuple[QuotaState, ...]) -> None:
        """Move towards the credit that another head tells."""
        self._last_report_at = self._now()
        unsure = self._is_unsure()
        share = 1.0 if unsure else RECONCILE_SHARE
        now = self._now()
        for state in states:
            account = self._accounts.get(state.workspace)
            if account is None:
                continue
            account.fill(now, self._share())
            difference = state.credit - account.credit
            if not unsure:
                # Each lacks uses on their way to the other, which is no difference.
                band = RECONCILE_BAND_S * account.limit.rate
                difference -= min(band, max(-band, difference))
            account.credit += share * difference
        if states:
            self._unsure_until = self._resumed_until = -math.inf

    def _is_current(self, now: float) -> bool:
        """Whether this VM knows what others admit.

        A head that is partitioned counts on by itself, without reports.
        """
        return super()._is_current(now) and self._silence_s(now) < STATE_TTL_S

    def _silence_s(self, now: float) -> float:
        """Return for how long this VM has learned nothing of others."""
        if self._announced_share is not None:
            return now - self._updated_at
        return now - self._last_report_at if self._vms() > 1 else 0.0

    def _is_unsure(self) -> bool:
        return self._now() < self._unsure_until

    def _open_account(self, limit: Limit, now: float) -> FairAccount:
        return FairAccount(limit, now, self._rng.random())

    def _rate_share(self, current: bool) -> float:
        share = super()._rate_share(current)
        if current and self._announced_share is not None:
            return self._starting_share(share)
        return share

    def _starting_share(self, share: float) -> float:
        """Return the share of the rates, from the share of VMs that report.

        After a start the others are starting too. Those yet to report use no
        more than a part of their share.
        """
        if self._now() - self._began_at >= START_TTL_S:
            return share
        return share + ISOLATED_SHARE * (1 - share)

    def _is_admitted(self, account: FairAccount, current: bool, now: float) -> bool:
        if not current:
            return self._is_admitted_alone(account, now)
        credit = self._remaining(account, now)
        if credit > 0:
            return True
        share = self._rate_share(current)
        if now - self._began_at < START_TTL_S:
            credit += account.overdraft
        elif self._silence_s(now) < LATE_UPDATE_S:
            credit += account.overdraft * max(0.0, 1 - (1 - share) / MAX_MISSING_SHARE)
        else:
            share *= LATE_SHARE
        allowed = account.limit.rate * share + credit / SETTLE_S
        demand = account.demand.at(now)
        share = min(1.0, max(0.0, allowed / demand)) if demand > 0 else 1.0
        return self._is_in_share(account, share)

    def _remaining(self, account: FairAccount, now: float) -> float:
        """Return the credit after what other VMs probably admitted unreported.

        They admit their demand while there is credit, and the rate after that.
        """
        age_s = REPORT_AGE_S
        if self._announced_share is not None:
            age_s += now - self._updated_at
        others = max(0.0, account.demand.at(now) - account.own_demand.at(now))
        account.unseen = min(others, account.limit.rate) * age_s
        credit = account.credit - others * age_s
        return credit if credit > 0 else min(0.0, account.credit - account.unseen)

    def _is_admitted_alone(self, account: FairAccount, now: float) -> bool:
        """Admit a share of the requests of a VM that doesn't know the credit."""
        if self._updated_at == -math.inf:
            pool = FRESH_S * account.limit.rate / max(1, self._vms())
            if account.own_credit > -pool:
                share = self._admitted_share(account, False, now)
                return self._is_in_share(account, max(FRESH_SHARE, share))
        return self._is_in_share(account, self._admitted_share(account, False, now))

    def _wait_s(self, account: FairAccount, cost: float, spread: float) -> float:
        """Return when there is credit for a request, spread by how many wait for it.

        What was refused within a second takes as many seconds of the rate as the demand
        exceeds it. Retries that came sooner would be refused together again.
        """
        now = self._now()
        rate = account.limit.rate
        wait_s = (cost - self._remaining(account, now)) / rate
        excess = min(MAX_EXCESS, max(1.0 + RETRY_SPREAD, account.demand.at(now) / rate))
        return wait_s * (1 + (excess - 1) * (spread - 1) / RETRY_SPREAD)
