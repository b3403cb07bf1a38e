"""The gaps between the answers of the store, which bound how long it was away.

A failed call alone doesn't show that the store was away: its connection may have gone
silent. If other calls were answered meanwhile, the store was up. A long time without
an answer alone shows nothing either: a VM that others keep informed seldom calls::

    gaps = AnswerGaps(now=timers.now)
    gaps.record_failure()
    gaps.record_answer()
    gaps.outage_end
"""

from collections.abc import Callable

# An entry lapses 3.6 s, three heartbeats, after its last heartbeat. That one comes at
# most one heartbeat before the outage, so entries lapse only in outages of 2.4 s or
# more. The rest is margin for heartbeats that are late.
LAPSE_OUTAGE_S = 1.8


class AnswerGaps:
    """When the store answered one VM, and when it was last away for long."""

    def __init__(self, *, now: Callable[[], float]):
        self._now = now
        self._answered_at = now()
        self._failed = False
        self._outage_end = 0.0

    @property
    def answered_at(self) -> float:
        """When a call was last served, in seconds of the ``TimerService``."""
        return self._answered_at

    @property
    def outage_end(self) -> float:
        """When the last outage ended in which entries may have lapsed, 0 if none.

        That is now while the outage goes on: others may have seen its end before.
        """
        return self._now() if self._is_away() else self._outage_end

    def record_answer(self) -> None:
        """Record that a call is served now."""
        if self._is_away():
            self._outage_end = self._now()
        self._answered_at = self._now()
        self._failed = False

    def record_failure(self) -> None:
        """Record that a call wasn't served."""
        self._failed = True

    def _is_away(self) -> bool:
        return self._failed and self._now() - self._answered_at >= LAPSE_OUTAGE_S
