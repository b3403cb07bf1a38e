"""The store objects of kind ``owners``: each resource's owner and fence.

The value of ``owners/SHARD`` maps each resource to its record::

    {"records": {"target:engine-3": {"vm": "vm-1", "incarnation": "vm-1.5f",
                                     "fence": 7, "wait": false, "unproved": [],
                                     "unsettled": false}}}

``unproved`` names the earlier owners that are not proved to have stopped. With
``wait`` the owner must wait ``ORDER_S`` before its first order. ``unsettled`` means
that an order of an earlier owner may be under way, even if that owner has stopped
since. A released record names no VM and keeps its fence.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..hashes import digest64

KIND = "owners"
# This is no setting, because all VMs must compute the same object for a resource.
SHARDS = 16
# A record lists at most this many earlier owners, so that its size is bounded.
MAX_UNPROVED = 16


class FormerOwner(NamedTuple):
    """An earlier owner that is not proved to have stopped."""

    vm: str
    incarnation: str


# Stands for the earlier owners that a full record drops; it is never proved stopped.
UNLISTED_OWNERS = FormerOwner("", "")


class OwnerRecord(NamedTuple):
    """A resource's record in the store; the fields are described in the module."""

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
    """Return the name of the object that holds a resource's record."""
    return str(digest64("owners", resource) % SHARDS)


def records_of(value: dict) -> dict[str, OwnerRecord]:
    """Decode all records of one object."""
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
    """Return the record after a takeover; ``stopped`` if the old owner is proved so.

    The wait is inherited: an owner that is replaced before it has waited for the
    orders of its own predecessor leaves that wait to its successor. An owner that
    releases the resource after its wait leaves none.
    """
    if old is None:
        return OwnerRecord(vm, incarnation, 1)
    # OWN-9: the record keeps all earlier owners without proof, not just the last. A
    # target may ignore the fence and still serve a degraded owner. If that owner were
    # dropped when its successor stops with proof, the next owner would evict and so
    # break requests under the degraded owner's grants.
    unproved = old.unproved
    if not old.free and not stopped:
        unproved += (FormerOwner(old.vm, old.incarnation),)
    if len(unproved) > MAX_UNPROVED:
        unproved = (UNLISTED_OWNERS, *unproved[1 - MAX_UNPROVED :])
    wait = bool(unproved) and (old.wait or unproved != old.unproved)
    # GRA-8: proof that an owner's process has stopped does not cover an order that it
    # sent before. Only an owner that released with no open order leaves none.
    unsettled = not old.free or old.unsettled
    return OwnerRecord(vm, incarnation, old.fence + 1, wait, unproved, unsettled)


def freed_record(old: OwnerRecord, waited: bool, settled: bool) -> OwnerRecord:
    """Return the record after its owner released the resource.

    ``waited`` tells whether the owner had waited for its predecessor's orders to end,
    ``settled`` that no order of its own or of an earlier owner can be under way.
    """
    wait = old.wait and not waited
    return OwnerRecord("", "", old.fence, wait, old.unproved, not settled)


def group_by_shard(resources: Iterable[str]) -> dict[str, list[str]]:
    """Group resources by the object that holds their records."""
    shards: dict[str, list[str]] = {}
    for resource in resources:
        shards.setdefault(shard_of(resource), []).append(resource)
    return shards
