"""Leaving without cutting anything off: what is still taken, and when to stop."""

from collections.abc import Callable

from ..errors import ErrorKind, Failure
from ..timers import TimerService

# Callers keep an answer three times as long as it says, some longer still.
KEPT_TIMES = 3
# The process ends this long before it would be killed.
END_MARGIN_S = 0.25
# Callers that kept an answer have left by then, and the platform bears that a request
# of before is cut off as the grace ends. A later one is taken only if its deadline
# comes before that; else it is refused unrun, and its caller goes elsewhere.
TAKEN_S = 2.8
LOOK_S = 0.05
# How long requests may be on their way to a VM that takes no further connection: the
# time of a round trip, and what the event loop may be behind.
SETTLE_S = 0.15


class Drain:
    """The drain of one VM.

    ::

        drain.start()
        await drain.wait()
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        grace_s: float,
        keep_answer_s: float,
        open_requests: Callable[[], int],
    ):
        self._timers = timers
        self._grace_s = grace_s
        self._keep_answer_s = keep_answer_s
        self._open_requests = open_requests
        self._began_at: float | None = None

    @property
    def draining(self) -> bool:
        """Whether the drain has begun."""
        return self._began_at is not None

    @property
    def end_at(self) -> float:
        """When the process ends, in seconds of the ``TimerService``."""
        return self._began_at + self._grace_s - END_MARGIN_S

    def start(self) -> None:
        """Begin to drain."""
        if self._began_at is None:
            self._began_at = self._timers.now()

    def refusal(self, deadline_s: float | None = None) -> Failure | None:
        """Return why a new request is refused, None while it is served.

        ``deadline_s`` is how long its caller waits for it, None if that isn't known.
        """
        if self._began_at is None:
            return None
        now = self._timers.now()
        if now - self._began_at < TAKEN_S:
            return None
        if deadline_s is not None and now + deadline_s <= self.end_at:
            return None
        return Failure(ErrorKind.DRAINING, "this VM is leaving", 0.0)

    async def wait(self) -> None:
        """Wait until nothing is open and kept answers ran out, or the grace is over."""
        kept_until = self._began_at + KEPT_TIMES * self._keep_answer_s
        while self._timers.now() < self.end_at:
            if self._timers.now() >= kept_until and not self._open_requests():
                return
            await self._timers.sleep(LOOK_S)

    async def settle(self) -> None:
        """Wait for the requests that were on their way as the VM stopped listening.

        Without this a caller that connected as the last request ended was cut off
        without an answer, though its request was read.
        """
        settled_at = self._timers.now() + SETTLE_S
        while self._timers.now() < self.end_at:
            if self._timers.now() >= settled_at and not self._open_requests():
                return
            await self._timers.sleep(LOOK_S)
