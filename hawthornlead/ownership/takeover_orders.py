"""The order in which VMs take over free resources, without a coordinator.

Every VM computes the same order from what all VMs know, such that resources are
spread evenly, and waits longer the later its rank. If the views of two VMs differ for a
moment, both try, and the conditional update in the store lets one succeed.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..hashes import rendezvous

# A VM waits this long for each VM that ranks before it.
RANK_DELAY_S = 0.4
# Later ranks wait no longer than this one.
MAX_RANK = 6


class FreeResource(NamedTuple):
    """A resource without an owner, and its data centre."""

    resource: str
    data_centre: str


class TakeoverOrder:
    """Decides which free resources this VM may take over now."""

    def __init__(self, *, settings, timers, members):
        self._vm = settings["VM_NAME"]
        self._timers = timers
        self._members = members
        self._free_since: dict[str, float] = {}

    def due(
        self,
        free: Iterable[FreeResource],
        requested: Mapping[str, str],
        owners: Mapping[str, str],
    ) -> list[str]:
        """Return the free resources that this VM should take over now.

        ``requested`` maps all resources to their data centres, ``owners`` the owned
        ones to the owner's VM.
        """
        now = self._timers.now()
        free = list(free)
        self._free_since = {
            item.resource: self._free_since.get(item.resource, now) for item in free
        }
        if not free:
            return []
        counts = Counter(owners.values())
        resources_in = Counter(requested.values())
        due = []
        for item in sorted(free):
            order = self._order_for(item, counts, resources_in[item.data_centre])
            rank = order.index(self._vm) if self._vm in order else MAX_RANK
            counts[order[0]] += 1
            since = self._free_since[item.resource]
            if now - since >= min(rank, MAX_RANK) * RANK_DELAY_S:
                due.append(item.resource)
        return due

    def _order_for(self, item: FreeResource, counts, resources: int) -> list[str]:
        """Return the VMs in the order in which they may take over a resource.

        VMs of its data centre come first, among them those that own less than an equal
        share of the data centre's resources. VMs of other data centres come last.
        """
        local = set(self._members.in_data_centre(item.data_centre))
        remote = set(self._members.live_vms()) - local
        share = -(-resources // max(1, len(local)))
        by_hash = rendezvous(item.resource, local)
        order = [vm for vm in by_hash if counts[vm] < share]
        order += [vm for vm in by_hash if counts[vm] >= share]
        return order + rendezvous(item.resource, remote) or [self._vm]
