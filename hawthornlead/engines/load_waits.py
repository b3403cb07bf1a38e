"""How long a request waits for a load at a target whose slots are all in use."""

from result import Err, Result

from ..errors import ErrorKind, Failure
from ..timers import TimerService
from ..waits import wait_done
from .load_queues import Load
from .loaders import Loader

# How long a load without a slot is waited for before it is looked at again.
CHECK_INTERVAL_S = 0.5


def no_free_slot() -> Err[Failure]:
    """Refuse for want of a slot, which another target may have."""
    failure = Failure(
        ErrorKind.NO_SLOT, "all slots are in use", retry_after_s=CHECK_INTERVAL_S
    )
    return Err(failure)


async def wait_for_load(
    timers: TimerService, loader: Loader, load: Load, until: float, slot_wait_s: float
) -> Result[None, Failure]:
    """Wait for a load until ``until``, but ``slot_wait_s`` at most without a slot.

    A slot may come and go while the load waits for its leave, so that the time
    without one counts anew from each look that finds one.
    """
    room_until = timers.now() + max(CHECK_INTERVAL_S, slot_wait_s)
    while True:
        pause = min(until - timers.now(), CHECK_INTERVAL_S)
        if await wait_done(timers, load.outcome, pause):
            return load.outcome.result()
        now = timers.now()
        if now >= until:
            detail = "the load was not made in time"
            return Err(Failure(ErrorKind.NO_SLOT, detail, retry_after_s=1.0))
        if loader.can_load(load.key):
            room_until = max(room_until, now + CHECK_INTERVAL_S)
        elif now >= room_until:
            return no_free_slot()
