"""The path of a call to a plain service, which runs beside the model engines.

A call that must not be repeated runs under a claim on its idempotency key and is sent
once, on a new connection. A repeatable call is retried within the same retry budget
as adapter requests.
"""

import asyncio
import hashlib
from typing import NamedTuple

from result import Err, Ok, Result
from tornado import httputil

from ..bundles.bundles import CallerTerms
from ..core_parts import CoreParts
from ..decisions.limits import Admissions
from ..decisions.retries import Retries
from ..engines.exchanges import (
    ATTEMPT_HEADER,
    Naming,
    ResponseHead,
    TargetConnections,
)
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..ownership.platforms import VmEntry, VmList
from .claim_rows import DONE
from .outcomes import OutcomeRecorder, failure_to_answer, may_have_run
from .request_claims import Keyed, Outcome, RequestClaims
from .sent_attempts import SentAttempts

MAX_SERVICE_ANSWER_BYTES = 8 << 20


class ServiceCall(NamedTuple):
    """One call to a plain service; ``deadline_at`` is on the timer service's clock."""

    request_id: str
    caller: CallerTerms
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    repeatable: bool
    priority: int
    deadline_at: float
    key: str
    key_issued_at: float | None = None

    @property
    def fingerprint(self) -> bytes:
        """A hash that is equal for all tries of the same call."""
        text = f"{self.caller.name}\n{self.service}\n{self.method}\n{self.path}\n"
        return hashlib.blake2b(text.encode() + self.body, digest_size=16).digest()


class ServiceAnswer(NamedTuple):
    """The complete answer of a service."""

    status: int
    content_type: str
    body: bytes
    target: str
    replayed: bool = False


class _BodyBuffer:
    """Buffers an answer's body; closes the exchange if it grows too large."""

    def __init__(self, exchange):
        self._exchange = exchange
        self._content = bytearray()
        self.too_large = False

    @property
    def content(self) -> bytes:
        """The bytes received."""
        return bytes(self._content)

    def on_data(self, data: bytes) -> None:
        """Handle bytes of the body, called by the exchange."""
        if len(self._content) + len(data) > MAX_SERVICE_ANSWER_BYTES:
            self.too_large = True
            self._exchange.close()
            return
        self._content += data


