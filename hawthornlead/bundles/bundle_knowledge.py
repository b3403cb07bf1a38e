"""What one VM knows of the bundles that were accepted, staged and abandoned.

Reports come from the store, from the VM that rolls or from any other VM, possibly late,
twice or out of order. All are merged here, and merging is monotonic: a sequence number
known to be accepted or decided stays so.
"""

from typing import NamedTuple

from ..messages import BundlePointer
from .bundle_pointers import Pointer, Stage

NEVER = float("-inf")


class BundleReport(NamedTuple):
    """What one source reports about bundles.

    ``confirmed_at`` is a time on this VM's clock at which the staged bundle was not
    accepted yet.
    """

    seq: int
    digest: str
    decided_seq: int
    staged: Stage | None
    confirmed_at: float = NEVER


def report_from_pointer(pointer: Pointer, read_at: float) -> BundleReport:
    """Return the report of a store read that was started at ``read_at``."""
    return BundleReport(
        pointer.seq, pointer.digest, pointer.decided_seq, pointer.staged, read_at
    )


def report_from_peer(reply: BundlePointer, requested_at: float) -> BundleReport:
    """Return the report in the reply to a request sent at ``requested_at``.

    Guards against old answers that waited in a socket and prolong the service of a
    replaced bundle (BUN-4). The age is relative to the reply, which is later than the
    request, so the time computed here is never too late.
    """
    staged = None
    if reply.staged_seq:
        staged = Stage(
            reply.staged_seq,
            reply.staged_digest,
            reply.staged_vm,
            reply.staged_incarnation,
        )
    confirmed_at = requested_at - reply.age_s if reply.age_s >= 0 else NEVER
    return BundleReport(
        reply.seq, reply.digest, reply.decided_seq, staged, confirmed_at
    )


class BundleKnowledge:
    """The merged knowledge of one VM."""

    def __init__(self):
        self._seq = 0
        self._digest = ""
        self._decided_seq = 0
        self._staged: Stage | None = None
        self._staged_at = NEVER
        self._confirmed_at = NEVER

    @property
    def seq(self) -> int:
        """The highest sequence number known to be accepted; 0: none."""
        return self._seq

    @property
    def digest(self) -> str:
        """The bundle accepted under ``seq``."""
        return self._digest

    @property
    def decided_seq(self) -> int:
        """Every stage up to this one is known to be accepted or abandoned."""
        return self._decided_seq

    @property
    def staged(self) -> Stage | None:
        """The staged bundle whose decision is not known, if any."""
        return self._staged

    @property
    def staged_at(self) -> float:
        """When this VM first learned of the staged bundle."""
        return self._staged_at

    @property
    def confirmed_at(self) -> float:
        """The last time at which the staged bundle was certainly not accepted."""
        return self._confirmed_at

    def merge(self, report: BundleReport, now: float) -> None:
        """Merge the report of a source."""
        # Guards against late messages that restore an older bundle (BUN-3): callers
        # would get answers from a replaced version again. Numbers only grow.
        if report.seq > self._seq:
            self._seq, self._digest = report.seq, report.digest
        self._decided_seq = max(self._decided_seq, report.decided_seq, report.seq)
        staged = report.staged
        if staged is not None and staged.seq > self._decided_seq:
            if self._staged is None or staged.seq > self._staged.seq:
                # A stage starts only when all earlier ones are decided. Reports of a
                # stage carry in ``report.seq`` what was in force when it started.
                # Otherwise the new doubt would hide that an earlier stage was accepted,
                # and proof about this one would let an old bundle be served (BUN-14).
                self._decided_seq = staged.seq - 1
                self._staged, self._staged_at = staged, now
                self._confirmed_at = NEVER
            if staged.seq == self._staged.seq:
                self.confirm(staged.seq, report.confirmed_at)
        if self._staged is not None and self._staged.seq <= self._decided_seq:
            self._staged = None
            self._confirmed_at = NEVER

    def confirm(self, seq: int, at: float) -> None:
        """Record a time at which the staged bundle was not accepted."""
        if self._staged is not None and self._staged.seq == seq:
            self._confirmed_at = max(self._confirmed_at, at)

    def mark_abandoned(self, seq: int) -> None:
        """Record that the staged bundle was abandoned.

        A message about any other stage is ignored: it does not say what was accepted
        before that stage.
        """
        if self._staged is None or self._staged.seq != seq:
            return
        self._decided_seq = max(self._decided_seq, seq)
        self._staged = None
        self._confirmed_at = NEVER
