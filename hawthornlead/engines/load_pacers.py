"""Paces load permits so that load starts keep within a weight store's rate.

A load starts later than its permit is issued: the target may have to evict first, or
carries out its orders slowly. The store counts starts. A start comes after the permit,
and before the load's end by at least the duration of the fastest load. ``LoadPacer``
counts each load at the latest moment at which it may have started::

    pacer.record_permit("permit-1", now)
    delay_s = pacer.delay_s(6, 1.0, now)
    pacer.record_end("permit-1", now, loaded=True)
"""

from collections import deque

# Loads usually start less than this after their permit. Such delays are not tracked;
# each window of the rate is this much longer instead, in seconds.
START_TOLERANCE_S = 0.1
MAX_DURATIONS = 32
MAX_STARTS = 4096


class LoadPacer:
    """The load permits issued by one holder of an allowance."""

    def __init__(self):
        self._issued_at: dict[str, float] = {}
        self._starts: deque[float] = deque(maxlen=MAX_STARTS)
        self._durations: deque[float] = deque(maxlen=MAX_DURATIONS)

    def record_permit(self, permit_id: str, now: float) -> None:
        """Record that a permit was issued."""
        self._issued_at[permit_id] = now

    def record_end(self, permit_id: str, now: float, loaded: bool) -> None:
        """Record the end of a load; one that did not load may have been short."""
        issued_at = self._issued_at.pop(permit_id, None)
        if issued_at is None:
            return
        if loaded:
            self._durations.append(now - issued_at)
        fastest_s = min(self._durations) if loaded else 0.0
        self._starts.append(max(issued_at, now - fastest_s))

    def delay_s(self, loads: int, window_s: float, now: float) -> float:
        """Return how long to wait before the next permit; 0 or less for not at all.

        At most ``loads`` may start within any window of ``window_s`` seconds.
        """
        window_s += START_TOLERANCE_S
        while self._starts and self._starts[0] + 2 * window_s < now:
            self._starts.popleft()
        running_starts = [
            self._latest_start(at, now) for at in self._issued_at.values()
        ]
        starts = sorted([*self._starts, *running_starts])
        if len(starts) < loads:
            return 0.0
        return starts[-loads] + window_s - now

    def _latest_start(self, issued_at: float, now: float) -> float:
        """Return the latest moment at which a running load may have started.

        A load that takes no longer than the fastest one counts as started with its
        permit. If it counted as starting now, long loads could not overlap at low
        rates.
        """
        usual_s = min(self._durations) if self._durations else 0.0
        return issued_at if now - issued_at <= usual_s + START_TOLERANCE_S else now
