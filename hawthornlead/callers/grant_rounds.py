"""Getting a grant for a request: on the best target, else on the next that can.

A target whose slots are all in use refuses at once and the next is asked. When all
have refused, the request waits at the best one for a moment, then looks again, until
its deadline. What can't be made in time is refused at once, so that the caller can
turn elsewhere while there is time.

While targets have no owner, because the VM that owned them has just died, a request
asks again for a few seconds: another VM takes them over in about that time.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from ..bundles.bundles import Assignment
from ..decisions.views import TargetView
from ..engines.grants import Grant, Grants
from ..errors import ErrorKind, Failure
from ..metrics import Metrics
from ..settings import Settings
from ..timers import TimerService

LEAST_WAIT_S = 0.05
# How long a request waits at a target that has no slot before it looks elsewhere.
ROOM_S = 0.5
# How often a request asks again while the targets have no owner.
OWNER_PAUSE_S = 0.1
OWNERLESS = frozenset({ErrorKind.NO_GRANT, ErrorKind.PEER_UNAVAILABLE})


class Try(NamedTuple):
    """A target for an attempt, and whether the adapter is there."""

    view: TargetView
    resident: bool


class Granted(NamedTuple):
    """The grant that a request got, and where."""

    one_try: Try
    grant: Grant


class GrantRounds:
    """Asks the owners of targets in turn."""

    def __init__(
        self,
        *,
        settings: Settings,
        timers: TimerService,
        metrics: Metrics,
        grants: Grants,
    ):
        self._owner_wait_s = settings["OWNER_WAIT_S"]
        self._timers = timers
        self._metrics = metrics
        self._grants = grants

    async def acquire(
        self,
        assignment: Assignment,
        priority: int,
        deadline_at: float,
        choose: Callable[[], Sequence[Try]],
    ) -> Result[Granted, Failure]:
        """Get a grant before ``deadline_at`` (this VM's clock).

        ``choose`` returns the targets as they stand at its call, best first. Fails
        at once with what the last target said, unless a slot may become free.
        """
        asking = _Asking(assignment, priority, deadline_at)
        started = self._timers.now()
        while True:
            outcome = await self._round(asking, choose())
            if isinstance(outcome, Err) and self._may_wait(asking, outcome.err_value):
                best = choose()[:1]
                if best:
                    outcome = await self._ask(asking, best[0], ROOM_S)
            if isinstance(outcome, Ok):
                if outcome.ok_value.grant.loaded_s > 0:
                    stalled_s = self._timers.now() - started
                    self._metrics.load_stall.observe(stalled_s)
                return outcome
            if self._may_wait(asking, outcome.err_value):
                continue
            if not self._owner_may_come(asking, started, outcome.err_value):
                return outcome
            await self._timers.sleep(OWNER_PAUSE_S)

    async def _round(
        self, asking: "_Asking", tries: Sequence[Try]
    ) -> Result[Granted, Failure]:
        """Ask each target once; none waits for a slot that runs something.

        Fails with the refusal that promises a slot soonest, else with the last.
        """
        base_model = asking.assignment.base_model
        failure = Failure(ErrorKind.NO_TARGET, f"no target serves {base_model}", 1.0)
        soonest: Failure | None = None
        for one_try in tries:
            outcome = await self._ask(asking, one_try, 0.0)
            if isinstance(outcome, Ok) or not outcome.err_value.answer.retry:
                return outcome
            failure = outcome.err_value
            if failure.kind is not ErrorKind.NO_SLOT:
                continue
            if soonest is None or _wait_s(failure) < _wait_s(soonest):
                soonest = failure
        return Err(soonest or failure)

    async def _ask(
        self, asking: "_Asking", one_try: Try, slot_wait_s: float
    ) -> Result[Granted, Failure]:
        left = asking.deadline_at - self._timers.now()
        if left < LEAST_WAIT_S:
            failure = Failure(ErrorKind.TOO_LATE_TO_START, "no time is left to run")
            return Err(failure)
        outcome = await self._grants.acquire(
            one_try.view.target,
            asking.assignment,
            wait_s=left,
            # A view may be old: who waits for a slot lets the adapter be loaded.
            load=not one_try.resident or slot_wait_s > 0,
            priority=asking.priority,
            slot_wait_s=slot_wait_s,
        )
        return outcome.map(lambda grant: Granted(one_try, grant))

    def _owner_may_come(
        self, asking: "_Asking", started: float, failure: Failure
    ) -> bool:
        """Whether to ask again because a target's owner is just being replaced.

        Without this a VM's death refuses every request for its targets until they
        are taken over, although their callers have time.
        """
        if failure.kind not in OWNERLESS:
            return False
        until = min(started + self._owner_wait_s, asking.deadline_at)
        return self._timers.now() + OWNER_PAUSE_S < until

    def _may_wait(self, asking: "_Asking", failure: Failure) -> bool:
        if failure.kind is not ErrorKind.NO_SLOT:
            return False
        return self._timers.now() + _wait_s(failure) < asking.deadline_at


class _Asking(NamedTuple):
    """What all targets are asked for."""

    assignment: Assignment
    priority: int
    deadline_at: float


def _wait_s(failure: Failure) -> float:
    return failure.retry_after_s or 0.0
