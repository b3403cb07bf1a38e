"""Tests of which responses a call to a plain service takes for its own."""

import asyncio
import contextlib
import random
import re

import pytest

from hawthornlead.bundles.bundles import CallerTerms
from hawthornlead.callers.sent_attempts import SentAttempts
from hawthornlead.callers.service_calls import ServiceCall, ServicePath
from hawthornlead.core_parts import build_core
from hawthornlead.decisions.limits import Admissions
from hawthornlead.decisions.retries import Retries
from hawthornlead.engines.exchanges import Naming, TargetConnections
from hawthornlead.errors import ErrorKind
from hawthornlead.ownership.platforms import VmEntry
from hawthornlead.settings import default_settings
from hawthornlead.timers import TimerService

from .standins.scripted_target import ScriptedTarget
from .test_exchange_responses import ask, response

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


class RepeatingService:
    """A service that sends each response a second time, where the next one is due.

    The body is the attempt that the request has named; the header names it, too, if
    ``named``.
    """

    def __init__(self, named: bool):
        self._named = named
        self.address = ""

    async def __aenter__(self) -> "RepeatingService":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *error) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        copy = b""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                attempt = re.search(rb"Hawthornlead-Attempt: (\S+)", request)[1]
                name = attempt.decode() if self._named else ""
                sent = response(200, name, attempt, "length")
                writer.write(copy + sent)
                copy = sent
        writer.close()


CALLS = 20


def numbered(named: bool) -> list[bytes]:
    """Return the responses to the first attempts of calls, one after the other."""
    return [
        response(200, f"r{number}.1" if named else "", b"%d" % number, "length")
        for number in range(CALLS)
    ]


async def test_the_copy_of_a_response_is_no_response_to_the_next_call():
    """Guards against a caller that gets what the call before it was answered."""
    for named in (False, True):
        async with RepeatingService(named) as service:
            site = Site(service.address)
            for number in range(6):
                outcome = await site.call(f"r{number}")
                if named and number % 2:
                    assert outcome.kind is ErrorKind.WRONG_ANSWER
                else:
                    assert outcome.body == b"r%d.1" % number


@pytest.mark.parametrize(("named", "opened"), [(True, 1), (False, CALLS)])
async def test_connections_opened_for_calls_to_a_service(named, opened):
    """Guards against reuse that can't tell a copy, and against none where one can."""
    answers = numbered(named) if named else [response(200, "", b"x", "length")]
    async with ScriptedTarget(answers) as target:
        site = Site(target.address)
        for number in range(CALLS):
            assert (await site.call(f"r{number}")).status == 200
        assert site.connections.opened == opened


async def test_a_connection_kept_by_another_path_carries_no_call_to_a_service():
    """Guards against the copy of an engine's response, which names no call.

    An engine names the attempt in the events of its body, where calls don't look.
    """
    first, second = numbered(named=False)[:2]
    async with ScriptedTarget([first, first + second]) as target:
        site = Site(target.address)
        exchange = (await site.connections.open(target.address, Naming.EVENTS)).ok_value
        await ask(exchange)
        exchange.release(named=True)
        assert (await site.call("r1")).status == 200
        assert site.connections.opened == 2
