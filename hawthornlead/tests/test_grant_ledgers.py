"""Tests of the owner's book of grants: what proves an adapter idle."""

import random

import pytest

from hawthornlead.engines.engine_clocks import EngineClock
from hawthornlead.engines.grant_ledgers import MAX_SEND_S, AdapterVersion, GrantLedger
from hawthornlead.engines.targets import Report
from hawthornlead.messages import Resident
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService

TIDE = AdapterVersion("tide", "1")
ENGINE_AHEAD_S = 500.0


class _Book:
    def __init__(self):
        self.timers = ManualTimerService()
        self.clock = EngineClock()
        self.ledger = GrantLedger(
            settings=default_settings(VM_NAME="a"),
            timers=self.timers,
            rng=random.Random(1),
            clock=self.clock,
            fence=3,
        )

    def observe(self, running=0, queued=0, age_s=0.0):
        """Probe, and read a report of ``age_s`` seconds ago."""
        now = self.timers.now()
        self.clock.record_probe(now, now + ENGINE_AHEAD_S, "boot")
        as_of = now + ENGINE_AHEAD_S - age_s
        residents = (Resident("tide", "1", running),)
        self.ledger.observe(
            Report("boot", as_of, 1, 8, running, queued, residents, 0, 0.0)
        )


@pytest.fixture
def book():
    return _Book()


async def _run_out(book):
    grant = book.ledger.issue("b", TIDE, 1)
    await book.timers.advance(book.ledger.max_lifetime_s() + MAX_SEND_S)
    # By a clock that is fast by its rate error, MAX_SEND_S is not over yet.
    book.observe()
    assert not book.ledger.idle(TIDE)
    await book.timers.advance(book.ledger.max_send_s() - MAX_SEND_S)
    return grant


async def test_released_is_idle(book):
    grant = book.ledger.issue("b", TIDE, 1)
    assert not book.ledger.idle(TIDE)
    book.ledger.release(grant.grant_id)
    assert book.ledger.idle(TIDE)


async def test_ran_out_needs_a_later_report(book):
    await _run_out(book)
    assert not book.ledger.idle(TIDE)
    book.observe(age_s=1.0)
    assert not book.ledger.idle(TIDE)
    book.observe(running=1)
    assert not book.ledger.idle(TIDE)
    book.observe()
    assert book.ledger.idle(TIDE)


async def test_report_with_a_queue_proves_nothing(book):
    """A request waits inside the engine, for an adapter that the report hides."""
    await _run_out(book)
    book.observe(queued=1)
    assert not book.ledger.idle(TIDE)


async def test_request_on_its_way_when_the_grant_ran_out(book):
    """A request was sent in its grant's last moment and has not arrived.

    A report of that moment shows nothing running; evicting then would break the
    request as it arrives.
    """
    book.ledger.issue("b", TIDE, 1)
    await book.timers.advance(book.ledger.max_lifetime_s())
    book.observe()
    assert not book.ledger.idle(TIDE)


async def test_unknown_grants_cover_every_adapter(book):
    book.ledger.assume_unknown_until(None)
    book.observe()
    assert not book.ledger.idle(TIDE)
    book.ledger.assume_unknown_until(book.timers.now() + 5)
    book.observe()
    assert not book.ledger.idle(TIDE)
    await book.timers.advance(5)
    book.observe(running=1)
    assert not book.ledger.idle(TIDE)
    assert book.ledger.idle(AdapterVersion("lap", "1"))
    book.observe()
    assert book.ledger.idle(TIDE)


async def test_renewal_extends_only_what_has_not_run_out(book):
    grant = book.ledger.issue("b", TIDE, 1)
    await book.timers.advance(5)
    assert book.ledger.renew((grant.grant_id, "other")) == (grant.grant_id,)
    await book.timers.advance(20)
    assert book.ledger.renew((grant.grant_id,)) == ()


def test_probe_of_another_start_forgets_the_old(book):
    clock = book.clock
    assert not clock.record_probe(10.0, 500.0, "one")
    assert clock.proves_after(500.0, 9.0) and not clock.proves_after(499.0, 9.0)
    assert not clock.proves_after(900.0, 11.0)
    assert clock.record_probe(20.0, 1.0, "two")
    assert not clock.proves_after(500.0, 21.0) and clock.proves_after(1.0, 15.0)