class ServicePath:
    """Serves calls to plain services."""

    def __init__(
        self,
        *,
        core: CoreParts,
        vm_list: VmList,
        admissions: Admissions,
        claims: RequestClaims,
        retries: Retries,
        connections: TargetConnections,
        sent: SentAttempts,
    ):
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._rng = core.rng
        self._vm_list = vm_list
        self._admissions = admissions
        self._claims = claims
        self._retries = retries
        self._connections = connections
        self._sent = sent
        self._outcomes = OutcomeRecorder(
            events=core.events, metrics=core.metrics, sent=sent
        )
        self._open: dict[str, int] = {}

    async def serve(self, call: ServiceCall) -> Result[ServiceAnswer, Failure]:
        """Serve one call; an error's kind states whether the call may have run."""
        admitted = self._admissions.admit(call.caller, call.priority)
        if isinstance(admitted, Err):
            return self._outcomes.record_refusal(call.request_id, admitted.err_value)
        try:
            outcome = await self._serve_admitted(call)
        finally:
            admitted.ok_value.release()
        if isinstance(outcome, Err):
            outcome = self._outcomes.record_refusal(call.request_id, outcome.err_value)
        else:
            self._outcomes.record_answer(call.request_id)
        self._sent.discard(call.request_id)
        return outcome

    async def _serve_admitted(self, call):
        if not call.key:
            return await self._try_targets(call)
        keyed = Keyed(
            call.caller.name,
            call.key,
            call.fingerprint,
            call.request_id,
            call.key_issued_at,
        )
        claimed = await self._claims.claim(keyed)
        if isinstance(claimed, Err):
            return claimed
        claim = claimed.ok_value
        if claim.state == DONE:
            return Ok(
                ServiceAnswer(claim.status, claim.content_type, claim.body, "", True)
            )
        answer = await self._try_targets(call)
        if isinstance(answer, Err):
            answer = Err(answer.err_value._replace(claim_read=True))
            outcome = Outcome.failed(answer.err_value)
        else:
            status, content_type, body, _, _ = answer.ok_value
            outcome = Outcome(DONE, status, content_type, body)
        await self._claims.record(keyed, outcome)
        return answer

    async def _try_targets(self, call) -> Result[ServiceAnswer, Failure]:
        self._retries.record_first_attempt()
        ran = False
        tried: set[str] = set()
        for number in range(1, self._settings["MAX_ATTEMPTS"] + 1):
            outcome = await self._attempt(call, number, tried)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            ran = ran or may_have_run(failure)
            if not await self._may_retry(call, failure, number):
                break
        return Err(failure_to_answer(failure, ran))

    async def _may_retry(self, call, failure: Failure, number: int) -> bool:
        allowed = failure.answer.retry or (
            call.repeatable and failure.kind is ErrorKind.TARGET_LOST
        )
        return allowed and await self._retries.wait(number, call.deadline_at)

    async def _attempt(self, call, number: int, tried: set[str]):
        entry = self._choose_target(call.service, tried)
        if entry is None:
            return Err(
                Failure(ErrorKind.NO_TARGET, f"no target runs {call.service}", 1.0)
            )
        tried.add(entry.name)
        left = call.deadline_at - self._timers.now()
        if left <= 0:
            return Err(Failure(ErrorKind.TOO_LATE_TO_START, "no time is left to run"))
        # A target may close a reused connection just as the call is written, so that
        # it is unknown whether the call ran. A call that must not be repeated
        # therefore gets a new connection.
        fresh = not call.repeatable or number > 1
        opened = await self._connections.open(entry.address, Naming.HEADER, fresh=fresh)
        if isinstance(opened, Err):
            return opened
        exchange = opened.ok_value
        attempt_id = f"{call.request_id}.{number}"
        self._open[entry.name] = self._open.get(entry.name, 0) + 1
        try:
            return await self._exchange(call, attempt_id, entry, exchange)
        finally:
            self._open[entry.name] -= 1
            head = exchange.head
            named = head is not None and head.headers.get(ATTEMPT_HEADER) == attempt_id
            exchange.release(named)

    async def _exchange(self, call, attempt_id: str, entry: VmEntry, exchange):
        headers = httputil.HTTPHeaders({ATTEMPT_HEADER: attempt_id})
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.key:
            headers["Idempotency-Key"] = call.key
        # The process may have been frozen while it connected. Sent after its caller
        # was answered, the call could run twice, since a later try may hold the key
        # (CLM-9). Nothing is awaited between this check and the send, and claims are
        # kept for twice the longest deadline.
        left = call.deadline_at - self._timers.now()
        if left <= 0:
            return Err(Failure(ErrorKind.TOO_LATE_TO_START, "no time is left to run"))
        self._events.emit(EventKind.REQUEST_SENT, attempt_id, target=entry.name)
        body = _BodyBuffer(exchange)
        silent_s = max(0.001, min(left, self._settings["STREAM_SILENT_S"]))
        self._sent.record_send(call.request_id, at_most_once=not call.repeatable)
        sent = await exchange.send(
            call.method, call.path, headers, call.body, body.on_data, silent_s
        )
        if isinstance(sent, Err):
            return Err(self._timed_out(call, sent.err_value))
        head = sent.ok_value
        # A response to another attempt says nothing about this one, not even that it
        # was refused, and its body may have no end.
        named = head.headers.get(ATTEMPT_HEADER, attempt_id)
        if named != attempt_id:
            exchange.close()
            self._events.emit(EventKind.ANSWER_DROPPED, attempt_id, named=named)
            return Err(Failure(ErrorKind.WRONG_ANSWER, "the answer was crossed"))
        ended = await self._read(call, exchange, silent_s)
        if body.too_large:
            detail = f"{entry.name} answered more than {MAX_SERVICE_ANSWER_BYTES} bytes"
            return Err(Failure(ErrorKind.ANSWER_CUT, detail))
        if isinstance(ended, Err):
            return Err(self._timed_out(call, ended.err_value))
        return self._judge(call, entry, head, body.content)

    def _judge(self, call, entry: VmEntry, head: ResponseHead, body: bytes):
        """Return what a whole response to the attempt means for its call."""
        if head.status == 503 and head.headers.get("Ran", "").lower() == "no":
            self._sent.record_not_run(call.request_id)
            detail = f"{entry.name} refused the call"
            return Err(Failure(ErrorKind.TARGET_REFUSED, detail, 1.0))
        if head.status >= 500:
            detail = f"{entry.name} answered {head.status}"
            return Err(Failure(ErrorKind.TARGET_LOST, detail))
        content_type = head.headers.get("Content-Type", "application/octet-stream")
        return Ok(ServiceAnswer(head.status, content_type, body, entry.name))

    async def _read(self, call, exchange, silent_s: float) -> Result[None, Failure]:
        """Read the answer until its end or the deadline.

        A service that sends a byte now and then is never silent: without the deadline
        it would keep its caller's request open forever.
        """
        left = max(0.001, call.deadline_at - self._timers.now())
        try:
            return await asyncio.wait_for(exchange.read_to_end(silent_s), left)
        except TimeoutError:
            exchange.close()
            return Err(Failure(ErrorKind.DEADLINE_PASSED, "the deadline passed"))

    def _timed_out(self, call, failure: Failure) -> Failure:
        if self._timers.now() < call.deadline_at:
            return failure
        return Failure(ErrorKind.DEADLINE_PASSED, failure.detail)

    def _choose_target(self, service: str, tried: set[str]) -> VmEntry | None:
        """Return the one of two random targets that has fewer open calls."""
        live = [entry for entry in self._vm_list.services(service)]
        usable = [entry for entry in live if entry.state == "live"]
        fresh = [entry for entry in usable if entry.name not in tried] or usable
        if not fresh:
            return None
        picked = self._rng.sample(fresh, min(2, len(fresh)))
        return min(picked, key=lambda entry: self._open.get(entry.name, 0))
