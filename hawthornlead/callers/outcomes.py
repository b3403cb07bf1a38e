"""Outcomes of callers' requests: the failure to answer, and metrics and events.

Shared by requests for adapters and calls to plain services::

    outcomes = OutcomeRecorder(events=events, metrics=metrics, sent=sent)
    outcomes.record_answer("r-17")
    return outcomes.record_refusal("r-18", truthful(failure, ran=True))
"""

from result import Err

from ..errors import ErrorKind, Failure, Ran
from ..events import EventKind, EventRing
from ..metrics import Metrics
from .sent_attempts import SentAttempts


class OutcomeRecorder:
    """Counts and logs how requests ended, right before their callers are answered."""

    def __init__(self, *, events: EventRing, metrics: Metrics, sent: SentAttempts):
        self._events = events
        self._metrics = metrics
        self._sent = sent

    def record_answer(self, request_id: str) -> None:
        """Record that a request was answered completely."""
        self._metrics.requests.labels("whole").inc()
        self._events.emit(EventKind.REQUEST_ANSWERED, request_id)

    def record_refusal(self, request_id: str, failure: Failure) -> Err[Failure]:
        """Record that a request failed, and check the failure against what was sent."""
        self._sent.check_refusal(request_id, failure)
        self._metrics.requests.labels(failure.kind.value).inc()
        self._events.emit(
            EventKind.REQUEST_REFUSED,
            request_id,
            kind=failure.kind.value,
            ran=failure.answer.ran.value,
            detail=failure.detail,
        )
        return Err(failure)


def may_have_run(failure: Failure) -> bool:
    """Return whether an attempt with this failure may have run on its target."""
    return failure.answer.ran is not Ran.NOT_RUN


def failure_to_answer(failure: Failure, ran: bool) -> Failure:
    """Return the failure to answer: never 'not run' if an earlier attempt may have run.

    A retry can end in a refusal. Its own attempt did not run, but the one before it
    may have.
    """
    if not ran or may_have_run(failure):
        return failure
    detail = f"an earlier attempt may have run; then: {failure.detail}"
    return Failure(ErrorKind.TARGET_LOST, detail, failure.retry_after_s)
