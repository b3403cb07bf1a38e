"""The gate of one target: who gets a place now, who waits, and who is refused.

::

    gate = PlaceGate(places=8, book=PlaceBook(0.1), queue=PlaceQueue())
    outcome = gate.ask(request, now)
    for request in gate.end("edge-3", number, now):
        ...
"""

import math
from enum import Enum
from typing import NamedTuple

from .place_books import Grant, PlaceBook
from .place_queues import PlaceQueue, PlaceRequest


class Admission(Enum):
    """What becomes of a request for a place."""

    GRANTED = "granted"
    WAITS = "waits"
    REFUSED = "refused"


class GateAnswer(NamedTuple):
    """The outcome of a request, its expected wait, and the target's requests."""

    outcome: Admission
    wait_s: float
    running: int


class PlaceGate:
    """Grants the places and the tokens of one target to requests of all VMs.

    Without a bound of memory, ``tokens`` is infinite.
    """

    def __init__(
        self,
        *,
        places: int,
        book: PlaceBook,
        queue: PlaceQueue,
        tokens: float = math.inf,
    ):
        self.places = places
        self._tokens = tokens
        self.book = book
        self._queue = queue

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def ask(self, request: PlaceRequest, now: float) -> GateAnswer:
        """Grant a place, or let the request wait, or refuse it.

        It is refused at once if it can't be served before it stops waiting. Call
        ``grant_waiting`` before, so that no place that lapsed is free now.
        """
        ahead = self._queue.ahead(request, now)
        running = self.book.running(now)
        if not ahead and self._fits(request, running):
            self._grant(request, now)
            return GateAnswer(Admission.GRANTED, 0.0, running + 1)
        wait_s = self.expected_wait(ahead, running)
        if wait_s > request.until - now:
            return GateAnswer(Admission.REFUSED, wait_s, running)
        self._queue.add(request)
        return GateAnswer(Admission.WAITS, wait_s, running)

    def end(
        self, vm: str, number: int, now: float, ran: bool = True
    ) -> list[PlaceRequest]:
        """End a VM's request, whether it has a place or waits; return who is served."""
        if not self._queue.remove(vm, number):
            self.book.end(vm, number, now, ran)
        return self.grant_waiting(now)

    def count(self, request: PlaceRequest, now: float) -> None:
        """Count a request that is sent whether it has a place or not."""
        self._grant(request, now)

    def end_oldest(self, vm: str, key: str, now: float) -> list[PlaceRequest]:
        """End the place that a VM has held longest for a key; return who is served."""
        self.book.end_oldest(vm, key, now)
        return self.grant_waiting(now)

    def grant_waiting(self, now: float) -> list[PlaceRequest]:
        """Grant the free places to the waiting requests, and return these."""
        served = []
        self.book.lapse(now)
        while True:
            request = self._queue.first(now)
            if request is None or not self._fits(request, self.book.running(now)):
                return served
            self._queue.take(request, now)
            self._grant(request, now)
            served.append(request)

    def expected_wait(self, ahead: int, running: int) -> float:
        """Return how long a request waits behind others, by the observed ends.

        A place is free each ``hold_s`` divided by the places.
        """
        places = max(1, self.places)
        beyond = max(0, running - places)
        return (ahead + 1 + beyond) * self.book.hold_s / places

    def _fits(self, request: PlaceRequest, running: int) -> bool:
        if running >= self.places:
            return False
        # A request larger than the memory runs alone, or it would never run.
        held = self.book.tokens
        return not held or held + request.tokens <= self._tokens

    def _grant(self, request: PlaceRequest, now: float) -> None:
        grant = Grant(
            request.vm, request.ends_by, request.number, request.tokens, request.key
        )
        self.book.grant(grant, now)
