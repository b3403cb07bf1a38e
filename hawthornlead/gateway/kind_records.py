"""What a VM knows of one kind of the store's objects, and up to which revision.

Whoever tells of changes says after which revision these are all, and up to which one.
Only who knows everything up to the first knows everything up to the second::

    known = KindRecords("config", on_changed=take, on_deleted=drop, events=events)
    known.apply_changes(7, 9, (StoreEvent(record, False),))
    known.until
"""

from collections.abc import Callable, Iterable
from typing import Any

from ..events import EventKind, EventRing
from .gateway_metrics import GatewayMetrics
from .records import StoredRecord, StoreEvent

# The revision of a VM that knows nothing yet; the store counts from above 0.
NO_REVISION = -1
_NO_CONTENT = object()
_UNREADABLE = object()


class KindRecords:
    """The newest known state of each object, and how complete that is.

    ``effective_content`` returns the fields of an object whose change matters; changes
    of other fields are not reported.

    Guards against an old answer overtaking a newer one, which would bring back a
    configuration that was replaced: an object at a revision that isn't newer than the
    one known is dropped, and so is all that is older than ``until``.

    What another writer put into the store may be unreadable: ``effective_content`` or
    ``on_changed`` raise ``ValueError``, and ``on_unreadable`` is called instead, once
    until the object can be read again. The other objects hold.
    """

    def __init__(
        self,
        kind: str,
        *,
        events: EventRing,
        on_changed: Callable[[StoredRecord], None],
        on_deleted: Callable[[str], None],
        on_unreadable: Callable[[str], None] = lambda name: None,
        metrics: GatewayMetrics | None = None,
        effective_content: Callable[[StoredRecord], Any] = lambda record: record,
    ):
        self._kind = kind
        self._events = events
        self._on_changed = on_changed
        self._on_deleted = on_deleted
        self._on_unreadable = on_unreadable
        self._metrics = metrics
        self._effective_content = effective_content
        self._records: dict[str, StoredRecord] = {}
        self._effective_contents: dict[str, Any] = {}
        # Of objects that went at a revision after ``until``: an older change that comes
        # by another way must not bring them back.
        self._removed: dict[str, int] = {}
        self._until = NO_REVISION
        self._quiet_since = NO_REVISION

    @property
    def records(self) -> dict[str, StoredRecord]:
        """The objects by name."""
        return self._records

    @property
    def until(self) -> int:
        """The revision of the store up to which no change of note is missing."""
        return self._until

    @property
    def quiet_since(self) -> int:
        """The revision since which, up to ``until``, nothing of note has changed."""
        return self._quiet_since

    def apply_listing(self, until: int, records: Iterable[StoredRecord]) -> None:
        """Take all objects that there are at a revision.

        They are compared one by one where that is at or after ``until``, so that what
        went wrong before is put right.
        """
        names = set()
        newest = until >= self._until
        for record in records:
            names.add(record.name)
            if newest or record.revision > self._until:
                self._put(record)
        self._drop_others(names, until)
        self._reach(until, until)

    def apply_changes(
        self,
        since: int,
        until: int,
        changes: tuple[StoreEvent, ...],
        names: tuple[str, ...] | None = None,
        compared_at: int | None = None,
    ) -> bool:
        """Take all changes after one revision, up to another.

        With ``names``, an object that isn't among them is gone at ``until``. With
        ``compared_at``, an object that was then as it is at ``until`` isn't told, and
        may have been different in between. Return False if what was told doesn't go
        on from what is known here: it is taken, but ``until`` stays.
        """
        changed_at = NO_REVISION
        for event in changes:
            if event.record.revision > self._until:
                # Also if it was taken before, when changes were missing before it.
                changed_at = max(changed_at, event.record.revision)
                self._take(event)
        if since > self._until or until < since:
            return False
        if compared_at is not None and self._until > compared_at:
            return until <= self._until
        if names is not None:
            self._drop_others(set(names), until)
            changed_at = until
        if changed_at != NO_REVISION:
            self._reach(until, min(changed_at, until))
        elif not changes and since < self._quiet_since <= until:
            self._reach(until, since)
        else:
            self._reach(until, self._quiet_since)
        return True

    def effective_content_of(self, record: StoredRecord) -> Any:
        """Return what of an object matters, one value for all that can't be read."""
        try:
            return self._read_effective_content(record)
        except ValueError:
            return _UNREADABLE

    def note_unnamed(self) -> None:
        """Note objects without a name or revision that can be read."""
        self._tell_unusable(self._kind, "no name or revision that can be read")

    def _reach(self, until: int, quiet_since: int) -> None:
        self._quiet_since = quiet_since
        if until <= self._until:
            return
        self._until = until
        if self._removed:
            kept = {name: at for name, at in self._removed.items() if at > until}
            self._removed = kept

    def _take(self, event: StoreEvent) -> None:
        if event.deleted:
            self._drop(event.record.name, event.record.revision)
        else:
            self._put(event.record)

    def _put(self, record: StoredRecord) -> None:
        """Put an object in force, unless it is old or changes nothing of note."""
        known = self._records.get(record.name)
        if known is not None and record.revision <= known.revision:
            return
        if record.revision <= self._removed.get(record.name, NO_REVISION):
            return
        self._records[record.name] = record
        try:
            effective_content = self._read_effective_content(record)
            if effective_content == self._effective_contents.get(
                record.name, _NO_CONTENT
            ):
                return
            self._on_changed(record)
        except ValueError as error:
            self._put_unreadable(record, error)
            return
        self._effective_contents[record.name] = effective_content

    def _read_effective_content(self, record: StoredRecord) -> Any:
        if record.unreadable:
            raise ValueError("it is no object, or has bytes that can't be read")
        return self._effective_content(record)

    def _put_unreadable(self, record: StoredRecord, error: ValueError) -> None:
        """Note an unreadable object.

        A writer may go on writing such objects several times a second: only the first
        of a series is told.
        """
        if self._effective_contents.get(record.name) is _UNREADABLE:
            return
        self._effective_contents[record.name] = _UNREADABLE
        self._tell_unusable(f"{self._kind}/{record.name}", str(error))
        self._on_unreadable(record.name)

    def _tell_unusable(self, subject: str, detail: str) -> None:
        self._events.emit(EventKind.RECORD_UNUSABLE, subject, error=detail)
        if self._metrics is not None:
            self._metrics.unreadable.labels(self._kind).inc()

    def _drop_others(self, names: set[str], revision: int) -> None:
        """Drop what isn't among the names, unless it came after a revision."""
        for name in [name for name in self._records if name not in names]:
            if self._records[name].revision <= revision:
                self._drop(name, revision)

    def _drop(self, name: str, revision: int) -> None:
        known = self._records.get(name)
        if known is not None and revision < known.revision:
            return
        self._removed[name] = max(revision, self._removed.get(name, NO_REVISION))
        if known is None:
            return
        del self._records[name]
        self._effective_contents.pop(name, None)
        self._on_deleted(name)
