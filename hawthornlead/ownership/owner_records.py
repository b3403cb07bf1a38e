"""The objects of kind ``owners``: who owns which resource, under which fence.

The value of ``owners/SHARD`` maps each resource to its record::

    {"records": {"target:engine-3": {"vm": "vm-1", "incarnation": "vm-1.5f",
                                     "fence": 7, "wait": false, "unproved": [],
                                     "unsettled": false}}}

``unproved`` names the earlier owners of which no proof has told that they stopped;
``wait`` tells that the owner has to wait out ``ORDER_S`` first. ``unsettled`` tells
that an order of an earlier owner may be under way, also of one that has stopped
since. A released record names no VM and keeps its fence.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..hashes import digest64

KIND = "owners"
# Every VM must compute the same object for a resource: fixed, not a setting.
SHARDS = 16
MAX_UNPROVED = 16


class FormerOwner(NamedTuple):
    """An earlier owner of which it is not proved that it has stopped."""

    vm: str
    incarnation: str


# Stands for those that no longer fit in a record; it is never proved stopped.
UNLISTED_OWNERS = FormerOwner("", "")


class OwnerRecord(NamedTuple):
    """A resource's record in the store."""

    vm: str
    incarnation: str
    fence: int
    wait: bool = False
    unproved: tuple[FormerOwner, ...] = ()
    unsettled: bool = False

    @property
    def free(self) -> bool:
        """Whether nobody owns the resource."""
        return not self.incarnation


def shard_of(resource: str) -> str:
    """Name the object that holds a resource's record."""
    return str(digest64("owners", resource) % SHARDS)


def records_of(value: dict) -> dict[str, OwnerRecord]:
    """Read all records of one object."""
    return {
        resource: OwnerRecord(
            record["vm"],
            record["incarnation"],
            record["fence"],
            record["wait"],
            tuple(FormerOwner(*former) for former in record["unproved"]),
            record["unsettled"],
        )
        for resource, record in value.get("records", {}).items()
    }


def with_records(value: dict | None, changed: dict[str, OwnerRecord]) -> dict:
    """Return the value with some records replaced."""
    value = value or {"records": {}}
    for resource, record in changed.items():
        value["records"][resource] = record._asdict()
    return value


def taken_record(
    old: OwnerRecord | None, vm: str, incarnation: str, stopped: bool
) -> OwnerRecord:
    """Return the record after a takeover; ``stopped``: the old owner's stop is proved.

    The wait is inherited: an owner that was taken over before it waited out the
    orders of its own predecessor leaves that wait to its successor. One that gave
    the resource back after its wait leaves none.
    """
    if old is None:
        return OwnerRecord(vm, incarnation, 1)
    # OWN-9: all earlier owners without proof are handed on, not just the last. Else
    # a degraded owner of an ignoring target is forgotten when its successor stops
    # with proof; the next owner evicts, and breaks requests under its grants.
    unproved = old.unproved
    if not old.free and not stopped:
        unproved += (FormerOwner(old.vm, old.incarnation),)
    if len(unproved) > MAX_UNPROVED:
        unproved = (UNLISTED_OWNERS, *unproved[1 - MAX_UNPROVED :])
    wait = bool(unproved) and (old.wait or unproved != old.unproved)
    # GRA-8: the proof that an owner's process ended tells nothing of an order that
    # it sent before; only one that gave back with no order open leaves none.
    unsettled = not old.free or old.unsettled
    return OwnerRecord(vm, incarnation, old.fence + 1, wait, unproved, unsettled)


def freed_record(old: OwnerRecord, waited: bool, settled: bool) -> OwnerRecord:
    """Return the record after its owner gave the resource back.

    ``waited`` tells whether the owner had waited out its predecessor's orders,
    ``settled`` that no order of its own or an earlier owner can be under way.
    """
    wait = old.wait and not waited
    return OwnerRecord("", "", old.fence, wait, old.unproved, not settled)


def group_by_shard(resources: Iterable[str]) -> dict[str, list[str]]:
    """Sort resources by the object that holds their records."""
    shards: dict[str, list[str]] = {}
    for resource in resources:
        shards.setdefault(shard_of(resource), []).append(resource)
    return shards
