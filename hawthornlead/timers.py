"""The timer service: the one clock of a process, with periodic and delayed calls.

Components never read a clock or sleep directly. They get a ``TimerService``, so that a
test can pass a ``ManualTimerService`` and control the time::

    timers = TimerService()
    subscription = timers.every(1.0, renew_lease, name="lease")
    subscription.cancel()
"""

import asyncio
import heapq
import inspect
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from loguru import logger

from .tasks import TaskSet

Callback = Callable[[], Awaitable[None] | None]


class Subscription:
    """A periodic or delayed call, ended by ``cancel``."""

    def __init__(self, name: str, callback: Callback):
        self._name = name
        self._callback = callback
        self._cancelled = False
        self._waiting: asyncio.Task | None = None

    @property
    def name(self) -> str:
        """The name that the subscriber gave."""
        return self._name

    @property
    def cancelled(self) -> bool:
        """Whether the subscription has ended."""
        return self._cancelled

    def cancel(self) -> None:
        """End the subscription; a call that has started is completed."""
        self._cancelled = True
        # If a cancelled timer slept until it is due, its task and callback would stay
        # in memory until then, for example one per finished request.
        if self._waiting is not None:
            self._waiting.cancel()

    async def wait(self, delay: float) -> None:
        """Sleep before a call; ``cancel`` ends the sleep and the task."""
        if self._cancelled:
            return
        self._waiting = asyncio.current_task()
        try:
            await asyncio.sleep(delay)
        finally:
            self._waiting = None

    async def run(self) -> None:
        """Call the subscriber once and log its errors."""
        if self._cancelled:
            return
        try:
            result = self._callback()
            if inspect.isawaitable(result):
                await result
        except Exception:
            # One subscriber's bug must not stop the timers of the others.
            logger.exception("timer subscriber {} failed", self._name)


class TimerService:
    """The clock and timers of one process, on the running event loop."""

    def __init__(self):
        self._tasks = TaskSet()

    def now(self) -> float:
        """Return the seconds of a steady clock, of which only differences have meaning.

        Unlike the usual monotonic clock it includes the time for which the machine was
        suspended. Otherwise a lease would look valid after a suspension during which
        a successor has taken over.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the seconds since the epoch by this VM's clock, which may be wrong."""
        return time.time()

    async def sleep(self, delay: float) -> None:
        """Wait for ``delay`` seconds."""
        await asyncio.sleep(delay)

    def every(self, interval: float, callback: Callback, name: str) -> Subscription:
        """Call ``callback`` every ``interval`` seconds; calls never overlap."""
        subscription = Subscription(name, callback)
        self._tasks.spawn(self._repeat(interval, subscription))
        return subscription

    def after(self, delay: float, callback: Callback, name: str) -> Subscription:
        """Call ``callback`` once after ``delay`` seconds."""
        subscription = Subscription(name, callback)
        self._tasks.spawn(self._once(delay, subscription))
        return subscription

    def stop(self) -> None:
        """Cancel all timers."""
        self._tasks.cancel()

    async def _repeat(self, interval: float, subscription: Subscription) -> None:
        while not subscription.cancelled:
            await subscription.wait(interval)
            await subscription.run()

    async def _once(self, delay: float, subscription: Subscription) -> None:
        await subscription.wait(delay)
        await subscription.run()


class _Due(NamedTuple):
    at: float
    order: int
    interval: float | None
    subscription: Subscription


class ManualTimerService(TimerService):
    """A timer service whose time changes only by ``advance``, for tests.

    ``advance`` waits for each callback to end. A callback that sleeps on this service
    would therefore deadlock.
    """

    def __init__(self, start: float = 1000.0):
        super().__init__()
        self._now = start
        self._order = itertools.count()
        self._due: list[_Due] = []

    def now(self) -> float:
        """Return the seconds of the manual clock."""
        return self._now

    def wall(self) -> float:
        """Return the seconds of the manual clock."""
        return self._now

    async def sleep(self, delay: float) -> None:
        """Wait until the clock has advanced by ``delay`` seconds."""
        woken = asyncio.Event()
        self.after(delay, woken.set, name="sleep")
        await woken.wait()

    def every(self, interval: float, callback: Callback, name: str) -> Subscription:
        """Call ``callback`` each time the clock has advanced by ``interval``."""
        return self._add(interval, interval, callback, name)

    def after(self, delay: float, callback: Callback, name: str) -> Subscription:
        """Call ``callback`` once the clock has advanced by ``delay`` seconds."""
        return self._add(delay, None, callback, name)

    async def advance(self, seconds: float) -> None:
        """Advance the clock and run the calls that become due, in order."""
        end = self._now + seconds
        while self._due and self._due[0].at <= end:
            due = heapq.heappop(self._due)
            self._now = max(self._now, due.at)
            if due.subscription.cancelled:
                continue
            await due.subscription.run()
            await self._settle()
            if due.interval is None:
                continue
            self._push(due.at + due.interval, due.interval, due.subscription)
        self._now = end
        await self._settle()

    def _add(self, delay, interval, callback, name) -> Subscription:
        subscription = Subscription(name, callback)
        self._push(self._now + delay, interval, subscription)
        return subscription

    def _push(self, at, interval, subscription) -> None:
        heapq.heappush(self._due, _Due(at, next(self._order), interval, subscription))

    async def _settle(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0)
