"""The store object that names the owner of an engine and its fence.

A fence is the object's dated revision at the claim plus one. Within an era the store
counts revisions upwards for all objects together, and a claim is a conditional update
at that revision. So the fences of one engine only rise, even if another writer changed
or removed the object in between, or the store came back from an older copy::

    found = read_owner(record)
    spec = owner_spec(found.claimed("vm-2", "5c1e", record.revision))
"""

from typing import NamedTuple

from .records import StoredRecord

OWNERS_KIND = "hawthornlead-owners"
# The maximum number of former owners in the object, which keeps it small. More would
# require as many VMs that each leave within a second.
MAX_FORMER_OWNERS = 4


class OwnerObject(NamedTuple):
    """Who owns an engine: a VM's incarnation, or nobody while ``vm`` is empty.

    ``former`` are the VMs that may have ordered the engine within ``MIN_HANDOVER_S``
    before the object was written, the newest first.
    """

    vm: str
    incarnation: str
    fence: int
    former: tuple[str, ...] = ()

    def claimed(self, vm: str, incarnation: str, revision: int) -> "OwnerObject":
        """Return the object as claimed by a VM that read it at this revision."""
        former = self.former
        if self.vm and self.vm != vm:
            former = (self.vm, *former)[:MAX_FORMER_OWNERS]
        return OwnerObject(vm, incarnation, revision + 1, former)

    def released(self, settled: bool) -> "OwnerObject":
        """Return the object as its owner releases the engine.

        ``settled`` is set if it owned the engine long enough that the orders of earlier
        owners no longer matter.
        """
        earlier = () if settled else tuple([vm for vm in self.former if vm != self.vm])
        former = (self.vm, *earlier)[:MAX_FORMER_OWNERS]
        return OwnerObject("", "", self.fence, former)


# The content of an engine's object before its first claim.
UNOWNED = OwnerObject("", "", 0)
# Stands for an unreadable object whose engine was proved to be unowned.
UNKNOWN = OwnerObject("", "", -1)


def read_owner(record: StoredRecord) -> OwnerObject | None:
    """Return the owner that an object names, None if it can't be read."""
    spec = record.spec
    if not isinstance(spec, dict):
        return None
    vm, incarnation = spec.get("vm"), spec.get("incarnation")
    fence, former = spec.get("fence"), spec.get("former", [])
    if not isinstance(vm, str) or not isinstance(incarnation, str):
        return None
    if type(fence) is not int or not isinstance(former, list):
        return None
    if not all(isinstance(each, str) for each in former):
        return None
    return OwnerObject(vm, incarnation, fence, tuple(former))


def owner_spec(owner: OwnerObject) -> dict:
    """Return the stored form of an owner."""
    return {**owner._asdict(), "former": list(owner.former)}
