"""When loads may have started, so that a weight store's rate is kept where they do.

Leave to load is given at one moment and the load starts at a later one: the target
may have to evict first, or carries out its orders slowly. The store counts starts.
What is known of a start: it comes after the leave, and before the load's end by at
least the time of the fastest load. ``LoadPacer`` counts each load at the latest
moment at which it may have started::

    spacing.record_permit("permit-1", now)
    delay_s = spacing.delay_s(6, 1.0, now)
    spacing.record_end("permit-1", now, loaded=True)
"""

from collections import deque

# Starts later than their leave by less than this are too usual to be looked for:
# each span of the rate is kept this much longer instead, in seconds.
START_TOLERANCE_S = 0.1
MAX_DURATIONS = 32
MAX_STARTS = 4096


class LoadPacer:
    """The loads given leave by one holder of an allowance."""

    def __init__(self):
        self._issued_at: dict[str, float] = {}
        self._starts: deque[float] = deque(maxlen=MAX_STARTS)
        self._durations: deque[float] = deque(maxlen=MAX_DURATIONS)

    def record_permit(self, permit_id: str, now: float) -> None:
        """Note that leave was given."""
        self._issued_at[permit_id] = now

    def record_end(self, permit_id: str, now: float, loaded: bool) -> None:
        """Note that a load has ended; one that did not load may have been short."""
        issued_at = self._issued_at.pop(permit_id, None)
        if issued_at is None:
            return
        if loaded:
            self._durations.append(now - issued_at)
        fastest_s = min(self._durations) if loaded else 0.0
        self._starts.append(max(issued_at, now - fastest_s))

    def delay_s(self, loads: int, window_s: float, now: float) -> float:
        """Return the pause, 0 or less for none, before leave for one more.

        At most ``loads`` may start within any stretch of ``window_s`` seconds.
        """
        window_s += START_TOLERANCE_S
        while self._starts and self._starts[0] + 2 * window_s < now:
            self._starts.popleft()
        out = [self._latest_start(at, now) for at in self._issued_at.values()]
        starts = sorted([*self._starts, *out])
        if len(starts) < loads:
            return 0.0
        return starts[-loads] + window_s - now

    def _latest_start(self, issued_at: float, now: float) -> float:
        """Return when a load that has not ended started, at the latest.

        One that takes no longer than usual is taken to have started with its leave:
        were it counted as starting now, long loads could not overlap at low rates.
        """
        usual_s = min(self._durations) if self._durations else 0.0
        return issued_at if now - issued_at <= usual_s + START_TOLERANCE_S else now
