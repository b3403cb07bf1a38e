"""The adapters that an engine held recently, which it reloads ten times as fast."""

from .engine_slots import AdapterKey

# The minimum number of adapters that an engine remembers for each slot. An adapter that
# is reloaded within this many others loads fast, a later one is fetched again.
REMEMBERED_PER_SLOT = 6


def remembered_adapters(adapter_slots: int) -> int:
    """Return how many adapters an engine with ``adapter_slots`` remembers."""
    return REMEMBERED_PER_SLOT * adapter_slots


class RecentAdapters:
    """The newest adapters recorded for one engine, ``limit`` at most.

    ::

        recent = RecentAdapters(remembered_adapters(5))
        recent.add(key)
        key in recent
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._keys: dict[AdapterKey, None] = {}

    def __contains__(self, key: AdapterKey) -> bool:
        return key in self._keys

    def set_limit(self, limit: int) -> None:
        """Set the maximum number of adapters."""
        self._limit = limit
        self._evict_oldest()

    def add(self, key: AdapterKey) -> None:
        """Record an adapter as the newest, and drop the oldest beyond the limit."""
        self._keys.pop(key, None)
        self._keys[key] = None
        self._evict_oldest()

    def _evict_oldest(self) -> None:
        while len(self._keys) > self._limit:
            del self._keys[next(iter(self._keys))]
