"""Loads ahead into idle shares of the allowance, a try of the bench.

An adapter that was evicted for a one-off is loaded again once its rate is so many
times (``ahead`` of the policy) that of the cheapest idle resident, while the weight
store has nothing else to do.
"""

from typing import NamedTuple

from hawthornlead.bench_owners import BenchTarget
from hawthornlead.popularities import Popularity

MOST_EVICTED = 256


class Ahead(NamedTuple):
    """A load ahead: what, and where."""

    target: BenchTarget
    adapter: str


class AheadLoads:
    """Remembers what was evicted and names what to load again."""

    def __init__(self, targets: list[BenchTarget], factor: float):
        self._targets = targets
        self._factor = factor
        self._evicted: dict[str, None] = {}

    def evicted(self, adapter: str) -> None:
        """Remember an eviction."""
        self._evicted.pop(adapter, None)
        self._evicted[adapter] = None
        if len(self._evicted) > MOST_EVICTED:
            del self._evicted[next(iter(self._evicted))]

    def next(self, popularity: Popularity, now: float) -> Ahead | None:
        """Return the load ahead that is worth most, or None."""
        if not self._factor:
            return None
        held = set()
        for target in self._targets:
            held.update(target.resident, target.waiting)
        rates = {
            adapter: popularity.rate(adapter, now)
            for adapter in self._evicted
            if adapter not in held
        }
        if not rates:
            return None
        best = max(rates, key=rates.get)
        cheapest, least = None, rates[best] / self._factor
        for target in self._targets:
            for resident in target.evictable():
                price = popularity.rate(resident.adapter, now)
                if price < least:
                    cheapest, least = target, price
        return Ahead(cheapest, best) if cheapest is not None else None
