"""One attempt of a request at one target.

Each attempt has its own id, which its answer must name: a late or crossed answer to
another attempt is never accepted. An attempt starts only under a grant, whose expiry
is checked right before the send. Each failure kind states whether the request may
have run (docs/not-run.md).
"""

import asyncio
import json
from collections.abc import Awaitable
from typing import NamedTuple, Protocol

from result import Err, Ok
from tornado import httputil

from ..bundles.bundles import Assignment
from ..core_parts import CoreParts
from ..engines.exchanges import Exchange, Naming, TargetConnections
from ..engines.grants import Grant
from ..engines.targets import TargetClients
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..invariants import Invariants
from ..metrics import Metrics
from .relays import AnswerCheck, Expected, token_count
from .sent_attempts import SentAttempts

MAX_REFUSAL_BYTES = 65536
CHECK_INTERVAL_S = 0.25


class Sink(Protocol):
    """The destination of an answer: the caller's stream, or a buffer."""

    @property
    def gone(self) -> bool:
        """Whether the caller has left."""

    def write(self, events: bytes) -> Awaitable[None] | None:
        """Accept whole token events; a returned future pauses reading the target."""


class AttemptCall(NamedTuple):
    """The parameters of one attempt.

    ``offset`` is the index of the first token wanted, ``deadline_at`` is on the timer
    service's clock. ``fresh`` requires a new connection; ``at_most_once`` marks a
    request that must not be sent twice.
    """

    attempt_id: str
    target: str
    address: str
    assignment: Assignment
    prompt: str
    max_tokens: int
    offset: int
    priority: int
    deadline_at: float
    fresh: bool
    request_id: str
    at_most_once: bool


class AttemptEnd(NamedTuple):
    """How an attempt ended: ``failure`` is None when its answer was complete.

    ``next_index`` is the offset from which a resumed attempt must start.
    """

    failure: Failure | None
    next_index: int


class AttemptRunner:
    """Runs attempts; each call of ``run`` is one attempt."""

    def __init__(
        self,
        *,
        core: CoreParts,
        connections: TargetConnections,
        clients: TargetClients,
        sent: SentAttempts,
    ):
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._metrics = core.metrics
        self._invariants = core.invariants
        self._connections = connections
        self._clients = clients
        self._sent = sent

    async def run(self, call: AttemptCall, grant: Grant, sink: Sink) -> AttemptEnd:
        """Run one attempt until it succeeds or fails."""
        opened = await self._connections.open(
            call.address, Naming.EVENTS, fresh=call.fresh
        )
        if isinstance(opened, Err):
            return self._record_end(call, opened.err_value, call.offset)
        exchange = opened.ok_value
        # The process may have been frozen while it connected. Deadline and grant are
        # checked again here, with nothing awaited between the check and the send.
        # Otherwise a request could run after its caller was answered, when a later
        # try may hold its key (CLM-9), or after its grant expired (GRA-2). Claims are
        # kept for twice the longest deadline.
        if self._timers.now() >= call.deadline_at:
            exchange.close()
            failure = Failure(ErrorKind.TOO_LATE_TO_START, "no time is left to run")
            return self._record_end(call, failure, call.offset)
        started = grant.start(call.attempt_id)
        if isinstance(started, Err):
            exchange.close()
            return self._record_end(call, started.err_value, call.offset)
        self._sent.record_send(call.request_id, call.at_most_once)
        check = _check_of(call)
        whole = ended = False
        try:
            end = await self._exchange(call, exchange, check, sink)
            whole = end.failure is None
            begun = exchange.head is not None and (check.begun or not exchange.reused)
            ended = whole or await self._confirm_stopped(call, begun, end.failure)
        finally:
            exchange.release(named=whole)
            grant.finish(call.attempt_id, ended=ended)
        return self._record_end(call, end.failure, end.next_index)

    async def _confirm_stopped(
        self, call: AttemptCall, begun: bool, failure: Failure
    ) -> bool:
        """Return whether the target is known to have stopped a failed attempt.

        A closed connection alone proves nothing: the target may keep running until
        it notices. A cancel that it answered is proof and frees the grant at once.

        GRA-6: a cancel counts only if the answer had ``begun``. It uses a connection of
        its own and may overtake a request that is still in transit. The target then
        does not know the request, runs it later, and the owner evicts the adapter
        while it is in use. On a reused connection a head proves no beginning, since it
        may be that of the copy of an earlier answer.
        """
        if failure.kind is ErrorKind.TARGET_REFUSED:
            self._sent.record_not_run(call.request_id)
            return True
        cancelled = await self._clients.client(call.address).cancel(call.attempt_id)
        return isinstance(cancelled, Ok) and begun

    async def _exchange(
        self, call: AttemptCall, exchange: Exchange, check: AnswerCheck, sink: Sink
    ) -> AttemptEnd:
        assignment = call.assignment
        receiver = _Receiver(check, sink, exchange, self._metrics, self._invariants)
        self._events.emit(
            EventKind.REQUEST_SENT,
            call.attempt_id,
            target=call.target,
            adapter=assignment.adapter,
            version=assignment.version,
        )
        left = call.deadline_at - self._timers.now()
        headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
        sent = await exchange.send(
            "POST",
            "/v1/completions",
            headers,
            _body(call),
            receiver.on_data,
            max(0.001, min(left, self._settings["STREAM_SILENT_S"])),
        )
        if isinstance(sent, Err):
            failure = self._timed_out(call, sent.err_value)
            return AttemptEnd(failure, check.next_index)
        read_failure = await self._read(call, exchange, receiver)
        return AttemptEnd(receiver.final_failure(read_failure), check.next_index)

    async def _read(
        self, call: AttemptCall, exchange: Exchange, receiver: "_Receiver"
    ) -> Failure | None:
        """Read until the answer ends, stalls, is abandoned or passes the deadline."""
        silent_s = self._settings["STREAM_SILENT_S"]
        reading = asyncio.ensure_future(exchange.read_to_end(silent_s))
        while not reading.done():
            now = self._timers.now()
            if receiver.failure is not None:
                exchange.close()
                break
            if receiver.caller_gone:
                exchange.close()
                return Failure(ErrorKind.CALLER_GONE, "the caller went away")
            if now >= call.deadline_at:
                exchange.close()
                return Failure(ErrorKind.DEADLINE_PASSED, "the deadline passed")
            left = min(CHECK_INTERVAL_S, call.deadline_at - now)
            await asyncio.wait([reading], timeout=max(0.001, left))
        result = await reading
        return None if isinstance(result, Ok) else result.err_value

    def _timed_out(self, call: AttemptCall, failure: Failure) -> Failure:
        if self._timers.now() < call.deadline_at:
            return failure
        return Failure(ErrorKind.DEADLINE_PASSED, failure.detail)

    def _record_end(
        self, call: AttemptCall, failure: Failure | None, next_index: int
    ) -> AttemptEnd:
        result = "whole" if failure is None else failure.kind.value
        self._metrics.attempts.labels(result).inc()
        if failure is not None and failure.kind is ErrorKind.WRONG_ANSWER:
            self._events.emit(
                EventKind.ANSWER_DROPPED, call.attempt_id, detail=failure.detail
            )
        return AttemptEnd(failure, next_index)


