"""Tests of which requests become suspects when a target dies."""

import pytest
from result import Err, Ok

from hawthornlead.clocks import HybridClock
from hawthornlead.decisions.suspects import Suspects
from hawthornlead.decisions.views import TargetView
from hawthornlead.engines.target_deaths import TargetDeaths
from hawthornlead.engines.targets import Health
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.events import EventRing
from hawthornlead.messages import CrashSuspects, TargetState
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService

LOST = Failure(ErrorKind.TARGET_LOST, "closed")
REFUSED = Failure(ErrorKind.TARGET_UNREACHABLE, "refused")


def view(boot_id):
    """Return the view of a target whose owner announced its boot id."""
    state = TargetState("t1", 1, 1, 2, 0, 0, False, (), boot_id)
    return TargetView("t1", "t1:1", "gijon", ("b",), "vm-2", state, 0.0, False)


class Site:
    """The ``TargetDeaths`` of one VM, with a target whose health a test sets."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.announced = []
        self.health_answer = Err(REFUSED)
        events = EventRing("vm-1", HybridClock(self.timers))
        self.suspects = Suspects(
            settings=default_settings(), timers=self.timers, events=events
        )
        self.deaths = TargetDeaths(
            events=events, mesh=self, suspects=self.suspects, views=None, clients=self
        )

    def broadcast(self, message):
        """Record what is announced to all VMs."""
        self.announced.append(message)

    def cast(self, vm, message):
        """Discard the message to the target's owner."""

    def client(self, address):
        """Return the target's client."""
        return self

    async def health(self):
        """Return the answer that the test has set."""
        return self.health_answer


@pytest.fixture
def site():
    return Site()


async def test_a_target_that_restarted_before_the_check_has_died(site):
    """Guards against a crash that a quick restart hides.

    A request crashes its target, which is back before this VM probes it, and another
    attempt has already seen the new incarnation. Compared with the newest boot id the
    target would look healthy, and the request would go on to crash the next one.
    """
    suspect_attempt = site.deaths.record_start(view("boot-1"), "r1.1", b"bad")
    site.deaths.record_start(view("boot-1"), "r2.1", b"beside")
    site.deaths.record_start(view("boot-2"), "r3.1", b"later")
    site.deaths.record_end("t1", "r1.1")
    site.health_answer = Ok(Health("boot-2", 0.0))
    await site.deaths.check(view("boot-2"), suspect_attempt, LOST)
    assert site.announced == [CrashSuspects("t1", "boot-1", (b"bad", b"beside"))]
    assert not site.suspects.is_suspect(b"later")


async def test_a_death_has_the_same_id_on_all_vms(site):
    """Guards against one crash that counts twice, which would quarantine at once.

    Two VMs lose requests on one target. The boot id that the owner announces
    identifies the death on both.
    """
    suspect_attempt = site.deaths.record_start(view("boot-1"), "r1.1", b"bad")
    site.suspects.record_death("t1", "boot-1", [b"bad"])
    await site.deaths.check(view("boot-1"), suspect_attempt, LOST)
    assert site.announced[0].boot_id == "boot-1"
    assert site.suspects.check(b"bad").is_ok()


async def test_a_broken_stream_of_a_live_target_makes_no_suspects(site):
    attempt = site.deaths.record_start(view("boot-1"), "r1.1", b"a")
    site.health_answer = Ok(Health("boot-1", 0.0))
    await site.deaths.check(view("boot-1"), attempt, LOST)
    assert site.announced == []
    assert site.deaths.running_fingerprints("t1") == (b"a",)
