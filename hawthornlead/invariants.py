"""Invariants that are checked at run time, counted, and fatal in tests.

A broken invariant never stops a serving process: it is counted in a metric and
emitted as event 103. Tests set ``FATAL`` so that it raises. Checks are counted too, so
that a test run can report which invariants it never checked::

    invariants.check("grant-covers-attempt", now < grant.ends_at, grant.grant_id)
"""

from collections import Counter

from .events import EventKind, EventRing
from .metrics import Metrics

FATAL = False


class InvariantBroken(AssertionError):
    """Raised in tests when an invariant does not hold."""


class Invariants:
    """The invariants of one process, by name."""

    def __init__(self, events: EventRing, metrics: Metrics | None = None):
        self._events = events
        self._metrics = metrics
        self._checked: Counter[str] = Counter()
        self._broken: Counter[str] = Counter()

    @property
    def checked(self) -> dict[str, int]:
        """How often each invariant was checked."""
        return dict(self._checked)

    @property
    def broken(self) -> dict[str, int]:
        """How often each invariant did not hold."""
        return dict(self._broken)

    def check(self, name: str, holds: bool, detail: str = "") -> bool:
        """Count a check of the invariant ``name`` and report it if broken."""
        self._checked[name] += 1
        if holds:
            return True
        self._broken[name] += 1
        if self._metrics is not None:
            self._metrics.invariants_broken.labels(name).inc()
        self._events.emit(EventKind.INVARIANT_BROKEN, name, detail=detail)
        if FATAL:
            raise InvariantBroken(f"{name}: {detail}")
        return False
