"""Waits with a timeout on the timer service's clock."""

import asyncio

from .timers import TimerService


async def wait_done(timers: TimerService, future: asyncio.Future, delay: float) -> bool:
    """Wait up to ``delay`` seconds until ``future`` is done; return whether it is.

    The future is not cancelled and its result is not read.
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
    """Wakes all current waiters each time it is fired."""

    def __init__(self):
        self._waiting: asyncio.Future | None = None

    def fire(self) -> None:
        """Wake all current waiters."""
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    async def wait(self, timers: TimerService, delay: float) -> bool:
        """Wait up to ``delay`` seconds for the next firing; return whether it came."""
        if self._waiting is None:
            self._waiting = asyncio.get_running_loop().create_future()
        return await wait_done(timers, self._waiting, delay)
