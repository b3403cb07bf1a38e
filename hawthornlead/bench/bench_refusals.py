"""Which refusals by quotas were wrong: a day of 16 workspaces against one ideal bucket.

The ledgers are the gateway's own, one on each of 88 VMs that tell each other through
heads. A refusal is *inside* the quota if one bucket of the workspace's rate and burst,
from which all admitted requests were taken at once, held the cost at that moment::

    .venv/bin/python -m hawthornlead.bench.bench_refusals --seeds 5
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import click

from hawthornlead.decisions.fair_quotas import FairQuotaLedger
from hawthornlead.decisions.quotas import Limit, QuotaLedger
from hawthornlead.errors import ErrorKind

from .bench_quotas import WINDOW_S
from .bench_told_fleets import Faults, ToldFleet

VMS = 88
WORKSPACES = 16
QUOTA_OF_USUAL = 1.8
HOT, HOT_FROM_S, HOT_S = 6.0, 22.0, 8.0
DURATION_S = 40.0
OVERAGE, SLACK_TOKENS = 0.1, 17000.0


class RequestKind(NamedTuple):
    """Requests a second of all workspaces, and what one costs and waits."""

    per_s: float
    tokens: float
    deadline_s: float


# The unevenness deployment of docs/design/hard-load.md.
KINDS = (
    RequestKind(125.0, 1114.0, 10.1),
    RequestKind(30.1, 1114.0, 20.1),
    RequestKind(69.6, 2392.0, 3.05),
    RequestKind(113.6, 200.0, 4.07),
)
TOKENS_PER_S = sum(kind.per_s * kind.tokens for kind in KINDS)


class Attempt(NamedTuple):
    """One attempt of a request; callers retry once."""

    at: float
    number: int
    vm: int
    kind: RequestKind
    retry: bool


class Figures(NamedTuple):
    """What became of a workspace's attempts.

    ``inside`` counts refusals inside the quota by cause. ``lost`` requests were refused
    twice, ``lost_inside`` of them inside the quota the second time. ``over`` is the
    most that was admitted in 8 s, of what is allowed.
    """

    requests: int
    attempts: int
    refused: int
    inside: Counter
    inside_small: int
    lost: int
    lost_inside: int
    tokens: float
    over: float


def size_of(workspace: int) -> float:
    """Return the usual tokens a second of a workspace, by Zipf's law."""
    total = sum(1 / (1 + each) for each in range(WORKSPACES))
    return TOKENS_PER_S / (1 + workspace) / total


def draw_attempts(usual: float, hot: bool, rng: Random) -> list[Attempt]:
    """Draw a workspace's first attempts of a day."""
    attempts: list[Attempt] = []
    at = 0.0
    per_s = sum(kind.per_s for kind in KINDS) * usual / TOKENS_PER_S
    while at < DURATION_S:
        in_hot = hot and HOT_FROM_S <= at < HOT_FROM_S + HOT_S
        at += rng.expovariate(per_s * (HOT if in_hot else 1.0))
        (kind,) = rng.choices(KINDS, [each.per_s for each in KINDS])
        attempts.append(Attempt(at, len(attempts), rng.randrange(VMS), kind, False))
    return attempts[:-1]


class TrueBucket:
    """The bucket from which everything admitted is taken at once; it may go below 0."""

    def __init__(self, limit: Limit):
        self.limit = limit
        self.credit = limit.burst
        self._at = 0.0
        self._window: deque[tuple[float, float]] = deque()
        self._within = 0.0
        self.most = 0.0

    def fill(self, now: float) -> None:
        """Add what has accrued."""
        added = (now - self._at) * self.limit.rate
        self.credit, self._at = min(self.limit.burst, self.credit + added), now

    def take(self, tokens: float, now: float) -> None:
        """Take an admitted request."""
        self.credit -= tokens
        self._window.append((now, tokens))
        self._within += tokens
        while self._window[0][0] <= now - WINDOW_S:
            self._within -= self._window.popleft()[1]
        self.most = max(self.most, self._within)

    @property
    def over(self) -> float:
        """The most admitted in a window, of what is allowed."""
        rate, burst, _ = self.limit
        allowed = (1 + OVERAGE) * rate * WINDOW_S + burst + SLACK_TOKENS
        return self.most / allowed


