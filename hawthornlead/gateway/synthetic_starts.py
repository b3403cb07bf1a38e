"""Synthetic starts of incarnations, for targets whose entries state no start."""

from .records import Incarnation, TargetEntry


def shows_restart(known: TargetEntry, entry: TargetEntry) -> bool:
    """Whether an entry without a start differs as only that of a later start can."""
    if known.address != entry.address:
        return True
    return bool(known.software) and known.software != entry.software


def next_start(current: Incarnation) -> int:
    """Return a synthetic start after the current one, for targets that report none."""
    return (current.started_ms or 0) + 1
