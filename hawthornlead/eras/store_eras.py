"""Which era of the store this VM has seen, by answers of the store or of other VMs.

::

    eras = StoreEras(now=timers.now, events=events)
    eras.observe(4)
    eras.current
"""

from collections.abc import Callable

from ..events import EventKind, EventRing
from .dated_revisions import era_of

# Dates the revisions of a store that names no era and never goes back.
UNNAMED_ERA = 0
NEVER = float("-inf")


class StoreEras:
    """The newest era that this VM has seen; times are of ``now``, in seconds."""

    def __init__(self, *, now: Callable[[], float], events: EventRing | None = None):
        self._now = now
        self._events = events
        self._current = UNNAMED_ERA
        self._named = False
        self._seen_at = NEVER
        self._changed_at = NEVER
        self._subscribers: list[Callable[[], None]] = []

    @property
    def current(self) -> int:
        """The newest era seen, ``UNNAMED_ERA`` if the store has named none."""
        return self._current

    @property
    def named(self) -> bool:
        """Whether the store names eras, whose count may begin at 0."""
        return self._named

    @property
    def seen_at(self) -> float:
        """When this VM first saw the current era, ``NEVER`` if it has seen none."""
        return self._seen_at

    @property
    def changed_at(self) -> float:
        """When this VM saw an era follow another, ``NEVER`` if it hasn't."""
        return self._changed_at

    def subscribe(self, on_changed: Callable[[], None]) -> None:
        """Call ``on_changed`` when a new era follows another."""
        self._subscribers.append(on_changed)

    def is_current(self, revision: int) -> bool:
        """Whether a dated revision is of the current era."""
        return era_of(revision) == self._current

    def observe_revision(self, revision: int) -> None:
        """Record the era of a dated revision that another VM knows."""
        if era_of(revision) > self._current:
            self.observe(era_of(revision))

    def observe(self, era: int | None) -> None:
        """Record the era of an answer or a message, None if it names none."""
        if era is None or era < self._current:
            return
        if self._named and era == self._current:
            return
        follows, former = self._named, self._current
        self._current, self._named = era, True
        self._seen_at = self._now()
        if self._events is not None:
            self._events.emit(EventKind.STORE_ERA, "store", era=era, former=former)
        if not follows:
            return
        self._changed_at = self._seen_at
        for on_changed in self._subscribers:
            on_changed()
