"""An event loop whose time jumps to what is due next, for plays without sockets.

What takes minutes is played in a second, and the same seed gives the same play::

    run_played(play(seed=7))
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from hawthornlead.timers import Subscription, TimerService

# Longer than the resolution of the loop's clock, 1 ns.
LEAST_STEP_S = 1e-8


class PlayedLoop(asyncio.SelectorEventLoop):
    """A loop that never waits: it moves its clock to the next timer instead."""

    def __init__(self):
        self._played_s = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Seconds of the played clock."""
        return self._played_s

    def call_at(self, when, callback, *args, context=None):
        """Call back at a time, which is at least ``LEAST_STEP_S`` on unless it is past.

        The loop runs a timer that is due within its resolution without moving the
        clock, so that a repeated wait for the rest of a time would never end.
        """
        if when > self._played_s:
            when = max(when, self._played_s + LEAST_STEP_S)
        return super().call_at(when, callback, *args, context=context)

    def jump(self, seconds: float) -> None:
        """Move the clock on."""
        self._played_s += seconds


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self, loop: PlayedLoop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        """Return at once, as if the time had passed."""
        if timeout is None:
            raise RuntimeError("nothing is due: the play waits for ever")
        if timeout > 0:
            self._loop.jump(timeout)
        return super().select(0)


class PlayedTimers(TimerService):
    """The timers of one VM, which stand still while the VM is frozen."""

    def __init__(self):
        super().__init__()
        self._running = asyncio.Event()
        self._running.set()

    @property
    def frozen(self) -> bool:
        """Whether the VM stands still."""
        return not self._running.is_set()

    def now(self) -> float:
        """Seconds of the played clock, which goes on for a frozen VM too."""
        return asyncio.get_running_loop().time()

    def freeze(self) -> None:
        """Let nothing of this VM go on."""
        self._running.clear()

    def thaw(self) -> None:
        """Let this VM go on."""
        self._running.set()

    async def running(self) -> None:
        """Wait until the VM isn't frozen."""
        await self._running.wait()

    async def sleep(self, delay: float) -> None:
        """Wait for ``delay`` seconds, and longer while frozen."""
        await asyncio.sleep(delay)
        await self.running()

    async def _repeat(self, interval: float, subscription: Subscription) -> None:
        while not subscription.cancelled:
            await subscription.wait(interval)
            await self.running()
            await subscription.run()


def run_played(play: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a played clock and return what it returns."""
    with asyncio.Runner(loop_factory=PlayedLoop) as runner:
        return runner.run(play)
