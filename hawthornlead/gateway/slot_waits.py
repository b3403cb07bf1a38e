"""Waiting for a slot of one engine, in the order of its queue.

The engine's owner decides whether a slot is available, the queue decides who is next::

    waits = SlotWaits(slots, timers, can_acquire=owner.can_acquire)
    granted = await waits.wait(request)
"""

from collections.abc import Callable

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..timers import TimerService
from ..waits import Signal
from .engine_slots import AdapterKey, EngineSlots
from .slot_queues import SlotQueue, SlotRequest

# Waiting requests also check periodically, because some slots become available by time
# alone: those of adapters that just arrived or whose last use was never reported ended.
CHECK_INTERVAL_S = 0.03


class SlotWaits:
    """The requests that wait for a slot.

    ``can_acquire`` returns whether a slot is available for an adapter.
    """

    def __init__(
        self,
        slots: EngineSlots,
        timers: TimerService,
        can_acquire: Callable[[AdapterKey], bool],
    ):
        self._slots = slots
        self._timers = timers
        self._can_acquire = can_acquire
        self._queue = SlotQueue()
        self._freed = Signal()
        self._stopped = False

    def on_freed(self) -> None:
        """Let waiting requests check for a slot now."""
        self._freed.fire()

    def record_taken(self) -> None:
        """Record that a slot was taken."""
        self._queue.record_taken(self._timers.now())

    def stop(self) -> None:
        """End all waits."""
        self._stopped = True
        self._freed.fire()

    async def wait(self, request: SlotRequest) -> Result[None, Failure]:
        """Wait until a slot is available, if one may become free in time.

        Fails with ``NO_SLOT`` and the time in which a slot may become free, at once if
        none is expected in time.
        """
        if self._may_acquire(request):
            return Ok(None)
        now = self._timers.now()
        if now + self._queue.expected_wait(request, now) > request.until:
            return self._refusal(request)
        self._queue.add(request)
        try:
            while not self._may_acquire(request):
                left_s = request.until - self._timers.now()
                if left_s <= 0 or self._stopped:
                    return self._refusal(request)
                await self._freed.wait(self._timers, min(left_s, CHECK_INTERVAL_S))
            return Ok(None)
        finally:
            self._queue.remove(request)

    async def pause(self) -> None:
        """Wait until a slot becomes free, at most ``CHECK_INTERVAL_S``."""
        await self._freed.wait(self._timers, CHECK_INTERVAL_S)

    def _may_acquire(self, request: SlotRequest) -> bool:
        if request.key in self._slots.slots:
            # The adapter was loaded for another request meanwhile.
            return True
        if not self._can_acquire(request.key):
            return False
        return self._queue.is_next(request.key, self._timers.now())

    def _refusal(self, request: SlotRequest) -> Err[Failure]:
        expected_s = self._queue.expected_wait(request, self._timers.now())
        return Err(Failure(ErrorKind.NO_SLOT, "no slot to spare", expected_s))
