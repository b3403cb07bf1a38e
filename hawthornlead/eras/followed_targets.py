"""Entries of targets on their way from the store to the table of targets.

::

    followed = FollowedTargets(entries=targets.entries, apply=targets.apply_entry,
                               remove=targets.remove_entry, read=read_target,
                               now=timers.now)
    followed.watcher = watcher
"""

from collections.abc import Callable, Mapping
from typing import Protocol

from ..gateway.records import StoredRecord, TargetEntry
from .restored_entries import RestoredEntries


class EntryWatcher(Protocol):
    """What is asked of the watcher of targets' entries."""

    def is_restored(self, revision: int) -> bool:
        """Whether an object may be from a copy of the store."""

    def apply_again(self, name: str) -> None:
        """Pass on an object again that wasn't taken before."""


class FollowedTargets:
    """Passes entries on, but those from a copy that take back what is known."""

    def __init__(
        self,
        *,
        entries: Mapping[str, TargetEntry],
        apply: Callable[[StoredRecord], None],
        remove: Callable[[str], None],
        read: Callable[[StoredRecord], TargetEntry],
        now: Callable[[], float],
    ):
        self._entries = entries
        self._apply = apply
        self._remove = remove
        self._read = read
        self._restored = RestoredEntries(now=now)
        self.watcher: EntryWatcher | None = None

    def apply_entry(self, record: StoredRecord) -> bool:
        """Apply an entry; return False if it must be passed on again once written."""
        if self.watcher is not None and self.watcher.is_restored(record.revision):
            entry = self._read(record)
            if not self._restored.should_apply(entry, self._entries.get(record.name)):
                return False
        else:
            self._restored.on_written(record.name)
        self._apply(record)
        return True

    def remove_entry(self, target: str) -> None:
        """Remove a target whose entry was removed."""
        known = self._entries.get(target)
        if known is not None:
            self._restored.on_removed(known)
        self._remove(target)

    def sweep(self) -> None:
        """Apply entries that were held and have proved to be of live targets."""
        for target in self._restored.pop_due():
            self.watcher.apply_again(target)
