"""Waiting with a bound, on the timer service's clock."""

import asyncio

from .timers import TimerService


async def wait_done(timers: TimerService, future: asyncio.Future, delay: float) -> bool:
    """Wait until ``future`` is done, ``delay`` seconds at most; return whether it is.

    The future itself is neither cancelled nor read.
    """
    if future.done() or delay <= 0:
        return future.done()
    loop = asyncio.get_running_loop()
    ended = loop.create_future()

    def end(*_unused):
        if not ended.done():
            ended.set_result(None)

    future.add_done_callback(end)
    timeout = timers.after(delay, end, name="wait")
    try:
        await ended
    finally:
        timeout.cancel()
        future.remove_done_callback(end)
    return future.done()


class Signal:
    """Wakes everyone who waits each time it is fired."""

    def __init__(self):
        self._waiting: asyncio.Future | None = None

    def fire(self) -> None:
        """Wake all who wait now."""
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    async def wait(self, timers: TimerService, delay: float) -> bool:
        """Wait for the next firing, ``delay`` seconds at most; return if it came."""
        if self._waiting is None:
            self._waiting = asyncio.get_running_loop().create_future()
        return await wait_done(timers, self._waiting, delay)
