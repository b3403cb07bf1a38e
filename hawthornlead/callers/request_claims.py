"""Claims on idempotency keys for adapter requests and service calls.

``RequestClaims.claim`` returns whether a request may run. If not, its failure has
``claim_read`` set where it also holds for the other tries with the key::

    claimed = await claims.claim(keyed)
    if claimed.is_err():
        return claimed
    if claimed.ok_value.state == DONE:
        ...  # answer with the recorded outcome
    outcome = ...  # run it: the claim is this request's own
    await claims.record(keyed, Outcome.of(failure, ...))
"""

from typing import NamedTuple

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure, Ran
from ..messages import Claimed
from ..settings import Settings
from ..timers import TimerService
from .claim_rows import DONE, NEW, NOT_RUN, UNKNOWN
from .claims import Claims

# The largest error of a caller's clock, as a share of the retention of claims.
CLOCK_ERROR_SHARE = 0.1

FAILURES: dict[str, Failure] = {
    "running": Failure(
        ErrorKind.DUPLICATE_RUNNING, "the first try with this key still runs", 1.0
    ),
    "done": Failure(
        ErrorKind.DUPLICATE_DONE, "it ran; its answer was too large to be kept"
    ),
    "unknown": Failure(
        ErrorKind.DUPLICATE_UNKNOWN, "the first try with this key may have run"
    ),
    "reused": Failure(ErrorKind.KEY_REUSED, "this key stands for a different request"),
}


class Keyed(NamedTuple):
    """One try of a request with an idempotency key.

    ``issued_at`` is when the caller made the key, in seconds since the epoch by the
    caller's clock, None if it does not say.
    """

    caller: str
    key: str
    fingerprint: bytes
    request_id: str
    issued_at: float | None


class Outcome(NamedTuple):
    """How a claimed request ended, as it is recorded."""

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""

    @classmethod
    def failed(cls, failure: Failure) -> "Outcome":
        """Return the outcome of a request that was answered with a failure."""
        if failure.answer.ran is Ran.NOT_RUN:
            return cls(NOT_RUN)
        return cls(UNKNOWN, failure.answer.status)


class RequestClaims:
    """Claims keys for requests of callers."""

    def __init__(self, *, settings: Settings, timers: TimerService, claims: Claims):
        self._keep_s = settings["CLAIM_KEEP_S"]
        self._timers = timers
        self._claims = claims

    @property
    def _max_clock_error_s(self) -> float:
        """The largest error of a caller's clock, in seconds."""
        return CLOCK_ERROR_SHARE * self._keep_s

    async def claim(self, keyed: Keyed) -> Result[Claimed, Failure]:
        """Claim a key: ``new`` (run it) or ``done`` with the recorded outcome."""
        if (
            keyed.issued_at is not None
            and self._age_s(keyed) < -self._max_clock_error_s
        ):
            detail = "the key was issued later than now: a clock is wrong"
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
        claimed = await self._claims.claim(
            keyed.caller, keyed.key, keyed.fingerprint, keyed.request_id
        )
        if isinstance(claimed, Err):
            return claimed
        claim = claimed.ok_value
        if claim.state == DONE and claim.content_type:
            return claimed
        if claim.state != NEW:
            return Err(FAILURES[claim.state]._replace(claim_read=True))
        if self._may_have_expired(keyed):
            await self.record(keyed, Outcome(NOT_RUN))
            detail = f"the key is older than claims are kept ({self._keep_s:.0f} s)"
            failure = Failure(ErrorKind.DUPLICATE_UNKNOWN, detail)
            return Err(failure._replace(claim_read=True))
        return Ok(claim)

    async def record(self, keyed: Keyed, outcome: Outcome) -> None:
        """Record how a claimed request ended.

        If this fails, the claim has no outcome, and later tries are answered 'may
        have run', never 'not run'.
        """
        await self._claims.record(keyed.caller, keyed.key, keyed.request_id, *outcome)

    def _may_have_expired(self, keyed: Keyed) -> bool:
        """Return whether the key may have had a claim that has expired by now.

        Prevents a second run of a request whose caller retries after a long time
        (CLM-8), which would show as a duplicate answer. Checked after the claim was
        written (CLM-2): if the age were read before, the process could freeze in
        between and find the earlier claim expired. If the key is young now, any
        earlier claim still existed when this one was written, and was found.
        """
        if keyed.issued_at is None:
            return False
        return self._age_s(keyed) > self._keep_s - self._max_clock_error_s

    def _age_s(self, keyed: Keyed) -> float:
        return self._timers.wall() - keyed.issued_at
