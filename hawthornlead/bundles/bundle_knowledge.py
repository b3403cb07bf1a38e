"""What one VM knows of the bundles that were accepted, staged and abandoned.

All that a VM is told (by the store, by the VM that rolls, by any other VM, late or
twice or in any order) is merged in here, and merging never goes back: a sequence
number that is known to be accepted or decided stays so.
"""

from typing import NamedTuple

from ..messages import BundlePointer
from .bundle_pointers import Pointer, Stage

NEVER = float("-inf")


class BundleReport(NamedTuple):
    """What one source tells.

    ``confirmed_at`` is a moment, by this VM's clock, at which the staged bundle
    was not accepted yet.
    """

    seq: int
    digest: str
    decided_seq: int
    staged: Stage | None
    confirmed_at: float = NEVER


def report_from_pointer(pointer: Pointer, read_at: float) -> BundleReport:
    """Return what a read of the store tells that was begun at ``read_at``."""
    return BundleReport(
        pointer.seq, pointer.digest, pointer.decided_seq, pointer.staged, read_at
    )


def report_from_peer(reply: BundlePointer, requested_at: float) -> BundleReport:
    """Return what a VM tells that was asked at ``requested_at``.

    Guards against old answers that waited in a socket and prolong the service of a
    replaced bundle (BUN-4). The age counts from its reply, which is later than the
    asking, so that what is reckoned here is never too late.
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
        """When this VM heard first of the staged bundle."""
        return self._staged_at

    @property
    def confirmed_at(self) -> float:
        """The last moment at which the staged bundle was surely not accepted."""
        return self._confirmed_at

    def merge(self, report: BundleReport, now: float) -> None:
        """Take in what a source tells."""
        # Guards against late words that bring back an older bundle (BUN-3): seen
        # from outside, a version that was replaced answers again. Numbers only grow.
        if report.seq > self._seq:
            self._seq, self._digest = report.seq, report.digest
        self._decided_seq = max(self._decided_seq, report.decided_seq, report.seq)
        staged = report.staged
        if staged is not None and staged.seq > self._decided_seq:
            if self._staged is None or staged.seq > self._staged.seq:
                # A stage begins only when all before it are decided. Whoever tells
                # of it tells, in ``report.seq``, what was in force when it began: else
                # the new doubt would hide that an earlier stage was accepted, and
                # proof on this one would make an old bundle served (BUN-14).
                self._decided_seq = staged.seq - 1
                self._staged, self._staged_at = staged, now
                self._confirmed_at = NEVER
            if staged.seq == self._staged.seq:
                self.confirm(staged.seq, report.confirmed_at)
        if self._staged is not None and self._staged.seq <= self._decided_seq:
            self._staged = None
            self._confirmed_at = NEVER

    def confirm(self, seq: int, at: float) -> None:
        """Note that the staged bundle was not accepted at a moment."""
        if self._staged is not None and self._staged.seq == seq:
            self._confirmed_at = max(self._confirmed_at, at)

    def mark_abandoned(self, seq: int) -> None:
        """Take in that the staged bundle was abandoned.

        Of another stage than the one known here the word says nothing about what
        was accepted before it, so that it is not taken.
        """
        if self._staged is None or self._staged.seq != seq:
            return
        self._decided_seq = max(self._decided_seq, seq)
        self._staged = None
        self._confirmed_at = NEVER
