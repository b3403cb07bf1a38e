"""Tests of calls to plain services: at most once, with limits on time and size."""

import random

import pytest

from hawthornlead.bundles.bundles import CallerTerms
from hawthornlead.callers import service_calls
from hawthornlead.callers.request_claims import RequestClaims
from hawthornlead.callers.sent_attempts import SentAttempts
from hawthornlead.callers.service_calls import ServiceCall, ServicePath
from hawthornlead.core_parts import build_core
from hawthornlead.decisions.limits import Admissions
from hawthornlead.decisions.retries import Retries
from hawthornlead.errors import ErrorKind, Ran
from hawthornlead.ownership.platforms import VmEntry
from hawthornlead.settings import default_settings
from hawthornlead.tests.fakes_claims import ClaimFleet
from hawthornlead.tests.fakes_exchanges import FakeConnections

CALLER = CallerTerms("gijon", 5, 100.0, 100, 100)


class FakeVmList:
    """A VM list with two targets that run the service."""

    def services(self, name):
        """Return the targets of a service."""
        return [
            VmEntry(f"{name}-{n}", "service", "127.0.0.1:1", "gijon", "live", {})
            for n in (1, 2)
        ]


class Site:
    """A service path with claims in memory and connections with set answers."""

    def __init__(self, **answer):
        self.fleet = ClaimFleet(1)
        self.timers = self.fleet.timers
        self.connections = FakeConnections(self.timers, **answer)
        settings, rng = default_settings(VM_NAME="vm-1"), random.Random(1)
        core = build_core(settings, rng, self.timers)
        self.path = ServicePath(
            core=core,
            sent=SentAttempts(invariants=core.invariants),
            vm_list=FakeVmList(),
            admissions=Admissions(settings=settings, timers=self.timers, rng=rng),
            claims=RequestClaims(
                settings=settings,
                timers=self.timers,
                claims=self.fleet.vms["vm-1"].claims,
            ),
            retries=Retries(settings=settings, timers=self.timers, rng=rng),
            connections=self.connections,
        )

    async def call(self, request_id, key="lap-81", repeatable=False):
        """Make a call with five seconds to its deadline."""
        call = ServiceCall(
            request_id,
            CALLER,
            "laps",
            "POST",
            "/cross",
            "text/plain",
            b"",
            repeatable,
            5,
            self.timers.now() + 5,
            key,
        )
        (outcome,) = await self.fleet.finish(self.path.serve(call))
        return outcome


@pytest.fixture
async def site():
    return Site()


async def test_a_call_with_a_key_is_sent_once_and_replayed(site):
    first = (await site.call("r1")).ok_value
    again = (await site.call("r2")).ok_value
    assert (first.body, first.replayed) == (b"filed", False)
    assert (again.body, again.replayed) == (b"filed", True)
    assert site.connections.sent == ["/cross"]


async def test_a_call_frozen_while_it_connects_is_not_sent(site):
    """The VM is frozen between connecting and sending until after the deadline.

    Its caller may have retried successfully: sent now, the call would run twice. The
    clock is read again right before the send.
    """
    site.connections.open_s = 6.0
    late = (await site.call("r1")).err_value
    assert (late.kind, late.claim_read) == (ErrorKind.TOO_LATE_TO_START, True)
    assert site.connections.sent == []
    site.connections.open_s = 0.0
    assert (await site.call("r2")).is_ok()


async def test_an_answer_without_end_does_not_fill_the_memory(monkeypatch):
    """A service sends an endless answer, which would exhaust the VM's memory.

    The call ran, so the answer is not "not run", and the call is not sent again.
    """
    monkeypatch.setattr(service_calls, "MAX_SERVICE_ANSWER_BYTES", 10)
    site = Site(chunks=(b"12345", b"67890", b"!"))
    cut = (await site.call("r1", key="", repeatable=True)).err_value
    assert (cut.kind, cut.answer.ran) == (ErrorKind.ANSWER_CUT, Ran.MAY_HAVE_RUN)
    assert len(site.connections.sent) == 1


async def test_retries_keep_to_the_budget():
    """A service fails under load; calls are retried only within the retry budget."""
    site = Site(status=500)
    for number in range(10):
        lost = (await site.call(f"r{number}", key="", repeatable=True)).err_value
        assert lost.kind is ErrorKind.TARGET_LOST
    assert 10 < len(site.connections.sent) <= 10 + 4
