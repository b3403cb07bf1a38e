"""The adapters that an engine held lately, which it loads ten times as fast again."""

from .engine_slots import AdapterKey

# How many an engine remembers for each of its slots, at least: what it loads again
# within so many others comes fast, what it loads later is fetched again.
REMEMBERED_PER_SLOT = 6


def remembered_adapters(adapter_slots: int) -> int:
    """Return how many adapters an engine with so many slots remembers."""
    return REMEMBERED_PER_SLOT * adapter_slots


class RecentAdapters:
    """The newest adapters that were noted for one engine, ``limit`` at most.

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
        """Take another bound."""
        self._limit = limit
        self._drop_oldest()

    def add(self, key: AdapterKey) -> None:
        """Note an adapter as the newest; the oldest beyond the bound is dropped."""
        self._keys.pop(key, None)
        self._keys[key] = None
        self._drop_oldest()

    def _drop_oldest(self) -> None:
        while len(self._keys) > self._limit:
            del self._keys[next(iter(self._keys))]
