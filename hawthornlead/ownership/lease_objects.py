"""The store objects of kind ``leases``: registered incarnations, live or ended.

The value of ``leases/DC-n`` maps each incarnation (one start of a VM) to its entry::

    {"entries": {"vm-1.5f": {"vm": "vm-1", "state": "live", ...}}}

They change only when VMs come and go, and every VM watches them. The counters of the
leases are in other objects (``renewal_objects``); an entry is marked ended only after
its lease was removed there. The functions ``with_...`` change the copy of a value that
``ObjectStore.update`` passes to its ``change``, and return it, or None if there is
nothing to change.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..stores.stored_objects import StoreList

KIND = "leases"
LIVE = "live"
ENDED = "ended"
# Why an entry was ended. All but ``SILENT`` prove that the process has stopped.
RELEASED = "released"
GOODBYE = "goodbye"
REFUSED = "refused"
ABSENT = "absent"
SILENT = "silent"
STOP_PROOFS = frozenset((RELEASED, GOODBYE, REFUSED, ABSENT))


class Registration(NamedTuple):
    """One start of a VM as registered in the store.

    ``counter`` is the lease's counter at registration; renewals do not change it.
    ``state`` is ``LIVE`` or ``ENDED``, and ``proof`` tells why it was ended.
    """

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
        """Whether it was ended with proof that its process has stopped."""
        return self.state == ENDED and self.proof in STOP_PROOFS


def next_incarnation(incarnation: str) -> str:
    """Return the next incarnation of the same process after its lease was ended.

    >>> next_incarnation("vm-1.5f"), next_incarnation("vm-1.5f+2")
    ('vm-1.5f+2', 'vm-1.5f+3')
    """
    process, _, number = incarnation.partition("+")
    return f"{process}+{int(number or 1) + 1}"


def process_of(incarnation: str) -> str:
    """Return the first incarnation of a process, by which other VMs connect to it.

    Proof that a process has stopped holds for all its incarnations. The end of one
    of them does not prove that the process has stopped.
    """
    return incarnation.partition("+")[0]


def registrations(value: dict) -> list[Registration]:
    """Decode all entries of one object."""
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


def live_among(listed: StoreList) -> set[str]:
    """Return the live incarnations in a listing of all objects."""
    return {
        registration.incarnation
        for item in listed.items
        for registration in registrations(item.value)
        if registration.state == LIVE
    }


def with_registered(value: dict | None, new: Registration) -> dict | None:
    """Add a registration, or return None if it is there already."""
    value = value or {"entries": {}}
    entries = value["entries"]
    if new.incarnation in entries:
        return None
    entry = new._asdict()
    del entry["incarnation"]
    entries[new.incarnation] = entry
    return value


def with_ended(value: dict | None, incarnation: str, proof: str) -> dict | None:
    """Mark an entry ended; one that ended without proof can get one later."""
    entry = (value or {"entries": {}})["entries"].get(incarnation)
    if entry is None:
        return None
    proved = entry.get("proof") in STOP_PROOFS
    if entry["state"] == ENDED and (proved or proof not in STOP_PROOFS):
        return None
    entry["state"] = ENDED
    entry["proof"] = proof
    return value


def with_pruned(value: dict | None, pruned: Iterable[str]) -> dict | None:
    """Remove those of the given entries that were ended with proof."""
    entries = (value or {"entries": {}})["entries"]
    removed = [
        incarnation
        for incarnation in pruned
        if entries.get(incarnation, {}).get("proof") in STOP_PROOFS
    ]
    for incarnation in removed:
        del entries[incarnation]
    return value if removed else None
