"""The path of a request: admit, assign, route, be granted, send, retry, answer.

A request is assigned at its admission: the bundle in force at that moment names its
adapter and version, and a roll that comes later does not change them.
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
from .outcomes import OutcomeRecorder, may_have_run, truthful
from .request_claims import Keyed, Outcome, RequestClaims
from .sent_attempts import SentAttempts

# Errors after which a repeatable request may be tried again although it may have
# run: its attempt is over, and what was handed on is counted.
RESUMABLE = frozenset(
    {ErrorKind.TARGET_LOST, ErrorKind.ANSWER_CUT, ErrorKind.WRONG_ANSWER}
)
# A suspect asks again after this, while others run wherever it might.
JOIN_AGAIN_S = 0.1
SUSPECTS_RUN = Failure(
    ErrorKind.NO_TARGET, "it may run only where no other suspect does", 1.0
)


class CallerRequest(NamedTuple):
    """A request as its caller sent it, with its limits worked out.

    ``deadline_at`` is on the timer service's clock. ``key`` is the idempotency key,
    empty for a request that may be repeated; ``key_issued_at`` is in seconds since
    the epoch by the caller's clock, None where it was not told.
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
        """What two tries of the same request have in common."""
        text = f"{self.caller.name}\n{self.alias}\n{self.max_tokens}\n{self.prompt}"
        return hashlib.blake2b(text.encode(), digest_size=16).digest()


class AnswerHead(NamedTuple):
    """What gave an answer: told to the caller before the first token."""

    request_id: str
    adapter: str
    version: str
    target: str
    bundle_seq: int


class RequestSink(Sink):
    """A sink that also takes the head of the answer."""

    started: bool
    count: int

    def begin(self, head: AnswerHead) -> None:
        """Note what will give the answer; a later call replaces an earlier one."""


class RecordedAnswer(NamedTuple):
    """The recorded outcome of an earlier try with the same idempotency key."""

    claimed: Claimed


class Routing(NamedTuple):
    """How targets are chosen for a request, and asked for the right to run there."""

    views: TargetViews
    router: Router
    popularity: Popularity
    grants: Grants


