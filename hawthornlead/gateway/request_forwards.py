"""Forwarding of one request: match its route, place it, send it, answer the caller.

What is known after a failure decides what may follow. A request has not run if none of
its bytes were sent or if the target says that it refused it. After any other failure it
may have run, and then only a repeatable request goes to another target.
"""

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..platform.headers import read_caller_request
from ..promises.run_ledgers import UNRUN_STATUSES, RunLedger
from .attempt_outcomes import UNRUN_OUTCOMES, AttemptOutcome
from .caller_calls import CallerCall
from .gateway_parts import GatewayParts
from .placed_requests import Placed
from .placement_requests import PlacementRequest
from .records import CallerRequest, Route, RouteKind, Workspace
from .refusals import malformed_failure
from .request_relays import RequestRelay
from .request_reporters import RequestReporter
from .request_signatures import read_signature
from .routes import choose_service
from .stream_bindings import StreamBinding
from .stream_relays import CallerStream
from .target_attempts import MIN_REMAINING_S, Attempts
from .vm_relays import RelayOrigin, RelayOutcome, refuse_relayed
from .workspaces import ranked

# Targets that may refuse a request without running it before it is refused.
MAX_OFFERS = 4
# Pause before another try at a target whose adapter was expected to be ready.
TOO_EARLY_BACKOFF_S = 0.05
# A VM that was cut off gets newer configurations about this long after its return.
STALE_RETRY_S = 0.3


