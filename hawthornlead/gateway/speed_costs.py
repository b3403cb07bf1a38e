"""What an engine's measured speed costs a stream, compared with the median engine.

::

    demand = stream_demand(route, request)
    costs = speed_costs(measured.compared(entry), demand, running=7, engine=spec.engine)
"""

from typing import NamedTuple

from ..engine_speeds.engine_speeds import ComparedSpeed
from ..engine_speeds.speed_estimators import EVENT_TOKENS
from .prompt_pacers import EVENT_MS, read_ms
from .records import CallerRequest, EngineSpec, Route

# The part of a stream's expected time beyond that at the median engine that counts
# against a slow engine. With 0.1 and 0.2 short streams, whose prompts are long, gather
# at slow engines, and up to 6 in 100 must move on for their turns.
LONG_STREAM_SHARE = 0.05
# An engine whose events take this share of the tolerated gap has no time left to read
# a long prompt between two of them.
LAST_PLACE_GAP = 0.55
# More than a fetch at any home of an adapter, less than a suspect target.
LAST_PLACE_MS = 1500.0


class StreamDemand(NamedTuple):
    """What counts of a stream for its cost at an engine.

    ``reading`` is the time to read its prompt as a share, 1 at most, of the gap between
    events, ``gap_ms``. ``output_tokens`` are expected, as the caller states them.
    """

    reading: float
    gap_ms: float
    prompt_tokens: int
    output_tokens: int


class SpeedCosts(NamedTuple):
    """The costs of an engine's speed for one request.

    ``first_ms`` is by how much its first event is later than at the median engine, and
    ``slowness`` the factor of its events' time; see ``Candidate`` for
    ``preference_ms``.
    """

    slowness: float
    first_ms: float
    preference_ms: float


def stream_demand(route: Route, request: CallerRequest) -> StreamDemand:
    """Return what counts of a request on a route."""
    gap_ms = route.event_gap_ms - EVENT_MS
    reading = min(1.0, read_ms(request.prompt_tokens) / gap_ms) if gap_ms > 0 else 0.0
    return StreamDemand(
        reading, route.event_gap_ms, request.prompt_tokens, request.likely_tokens
    )


def speed_costs(
    compared: ComparedSpeed, demand: StreamDemand, running: int, engine: EngineSpec
) -> SpeedCosts:
    """Return the costs of a request where ``running`` others run."""
    speed, median, factors = compared
    slowness = factors.beside(running, engine.batch)
    event_ms = median.event_ms_beside(running, engine.batch)
    # A declared length may be absurd, but no stream outgrows its engine's memory.
    prompt_tokens = min(max(0, demand.prompt_tokens), engine.kv_tokens)
    output_tokens = min(max(0, demand.output_tokens), engine.kv_tokens)
    read_ms = prompt_tokens / median.read_tokens_per_ms if median.known else 0.0
    first_ms = (slowness - 1) * event_ms + (factors.reading - 1) * read_ms
    longer_ms = max(0.0, slowness - 1) * event_ms * output_tokens / EVENT_TOKENS
    preference_ms = LONG_STREAM_SHARE * longer_ms
    if _is_last_place(compared, demand, running, engine):
        preference_ms += LAST_PLACE_MS
    return SpeedCosts(slowness, first_ms, preference_ms)


def _is_last_place(
    compared: ComparedSpeed, demand: StreamDemand, running: int, engine: EngineSpec
) -> bool:
    """Whether the events of an engine slower than others nearly take the whole gap."""
    if compared.factors.full <= 1.0 or demand.gap_ms <= 0:
        return False
    event_ms = compared.speed.event_ms_beside(running, engine.batch)
    return event_ms >= LAST_PLACE_GAP * demand.gap_ms
