"""Graceful shutdown of a VM: which requests it still accepts, and when it ends."""

from collections.abc import Callable

from ..errors import ErrorKind, Failure
from ..timers import TimerService
from .records import Route
from .request_forwards import RequestForward

# Callers cache a readiness answer three times as long as it allows, some even longer.
MAX_CACHE_FACTOR = 3
# The process ends this long before it would be killed.
END_MARGIN_S = 0.25
# Requests that may be repeated are accepted for this time. After it callers with a
# cached answer have left, and the platform tolerates that earlier requests are cut off
# at the end of the grace period. A later request, and from the start one that may run
# only once, is accepted only if its deadline is before that end. Otherwise it is
# refused without being run, and its caller goes to another VM.
ACCEPT_S = 2.8
POLL_INTERVAL_S = 0.05
# How long requests may be in flight to a VM that takes no further connections: a round
# trip, plus the possible delay of the event loop.
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
        readiness_ttl_s: float,
        open_requests: Callable[[], int],
        others_serve: Callable[[], bool] = lambda: True,
    ):
        self._timers = timers
        self._grace_s = grace_s
        self._readiness_ttl_s = readiness_ttl_s
        self._open_requests = open_requests
        self._others_serve = others_serve
        self._started_at: float | None = None
        self._running: set[RequestForward] = set()

    @property
    def draining(self) -> bool:
        """Whether the drain has started."""
        return self._started_at is not None

    @property
    def end_at(self) -> float:
        """When the process ends, in seconds of the ``TimerService``."""
        return self._started_at + self._grace_s - END_MARGIN_S

    def start(self) -> None:
        """Start to drain."""
        if self._started_at is None:
            self._started_at = self._timers.now()

    def refusal(
        self, deadline_s: float | None = None, runs_once: bool = False
    ) -> Failure | None:
        """Return why a new request is refused, None if it is accepted.

        ``deadline_s`` is how long it may take, None if unknown. One that ``runs_once``
        must not be cut, since its caller can't send it again. If no other VM serves,
        it is accepted like the others, as its caller has nowhere else to go.
        """
        if self._started_at is None:
            return None
        now = self._timers.now()
        if deadline_s is not None and now + deadline_s <= self.end_at:
            return None
        must_end = runs_once and self._others_serve()
        if not must_end and now - self._started_at < ACCEPT_S:
            return None
        return Failure(ErrorKind.DRAINING, "this VM is leaving", 0.0)

    async def serve(
        self, forward: RequestForward, match: Callable[[], Route | None]
    ) -> None:
        """Serve a request, or refuse it; ``match`` returns its route, None if none."""
        refusal = forward.malformed
        if refusal is None and self.draining:
            refusal = self.refusal_at(match(), forward.deadline_s)
        if refusal is not None:
            forward.refuse(refusal)
            return
        self._running.add(forward)
        try:
            await forward.run()
        finally:
            self._running.discard(forward)

    def refusal_at(
        self, route: Route | None, deadline_s: float | None
    ) -> Failure | None:
        """Return why a new request at a route is refused, None if it is accepted."""
        if route is None:
            return self.refusal(deadline_s)
        timeout_s = route.timeout_ms / 1000
        longest_s = timeout_s if deadline_s is None else min(timeout_s, deadline_s)
        runs_once = not (route.repeatable or route.resumable)
        return self.refusal(longest_s, runs_once)

    async def wait(self) -> None:
        """Wait until no request is open and cached answers expired, or grace ends.

        That is ``SETTLE_S`` before the process ends, so that the requests that are in
        flight then can still be answered.
        """
        cached_until = self._started_at + MAX_CACHE_FACTOR * self._readiness_ttl_s
        while self._timers.now() < self.end_at - SETTLE_S:
            if self._timers.now() >= cached_until and not self._open_requests():
                return
            await self._timers.sleep(POLL_INTERVAL_S)

    async def settle(self) -> None:
        """Wait for the requests in flight when the VM stopped listening.

        Without this a caller that connected as the last request ended would be cut off
        without an answer, although its request had been read.
        """
        settled_at = self._timers.now() + SETTLE_S
        while self._timers.now() < self.end_at:
            if self._timers.now() >= settled_at and not self._open_requests():
                return
            await self._timers.sleep(POLL_INTERVAL_S)

    def end(self) -> None:
        """Answer what has no answer yet, as the process ends and sends nothing more.

        A caller can't tell a closed connection from an answer that is lost.
        """
        for forward in tuple(self._running):
            forward.refuse(Failure(ErrorKind.DRAINING, "this VM has ended", 0.0))
