"""Tests of admission by caller and by priority."""

import random

import pytest

from hawthornlead.bundles.bundles import CallerTerms
from hawthornlead.decisions.limits import MAX_CALLERS, Admissions, open_share
from hawthornlead.errors import ErrorKind
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService


def make_terms(name="gijon-7", rate=2.0, burst=3, concurrency=100):
    """Return a caller's terms, as a bundle gives them."""
    return CallerTerms(name, 5, rate, burst, concurrency)


@pytest.fixture
def timers():
    return ManualTimerService()


@pytest.fixture
def admissions(timers):
    settings = default_settings(MAX_OPEN_REQUESTS=20)
    return Admissions(settings=settings, timers=timers, rng=random.Random(1))


async def test_rate_allows_a_burst_then_gives_a_retry_time(admissions, timers):
    assert all(admissions.admit(make_terms(), 5).is_ok() for _ in range(3))
    refused = admissions.admit(make_terms(), 5).err_value
    assert refused.kind is ErrorKind.CALLER_LIMITED
    assert refused.retry_after_s == pytest.approx(0.5)
    await timers.advance(refused.retry_after_s)
    assert admissions.admit(make_terms(), 5).is_ok()
    assert admissions.admit(make_terms(), 5).is_err()


async def test_concurrency_is_freed_by_release_once(admissions):
    terms = make_terms(burst=50, concurrency=1)
    first = admissions.admit(terms, 5).ok_value
    assert admissions.admit(terms, 5).err_value.kind is ErrorKind.CALLER_LIMITED
    first.release()
    first.release()
    assert admissions.open == 0
    assert admissions.admit(terms, 5).is_ok()


async def test_a_caller_over_its_limit_takes_nothing_from_others(admissions):
    """One caller floods a VM.

    Its requests beyond its own limit are refused before they take any of the VM's
    capacity, so another caller is admitted as if it were alone.
    """
    flood = make_terms(name="flood", rate=1.0, burst=5, concurrency=4)
    outcomes = [admissions.admit(flood, 9) for _ in range(1000)]
    assert sum(outcome.is_ok() for outcome in outcomes) == 4
    assert admissions.admit(make_terms(), 0).is_ok()


async def test_low_priorities_are_refused_first_as_the_vm_fills(admissions):
    """Requests of low priority fill a VM.

    The low priority is refused while capacity is left for the high priority. When the
    VM is full, both are refused.
    """
    low, high = make_terms("low", burst=99), make_terms("high", burst=99)
    admitted = [admissions.admit(low, 0).is_ok() for _ in range(20)]
    assert sum(admitted) == 11
    refused = admissions.admit(low, 0).err_value
    assert refused.kind is ErrorKind.OVERLOADED
    assert 0.5 <= refused.retry_after_s <= 1.5
    assert sum(admissions.admit(high, 9).is_ok() for _ in range(20)) == 9
    assert admissions.admit(high, 9).is_err()


async def test_a_request_refused_for_capacity_costs_no_token(admissions):
    filler = make_terms("filler", burst=99)
    while admissions.admit(filler, 9).is_ok():
        pass
    for _ in range(5):
        refused = admissions.admit(make_terms(), 9).err_value
        assert refused.kind is ErrorKind.OVERLOADED


def test_shares_rise_with_priority():
    shares = [open_share(priority) for priority in range(-1, 11)]
    assert shares == sorted(shares)
    assert (shares[0], shares[-1]) == (0.55, 1.0)


async def test_idle_callers_are_evicted(admissions):
    for number in range(MAX_CALLERS + 100):
        admissions.admit(make_terms(f"caller-{number}"), 9).map(lambda a: a.release())
    assert len(admissions._callers) == MAX_CALLERS
