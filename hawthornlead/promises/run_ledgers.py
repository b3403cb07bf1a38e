"""What is known of the runs of one request: the one place that proves "not run".

From the moment at which a request is sent it counts as one that may have run, whatever
becomes of the attempt. Only the statement of who got it takes that back::

    ledger = RunLedger()
    ledger.record_send()
    proof = prove_not_run(head.status, stated=head.signs.not_run)
    if proof is not None:
        ledger.record_not_run(proof)
    failure = ledger.truthful(failure)

Whose statement an answer is, ``target_connections`` decides: a connection is kept only
after a success, so that no refusal of an earlier request can come on it.
"""

from typing import NamedTuple

from ..errors import ErrorKind, Failure

# These promise a caller that its request has not run and never will.
PROMISE_STATUSES = frozenset((408, 421, 429, 503))
# By these a request is refused that wasn't sent anywhere.
UNRUN_STATUSES = frozenset((404, 429, 503))


class NotRun(NamedTuple):
    """The statement of a target, or of another VM, that it didn't run a request."""

    status: int


def prove_not_run(status: int, *, stated: bool) -> NotRun | None:
    """Return the proof that an answer gives, None if it gives none.

    The answer says that nothing ran if ``stated``. In a success that is a
    contradiction, which proves nothing.
    """
    return NotRun(status) if stated and status >= 400 else None


class RunLedger:
    """The sends of one request, and those that may have run.

    ``sent`` and ``ran`` are what another VM says that passed the request on.
    """

    def __init__(self, sent: int = 0, ran: int = 0):
        self._sent = sent
        self._ran = self._ran_before = ran

    @property
    def sent(self) -> int:
        """How often it was sent to a target."""
        return self._sent

    @property
    def ran(self) -> int:
        """How many of its sends, to targets or to other VMs, may have run."""
        return self._ran

    @property
    def may_have_run_here(self) -> bool:
        """Whether a send of this VM may have run."""
        return self._ran > self._ran_before

    def may_send(self, *, repeatable: bool) -> bool:
        """Whether the request may be sent now, once more if it is ``repeatable``."""
        return repeatable or not self._ran

    def record_send(self) -> None:
        """Record, right before the send, that a target may run the request."""
        self._sent += 1
        self._ran += 1

    def record_relay(self) -> None:
        """Record, right before the send, that another VM may have it run."""
        self._ran += 1

    def record_not_run(self, proof: NotRun) -> None:
        """Record that the last send didn't run, by the ``proof`` of who got it."""
        assert proof.status >= 400
        self._ran -= 1

    def truthful(self, failure: Failure) -> Failure:
        """Return the failure, without a promise that may be false."""
        if not self._ran or failure.answer.status not in PROMISE_STATUSES:
            return failure
        return Failure(ErrorKind.TARGET_LOST, f"it may have run: {failure.detail}")
