"""Targets of services that are brittle: they fall over if they must refuse too much.

Such targets say in all their answers how many refusals a second they bear, of all VMs
together. A VM whose request is refused for want of room tells the others at once.
``decisions.refusal_guards`` decides what may be sent::

    brittle.record_answer(entry, 5.0, sent_at)
    wait_s = brittle.wait_s("i-7f3a")
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from ..decisions.refusal_guards import RefusalGuard
from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import TargetFull
from ..timers import TimerService
from .records import Incarnation, TargetEntry
from .target_loads import TargetLoads
from .target_tables import TargetTable

# A service counts as brittle until this long after the last answer that says so.
TERMS_TTL_S = 5.0


class _Terms(NamedTuple):
    """How many refusals a second each target of a service bears."""

    allowed_per_s: float
    first_seen_at: float
    confirmed_at: float


class BrittleTargets:
    """When this VM may send requests to targets that are brittle.

    ``vms`` returns how many VMs send requests.
    """

    def __init__(
        self,
        *,
        targets: TargetTable,
        loads: TargetLoads,
        timers: TimerService,
        rng: Random,
        events: EventRing,
        mesh: FleetMesh,
        vms: Callable[[], int],
    ):
        self._targets = targets
        self._loads = loads
        self._timers = timers
        self._rng = rng
        self._events = events
        self._mesh = mesh
        self._vms = vms
        self._terms: dict[str, _Terms] = {}
        self._guards: dict[str, RefusalGuard] = {}
        mesh.on(TargetFull, self._on_target_full)

    def wait_s(self, target: str) -> float:
        """Return when this VM may send a request to a target, 0 if it may be now."""
        if not self._terms:
            return 0.0
        entry = self._targets.entries.get(target)
        if entry is None or self._current(entry.service) is None:
            return 0.0
        return self._guard(entry).wait_s(
            own=self._loads.own_on(target),
            running=self._loads.running(target),
            vms=self._vms(),
            now=self._timers.now(),
        )

    def is_brittle(self, target: str) -> bool:
        """Whether a target's service is brittle now."""
        if not self._terms:
            return False
        entry = self._targets.entries.get(target)
        return entry is not None and self._current(entry.service) is not None

    def record_answer(
        self, entry: TargetEntry, allowed_per_s: float | None, sent_at: float
    ) -> None:
        """Apply what a target says in an answer, None if it isn't brittle.

        ``sent_at`` is when its request was sent.
        """
        if allowed_per_s is not None:
            self._confirm(entry.service, allowed_per_s)
            return
        terms = self._terms.get(entry.service)
        if terms is not None and sent_at >= terms.first_seen_at:
            self._end(entry.service)

    def record_refusal(self, entry: TargetEntry) -> None:
        """Record that a target refused a request of this VM for want of room."""
        terms = self._current(entry.service)
        if terms is None:
            return
        running = max(0, self._loads.running(entry.target) - 1)
        self._record(entry, running, terms.allowed_per_s)
        message = TargetFull(
            entry.target, running, terms.allowed_per_s, entry.started_ms
        )
        self._mesh.broadcast(message)

    def discard(self, target: str) -> None:
        """Discard the state of a target whose incarnation is over."""
        self._guards.pop(target, None)

    async def _on_target_full(self, sender, message: TargetFull) -> None:
        """Record that a target refused a request of another VM."""
        entry = self._targets.entries.get(message.target)
        reported = Incarnation(message.target, message.started_ms)
        if entry is None or not reported.matches(entry.incarnation):
            return
        self._confirm(entry.service, message.allowed_per_s)
        self._record(entry, message.running, message.allowed_per_s)

    def _record(self, entry: TargetEntry, running: int, allowed_per_s: float) -> None:
        self._guard(entry).record_refusal(
            running=running,
            vms=self._vms(),
            allowed_per_s=allowed_per_s,
            now=self._timers.now(),
        )

    def _guard(self, entry: TargetEntry) -> RefusalGuard:
        guard = self._guards.get(entry.target)
        if guard is None:
            now = self._timers.now()
            guard = RefusalGuard(slots=entry.slots, now=now, rng=self._rng)
            self._guards[entry.target] = guard
        return guard

    def _confirm(self, service: str, allowed_per_s: float) -> None:
        now = self._timers.now()
        terms = self._current(service)
        if terms is None:
            self._events.emit(
                EventKind.SERVICE_BRITTLE, service, allowed_per_s=allowed_per_s
            )
        first_seen_at = now if terms is None else terms.first_seen_at
        self._terms[service] = _Terms(allowed_per_s, first_seen_at, now)

    def _current(self, service: str) -> _Terms | None:
        """Return the terms of a brittle service, None if it isn't brittle now."""
        terms = self._terms.get(service)
        if terms is not None and self._timers.now() > terms.confirmed_at + TERMS_TTL_S:
            self._end(service)
            return None
        return terms

    def _end(self, service: str) -> None:
        del self._terms[service]
        for entry in self._targets.of_service(service):
            self._guards.pop(entry.target, None)
        self._events.emit(EventKind.SERVICE_NOT_BRITTLE, service)
