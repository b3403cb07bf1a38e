"""The targets that refused a request of this VM and asked it to back off."""

from collections.abc import Callable

from ..events import EventKind, EventRing
from ..timers import TimerService


class TargetBackoffs:
    """Until when each target accepts no request from this VM.

    ``wait_for_room_s`` returns how long a request must wait for room at a target::

        backoffs.record("i-7f3a", rest_s=3.0)
        backoffs.wait_s("i-7f3a")
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        events: EventRing,
        wait_for_room_s: Callable[[str], float] = lambda target: 0.0,
    ):
        self._wait_for_room_s = wait_for_room_s
        self._timers = timers
        self._events = events
        self._until: dict[str, float] = {}

    def record(self, target: str, rest_s: float) -> None:
        """Record that a target accepts no request for ``rest_s`` from now on."""
        if not self._backoff_s(target):
            self._events.emit(EventKind.TARGET_RESTS, target, rest_s=rest_s)
        until = self._timers.now() + rest_s
        self._until[target] = max(until, self._until.get(target, until))

    def wait_s(self, target: str) -> float:
        """Return for how long a target still accepts no request, in seconds."""
        return max(self._backoff_s(target), self._wait_for_room_s(target))

    def _backoff_s(self, target: str) -> float:
        until = self._until.get(target)
        if until is None:
            return 0.0
        left_s = until - self._timers.now()
        if left_s <= 0:
            del self._until[target]
            return 0.0
        return left_s

    def discard(self, target: str) -> None:
        """Discard the backoff of a target whose incarnation is over."""
        self._until.pop(target, None)