class RequestForward:
    """One request of a caller, from its arrival to its answer.

    ``origin`` is given if another VM passed the request on.
    """

    def __init__(
        self, parts: GatewayParts, call: CallerCall, origin: RelayOrigin | None = None
    ):
        self._parts = parts
        self._call = call
        self._request: CallerRequest = read_caller_request(call.headers)
        self._stream = CallerStream(call)
        self._binding = StreamBinding(
            parts.targets,
            parts.origins,
            parts.recorded_origins,
            call,
            self._request,
            origin.stream if origin is not None else None,
        )
        self._signature = read_signature(call, self._request)
        self._ledger = RunLedger()
        if origin is not None:
            self._ledger = RunLedger(origin.sent, origin.ran)
        self._reporter = RequestReporter(
            parts, call, self._request, self._stream, self._signature, self._ledger
        )
        self._deadline_at = 0.0
        self._excluded: set[str] = set()
        self._attempts: Attempts | None = None
        self._retried_early = False
        # What was charged to the quota of which workspace, None if nothing.
        self._charged: tuple[str, float] | None = None
        self._origin = origin
        # No request is relayed twice.
        self._may_relay = origin is None
        self._first_counted = self._ledger.sent > 0

    @property
    def deadline_s(self) -> float | None:
        """How long the caller waits, None if it doesn't say."""
        deadline_ms = self._request.deadline_ms
        return None if deadline_ms is None else deadline_ms / 1000

    @property
    def malformed(self) -> Failure | None:
        """Why the request can't be told from others, None if it can."""
        return malformed_failure(self._request, self._call.headers)

    async def run(self) -> None:
        """Serve the request and answer its caller."""
        parts = self._parts
        if parts.routes is None:
            unknown = Failure(ErrorKind.NOT_READY, "no configuration yet", 0.3)
            self._reporter.refuse(unknown)
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
        await self._serve_for(workspace, ranked(route, workspace))

    def can_take_relayed(self) -> bool:
        """Whether this VM can serve a request that another VM passes on.

        It can't by an older configuration than is in force there, nor if it reaches no
        target of a service either.
        """
        parts = self._parts
        if parts.configuration is None:
            return False
        if parts.configuration.version < self._origin.configuration:
            return False
        route = parts.routes.match(self._call.headers.get("Host", ""), self._call.path)
        services = route.services if route is not None else ()
        return not any(parts.paths.is_unreachable(each.service) for each in services)

    async def _serve_for(self, workspace: Workspace | None, route: Route) -> None:
        """Serve the request at its route, for a workspace if it has one."""
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
            self._signature,
            self._binding,
            self._ledger,
            workspace,
        )
        if route.kind is RouteKind.STREAMING:
            found = await self._binding.find_origin(route)
            if found.is_err():
                self._reporter.refuse(found.err_value)
                return
        service = self._choose_service(route)
        if await self._is_relayed(route, service) or not self._charge(workspace):
            return
        try:
            await self._serve(route, workspace, service)
        finally:
            if not self._ledger.may_have_run_here:
                self._refund()

    def _choose_service(self, route: Route) -> str:
        """Return the service at which a stream began, else one by their weights."""
        began = self._binding.origin
        services = [each.service for each in route.services]
        if began is not None and began.service in services:
            return began.service
        return choose_service(route, self._parts.rng)

    def _find_workspace(self, route: Route) -> Result[Workspace | None, Failure]:
        """Return the workspace of the request's key, None if the route needs no key."""
        workspaces = self._parts.workspaces
        if not workspaces.needs_key(route):
            return Ok(None)
        workspace = workspaces.holder(self._request.key_digest)
        if workspace is None:
            return Err(Failure(ErrorKind.UNAUTHENTICATED, "no known key"))
        return Ok(workspace)

    def _charge(self, workspace: Workspace | None) -> bool:
        """Charge the request to its workspace's quota; refuse it if that is used up."""
        if workspace is None or workspace.quota is None:
            return True
        cost = workspace.quota.cost(self._request)
        admitted = self._parts.quotas.admit(workspace.name, cost)
        if admitted.is_err():
            self._refuse_unplaced(admitted.err_value)
            return False
        self._charged = (workspace.name, cost)
        return True

    def _refund(self) -> None:
        if self._charged is not None:
            self._parts.quotas.refund(*self._charged)
            self._charged = None

    def refuse(self, failure: Failure) -> None:
        """Answer with a failure, unless an answer was started or the caller left."""
        self._reporter.refuse(failure)

    def _refuse_unknown(self, failure: Failure) -> None:
        """Refuse a request that the configuration in force doesn't know.

        A newer configuration may know it if this VM was cut off from the store and the
        other VMs. The caller may then retry here or at another VM.
        """
        if not self._parts.configuration_is_current():
            detail = f"{failure.detail}, by a configuration that may be old"
            failure = Failure(ErrorKind.NOT_READY, detail, STALE_RETRY_S)
        self._reporter.refuse(failure)

    async def _serve(
        self, route: Route, workspace: Workspace | None, service: str
    ) -> None:
        while True:
            checked = self._check_crashes()
            if checked.is_err():
                self._refuse_unplaced(checked.err_value)
                return
            if self._relays(service):
                # The VM that serves it charges the quota.
                self._refund()
                if await self._is_relayed(route, service):
                    return
                if not self._charge(workspace):
                    return
            self._count_first_attempt(service)
            placement = PlacementRequest(
                route,
                service,
                self._request,
                self._call.arrived_at,
                self._deadline_at,
                frozenset(self._excluded),
                self._binding.software,
                workspace.name if workspace is not None else "",
            )
            placed = await self._parts.placer.place(placement)
            if placed.is_err():
                self._refuse_unplaced(placed.err_value)
                return
            self._reporter.placed(placed.ok_value)
            sent = self._ledger.sent
            try:
                outcome = await self._attempt(route, service, placed.ok_value)
            finally:
                was_sent, sample = self._ledger.sent > sent, self._attempts.sample
                self._parts.placer.notify_ended(placed.ok_value, sample, was_sent)
            if outcome is None:
                return
            if outcome is AttemptOutcome.LEFT and not was_sent:
                # Nothing was sent, so what was charged is refunded.
                self._reporter.caller_gone(placed.ok_value.entry.target)
                return
            if not await self._continues(route, placed.ok_value, outcome):
                return

    def _check_crashes(self) -> Result[None, Failure]:
        """Refuse a request that is known to crash targets."""
        checked = self._parts.suspects.check(self._signature.fingerprint)
        if checked.is_err():
            return Err(checked.err_value._replace(kind=ErrorKind.OVERLOADED))
        return self._parts.quarantines.check(self._signature.parts)

    def _relays(self, service: str) -> bool:
        """Whether the request goes to another VM first, which happens once at most."""
        return self._may_relay and self._parts.paths.is_unreachable(service)

    async def _is_relayed(self, route: Route, service: str) -> bool:
        """Relay a request that this VM can't send; False if it is still to be served.

        That is so if this VM reaches the service, or if no other VM takes the request.
        """
        if not self._relays(service):
            return False
        self._may_relay = False
        relay = RequestRelay(
            self._parts,
            self._call,
            self._request,
            self._stream,
            self._reporter,
            self._ledger,
            self._deadline_at,
            self._attempts.last_event,
            self._binding.origin,
        )
        outcome = await relay.run(route, service)
        if outcome is RelayOutcome.NOT_TAKEN:
            return False
        if outcome is RelayOutcome.LEFT:
            self._reporter.caller_gone("")
        elif outcome is RelayOutcome.LATE:
            self._answer_late()
        elif outcome is not RelayOutcome.DONE:
            self._answer_failed()
        return True

    def _count_first_attempt(self, service: str) -> None:
        """Count the request once for the retry budget, at the VM that sends it."""
        if not self._first_counted:
            self._first_counted = True
            self._parts.budget(service).record_first_attempt()

    async def _attempt(
        self, route: Route, service: str, placed: Placed
    ) -> AttemptOutcome | None:
        """Send the request to its target; None if it goes to no target any more."""
        if self._call.left:
            return None
        if self._ledger.sent and not self._parts.budget(service).acquire():
            spent = Failure(ErrorKind.OVERLOADED, "the retry budget is spent", 0.5)
            self._refuse_unplaced(spent)
            return None
        return await self._attempts.make(route, placed)

    async def _continues(
        self, route: Route, placed: Placed, outcome: AttemptOutcome
    ) -> bool:
        """Whether another attempt follows; if not, the caller has its answer."""
        target = placed.entry.target
        if outcome is AttemptOutcome.DONE:
            return False
        if outcome is AttemptOutcome.LEFT:
            self._reporter.caller_gone(target)
            return False
        attempts = self._attempts
        causes = (attempts.loss, attempts.unreached, attempts.trace)
        self._reporter.attempt_failed(target, outcome, attempts.remaining_s, *causes)
        if outcome is AttemptOutcome.TOO_EARLY and not self._retried_early:
            # The adapter is a few milliseconds late, or the target is full. One more
            # try there costs less than a load elsewhere.
            self._retried_early = True
            await self._parts.timers.sleep(TOO_EARLY_BACKOFF_S)
            return True
        self._excluded.add(target)
        if outcome is AttemptOutcome.LATE:
            self._answer_late()
            return False
        if outcome in (AttemptOutcome.SPENT, AttemptOutcome.DROPPED):
            self._answer_failed()
            return False
        if outcome in UNRUN_OUTCOMES:
            return await self._continues_unrun(placed.entry.service, outcome)
        may_repeat = route.repeatable or (
            route.resumable and (not self._stream.begun or self._resumes())
        )
        may_repeat = may_repeat and self._ledger.ran < route.attempts
        if may_repeat and self._in_time() and await self._attempts.crashes.may_repeat():
            return True
        self._answer_failed()
        return False

    async def _continues_unrun(self, service: str, outcome: AttemptOutcome) -> bool:
        """Whether another attempt follows one that didn't run."""
        paths = self._parts.paths
        if outcome is AttemptOutcome.UNREACHED:
            unreachable = await paths.confirm_unreachable(service)
            if unreachable and self._may_relay:
                return True
            if unreachable and self._can_hand_back():
                refuse_relayed(self._call)
                return False
        if len(self._excluded) < MAX_OFFERS and self._in_time():
            return True
        self._refuse_unplaced(Failure(ErrorKind.OVERLOADED, "no target took it", 0.4))
        return False

    def _can_hand_back(self) -> bool:
        """Whether this is a relayed request that surely didn't run here."""
        return self._origin is not None and not self._ledger.may_have_run_here

    def _in_time(self) -> bool:
        return self._attempts.remaining_s > MIN_REMAINING_S

    def _resumes(self) -> bool:
        self._attempts.last_event = self._stream.last_event
        return bool(self._attempts.last_event)

    # Answers to the caller

    def _refuse_unplaced(self, failure: Failure) -> None:
        """Refuse a request that goes to no further target."""
        if self._ledger.ran:
            self._answer_failed()
            return
        if failure.answer.status not in UNRUN_STATUSES:
            # The failure is that of a call to another VM or to an engine about a load.
            # The request itself was not sent, so its caller may send it again.
            failure = failure._replace(kind=ErrorKind.NO_TARGET)
        self._reporter.refuse(failure)

    def _answer_failed(self) -> None:
        """Answer a request that may have run but got no complete answer."""
        if self._stream.begun:
            lost = self._attempts.loss is not None
            self._reporter.cut("the target is lost" if lost else "the target failed")
            return
        if self._attempts.failed_answer is not None:
            self._reporter.answer(self._attempts.failed_answer)
            return
        self._reporter.refuse(self._parts.loss_detector.failure(self._attempts.loss))

    def _answer_late(self) -> None:
        """Answer a request whose deadline passed while a target had it."""
        if self._stream.begun:
            self._reporter.cut("the deadline passed")
            return
        self._reporter.refuse(Failure(ErrorKind.DEADLINE_PASSED, "the deadline passed"))
