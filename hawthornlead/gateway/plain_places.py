"""Places at plain targets: asks the VM that coordinates a target before sending there.

Where the targets of a service have fewer slots than there are VMs, the share of one VM
is less than a place. One VM per target then counts the places for all::

    choice = await places.choose(requested, spec, scored)
    places.end(choice.hold)
"""

import itertools
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from ..admission.place_events import PlaceEvents
from ..admission.place_searches import NEAR_S, PlaceQuestion, PlaceSearch
from ..admission.waiting_questions import WaitingQuestions, is_silent
from ..errors import ErrorKind, Failure
from ..fleet.fleet_meshes import FleetMesh
from ..mesh.casts import send
from ..messages.admission import PlaceEnded, PlaceReserved, ReservePlace
from ..timers import TimerService
from .memberships import Memberships
from .placement_requests import PlacementRequest
from .records import ServiceSpec, TargetEntry
from .refusals import busy_failure
from .run_times import RunTimes
from .target_choices import Scored
from .target_tables import TargetTable

# A coordinator answers within milliseconds, or at the end of the wait that it granted.
ANSWER_TIMEOUT_S = 0.05
# After an unanswered question, requests are sent without one for this long.
DIRECT_S = 1.0
# How long an expected wait that a coordinator reported counts for other requests.
WAIT_TTL_S = 0.2
# A target whose failures and slowness cost more than this is asked last.
MAX_SLOW_MS = 50.0
# A waiting request starves after this share of its objective beyond its due time.
PATIENCE_SHARE = 0.25


class PlaceHold(NamedTuple):
    """A place that a request holds until it is ended."""

    coordinator: str
    entry: TargetEntry
    number: int
    granted_at: float


class PlainChoice(NamedTuple):
    """A target at which a request has a place."""

    scored: Scored
    hold: PlaceHold


class _Wait(NamedTuple):
    """The wait that a coordinator expected, valid ``until`` a time."""

    until: float
    wait_s: float


