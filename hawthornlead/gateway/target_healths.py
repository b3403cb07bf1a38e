"""How each target has answered lately: broken, slow, or as it should.

A target's own health answer says little: one that fails part of its requests, or all
of them slowly, passes it. What counts is what became of requests.
"""

from collections.abc import Container

from ..timers import TimerService

# The first failures in a row make a target a suspect for so long, and each further one
# twice as long: one that restarts is back within some seconds.
SUSPECT_S = 0.7
MOST_SUSPECT_S = 4.0
# A failed answer among good ones counts towards this many milliseconds of cost, so that
# a target that fails a fifth of its requests is left for one that fails none.
FAILURE_MS = 2500.0
# How fast old answers are forgotten: a tenth of the weight each.
NEW_WEIGHT = 0.12
# Without answers, the memory of bad ones halves in this time, so that a target that got
# well is tried again.
FORGET_HALF_LIFE_S = 2.5
# A wait below this isn't told from ordinary queueing.
SLOW_FLOOR_MS = 400.0


class _Health:
    __slots__ = ("at", "failing", "in_a_row", "suspect_until", "wait_ms")

    def __init__(self):
        self.at = 0.0
        self.failing = 0.0
        self.wait_ms = 0.0
        self.in_a_row = 0
        self.suspect_until = 0.0


class TargetHealths:
    """What this VM has seen of each target.

    ::

        healths.record_answer("i-7f3a", wait_ms=210.0)
        healths.record_failure("i-7f3a")
        healths.cost_ms("i-7f3a")
    """

    def __init__(self, *, timers: TimerService):
        self._timers = timers
        self._healths: dict[str, _Health] = {}

    def record_answer(self, target: str, wait_ms: float) -> None:
        """Note an answer that began after ``wait_ms``."""
        health = self._aged(target)
        health.in_a_row = 0
        health.suspect_until = 0.0
        health.failing *= 1 - NEW_WEIGHT
        health.wait_ms += NEW_WEIGHT * (wait_ms - health.wait_ms)

    def record_failure(self, target: str, gone: bool = False) -> None:
        """Note a request that the target failed; ``gone`` if it can't be reached."""
        health = self._aged(target)
        health.failing += NEW_WEIGHT * (1 - health.failing)
        health.in_a_row += 1
        if gone or health.in_a_row >= 3:
            wait_s = min(MOST_SUSPECT_S, SUSPECT_S * 2 ** min(4, health.in_a_row - 1))
            health.suspect_until = self._timers.now() + wait_s

    def is_suspect(self, target: str) -> bool:
        """Whether a target failed so that only a last resort goes there."""
        health = self._healths.get(target)
        return health is not None and health.suspect_until > self._timers.now()

    def cost_ms(self, target: str) -> float:
        """Return what its failures and its slowness count against a target."""
        if target not in self._healths:
            return 0.0
        health = self._aged(target)
        slow_ms = max(0.0, health.wait_ms - SLOW_FLOOR_MS)
        return FAILURE_MS * health.failing + slow_ms

    def discard(self, target: str) -> None:
        """Drop what is known of a target that started again: it may be well."""
        self._healths.pop(target, None)

    def retain(self, targets: Container[str]) -> None:
        """Drop what is known of all targets but these: the others are gone."""
        for target in tuple(self._healths):
            if target not in targets:
                del self._healths[target]

    def _aged(self, target: str) -> _Health:
        now = self._timers.now()
        health = self._healths.get(target)
        if health is None:
            health = self._healths[target] = _Health()
            health.at = now
            return health
        faded = 0.5 ** ((now - health.at) / FORGET_HALF_LIFE_S)
        health.failing *= faded
        health.wait_ms *= faded
        health.at = now
        return health
