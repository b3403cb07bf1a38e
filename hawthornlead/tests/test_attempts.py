"""Tests of how an attempt reports its end to its grant."""

import json
from types import SimpleNamespace

import pytest
from result import Err, Ok

from hawthornlead.callers.attempts import AttemptCall, AttemptRunner
from hawthornlead.callers.sent_attempts import SentAttempts
from hawthornlead.errors import ErrorKind, Failure

from .fakes_targets import make_parts
from .fakes_worlds import Assigned

LOST = Failure(ErrorKind.TARGET_LOST, "the connection broke")


class _Exchange:
    """A connection that breaks before or after the answer has started."""

    def __init__(self, head, reused=False, named=None):
        self.head = head
        self.reused = reused
        self._named = named
        self.kept = None

    async def send(self, method, path, headers, body, on_data, head_timeout_s):
        if self._named is not None:
            event = {"id": self._named, "adapter": "tide", "version": "1", "offset": 0}
            on_data(b"data: " + json.dumps(event).encode() + b"\n\n")
        return Err(LOST) if self.head is None else Ok(self.head)

    async def read_to_end(self, silent_s):
        return Err(LOST)

    def release(self, named):
        """Record whether the connection may be kept."""
        self.kept = named

    def close(self):
        """Do nothing; it is closed already."""


class _Grant:
    def __init__(self):
        self.ended = None

    def start(self, attempt_id):
        return Ok(None)

    def finish(self, attempt_id, *, ended=False):
        self.ended = ended


@pytest.mark.parametrize(
    ("begun", "cancelled", "ended"),
    [
        (False, Ok(None), False),
        (True, Ok(None), True),
        (True, Err(LOST), False),
    ],
)
async def test_cancel_that_overtakes_its_request(begun, cancelled, ended):
    """A connection breaks while the request is in transit to the target.

    The cancel uses a new connection, arrives first and is answered. If the grant were
    released now, the owner could evict the adapter while the request arrives and runs.
    """
    head = SimpleNamespace(status=200) if begun else None
    assert await ended_grant(_Exchange(head), cancelled) is ended


@pytest.mark.parametrize(
    ("named", "ended"), [(None, False), ("r0.1", False), ("r1.1", True)]
)
async def test_a_copy_of_an_earlier_answer_is_no_beginning(named, ended):
    """Guards against an eviction below a request that is still in transit.

    On a reused connection the copy of an earlier answer arrives while the request is on
    its way. It proves nothing of the request, so that a cancel may have overtaken it.
    """
    exchange = _Exchange(SimpleNamespace(status=200), reused=True, named=named)
    assert await ended_grant(exchange, Ok(None)) is ended


async def ended_grant(exchange: _Exchange, cancelled) -> bool:
    """Run an attempt that fails; return whether its grant counts it as ended."""

    async def open_connection(address, naming, fresh):
        return Ok(exchange)

    async def cancel(request_id):
        return cancelled

    client = SimpleNamespace(cancel=cancel)
    parts = make_parts()
    runner = AttemptRunner(
        core=parts,
        connections=SimpleNamespace(open=open_connection),
        clients=SimpleNamespace(client=lambda address: client),
        sent=SentAttempts(invariants=parts.invariants),
    )
    until = parts.timers.now() + 100
    call = AttemptCall(
        "r1.1",
        "engine",
        "",
        Assigned("tide"),
        "tide?",
        5,
        0,
        0,
        until,
        False,
        "r1",
        True,
    )
    grant = _Grant()
    sink = SimpleNamespace(gone=False, write=lambda events: None)
    end = await runner.run(call, grant, sink)
    assert end.failure is not None
    assert exchange.kept is False
    return grant.ended
