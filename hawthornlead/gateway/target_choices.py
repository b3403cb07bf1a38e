"""The choice of the target with the earliest estimated first token for a request.

A pure function of what one VM knows of each target::

    best = order_candidates(candidates, demand)[0]

All costs are in milliseconds of waiting. An adapter that isn't ready costs the time of
its load and what the load takes from others: a fetch from the weight store and a slot.
So a hot adapter gets a second copy only when its targets are clearly more loaded than
another one.
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


# Holdings with which a request can run soon without a fetch.
HELD = frozenset({Holding.READY, Holding.ARRIVING, Holding.OLD_VERSION, Holding.RECENT})
# Home targets of an adapter that are compared at most: the least loaded of 16 is almost
# the least loaded of all.
MAX_COMPARED_HOMES = 16
# Holdings that need an order for a load, which takes a slot at the target.
NEEDS_LOAD = frozenset({Holding.OLD_VERSION, Holding.RECENT, Holding.ABSENT})

# The delay beside a full batch. A step grows little with each request in the batch, but
# the prompts of others are read between the tokens.
FULL_BATCH_MS = 500.0


class Candidate(NamedTuple):
    """A target as one VM knows it.

    ``running`` counts the requests of all VMs. ``orderable`` tells whether its owner
    can be asked for a load. ``slow_ms`` is the cost of its recent slow and failed
    answers, ``prompts_ms`` how long a prompt waits for its turn, and ``slot_wait_ms``
    how long a load waits for a slot. ``arriving`` adapters are being fetched there. A
    request runs ``run_ms`` there, and is delayed by ``batch_ms`` beside a full batch.
    Its first event takes ``first_ms`` longer than at other targets of the service, and
    a prompt token ``reading`` times as long. ``preference_ms`` counts against the
    target in comparisons, but is no wait.
    """

    target: str
    slots: int
    running: int
    holding: Holding
    orderable: bool
    suspect: bool
    slow_ms: float
    is_local: bool
    prompts_ms: float = 0.0
    arriving: int = 0
    slot_wait_ms: float = 0.0
    run_ms: float = INITIAL_ENGINE_RUN_MS
    batch_ms: float = FULL_BATCH_MS
    first_ms: float = 0.0
    reading: float = 1.0
    preference_ms: float = 0.0


class Demand(NamedTuple):
    """What a request needs: an adapter, or only a base model or no model.

    ``homes`` are the targets in the order in which they should hold it. ``reading`` is
    the time to read its prompt as a share of its route's gap between events.
    """

    homes: tuple[str, ...]
    adapter: bool
    reading: float = 0.0


class Scored(NamedTuple):
    """A candidate and the estimated wait for its first token."""

    cost_ms: float
    candidate: Candidate


# A cold load takes 250 ms and is reported 100 ms later. The rest is its cost to others:
# one of the few fetches that run at full speed.
ABSENT_MS = 500.0
# A recently held adapter loads in 25 ms without a fetch and is reported 110 ms later.
RECENT_MS = 170.0
ARRIVING_MS = 200.0
OLD_VERSION_MS = 450.0
# An engine fetches four adapters at once, 250 ms each, and further ones wait. A third
# fetch already makes it likely that another VM requests the fourth.
FREE_FETCHES = 2
FETCH_WAIT_MS = 80.0
# All VMs must load a cold adapter on the same target, or each makes its own copy. So
# all VMs use the same order of its home targets, and each step down costs this much.
HOME_STEP_MS = 90.0
MAX_HOME_MS = 270.0
# A prompt delays all streams beside it while it is read. This cost for each of them
# sends long prompts where few streams run.
PROMPT_DELAY_MS = 60.0
# Links between data centres have little bandwidth and 1 to 2 ms of latency.
REMOTE_MS = 4.0
# A suspect target is a last resort.
SUSPECT_MS = 20000.0


def shortlist(
    holdings: dict[str, Holding], homes: tuple[str, ...], excluded: frozenset[str]
) -> set[str]:
    """Return the targets to score.

    These are all that hold what is needed, or held it recently, and the first homes.
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
        home_ms = min(MAX_HOME_MS, HOME_STEP_MS * ranks.get(candidate.target, 0))
        cost = _cost(candidate, demand, home_ms)
        if cost is not None:
            scored.append(Scored(cost, candidate))
    scored.sort(key=lambda each: each.cost_ms)
    return scored


def with_slot_wait(scored: list[Scored], target: str, wait_ms: float) -> list[Scored]:
    """Return candidates with the wait for a slot at one target changed.

    A request that meets full engines asks many of them within milliseconds. Nothing
    else changes meanwhile, so the others needn't be scored again.
    """
    changed = []
    for each in scored:
        candidate = each.candidate
        if candidate.target == target and candidate.holding in NEEDS_LOAD:
            cost_ms = each.cost_ms + wait_ms - candidate.slot_wait_ms
            each = Scored(cost_ms, candidate._replace(slot_wait_ms=wait_ms))
        changed.append(each)
    changed.sort(key=lambda each: each.cost_ms)
    return changed


def queue_ms(candidate: Candidate) -> float:
    """Return the estimated delay at a target by the requests that it has.

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
    if not candidate.is_local:
        cost += REMOTE_MS
    cost += candidate.prompts_ms
    cost += candidate.first_ms + candidate.preference_ms
    reading = min(1.0, demand.reading * candidate.reading)
    cost += PROMPT_DELAY_MS * candidate.running * reading**2
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
    """Return the cost with that of an ordered load, None if none can be ordered."""
    cost += candidate.slot_wait_ms
    cost += FETCH_WAIT_MS * max(0, candidate.arriving - FREE_FETCHES)
    if candidate.holding is Holding.OLD_VERSION:
        return cost + OLD_VERSION_MS
    if candidate.holding is Holding.RECENT:
        return cost + RECENT_MS
    if candidate.holding is Holding.ABSENT:
        return cost + ABSENT_MS + home_ms
    return None
