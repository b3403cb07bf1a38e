"""The revisions of removals whose events bear the removed object's last one.

The store may say which object is gone by the object as it was. When it went is then
known from the watch alone: after what came before, until the watch's end.
"""

from collections.abc import Iterable, Mapping

from ..gateway.records import StoredRecord, StoreEvent


def dated_removals(
    events: Iterable[StoreEvent],
    since: int,
    until: int,
    known: Mapping[str, StoredRecord],
) -> tuple[StoreEvent, ...]:
    """Return the changes after ``since``, up to ``until``, with removals dated.

    ``known`` are the objects as this VM knows them, by name.

    A removal that bears its object's last revision is dated as late as it can have
    been: before the object came again, or at ``until``. With an earlier date, a VM that
    has heard of a later revision from another relay would skip it.
    """
    events = tuple(events)
    dated = []
    came_again: dict[str, int] = {}
    for place in range(len(events) - 1, -1, -1):
        event = events[place]
        name = event.record.name
        if event.deleted and _bears_last(event, events[:place], since, known):
            revision = came_again.get(name, until + 1) - 1
            event = event._replace(record=event.record._replace(revision=revision))
        came_again[name] = event.record.revision
        dated.append(event)
    return tuple(reversed(dated))


def _bears_last(
    event: StoreEvent,
    before: tuple[StoreEvent, ...],
    since: int,
    known: Mapping[str, StoredRecord],
) -> bool:
    """Whether a removal bears a revision that its object had while it was there."""
    revision = event.record.revision
    if revision <= since:
        return True
    record = known.get(event.record.name)
    if record is not None and record.revision == revision:
        return True
    return any(
        earlier.record.name == event.record.name
        and earlier.record.revision == revision
        and not earlier.deleted
        for earlier in before
    )
