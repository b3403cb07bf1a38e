"""The path of an adapter request: admit, assign, route, get a grant, send, retry.

A request is assigned at its admission: the bundle in force at that moment determines
its adapter and version, and a later roll does not change them.
"""

import hashlib
from typing import NamedTuple

from result import Err, Ok, Result

from ..bundles.bundles import Assignment, CallerTerms
from ..bundles.rolls import BundleKeeper, InForce
from ..core_parts import CoreParts
from ..decisions.limits import Admissions
from ..decisions.popularities import Popularity
from ..decisions.popularity_exchanges import PopularityExchange
from ..decisions.retries import Retries
from ..decisions.routers import Router
from ..decisions.suspects import Suspects
from ..decisions.views import TargetView, TargetViews
from ..engines.grants import Grant, Grants
from ..engines.hot_copies import HotCopies
from ..engines.suspect_reservations import SuspectReservations
from ..engines.target_deaths import TargetDeaths
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..messages import Claimed
from .attempts import AttemptCall, AttemptEnd, AttemptRunner, Sink
from .claim_rows import DONE
from .grant_rounds import Granted, GrantRounds, Try
from .outcomes import OutcomeRecorder, failure_to_answer, may_have_run
from .request_claims import Keyed, Outcome, RequestClaims
from .sent_attempts import SentAttempts

# Errors after which a repeatable request may be retried although it may have run:
# the attempt has ended, and the tokens that were forwarded are counted.
RESUMABLE = frozenset(
    {ErrorKind.TARGET_LOST, ErrorKind.ANSWER_CUT, ErrorKind.WRONG_ANSWER}
)
# Interval at which a suspect retries while other suspects run on all its targets.
SUSPECT_RETRY_S = 0.1
NO_TARGET_FOR_SUSPECT = Failure(
    ErrorKind.NO_TARGET, "it may run only where no other suspect does", 1.0
)


class CallerRequest(NamedTuple):
    """A request as its caller sent it, with its priority and deadline resolved.

    ``deadline_at`` is on the timer service's clock. ``key`` is the idempotency key,
    empty for a request that may be repeated; ``key_issued_at`` is in seconds since
    the epoch by the caller's clock, None if the caller did not send it.
    """

    request_id: str
    caller: CallerTerms
    alias: str
    prompt: str
    max_tokens: int
    priority: int
    deadline_at: float
    key: str
    in_force: InForce
    key_issued_at: float | None = None

    @property
    def fingerprint(self) -> bytes:
        """A hash that is equal for all tries of the same request."""
        text = f"{self.caller.name}\n{self.alias}\n{self.max_tokens}\n{self.prompt}"
        return hashlib.blake2b(text.encode(), digest_size=16).digest()


class AnswerHead(NamedTuple):
    """Where an answer comes from; the caller gets this before the first token."""

    request_id: str
    adapter: str
    version: str
    target: str
    bundle_seq: int


class RequestSink(Sink):
    """A sink that also gets the head of the answer."""

    started: bool
    count: int

    def set_head(self, head: AnswerHead) -> None:
        """Set where the answer comes from; a later call replaces an earlier one."""


class RecordedAnswer(NamedTuple):
    """The recorded outcome of an earlier try with the same idempotency key."""

    claimed: Claimed


class Routing(NamedTuple):
    """The parts that choose targets for a request and acquire grants on them."""

    views: TargetViews
    router: Router
    popularity: Popularity
    grants: Grants


class CrashParts(NamedTuple):
    """The parts that keep a request that crashes its target from crashing others."""

    suspects: Suspects
    deaths: TargetDeaths
    suspect_reservations: SuspectReservations


