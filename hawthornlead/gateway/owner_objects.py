"""The object of the store that says who owns an engine, and under which fence.

A fence is one more than the revision at which its claim met the object. The store
counts revisions up for all objects together and a claim is a conditional update at
that revision, so that fences of one engine only rise, whatever another writer made of
the object, and also where it was removed meanwhile::

    found = read_owner(record)
    spec = owner_spec(found.claimed("vm-2", "5c1e", record.revision))
"""

from typing import NamedTuple

from .records import StoredRecord

OWNERS_KIND = "hawthornlead-owners"
# So many former owners are remembered, so that the object stays small: more would take
# as many VMs that each leave within a second.
MAX_FORMER_OWNERS = 4


class OwnerObject(NamedTuple):
    """Who owns an engine: a VM's incarnation, or nobody while ``vm`` is empty.

    ``former`` are the VMs that may have ordered the engine within ``TURN_S`` before
    the object was written, the newest first.
    """

    vm: str
    incarnation: str
    fence: int
    former: tuple[str, ...] = ()

    def claimed(self, vm: str, incarnation: str, revision: int) -> "OwnerObject":
        """Return the object as a VM claims it that met it at this revision."""
        former = self.former
        if self.vm and self.vm != vm:
            former = (self.vm, *former)[:MAX_FORMER_OWNERS]
        return OwnerObject(vm, incarnation, revision + 1, former)

    def released(self, settled: bool) -> "OwnerObject":
        """Return the object as its owner gives the engine back.

        ``settled`` tells that it has owned the engine for so long that the orders of
        owners before it are of no account.
        """
        earlier = () if settled else tuple([vm for vm in self.former if vm != self.vm])
        former = (self.vm, *earlier)[:MAX_FORMER_OWNERS]
        return OwnerObject("", "", self.fence, former)


# What an engine's object holds before its first claim.
UNOWNED = OwnerObject("", "", 0)
# What stands for an object that can't be read, once its engine was proved unowned.
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
    """Return what the store keeps of an owner."""
    return {**owner._asdict(), "former": list(owner.former)}
