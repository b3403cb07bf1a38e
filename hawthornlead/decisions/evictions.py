"""Eviction: which idle resident of a target is evicted for a load.

Strategies are registered in ``EVICTIONS`` by the ``eviction`` decorator and selected by
the setting ``EVICTION``. The owner of a target passes only residents that it may evict
safely, and a strategy only chooses among them.
"""

from collections.abc import Callable, Sequence

from ..messages import Resident
from ..registries import Registry
from .popularities import Popularity

EVICTIONS: Registry[type["Eviction"]] = Registry("eviction")
eviction = EVICTIONS.register


class Eviction:
    """Base class of the eviction strategies."""

    def __init__(self, *, settings: dict):
        self._settings = settings

    def choose(
        self,
        residents: Sequence[Resident],
        popularity: Popularity,
        now: float,
        copies: Callable[[Resident], int] | None = None,
    ) -> Resident | None:
        """Return the resident to evict, or None when there is none.

        ``copies`` returns how many other targets hold the same adapter version; an
        owner that doesn't know omits it.
        """
        raise NotImplementedError


@eviction("lru")
class LruEviction(Eviction):
    """Baseline: the resident whose last request is the oldest."""

    def choose(self, residents, popularity, now, copies=None):
        """Return the least recently used resident."""
        return min(
            residents,
            key=lambda resident: (popularity.seen_at(resident.adapter), resident),
            default=None,
        )


@eviction("popularity")
class PopularityEviction(Eviction):
    """The resident whose eviction has the lowest expected cost.

    The expected cost is the adapter's request rate, since each request would wait for a
    reload. It is multiplied by ``COPY_DISCOUNT`` if another target still holds the
    adapter, because its requests then need no reload. A version that is no longer
    requested decays to a rate of nothing and is evicted first.
    """

    def choose(self, residents, popularity, now, copies=None):
        """Return the resident with the least expected cost, the oldest of equals."""
        cheapest = None
        least = None
        for resident in residents:
            cost = popularity.rate(resident.adapter, now)
            if copies is not None and copies(resident) > 0:
                cost *= self._settings["COPY_DISCOUNT"]
            key = (cost, popularity.seen_at(resident.adapter), resident)
            if least is None or key < least:
                cheapest, least = resident, key
        return cheapest
