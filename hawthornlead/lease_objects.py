"""The objects of kind ``leases``: reading and changing their values.

The value of ``leases/DC-n`` maps each incarnation to its entry::

    {"entries": {"vm-1.5f": {"vm": "vm-1", "counter": 12, "state": "live", ...}}}

All functions that change a value work on the copy that
``ObjectStore.update`` hands to its ``change``, and return it, or None when there
is nothing to change.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

KIND = "leases"
VMS_PER_SHARD = 64
LIVE = "live"
ENDED = "ended"
# Why an entry was ended. With the last one, nothing proves that the VM stopped.
RELEASED = "released"
GOODBYE = "goodbye"
REFUSED = "refused"
ABSENT = "absent"
SILENT = "silent"
STOP_PROOFS = frozenset((RELEASED, GOODBYE, REFUSED, ABSENT))


class Registration(NamedTuple):
    """One VM start as the store knows it; ``proof`` tells why it was ended."""

    vm: str
    incarnation: str
    data_centre: str
    address: str
    peer_address: str
    counter: int
    state: str
    proof: str = ""

    @property
    def stopped(self) -> bool:
        """Whether it was ended on proof that its process has stopped."""
        return self.state == ENDED and self.proof in STOP_PROOFS


def registrations(value: dict) -> list[Registration]:
    """Read all entries of one object."""
    return [
        Registration(
            entry["vm"],
            incarnation,
            entry["data_centre"],
            entry["address"],
            entry["peer_address"],
            entry["counter"],
            entry["state"],
            entry.get("proof", ""),
        )
        for incarnation, entry in value.get("entries", {}).items()
    ]


def with_registered(
    value: dict | None, new: Registration, pruned: Iterable[str]
) -> dict | None:
    """Enter a VM start, or None when the object is full or has ended it."""
    value = value or {"entries": {}}
    entries = value["entries"]
    _prune(entries, pruned)
    old = entries.get(new.incarnation)
    if old is not None and old["state"] != LIVE:
        return None
    live = sum(1 for entry in entries.values() if entry["state"] == LIVE)
    if old is None and live >= VMS_PER_SHARD:
        return None
    entry = new._asdict()
    del entry["incarnation"]
    entries[new.incarnation] = entry
    return value


def with_renewed(
    value: dict | None, counters: Mapping[str, int], pruned: Iterable[str]
) -> dict | None:
    """Raise the counters of those that are live; an ended one never renews."""
    if value is None:
        return None
    entries = value["entries"]
    renewed = False
    for incarnation, counter in counters.items():
        entry = entries.get(incarnation)
        if entry is None or entry["state"] != LIVE or entry["counter"] >= counter:
            continue
        entry["counter"] = counter
        renewed = True
    if not renewed:
        return None
    _prune(entries, pruned)
    return value


def with_ended(
    value: dict | None, incarnation: str, proof: str, counter: int | None
) -> dict | None:
    """Mark an entry ended, with ``counter`` only if it still stands there."""
    entry = (value or {"entries": {}})["entries"].get(incarnation)
    if entry is None or entry["state"] != LIVE:
        return None
    if counter is not None and entry["counter"] != counter:
        return None
    entry["state"] = ENDED
    entry["proof"] = proof
    return value


def _prune(entries: dict, pruned: Iterable[str]) -> None:
    for incarnation in pruned:
        if entries.get(incarnation, {}).get("state") == ENDED:
            del entries[incarnation]
