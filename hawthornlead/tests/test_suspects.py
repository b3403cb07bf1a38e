"""Tests of finding and quarantining requests that crash their target."""

import pytest

from hawthornlead.clocks import HybridClock
from hawthornlead.decisions.suspects import MAX_SUSPECTS, Suspects
from hawthornlead.errors import ErrorKind
from hawthornlead.events import EventRing
from hawthornlead.messages import CrashSuspects
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService

BAD, GOOD, OTHER = b"bad", b"good", b"other"


@pytest.fixture
def timers():
    return ManualTimerService()


@pytest.fixture
def suspects(timers):
    return make_suspects(timers)


def make_suspects(timers, mesh=None):
    return Suspects(
        settings=default_settings(CRASHES_TO_QUARANTINE=2, QUARANTINE_S=600.0),
        timers=timers,
        events=EventRing("vm-1", HybridClock(timers)),
        mesh=mesh,
    )


async def test_a_request_that_crashes_targets_is_refused_after_two(suspects):
    """A caller sends a request that crashes its target, and sends it again.

    The first death makes all requests on the target suspects. An innocent one completes
    elsewhere and is cleared. After the second death only the crashing request has two
    deaths. It is refused from then on, and the innocent one is served.
    """
    suspects.record_death("engine-1", "boot-1", [BAD, GOOD])
    assert suspects.check(BAD).is_ok()
    suspects.record_completion(GOOD)
    suspects.record_death("engine-2", "boot-7", [BAD, OTHER])
    refused = suspects.check(BAD).err_value
    assert refused.kind is ErrorKind.QUARANTINED
    assert refused.retry_after_s == 600.0
    assert suspects.check(GOOD).is_ok()
    assert suspects.check(OTHER).is_ok()


async def test_one_death_reported_by_several_vms_counts_once(suspects):
    """Three VMs had requests on a target that died, and each reports the death.

    The same fingerprint is in several reports. If one death counted twice, an innocent
    request would be quarantined.
    """
    for _ in range(3):
        suspects.record_death("engine-1", "boot-1", [GOOD])
    assert suspects.check(GOOD).is_ok()
    suspects.record_death("engine-1", "boot-2", [GOOD])
    assert suspects.check(GOOD).is_err()


async def test_a_report_after_the_clearing_makes_no_suspect(suspects):
    suspects.record_death("engine-1", "boot-1", [GOOD])
    suspects.record_completion(GOOD)
    suspects.record_death("engine-1", "boot-1", [GOOD])
    assert not suspects.is_suspect(GOOD)


async def test_deaths_without_a_boot_id_are_distinguished_by_time(suspects, timers):
    suspects.record_death("engine-1", "", [BAD])
    await timers.advance(1)
    suspects.record_death("engine-1", "", [BAD])
    assert suspects.check(BAD).is_ok()
    await timers.advance(30)
    suspects.record_death("engine-1", "", [BAD])
    assert suspects.check(BAD).is_err()


async def test_suspects_do_not_run_beside_one_another(suspects):
    """Two suspects run on one target, which dies.

    The crashing one could not be identified, so a suspect joins only non-suspects.
    """
    suspects.record_death("engine-1", "boot-1", [BAD, GOOD])
    assert suspects.may_join(BAD, [OTHER])
    assert not suspects.may_join(BAD, [OTHER, GOOD])
    assert suspects.may_join(OTHER, [BAD, GOOD])


async def test_quarantine_and_suspicion_end(suspects, timers):
    suspects.record_death("engine-1", "boot-1", [BAD, GOOD])
    suspects.record_death("engine-2", "boot-1", [BAD])
    suspects.record_completion(BAD)
    assert suspects.check(BAD).is_err()
    await timers.advance(600)
    assert suspects.check(BAD).is_ok()
    assert not suspects.is_suspect(GOOD)
    assert suspects.count == 0


async def test_memory_is_bounded(suspects):
    for number in range(MAX_SUSPECTS + 50):
        suspects.record_death("engine-1", f"boot-{number}", [str(number).encode()])
    assert suspects.count == MAX_SUSPECTS


async def test_another_vm_learns_of_suspects_by_message(timers):
    handlers = {}

    class Mesh:
        def on(self, message_type, handler):
            handlers[message_type] = handler

    suspects = make_suspects(timers, Mesh())
    for boot_id in ("boot-1", "boot-2"):
        message = CrashSuspects("engine-1", boot_id, (BAD,))
        await handlers[CrashSuspects](None, message)
    assert suspects.check(BAD).is_err()


async def test_a_death_counts_half_for_a_request_that_was_answered_before(suspects):
    """A sound stream is read on four engines that crash under it one after the other.

    It may be the cause all the same, as one with a long answer that exhausts each of
    them, so that it is refused in the end; a request that never began, after two.
    """
    for number in range(3):
        suspects.record_death(f"engine-{number}", "boot", [], survived=[GOOD])
        assert suspects.check(GOOD).is_ok()
    suspects.record_death("engine-3", "boot", [], survived=[GOOD])
    assert suspects.check(GOOD).is_err()
    assert [report.survived for report in suspects.reports()] == [(GOOD,)] * 4
    suspects.record_death("engine-1", "boot", [BAD])
    suspects.record_death("engine-2", "boot", [BAD])
    assert suspects.check(BAD).is_err()
