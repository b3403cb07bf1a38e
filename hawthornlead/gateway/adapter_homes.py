"""Home targets of adapters: the rendezvous order of the targets for each adapter.

All VMs compute the same order::

::

    homes = AdapterHomes()
    homes.of("tide/a7", ("i-1", "i-2", "i-3"))[0]
"""

from ..hashes import rendezvous

# The maximum number of adapters in the cache. A few adapters get most requests.
MAX_CACHED_ADAPTERS = 256


class AdapterHomes:
    """Cache of the home targets of recently requested adapters, for one target set."""

    def __init__(self):
        self._targets: tuple[str, ...] = ()
        self._homes: dict[str, tuple[str, ...]] = {}

    def of(self, adapter: str, targets: tuple[str, ...]) -> tuple[str, ...]:
        """Return the targets in the order of preference to hold an adapter."""
        if targets != self._targets:
            self._targets = targets
            self._homes.clear()
        homes = self._homes.get(adapter)
        if homes is None:
            if len(self._homes) >= MAX_CACHED_ADAPTERS:
                del self._homes[next(iter(self._homes))]
            homes = self._homes[adapter] = tuple(rendezvous(adapter, targets))
        return homes
