"""Who leaves an engine's slots: rules for eviction, compared on one engine's demand.

A model of one engine whose slots are full most of the time. An adapter that the engine
held lately is loaded again in a tenth of the time and without a fetch, so that loads
and fetches are counted apart::

    demand = SlotDemand(slots=5, per_s=6.0)
    figures = play_slots("lru", demand, seed=11)
"""

import heapq
import random
from collections import OrderedDict
from typing import NamedTuple, Protocol

from hawthornlead.bench.bench_sketches import CountSketch
from hawthornlead.hashes import digest64
from hawthornlead.registries import Registry

# Demand by a power law, as counted on recorded days: of 2,285 requests for 510 adapters
# 295 were the only one for theirs.
SKEW = 0.9
# The most asked for adapters change places with others so often.
SHIFT_S = 10.0
SHIFTED = 20
# Half-life of the decayed count, as in the gateway's slots.
HALF_LIFE_S = 10.0
SKETCH_COLUMNS = 512

EVICTION_RULES: Registry[type["EvictionRule"]] = Registry("eviction rule")
eviction_rule = EVICTION_RULES.register


class SlotDemand(NamedTuple):
    """What is asked of one engine; ``remembered`` adapters that left load fast."""

    slots: int
    per_s: float
    adapters: int = 600
    run_s: float = 0.5
    load_s: float = 0.3
    remembered_each_slot: int = 6
    duration_s: float = 300.0


class SlotFigures(NamedTuple):
    """What became of the requests: served at once, after a load, or refused."""

    requests: int
    refused: int
    loads: int
    fetches: int


class SlotRequest(NamedTuple):
    """One request: when it comes, for which adapter, and how long it runs."""

    at: float
    adapter: int
    run_s: float


class EvictionRule(Protocol):
    """Says which of the idle adapters leaves."""

    def note(self, adapter: int, now: float) -> None:
        """Note a request for an adapter."""

    def victim(self, idle: list[int], now: float) -> int:
        """Return one of the idle adapters, in the order in which they came."""


@eviction_rule("any")
class AnyIdle:
    """The idle adapter that has been there for longest."""

    def __init__(self, requests: list[SlotRequest]):
        pass

    def note(self, adapter: int, now: float) -> None:
        """Note nothing."""

    def victim(self, idle: list[int], now: float) -> int:
        """Return the first."""
        return idle[0]


@eviction_rule("lru")
class LeastRecent:
    """The adapter whose last request is the oldest."""

    def __init__(self, requests: list[SlotRequest]):
        self._at: dict[int, float] = {}

    def note(self, adapter: int, now: float) -> None:
        """Note when an adapter was asked for."""
        self._at[adapter] = now

    def victim(self, idle: list[int], now: float) -> int:
        """Return the one that was asked for least lately."""
        return min(idle, key=self._at.__getitem__)


@eviction_rule("lfu")
class LeastFrequent:
    """The adapter with the fewest requests so far."""

    def __init__(self, requests: list[SlotRequest]):
        self._counts: dict[int, int] = {}

    def note(self, adapter: int, now: float) -> None:
        """Count a request."""
        self._counts[adapter] = self._counts.get(adapter, 0) + 1

    def victim(self, idle: list[int], now: float) -> int:
        """Return the one with the lowest count."""
        return min(idle, key=self._counts.__getitem__)


@eviction_rule("use")
class LeastUsed:
    """The adapter with the lowest count of requests that fades; the gateway's rule."""

    def __init__(self, requests: list[SlotRequest]):
        self._scores: dict[int, tuple[float, float]] = {}

    def note(self, adapter: int, now: float) -> None:
        """Count a request."""
        self._scores[adapter] = (self._score(adapter, now) + 1, now)

    def victim(self, idle: list[int], now: float) -> int:
        """Return the one with the lowest faded count."""
        return min(idle, key=lambda adapter: self._score(adapter, now))

    def _score(self, adapter: int, now: float) -> float:
        score, at = self._scores.get(adapter, (0.0, now))
        return score * 0.5 ** ((now - at) / HALF_LIFE_S)


