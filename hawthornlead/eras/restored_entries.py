"""Entries of targets that the store shows again as they were before a drill.

A copy of the store may name a target that has left since, call one ready that said it
is draining, or describe a former incarnation, whose end would prove that requests no
longer run. The target itself writes its entry again, and the store removes entries of
targets that are silent. Until one of the two has happened, what a VM knew stays::

    entries = RestoredEntries(now=timers.now)
    entries.on_removed(known)
    entries.should_apply(entry, known=None)
"""

from collections.abc import Callable
from typing import NamedTuple

from ..gateway.records import Incarnation, TargetEntry

# How long a removal is remembered. The copy of a drill is some seconds old.
REMOVED_TTL_S = 60.0
# The store removes an entry after three heartbeats of silence, of 1.2 s each, and may
# be away for a moment more.
SILENT_ENTRY_S = 6.0


class _Removed(NamedTuple):
    """The incarnation of a target that was removed, and when that was seen."""

    incarnation: Incarnation
    at: float


class RestoredEntries:
    """Judges entries from copies by what this VM knew; times are of ``now``."""

    def __init__(self, *, now: Callable[[], float]):
        self._now = now
        self._removed: dict[str, _Removed] = {}
        self._held: dict[str, float] = {}

    def on_removed(self, entry: TargetEntry) -> None:
        """Record that a target was removed, as it was last known."""
        self._held.pop(entry.target, None)
        self._removed[entry.target] = _Removed(entry.incarnation, self._now())

    def on_written(self, target: str) -> None:
        """Record that a target wrote its entry in the current era."""
        self._removed.pop(target, None)
        self._held.pop(target, None)

    def should_apply(self, entry: TargetEntry, known: TargetEntry | None) -> bool:
        """Whether an entry from a copy counts, given the one in force."""
        if known is not None:
            return not _reverts(known, entry)
        removed = self._removed.get(entry.target)
        if removed is None or self._now() - removed.at > REMOVED_TTL_S:
            return True
        if removed.incarnation.precedes(entry.incarnation):
            return True
        self._held.setdefault(entry.target, self._now() + SILENT_ENTRY_S)
        return False

    def pop_due(self) -> tuple[str, ...]:
        """Return targets that were held and whose entries the store still has.

        Its entries of silent targets are gone by now, so these targets live.
        """
        now = self._now()
        due = tuple([target for target, until in self._held.items() if now >= until])
        for target in due:
            self.on_written(target)
        for target, removed in tuple(self._removed.items()):
            if now - removed.at > REMOVED_TTL_S:
                del self._removed[target]
        return due


def _reverts(known: TargetEntry, entry: TargetEntry) -> bool:
    """Whether an entry from a copy takes back what a target has said since."""
    if entry.incarnation.precedes(known.incarnation):
        return True
    same = entry.incarnation.matches(known.incarnation)
    return same and known.draining and not entry.draining
