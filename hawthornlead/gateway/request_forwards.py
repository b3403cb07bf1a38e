"""The way of one request: match, place, send, and answer whole, once and truly.

What is known after each failure decides what may follow. Until bytes of a request
were sent it has not run; a target's refusal says so too; after anything else it may
have run, and only a request that may be repeated goes to another target.
"""

from hashlib import blake2b

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..platform.headers import read_caller_request
from .caller_calls import CallerCall
from .gateway_parts import GatewayParts
from .placers import Placed, PlacementRequest
from .records import CallerRequest, Route, Workspace
from .request_reporters import RequestReporter
from .routes import choose_service
from .stream_relays import CallerStream
from .target_attempts import MIN_REMAINING_S, AttemptOutcome, Attempts
from .workspaces import ranked

# A request is offered to so many targets at most that refuse it unrun.
MAX_OFFERS = 4
# How long to wait for an adapter that was expected to be there.
TOO_EARLY_S = 0.05
# A VM that was cut off hears of newer configurations about so long after its return.
STALE_RETRY_S = 0.3
# These tell a caller that its request has not run and never will.
UNRUN_STATUSES = frozenset((404, 429, 503))
UNRUN_ENDINGS = frozenset(
    (
        AttemptOutcome.UNREACHED,
        AttemptOutcome.UNWANTED,
        AttemptOutcome.REFUSED,
        AttemptOutcome.TOO_EARLY,
    )
)