class IdealFleet:
    """One bucket that is asked for each request."""

    def __init__(self, bucket: TrueBucket):
        self._bucket = bucket

    def pass_time(self, until: float) -> None:
        """Tell nothing."""

    def admit(self, attempt: Attempt) -> float | None:
        """Return after what time to retry, None if admitted."""
        missing = attempt.kind.tokens - self._bucket.credit
        return None if missing <= 0 else max(0.2, missing / self._bucket.limit.rate)

    def cause(self, attempt: Attempt) -> str:
        """Return no cause, as nothing is refused inside the quota."""
        return "none"


class LedgerFleet:
    """The ledgers of all VMs; knows why one of them refused."""

    def __init__(self, told: ToldFleet, bucket: TrueBucket):
        self._told = told
        self._bucket = bucket
        self._recent: deque[tuple[float, float, bool]] = deque()
        self._isolated = False

    def pass_time(self, until: float) -> None:
        """Let the VMs tell each other."""
        self._told.pass_time(until)

    def admit(self, attempt: Attempt) -> float | None:
        """Return after what time to retry, None if admitted."""
        self._recent.append((attempt.at, attempt.kind.tokens, attempt.retry))
        while self._recent[0][0] < attempt.at - 1.0:
            self._recent.popleft()
        admitted = self._told.admit(attempt.vm, attempt.kind.tokens)
        if admitted.is_ok():
            return None
        self._isolated = admitted.err_value.kind is ErrorKind.ISOLATED
        return admitted.err_value.retry_after_s

    def cause(self, attempt: Attempt) -> str:
        """Return why the ledger refused what the true bucket held."""
        since_start = attempt.at - self._told.started_at
        if self._isolated:
            return "not in touch" if since_start > 3.0 else "not in touch after restart"
        limit, cost = self._bucket.limit, attempt.kind.tokens
        credit = self._told.credit(attempt.vm)
        if credit < cost:
            if self._told.started_at > 0 and since_start < 3.0:
                return "credit 0 after restart"
            if self._bucket.credit - credit <= 0.3 * limit.burst + cost:
                return "0.3 of the burst held back"
            return "credit known too late"
        allowed = limit.rate + credit
        first = sum(tokens for _, tokens, retry in self._recent if not retry)
        if sum(tokens for _, tokens, _ in self._recent) <= allowed:
            return "stale demand"
        return "retries in demand" if first <= allowed else "spread though credit there"


def play_day(
    attempts: list[Attempt],
    bucket: TrueBucket,
    fleet: IdealFleet | LedgerFleet,
    faults: Faults,
    rng: Random,
) -> Figures:
    """Play a workspace's attempts, and retries as callers make them."""
    queue = list(attempts)
    heapq.heapify(queue)
    inside: Counter = Counter()
    made = refused = small = lost = lost_inside = 0
    while queue:
        attempt = heapq.heappop(queue)
        back_at = faults.back_at(attempt.vm, attempt.at)
        if back_at > attempt.at:
            heapq.heappush(queue, attempt._replace(at=back_at))
            continue
        now, tokens = attempt.at, attempt.kind.tokens
        fleet.pass_time(now)
        bucket.fill(now)
        made += 1
        retry_s = fleet.admit(attempt)
        if retry_s is None:
            bucket.take(tokens, now)
            continue
        refused += 1
        is_inside = bucket.credit >= tokens
        if is_inside:
            inside[fleet.cause(attempt)] += 1
            small += tokens < 1000
        if attempt.retry:
            lost += 1
            lost_inside += is_inside
            continue
        at = now + min(retry_s, attempt.kind.deadline_s / 3)
        again = attempt._replace(at=at, vm=rng.randrange(VMS), retry=True)
        heapq.heappush(queue, again)
    total = sum(each.kind.tokens for each in attempts)
    return Figures(
        len(attempts),
        made,
        refused,
        inside,
        small,
        lost,
        lost_inside,
        total,
        bucket.over,
    )


