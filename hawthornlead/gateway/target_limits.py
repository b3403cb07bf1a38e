"""The limits that targets name: so many requests a second, from all VMs together."""

from ..events import EventKind, EventRing
from .records import Incarnation


class TargetLimits:
    """What each target said of its limit in its last answer to this VM.

    ::

        limits.note_answer(entry.incarnation, limit_per_s=3.3)
        limits.named["i-7f3a"]
    """

    def __init__(self, *, events: EventRing):
        self._events = events
        self._named: dict[str, float] = {}

    @property
    def named(self) -> dict[str, float]:
        """The limits that are named now, in requests a second, by target."""
        return self._named

    def note_answer(self, incarnation: Incarnation, limit_per_s: float | None) -> None:
        """Take the limit that a target names in an answer, None for no limit."""
        target = incarnation.target
        if self._named.get(target) == limit_per_s:
            return
        if limit_per_s is None:
            del self._named[target]
            self._events.emit(EventKind.TARGET_LIMIT_ENDED, target)
            return
        self._named[target] = limit_per_s
        self._events.emit(EventKind.TARGET_LIMIT_NAMED, target, per_s=limit_per_s)

    def forget(self, target: str) -> None:
        """Drop the limit of a target whose start is over."""
        self._named.pop(target, None)
