"""Waits for a load, but only briefly while all slots of the target are in use."""

from result import Err, Result

from ..errors import ErrorKind, Failure
from ..timers import TimerService
from ..waits import wait_done
from .load_queues import Load
from .loaders import Loader

# How often a waiting request checks whether its load can get a slot.
CHECK_INTERVAL_S = 0.5


def no_free_slot() -> Err[Failure]:
    """Return the failure when no slot is free here; another target may have one."""
    failure = Failure(
        ErrorKind.NO_SLOT, "all slots are in use", retry_after_s=CHECK_INTERVAL_S
    )
    return Err(failure)


async def wait_for_load(
    timers: TimerService,
    loader: Loader,
    load: Load,
    deadline_at: float,
    slot_wait_s: float,
) -> Result[None, Failure]:
    """Wait for a load until ``deadline_at``, at most ``slot_wait_s`` without a slot.

    A slot may come and go while the load waits for its permit. So the time without a
    slot counts again from each check that finds one.
    """
    give_up_at = timers.now() + max(CHECK_INTERVAL_S, slot_wait_s)
    while True:
        pause_s = min(deadline_at - timers.now(), CHECK_INTERVAL_S)
        if await wait_done(timers, load.outcome, pause_s):
            return load.outcome.result()
        now = timers.now()
        if now >= deadline_at:
            detail = "the load was not made in time"
            return Err(Failure(ErrorKind.NO_SLOT, detail, retry_after_s=1.0))
        if loader.can_load(load.key):
            give_up_at = max(give_up_at, now + CHECK_INTERVAL_S)
        elif now >= give_up_at:
            return no_free_slot()
