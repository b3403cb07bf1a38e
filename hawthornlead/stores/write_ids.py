"""Write ids, by which a writer whose reply was lost recognizes its own write.

Every value that ``ObjectStore.update`` writes carries the id of its write, its
number in the object's history, and the ids of earlier writes. Such objects must not
be deleted and created again, which would restart the numbers.
"""

from enum import Enum
from typing import NamedTuple

from ..errors import Failure
from .stored_objects import StoredObject

# A writer whose reply was lost finds its id unless this many writes came between.
MAX_WRITE_IDS = 16


class UncertainWrite(NamedTuple):
    """A write whose reply was lost; ``version`` is the version it required."""

    failure: Failure
    write_id: str
    version: int | None
    number: int


class Fate(Enum):
    """What a later read of the object shows about an uncertain write."""

    TOOK_EFFECT = "took effect"
    OPEN = "has not taken effect yet"
    FAILED = "can never take effect"
    UNKNOWN = "too many writes came between"


def stamp(value: dict, current: StoredObject | None, write_id: str) -> dict:
    """Return ``value`` with the id of its write and those of the writes before."""
    old = current.value if current is not None else {}
    earlier = [old["write_id"]] if "write_id" in old else []
    earlier += old.get("earlier_writes", [])
    return {
        **value,
        "write_id": write_id,
        "write_number": old.get("write_number", 0) + 1,
        "earlier_writes": earlier[: MAX_WRITE_IDS - 1],
    }


def fate_of(uncertain: UncertainWrite, current: StoredObject | None) -> Fate:
    """Determine from the current object whether an uncertain write took effect."""
    if (current and current.version) == uncertain.version:
        return Fate.OPEN
    if current is None:
        return Fate.UNKNOWN
    remembered = [current.value.get("write_id")]
    remembered += current.value.get("earlier_writes", [])
    if uncertain.write_id in remembered:
        return Fate.TOOK_EFFECT
    newest = current.value.get("write_number", 0)
    if newest - len(remembered) < uncertain.number <= newest:
        return Fate.FAILED
    return Fate.UNKNOWN
