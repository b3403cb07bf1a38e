"""Whether what a VM knows of bundles is fresh enough to serve by.

A VM that was cut off or frozen may have missed that a newer bundle came into force.
``BundleFreshness`` keeps the moments that prove it has not, and refuses when they are
too old::

    refusal = freshness.refusal(timers.now(), seq_in_force)

All moments are seconds on this VM's clock, and each is when a question was sent that
was answered later: an answer that waited in a socket while this process was frozen
makes nothing fresh.
"""

from typing import NamedTuple

from ..errors import ErrorKind, Failure
from ..settings import Settings
from .bundle_knowledge import NEVER, BundleKnowledge

# A VM whose proof is older than this share of a bound reads the store itself.
OWN_READ_SHARE = 0.4


class Acknowledged(NamedTuple):
    """The stage that this VM acknowledged last, and when it was asked to."""

    seq: int
    at: float


class BundleFreshness:
    """Keeps when this VM last heard what, and says whether it may serve by it."""

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
        """Note that the store or another VM answered a question of ``requested_at``."""
        self._contact_at = max(self._contact_at, requested_at)

    def record_join(self, incarnation: str) -> None:
        """Note that the pointer was read after this incarnation was registered."""
        self._joined_incarnation = incarnation

    def record_acknowledgement(self, seq: int, received_at: float) -> None:
        """Note that this VM is first asked to acknowledge a stage, at a moment.

        The stage can't be accepted without this VM's first acknowledgement, which is
        not sent yet. Under a waiver that is not true, so that this VM uses it for
        itself only and vouches for nothing to others.
        """
        self._acknowledged = Acknowledged(seq, received_at)

    def mark_accepting(self, seq: int, now: float) -> None:
        """Note that the write which accepts a stage is about to be sent.

        From here on this VM no longer vouches that the stage is not accepted:
        the write may take effect and its reply be lost.
        """
        self._knowledge.confirm(seq, now)
        self._accepting_seq = max(self._accepting_seq, seq)

    def refusal(self, now: float, seq_in_force: int) -> Failure | None:
        """Return why no request may be served at ``now``, None if it may.

        ``seq_in_force`` is the bundle that this VM can serve; 0: none.
        """
        if not self._joined:
            return Failure(ErrorKind.NOT_READY, "this VM is not registered yet", 1.0)
        if self._leases.state in ("new", "ended"):
            return Failure(ErrorKind.NOT_READY, "this VM is not registered", 1.0)
        knowledge = self._knowledge
        if knowledge.seq == 0:
            return Failure(ErrorKind.NO_BUNDLE, "no bundle was rolled yet", 5.0)
        if seq_in_force < knowledge.seq:
            detail = f"bundle {knowledge.seq} is in force and not here yet"
            return Failure(ErrorKind.BUNDLE_BEHIND, detail, 1.0)
        # Guards against a VM that missed an acceptance and serves the old bundle on
        # (BUN-2, BUN-9, BUN-13). Whoever knows of a stage is in doubt of it, however
        # it came to know, by the roll's asking or by reading as a newcomer does:
        # without fresh proof that it is not accepted the VM refuses.
        staged = knowledge.staged
        if staged is not None and now - self._undecided_at(now) > self._doubt_s:
            detail = f"bundle {staged.seq} may be in force: no word for a while"
            return Failure(ErrorKind.BUNDLE_UNDECIDED, detail, 1.0)
        if now - self._contact_at > self._isolation_s:
            detail = "this VM hears neither the store nor another VM"
            return Failure(ErrorKind.ISOLATED, detail, 1.0)
        return None

    def requires_read(self, now: float) -> bool:
        """Whether this VM should read the store itself, before it must refuse."""
        if not self._joined:
            return True
        if now - self._contact_at > OWN_READ_SHARE * self._isolation_s:
            return True
        return now - self._undecided_at(now) > OWN_READ_SHARE * self._doubt_s

    def confirmed_undecided_at(self, now: float) -> float:
        """Return when the staged bundle was surely not accepted yet.

        Only the process that staged it can accept it, so that this process itself
        knows that its own stage is not accepted until it sends the write. No other
        process is sure by itself, not one restarted under the VM's name either
        (BUN-8): it can only hand on, with its age, what this one or the store said.
        """
        staged = self._knowledge.staged
        if staged is None:
            return now
        own = staged.vm == self._vm and staged.incarnation == self._incarnation
        if own and staged.seq > self._accepting_seq:
            return now
        return self._knowledge.confirmed_at

    def _undecided_at(self, now: float) -> float:
        """Return when the staged bundle was not accepted yet, for this VM's own use."""
        confirmed_undecided_at = self.confirmed_undecided_at(now)
        staged = self._knowledge.staged
        if self._acknowledged.seq == (staged.seq if staged else 0):
            return max(confirmed_undecided_at, self._acknowledged.at)
        return confirmed_undecided_at
