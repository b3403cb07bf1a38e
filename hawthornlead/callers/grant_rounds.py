"""Acquire a grant for a request on the best target that can give one.

A target whose slots are all in use refuses at once and the next one is tried. If all
refuse, the request waits at the best one briefly, then starts another round, until its
deadline. A request that can't be served in time is refused at once, so that its caller
can try elsewhere while there is time.

While targets have no owner because the VM that owned them has just died, a request
retries for a few seconds: another VM takes them over in about that time.
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

MIN_REMAINING_S = 0.05
# How long a request waits for a slot at one target before the next round.
SLOT_WAIT_TIMEOUT_S = 0.5
# Interval between rounds while the targets have no owner.
OWNER_RETRY_S = 0.1
OWNERLESS = frozenset({ErrorKind.NO_GRANT, ErrorKind.PEER_UNAVAILABLE})


class Try(NamedTuple):
    """A target for an attempt, and whether the adapter is resident there."""

    view: TargetView
    resident: bool


class Granted(NamedTuple):
    """The acquired grant and its target."""

    one_try: Try
    grant: Grant


class GrantRounds:
    """Requests grants from the owners of targets, one after the other."""

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
        """Acquire a grant before ``deadline_at`` (this VM's clock).

        ``choose`` returns the current targets, best first. Fails at once with the
        failure of the last round, unless a slot may become free or an owner may come.
        """
        terms = _GrantTerms(assignment, priority, deadline_at)
        started = self._timers.now()
        while True:
            outcome = await self._request_from_all(terms, choose())
            if isinstance(outcome, Err) and self._may_wait(terms, outcome.err_value):
                best = choose()[:1]
                if best:
                    outcome = await self._request(terms, best[0], SLOT_WAIT_TIMEOUT_S)
            if isinstance(outcome, Ok):
                if outcome.ok_value.grant.loaded_s > 0:
                    stalled_s = self._timers.now() - started
                    self._metrics.load_stall.observe(stalled_s)
                return outcome
            if self._may_wait(terms, outcome.err_value):
                continue
            if not self._owner_may_come(terms, started, outcome.err_value):
                return outcome
            await self._timers.sleep(OWNER_RETRY_S)

    async def _request_from_all(
        self, terms: "_GrantTerms", tries: Sequence[Try]
    ) -> Result[Granted, Failure]:
        """Request a grant from each target once, without waiting for a slot.

        Fails with the refusal that expects a free slot soonest, else with the last.
        """
        base_model = terms.assignment.base_model
        failure = Failure(ErrorKind.NO_TARGET, f"no target serves {base_model}", 1.0)
        soonest: Failure | None = None
        for one_try in tries:
            outcome = await self._request(terms, one_try, 0.0)
            if isinstance(outcome, Ok) or not outcome.err_value.answer.retry:
                return outcome
            failure = outcome.err_value
            if failure.kind is not ErrorKind.NO_SLOT:
                continue
            if soonest is None or _wait_s(failure) < _wait_s(soonest):
                soonest = failure
        return Err(soonest or failure)

    async def _request(
        self, terms: "_GrantTerms", one_try: Try, slot_wait_s: float
    ) -> Result[Granted, Failure]:
        left = terms.deadline_at - self._timers.now()
        if left < MIN_REMAINING_S:
            failure = Failure(ErrorKind.TOO_LATE_TO_START, "no time is left to run")
            return Err(failure)
        outcome = await self._grants.acquire(
            one_try.view.target,
            terms.assignment,
            wait_s=left,
            # The view may be outdated: a request that waits for a slot allows a load.
            load=not one_try.resident or slot_wait_s > 0,
            priority=terms.priority,
            slot_wait_s=slot_wait_s,
        )
        return outcome.map(lambda grant: Granted(one_try, grant))

    def _owner_may_come(
        self, terms: "_GrantTerms", started: float, failure: Failure
    ) -> bool:
        """Return whether to retry because a target's owner is being replaced.

        Without this every request for the targets of a dead VM would be refused until
        they are taken over, although the callers have time.
        """
        if failure.kind not in OWNERLESS:
            return False
        until = min(started + self._owner_wait_s, terms.deadline_at)
        return self._timers.now() + OWNER_RETRY_S < until

    def _may_wait(self, terms: "_GrantTerms", failure: Failure) -> bool:
        if failure.kind is not ErrorKind.NO_SLOT:
            return False
        return self._timers.now() + _wait_s(failure) < terms.deadline_at


class _GrantTerms(NamedTuple):
    """The terms of the requested grant, equal for all targets."""

    assignment: Assignment
    priority: int
    deadline_at: float


def _wait_s(failure: Failure) -> float:
    return failure.retry_after_s or 0.0
