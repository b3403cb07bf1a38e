"""Records of ownership: the owner's right to give orders, and its terms."""

from enum import Enum
from typing import NamedTuple

from .owner_records import FormerOwner


class OrderRight(Enum):
    """What an owner may do now.

    ``DEGRADED`` means that the lease has expired, or expires too soon, and the store
    has not reported another owner. ``NONE`` means that the VM is not the owner, or
    not yet, because orders of a predecessor may still be running.
    """

    FULL = "full"
    DEGRADED = "degraded"
    NONE = "none"


class Ownership(NamedTuple):
    """A resource that this VM owns, with its fence and when it was taken over.

    ``predecessor`` is the VM that owned it before, empty if none did.
    ``predecessor_stopped`` is False while any earlier owner is not proved to have
    stopped; such a VM may still send an order that it checked before it froze.
    Until ``orders_end_at`` an order of an earlier owner may take effect, even if that
    owner is proved to have stopped after it sent the order.
    """

    resource: str
    fence: int
    taken_at: float
    predecessor: str
    predecessor_stopped: bool
    orders_end_at: float = float("-inf")


class OwnedState(NamedTuple):
    """The state that an owner keeps of a resource.

    Its right is ``OrderRight.NONE`` until ``full_at``. ``unproved`` are the earlier
    owners that were not proved to have stopped when it took the resource over.
    """

    incarnation: str
    fence: int
    taken_at: float
    full_at: float
    predecessor: str
    unproved: tuple[FormerOwner, ...]
    orders_end_at: float
