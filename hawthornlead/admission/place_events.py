"""Events and counts of what became of requests for places, bounded in number."""

from collections.abc import Callable

from ..events import EventKind, EventRing
from ..timers import TimerService
from .place_gates import Admission, GateAnswer
from .place_queues import PlaceRequest

# Under overload, hundreds of requests a second are delayed or refused; the counters
# count all of them.
MAX_EVENTS_PER_S = 10


class PlaceEvents:
    """Emits events of one part of admission, at most ``MAX_EVENTS_PER_S``.

    ``count`` counts each outcome. An event's ``omitted`` is how many were left out
    before it.
    """

    def __init__(
        self, events: EventRing, timers: TimerService, count: Callable[[str], None]
    ):
        self._events = events
        self._timers = timers
        self._count = count
        self._since = 0.0
        self._emitted = 0
        self._omitted = 0

    def record_decision(
        self,
        target: str,
        request: PlaceRequest,
        answer: GateAnswer,
        *,
        granted: bool,
        waited_s: float,
        **inputs,
    ) -> None:
        """Record what became of a request; an event if it was delayed or refused."""
        delayed = answer.outcome is not Admission.GRANTED
        outcome = "refused" if not granted else "delayed" if delayed else "granted"
        self._count(outcome)
        if not delayed:
            return
        self._emit(
            EventKind.PLACE_DELAYED if granted else EventKind.PLACE_REFUSED,
            target,
            asked_by=request.vm,
            number=request.number,
            rank=request.rank,
            waited_ms=round(1000 * waited_s),
            expected_ms=round(1000 * answer.wait_s),
            running=answer.running,
            **inputs,
        )

    def record_direct(self, target: str, **inputs) -> None:
        """Record a request that is sent without a place."""
        self._count("direct")
        self._emit(EventKind.PLACE_UNCOUNTED, target, **inputs)

    def _emit(self, kind: EventKind, target: str, **fields) -> None:
        now = self._timers.now()
        if now - self._since >= 1.0:
            self._since, self._emitted = now, 0
        if self._emitted >= MAX_EVENTS_PER_S:
            self._omitted += 1
            return
        self._emitted += 1
        omitted, self._omitted = self._omitted, 0
        self._events.emit(kind, target, **fields, omitted=omitted)
