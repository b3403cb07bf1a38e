"""Tests of the search of one request for a target, without a network."""

from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.gateway.target_choices import Candidate, Holding, Scored
from hawthornlead.gateway.target_searches import MAX_LOAD_TRIES, TargetSearch
from hawthornlead.timers import ManualTimerService

FULL = Failure(ErrorKind.NO_SLOT, "no slot to spare", 0.15)
NO_LOAD = Failure(ErrorKind.LOAD_FAILED, "nobody waits", 0.3)
NO_OWNER = Failure(ErrorKind.NO_GRANT, "not ordered here now", 0.1)


class Scorer:
    """Scores three engines, and counts its calls."""

    def __init__(self):
        self.calls = 0

    def score(self, excluded):
        self.calls += 1
        scored = []
        for cost_ms, target in ((500.0, "a"), (510.0, "b"), (800.0, "c")):
            if target in excluded:
                continue
            candidate = Candidate(target, 64, 0, Holding.ABSENT, True, False, 0.0, True)
            scored.append(Scored(cost_ms, candidate))
        return scored


def search_of(scorer, timers):
    return TargetSearch(excluded=frozenset(), score=scorer.score, timers=timers)


def best_target(search, slack_s):
    return search.best(slack_s).candidate.target


def test_full_engines_are_asked_in_turn_on_one_estimate():
    """A VM with 70 engines spends its time on scores and serves nobody.

    Under load a request tries up to twelve full engines within milliseconds, and all
    engines were scored again for each of them.
    """
    scorer, timers = Scorer(), ManualTimerService()
    search = search_of(scorer, timers)
    assert best_target(search, 0.1) == "a"
    search.record_failure("a", FULL)
    assert best_target(search, 0.1) == "b"
    search.record_failure("b", FULL)
    assert best_target(search, 0.1) == "c"
    search.record_failure("c", FULL)
    assert search.best(0.1) is None
    assert search.full_retry_s == 0.5
    assert search.may_continue
    assert scorer.calls == 1


def test_a_full_engine_is_waited_for_where_that_is_sooner_than_all_others():
    search = search_of(Scorer(), ManualTimerService())
    search.record_failure(best_target(search, 0.5), FULL)
    search.record_failure(best_target(search, 0.5), FULL)
    # 650 ms with its wait, where the last one takes 800 ms.
    assert best_target(search, 0.5) == "a"
    assert search.is_full("a")


async def test_an_estimate_that_grew_old_is_made_anew():
    scorer, timers = Scorer(), ManualTimerService()
    search = search_of(scorer, timers)
    search.record_failure(best_target(search, 0.1), FULL)
    await timers.advance(0.05)
    assert best_target(search, 0.1) == "b"
    assert scorer.calls == 2


def test_an_engine_whose_load_failed_is_left_and_counts_as_a_try():
    scorer = Scorer()
    search = search_of(scorer, ManualTimerService())
    for target in ("a", "b", "c"):
        assert best_target(search, 0.1) == target
        search.record_failure(target, NO_LOAD)
    assert search.count == MAX_LOAD_TRIES + 1
    assert not search.may_continue


def test_a_vm_that_orders_the_engine_no_more_costs_no_try():
    search = search_of(Scorer(), ManualTimerService())
    search.record_failure(best_target(search, 0.1), NO_OWNER)
    assert best_target(search, 0.1) == "b"
    assert search.count == 1