class RequestPath:
    """Serves requests for adapters; one call of ``serve`` is one request."""

    def __init__(
        self,
        *,
        core: CoreParts,
        keeper: BundleKeeper,
        admissions: Admissions,
        routing: Routing,
        crashes: CrashParts,
        claims: RequestClaims,
        retries: Retries,
        shares: PopularityExchange,
        hot_copies: HotCopies,
        attempts: AttemptRunner,
        sent: SentAttempts,
    ):
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._metrics = core.metrics
        self._invariants = core.invariants
        self._keeper = keeper
        self._admissions = admissions
        self._rounds = GrantRounds(
            settings=core.settings,
            timers=core.timers,
            metrics=core.metrics,
            grants=routing.grants,
        )
        self._claims = claims
        self._retries = retries
        self._suspects = crashes.suspects
        self._deaths = crashes.deaths
        self._suspect_reservations = crashes.suspect_reservations
        self._routing = routing
        self._shares = shares
        self._hot_copies = hot_copies
        self._attempts = attempts
        self._sent = sent
        self._outcomes = OutcomeRecorder(
            events=core.events, metrics=core.metrics, sent=sent
        )

    async def serve(
        self, request: CallerRequest, sink: RequestSink
    ) -> Result[RecordedAnswer | None, Failure]:
        """Serve one request; ``None`` means that the sink got the complete answer.

        The kind of an error states correctly whether the request may have run.
        """
        admitted = self._admissions.admit(request.caller, request.priority)
        if isinstance(admitted, Err):
            return self._outcomes.record_refusal(request.request_id, admitted.err_value)
        self._metrics.open_requests.inc()
        try:
            return await self._serve_admitted(request, sink)
        finally:
            self._metrics.open_requests.dec()
            self._sent.discard(request.request_id)
            admitted.ok_value.release()

    async def _serve_admitted(self, request, sink):
        assigned = request.in_force.bundle.assign(request.caller, request.alias)
        if isinstance(assigned, Err):
            return self._outcomes.record_refusal(request.request_id, assigned.err_value)
        allowed = self._suspects.check(request.fingerprint)
        if isinstance(allowed, Err):
            return self._outcomes.record_refusal(request.request_id, allowed.err_value)
        assignment = assigned.ok_value
        newest = request.in_force.seq >= self._keeper.seq_in_force
        self._invariants.check("admitted-under-newest", newest, request.request_id)
        self._shares.observe(assignment.adapter)
        self._hot_copies.consider(assignment)
        self._events.emit(
            EventKind.REQUEST_ADMITTED,
            request.request_id,
            caller=request.caller.name,
            adapter=assignment.adapter,
            version=assignment.version,
            bundle=request.in_force.seq,
        )
        if not request.key:
            outcome = await self._try_targets(request, assignment, sink)
            return self._finish(request, outcome)
        return await self._serve_once(request, assignment, sink)

    async def _serve_once(self, request, assignment, sink):
        """Serve a request that runs at most once, under a claim on its key."""
        keyed = Keyed(
            request.caller.name,
            request.key,
            request.fingerprint,
            request.request_id,
            request.key_issued_at,
        )
        claimed = await self._claims.claim(keyed)
        if isinstance(claimed, Err):
            return self._outcomes.record_refusal(request.request_id, claimed.err_value)
        if claimed.ok_value.state == DONE:
            return Ok(RecordedAnswer(claimed.ok_value))
        failure = await self._try_targets(request, assignment, sink)
        if failure is None:
            # A streamed answer is not stored: a later try learns only that it ran.
            body = sink.recorded_body()
            outcome = Outcome(DONE, 200, "application/json" if body else "", body)
        else:
            failure = failure._replace(claim_read=True)
            outcome = Outcome.failed(failure)
        await self._claims.record(keyed, outcome)
        return self._finish(request, failure)

    async def _try_targets(
        self, request: CallerRequest, assignment: Assignment, sink: RequestSink
    ) -> Failure | None:
        """Try targets until one answers completely or no further try is allowed."""
        offset = 0
        ran = False
        tried: set[str] = set()
        self._retries.record_first_attempt()
        for number in range(1, self._settings["MAX_ATTEMPTS"] + 1):
            granted = await self._grant(request, assignment, tried)
            if isinstance(granted, Err):
                failure = granted.err_value
                end = AttemptEnd(failure, offset)
            else:
                one_try, grant = granted.ok_value
                tried.add(one_try.view.target)
                end = await self._attempt(
                    request, assignment, one_try, grant, offset, number, sink
                )
                failure = end.failure
            if failure is None:
                return self._check_count(request, end, sink)
            offset = end.next_index
            ran = ran or may_have_run(failure)
            if not await self._may_retry(request, failure, number):
                break
            self._events.emit(
                EventKind.REQUEST_RETRIED, request.request_id, after=failure.kind.value
            )
        return failure_to_answer(failure, ran)

    def _check_count(self, request, end: AttemptEnd, sink) -> Failure | None:
        """Check that all tokens which the target counted went to the caller.

        An answer over several attempts could lack tokens although each end marker was
        right, if an attempt started beyond the last token that was forwarded.
        """
        detail = f"{request.request_id}: {sink.count} of {end.next_index}"
        whole = sink.count == end.next_index
        if self._invariants.check("whole-answer-counted", whole, detail):
            return None
        return Failure(ErrorKind.WRONG_ANSWER, f"tokens are missing: {detail}")

    async def _may_retry(self, request, failure: Failure, number: int) -> bool:
        """Wait for the backoff and return whether another attempt may start."""
        repeatable = not request.key
        allowed = failure.answer.retry or (repeatable and failure.kind in RESUMABLE)
        if not allowed or not await self._retries.wait(number, request.deadline_at):
            return False
        # A request that crashes its targets was admitted before its first crash. Its
        # own attempts quarantine it, so it must be checked again before each retry.
        return self._suspects.check(request.fingerprint).is_ok()

    async def _attempt(
        self, request, assignment, one_try: Try, grant: Grant, offset, number, sink
    ) -> AttemptEnd:
        view = one_try.view
        attempt_id = f"{request.request_id}.{number}"
        sink.set_head(
            AnswerHead(
                request.request_id,
                assignment.adapter,
                assignment.version,
                view.target,
                request.in_force.seq,
            )
        )
        call = AttemptCall(
            attempt_id,
            view.target,
            view.address,
            assignment,
            request.prompt,
            request.max_tokens,
            offset,
            request.priority,
            request.deadline_at,
            fresh=bool(request.key) or number > 1,
            request_id=request.request_id,
            at_most_once=bool(request.key),
        )
        running = self._deaths.record_start(view, attempt_id, request.fingerprint)
        try:
            end = await self._attempts.run(call, grant, sink)
        finally:
            self._deaths.record_end(view.target, attempt_id)
        if end.failure is None:
            self._suspects.record_completion(request.fingerprint)
        elif end.failure.kind in (ErrorKind.TARGET_LOST, ErrorKind.TARGET_UNREACHABLE):
            await self._deaths.check(view, running, end.failure)
        elif end.failure.kind is ErrorKind.CALLER_GONE:
            self._events.emit(EventKind.CALLER_LEFT, attempt_id, target=view.target)
        # Released last: no other suspect may start until a death has been recorded.
        self._suspect_reservations.release(view, request.request_id)
        return end

    async def _grant(
        self, request: CallerRequest, assignment: Assignment, tried: set[str]
    ) -> Result[Granted, Failure]:
        """Acquire a grant on the best target that gives one before the deadline.

        A suspect waits while other suspects run on all targets it could use.
        """
        while True:
            granted = await self._rounds.acquire(
                assignment,
                request.priority,
                request.deadline_at,
                lambda: self._joinable(request, self._tries(assignment, tried)),
            )
            if isinstance(granted, Ok):
                # Another suspect may have started there during the wait.
                joins = self._joinable(request, [granted.ok_value.one_try])
                if joins and await self._reserve_target(request, joins[0].view):
                    return granted
            tries = self._tries(assignment, tried)
            if isinstance(granted, Err) and (
                not tries or self._joinable(request, tries)
            ):
                return granted
            if request.deadline_at - self._timers.now() < SUSPECT_RETRY_S:
                return Err(NO_TARGET_FOR_SUSPECT)
            # Release the unused grant during the wait.
            del granted
            await self._timers.sleep(SUSPECT_RETRY_S)

    async def _reserve_target(self, request: CallerRequest, view: TargetView) -> bool:
        """Reserve the target for a suspect; return whether the request may start."""
        if not self._suspects.is_suspect(request.fingerprint):
            return True
        hold_s = request.deadline_at - self._timers.now()
        reserved = await self._suspect_reservations.reserve(
            view, request.request_id, hold_s
        )
        return isinstance(reserved, Ok)

    def _joinable(self, request: CallerRequest, tries: list[Try]) -> list[Try]:
        """Return the targets on which a request may run beside those running there.

        If two suspects ran on a target that dies, it would be unknown which of them
        crashed it, and an innocent request would be quarantined.
        """
        found = []
        for one_try in tries:
            running = self._deaths.running_fingerprints(one_try.view.target)
            if self._suspects.may_join(request.fingerprint, running):
                found.append(one_try)
        return found

    def _tries(self, assignment: Assignment, tried: set[str]) -> list[Try]:
        """Return the usable targets: first those with the adapter, then others."""
        now = self._timers.now()
        views = self._routing.views.views()
        usable = [view for view in views if not view.leaving]
        by_name = {view.target: view for view in usable}
        tries = []
        router, popularity = self._routing.router, self._routing.popularity
        for candidate in router.choose(assignment, usable, popularity, now):
            view = by_name[candidate.target]
            tries.append(Try(view, candidate.resident))
        fresh = [one_try for one_try in tries if one_try.view.target not in tried]
        return fresh or tries

    def _finish(self, request, failure: Failure | None):
        if failure is not None:
            return self._outcomes.record_refusal(request.request_id, failure)
        self._outcomes.record_answer(request.request_id)
        return Ok(None)