class PlainPlaces:
    """Asks for places at plain targets on behalf of this VM's requests.

    ``keeps_own_rules`` tells whether requests to a target are bounded by other rules:
    a named limit, or a brittle target's refusals.
    """

    def __init__(
        self,
        *,
        targets: TargetTable,
        memberships: Memberships,
        mesh: FleetMesh,
        timers: TimerService,
        run_times: RunTimes,
        report: PlaceEvents,
        keeps_own_rules: Callable[[str], bool],
    ):
        self._targets = targets
        self._memberships = memberships
        self._mesh = mesh
        self._timers = timers
        self._run_times = run_times
        self._report = report
        self._keeps_own_rules = keeps_own_rules
        self._numbers = itertools.count(1)
        self._turns = itertools.count(len(mesh.vm) + sum(mesh.vm.encode()))
        self._direct_until: dict[str, float] = {}
        self._waits: dict[str, _Wait] = {}
        self._questions = WaitingQuestions(mesh)

    async def choose(
        self, requested: PlacementRequest, spec: ServiceSpec, scored: list[Scored]
    ) -> Result[PlainChoice, Failure] | None:
        """Return a target with a place for a request, or why there is none in time.

        None if places aren't counted: the request is then placed by this VM's counts.
        """
        if not scored or not self._is_coordinated(spec, scored):
            return None
        by_target = {each.candidate.target: each for each in self._preferred(scored)}
        now = self._timers.now()
        known = {
            target: self._waits[target].wait_s
            for target in by_target
            if target in self._waits and self._waits[target].until > now
        }
        search = PlaceSearch(tuple(by_target), known)
        until = now + self._patience_s(requested, spec)
        while question := search.next_question(max(0.0, until - self._timers.now())):
            entry = self._targets.entries.get(question.target)
            if entry is None or not self._targets.is_current(entry):
                continue
            coordinator = self._coordinator(entry)
            if self._direct_until.get(coordinator, 0.0) > self._timers.now():
                self._report.record_direct(entry.target, coordinator=coordinator)
                return None
            asked = await self._ask(requested, spec, question, entry, coordinator)
            if asked.is_err():
                self._report.record_direct(
                    entry.target,
                    coordinator=coordinator,
                    detail=asked.err_value.detail,
                )
                return None
            hold = asked.ok_value
            if isinstance(hold, PlaceReserved):
                search.record_refusal(entry.target, hold.wait_s)
                continue
            if self._targets.is_current(entry):
                return Ok(PlainChoice(by_target[entry.target], hold))
            self._end(hold, sent=False)
        return Err(busy_failure(search.expected_s))

    def end(self, hold: PlaceHold, sent: bool = True) -> None:
        """End a place whose request has ended, or isn't ``sent`` after all."""
        self._end(hold, sent)

    def discard(self, target: str) -> None:
        """Discard the expected wait at a target that is gone or has restarted."""
        self._waits.pop(target, None)

    def _end(self, hold: PlaceHold, sent: bool) -> None:
        took_ms = 1000 * (self._timers.now() - hold.granted_at) if sent else -1.0
        entry = hold.entry
        message = PlaceEnded(entry.target, entry.started_ms, took_ms, hold.number)
        send(self._mesh, hold.coordinator, message)

    def _is_coordinated(self, spec: ServiceSpec, scored: list[Scored]) -> bool:
        """Whether places are counted: no VM's share of the slots is a whole one."""
        slots = sum(entry.slots for entry in self._targets.of_service(spec.name))
        if slots >= len(self._memberships.live()):
            return False
        return not any(self._keeps_own_rules(each.candidate.target) for each in scored)

    def _preferred(self, scored: list[Scored]) -> list[Scored]:
        """Return the targets in the order in which they are asked.

        The announced counts are older than a run, and by them all VMs would ask the
        same target first. So each VM asks the healthy targets in turn. A suspect target
        is only asked if all are.
        """
        healthy = [each for each in scored if not each.candidate.suspect] or scored
        turn = next(self._turns) % len(healthy)
        healthy = sorted(healthy, key=lambda each: each.candidate.target)
        turned = healthy[turn:] + healthy[:turn]
        return sorted(turned, key=lambda each: each.candidate.slow_ms > MAX_SLOW_MS)

    def _coordinator(self, entry: TargetEntry) -> str:
        """Return the VM that counts a target's places: one of its data centre, if any.

        All VMs choose the same, unless they see different VMs as live.
        """
        order = self._memberships.order_for(f"places {entry.target}")
        for vm in order:
            record = self._memberships.record_of(vm)
            if record is not None and record.data_centre == entry.data_centre:
                return vm
        return order[0] if order else self._mesh.vm

    def _patience_s(self, requested: PlacementRequest, spec: ServiceSpec) -> float:
        """Return how long a request waits for a place.

        A late answer still earns a part of its credit, so it waits for half of the time
        in which it can be served; after that its caller can still retry elsewhere.
        """
        run_s = self._run_times.run_ms(spec) / 1000
        left_s = requested.deadline_at - self._timers.now() - run_s
        return max(0.0, left_s / 2)

    async def _ask(
        self,
        requested: PlacementRequest,
        spec: ServiceSpec,
        question: PlaceQuestion,
        entry: TargetEntry,
        coordinator: str,
    ) -> Result[PlaceHold | PlaceReserved, Failure]:
        """Ask for a place; the reply if there is none, a failure if no VM counts."""
        number = next(self._numbers)
        message = self._message(requested, spec, question, entry, number)
        hold = PlaceHold(coordinator, entry, number, 0.0)
        settled = False
        try:
            reply = await self._questions.call(
                coordinator,
                message,
                question.wait_s + ANSWER_TIMEOUT_S,
                waits=question.wait_s > NEAR_S,
            )
            settled = reply.is_ok() and isinstance(reply.ok_value, PlaceReserved)
        finally:
            if not settled:
                # The place may be granted although nobody waits for it any more.
                self._end(hold, sent=False)
        now = self._timers.now()
        if not settled:
            if reply.is_ok():
                return Err(Failure(ErrorKind.BAD_MESSAGE, "no reply to a question"))
            if is_silent(reply):
                self._direct_until[coordinator] = now + DIRECT_S
            return reply
        answer: PlaceReserved = reply.ok_value
        if answer.reserved:
            self._waits.pop(entry.target, None)
            return Ok(hold._replace(granted_at=now))
        self._waits[entry.target] = _Wait(now + WAIT_TTL_S, answer.wait_s)
        return Ok(answer)

    def _message(
        self,
        requested: PlacementRequest,
        spec: ServiceSpec,
        question: PlaceQuestion,
        entry: TargetEntry,
        number: int,
    ) -> ReservePlace:
        now = self._timers.now()
        route = requested.route
        run_s = self._run_times.run_ms(spec) / 1000
        due_at = requested.arrived_at + route.objective_ms / 1000 - run_s
        return ReservePlace(
            entry.target,
            entry.started_ms,
            route.priority,
            due_at - now,
            question.wait_s,
            number,
            max(0.0, requested.deadline_at - now),
            PATIENCE_SHARE * route.objective_ms / 1000,
            requested.workspace,
        )
