"""The health of each target, by its recent answers to requests.

A target's own health check shows little: a target that fails some of its requests, or
answers all of them slowly, passes it. So the outcomes of requests count.
"""

from collections.abc import Container

from ..timers import TimerService

# The first failures in a row make a target suspect for this long, and each further one
# doubles it: a target that restarts is back within some seconds.
SUSPECT_S = 0.7
MAX_SUSPECT_S = 4.0
# The cost of a target that fails all requests. One that fails a fifth of them is left
# for one that fails none.
FAILURE_MS = 2500.0
# The weight of each new answer in the averages.
ANSWER_WEIGHT = 0.12
# Without new answers the averages halve in this time, so that a recovered target is
# tried again.
FAILURE_HALF_LIFE_S = 2.5
# A shorter wait can't be distinguished from ordinary queueing.
MIN_SLOW_MS = 400.0


class _Health:
    __slots__ = ("at", "failing", "in_a_row", "suspect_until", "wait_ms")

    def __init__(self):
        self.at = 0.0
        self.failing = 0.0
        self.wait_ms = 0.0
        self.in_a_row = 0
        self.suspect_until = 0.0


class TargetHealths:
    """The health of each target as this VM observed it.

    ::

        healths.record_answer("i-7f3a", wait_ms=210.0)
        healths.record_failure("i-7f3a")
        healths.cost_ms("i-7f3a")
    """

    def __init__(self, *, timers: TimerService):
        self._timers = timers
        self._healths: dict[str, _Health] = {}

    def record_answer(self, target: str, wait_ms: float) -> None:
        """Record an answer that started after ``wait_ms``."""
        health = self._decayed(target)
        health.in_a_row = 0
        health.suspect_until = 0.0
        health.failing *= 1 - ANSWER_WEIGHT
        health.wait_ms += ANSWER_WEIGHT * (wait_ms - health.wait_ms)

    def record_failure(self, target: str, gone: bool = False) -> None:
        """Record a request that the target failed; ``gone`` if it can't be reached."""
        health = self._decayed(target)
        health.failing += ANSWER_WEIGHT * (1 - health.failing)
        health.in_a_row += 1
        if gone or health.in_a_row >= 3:
            wait_s = min(MAX_SUSPECT_S, SUSPECT_S * 2 ** min(4, health.in_a_row - 1))
            health.suspect_until = self._timers.now() + wait_s

    def is_suspect(self, target: str) -> bool:
        """Whether a target is a last resort after its recent failures."""
        health = self._healths.get(target)
        return health is not None and health.suspect_until > self._timers.now()

    def cost_ms(self, target: str, slowness: float = 1.0) -> float:
        """Return the cost of a target's failures and its slowness.

        A target that is known to take ``slowness`` times as long as others is already
        charged for that. Only what it takes longer still is counted.
        """
        if target not in self._healths:
            return 0.0
        health = self._decayed(target)
        slow_ms = max(0.0, health.wait_ms - MIN_SLOW_MS * slowness)
        return FAILURE_MS * health.failing + slow_ms

    def discard(self, target: str) -> None:
        """Discard the health of a target that restarted: it may be healthy again."""
        self._healths.pop(target, None)

    def retain(self, targets: Container[str]) -> None:
        """Discard the health of all targets except these: the others are gone."""
        for target in tuple(self._healths):
            if target not in targets:
                del self._healths[target]

    def _decayed(self, target: str) -> _Health:
        now = self._timers.now()
        health = self._healths.get(target)
        if health is None:
            health = self._healths[target] = _Health()
            health.at = now
            return health
        decay = 0.5 ** ((now - health.at) / FAILURE_HALF_LIFE_S)
        health.failing *= decay
        health.wait_ms *= decay
        health.at = now
        return health