def play_workspace(
    ledger: Callable[..., QuotaLedger] | None,
    workspace: int,
    hot: bool,
    seed: int,
    faults: Faults,
) -> Figures:
    """Play a workspace's day with a kind of ledger, None for the ideal bucket."""
    rng = Random(f"{seed} {workspace}")
    usual = size_of(workspace)
    limit = Limit(QUOTA_OF_USUAL * usual, QUOTA_OF_USUAL * usual, SLACK_TOKENS)
    attempts = draw_attempts(usual, hot, rng)
    bucket = TrueBucket(limit)
    if ledger is None:
        fleet = IdealFleet(bucket)
    else:
        fleet = LedgerFleet(ToldFleet(VMS, limit, ledger, faults, rng), bucket)
    return play_day(attempts, bucket, fleet, faults, rng)


SCENARIOS: dict[str, Callable[[Random], Faults]] = {
    "no fault": lambda rng: Faults(),
    "all restarted at 13 s": lambda rng: Faults(restarts=(13.0,)),
    "all restarted while hot": lambda rng: Faults(restarts=(24.5,)),
    "all restarted, again 4 s later": lambda rng: Faults(restarts=(22.5, 26.5)),
    "a third cut off": lambda rng: Faults(
        cut=frozenset(rng.sample(range(VMS), VMS // 3)), cut_from=23.0, cut_until=28.0
    ),
    "VMs frozen and thawed": lambda rng: Faults(
        frozen=frozenset(rng.sample(range(VMS), VMS // 4)),
        frozen_from=23.0,
        frozen_until=26.0,
    ),
    "heads lost": lambda rng: Faults(
        lost_heads=frozenset(rng.sample(range(6), 2)), lost_at=22.8
    ),
}


@click.command()
@click.option("--seeds", default=5, help="how many days of each scenario")
@click.option("--first", default=1, help="the first seed")
@click.option("--fair", is_flag=True, help="the ledgers of fair_shares")
@click.option("--only", default="", help="scenarios whose names contain this")
@click.option("--all-hot", is_flag=True, help="every workspace is hot, not one")
def main(seeds: int, first: int, fair: bool, only: str, all_hot: bool) -> None:
    """Print refusals inside the quota by cause, and the most admitted in 8 s."""
    kind = FairQuotaLedger if fair else QuotaLedger
    click.echo(
        "| scenario | requests | refused | inside | of small | lost | lost inside "
        "| lost by ideal | most in 8 s of allowed | causes |"
    )
    click.echo("| --- " * 10 + "|")
    for name, faults_of in SCENARIOS.items():
        if only not in name:
            continue
        played, ideal = [], []
        for seed in range(first, first + seeds):
            hot = Random(seed).randrange(WORKSPACES)
            for workspace in range(WORKSPACES):
                faults = faults_of(Random(seed))
                day = (workspace, all_hot or workspace == hot, seed, faults)
                played.append(play_workspace(kind, *day))
                ideal.append(play_workspace(None, *day))
        click.echo(_row(name, played, ideal))


def _row(name: str, played: list[Figures], ideal: list[Figures]) -> str:
    inside = sum((each.inside for each in played), Counter())
    cells = (
        name,
        sum(each.requests for each in played),
        sum(each.refused for each in played),
        inside.total(),
        sum(each.inside_small for each in played),
        sum(each.lost for each in played),
        sum(each.lost_inside for each in played),
        sum(each.lost for each in ideal),
        f"{max(each.over for each in played):.3f}",
        "; ".join(f"{cause} {count}" for cause, count in inside.most_common()),
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


if __name__ == "__main__":
    main()