@eviction_rule("sketch")
class LeastInSketch:
    """The adapter that a count sketch of all requests estimates lowest."""

    def __init__(self, requests: list[SlotRequest]):
        self._sketch = CountSketch(SKETCH_COLUMNS, keep=1)

    def note(self, adapter: int, now: float) -> None:
        """Count a request."""
        self._sketch.add(str(adapter), digest64(str(adapter)))

    def victim(self, idle: list[int], now: float) -> int:
        """Return the one with the lowest estimate."""
        return min(idle, key=lambda each: self._sketch.estimate(digest64(str(each))))


@eviction_rule("belady")
class FarthestNext:
    """The adapter whose next request comes last, which only a clairvoyant knows."""

    def __init__(self, requests: list[SlotRequest]):
        self._next: dict[int, list[float]] = {}
        for request in reversed(requests):
            self._next.setdefault(request.adapter, []).append(request.at)

    def note(self, adapter: int, now: float) -> None:
        """Pass one request of the future by."""
        self._next[adapter].pop()

    def victim(self, idle: list[int], now: float) -> int:
        """Return the one that is not needed for longest."""
        return max(idle, key=self._next_at)

    def _next_at(self, adapter: int) -> float:
        coming = self._next[adapter]
        return coming[-1] if coming else float("inf")


def draw_requests(demand: SlotDemand, seed: int) -> list[SlotRequest]:
    """Draw the requests of one engine; the same for the same seed."""
    rng = random.Random(seed)
    order = list(range(demand.adapters))
    weights = [1 / (rank + 1) ** SKEW for rank in range(demand.adapters)]
    requests = []
    now, shift_at = 0.0, SHIFT_S
    while now < demand.duration_s:
        now += rng.expovariate(demand.per_s)
        if now >= shift_at:
            shift_at += SHIFT_S
            _shift(order, rng)
        (rank,) = rng.choices(range(demand.adapters), weights)
        run_s = rng.expovariate(1 / demand.run_s)
        requests.append(SlotRequest(now, order[rank], run_s))
    return requests


def play_slots(rule: str, demand: SlotDemand, seed: int) -> SlotFigures:
    """Play one engine's requests under an eviction rule."""
    requests = draw_requests(demand, seed)
    slots = _Slots(demand, EVICTION_RULES[rule](requests))
    for request in requests:
        slots.take(request)
    return slots.figures(len(requests))


class _Slots:
    def __init__(self, demand: SlotDemand, rule: EvictionRule):
        self._demand = demand
        self._rule = rule
        self._held: dict[int, int] = {}
        self._ends: list[tuple[float, int]] = []
        self._remembered: OrderedDict[int, None] = OrderedDict()
        self._refused = self._loads = self._fetches = 0

    def figures(self, requests: int) -> SlotFigures:
        return SlotFigures(requests, self._refused, self._loads, self._fetches)

    def take(self, request: SlotRequest) -> None:
        self._rule.note(request.adapter, request.at)
        while self._ends and self._ends[0][0] <= request.at:
            _, adapter = heapq.heappop(self._ends)
            self._held[adapter] -= 1
        begins_at = request.at
        if request.adapter not in self._held:
            if not self._make_room(request.at):
                self._refused += 1
                return
            begins_at += self._load(request.adapter)
        self._held[request.adapter] += 1
        heapq.heappush(self._ends, (begins_at + request.run_s, request.adapter))

    def _make_room(self, now: float) -> bool:
        if len(self._held) < self._demand.slots:
            return True
        idle = [adapter for adapter, running in self._held.items() if not running]
        if not idle:
            return False
        victim = self._rule.victim(idle, now)
        del self._held[victim]
        self._remembered[victim] = None
        most = self._demand.remembered_each_slot * self._demand.slots
        while len(self._remembered) > most:
            self._remembered.popitem(last=False)
        return True

    def _load(self, adapter: int) -> float:
        self._held[adapter] = 0
        self._loads += 1
        if adapter in self._remembered:
            del self._remembered[adapter]
            return self._demand.load_s / 10
        self._fetches += 1
        return self._demand.load_s


def _shift(order: list[int], rng: random.Random) -> None:
    for rank in range(SHIFTED):
        other = rng.randrange(len(order))
        order[rank], order[other] = order[other], order[rank]
