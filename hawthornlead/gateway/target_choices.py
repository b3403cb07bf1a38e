"""Which target a request goes to: the one with the soonest first token, as estimated.

A pure decision on what one VM knows of each target, testable without a network::

    best = order_candidates(candidates, demand)[0]

All costs are in milliseconds of waiting. An adapter that isn't ready costs its load
and, beyond that, what a load takes from others: a fetch from the weight store and a
slot. So a second copy of a hot adapter is made only when its targets are clearly more
loaded than another.
"""

from enum import Enum
from typing import NamedTuple

from .run_times import INITIAL_ENGINE_RUN_MS


class Holding(Enum):
    """How a target holds what a request needs."""

    READY = "ready"
    ARRIVING = "arriving"
    OLD_VERSION = "old version"
    RECENT = "recently held"
    ABSENT = "absent"
    UNKNOWN = "unknown"


# Where a request can run soon without a fetch.
HELD = frozenset({Holding.READY, Holding.ARRIVING, Holding.OLD_VERSION, Holding.RECENT})
# So many homes of an adapter are compared at most: the least loaded of 16 is nearly
# that of all.
MAX_COMPARED_HOMES = 16
# What has to be ordered onto a target takes a slot there.
LOADED_ANEW = frozenset({Holding.OLD_VERSION, Holding.RECENT, Holding.ABSENT})

# What a fuller batch costs: a step grows little with each request beside it, but
# prompts are read between the tokens of others. At a full batch, about this much.
FULL_BATCH_MS = 500.0


class Candidate(NamedTuple):
    """A target as one VM knows it.

    ``running`` counts the requests of all VMs. ``orderable`` tells whether its owner
    can be asked for a load. ``slow_ms`` is how much later than others it was lately,
    ``prompts_ms`` how long a prompt waits for its turn, and ``slot_wait_ms`` how long
    a load waits for a slot. ``arriving`` adapters are being fetched there. A request
    runs ``run_ms`` there, and is held up for ``batch_ms`` beside a full batch.
    """

    target: str
    slots: int
    running: int
    holding: Holding
    orderable: bool
    suspect: bool
    slow_ms: float
    near: bool
    prompts_ms: float = 0.0
    arriving: int = 0
    slot_wait_ms: float = 0.0
    run_ms: float = INITIAL_ENGINE_RUN_MS
    batch_ms: float = FULL_BATCH_MS


class Demand(NamedTuple):
    """What a request needs: an adapter, or only a base model or no model.

    ``homes`` are the targets in the order in which they should hold it. ``reading`` is
    the share of a pause between events, as its route bears it, that its prompt takes to
    be read.
    """

    homes: tuple[str, ...]
    adapter: bool
    reading: float = 0.0


class Scored(NamedTuple):
    """A candidate and the estimated wait for its first token."""

    cost_ms: float
    candidate: Candidate


# A cold load takes 250 ms and is seen 100 ms later. The rest is what it takes from
# others: a place among the few fetches that run at full speed.
ABSENT_MS = 500.0
# One that was held lately takes 25 ms to load, is seen 110 ms later and is not fetched.
RECENT_MS = 170.0
ARRIVING_MS = 200.0
OLD_VERSION_MS = 450.0
# An engine fetches four adapters at once, 250 ms each; what comes beyond waits for one
# of them. A third already makes it likely that another VM asks for the fourth.
FREE_FETCHES = 2
FETCH_TURN_MS = 80.0
# All VMs must load a cold adapter on the same target, or each brings its own copy. Its
# targets stand in an order that all agree on; being one further down costs this much.
HOME_STEP_MS = 90.0
MOST_HOME_MS = 270.0
# A prompt holds up all streams that run beside it while it is read. A long one makes
# each of them late, so that it goes where few run; this much for each of them.
HELD_UP_MS = 60.0
# Links between data centres are narrow, and take a millisecond or two.
FAR_MS = 4.0
# A suspect target is a last resort.
SUSPECT_MS = 20000.0


def shortlist(
    holdings: dict[str, Holding], homes: tuple[str, ...], excluded: frozenset[str]
) -> set[str]:
    """Return the targets worth a closer look.

    These are all that hold what is needed, or held it lately, and the first homes.
    """
    listed = {
        target
        for target, holding in holdings.items()
        if holding in HELD and target not in excluded
    }
    others = [home for home in homes if home not in listed and home not in excluded]
    return listed | set(others[:MAX_COMPARED_HOMES])


def order_candidates(candidates: list[Candidate], demand: Demand) -> list[Scored]:
    """Return the usable candidates, the best first."""
    scored = []
    ranks = {target: rank for rank, target in enumerate(demand.homes)}
    for candidate in candidates:
        home_ms = min(MOST_HOME_MS, HOME_STEP_MS * ranks.get(candidate.target, 0))
        cost = _cost(candidate, demand, home_ms)
        if cost is not None:
            scored.append(Scored(cost, candidate))
    scored.sort(key=lambda each: each.cost_ms)
    return scored


def with_slot_wait(scored: list[Scored], target: str, wait_ms: float) -> list[Scored]:
    """Return candidates as they stand once a target is known to be full for so long.

    A request that meets full engines asks many of them within milliseconds, in which
    nothing else changes, so that not all are estimated anew each time.
    """
    changed = []
    for each in scored:
        candidate = each.candidate
        if candidate.target == target and candidate.holding in LOADED_ANEW:
            cost_ms = each.cost_ms + wait_ms - candidate.slot_wait_ms
            each = Scored(cost_ms, candidate._replace(slot_wait_ms=wait_ms))
        changed.append(each)
    changed.sort(key=lambda each: each.cost_ms)
    return changed


def queue_ms(candidate: Candidate) -> float:
    """Return the estimated wait at a target beside the requests that it has.

    Beyond a full batch a request waits for another to end.
    """
    slots = max(1, candidate.slots)
    filled = min(1.0, candidate.running / slots)
    cost = candidate.batch_ms * filled * filled
    beyond = candidate.running + 1 - slots
    if beyond > 0:
        cost += candidate.run_ms * beyond / slots
    return cost


def _cost(candidate: Candidate, demand: Demand, home_ms: float) -> float | None:
    """Return a candidate's cost, None if it can't serve the request."""
    cost = queue_ms(candidate) + candidate.slow_ms
    if candidate.suspect:
        cost += SUSPECT_MS
    if not candidate.near:
        cost += FAR_MS
    cost += candidate.prompts_ms
    cost += HELD_UP_MS * candidate.running * demand.reading**2
    if candidate.holding is Holding.READY:
        return cost
    if not demand.adapter:
        # Without its base model an engine has to load for seconds.
        return None
    if not candidate.orderable:
        return None
    if candidate.holding is Holding.ARRIVING:
        return cost + ARRIVING_MS
    return _cost_of_load(cost, candidate, home_ms)


def _cost_of_load(cost: float, candidate: Candidate, home_ms: float) -> float | None:
    """Return the cost with that of a load to be ordered, None if that can't be."""
    cost += candidate.slot_wait_ms
    cost += FETCH_TURN_MS * max(0, candidate.arriving - FREE_FETCHES)
    if candidate.holding is Holding.OLD_VERSION:
        return cost + OLD_VERSION_MS
    if candidate.holding is Holding.RECENT:
        return cost + RECENT_MS
    if candidate.holding is Holding.ABSENT:
        return cost + ABSENT_MS + home_ms
    return None
