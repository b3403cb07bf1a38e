"""Decides whether a VM's knowledge of bundles is fresh enough to serve requests.

A VM that was partitioned or frozen may have missed that a newer bundle came into force.
``BundleFreshness`` keeps the times that prove it has not and refuses when they are too
old::

    refusal = freshness.refusal(timers.now(), seq_in_force)

All times are seconds on this VM's clock. Each is the time when a request was sent, not
when it was answered: an answer that waited in a socket while this process was frozen
is no proof of freshness.
"""

from typing import NamedTuple

from ..errors import ErrorKind, Failure
from ..settings import Settings
from .bundle_knowledge import NEVER, BundleKnowledge

# A VM whose proof is older than this share of a bound reads the store itself.
OWN_READ_SHARE = 0.4


class Acknowledged(NamedTuple):
    """The stage that this VM acknowledged last, and when the request arrived."""

    seq: int
    at: float


class BundleFreshness:
    """Tracks how old this VM's information is and whether it may serve."""

    def __init__(
        self,
        *,
        settings: Settings,
        knowledge: BundleKnowledge,
        leases,
        incarnation: str,
    ):
        self._vm = settings["VM_NAME"]
        self._doubt_s = settings["DOUBT_S"]
        self._isolation_s = settings["ISOLATION_S"]
        self._knowledge = knowledge
        self._leases = leases
        self._incarnation = incarnation
        self._accepting_seq = 0
        self._acknowledged = Acknowledged(0, NEVER)
        self._joined_incarnation = ""
        self._contact_at = NEVER

    @property
    def _joined(self) -> bool:
        return (
            self._joined_incarnation != ""
            and self._joined_incarnation == self._leases.incarnation
        )

    def record_contact(self, requested_at: float) -> None:
        """Record an answer of the store or a VM to a request of ``requested_at``."""
        self._contact_at = max(self._contact_at, requested_at)

    def record_join(self, incarnation: str) -> None:
        """Record that the pointer was read after this incarnation was registered."""
        self._joined_incarnation = incarnation

    def record_acknowledgement(self, seq: int, received_at: float) -> None:
        """Record when this VM was first asked to acknowledge a stage.

        The stage can't be accepted before this VM's first acknowledgement, which is
        not sent yet. Under a waiver it can, so this VM uses the time only for itself
        and does not confirm it to others.
        """
        self._acknowledged = Acknowledged(seq, received_at)

    def mark_accepting(self, seq: int, now: float) -> None:
        """Record that the write which accepts a stage is about to be sent.

        From here on this VM no longer confirms that the stage is not accepted: the
        write may take effect and its reply be lost.
        """
        self._knowledge.confirm(seq, now)
        self._accepting_seq = max(self._accepting_seq, seq)

    def refusal(self, now: float, seq_in_force: int) -> Failure | None:
        """Return why no request may be served at ``now``, None if requests may.

        ``seq_in_force`` is the bundle that this VM can serve, 0 for none.
        """
        if not self._joined:
            return Failure(ErrorKind.NOT_READY, "this VM is not registered yet", 1.0)
        if self._leases.state in ("new", "ended"):
            return Failure(ErrorKind.NOT_READY, "this VM is not registered", 1.0)
        knowledge = self._knowledge
        if knowledge.seq == 0:
            return Failure(ErrorKind.NO_BUNDLE, "no bundle was rolled yet", 5.0)
        if seq_in_force < knowledge.seq:
            detail = f"bundle {knowledge.seq} is in force but not loaded on this VM yet"
            return Failure(ErrorKind.BUNDLE_BEHIND, detail, 1.0)
        # Guards against a VM that missed an acceptance and keeps serving the old
        # bundle (BUN-2, BUN-9, BUN-13). A VM that knows of a stage is in doubt of it,
        # whether the roll asked it or it read the pointer when it started. It refuses
        # without fresh proof that the stage is not accepted.
        staged = knowledge.staged
        if staged is not None and now - self._undecided_at(now) > self._doubt_s:
            detail = f"bundle {staged.seq} may be in force: no recent confirmation"
            return Failure(ErrorKind.BUNDLE_UNDECIDED, detail, 1.0)
        if now - self._contact_at > self._isolation_s:
            detail = "this VM reaches neither the store nor another VM"
            return Failure(ErrorKind.ISOLATED, detail, 1.0)
        return None

    def requires_read(self, now: float) -> bool:
        """Return whether this VM should read the store before it has to refuse."""
        if not self._joined:
            return True
        if now - self._contact_at > OWN_READ_SHARE * self._isolation_s:
            return True
        return now - self._undecided_at(now) > OWN_READ_SHARE * self._doubt_s

    def confirmed_undecided_at(self, now: float) -> float:
        """Return the last time when the staged bundle was certainly not accepted.

        Only the process that staged a bundle can accept it, so it knows that its own
        stage is not accepted until it sends the write. Any other process, including
        one restarted under the same VM name (BUN-8), can only forward with its age
        what that process or the store reported.
        """
        staged = self._knowledge.staged
        if staged is None:
            return now
        own = staged.vm == self._vm and staged.incarnation == self._incarnation
        if own and staged.seq > self._accepting_seq:
            return now
        return self._knowledge.confirmed_at

    def _undecided_at(self, now: float) -> float:
        """Return the last such time that holds for this VM's own use."""
        confirmed_undecided_at = self.confirmed_undecided_at(now)
        staged = self._knowledge.staged
        if self._acknowledged.seq == (staged.seq if staged else 0):
            return max(confirmed_undecided_at, self._acknowledged.at)
        return confirmed_undecided_at
