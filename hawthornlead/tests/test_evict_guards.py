"""Tests of when a new owner may grant and evict after a takeover."""

import random
from typing import NamedTuple

import pytest

from hawthornlead.engines.engine_clocks import EngineClock
from hawthornlead.engines.evict_guards import FENCE_MAX_AGE_S, EvictGuard
from hawthornlead.engines.grant_ledgers import AdapterVersion, GrantLedger
from hawthornlead.engines.targets import Report
from hawthornlead.messages import Resident
from hawthornlead.ownership.ownerships import Ownership
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService

TIDE = AdapterVersion("tide", "1")


class _Parts(NamedTuple):
    timers: ManualTimerService
    clock: EngineClock
    ledger: GrantLedger
    guard: EvictGuard

    def observe(self, boot_id="boot-1"):
        """Probe, then read a report of this moment that shows nothing running."""
        now = self.timers.now()
        if self.clock.record_probe(now, now, boot_id):
            self.guard.on_restart()
        residents = (Resident("tide", "1", 0),)
        self.ledger.observe(Report(boot_id, now, 1, 8, 0, 0, residents, 0, 0.0))
        self.guard.observe(now)

    def record_fenced(self, boot_id="boot-1"):
        """Let the target accept the fence order at once."""
        now = self.timers.now()
        return self.guard.record_fenced(now, now, boot_id)


def _parts(fencing, *, stopped=False, orders_s=0.0):
    timers = ManualTimerService()
    settings = default_settings(VM_NAME="a")
    clock = EngineClock()
    ledger = GrantLedger(
        settings=settings, timers=timers, rng=random.Random(1), clock=clock, fence=2
    )
    now = timers.now()
    guard = EvictGuard(
        settings=settings,
        timers=timers,
        clock=clock,
        ledger=ledger,
        ownership=Ownership("target:e", 2, now, "b", stopped, now + orders_s),
        fencing=fencing,
    )
    guard.record_right()
    return _Parts(timers, clock, ledger, guard)


async def test_no_grant_before_the_fence_order_was_accepted():
    """Guards against a grant that a frozen predecessor's eviction would hit.

    Until a fencing target has accepted the new owner's number, it still carries out an
    eviction that its predecessor sends when it wakes.
    """
    parts = _parts(True)
    await parts.timers.advance(1)
    parts.observe()
    assert not parts.guard.ready and not parts.guard.may_evict
    assert parts.record_fenced()
    parts.observe()
    assert parts.guard.ready and parts.guard.may_evict


async def test_restarted_target_has_to_be_told_again():
    """A restarted target has lost the number and accepts an old owner's again."""
    parts = _parts(True)
    parts.record_fenced()
    parts.observe()
    await parts.timers.advance(1)
    parts.observe("boot-2")
    assert not parts.guard.ready and not parts.guard.may_evict
    assert parts.guard.needs_fence
    assert parts.record_fenced("boot-2")
    parts.observe("boot-2")
    assert parts.guard.ready and parts.guard.may_evict


async def test_fence_reply_of_an_earlier_start():
    """Guards against a fence reply of an incarnation that has ended.

    The target accepts the number and restarts. A probe shows the restart before the
    slow reply to the fence order arrives. The current incarnation does not know the
    number and would carry out an old owner's eviction under new grants.
    """
    parts = _parts(True)
    parts.observe()
    await parts.timers.advance(1)
    parts.observe("boot-2")
    assert not parts.record_fenced("boot-1")
    parts.observe("boot-2")
    assert not parts.guard.ready and not parts.guard.may_evict
    assert not parts.guard.fence_is_fresh()


async def test_restart_between_the_fence_order_and_the_first_probe():
    parts = _parts(True)
    assert parts.record_fenced("boot-1")
    parts.observe("boot-2")
    assert not parts.guard.ready and parts.guard.needs_fence


async def test_degraded_predecessor_that_was_just_accepted():
    """Guards against an eviction under the last grants of a degraded predecessor.

    Its number was accepted right before the successor's. It may grant for
    FENCE_MAX_AGE_S after that, and its last grant is valid for its whole time after.
    An earlier report proves nothing.
    """
    parts = _parts(True)
    parts.record_fenced()
    await parts.timers.advance(
        parts.ledger.max_lifetime_s() + parts.ledger.max_send_s()
    )
    parts.observe()
    assert not parts.ledger.idle(TIDE)
    await parts.timers.advance(FENCE_MAX_AGE_S)
    parts.observe()
    assert not parts.ledger.idle(TIDE)
    await parts.timers.advance(0.1)
    parts.observe()
    assert parts.ledger.idle(TIDE)


async def test_earlier_moment_does_not_shorten_a_later_one():
    """Guards against a wait for unknown grants that a second reason shortens.

    A successor waits for a degraded predecessor's grants on a fencing target. The
    target restarts, and then comes the proof that the predecessor has stopped, which
    gives an earlier moment. The later moment counts.
    """
    parts = _parts(True)
    parts.record_fenced()
    parts.observe()
    await parts.timers.advance(0.1)
    parts.observe("boot-2")
    parts.guard.on_predecessor_stopped()
    await parts.timers.advance(
        parts.ledger.max_lifetime_s() + parts.ledger.max_send_s() + 0.1
    )
    parts.observe("boot-2")
    assert not parts.ledger.idle(TIDE)
    await parts.timers.advance(FENCE_MAX_AGE_S)
    parts.observe("boot-2")
    assert parts.ledger.idle(TIDE)


@pytest.mark.parametrize("fencing", [False, True])
async def test_orders_of_a_stopped_predecessor(fencing):
    """A predecessor is proved to have stopped while its eviction may be under way.

    On a target that ignores fencing numbers nothing is granted before the longest
    order has ended. A fencing target refuses the order, so no wait is needed.
    """
    parts = _parts(fencing, stopped=True, orders_s=8.0)
    if fencing:
        parts.record_fenced()
    await parts.timers.advance(7.9)
    parts.observe()
    assert parts.guard.ready is fencing
    await parts.timers.advance(0.2)
    parts.observe()
    assert parts.guard.ready


async def test_ignoring_target_with_an_earlier_owner_unproved():
    parts = _parts(False)
    await parts.timers.advance(60)
    parts.observe()
    assert not parts.guard.may_evict and not parts.ledger.idle(TIDE)
    parts.guard.on_predecessor_stopped()
    assert parts.guard.may_evict
    parts.observe()
    assert not parts.ledger.idle(TIDE)
    await parts.timers.advance(
        parts.ledger.max_lifetime_s() + parts.ledger.max_send_s()
    )
    parts.observe()
    assert parts.ledger.idle(TIDE)
