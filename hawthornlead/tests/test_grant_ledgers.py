"""Tests of the owner's grant ledger: what proves an adapter idle."""

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


class _LedgerParts:
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
        """Probe, then observe a report of ``age_s`` seconds ago."""
        now = self.timers.now()
        self.clock.record_probe(now, now + ENGINE_AHEAD_S, "boot")
        as_of = now + ENGINE_AHEAD_S - age_s
        residents = (Resident("tide", "1", running),)
        self.ledger.observe(
            Report("boot", as_of, 1, 8, running, queued, residents, 0, 0.0)
        )


@pytest.fixture
def parts():
    return _LedgerParts()


async def _expire_grant(parts):
    grant = parts.ledger.issue("b", TIDE, 1)
    await parts.timers.advance(parts.ledger.max_lifetime_s() + MAX_SEND_S)
    # By a clock that is fast by its rate error, MAX_SEND_S is not over yet.
    parts.observe()
    assert not parts.ledger.idle(TIDE)
    await parts.timers.advance(parts.ledger.max_send_s() - MAX_SEND_S)
    return grant


async def test_released_is_idle(parts):
    grant = parts.ledger.issue("b", TIDE, 1)
    assert not parts.ledger.idle(TIDE)
    parts.ledger.release(grant.grant_id)
    assert parts.ledger.idle(TIDE)


async def test_expired_grant_needs_a_later_report(parts):
    await _expire_grant(parts)
    assert not parts.ledger.idle(TIDE)
    parts.observe(age_s=1.0)
    assert not parts.ledger.idle(TIDE)
    parts.observe(running=1)
    assert not parts.ledger.idle(TIDE)
    parts.observe()
    assert parts.ledger.idle(TIDE)


async def test_report_with_a_queue_proves_nothing(parts):
    """A request waits inside the engine for an adapter that no report names."""
    await _expire_grant(parts)
    parts.observe(queued=1)
    assert not parts.ledger.idle(TIDE)


async def test_request_under_way_when_the_grant_expired(parts):
    """Guards against an eviction that hits a request as it arrives.

    The request was sent at the end of its grant. A report of that moment shows nothing
    running.
    """
    parts.ledger.issue("b", TIDE, 1)
    await parts.timers.advance(parts.ledger.max_lifetime_s())
    parts.observe()
    assert not parts.ledger.idle(TIDE)


async def test_unknown_grants_cover_every_adapter(parts):
    parts.ledger.assume_unknown_until(None)
    parts.observe()
    assert not parts.ledger.idle(TIDE)
    parts.ledger.assume_unknown_until(parts.timers.now() + 5)
    parts.observe()
    assert not parts.ledger.idle(TIDE)
    await parts.timers.advance(5)
    parts.observe(running=1)
    assert not parts.ledger.idle(TIDE)
    assert parts.ledger.idle(AdapterVersion("lap", "1"))
    parts.observe()
    assert parts.ledger.idle(TIDE)


async def test_renewal_extends_only_unexpired_grants(parts):
    grant = parts.ledger.issue("b", TIDE, 1)
    await parts.timers.advance(5)
    assert parts.ledger.renew((grant.grant_id, "other")) == (grant.grant_id,)
    await parts.timers.advance(20)
    assert parts.ledger.renew((grant.grant_id,)) == ()


def test_probe_of_another_incarnation_clears_earlier_probes(parts):
    clock = parts.clock
    assert not clock.record_probe(10.0, 500.0, "one")
    assert clock.proves_after(500.0, 9.0) and not clock.proves_after(499.0, 9.0)
    assert not clock.proves_after(900.0, 11.0)
    assert clock.record_probe(20.0, 1.0, "two")
    assert not clock.proves_after(500.0, 21.0) and clock.proves_after(1.0, 15.0)
