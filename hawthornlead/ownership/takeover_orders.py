"""The order in which VMs take over free resources: spread evenly, without a decider.

Every VM computes the same order from what all know, and waits the longer the
later it comes. Two that differ for a moment both try; the conditional update
lets one of them win.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..hashes import rendezvous

RANK_DELAY_S = 0.4
MAX_RANK = 6


class FreeResource(NamedTuple):
    """A resource without an owner, and where it stands."""

    resource: str
    data_centre: str


class TakeoverOrder:
    """Decides which free resources it is this VM's turn to take."""

    def __init__(self, *, settings, timers, members):
        self._vm = settings["VM_NAME"]
        self._timers = timers
        self._members = members
        self._free_since: dict[str, float] = {}

    def due(
        self,
        free: Iterable[FreeResource],
        wanted: Mapping[str, str],
        owners: Mapping[str, str],
    ) -> list[str]:
        """Return the free resources that this VM should take now.

        ``wanted`` maps all resources to data centres, ``owners`` those that are
        owned to the owner's VM.
        """
        now = self._timers.now()
        free = list(free)
        self._free_since = {
            item.resource: self._free_since.get(item.resource, now) for item in free
        }
        if not free:
            return []
        counts = Counter(owners.values())
        resources_in = Counter(wanted.values())
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
        """Order the VMs: those of the data centre first, the full ones last.

        Full is a VM that already owns its share of the data centre's resources.
        """
        here = set(self._members.in_data_centre(item.data_centre))
        others = set(self._members.live_vms()) - here
        share = -(-resources // max(1, len(here)))
        by_hash = rendezvous(item.resource, here)
        order = [vm for vm in by_hash if counts[vm] < share]
        order += [vm for vm in by_hash if counts[vm] >= share]
        return order + rendezvous(item.resource, others) or [self._vm]
