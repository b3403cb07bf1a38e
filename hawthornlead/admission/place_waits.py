"""Waiting for a place at the gate of one target.

::

    waits = PlaceWaits(gate, timers)
    waited = await waits.reserve(request)
    waits.end("edge-3", number)
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from ..timers import TimerService
from ..waits import wait_done
from .place_gates import Admission, GateAnswer, PlaceGate
from .place_queues import PlaceRequest

# While requests wait, places are also checked this often: some lapse by time alone, as
# those of VMs that are gone.
CHECK_INTERVAL_S = 0.1


class Waited(NamedTuple):
    """The result of a request: the gate's first answer, and how long it waited.

    ``stopped`` is set if the places aren't counted here any more.
    """

    granted: bool
    answer: GateAnswer
    waited_s: float
    stopped: bool = False


class PlaceWaits:
    """The requests that wait at one gate until it grants them a place.

    Once ``is_current`` returns False, the places are counted elsewhere, if at all.
    """

    def __init__(
        self,
        gate: PlaceGate,
        timers: TimerService,
        is_current: Callable[[], bool] = lambda: True,
    ):
        self._is_current = is_current
        self.gate = gate
        self._timers = timers
        self._granted: dict[tuple[str, int], asyncio.Future] = {}
        self._checking = False
        self._stopped = False

    async def reserve(self, request: PlaceRequest) -> Waited:
        """Wait for a place, until the request stops waiting."""
        asked_at = self._timers.now()
        self.refresh()
        answer = self.gate.ask(request, asked_at)
        if answer.outcome is not Admission.WAITS:
            return Waited(answer.outcome is Admission.GRANTED, answer, 0.0)
        future = asyncio.get_running_loop().create_future()
        self._granted[request.vm, request.number] = future
        self._check_later()
        granted = False
        try:
            done = await wait_done(self._timers, future, request.until - asked_at)
            granted = done and not self._stopped
        finally:
            del self._granted[request.vm, request.number]
            if not granted:
                self.end(request.vm, request.number, ran=False)
        waited_s = self._timers.now() - asked_at
        return Waited(granted, answer, waited_s, self._stopped)

    def end(self, vm: str, number: int, ran: bool = True) -> None:
        """End a VM's request, whether it has a place or waits for one."""
        self._wake(self.gate.end(vm, number, self._timers.now(), ran))

    def end_oldest(self, vm: str, key: str) -> None:
        """End the place that a VM has held longest for a key."""
        self._wake(self.gate.end_oldest(vm, key, self._timers.now()))

    def stop(self) -> None:
        """End all waits: the target is gone, or its places are counted elsewhere.

        The ends of its requests aren't reported here any more, so no place would become
        free for those that wait.
        """
        self._stopped = True
        for future in self._granted.values():
            if not future.done():
                future.set_result(None)

    def refresh(self) -> None:
        """Grant the places that are free now."""
        self._wake(self.gate.grant_waiting(self._timers.now()))

    def _check_later(self) -> None:
        if not self._checking:
            self._checking = True
            self._timers.after(CHECK_INTERVAL_S, self._check, name="places")

    def _check(self) -> None:
        self._checking = False
        if not self.gate.waiting:
            return
        if not self._is_current():
            self.stop()
            return
        self.refresh()
        self._check_later()

    def _wake(self, served: list[PlaceRequest]) -> None:
        for request in served:
            future = self._granted.get((request.vm, request.number))
            if future is not None and not future.done():
                future.set_result(None)