class RequestForward:
    """One request of a caller on its way."""

    def __init__(self, parts: GatewayParts, call: CallerCall):
        self._parts = parts
        self._call = call
        self._request: CallerRequest = read_caller_request(call.headers)
        self._stream = CallerStream(call)
        self._reporter = RequestReporter(parts, call, self._request, self._stream)
        self._deadline_at = 0.0
        self._excluded: set[str] = set()
        self._attempts: Attempts | None = None
        self._waited = False
        self._may_have_run = False

    @property
    def deadline_s(self) -> float | None:
        """How long the caller waits, None where it doesn't say."""
        deadline_ms = self._request.deadline_ms
        return None if deadline_ms is None else deadline_ms / 1000

    async def run(self) -> None:
        """Serve the request to its end."""
        parts = self._parts
        if parts.routes is None:
            self._reporter.refuse(
                Failure(ErrorKind.NOT_READY, "no configuration yet", 0.3)
            )
            return
        route = parts.routes.match(self._call.headers.get("Host", ""), self._call.path)
        if route is None:
            self._refuse_unknown(Failure(ErrorKind.NOT_FOUND, "no route"))
            return
        found = self._find_workspace(route)
        if found.is_err():
            self._refuse_unknown(found.err_value)
            return
        workspace = found.ok_value
        charged = self._charge(workspace)
        if charged.is_err():
            self._reporter.refuse(charged.err_value)
            return
        try:
            await self._serve_for(workspace, ranked(route, workspace))
        finally:
            if not self._may_have_run:
                parts.quotas.refund(*charged.ok_value)

    async def _serve_for(self, workspace: Workspace | None, route: Route) -> None:
        """Serve the request at its route, in the name of a workspace if it has one."""
        wait_ms = route.timeout_ms
        if self._request.deadline_ms is not None:
            wait_ms = min(wait_ms, self._request.deadline_ms)
        self._deadline_at = self._call.arrived_at + wait_ms / 1000
        self._attempts = Attempts(
            self._parts,
            self._call,
            self._request,
            self._stream,
            self._reporter,
            self._deadline_at,
            self._fingerprint(),
            workspace,
        )
        service = choose_service(route, self._parts.rng)
        self._parts.budget(service).record_first_attempt()
        await self._serve(route, service)

    def _find_workspace(self, route: Route) -> Result[Workspace | None, Failure]:
        """Return whose key the request carries, None where it needs none."""
        workspaces = self._parts.workspaces
        if not workspaces.needs_key(route):
            return Ok(None)
        workspace = workspaces.holder(self._request.key_digest)
        if workspace is None:
            return Err(Failure(ErrorKind.UNAUTHENTICATED, "no known key"))
        return Ok(workspace)

    def _charge(
        self, workspace: Workspace | None
    ) -> Result[tuple[str, float], Failure]:
        """Charge the request to its workspace's quota; return what was charged."""
        if workspace is None or workspace.quota is None:
            return Ok(("", 0.0))
        cost = workspace.quota.cost(self._request)
        admitted = self._parts.quotas.admit(workspace.name, cost)
        return admitted.map(lambda _: (workspace.name, cost))

    def refuse(self, failure: Failure) -> None:
        """Answer with a failure, unless an answer was begun or the caller left."""
        self._reporter.refuse(failure)

    def _refuse_unknown(self, failure: Failure) -> None:
        """Refuse what the configuration in force doesn't know.

        A newer one may know it, if this VM was cut off from the store and the others.
        Its caller can come back then, or go to another VM.
        """
        if not self._parts.configuration_is_current():
            detail = f"{failure.detail}, by a configuration that may be old"
            failure = Failure(ErrorKind.NOT_READY, detail, STALE_RETRY_S)
        self._reporter.refuse(failure)

    async def _serve(self, route: Route, service: str) -> None:
        convicted = self._parts.suspects.check(self._fingerprint())
        if convicted.is_err():
            failure = convicted.err_value
            self._reporter.refuse(failure._replace(kind=ErrorKind.OVERLOADED))
            return
        while True:
            wanted = PlacementRequest(
                route,
                service,
                self._request,
                self._call.arrived_at,
                self._deadline_at,
                frozenset(self._excluded),
            )
            placed = await self._parts.placer.place(wanted)
            if placed.is_err():
                self._end_unplaced(placed.err_value)
                return
            self._reporter.placed(placed.ok_value)
            try:
                ending = await self._attempt(route, service, placed.ok_value)
            finally:
                self._parts.placer.notify_ended(placed.ok_value)
            if ending is None:
                return
            if not await self._goes_on(route, placed.ok_value, ending):
                return

    async def _attempt(
        self, route: Route, service: str, placed: Placed
    ) -> AttemptOutcome | None:
        """Send the request to its target; None if it isn't sent to any after all."""
        if self._call.left:
            return None
        if self._reporter.sent and not self._parts.budget(service).acquire():
            self._end_unplaced(
                Failure(ErrorKind.OVERLOADED, "the retry budget is spent", 0.5)
            )
            return None
        return await self._attempts.make(route, placed)

    async def _goes_on(
        self, route: Route, placed: Placed, ending: AttemptOutcome
    ) -> bool:
        """Whether another attempt follows; if not, the caller has its answer."""
        target = placed.entry.target
        self._may_have_run = self._may_have_run or ending not in UNRUN_ENDINGS
        if ending is AttemptOutcome.DONE:
            return False
        if ending is AttemptOutcome.LEFT:
            self._reporter.caller_gone(target)
            return False
        self._reporter.attempt_failed(
            target, ending.value, self._attempts.left_s, self._attempts.loss
        )
        if ending is AttemptOutcome.TOO_EARLY and not self._waited:
            # The adapter is a few milliseconds late, or the target is full. One more
            # try where it is about to be costs less than a load elsewhere.
            self._waited = True
            await self._parts.timers.sleep(TOO_EARLY_S)
            return True
        self._excluded.add(target)
        if ending is AttemptOutcome.LATE:
            self._end_late()
            return False
        if ending in UNRUN_ENDINGS:
            if len(self._excluded) < MAX_OFFERS and self._in_time():
                return True
            self._end_unplaced(Failure(ErrorKind.OVERLOADED, "no target took it", 0.4))
            return False
        self._reporter.ran += 1
        may_repeat = route.repeatable or (
            route.resumable and (not self._stream.begun or self._resumes())
        )
        if may_repeat and self._reporter.ran < route.attempts and self._in_time():
            return True
        self._end_failed()
        return False

    def _in_time(self) -> bool:
        return self._attempts.left_s > MIN_REMAINING_S

    def _resumes(self) -> bool:
        self._attempts.last_event = self._stream.last_event
        return bool(self._attempts.last_event)

    # The caller's answer

    def _end_unplaced(self, failure: Failure) -> None:
        """Answer a request that goes to no further target."""
        if self._reporter.ran:
            self._end_failed()
            return
        if failure.answer.status not in UNRUN_STATUSES:
            # What failed is a question to another VM or to an engine about a load.
            # The request itself was not sent, and its caller may send it again.
            failure = failure._replace(kind=ErrorKind.NO_TARGET)
        self._reporter.refuse(failure)

    def _end_failed(self) -> None:
        """Answer a request that has run, or may have, without a whole answer."""
        if self._stream.begun:
            lost = self._attempts.loss is not None
            self._reporter.cut("the target is lost" if lost else "the target failed")
            return
        if self._attempts.failed_answer is not None:
            self._reporter.answer(self._attempts.failed_answer)
            return
        self._reporter.refuse(self._parts.loss_detector.failure(self._attempts.loss))

    def _end_late(self) -> None:
        """Answer a request whose deadline has passed while a target had it."""
        if self._stream.begun:
            self._reporter.cut("the deadline passed")
            return
        self._reporter.refuse(Failure(ErrorKind.DEADLINE_PASSED, "the deadline passed"))

    # Small queries

    def _fingerprint(self) -> bytes:
        """Name the request as its caller would send it again."""
        digest = blake2b(digest_size=8)
        digest.update(self._call.method.encode())
        digest.update(self._call.path.encode())
        digest.update(self._call.body)
        return digest.digest()
