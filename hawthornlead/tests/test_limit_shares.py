"""Tests of even shares of a target's limit, under the load of a whole fleet."""

from random import Random

import pytest

from hawthornlead.decisions.limit_shares import ONSET_DELAY_S, LimitShare

# What a target may get in windows ending EFFECTIVE_AFTER_S or more after its limit.
OVERAGE, SLACK, WINDOW_S, EFFECTIVE_AFTER_S = 1.5, 5, 4.0, 3.0
# The VMs learn of a limit this long after it was set, by an answer and a message.
LEARNED_AFTER_S = 0.1
LIMIT_SET_AT, END = 20.0, 40.0
SEEDS = range(11, 31)


class Fleet:
    """VMs that send all requests until they learn of a limit, then their shares."""

    def __init__(self, vms, limit, demand, seed):
        self._rng = Random(seed)
        self._vms = vms
        self._limit = limit
        self._demand = demand
        self._shares = {}

    def play(self):
        """Return when the target got its requests."""
        sent = []
        at = 0.0
        while at < END:
            at += self._rng.expovariate(self._demand)
            if self._may_send(self._rng.randrange(self._vms), at):
                sent.append(at)
        return sent

    def _may_send(self, vm, at):
        learned_at = LIMIT_SET_AT + LEARNED_AFTER_S
        if at < learned_at:
            return True
        if vm not in self._shares:
            rate = self._limit / self._vms
            self._shares[vm] = LimitShare(rate, learned_at, self._rng)
        return self._shares[vm].acquire(at)


def max_in_a_window(sent):
    maximum = 0
    for end in sent:
        if end >= LIMIT_SET_AT + EFFECTIVE_AFTER_S:
            maximum = max(maximum, sum(end - WINDOW_S < at <= end for at in sent))
    return maximum


@pytest.mark.parametrize(
    ("vms", "limit"), [(6, 8.0), (9, 2.2), (9, 3.3), (9, 30.0), (88, 3.3), (370, 12.0)]
)
def test_a_fleet_keeps_a_limit_of_a_third_of_its_load(vms, limit):
    """An overloaded engine limits itself to a third, and gets more for seconds."""
    allowed = OVERAGE * limit * WINDOW_S + SLACK
    for seed in SEEDS:
        assert max_in_a_window(Fleet(vms, limit, 3 * limit, seed).play()) <= allowed


@pytest.mark.parametrize(("vms", "limit"), [(9, 3.3), (9, 30.0)])
def test_most_of_a_limit_is_used(vms, limit):
    """Callers are refused although the engine would accept them."""
    used = 0
    for seed in SEEDS:
        sent = Fleet(vms, limit, 3 * limit, seed).play()
        used += sum(at >= LIMIT_SET_AT + ONSET_DELAY_S for at in sent)
    could = limit * (END - LIMIT_SET_AT - ONSET_DELAY_S) * len(SEEDS)
    assert used > 0.5 * could


def test_a_request_that_was_not_sent_is_refunded():
    share = LimitShare(1.0, 0.0, Random(1))
    free_at = share.wait_s(0.0)
    assert free_at > ONSET_DELAY_S
    assert not share.acquire(free_at - 0.01)
    assert share.acquire(free_at + 0.01)
    assert not share.acquire(free_at + 0.02)
    share.refund()
    assert share.acquire(free_at + 0.03)


def test_no_credit_comes_of_a_limit_of_nothing():
    share = LimitShare(0.0, 0.0, Random(1))
    assert share.wait_s(1000.0) == float("inf")
