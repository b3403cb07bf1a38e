"""The coordinator of plain targets: counts their places over all VMs.

A VM coordinates a target as soon as it is asked for a place there. If two VMs do so for
a moment, each counts what it granted, and the target rejects the excess.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from ..errors import ErrorKind, Failure
from ..mesh.meshes import failed
from ..messages.admission import PlaceEnded, PlaceReserved, ReservePlace
from ..timers import TimerService
from .place_books import PlaceBook
from .place_events import PlaceEvents
from .place_gates import PlaceGate
from .place_queues import PlaceQueue, PlaceRequest, ShareOrder
from .place_waits import PlaceWaits

# Assumed until ends were observed; requests to plain targets run for 60 to 90 ms.
INITIAL_RUN_S = 0.1
RUN_WEIGHT = 0.05
# From the end of a request to the arrival of the next one granted its place: the end's
# message, the reply and the next request take 2 to 10 ms each. Requests beyond the
# slots keep these busy meanwhile.
HANDOVER_S = 0.03
# Until this long after its first question, a coordinator also counts the announced
# requests: those that were granted by its predecessor. Most have ended by then.
ANNOUNCED_COUNT_S = 0.15
# Bounds of what messages may ask for.
MAX_WAIT_S = 10.0
MAX_RUN_S = 60.0


class CoordinatedTarget(NamedTuple):
    """A plain target as the coordinator knows it."""

    slots: int
    started_ms: int | None


class _Coordinated:
    """One target's waits, and how long its requests run."""

    def __init__(self, known: CoordinatedTarget, waits: PlaceWaits):
        self.known = known
        self.waits = waits
        self.run_s = INITIAL_RUN_S
        self.set_places()

    def record_run(self, took_s: float) -> None:
        """Record how long a request took, including its wait in the target's queue."""
        granted = self.waits.gate.book.granted
        took_s /= max(1.0, granted / max(1, self.known.slots))
        self.run_s += RUN_WEIGHT * (took_s - self.run_s)
        self.set_places()

    def set_places(self) -> None:
        """Set the places to the slots and the requests that keep these busy."""
        slots = max(1, self.known.slots)
        beyond = math.ceil(slots * HANDOVER_S / max(0.001, self.run_s))
        self.waits.gate.places = slots + min(slots, max(1, beyond))


class PlaceCoordinator:
    """Answers the questions of all VMs for places at plain targets.

    ``find`` returns a target, None if it is unknown or leaving; ``announced`` how many
    requests VMs announced on it; ``is_seen`` whether a VM is live.
    """

    def __init__(
        self,
        *,
        mesh,
        timers: TimerService,
        find: Callable[[str], CoordinatedTarget | None],
        announced: Callable[[str], int],
        is_seen: Callable[[str], bool],
        report: PlaceEvents,
        new_shares: Callable[[], ShareOrder | None] = lambda: None,
    ):
        self._timers = timers
        self._find = find
        self._announced = announced
        self._is_seen = is_seen
        self._report = report
        self._new_shares = new_shares
        self._coordinated: dict[str, _Coordinated] = {}
        mesh.on(ReservePlace, self._on_reserve)
        mesh.on(PlaceEnded, self._on_ended)

    @property
    def waiting(self) -> int:
        """How many requests wait for places here."""
        return sum(each.waits.gate.waiting for each in self._coordinated.values())

    def discard(self, target: str) -> None:
        """Discard the places of a target that is gone."""
        coordinated = self._coordinated.pop(target, None)
        if coordinated is not None:
            coordinated.waits.stop()

    async def _on_reserve(self, sender, message: ReservePlace):
        coordinated = self._current(message.target, message.started_ms)
        if coordinated is None:
            return _unknown(message.target)
        request = _request(sender.vm, message, self._timers.now())
        waiting = coordinated.waits.gate.waiting
        waited = await coordinated.waits.reserve(request)
        if waited.stopped:
            return _unknown(message.target)
        gate = coordinated.waits.gate
        self._report.record_decision(
            message.target,
            request,
            waited.answer,
            granted=waited.granted,
            waited_s=waited.waited_s,
            places=gate.places,
            waiting=waiting,
            hold_ms=round(1000 * gate.book.hold_s),
        )
        return PlaceReserved(
            waited.granted, waited.answer.wait_s, waited.answer.running
        )

    async def _on_ended(self, sender, message: PlaceEnded) -> None:
        coordinated = self._coordinated.get(message.target)
        if coordinated is None:
            return
        took_s = message.took_ms / 1000
        if 0.0 < took_s < MAX_RUN_S:
            coordinated.record_run(took_s)
        coordinated.waits.end(sender.vm, message.number, ran=took_s >= 0)

    def _current(self, target: str, started_ms: int | None) -> _Coordinated | None:
        """Return the state of a target's current incarnation, None if it isn't known.

        A target that has restarted runs no earlier request.
        """
        known = self._find(target)
        if known is None:
            return None
        if None not in (started_ms, known.started_ms) and (
            started_ms != known.started_ms
        ):
            return None
        coordinated = self._coordinated.get(target)
        if coordinated is None or coordinated.known != known:
            self.discard(target)
            coordinated = self._coordinated[target] = self._start(target, known)
        return coordinated

    def _start(self, target: str, known: CoordinatedTarget) -> _Coordinated:
        book = PlaceBook(INITIAL_RUN_S, self._is_seen, ANNOUNCED_COUNT_S)
        book.apply_announced(self._announced(target), self._timers.now(), 0.0)
        queue = PlaceQueue(self._new_shares())
        gate = PlaceGate(places=known.slots, book=book, queue=queue)
        return _Coordinated(known, PlaceWaits(gate, self._timers))


def _unknown(target: str):
    """Return the failure of a question about an incarnation that isn't known here."""
    detail = f"{target} isn't known here as that incarnation"
    return failed(Failure(ErrorKind.NO_TARGET, detail, 0.2))


def _request(vm: str, message: ReservePlace, now: float) -> PlaceRequest:
    """Return the request of a message, its times bounded whatever it says."""
    wait_s = min(MAX_WAIT_S, max(0.0, message.wait_s))
    return PlaceRequest(
        vm,
        message.number,
        message.rank,
        now + min(MAX_WAIT_S, max(-MAX_WAIT_S, message.due_s)),
        now + wait_s,
        now + wait_s + min(MAX_RUN_S, max(0.0, message.ends_s)),
        min(MAX_WAIT_S, max(0.0, message.patience_s)),
        share_key=message.share_key,
    )
