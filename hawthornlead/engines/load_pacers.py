"""When loads may have started, so that a weight store's rate is kept where they do.

Leave to load is given at one moment and the load starts at a later one: the target
may have to evict first, or carries out its orders slowly. The store counts starts.
What is known of a start: it comes after the leave, and before the load's end by at
least the time of the fastest load. ``LoadPacer`` counts each load at the latest
moment at which it may have started::

    spacing.given("permit-1", now)
    pause_s = spacing.pause_s(6, 1.0, now)
    spacing.ended("permit-1", now, loaded=True)
"""

from collections import deque

# Starts later than their leave by less than this are too usual to be looked for:
# each span of the rate is kept this much longer instead, in seconds.
LATE_S = 0.1
MAX_TIMES = 32
MAX_STARTS = 4096


class LoadPacer:
    """The loads given leave by one holder of an allowance."""

    def __init__(self):
        self._given_at: dict[str, float] = {}
        self._starts: deque[float] = deque(maxlen=MAX_STARTS)
        self._times: deque[float] = deque(maxlen=MAX_TIMES)

    def given(self, permit_id: str, now: float) -> None:
        """Note that leave was given."""
        self._given_at[permit_id] = now

    def ended(self, permit_id: str, now: float, loaded: bool) -> None:
        """Note that a load has ended; one that did not load may have been short."""
        given_at = self._given_at.pop(permit_id, None)
        if given_at is None:
            return
        if loaded:
            self._times.append(now - given_at)
        fastest_s = min(self._times) if loaded else 0.0
        self._starts.append(max(given_at, now - fastest_s))

    def pause_s(self, loads: int, span_s: float, now: float) -> float:
        """Return the pause, 0 or less for none, before leave for one more.

        At most ``loads`` may start within any stretch of ``span_s`` seconds.
        """
        span_s += LATE_S
        while self._starts and self._starts[0] + 2 * span_s < now:
            self._starts.popleft()
        out = [self._latest_start(at, now) for at in self._given_at.values()]
        starts = sorted([*self._starts, *out])
        if len(starts) < loads:
            return 0.0
        return starts[-loads] + span_s - now

    def _latest_start(self, given_at: float, now: float) -> float:
        """Return when a load that has not ended started, at the latest.

        One that takes no longer than usual is taken to have started with its leave:
        were it counted as starting now, long loads could not overlap at low rates.
        """
        usual_s = min(self._times) if self._times else 0.0
        return given_at if now - given_at <= usual_s + LATE_S else now
