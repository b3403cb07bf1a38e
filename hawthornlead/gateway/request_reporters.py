"""Reports on one request: answers to its caller, log events and metrics."""

from ..errors import Failure
from ..events import EventKind
from ..platform.headers import answer_headers, refusal_headers
from ..promises.run_ledgers import RunLedger
from .attempt_outcomes import AttemptOutcome, Unreached
from .caller_calls import CallerCall
from .gateway_parts import GatewayParts
from .placers import Placed
from .records import CallerRequest, Loss, TargetEntry
from .request_signatures import RequestSignature
from .stream_relays import CallerStream, StreamRelay
from .target_connections import ExchangeTrace, WholeAnswer
from .vm_relays import RelayOutcome

REASONS = {
    401: "Unauthorized",
    404: "Not Found",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


class RequestReporter:
    """Reports the progress and the end of one request.

    The ``signature`` is by what the request is recognised when it is sent again, and
    the ``ledger`` knows whether it may have run.
    """

    def __init__(
        self,
        parts: GatewayParts,
        call: CallerCall,
        request: CallerRequest,
        stream: CallerStream,
        signature: RequestSignature,
        ledger: RunLedger,
    ):
        self._signature = signature
        self._ledger = ledger
        self._parts = parts
        self._call = call
        self._request = request
        self._stream = stream

    def placed(self, placed: Placed) -> None:
        """Report which target the request goes to, and why."""
        candidate = placed.candidate
        self._emit(
            EventKind.REQUEST_PLACED,
            target=candidate.target,
            adapter=self._request.adapter,
            holding=candidate.holding.value,
            running=candidate.running,
            slots=candidate.slots,
            cost_ms=round(placed.cost_ms),
            tries=placed.tries,
            load_ms=None if placed.load_s is None else round(1000 * placed.load_s),
            turn_ms=None if placed.turn_s is None else round(1000 * placed.turn_s),
            after_ms=self._since_ms(self._call.arrived_at),
            software=placed.entry.software,
            digest=self._signature.fingerprint.hex(),
            parts=" ".join(self._signature.parts) or None,
            resumes=self._request.resumes or None,
            last=self._stream.last_event or self._request.last_event or None,
        )

    def relayed(self, vm: str, service: str, outcome: RelayOutcome) -> None:
        """Report that another VM was asked to serve the request, and the outcome."""
        self._parts.metrics.relays.labels(outcome.value).inc()
        if outcome is RelayOutcome.DONE:
            self._count("relayed", "")
        self._emit(
            EventKind.REQUEST_RELAYED,
            to=vm,
            service=service,
            outcome=outcome.value,
            sent=self._ledger.sent,
            ran=self._ledger.ran,
            after_ms=self._since_ms(self._call.arrived_at),
        )

    def caller_gone(self, target: str) -> None:
        """Report that the caller left while a target had its request."""
        after_ms = self._since_ms(self._call.arrived_at)
        self._count("caller gone", "")
        self._emit(EventKind.CALLER_GONE, target=target, after_ms=after_ms)

    def attempt_failed(
        self,
        target: str,
        outcome: AttemptOutcome,
        remaining_s: float,
        proof: Loss | None,
        unreached: Unreached | None,
        trace: ExchangeTrace | None,
    ) -> None:
        """Report how an attempt failed.

        ``remaining_s`` is the time left before the deadline, ``proof`` by what its
        target counts as lost, ``unreached`` why nothing was sent there, and ``trace``
        on which connection it was sent.
        """
        self._parts.metrics.attempts.labels(outcome.value).inc()
        if trace is not None and trace.fault is not None:
            self._parts.metrics.broken_answers.labels(trace.fault).inc()
        self._emit(
            EventKind.ATTEMPT_FAILED,
            target=target,
            ending=outcome.value,
            proof=proof and proof.value,
            unreached=unreached and unreached.value,
            **(trace._asdict() if trace is not None else {}),
            sent=self._ledger.sent,
            ran=self._ledger.ran,
            left_ms=round(1000 * remaining_s),
        )

    def served(
        self,
        entry: TargetEntry,
        status: int,
        relay: StreamRelay | None,
        trace: ExchangeTrace,
    ) -> None:
        """Report that the caller has its complete answer, and from which connection."""
        arrived_at = self._call.arrived_at
        first_ms = gap_ms = None
        if relay is not None and relay.first_at is not None:
            first_ms = round(1000 * (relay.first_at - arrived_at))
            self._parts.metrics.first_event.observe(relay.first_at - arrived_at)
            self._parts.metrics.longest_gap.observe(relay.longest_gap_s)
            gap_ms = round(1000 * relay.longest_gap_s)
        self._count("served", "")
        self._emit(
            EventKind.REQUEST_SERVED,
            target=entry.target,
            status=status,
            first_ms=first_ms,
            gap_ms=gap_ms,
            took_ms=self._since_ms(arrived_at),
            events=self._stream.events,
            sent=self._ledger.sent,
            connection=trace.connection,
            use=trace.use,
            strays=trace.strays,
        )

    def answer(self, answer: WholeAnswer) -> None:
        """Forward a target's complete answer."""
        head = answer.head
        headers = answer_headers(head.headers)
        self._call.answer(head.status, head.reason, headers, answer.body)

    def refuse(self, failure: Failure) -> None:
        """Answer with a failure, unless an answer was started or the caller left.

        No other code answers with a promise of its own that the request has not run.
        """
        if self._call.left or self._call.answered:
            return
        truthful = self._ledger.truthful(failure)
        if truthful is not failure:
            self._emit(EventKind.PROMISE_WITHHELD, failure=failure.kind.value)
        failure = truthful
        status = failure.answer.status
        self._count("turned down", failure.kind.value)
        self._emit(
            EventKind.REQUEST_TURNED_DOWN,
            status=status,
            failure=failure.kind.value,
            detail=failure.detail,
            retry_after_s=failure.retry_after_s,
            adapter=self._request.adapter,
            sent=self._ledger.sent,
            ran=self._ledger.ran,
            after_ms=self._since_ms(self._call.arrived_at),
        )
        headers = refusal_headers(self._request.request_id, failure.retry_after_s)
        reason = REASONS.get(status, "Refused")
        self._call.answer(status, reason, headers, failure.detail.encode())

    def cut(self, cause: str) -> None:
        """Abort an answer that was started and can't be completed."""
        self._count("cut", cause)
        events, last = self._stream.events, self._stream.last_event
        self._emit(EventKind.ANSWER_CUT, cause=cause, events=events, last=last)
        self._call.abort()

    def _emit(self, kind: EventKind, **fields) -> None:
        self._parts.events.emit(kind, self._request.request_id, **fields)

    def _count(self, outcome: str, cause: str) -> None:
        self._parts.metrics.requests.labels(outcome, cause).inc()

    def _since_ms(self, at: float) -> int:
        return round(1000 * (self._parts.timers.now() - at))
