"""The search of one request for a target that accepts it.

::

    search = TargetSearch(excluded=frozenset(), score=score, timers=timers)
    best = search.best(slack_s=0.4)
    search.record_failure(best.candidate.target, failure)
"""

import math
from collections.abc import Callable

from ..errors import ErrorKind, Failure
from ..timers import TimerService
from .target_choices import Scored, with_slot_wait

# Targets that are asked, one after the other, to load an adapter or for a turn.
MAX_LOAD_TRIES = 3
# An owner without a free slot says so within milliseconds, so many can be asked: where
# engines have few slots, most are in use while one somewhere is free. Beyond these the
# request waits at the one of them that expects the next free slot.
MAX_FULL_TRIES = 12
# Engines that are asked for an immediate place; the next one is asked to wait for one.
# Each question costs processor time at both VMs, and their answers show the load.
MAX_BUSY_TRIES = 2
# A caller that retries as soon as one slot is expected to be free meets the same full
# engines. Half a second is longer than a run, so other runs have ended by then.
MIN_FULL_RETRY_S = 0.5
# Immediate failures of a VM that doesn't own an engine. Where few VMs own all engines,
# such answers would use up a request's tries.
OWNERLESS = frozenset({ErrorKind.NO_GRANT, ErrorKind.PEER_UNAVAILABLE})
# After a full engine's answer the scores of the others are reused for this long: what
# this VM knows of them is older than that anyway.
SCORES_MAX_AGE_S = 0.02


class TargetSearch:
    """The targets that one request was offered to, and why they refused it.

    ``score`` returns the usable targets except the ``excluded`` ones, the best first.
    """

    def __init__(
        self,
        *,
        excluded: frozenset[str],
        score: Callable[[frozenset[str]], list[Scored]],
        timers: TimerService,
    ):
        self._excluded = excluded
        self._score = score
        self._timers = timers
        self._full: dict[str, float] = {}
        self._busy = 0
        self._scored: list[Scored] = []
        self._scored_at = -math.inf
        self.count = 1

    @property
    def may_continue(self) -> bool:
        """Whether another target may be tried."""
        return self.count <= MAX_LOAD_TRIES

    @property
    def candidates(self) -> list[Scored]:
        """The targets that can be tried, the best first."""
        now = self._timers.now()
        if now - self._scored_at > SCORES_MAX_AGE_S:
            self._scored, self._scored_at = self._score(self._excluded), now
        return self._scored

    @property
    def full_retry_s(self) -> float:
        """When to retry if all targets are full."""
        return max(MIN_FULL_RETRY_S, min(self._full.values()))

    def is_full(self, target: str) -> bool:
        """Whether a target's owner said that it has no free slot."""
        return target in self._full

    def best(self, slack_s: float) -> Scored | None:
        """Return the best target whose next free slot isn't too late, None if none is.

        Once ``MAX_FULL_TRIES`` targets were full, no further one is tried.
        """
        for each in self.candidates:
            target = each.candidate.target
            if len(self._full) >= MAX_FULL_TRIES and target not in self._full:
                continue
            if self._full.get(target, 0.0) <= max(0.0, slack_s):
                return each
        return None

    def record_failure(self, target: str, failure: Failure) -> None:
        """Record why a target didn't accept the request."""
        if failure.kind is ErrorKind.NO_SLOT and target not in self._full:
            self._full[target] = failure.retry_after_s
            wait_ms = 1000 * failure.retry_after_s
            self._scored = with_slot_wait(self._scored, target, wait_ms)
            return
        self._scored_at = -math.inf
        if failure.kind is ErrorKind.NO_PLACE:
            # It may still be the best one to wait at, by the count in its answer.
            self._busy += 1
            if self._busy >= MAX_BUSY_TRIES:
                self.count = max(MAX_LOAD_TRIES, self.count + 1)
            return
        if failure.kind not in OWNERLESS:
            self.count += 1
        if failure.kind is not ErrorKind.TOO_LATE_TO_START:
            self._excluded = self._excluded | {target}
