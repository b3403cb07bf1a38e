"""Which VMs a roll must hear from, as the store has them at that moment."""

from typing import NamedTuple

from result import Result

from .errors import Failure

LEASE_KIND = "leases"
# Why an entry was ended; of these each proves that the process has stopped. One
# that was ended because its lease ran out may still be serving behind a cut.
STOP_PROOFS = frozenset(("released", "goodbye", "refused", "absent"))


class RegisteredVm(NamedTuple):
    """One VM start that is not known to have stopped."""

    vm: str
    incarnation: str
    data_centre: str


async def list_registered(store) -> Result[tuple[RegisteredVm, ...], Failure]:
    """Read from the store all VM starts that are not known to have stopped."""
    listed = await store.list(LEASE_KIND)
    return listed.map(_registered)


def _registered(listed) -> tuple[RegisteredVm, ...]:
    found = []
    for item in listed.items:
        for incarnation, entry in item.value.get("entries", {}).items():
            if entry["state"] == "ended" and entry.get("proof") in STOP_PROOFS:
                continue
            found.append(RegisteredVm(entry["vm"], incarnation, entry["data_centre"]))
    return tuple(found)
