"""Tests of the fair order of waiters over workspaces."""

import heapq
import itertools
import math
from random import Random

import pytest

from hawthornlead.shares.fair_shares import MAX_COST, MAX_KEYS, FairShares

WORKSPACES = [f"w{number}" for number in range(16)]
# Sizes as of Zipf's law.
SIZES = {name: 1 / (1 + number) ** 0.8 for number, name in enumerate(WORKSPACES)}
SLOTS, RUN_S, DURATION_S = 12, 0.1, 60.0


class FirstCome:
    """The order without fair shares."""

    def tag(self, share_key, cost) -> float:
        return 0.0

    def served(self, tag) -> None:
        """Advance nothing."""


def mean_waits(shares, seed, hot=None) -> dict[str, float]:
    """Return the mean wait of each workspace at 12 places that are 0.75 in use.

    ``hot`` sends six times its usual.
    """
    rng = Random(seed)
    per_s = 0.75 * SLOTS / RUN_S / sum(SIZES.values())
    arrivals = []
    for name, size in SIZES.items():
        own, at = Random(f"{seed} {name}"), 0.0
        rate = per_s * size * (6 if name == hot else 1)
        while (at := at + own.expovariate(rate)) < DURATION_S:
            arrivals.append((at, name))
    numbers = itertools.count()
    free = [0.0] * SLOTS
    waiting, waits = [], {name: [] for name in WORKSPACES}
    arrivals = sorted(arrivals, reverse=True)
    while arrivals or waiting:
        now = heapq.heappop(free)
        if not waiting and arrivals:
            now = max(now, arrivals[-1][0])
        while arrivals and arrivals[-1][0] <= now:
            at, name = arrivals.pop()
            tag = shares.tag(name, 1.0)
            heapq.heappush(waiting, (tag, next(numbers), at, name))
        tag, _, at, name = heapq.heappop(waiting)
        shares.served(tag)
        waits[name].append(now - at)
        heapq.heappush(free, now + RUN_S * rng.uniform(0.5, 1.5))
    return {name: sum(each) / len(each) for name, each in waits.items()}


@pytest.mark.parametrize("hot", ["w0", "w3", "w5", "w15"])
def test_a_hot_workspace_delays_no_other(hot):
    """A workspace at six times its usual fills the queue ahead of all others.

    The others then wait for little more than the run of one request in progress.
    """
    for seed in (1, 2, 3):
        usual = mean_waits(FairShares(), seed)
        beside = mean_waits(FairShares(), seed, hot)
        for name in WORKSPACES:
            if name != hot:
                assert beside[name] <= usual[name] + 1.25 * RUN_S
    assert mean_waits(FirstCome(), 1, "w0")["w9"] > 5.0


def test_an_idle_workspace_saves_no_credit():
    """A workspace that was idle for long overtakes all others for as long."""
    shares = FairShares()
    for _ in range(100):
        shares.served(shares.tag("busy", 10.0))
    tags = [(shares.tag(name, 10.0), name) for name in ["idle", "busy"] * 3]
    order = [name for _, name in sorted(tags, key=lambda each: each[0])]
    assert order.count("idle") == 3
    assert order[:4].count("busy") >= 1


def test_requests_without_a_workspace_have_one_share():
    shares = FairShares()
    assert [shares.tag("", 5.0) for _ in range(3)] == [0.0, 5.0, 10.0]
    assert shares.tag("zimi", 5.0) == 0.0


def test_a_waiter_that_gives_up_puts_off_no_later_one():
    """A workspace whose callers gave up is served last for seconds afterwards."""
    shares = FairShares()
    for _ in range(50):
        shares.tag("zimi", 1.0)
    for _ in range(50):
        shares.withdraw("zimi", 1.0)
    assert shares.tag("zimi", 1.0) == 0.0
    shares.withdraw("unknown", 1.0)


@pytest.mark.parametrize("cost", [math.nan, math.inf, -math.inf, -5.0, 0.0, 1e300])
def test_an_absurd_cost_is_bounded(cost):
    shares = FairShares(lambda key: cost)
    shares.tag("zimi", cost)
    assert 0.0 < shares.tag("zimi", 1.0) <= 1e3 * MAX_COST


def test_the_memory_is_bounded():
    shares = FairShares()
    for number in range(5 * MAX_KEYS):
        shares.tag(f"w{number}", 1.0)
    assert shares.keys <= MAX_KEYS + 1
    shares.served(1e9)
    shares.tag("new", 1.0)
    assert shares.keys == 1