class _Receiver:
    """Receives the bytes of one answer and forwards the events that pass the check."""

    def __init__(
        self,
        check: AnswerCheck,
        sink: Sink,
        exchange: Exchange,
        metrics: Metrics,
        invariants: Invariants,
    ):
        self._check = check
        self._sink = sink
        self._exchange = exchange
        self._relayed = metrics.relayed
        self._invariants = invariants
        self._refusal = b""
        self.failure: Failure | None = None

    @property
    def caller_gone(self) -> bool:
        """Whether the caller has left."""
        return self._sink.gone

    def on_data(self, data: bytes) -> Awaitable[None] | None:
        """Handle bytes of the body, called by the exchange."""
        if self.failure is not None:
            return None
        if self._is_refusal():
            self._refusal = (self._refusal + data)[:MAX_REFUSAL_BYTES]
            return None
        before = self._check.next_index
        checked = self._check.feed(data)
        if isinstance(checked, Err):
            self.failure = checked.err_value
            self._exchange.close()
            return None
        self._relayed.inc(self._check.next_index - before)
        if not checked.ok_value:
            return None
        self._check_invariants(checked.ok_value, self._check.next_index - before)
        return self._sink.write(checked.ok_value)

    def _check_invariants(self, events: bytes, counted: int) -> None:
        """Check that the events are of the expected answer and all counted."""
        expected = self._check.expected
        self._invariants.check(
            "answer-names-its-assignment",
            self._check.named == expected.named,
            f"{expected.attempt_id}: {self._check.named}",
        )
        self._invariants.check(
            "tokens-counted", token_count(events) == counted, expected.attempt_id
        )

    def final_failure(self, read_failure: Failure | None) -> Failure | None:
        """Return why the attempt failed, None if its answer was complete."""
        if self.failure is not None:
            return self.failure
        if self._is_refusal() and read_failure is None:
            return _refused(self._exchange.head.status, self._refusal)
        if self._check.done:
            return None
        if read_failure is not None:
            return read_failure
        return Failure(ErrorKind.ANSWER_CUT, "the answer ended without its end marker")

    def _is_refusal(self) -> bool:
        head = self._exchange.head
        return head is not None and head.status != 200


def _refused(status: int, body: bytes) -> Failure:
    """Parse a refusal; only ``"ran": false`` in it proves that nothing ran."""
    try:
        refusal = json.loads(body)
        not_run = refusal["ran"] is False
        detail = str(refusal.get("error", status))
    except (ValueError, KeyError, TypeError, AttributeError):
        not_run = False
        detail = f"status {status}"
    if not_run:
        return Failure(ErrorKind.TARGET_REFUSED, detail)
    return Failure(ErrorKind.TARGET_LOST, detail)


def _check_of(call: AttemptCall) -> AnswerCheck:
    named = call.assignment
    return AnswerCheck(
        Expected(call.attempt_id, named.adapter, named.version, call.offset)
    )


def _body(call: AttemptCall) -> bytes:
    body = {
        "id": call.attempt_id,
        "adapter": call.assignment.adapter,
        "version": call.assignment.version,
        "base_model": call.assignment.base_model,
        "prompt": call.prompt,
        "max_tokens": call.max_tokens,
        "stream": True,
        "offset": call.offset,
        "priority": call.priority,
    }
    return json.dumps(body).encode()
