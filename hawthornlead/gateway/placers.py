"""Placing a request: choose a target and have its adapter loaded there if necessary."""

from result import Err, Ok, Result

from ..engine_speeds.stream_samples import StreamSample
from ..errors import ErrorKind, Failure
from ..fleet.fleet_meshes import FleetMesh
from ..mesh.casts import send
from ..messages.gateways import (
    AdapterLoaded,
    AdapterMissing,
    LoadAdapter,
    RequestEnded,
    ReservePrompt,
)
from ..timers import TimerService
from .candidate_scorers import CandidateScorer
from .engine_slots import AdapterKey
from .gateway_metrics import GatewayMetrics
from .measured_engines import MeasuredEngines
from .place_questions import PlaceQuestions
from .placed_requests import Placed, Prepared
from .placement_requests import PlacementRequest
from .plain_places import PlainChoice, PlainPlaces
from .records import Configuration, EngineSpec, ServiceSpec
from .refusals import backoff_failure, no_target_failure, overload_failure
from .run_times import RunTimes
from .speed_costs import stream_demand
from .target_backoffs import TargetBackoffs
from .target_choices import Holding
from .target_healths import TargetHealths
from .target_limits import TargetLimits
from .target_loads import TargetLoads
from .target_searches import MAX_LOAD_TRIES, TargetSearch
from .target_tables import TargetTable

# A load takes 0.25 to 0.3 s, longer while many run. After this time another target is
# tried.
LOAD_TIMEOUT_S = 0.9
# The owner of an engine answers within milliseconds or not at all.
RESERVE_TIMEOUT_S = 0.1
# If the turn is later than this, other engines are compared first. On average prompts
# use a fifth of an engine's time and wait 20 to 60 ms.
MAX_TURN_WAIT_S = 0.15
# Accepts any wait when no other engine is left to try; longer than any deadline.
UNBOUNDED_TURN_WAIT_S = 600.0
# A prompt waits for its turn up to this share of its objective. The rest must suffice
# for reading the longest prompts, which takes 0.2 s.
TURN_SHARE = 0.65
# A request without a target after this time is refused: callers abandon a stream that
# has not started after 2 to 3 s, and can retry elsewhere before then.
PLACEMENT_TIMEOUT_S = 1.6
# From the load order of an adapter to the first token: 0.28 s for the load and about
# 0.1 s for the prompt, 0.2 s if prompts are waiting.
START_S = 0.45
# A target that left or restarted after it was chosen.
TARGET_GONE = Failure(
    ErrorKind.NO_TARGET, "the target is leaving, or started again", 0.1
)


