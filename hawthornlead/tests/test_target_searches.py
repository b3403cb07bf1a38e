"""Tests of the tries of one request at several targets, without a network."""

from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.gateway.target_choices import Candidate, Holding, Scored
from hawthornlead.gateway.target_searches import MAX_LOAD_TRIES, TargetSearch
from hawthornlead.timers import ManualTimerService

FULL = Failure(ErrorKind.NO_SLOT, "no slot to spare", 0.15)
NO_LOAD = Failure(ErrorKind.LOAD_FAILED, "nobody waits", 0.3)
NO_OWNER = Failure(ErrorKind.NO_GRANT, "not ordered here now", 0.1)


class Estimates:
    """Costs of three engines; counts how often they are asked for."""

    def __init__(self):
        self.asked = 0

    def score(self, excluded):
        self.asked += 1
        scored = []
        for cost_ms, target in ((500.0, "a"), (510.0, "b"), (800.0, "c")):
            if target in excluded:
                continue
            candidate = Candidate(target, 64, 0, Holding.ABSENT, True, False, 0.0, True)
            scored.append(Scored(cost_ms, candidate))
        return scored


def tries_of(estimates, timers):
    return TargetSearch(excluded=frozenset(), score=estimates.score, timers=timers)


def tried(tries, slack_s):
    return tries.best(slack_s).candidate.target


def test_full_engines_are_asked_in_turn_on_one_estimate():
    """A VM before 70 engines spends its time on estimates while it serves nobody.

    On a busy day a request asks up to twelve full engines within milliseconds, and
    all engines were estimated anew for each of them.
    """
    estimates, timers = Estimates(), ManualTimerService()
    tries = tries_of(estimates, timers)
    assert tried(tries, 0.1) == "a"
    tries.record_failure("a", FULL)
    assert tried(tries, 0.1) == "b"
    tries.record_failure("b", FULL)
    assert tried(tries, 0.1) == "c"
    tries.record_failure("c", FULL)
    assert tries.best(0.1) is None
    assert tries.full_retry_s == 0.5
    assert tries.may_continue
    assert estimates.asked == 1


def test_a_full_engine_is_waited_for_where_that_is_sooner_than_all_others():
    tries = tries_of(Estimates(), ManualTimerService())
    tries.record_failure(tried(tries, 0.5), FULL)
    tries.record_failure(tried(tries, 0.5), FULL)
    # 650 ms with its wait, where the last one takes 800 ms.
    assert tried(tries, 0.5) == "a"
    assert tries.is_full("a")


async def test_an_estimate_that_grew_old_is_made_anew():
    estimates, timers = Estimates(), ManualTimerService()
    tries = tries_of(estimates, timers)
    tries.record_failure(tried(tries, 0.1), FULL)
    await timers.advance(0.05)
    assert tried(tries, 0.1) == "b"
    assert estimates.asked == 2


def test_an_engine_whose_load_failed_is_left_and_counts_as_a_try():
    estimates = Estimates()
    tries = tries_of(estimates, ManualTimerService())
    for target in ("a", "b", "c"):
        assert tried(tries, 0.1) == target
        tries.record_failure(target, NO_LOAD)
    assert tries.count == MAX_LOAD_TRIES + 1
    assert not tries.may_continue


def test_a_vm_that_orders_the_engine_no_more_costs_no_try():
    tries = tries_of(Estimates(), ManualTimerService())
    tries.record_failure(tried(tries, 0.1), NO_OWNER)
    assert tried(tries, 0.1) == "b"
    assert tries.count == 1
