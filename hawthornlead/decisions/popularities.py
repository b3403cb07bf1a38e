"""Popularity: how often each adapter has been requested recently.

Strategies are entered in ``POPULARITIES`` by the ``popularity`` decorator and
chosen by the setting ``POPULARITY``::

    counters = POPULARITIES["decayed"](settings=settings)
    counters.observe("tides-12", now=timers.now())
    counters.rate("tides-12", now=timers.now())

A VM keeps one for the requests that it admits, read by its router and placement, and
one for the grants that it issues as an owner, read by the eviction. Rates are of what
this VM sees, and ``share`` scales them to the whole system.
"""

import math

from ..registries import Registry

POPULARITIES: Registry[type["Popularity"]] = Registry("popularity")
popularity = POPULARITIES.register

# A rate below this (requests a second) counts as none: about one request a day.
MIN_RATE = 1e-5
# Decayed counters are removed after this many observations.
EXPIRE_INTERVAL = 4096


class Popularity:
    """Base class of the popularity strategies; counts nothing."""

    def __init__(self, *, settings: dict):
        self._share = 1.0
        self._settings = settings

    @property
    def share(self) -> float:
        """The share of all requests that this VM sees, above 0, at most 1."""
        return self._share

    @share.setter
    def share(self, share: float) -> None:
        self._share = min(1.0, max(share, 1e-3))

    def observe(self, adapter: str, now: float, count: int = 1) -> None:
        """Count ``count`` requests for ``adapter`` at ``now`` (seconds)."""

    def rate(self, adapter: str, now: float) -> float:
        """Return the requests a second for ``adapter``, older ones counting less."""
        return 0.0

    def seen_at(self, adapter: str) -> float:
        """Return when ``adapter`` was last observed, ``-inf`` when never."""
        return -math.inf


class HighestPopularity(Popularity):
    """The higher of two rates: counted by this VM, and announced by all VMs.

    An owner counts the grants on its targets at once but doesn't see an adapter's
    requests elsewhere. The counts that VMs announce cover all requests but arrive
    seconds late. Only the first counts what is observed here.
    """

    def __init__(self, own: Popularity, announced: Popularity):
        super().__init__(settings={})
        self._own = own
        self._announced = announced

    def observe(self, adapter: str, now: float, count: int = 1) -> None:
        """Count ``count`` requests for ``adapter`` at ``now`` (seconds)."""
        self._own.observe(adapter, now, count)

    def rate(self, adapter: str, now: float) -> float:
        """Return the requests a second for ``adapter``, older ones counting less."""
        return max(self._own.rate(adapter, now), self._announced.rate(adapter, now))

    def seen_at(self, adapter: str) -> float:
        """Return when ``adapter`` was last observed here, ``-inf`` when never."""
        return self._own.seen_at(adapter)


class _Counter:
    """The decayed counts of one adapter at the moment of its last request."""

    __slots__ = ("at", "fast", "slow")

    def __init__(self, at: float):
        self.at = at
        self.fast = 0.0
        self.slow = 0.0


@popularity("decayed")
class DecayedCounters(Popularity):
    """Two exact, exponentially decayed counters for each recently requested adapter.

    The slow counter (``SLOW_HALF_LIFE_S``) measures steady popularity. The fast one
    (``FAST_HALF_LIFE_S``) follows sudden shifts: a burst of requests raises the rate
    within seconds. The rate is their mean weighted by ``FAST_WEIGHT``, which is low
    enough that a single request doesn't look like high popularity.
    """

    def __init__(self, *, settings: dict):
        super().__init__(settings=settings)
        self._fast_decay = math.log(2) / settings["FAST_HALF_LIFE_S"]
        self._slow_decay = math.log(2) / settings["SLOW_HALF_LIFE_S"]
        self._counters: dict[str, _Counter] = {}
        self._until_expire = EXPIRE_INTERVAL

    def __len__(self) -> int:
        return len(self._counters)

    def observe(self, adapter: str, now: float, count: int = 1) -> None:
        """Count ``count`` requests for ``adapter`` at ``now`` (seconds)."""
        counter = self._counters.get(adapter)
        if counter is None:
            counter = self._counters[adapter] = _Counter(now)
        age = max(0.0, now - counter.at)
        counter.fast = counter.fast * math.exp(-self._fast_decay * age) + count
        counter.slow = counter.slow * math.exp(-self._slow_decay * age) + count
        counter.at = max(counter.at, now)
        self._until_expire -= 1
        if self._until_expire <= 0:
            self._expire(now)

    def rate(self, adapter: str, now: float) -> float:
        """Return the requests a second for ``adapter``, older ones counting less."""
        counter = self._counters.get(adapter)
        if counter is None:
            return 0.0
        return self._rate(counter, now) / self._share

    def seen_at(self, adapter: str) -> float:
        """Return when ``adapter`` was last observed, ``-inf`` when never."""
        counter = self._counters.get(adapter)
        return -math.inf if counter is None else counter.at

    def _rate(self, counter: _Counter, now: float) -> float:
        age = max(0.0, now - counter.at)
        slow = counter.slow * math.exp(-self._slow_decay * age)
        fast = counter.fast * math.exp(-self._fast_decay * age)
        weight = self._settings["FAST_WEIGHT"]
        steady = (1 - weight) * slow * self._slow_decay
        return steady + weight * fast * self._fast_decay

    def _expire(self, now: float) -> None:
        """Remove fully decayed counters, so that memory is bounded."""
        self._until_expire = max(EXPIRE_INTERVAL, len(self._counters))
        for adapter, counter in list(self._counters.items()):
            if self._rate(counter, now) < MIN_RATE:
                del self._counters[adapter]
