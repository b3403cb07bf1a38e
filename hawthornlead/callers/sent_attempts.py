"""Which open requests may have run, recorded where their bytes are sent.

This is independent of what the request paths conclude from errors, and is checked
against it. A "not run" refusal of a request that was sent breaks an invariant unless
the target confirmed that it did not run, whatever the error was::

    sent.record_send("r-17", at_most_once=True)  # right before the send
    sent.record_not_run("r-17")               # the target confirmed that it did not run
    sent.check_refusal("r-17", failure)      # before the caller is answered
    sent.discard("r-17")
"""

from collections import Counter

from ..errors import Failure, Ran
from ..invariants import Invariants


class SentAttempts:
    """The attempts of this process that may have run, by request."""

    def __init__(self, *, invariants: Invariants):
        self._invariants = invariants
        self._unresolved: Counter[str] = Counter()

    def record_send(self, request_id: str, at_most_once: bool) -> None:
        """Record that an attempt is being sent; ``at_most_once``: never twice."""
        first = self._unresolved[request_id] == 0
        self._invariants.check("keyed-sent-once", first or not at_most_once, request_id)
        self._unresolved[request_id] += 1

    def record_not_run(self, request_id: str) -> None:
        """Record that the target confirmed that the newest attempt did not run."""
        self._unresolved[request_id] -= 1

    def check_refusal(self, request_id: str, failure: Failure) -> None:
        """Check that a "not run" refusal is of a request that did not run."""
        admits_run = failure.answer.ran is not Ran.NOT_RUN
        holds = admits_run or self._unresolved.get(request_id, 0) <= 0
        detail = f"{request_id} {failure.kind.value}"
        self._invariants.check("not-run-never-sent", holds, detail)

    def discard(self, request_id: str) -> None:
        """Discard the record of a request that was answered."""
        self._unresolved.pop(request_id, None)
