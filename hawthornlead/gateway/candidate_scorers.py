"""The targets of a service as one VM knows them, for the choice among them.

::

    survey.scored(spec, AdapterKey("m", "a3"), excluded=frozenset(), reading=0.4)
"""

from typing import NamedTuple

from ..errors import ErrorKind, Failure
from ..timers import TimerService
from .adapter_homes import AdapterHomes
from .engine_slots import AdapterKey
from .prompt_pacers import EVENT_MS, read_ms
from .records import CallerRequest, Route, ServiceSpec, TargetEntry
from .run_times import RunTimes
from .target_backoffs import TargetBackoffs
from .target_choices import (
    FULL_BATCH_MS,
    Candidate,
    Demand,
    Holding,
    Scored,
    order_candidates,
    shortlist,
)
from .target_healths import TargetHealths
from .target_limits import TargetLimits
from .target_loads import TargetLoads
from .target_tables import TargetTable

# For so long what an owner said of its full slots is believed. Slots come free every
# 0.1 s to 0.2 s at a busy engine.
FULL_S = 0.25


class _SlotWait(NamedTuple):
    """How long a target's owner expects a slot to take, and until when that counts."""

    until: float
    wait_ms: float


class CandidateScorer:
    """Gathers what is known of each target that may take a request."""

    def __init__(
        self,
        *,
        data_centre: str,
        targets: TargetTable,
        loads: TargetLoads,
        healths: TargetHealths,
        limits: TargetLimits,
        backoffs: TargetBackoffs,
        timers: TimerService,
        run_times: RunTimes,
    ):
        self._data_centre = data_centre
        self._targets = targets
        self._loads = loads
        self._healths = healths
        self._limits = limits
        self._backoffs = backoffs
        self._timers = timers
        self._run_times = run_times
        self._slot_waits: dict[str, _SlotWait] = {}
        self._homes: dict[str, AdapterHomes] = {}

    def score(
        self,
        spec: ServiceSpec,
        key: AdapterKey,
        excluded: frozenset[str],
        reading: float,
    ) -> list[Scored]:
        """Return the usable targets of a service but the excluded, the best first.

        ``reading`` is what ``reading_share`` returns of the request.
        """
        entries = self._targets.of_service(spec.name)
        holdings = {
            entry.target: self._targets.holding(entry, spec, key) for entry in entries
        }
        homes = self._homes_of(spec, key, tuple(holdings))
        listed = shortlist(holdings, homes, excluded)
        candidates = []
        for entry in entries:
            if entry.target not in listed or not self._wants_more(entry.target):
                continue
            holding = holdings[entry.target]
            candidates.append(self._candidate(entry, spec, holding))
        return order_candidates(candidates, Demand(homes, bool(key.adapter), reading))

    def _wants_more(self, target: str) -> bool:
        """Whether this VM may send a request to a target now, as far as it says."""
        return not self._backoffs.wait_s(target) and not self._limits.wait_s(target)

    def mark_full(self, target: str, failure: Failure) -> None:
        """Note that a target's owner has no slot to spare, if that is what failed."""
        if failure.kind is ErrorKind.NO_SLOT:
            believed_until = self._timers.now() + FULL_S
            wait_ms = 1000 * failure.retry_after_s
            self._slot_waits[target] = _SlotWait(believed_until, wait_ms)

    def discard(self, target: str) -> None:
        """Drop what was noted of a target that is gone, or started again."""
        self._slot_waits.pop(target, None)

    def _homes_of(
        self, spec: ServiceSpec, key: AdapterKey, targets: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Return the homes of an adapter among a service's targets."""
        if not key.adapter:
            return ()
        homes = self._homes.setdefault(spec.name, AdapterHomes())
        return homes.of(f"{key.model}/{key.adapter}", targets)

    def _candidate(
        self, entry: TargetEntry, spec: ServiceSpec, holding: Holding
    ) -> Candidate:
        slots = spec.engine.batch if spec.engine else entry.slots
        run_ms = self._run_times.run_ms(spec)
        target = entry.target
        now = self._timers.now()
        return Candidate(
            target=target,
            slots=slots,
            running=self._loads.running(target),
            holding=holding,
            orderable=self._targets.is_orderable(target),
            suspect=self._healths.is_suspect(target),
            slow_ms=self._healths.cost_ms(target),
            near=entry.data_centre == self._data_centre,
            prompts_ms=1000 * max(0.0, self._targets.turn_at(target) - now),
            arriving=self._targets.arriving(target),
            slot_wait_ms=self._slot_wait_ms(target, now),
            run_ms=run_ms,
            # Requests of a plain service don't hold one another up for long.
            batch_ms=FULL_BATCH_MS if spec.engine else run_ms,
        )

    def _slot_wait_ms(self, target: str, now: float) -> float:
        """Return how long a slot was to be waited for a moment ago."""
        told = self._slot_waits.get(target)
        return told.wait_ms if told is not None and told.until > now else 0.0


def reading_share(route: Route, request: CallerRequest) -> float:
    """Return which share of a pause that its route bears a prompt takes to read."""
    gap_ms = route.event_gap_ms - EVENT_MS
    if gap_ms <= 0:
        return 0.0
    return min(1.0, read_ms(request.prompt_tokens) / gap_ms)