class CrashParts(NamedTuple):
    """What keeps a request that crashes its target from crashing others."""

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
        """Serve one request; ``None`` means that its answer went to the sink whole.

        Every error tells the truth about the run by its kind.
        """
        admitted = self._admissions.admit(request.caller, request.priority)
        if isinstance(admitted, Err):
            return self._outcomes.refused(request.request_id, admitted.err_value)
        self._metrics.open_requests.inc()
        try:
            return await self._serve_admitted(request, sink)
        finally:
            self._metrics.open_requests.dec()
            self._sent.forget(request.request_id)
            admitted.ok_value.release()

    async def _serve_admitted(self, request, sink):
        assigned = request.in_force.bundle.assign(request.caller, request.alias)
        if isinstance(assigned, Err):
            return self._outcomes.refused(request.request_id, assigned.err_value)
        allowed = self._suspects.check(request.fingerprint)
        if isinstance(allowed, Err):
            return self._outcomes.refused(request.request_id, allowed.err_value)
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
            return self._answered(request, outcome)
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
            return self._outcomes.refused(request.request_id, claimed.err_value)
        if claimed.ok_value.state == DONE:
            return Ok(RecordedAnswer(claimed.ok_value))
        failure = await self._try_targets(request, assignment, sink)
        if failure is None:
            # A streamed answer is not kept: a later try is told only that it ran.
            body = sink.recorded()
            outcome = Outcome(DONE, 200, "application/json" if body else "", body)
        else:
            failure = failure._replace(claim_read=True)
            outcome = Outcome.failed(failure)
        await self._claims.record(keyed, outcome)
        return self._answered(request, failure)

    async def _try_targets(
        self, request: CallerRequest, assignment: Assignment, sink: RequestSink
    ) -> Failure | None:
        """Try targets until one answered whole or no further try is allowed."""
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
                return self._counted(request, end, sink)
            offset = end.next_index
            ran = ran or may_have_run(failure)
            if not await self._may_retry(request, failure, number):
                break
            self._events.emit(
                EventKind.REQUEST_RETRIED, request.request_id, after=failure.kind.value
            )
        return truthful(failure, ran)

    def _counted(self, request, end: AttemptEnd, sink) -> Failure | None:
        """Check that all tokens which the target counted went to the caller.

        Guards against an answer over several attempts that lacks tokens: each end
        marker was right, but an attempt began behind what had been handed on.
        """
        detail = f"{request.request_id}: {sink.count} of {end.next_index}"
        whole = sink.count == end.next_index
        if self._invariants.check("whole-answer-counted", whole, detail):
            return None
        return Failure(ErrorKind.WRONG_ANSWER, f"tokens are missing: {detail}")

    async def _may_retry(self, request, failure: Failure, number: int) -> bool:
        """Wait out the backoff and say whether another attempt may start."""
        repeatable = not request.key
        allowed = failure.answer.retry or (repeatable and failure.kind in RESUMABLE)
        if not allowed or not await self._retries.wait(number, request.deadline_at):
            return False
        # Guards against a request that kills every target it is retried on: it was
        # admitted before its first crash, and is quarantined by its own attempts.
        return self._suspects.check(request.fingerprint).is_ok()

    async def _attempt(
        self, request, assignment, one_try: Try, grant: Grant, offset, number, sink
    ) -> AttemptEnd:
        view = one_try.view
        attempt_id = f"{request.request_id}.{number}"
        sink.begin(
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
            once=bool(request.key),
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
        # Only now: another suspect is kept away until a death has been told.
        self._suspect_reservations.release(view, request.request_id)
        return end

    async def _grant(
        self, request: CallerRequest, assignment: Assignment, tried: set[str]
    ) -> Result[Granted, Failure]:
        """Get a grant on the best target that gives one before the deadline.

        A suspect waits while other suspects run wherever it might.
        """
        while True:
            granted = await self._rounds.acquire(
                assignment,
                request.priority,
                request.deadline_at,
                lambda: self._joinable(request, self._tries(assignment, tried)),
            )
            if isinstance(granted, Ok):
                # Another suspect may have begun there during the wait.
                joins = self._joinable(request, [granted.ok_value.one_try])
                if joins and await self._placed(request, joins[0].view):
                    return granted
            tries = self._tries(assignment, tried)
            if isinstance(granted, Err) and (
                not tries or self._joinable(request, tries)
            ):
                return granted
            if request.deadline_at - self._timers.now() < JOIN_AGAIN_S:
                return Err(SUSPECTS_RUN)
            # The grant goes back unused while this waits.
            del granted
            await self._timers.sleep(JOIN_AGAIN_S)

    async def _placed(self, request: CallerRequest, view: TargetView) -> bool:
        """Whether the request may begin there beside what other VMs run there."""
        if not self._suspects.is_suspect(request.fingerprint):
            return True
        hold_s = request.deadline_at - self._timers.now()
        taken = await self._suspect_reservations.reserve(
            view, request.request_id, hold_s
        )
        return isinstance(taken, Ok)

    def _joinable(self, request: CallerRequest, tries: list[Try]) -> list[Try]:
        """Return the targets on which a request may run beside what runs there.

        Guards against two suspects on a target that dies, which would tell nothing
        of which one did it: an innocent request is refused for long.
        """
        found = []
        for one_try in tries:
            running = self._deaths.running_fingerprints(one_try.view.target)
            if self._suspects.may_join(request.fingerprint, running):
                found.append(one_try)
        return found

    def _tries(self, assignment: Assignment, tried: set[str]) -> list[Try]:
        """Order the targets: where the adapter is first, then where to load it."""
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

    def _answered(self, request, failure: Failure | None):
        if failure is not None:
            return self._outcomes.refused(request.request_id, failure)
        self._outcomes.answered(request.request_id)
        return Ok(None)
