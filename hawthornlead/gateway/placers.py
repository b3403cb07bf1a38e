"""Placing a request: choose a target, and have its adapter loaded there if need be."""

from typing import NamedTuple

from result import Err, Ok, Result

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
from .candidate_scorers import CandidateScorer, reading_share
from .engine_slots import AdapterKey
from .gateway_metrics import GatewayMetrics
from .records import (
    CallerRequest,
    Configuration,
    Route,
    ServiceSpec,
    TargetEntry,
)
from .refusals import backoff_failure, overload_failure
from .run_times import RunTimes
from .target_backoffs import TargetBackoffs
from .target_choices import Candidate, Holding
from .target_healths import TargetHealths
from .target_limits import TargetLimits
from .target_loads import TargetLoads
from .target_searches import MAX_LOAD_TRIES, TargetSearch
from .target_tables import TargetTable

# A load takes 0.25 to 0.3 s and more while many run. One that is not there after this
# is tried at another target, and what has no place after PLACE_S is refused: a caller
# gives a stream up that hasn't begun after 2 to 3 s, and could come back before.
LOAD_WAIT_S = 0.9
# The owner of an engine answers within milliseconds, or not at all.
RESERVE_S = 0.1
# A longer wait for a turn is compared with other engines first. On average prompts take
# a fifth of an engine's time and wait 20 to 60 ms.
LONG_TURN_S = 0.15
# Where no other engine is left to try, any wait is reserved: longer than any deadline.
ANY_TURN_S = 600.0
# A prompt waits for its turn until this share of its objective has passed: what is left
# must do for the reading of the longest prompts, 0.2 s.
TURN_SHARE = 0.65
PLACE_S = 1.6
# From the order of an adapter to the first token: 0.28 s until it is there and some
# 0.1 s for the prompt, 0.2 s where prompts wait.
START_S = 0.45


class Placed(NamedTuple):
    """Where an attempt goes, and by what it was chosen.

    ``key`` is None where no adapter is involved. ``tries`` counts the targets that
    were asked to load the adapter, this one too. ``turn_s`` is how long the prompt
    waited for its turn, None where the target's owner didn't give it one. ``counted``
    requests count within the target's limit already.
    """

    entry: TargetEntry
    key: AdapterKey | None
    cost_ms: float
    candidate: Candidate
    tries: int
    turn_s: float | None = None
    counted: bool = False


class PlacementRequest(NamedTuple):
    """A request that wants a place; ``excluded`` targets have had it already."""

    route: Route
    service: str
    request: CallerRequest
    arrived_at: float
    deadline_at: float
    excluded: frozenset[str]


