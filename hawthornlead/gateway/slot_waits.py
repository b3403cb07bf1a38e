"""Waiting for a slot of one engine, in the order of its queue.

Its owner says whether a slot can be had now; who comes next is the queue's to say::

    waits = SlotWaits(slots, timers, can_acquire=owner.can_acquire)
    granted = await waits.wait(wanted)
"""

from collections.abc import Callable

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..timers import TimerService
from ..waits import Signal
from .engine_slots import AdapterKey, EngineSlots
from .slot_queues import SlotQueue, SlotRequest

# Who waits for a slot also looks now and then: an adapter that has just come, or was
# used without a word of its end, is free by the passing of time.
CHECK_INTERVAL_S = 0.03


class SlotWaits:
    """The requests that wait for a slot; ``can_acquire`` tells whether one is free."""

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
        """Look whether a slot can be had now."""
        self._freed.fire()

    def record_taken(self) -> None:
        """Note that a slot was taken."""
        self._queue.record_taken(self._timers.now())

    def stop(self) -> None:
        """Let nobody wait any longer."""
        self._stopped = True
        self._freed.fire()

    async def wait(self, wanted: SlotRequest) -> Result[None, Failure]:
        """Wait until a slot can be had, if one may come free in time.

        Fails with ``NO_SLOT``, at once where it is known that none will, and with the
        time in which one may.
        """
        if self._may_acquire(wanted):
            return Ok(None)
        now = self._timers.now()
        if now + self._queue.expected_wait(wanted, now) > wanted.until:
            return self._refusal(wanted)
        self._queue.add(wanted)
        try:
            while not self._may_acquire(wanted):
                left_s = wanted.until - self._timers.now()
                if left_s <= 0 or self._stopped:
                    return self._refusal(wanted)
                await self._freed.wait(self._timers, min(left_s, CHECK_INTERVAL_S))
            return Ok(None)
        finally:
            self._queue.remove(wanted)

    async def pause(self) -> None:
        """Wait for a slot that comes free, or a moment."""
        await self._freed.wait(self._timers, CHECK_INTERVAL_S)

    def _may_acquire(self, wanted: SlotRequest) -> bool:
        if wanted.key in self._slots.slots:
            # Another request had it loaded meanwhile.
            return True
        if not self._can_acquire(wanted.key):
            return False
        return self._queue.is_next(wanted.key, self._timers.now())

    def _refusal(self, wanted: SlotRequest) -> Err[Failure]:
        expected_s = self._queue.expected_wait(wanted, self._timers.now())
        return Err(Failure(ErrorKind.NO_SLOT, "no slot to spare", expected_s))
