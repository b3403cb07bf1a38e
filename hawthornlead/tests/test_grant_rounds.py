"""Tests of acquiring a grant on the best target that can give one."""

from result import Err, Ok

from hawthornlead.callers.grant_rounds import GrantRounds, Try
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.metrics import Metrics
from hawthornlead.timers import ManualTimerService

from .fakes_views import make_view
from .fakes_worlds import Assigned


class _Grant:
    loaded_s = 0.0


class _SteppingTimers(ManualTimerService):
    """A clock that advances by each sleep."""

    async def sleep(self, delay):
        self._now += delay


class _Grants:
    """Owners that refuse as set; ``requested`` has targets and ``slot_wait_s``."""

    def __init__(self, timers, refusals):
        self.timers = timers
        self.refusals = refusals
        self.requested = []

    async def acquire(self, target, assignment, *, wait_s, slot_wait_s, **_options):
        self.requested.append((target, slot_wait_s))
        self.timers._now += slot_wait_s
        refusals = self.refusals.get(target, [])
        return Err(refusals.pop(0)) if refusals else Ok(_Grant())


def no_slot(retry_after_s=0.5):
    return Failure(ErrorKind.NO_SLOT, "in use", retry_after_s)


async def acquire(refusals, deadline_s=60.0, owner_wait_s=4.0):
    timers = _SteppingTimers()
    grants = _Grants(timers, refusals)
    settings = {"OWNER_WAIT_S": owner_wait_s}
    rounds = GrantRounds(
        settings=settings, timers=timers, metrics=Metrics(), grants=grants
    )
    tries = [Try(make_view(name), False) for name in ("one", "two")]
    deadline_at = timers.now() + deadline_s
    outcome = await rounds.acquire(Assigned("tide"), 0, deadline_at, lambda: tries)
    return outcome, grants.requested, deadline_at - timers.now()


async def test_next_target_at_once_when_all_slots_are_in_use():
    outcome, requested, _ = await acquire({"one": [no_slot()]})
    assert outcome.unwrap().one_try.view.target == "two"
    assert requested == [("one", 0.0), ("two", 0.0)]


async def test_waits_at_the_best_when_no_target_has_a_slot():
    """All slots are in use. A refusal would fail a request that has a minute left."""
    outcome, requested, _ = await acquire({"one": [no_slot()] * 2, "two": [no_slot()]})
    assert outcome.is_ok()
    assert requested == [("one", 0.0), ("two", 0.0), ("one", 0.5), ("one", 0.0)]


async def test_refuses_at_once_if_no_target_can_serve_in_time():
    late = {"one": [no_slot(9.0)], "two": [no_slot(8.0)]}
    outcome, requested, left_s = await acquire(late, deadline_s=5.0)
    assert outcome.unwrap_err().retry_after_s == 8.0
    assert len(requested) == 2 and left_s == 5.0


async def test_ends_at_the_deadline():
    full = {"one": [no_slot()] * 99, "two": [no_slot()] * 99}
    outcome, _, left_s = await acquire(full, deadline_s=3.0)
    assert outcome.unwrap_err().kind is ErrorKind.NO_SLOT
    assert 0 <= left_s <= 0.5


async def test_no_waiting_after_a_refusal_that_allows_no_retry():
    overloaded = Failure(ErrorKind.OVERLOADED, "spoken for", 1.0)
    outcome, requested, _ = await acquire({"one": [overloaded]})
    assert outcome.unwrap_err() == overloaded and len(requested) == 1


async def test_retries_while_the_owner_is_replaced():
    """The owner of both targets dies, and callers are refused although they have time.

    A call to the owner fails until another VM has taken over the targets, about a
    second later. The caller's deadline is a minute away.
    """
    dead = Failure(ErrorKind.PEER_UNAVAILABLE, "not connected", 1.0)
    outcome, requested, left_s = await acquire({"one": [dead] * 10, "two": [dead] * 11})
    assert outcome.unwrap().one_try.view.target == "one"
    assert 58 < left_s < 60


async def test_fails_when_no_owner_takes_over():
    dead = Failure(ErrorKind.PEER_UNAVAILABLE, "not connected", 1.0)
    gone = {"one": [dead] * 999, "two": [dead] * 999}
    outcome, _, left_s = await acquire(gone)
    assert outcome.unwrap_err() == dead
    assert 55.8 <= left_s < 56.3
