"""Tests of which responses a call to a plain service takes for its own."""

import asyncio
import random

from hawthornlead.bundles.bundles import CallerTerms
from hawthornlead.callers.sent_attempts import SentAttempts
from hawthornlead.callers.service_calls import ServiceCall, ServicePath
from hawthornlead.core_parts import build_core
from hawthornlead.decisions.limits import Admissions
from hawthornlead.decisions.retries import Retries
from hawthornlead.engines.exchanges import TargetConnections
from hawthornlead.errors import ErrorKind
from hawthornlead.ownership.platforms import VmEntry
from hawthornlead.settings import default_settings
from hawthornlead.timers import TimerService

from .standins.scripted_target import ScriptedTarget
from .test_exchange_responses import response

CALLER = CallerTerms("gijon", 5, 1000.0, 1000, 1000)
# Far longer than any of these calls takes.
LONGEST_S = 20.0


class Site:
    """A service path over real connections to one target; calls aren't repeated."""

    def __init__(self, address: str, attempts: int = 1):
        timers, rng = TimerService(), random.Random(1)
        settings = default_settings(
            VM_NAME="vm-1", MAX_ATTEMPTS=attempts, STREAM_SILENT_S=LONGEST_S
        )
        core = build_core(settings, rng, timers)
        self._entry = VmEntry("laps-1", "service", address, "gijon", "live", {})
        self._timers = timers
        self.connections = TargetConnections(timers=timers)
        self._path = ServicePath(
            core=core,
            sent=SentAttempts(invariants=core.invariants),
            vm_list=self,
            admissions=Admissions(settings=settings, timers=timers, rng=rng),
            claims=None,
            retries=Retries(settings=settings, timers=timers, rng=rng),
            connections=self.connections,
        )

    def services(self, name):
        """Return the one target of each service."""
        return [self._entry]

    async def call(self, request_id: str, repeatable: bool = True):
        """Make a call; return the response or the failure."""
        call = ServiceCall(
            request_id,
            CALLER,
            "laps",
            "GET",
            "/laps",
            "",
            b"",
            repeatable,
            5,
            self._timers.now() + 2 * LONGEST_S,
            "",
        )
        outcome = await self._path.serve(call)
        return outcome.ok_value if outcome.is_ok() else outcome.err_value


async def test_a_refusal_of_another_attempt_does_not_refuse_the_call():
    """Guards against "not run" for a call that runs, by the refusal of another one."""
    refusal = response(503, "r0.1", b"", "length").replace(
        b"Content-Type", b"Ran: no\r\nContent-Type"
    )
    for attempt, kind in (
        (b"r0.1", ErrorKind.WRONG_ANSWER),
        (b"r1.1", ErrorKind.TARGET_REFUSED),
    ):
        async with ScriptedTarget([refusal.replace(b"r0.1", attempt)]) as target:
            failure = await Site(target.address).call("r1")
            assert failure.kind is kind


async def test_a_response_to_another_attempt_is_not_waited_for():
    """Guards against a call that waits for its deadline behind such a response."""
    for framing in ("length", "chunks", "close"):
        sent = response(200, "r0.1", b"of another attempt", framing)[:-6]
        async with ScriptedTarget([sent]) as target:
            calling = asyncio.ensure_future(Site(target.address).call("r1"))
            done, _ = await asyncio.wait([calling], timeout=LONGEST_S / 2)
            assert done, framing
            assert (await calling).kind is ErrorKind.WRONG_ANSWER
