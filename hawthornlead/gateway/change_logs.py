"""The changes of one kind that a relay forwards, in batches without gaps.

A decision on what one relay saw, testable without a network::

    log = ChangeLog(known)
    batch = log.watched(since=7, until=9, events=changes.events)
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ..eras.dated_revisions import era_of
from .kind_records import KindRecords
from .records import StoredRecord, StoreEvent

_NOT_SEEN = object()
# Before all revisions of the store: who knows anything lacks nothing before it.
_FIRST_REVISION = 0
# A whole listing must fit into one message; targets' entries have some 350 bytes.
MAX_WHOLE_LISTING = 1000


class ChangeBatch(NamedTuple):
    """All effective changes after ``since``, up to ``until``.

    ``names`` are those of all objects at ``until``, None if ``events`` has each
    removal. Objects that are the same at ``until`` as at the revision ``compared_at``
    are left out, None if ``events`` has each change.
    """

    since: int
    until: int
    events: tuple[StoreEvent, ...]
    names: tuple[str, ...] | None = None
    compared_at: int | None = None


class ChangeLog:
    """What a relay's own calls have shown of one kind since it became a relay.

    Changes received from another relay are ignored: a VM that missed one of those would
    miss it for good. No effective change came after ``since``, up to ``until``.
    """

    def __init__(self, known: KindRecords):
        self._known = known
        self._since = known.quiet_since
        self._until = known.until
        self._seen: dict[str, Any] = {}
        # Other VMs may know what the current era shows in place of a lost version, and
        # have to be told when that is written again.
        lost = known.lost_versions
        for name, record in known.records.items():
            if record.revision <= self._until and name not in lost:
                self._seen[name] = known.effective_content_of(record)

    @property
    def since(self) -> int:
        """The revision of the last effective change."""
        return self._since

    @property
    def until(self) -> int:
        """The revision up to which this relay has forwarded all changes."""
        return self._until

    def restart(self) -> None:
        """Start over: VMs that lack changes up to here must fetch them elsewhere."""
        self._since = self._until

    def watched(
        self, since: int, until: int, events: Iterable[StoreEvent]
    ) -> ChangeBatch | None:
        """Add the result of a watch; return None if there is nothing to forward."""
        if since != self._until or until < since:
            # That watch started before this log did.
            return None
        changes = []
        for event in events:
            if self._is_effective(event):
                changes.append(event)
        batch = ChangeBatch(self._since, until, tuple(changes))
        self._until = until
        if not changes:
            return None
        self._since = max(event.record.revision for event in changes)
        return batch

    def listed(self, until: int, records: Iterable[StoredRecord]) -> ChangeBatch | None:
        """Add a listing, which shows each object but not the changes leading to it."""
        if until < self._until:
            return None
        records = tuple(records)
        new_era = era_of(until) > era_of(self._until)
        if new_era and len(records) <= MAX_WHOLE_LISTING:
            return self._listed_anew(until, records)
        names = set()
        changes = []
        for record in records:
            names.add(record.name)
            event = StoreEvent(record, False)
            if record.revision > self._until and self._is_effective(event):
                changes.append(event)
        for name in set(self._seen) - names:
            del self._seen[name]
        batch = ChangeBatch(
            self._since, until, tuple(changes), tuple(sorted(names)), self._until
        )
        self._since = self._until = until
        return batch

    def _listed_anew(
        self, until: int, records: tuple[StoredRecord, ...]
    ) -> ChangeBatch:
        """Forward a whole listing, the first of a new era.

        Other VMs may know changes of the former era that this one doesn't, and that
        the store has lost. Each of them would have to fetch what is left out here.
        """
        self._seen = {
            record.name: self._known.effective_content_of(record) for record in records
        }
        self._since = self._until = until
        events = tuple([StoreEvent(record, False) for record in records])
        return ChangeBatch(_FIRST_REVISION, until, events, tuple(sorted(self._seen)))

    def _is_effective(self, event: StoreEvent) -> bool:
        name = event.record.name
        if event.deleted:
            return self._seen.pop(name, _NOT_SEEN) is not _NOT_SEEN
        content = self._known.effective_content_of(event.record)
        if content == self._seen.get(name, _NOT_SEEN):
            return False
        self._seen[name] = content
        return True
