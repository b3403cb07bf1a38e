"""The known objects of one kind of the store, and up to which revision they are known.

Each set of changes is complete between two revisions. A VM that lacks nothing up to the
first revision lacks nothing up to the second once it has applied the changes::

    known = KindRecords("config", on_changed=apply, on_deleted=remove, events=events)
    known.apply_changes(7, 9, (StoreEvent(record, False),))
    known.until
"""

import zlib
from collections.abc import Callable, Iterable
from typing import Any

from ..eras.dated_revisions import era_of
from ..events import EventKind, EventRing
from .gateway_metrics import GatewayMetrics
from .records import StoredRecord, StoreEvent

# The revision of a VM that knows nothing yet; the store counts from above 0.
NO_REVISION = -1
# The digest of lost versions where there are none.
NONE_LOST = 0
_NO_CONTENT = object()
_UNREADABLE = object()


class KindRecords:
    """The newest known state of each object, and up to which revision it is complete.

    ``effective_content`` returns the fields of an object whose change matters; changes
    of other fields are not reported.

    Guards against a stale answer that arrives late, which would bring back a replaced
    configuration: an object at a revision that isn't newer than the one known is
    ignored, and so is everything older than ``until``.

    Other writers may store unreadable objects: ``effective_content`` or ``on_changed``
    raise ``ValueError``, and ``on_unreadable`` is called instead, once until the object
    can be read again. The other objects stay in force. If ``on_changed`` returns False,
    it didn't take the object, and is called again with the next one of its name.

    With ``version_of``, the writer of the objects counts their versions up and never
    removes one: an object that a new era shows at a lower version, or lacks, stays as
    it is until it is written again. ``lost_versions`` names these objects, and
    ``keep_versions`` takes them from other VMs.
    """

    def __init__(
        self,
        kind: str,
        *,
        events: EventRing,
        on_changed: Callable[[StoredRecord], bool | None],
        on_deleted: Callable[[str], None],
        on_unreadable: Callable[[str], None] = lambda name: None,
        metrics: GatewayMetrics | None = None,
        effective_content: Callable[[StoredRecord], Any] = lambda record: record,
        version_of: Callable[[StoredRecord], int] | None = None,
    ):
        self._kind = kind
        self._version_of = version_of
        self._events = events
        self._on_changed = on_changed
        self._on_deleted = on_deleted
        self._on_unreadable = on_unreadable
        self._metrics = metrics
        self._effective_content = effective_content
        self._records: dict[str, StoredRecord] = {}
        self._effective_contents: dict[str, Any] = {}
        # Revisions of removals after ``until``: an older change that arrives from
        # another source must not bring these objects back.
        self._removed: dict[str, int] = {}
        self._until = NO_REVISION
        self._quiet_since = NO_REVISION
        self._restored_until = NO_REVISION
        self._lost: set[str] = set()

    @property
    def counts_versions(self) -> bool:
        """Whether the writer of the objects counts their versions up."""
        return self._version_of is not None

    @property
    def lost_versions(self) -> frozenset[str]:
        """The names of objects in force that are newer than in the current era."""
        return frozenset(self._lost)

    @property
    def lost_digest(self) -> int:
        """A digest of the lost versions, equal at VMs that keep the same ones."""
        if not self._lost:
            return NONE_LOST
        lost = [(name, self._records[name].revision) for name in sorted(self._lost)]
        return zlib.crc32(repr(lost).encode())

    @property
    def records(self) -> dict[str, StoredRecord]:
        """The objects by name."""
        return self._records

    @property
    def until(self) -> int:
        """The revision of the store up to which no effective change is missing."""
        return self._until

    @property
    def quiet_since(self) -> int:
        """The revision after which there was no effective change, up to ``until``."""
        return self._quiet_since

    def is_restored(self, revision: int) -> bool:
        """Whether an object may be from the copy with which its era began.

        It may be older than what this VM knew before. What was written after the first
        complete state of the era is newer.
        """
        if self._until == NO_REVISION:
            return False
        if era_of(revision) > era_of(self._until):
            return True
        return revision <= self._restored_until

    def apply_listing(self, until: int, records: Iterable[StoredRecord]) -> None:
        """Apply a complete listing at a revision.

        At or after ``until`` each object is compared, which repairs earlier faults.
        """
        names = set()
        newest = until >= self._until
        for record in records:
            names.add(record.name)
            if newest or record.revision > self._until:
                self._store(record)
        self._remove_others(names, until)
        # A listing older than what is known, as at a start, shows no quiet since then.
        self._advance(until, max(until, self._quiet_since))

    def apply_changes(
        self,
        since: int,
        until: int,
        changes: tuple[StoreEvent, ...],
        names: tuple[str, ...] | None = None,
        compared_at: int | None = None,
    ) -> bool:
        """Apply all changes after one revision, up to another.

        With ``names``, an object that isn't among them is gone at ``until``. With
        ``compared_at``, an object that was the same then as at ``until`` is left out,
        and may have been different in between. Return False if there is a gap between
        the known state and these changes: they are applied, but ``until`` stays.
        """
        changed_at = NO_REVISION
        for event in changes:
            if event.record.revision > self._until:
                # Also if it was applied before, while earlier changes were missing.
                changed_at = max(changed_at, event.record.revision)
                self._apply(event)
        if since > self._until or until < since:
            return False
        if compared_at is not None and self._until > compared_at:
            return until <= self._until
        if names is not None:
            self._remove_others(set(names), until)
            changed_at = until
        if changed_at != NO_REVISION:
            self._advance(until, max(self._quiet_since, min(changed_at, until)))
        elif not changes and since < self._quiet_since <= until:
            self._advance(until, since)
        else:
            self._advance(until, self._quiet_since)
        return True

    def keep_versions(self, records: Iterable[StoredRecord]) -> None:
        """Put versions of former eras in force that are newer than the known ones.

        The store has lost them, so that no listing of the current era shows them.
        """
        for record in records:
            known = self._records.get(record.name)
            if era_of(record.revision) >= era_of(self._until):
                continue
            if self._is_newer_version(record, known):
                self._put(record)

    def effective_content_of(self, record: StoredRecord) -> Any:
        """Return an object's effective content, one value for all unreadable."""
        try:
            return self._read_effective_content(record)
        except ValueError:
            return _UNREADABLE

    def apply_again(self, name: str) -> None:
        """Pass on an object again that ``on_changed`` didn't take."""
        record = self._records.pop(name, None)
        self._lost.discard(name)
        if record is not None:
            self._store(record)

    def report_unnamed(self) -> None:
        """Report objects without a readable name or revision."""
        self._report_unusable(self._kind, "no name or revision that can be read")

    def _advance(self, until: int, quiet_since: int) -> None:
        self._quiet_since = quiet_since
        if until <= self._until:
            return
        new_era = era_of(until) > era_of(self._until)
        if self._until != NO_REVISION and new_era:
            self._restored_until = until
        self._until = until
        if new_era:
            for record in self._records.values():
                self._mark_lost(record)
        if self._removed:
            kept = {name: at for name, at in self._removed.items() if at > until}
            self._removed = kept

    def _apply(self, event: StoreEvent) -> None:
        if event.deleted:
            self._remove(event.record.name, event.record.revision)
        else:
            self._store(event.record)

    def _store(self, record: StoredRecord) -> None:
        """Put an object in force, unless it is old or has no effective change."""
        known = self._records.get(record.name)
        if known is not None and record.revision <= known.revision:
            return
        if record.revision <= self._removed.get(record.name, NO_REVISION):
            return
        if known is not None and self._takes_back(known, record):
            return
        self._put(record)

    def _put(self, record: StoredRecord) -> None:
        self._records[record.name] = record
        self._mark_lost(record)
        try:
            effective_content = self._read_effective_content(record)
            if effective_content == self._effective_contents.get(
                record.name, _NO_CONTENT
            ):
                return
            if self._on_changed(record) is False:
                self._effective_contents.pop(record.name, None)
                return
        except ValueError as error:
            self._mark_unreadable(record, error)
            return
        self._effective_contents[record.name] = effective_content

    def _mark_lost(self, record: StoredRecord) -> None:
        """Note whether the store has lost an object that is in force."""
        former = era_of(record.revision) < era_of(self._until)
        if former and self.counts_versions:
            self._lost.add(record.name)
        else:
            self._lost.discard(record.name)

    def _is_newer_version(
        self, record: StoredRecord, known: StoredRecord | None
    ) -> bool:
        if self._version_of is None:
            return False
        try:
            version = self._version_of(record)
            return known is None or version > self._version_of(known)
        except ValueError:
            return False

    def _takes_back(self, known: StoredRecord, record: StoredRecord) -> bool:
        """Whether an object of a new era has a lower version than the known one."""
        if self._version_of is None or not _is_of_later_era(record.revision, known):
            return False
        try:
            return self._version_of(record) < self._version_of(known)
        except ValueError:
            return False

    def _read_effective_content(self, record: StoredRecord) -> Any:
        if record.unreadable:
            raise ValueError("it is no object, or has bytes that can't be read")
        return self._effective_content(record)

    def _mark_unreadable(self, record: StoredRecord, error: ValueError) -> None:
        """Record an unreadable object.

        A writer may write such objects several times a second: only the first of a
        series is reported.
        """
        if self._effective_contents.get(record.name) is _UNREADABLE:
            return
        self._effective_contents[record.name] = _UNREADABLE
        self._report_unusable(f"{self._kind}/{record.name}", str(error))
        self._on_unreadable(record.name)

    def _report_unusable(self, subject: str, detail: str) -> None:
        self._events.emit(EventKind.RECORD_UNUSABLE, subject, error=detail)
        if self._metrics is not None:
            self._metrics.unreadable.labels(self._kind).inc()

    def _remove_others(self, names: set[str], revision: int) -> None:
        """Remove objects not among the names, unless they came after a revision."""
        for name in [name for name in self._records if name not in names]:
            if self._records[name].revision <= revision:
                self._remove(name, revision)

    def _remove(self, name: str, revision: int) -> None:
        known = self._records.get(name)
        if known is not None and revision < known.revision:
            return
        counted = known is not None and self._version_of is not None
        if counted and _is_of_later_era(revision, known):
            return
        self._removed[name] = max(revision, self._removed.get(name, NO_REVISION))
        if known is None:
            return
        del self._records[name]
        self._lost.discard(name)
        self._effective_contents.pop(name, None)
        self._on_deleted(name)


def _is_of_later_era(revision: int, known: StoredRecord) -> bool:
    return era_of(revision) > era_of(known.revision)
