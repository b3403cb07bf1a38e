"""Hybrid logical clocks, which order events of VMs whose wall clocks differ.

Every message between VMs carries its sender's time, and the receiver advances its own
clock past it. So a cause always sorts before its effect in the timeline.
"""

from typing import NamedTuple

from .timers import TimerService


class HybridTime(NamedTuple):
    """A hybrid logical time: milliseconds of the wall clock, then a counter."""

    wall_ms: int
    logical: int


class HybridClock:
    """The hybrid logical clock of one process."""

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._last = HybridTime(0, 0)

    @property
    def last(self) -> HybridTime:
        """The newest time that was returned or observed."""
        return self._last

    def tick(self) -> HybridTime:
        """Return a time later than all that were returned or observed before."""
        wall_ms = int(self._timers.wall() * 1000)
        if wall_ms > self._last.wall_ms:
            self._last = HybridTime(wall_ms, 0)
        else:
            self._last = HybridTime(self._last.wall_ms, self._last.logical + 1)
        return self._last

    def observe(self, other: HybridTime) -> None:
        """Advance the clock past the time in a message."""
        self._last = max(self._last, HybridTime(*other))
