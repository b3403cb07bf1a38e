"""Messages that collect the timeline of events."""

from typing import NamedTuple

from .base import message


class EventRecord(NamedTuple):
    """One numbered event, with its hybrid logical time."""

    wall_ms: int
    logical: int
    vm: str
    number: int
    subject: str
    text: str


@message("collect-events")
class CollectEvents(NamedTuple):
    """Request a VM's newest events; an empty filter matches all."""

    subject: str
    limit: int


@message("collected-events")
class CollectedEvents(NamedTuple):
    """A VM's newest events, oldest first."""

    events: tuple[EventRecord, ...]
