"""Messages that renew leases through an aggregator."""

from typing import NamedTuple

from .base import message


@message("renew-lease")
class RenewLease(NamedTuple):
    """Request that the data centre's aggregator renews the sender's lease."""

    vm: str
    incarnation: str
    counter: int


@message("lease-renewed")
class LeaseRenewed(NamedTuple):
    """The renewal with this counter has been written to the store."""

    counter: int