class Placer:
    """Chooses where requests go, by what this VM knows.

    ::

        placed = await placer.place(wanted)
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
    ):
        self._metrics = metrics
        self._timers = timers
        self._targets = targets
        self._loads = loads
        self._limits = limits
        self._backoffs = backoffs
        self._mesh = mesh
        self._configuration: Configuration | None = None
        self._survey = CandidateScorer(
            data_centre=data_centre,
            targets=targets,
            loads=loads,
            healths=healths,
            limits=limits,
            backoffs=backoffs,
            timers=timers,
            run_times=run_times,
        )

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take a newer configuration."""
        self._configuration = configuration

    async def place(self, wanted: PlacementRequest) -> Result[Placed, Failure]:
        """Return where the request goes, its adapter ready there."""
        spec = self._configuration.service(wanted.service)
        if spec is None:
            return Err(Failure(ErrorKind.NO_TARGET, "the service isn't known", 0.5))
        request = wanted.request
        key = AdapterKey(request.model, request.adapter)
        failure = Failure(ErrorKind.NO_TARGET, "no target can serve it now", 0.5)
        place_until = min(self._timers.now() + PLACE_S, wanted.deadline_at)
        reading = reading_share(wanted.route, request)
        tries = TargetSearch(
            excluded=wanted.excluded,
            score=lambda excluded: self._survey.score(spec, key, excluded, reading),
            timers=self._timers,
        )
        while tries.may_continue:
            slack_s = self._slot_due_at(wanted) - self._timers.now()
            if not tries.candidates:
                return Err(self._held_back(spec) or failure)
            best = tries.best(slack_s)
            if best is None:
                return Err(failure._replace(retry_after_s=tries.full_retry_s))
            refusal = overload_failure(
                best, wanted.route, wanted.deadline_at - self._timers.now()
            )
            if refusal is not None:
                return Err(refusal)
            target = best.candidate.target
            entry = self._targets.entries.get(target)
            if entry is None:
                tries.record_failure(target, _gone())
                continue
            placed = Placed(
                entry,
                key if spec.engine else None,
                *best,
                tries.count,
                counted=self._limits.is_limited(target),
            )
            slot_wait_s = slack_s if tries.is_full(target) else 0.0
            ready = await self._prepare_within_limit(
                wanted, spec, placed, place_until, slot_wait_s
            )
            if ready.is_ok():
                return Ok(placed._replace(turn_s=ready.ok_value))
            failure = ready.err_value
            tries.record_failure(target, failure)
        return Err(failure)

    async def _prepare_within_limit(
        self,
        wanted: PlacementRequest,
        spec: ServiceSpec,
        placed: Placed,
        place_until: float,
        slot_wait_s: float,
    ) -> Result[float | None, Failure]:
        """Prepare a target for a request that counts within its limit, if it has one.

        It counts from here on: while its adapter is loaded others are placed.
        """
        target = placed.entry.target
        if not self._limits.acquire(target):
            return Err(backoff_failure(self._limits.wait_s(target)))
        ready = await self._prepare(wanted, spec, placed, place_until, slot_wait_s)
        if ready.is_err() and placed.counted:
            self._limits.refund(target)
        return ready

    async def _prepare(
        self,
        wanted: PlacementRequest,
        spec: ServiceSpec,
        placed: Placed,
        place_until: float,
        slot_wait_s: float,
    ) -> Result[float | None, Failure]:
        """Have the adapter loaded if it isn't there, and wait for the prompt's turn.

        Return how long that was, None where no turn was given.
        """
        entry = placed.entry
        turn_s = None
        if placed.candidate.holding is not Holding.READY:
            wait_s = min(LOAD_WAIT_S, place_until - self._timers.now())
            if wait_s <= 0:
                return Err(Failure(ErrorKind.LOAD_FAILED, "no time to load", 0.3))
            asked_at = self._timers.now()
            loaded = await self._load(wanted, placed, wait_s, slot_wait_s)
            self._metrics.load_wait.observe(self._timers.now() - asked_at)
            if not self._targets.is_current(entry):
                return Err(_gone())
            if loaded.is_err():
                self._survey.mark_full(entry.target, loaded.err_value)
                return loaded
        if spec.engine is not None:
            turn = await self._await_turn(wanted, placed)
            if turn.is_err():
                return turn
            turn_s = turn.ok_value
        if not self._targets.is_current(entry):
            self.notify_ended(placed)
            return Err(_gone())
        return Ok(turn_s)

    def notify_ended(self, placed: Placed) -> None:
        """Tell a target's owner that a request which had its turn is over.

        Without this word an adapter would seem in use for 0.2 s to 0.6 s longer than it
        is, which is as long as most runs last.
        """
        entry, key = placed.entry, placed.key
        owner = self._targets.owner(entry.target)
        if key is None or not key.adapter or not owner:
            return
        running = self._loads.own_running(entry.target, key)
        message = RequestEnded(entry.target, *key, running, entry.started_ms)
        send(self._mesh, owner, message)

    def discard(self, target: str) -> None:
        """Drop what was noted of a target that is gone, or started again."""
        self._survey.discard(target)

    def notify_missing(self, target: str, key: AdapterKey) -> None:
        """Tell a target's owner that it refused a request for want of an adapter."""
        owner = self._targets.owner(target)
        if owner:
            started_ms = self._targets.incarnation(target).started_ms
            send(self._mesh, owner, AdapterMissing(target, *key, started_ms))

    def _held_back(self, spec: ServiceSpec) -> Failure | None:
        """Return the refusal of a request if targets want none from this VM now."""
        waits = []
        for entry in self._targets.of_service(spec.name):
            target = entry.target
            rest_s = self._backoffs.wait_s(target)
            if rest_s or self._limits.is_limited(target):
                waits.append(max(rest_s, self._limits.wait_s(target)))
        return backoff_failure(min(waits)) if waits else None

    async def _await_turn(
        self, wanted: PlacementRequest, placed: Placed
    ) -> Result[float | None, Failure]:
        """Wait until the engine may read the prompt, and return for how long.

        Fails with ``LOAD_FAILED`` if its adapter left, and ``TOO_LATE_TO_START`` if
        another engine may be sooner: then its wait is known and weighed. An owner that
        doesn't answer holds nobody up: then requests go at once.
        """
        entry = placed.entry
        target = entry.target
        request = wanted.request
        if not self._targets.is_orderable(target):
            return Ok(None)
        last = placed.tries >= MAX_LOAD_TRIES
        # One that was loaded for this request would be fetched again elsewhere, though
        # the wait for its turn is shorter than a fetch and the slot it takes.
        last = last or placed.candidate.holding is not Holding.READY
        most_s = ANY_TURN_S if last else LONG_TURN_S
        message = ReservePrompt(
            target,
            request.model,
            request.adapter,
            request.prompt_tokens,
            most_s,
            entry.started_ms,
            wanted.route.event_gap_ms,
        )
        reply = await self._mesh.call(self._targets.owner(target), message, RESERVE_S)
        if not self._targets.is_current(entry):
            return Err(_gone())
        if reply.is_err():
            return Ok(None)
        if not reply.ok_value.held:
            self._targets.mark_absent(target, placed.key)
            return Err(Failure(ErrorKind.LOAD_FAILED, "the adapter has left", 0.2))
        self._targets.record_turn(target, reply.ok_value.wait_s)
        if not reply.ok_value.reserved:
            return Err(Failure(ErrorKind.TOO_LATE_TO_START, "prompts wait there", 0.3))
        now = self._timers.now()
        start_by = wanted.arrived_at + TURN_SHARE * wanted.route.objective_ms / 1000
        wait_s = min(reply.ok_value.wait_s, start_by - now)
        self._metrics.turn_wait.observe(max(0.0, wait_s))
        if wait_s > 0:
            await self._timers.sleep(wait_s)
        return Ok(max(0.0, wait_s))

    def _slot_due_at(self, wanted: PlacementRequest) -> float:
        """Return when an adapter must be ordered for an answer within its objective."""
        begun_by = wanted.arrived_at + wanted.route.objective_ms / 1000
        return min(begun_by, wanted.deadline_at) - START_S

    async def _load(
        self,
        wanted: PlacementRequest,
        placed: Placed,
        wait_s: float,
        slot_wait_s: float,
    ) -> Result[AdapterLoaded, Failure]:
        entry, key = placed.entry, placed.key
        owner = self._targets.owner(entry.target)
        version = self._targets.version(key)
        wait_s += slot_wait_s
        message = LoadAdapter(
            entry.target,
            *key,
            version,
            wait_s,
            entry.started_ms,
            wanted.route.priority,
            self._slot_due_at(wanted) - self._timers.now(),
            slot_wait_s,
        )
        return await self._mesh.call(owner, message, wait_s + 0.1)


def _gone() -> Failure:
    """Return why a target isn't used that was chosen a moment ago."""
    return Failure(ErrorKind.NO_TARGET, "the target is leaving, or started again", 0.1)
