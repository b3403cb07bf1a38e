"""When the watchers of one VM call a store that doesn't serve it.

One call shows whether the store serves this VM again. So the watchers retry in turn,
and not each at its own rate; as soon as one call succeeds, the others call too::

    if retries.acquire_call(0.2):
        outcome = await client.watch(kind, since, wait_s)
        retries.record(outcome.is_ok())
"""

from ..timers import TimerService
from ..waits import Signal

LONG_AGO = float("-inf")


class StoreRetries:
    """The calls of one VM's watchers while the store doesn't serve it."""

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._served = True
        self._tried_at = LONG_AGO
        self._recovered = Signal()

    def acquire_call(self, spacing_s: float) -> bool:
        """Acquire the right to call now; False if another watcher's call is enough.

        After a failure of any watcher, one call is allowed each ``spacing_s`` seconds.
        """
        if self._served:
            return True
        now = self._timers.now()
        if now - self._tried_at < spacing_s:
            return False
        self._tried_at = now
        return True

    def record(self, served: bool) -> None:
        """Record the outcome of a call."""
        if not served:
            self._served = False
            self._tried_at = self._timers.now()
            return
        if not self._served:
            self._served = True
            self._recovered.fire()

    async def wait(self, delay_s: float) -> None:
        """Wait for ``delay_s`` seconds, or until a call of any watcher succeeds."""
        await self._recovered.wait(self._timers, delay_s)
