"""Tests of attempts that are too late to be sent."""

import asyncio
import random

from result import Ok

from hawthornlead.bundles.bundles import Assignment
from hawthornlead.callers.attempts import AttemptCall, AttemptRunner
from hawthornlead.callers.sent_attempts import SentAttempts
from hawthornlead.core_parts import build_core
from hawthornlead.errors import ErrorKind
from hawthornlead.settings import default_settings
from hawthornlead.tests.fakes_exchanges import FakeConnections
from hawthornlead.timers import ManualTimerService


class FakeGrant:
    """A grant that never expires."""

    def __init__(self):
        self.begun = []

    def start(self, attempt_id):
        """Record the attempt."""
        self.begun.append(attempt_id)
        return Ok(None)


async def test_an_attempt_frozen_while_it_connects_is_not_sent():
    """The VM is frozen between connecting and sending until after the deadline.

    The caller may have retried elsewhere successfully: sent now, the request would
    run twice. The grant may still be valid, since it is renewed on waking.
    """
    timers = ManualTimerService()
    core = build_core(default_settings(VM_NAME="vm-1"), random.Random(1), timers)
    connections = FakeConnections(timers)
    connections.open_s = 6.0
    runner = AttemptRunner(
        core=core,
        connections=connections,
        clients=None,
        sent=SentAttempts(invariants=core.invariants),
    )
    assignment = Assignment("tides", "v1", "base", 5)
    deadline_at = timers.now() + 5
    call = AttemptCall(
        "r1.1", "t1", "a:1", assignment, "?", 8, 3, 5, deadline_at, True, "r1", True
    )
    grant = FakeGrant()
    running = asyncio.create_task(runner.run(call, grant, sink=None))
    await asyncio.sleep(0)
    await timers.advance(7)
    end = await running
    assert end.failure.kind is ErrorKind.TOO_LATE_TO_START
    assert (end.next_index, grant.begun, connections.sent) == (3, [], [])
