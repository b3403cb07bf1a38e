"""Scores for the targets of a service, from all that one VM knows of them.

::

    survey.scored(spec, AdapterKey("m", "a3"), excluded=frozenset(), demand)
"""

from typing import NamedTuple

from ..errors import ErrorKind, Failure
from ..timers import TimerService
from .adapter_homes import AdapterHomes
from .engine_slots import AdapterKey
from .measured_engines import MeasuredEngines
from .records import ServiceSpec, TargetEntry
from .run_times import RunTimes
from .speed_costs import StreamDemand, speed_costs
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

# How long an owner's report of full slots counts. At a busy engine a slot becomes free
# every 0.1 s to 0.2 s.
SLOT_WAIT_TTL_S = 0.25


class _SlotWait(NamedTuple):
    """How long a target's owner expects the wait for a slot; valid ``until`` a time."""

    until: float
    wait_ms: float


class CandidateScorer:
    """Scores the targets that may take a request."""

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
        measured: MeasuredEngines | None = None,
    ):
        self._measured = measured
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
        demand: StreamDemand,
    ) -> list[Scored]:
        """Return the usable targets of a service but the excluded, the best first."""
        entries = self._targets.of_service(spec.name)
        holdings = {
            entry.target: self._targets.holding(entry, spec, key) for entry in entries
        }
        homes = self._home_targets(spec, key, tuple(holdings))
        listed = shortlist(holdings, homes, excluded)
        candidates = []
        for entry in entries:
            if entry.target not in listed or not self._accepts_requests(entry.target):
                continue
            holding = holdings[entry.target]
            candidate = self._candidate(entry, spec, holding)
            candidates.append(self._with_speed(candidate, entry, spec, demand))
        return order_candidates(
            candidates, Demand(homes, bool(key.adapter), demand.reading)
        )

    def _accepts_requests(self, target: str) -> bool:
        """Whether the target's backoff and limit allow a request of this VM now."""
        return not self._backoffs.wait_s(target) and not self._limits.wait_s(target)

    def mark_full(self, target: str, failure: Failure) -> None:
        """Record that a target's owner has no free slot, if that is the failure."""
        if failure.kind is ErrorKind.NO_SLOT:
            valid_until = self._timers.now() + SLOT_WAIT_TTL_S
            wait_ms = 1000 * failure.retry_after_s
            self._slot_waits[target] = _SlotWait(valid_until, wait_ms)

    def discard(self, target: str) -> None:
        """Discard the slot wait of a target that is gone or has restarted."""
        self._slot_waits.pop(target, None)

    def _home_targets(
        self, spec: ServiceSpec, key: AdapterKey, targets: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Return the home targets of an adapter in a service, in order."""
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
            is_local=entry.data_centre == self._data_centre,
            prompts_ms=1000 * max(0.0, self._targets.turn_at(target) - now),
            arriving=self._targets.arriving(target),
            slot_wait_ms=self._slot_wait_ms(target, now),
            run_ms=run_ms,
            # Requests of a plain service delay one another only briefly.
            batch_ms=FULL_BATCH_MS if spec.engine else run_ms,
        )

    def _with_speed(
        self,
        candidate: Candidate,
        entry: TargetEntry,
        spec: ServiceSpec,
        demand: StreamDemand,
    ) -> Candidate:
        """Return a candidate with the costs of its engine's measured speed, if any."""
        if self._measured is None or not self._measured.enabled or spec.engine is None:
            return candidate
        compared = self._measured.compared(entry)
        if not compared.speed.known:
            return candidate
        costs = speed_costs(compared, demand, candidate.running, spec.engine)
        slowness = max(1.0, costs.slowness)
        return candidate._replace(
            slow_ms=self._healths.cost_ms(entry.target, slowness),
            run_ms=candidate.run_ms * compared.factors.full,
            batch_ms=candidate.batch_ms * compared.factors.full,
            first_ms=costs.first_ms,
            reading=compared.factors.reading,
            preference_ms=costs.preference_ms,
        )

    def _slot_wait_ms(self, target: str, now: float) -> float:
        """Return the last reported wait for a slot, 0 if it is out of date."""
        reported = self._slot_waits.get(target)
        return (
            reported.wait_ms if reported is not None and reported.until > now else 0.0
        )
