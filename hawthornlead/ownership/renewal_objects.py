"""The store objects of kind ``renewals-DC``: the counters of the leases.

They change with every renewal and every VM of the data centre watches them, so they
hold nothing but the counters. The VMs' registrations are in kind ``leases``::

    {"counters": {"vm-1.5f": 12, "vm-2.77": 3}}

A lease that is missing here does not exist: it was ended, or not yet entered. An
incarnation enters its lease before it registers, and never again afterwards.
"""

from collections.abc import Mapping
from typing import NamedTuple

from ..stores.stores import StoredObject

VMS_PER_SHARD = 64


def renewal_kind(data_centre: str) -> str:
    """Return the kind of the objects with a data centre's counters."""
    return f"renewals-{data_centre}"


def counters_of(stored: StoredObject) -> dict[str, int]:
    """Return the counters in one object."""
    return stored.value.get("counters", {})


def with_entered(value: dict | None, incarnation: str, counter: int) -> dict | None:
    """Enter a lease, or return None if the object is full."""
    value = value or {"counters": {}}
    counters = value["counters"]
    if incarnation not in counters and len(counters) >= VMS_PER_SHARD:
        return None
    counters[incarnation] = counter
    return value


def with_renewed(value: dict | None, renewed: Mapping[str, int]) -> dict | None:
    """Raise the counters of leases that exist; an ended lease is not renewed."""
    counters = (value or {}).get("counters", {})
    higher = {
        incarnation: counter
        for incarnation, counter in renewed.items()
        if incarnation in counters and counters[incarnation] < counter
    }
    counters.update(higher)
    return value if higher else None


def with_removed(
    value: dict | None, incarnation: str, counter: int | None
) -> dict | None:
    """Remove a lease; with a ``counter``, only if the lease still has it."""
    counters = (value or {}).get("counters", {})
    if incarnation not in counters:
        return None
    if counter is not None and counters[incarnation] != counter:
        return None
    del counters[incarnation]
    return value


class SeenCounter(NamedTuple):
    """A lease's counter, the object that holds it, and since when it is unchanged.

    ``since`` is when this VM first saw the counter, by its own clock. This is never
    earlier than when the renewal was sent.
    """

    counter: int
    shard: str
    since: float


class CounterTable:
    """The newest counters that this VM has seen, of one or more data centres."""

    def __init__(self, timers):
        self._timers = timers
        self._seen: dict[str, SeenCounter] = {}
        self._versions: dict[str, int] = {}

    def seen(self, incarnation: str) -> SeenCounter | None:
        """Return the counter of a lease, None if none is known."""
        return self._seen.get(incarnation)

    def all(self) -> dict[str, SeenCounter]:
        """Return all known leases by incarnation."""
        return dict(self._seen)

    def version(self, shard: str) -> int:
        """Return the version of an object that was applied last, 0 if none was."""
        return self._versions.get(shard, 0)

    def apply(self, stored: StoredObject) -> None:
        """Apply an object that was read or written, unless a newer one is known.

        The watch's events and the answers to own writes arrive in any order.
        """
        if stored.version <= self.version(stored.name):
            return
        self._versions[stored.name] = stored.version
        now = self._timers.now()
        counters = counters_of(stored)
        for incarnation, seen in list(self._seen.items()):
            if seen.shard == stored.name and incarnation not in counters:
                del self._seen[incarnation]
        for incarnation, counter in counters.items():
            old = self._seen.get(incarnation)
            since = old.since if old is not None and old.counter == counter else now
            self._seen[incarnation] = SeenCounter(counter, stored.name, since)