class Placer:
    """Chooses targets for requests from the state that this VM has observed.

    ::

        placed = await placer.place(PlacementRequest(...))
    """

    def __init__(
        self,
        *,
        data_centre: str,
        targets: TargetTable,
        loads: TargetLoads,
        healths: TargetHealths,
        limits: TargetLimits,
        backoffs: TargetBackoffs,
        mesh: FleetMesh,
        timers: TimerService,
        metrics: GatewayMetrics,
        run_times: RunTimes,
        measured: MeasuredEngines | None = None,
        plain_places: PlainPlaces | None = None,
        place_questions: PlaceQuestions | None = None,
    ):
        self._place_questions = place_questions
        self._plain_places = plain_places
        self._metrics = metrics
        self._timers = timers
        self._targets = targets
        self._loads = loads
        self._limits = limits
        self._backoffs = backoffs
        self._mesh = mesh
        self._configuration: Configuration | None = None
        self._scorer = CandidateScorer(
            data_centre=data_centre,
            targets=targets,
            loads=loads,
            healths=healths,
            limits=limits,
            backoffs=backoffs,
            timers=timers,
            run_times=run_times,
            measured=measured,
        )

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self._configuration = configuration

    async def place(self, requested: PlacementRequest) -> Result[Placed, Failure]:
        """Return the target for a request, with its adapter ready there."""
        spec = self._configuration.service(requested.service)
        if spec is None:
            return Err(Failure(ErrorKind.NO_TARGET, "the service isn't known", 0.5))
        request = requested.request
        key = AdapterKey(request.model, request.adapter)
        software = requested.software
        failure = no_target_failure(self._targets.of_service(spec.name), software)
        place_until = min(
            self._timers.now() + PLACEMENT_TIMEOUT_S, requested.deadline_at
        )
        demand = stream_demand(requested.route, request)
        search = TargetSearch(
            excluded=requested.excluded,
            score=lambda excluded: self._scorer.score(
                spec, key, excluded | self._other_software(spec, software), demand
            ),
            timers=self._timers,
        )
        if self._plain_places is not None and spec.engine is None:
            choice = await self._plain_places.choose(requested, spec, search.candidates)
            if choice is not None:
                return choice.map(_at_its_place)
        while search.may_continue:
            slack_s = self._slot_due_at(requested) - self._timers.now()
            if not search.candidates:
                return Err(self._backoff_refusal(spec, software) or failure)
            best = search.best(slack_s)
            if best is None:
                return Err(failure._replace(retry_after_s=search.full_retry_s))
            refusal = overload_failure(
                best, requested.route, requested.deadline_at - self._timers.now()
            )
            if refusal is not None:
                return Err(refusal)
            target = best.candidate.target
            entry = self._targets.entries.get(target)
            if entry is None or not entry.runs(software):
                search.record_failure(target, TARGET_GONE)
                continue
            placed = Placed(
                entry,
                key if spec.engine else None,
                *best,
                search.count,
                counted=self._limits.is_limited(target),
            )
            slot_wait_s = slack_s if search.is_full(target) else 0.0
            ready = await self._prepare_within_limit(
                requested, spec, placed, place_until, slot_wait_s
            )
            if ready.is_ok():
                return Ok(placed._replace(**ready.ok_value._asdict()))
            failure = ready.err_value
            search.record_failure(target, failure)
        return Err(failure)

    async def _prepare_within_limit(
        self,
        requested: PlacementRequest,
        spec: ServiceSpec,
        placed: Placed,
        place_until: float,
        slot_wait_s: float,
    ) -> Result[Prepared, Failure]:
        """Prepare a target, counting the request against the target's limit if any.

        The request counts from here on, because others are placed while its adapter
        is loaded.
        """
        target = placed.entry.target
        if not self._limits.acquire(target):
            return Err(backoff_failure(self._limits.wait_s(target)))
        ready = await self._prepare(requested, spec, placed, place_until, slot_wait_s)
        if ready.is_err() and placed.counted:
            self._limits.refund(target)
        return ready

    async def _prepare(
        self,
        requested: PlacementRequest,
        spec: ServiceSpec,
        placed: Placed,
        place_until: float,
        slot_wait_s: float,
    ) -> Result[Prepared, Failure]:
        """Load the adapter if it is missing, and wait for the prompt's turn."""
        entry = placed.entry
        turn_s = load_s = given_s = None
        if placed.candidate.holding is not Holding.READY:
            wait_s = min(LOAD_TIMEOUT_S, place_until - self._timers.now())
            if wait_s <= 0:
                return Err(Failure(ErrorKind.LOAD_FAILED, "no time to load", 0.3))
            ordered_at = self._timers.now()
            loaded = await self._load(requested, placed, wait_s, slot_wait_s)
            load_s = self._timers.now() - ordered_at
            self._metrics.load_wait.observe(load_s)
            if not self._targets.is_current(entry):
                return Err(TARGET_GONE)
            if loaded.is_err():
                self._scorer.mark_full(entry.target, loaded.err_value)
                return loaded
            given_s = loaded.ok_value.turn_s
        if given_s is not None:
            self._targets.record_turn(entry.target, given_s)
            turn_s = await self._sleep_until_turn(requested, given_s)
        elif spec.engine is not None:
            turn = await self._await_turn(requested, placed, spec.engine)
            if turn.is_err():
                return turn
            turn_s = turn.ok_value
        if not self._targets.is_current(entry):
            self.notify_ended(placed)
            return Err(TARGET_GONE)
        return Ok(Prepared(turn_s, load_s, given_s is not None))

    def notify_ended(
        self, placed: Placed, sample: StreamSample | None = None, sent: bool = True
    ) -> None:
        """Notify a target's owner that a request which had its turn has ended.

        ``sample`` shows the speed of the target, None if nothing was measured. ``sent``
        is False if the request wasn't sent to it; ``sample`` is of another target then.

        Without this message an adapter would appear in use for 0.2 s to 0.6 s longer
        than it is, which is as long as most runs last.
        """
        entry, key = placed.entry, placed.key
        if placed.hold is not None:
            self._plain_places.end(placed.hold, sent)
        owner = self._targets.owner(entry.target)
        if key is None or not owner:
            return
        if not key.adapter and self._place_questions is None:
            return
        running = self._loads.own_running(entry.target, key)
        message = RequestEnded(entry.target, *key, running, entry.started_ms)
        if sample is not None and sent:
            message = RequestEnded(*message[:5], *map(round, sample))
        send(self._mesh, owner, message)

    def discard(self, target: str) -> None:
        """Discard the state of a target that is gone or has restarted."""
        self._scorer.discard(target)

    def notify_missing(self, target: str, key: AdapterKey) -> None:
        """Notify a target's owner that it refused a request for a missing adapter."""
        owner = self._targets.owner(target)
        if owner:
            started_ms = self._targets.incarnation(target).started_ms
            send(self._mesh, owner, AdapterMissing(target, *key, started_ms))

    def _other_software(self, spec: ServiceSpec, software: str | None) -> set[str]:
        """Return the targets of a service that don't run a software version."""
        if software is None:
            return set()
        entries = self._targets.of_service(spec.name)
        return {entry.target for entry in entries if not entry.runs(software)}

    def _backoff_refusal(
        self, spec: ServiceSpec, software: str | None
    ) -> Failure | None:
        """Return a refusal if targets accept no requests from this VM now."""
        waits = []
        for entry in self._targets.of_service(spec.name):
            if not entry.runs(software):
                continue
            target = entry.target
            backoff_s = self._backoffs.wait_s(target)
            if backoff_s or self._limits.is_limited(target):
                waits.append(max(backoff_s, self._limits.wait_s(target)))
        return backoff_failure(min(waits)) if waits else None

    async def _await_turn(
        self, requested: PlacementRequest, placed: Placed, spec: EngineSpec
    ) -> Result[float | None, Failure]:
        """Wait until the engine may read the prompt, and return how long it took.

        Fails with ``LOAD_FAILED`` if the adapter was evicted, and ``TOO_LATE_TO_START``
        if another engine may be sooner; the wait is recorded and then counts in the
        comparison. If the owner doesn't answer, the request goes out at once.
        """
        entry = placed.entry
        target = entry.target
        request = requested.request
        if not self._targets.is_orderable(target):
            return Ok(None)
        last = placed.tries >= MAX_LOAD_TRIES
        # An adapter just loaded for this request would be fetched again at the next
        # engine. Waiting for the turn here takes less time, and no second slot.
        last = last or placed.candidate.holding is not Holding.READY
        max_wait_s = UNBOUNDED_TURN_WAIT_S if last else MAX_TURN_WAIT_S
        message = ReservePrompt(
            target,
            request.model,
            request.adapter,
            request.prompt_tokens,
            max_wait_s,
            entry.started_ms,
            requested.route.event_gap_ms,
        )
        objective_s = requested.route.objective_ms / 1000
        start_by = requested.arrived_at + TURN_SHARE * objective_s
        places = self._place_questions
        owner = self._targets.owner(target)
        if places is None:
            reply = await self._mesh.call(owner, message, RESERVE_TIMEOUT_S)
        else:
            message = places.with_place(message, requested, spec, start_by, last)
            reply = await places.call(owner, message, RESERVE_TIMEOUT_S)
        if not self._targets.is_current(entry):
            return Err(TARGET_GONE)
        if reply.is_err():
            refusal = places and places.unanswered(entry, spec, reply.err_value, last)
            return Err(refusal) if refusal else Ok(None)
        if not reply.ok_value.held:
            self._targets.mark_refused(target, placed.key)
            return Err(Failure(ErrorKind.LOAD_FAILED, "the adapter has left", 0.2))
        refusal = places and places.refusal(message, reply.ok_value)
        if refusal:
            return Err(refusal)
        self._targets.record_turn(target, reply.ok_value.wait_s)
        if not reply.ok_value.reserved:
            return Err(Failure(ErrorKind.TOO_LATE_TO_START, "prompts wait there", 0.3))
        return Ok(await self._sleep_until_turn(requested, reply.ok_value.wait_s))

    async def _sleep_until_turn(
        self, requested: PlacementRequest, turn_s: float
    ) -> float:
        """Wait for a turn as long as the objective allows; return how long it took."""
        objective_s = requested.route.objective_ms / 1000
        start_by = requested.arrived_at + TURN_SHARE * objective_s
        wait_s = max(0.0, min(turn_s, start_by - self._timers.now()))
        self._metrics.turn_wait.observe(wait_s)
        if wait_s > 0:
            await self._timers.sleep(wait_s)
        return wait_s

    def _slot_due_at(self, requested: PlacementRequest) -> float:
        """Return by when the adapter must be ordered to meet the route's objective."""
        begun_by = requested.arrived_at + requested.route.objective_ms / 1000
        return min(begun_by, requested.deadline_at) - START_S

    async def _load(
        self,
        requested: PlacementRequest,
        placed: Placed,
        wait_s: float,
        slot_wait_s: float,
    ) -> Result[AdapterLoaded, Failure]:
        entry, key = placed.entry, placed.key
        owner = self._targets.owner(entry.target)
        version = self._targets.version(key)
        wait_s += slot_wait_s
        # Where places are counted, the turn comes with the place that is asked for once
        # the adapter is there.
        tokens = None if self._place_questions else requested.request.prompt_tokens
        message = LoadAdapter(
            entry.target,
            *key,
            version,
            wait_s,
            entry.started_ms,
            requested.route.priority,
            self._slot_due_at(requested) - self._timers.now(),
            slot_wait_s,
            tokens,
            requested.route.event_gap_ms,
        )
        return await self._mesh.call(owner, message, wait_s + 0.1)


def _at_its_place(choice: PlainChoice) -> Placed:
    return Placed(choice.hold.entry, None, *choice.scored, 1, hold=choice.hold)
