"""Decisions on whether a VM reaches any target of a service."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from hawthornlead.decisions.reachabilities import (
    FAILURE_TTL_S,
    MIN_REACHED,
    MIN_UNREACHED,
    Reachability,
)

SIX = [f"i-{number}" for number in range(6)]


def record_all(reachability, targets, reached, now=0.0, known=SIX):
    """Record the same outcome for several targets."""
    for target in targets:
        reachability.record(target, known, reached=reached, now=now)


def test_connections_that_fail_to_several_targets_make_a_service_unreachable():
    reachability = Reachability()
    record_all(reachability, SIX[: MIN_UNREACHED - 1], False)
    assert not reachability.unreachable
    record_all(reachability, SIX[MIN_UNREACHED - 1 : MIN_UNREACHED], False, now=0.5)
    assert reachability.unreachable_since == 0.5


def test_a_target_that_is_down_leaves_its_service_reachable():
    reachability = Reachability()
    for step in range(20):
        record_all(reachability, SIX[:1], False, now=0.1 * step)
    assert reachability.is_doubtful
    assert not reachability.unreachable


def test_one_connection_that_succeeds_dispels_the_doubt():
    reachability = Reachability()
    record_all(reachability, SIX[:2], False)
    record_all(reachability, SIX[2:3], True)
    assert not reachability.is_doubtful
    record_all(reachability, SIX[:2], False)
    assert not reachability.unreachable


def test_failures_long_ago_do_not_count():
    reachability = Reachability()
    record_all(reachability, SIX[:2], False)
    record_all(reachability, SIX[2:3], False, now=FAILURE_TTL_S + 0.1)
    assert not reachability.unreachable


def test_few_targets_must_all_fail():
    for known in (SIX[:1], SIX[:2]):
        reachability = Reachability()
        record_all(reachability, known[:1], False, known=known)
        assert not reachability.unreachable
        record_all(reachability, known[-1:], False, known=known)
        assert reachability.unreachable


def test_a_path_that_lets_single_connections_through_stays_unreachable():
    """Guards against a VM that swings between its own path and relaying."""
    reachability = Reachability()
    record_all(reachability, SIX[:3], False)
    for _ in range(10):
        record_all(reachability, SIX[:1], True)
        record_all(reachability, SIX[1:2], False)
        assert reachability.unreachable
    record_all(reachability, SIX[:MIN_REACHED], True)
    assert not reachability.unreachable


def test_targets_that_failed_are_checked_last():
    reachability = Reachability()
    record_all(reachability, SIX[:2], False)
    checked = reachability.targets_to_check(SIX, Random(1))
    assert len(checked) == MIN_UNREACHED
    assert not set(checked) & set(SIX[:2])


@given(st.lists(st.tuples(st.sampled_from(SIX), st.booleans()), max_size=40))
def test_a_verdict_needs_failures_to_several_targets_since_the_last_success(outcomes):
    reachability = Reachability()
    failed: set[str] = set()
    for target, reached in outcomes:
        before = reachability.unreachable
        reachability.record(target, SIX, reached=reached, now=0.0)
        failed = set() if reached else {*failed, target}
        if reachability.unreachable and not before:
            assert len(failed) >= MIN_UNREACHED
        if before and not reachability.unreachable:
            assert reached
