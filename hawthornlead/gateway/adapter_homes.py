"""The homes of adapters: the order in which all VMs agree that targets hold each.

::

    homes = AdapterHomes()
    homes.of("tide/a7", ("i-1", "i-2", "i-3"))[0]
"""

from ..hashes import rendezvous

# Adapters whose homes are kept. A few adapters get most requests.
MAX_CACHED_ADAPTERS = 256


class AdapterHomes:
    """The homes of the adapters that were asked for lately, for one set of targets."""

    def __init__(self):
        self._targets: tuple[str, ...] = ()
        self._homes: dict[str, tuple[str, ...]] = {}

    def of(self, adapter: str, targets: tuple[str, ...]) -> tuple[str, ...]:
        """Return the targets in the order in which they should hold an adapter."""
        if targets != self._targets:
            self._targets = targets
            self._homes.clear()
        homes = self._homes.get(adapter)
        if homes is None:
            if len(self._homes) >= MAX_CACHED_ADAPTERS:
                del self._homes[next(iter(self._homes))]
            homes = self._homes[adapter] = tuple(rendezvous(adapter, targets))
        return homes
