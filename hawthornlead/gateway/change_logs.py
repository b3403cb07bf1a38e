"""The changes of one kind that a relay passes on, each from where the last one ended.

A decision on what one relay saw, testable without a network::

    chain = ChangeLog(known)
    link = chain.watched(since=7, until=9, events=changes.events)
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from .kind_records import KindRecords
from .records import StoredRecord, StoreEvent

_NOT_SEEN = object()


class ChangeBatch(NamedTuple):
    """All changes of note after ``since``, up to ``until``.

    ``names`` are those of all objects at ``until``, None where each removal is told.
    Objects that were at the revision ``compared_at`` as they are at ``until`` are left
    out, None where each change is told.
    """

    since: int
    until: int
    events: tuple[StoreEvent, ...]
    names: tuple[str, ...] | None = None
    compared_at: int | None = None


class ChangeLog:
    """What a relay's own calls have shown of one kind since it began.

    It takes no notice of what another relay told: a VM that has missed that would miss
    the change for good. Nothing of note has changed after ``since``, up to ``until``.
    """

    def __init__(self, known: KindRecords):
        self._known = known
        self._since = known.quiet_since
        self._until = known.until
        self._seen: dict[str, Any] = {}
        for name, record in known.records.items():
            if record.revision <= self._until:
                self._seen[name] = known.effective_content_of(record)

    @property
    def since(self) -> int:
        """The revision of the last change of note."""
        return self._since

    @property
    def until(self) -> int:
        """The revision up to which this relay has passed everything on."""
        return self._until

    def restart(self) -> None:
        """Begin anew: whoever doesn't know all up to here has to ask elsewhere."""
        self._since = self._until

    def watched(
        self, since: int, until: int, events: Iterable[StoreEvent]
    ) -> ChangeBatch | None:
        """Go on by what a watch told; None if there is nothing to pass on."""
        if since != self._until or until < since:
            # That watch began before this chain did.
            return None
        news = []
        for event in events:
            if self._is_news(event):
                news.append(event)
        link = ChangeBatch(self._since, until, tuple(news))
        self._until = until
        if not news:
            return None
        self._since = max(event.record.revision for event in news)
        return link

    def listed(self, until: int, records: Iterable[StoredRecord]) -> ChangeBatch | None:
        """Go on by a listing, which shows each object but not how it came there."""
        if until < self._until:
            return None
        names = set()
        news = []
        for record in records:
            names.add(record.name)
            event = StoreEvent(record, False)
            if record.revision > self._until and self._is_news(event):
                news.append(event)
        for name in set(self._seen) - names:
            del self._seen[name]
        link = ChangeBatch(
            self._since, until, tuple(news), tuple(sorted(names)), self._until
        )
        self._since = self._until = until
        return link

    def _is_news(self, event: StoreEvent) -> bool:
        name = event.record.name
        if event.deleted:
            return self._seen.pop(name, _NOT_SEEN) is not _NOT_SEEN
        effective_content = self._known.effective_content_of(event.record)
        if effective_content == self._seen.get(name, _NOT_SEEN):
            return False
        self._seen[name] = effective_content
        return True
