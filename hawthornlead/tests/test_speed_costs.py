"""Tests of the choice of a target by measured speeds, at the contention load."""

from random import Random

import pytest

from hawthornlead.engine_speeds.engine_speeds import (
    ComparedSpeed,
    EngineSpeed,
    compare,
    median_speed,
)
from hawthornlead.gateway.candidate_scorers import CandidateScorer
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.records import ServiceSpec
from hawthornlead.gateway.refusals import overload_failure
from hawthornlead.gateway.run_times import RunTimes
from hawthornlead.gateway.speed_costs import LAST_PLACE_MS, StreamDemand, speed_costs

from .test_measured_engines import SPEC, Fleet
from .test_placers import ROUTE, Quiet, Unlimited

FAST = EngineSpeed(31.0, 44.0, 55.0)
SLOW = EngineSpeed(74.0, 107.0, 23.0)
MEDIAN = median_speed([FAST, FAST, SLOW])
INTERACTIVE = StreamDemand(0.09, 300.0, 826, 288)
SHORT = StreamDemand(0.25, 300.0, 2368, 24)
SERVICE = ServiceSpec("llm", "/health", 100, SPEC)
KEY = AdapterKey("tide", "a1")


def scored(speeds, counts, demand, enabled=True):
    """Return the scored engines of a VM that knows these speeds, the best first."""
    fleet = Fleet(speeds, counts, enabled)
    scorer = CandidateScorer(
        data_centre="gijon",
        targets=fleet,
        loads=fleet,
        healths=Quiet(),
        limits=Unlimited(),
        backoffs=Unlimited(),
        timers=fleet.timers,
        run_times=RunTimes(),
        measured=fleet.measured,
    )
    return scorer.score(SERVICE, KEY, frozenset(), demand)


def best(speeds, counts, demand):
    return scored(speeds, counts, demand)[0].candidate.target


@pytest.mark.parametrize("speed", [FAST, EngineSpeed(45.0, 65.0, 38.0), SLOW])
def test_equal_engines_are_chosen_as_without_speeds(speed):
    rng = Random(1)
    for _ in range(100):
        counts = [rng.randrange(16) for _ in range(8)]
        noisy = [
            EngineSpeed(*[rng.uniform(0.9, 1.1) * x for x in speed]) for _ in counts
        ]
        for demand in (INTERACTIVE, SHORT):
            before = scored(noisy, counts, demand, enabled=False)
            assert scored(noisy, counts, demand) == before


def test_long_streams_avoid_slow_engines_until_the_fast_ones_are_fuller():
    """Streams on slow engines were late far more often: 63 of 144, not 31 of 460."""
    speeds = [SLOW, FAST, FAST]
    assert best(speeds, [2, 4, 4], INTERACTIVE) != "e0"
    assert best(speeds, [1, 11, 11], INTERACTIVE) == "e0"


def test_a_long_stream_costs_more_on_a_slow_engine_than_a_short_one():
    compared = ComparedSpeed(SLOW, MEDIAN, compare(SLOW, MEDIAN))
    costs = speed_costs(compared, INTERACTIVE, 3, SPEC)
    assert costs.preference_ms > 50
    few = INTERACTIVE._replace(output_tokens=24)
    assert speed_costs(compared, few, 3, SPEC).preference_ms < 10
    alike = ComparedSpeed(FAST, FAST, compare(FAST, FAST))
    assert speed_costs(alike, INTERACTIVE, 3, SPEC) == (1.0, 0.0, 0.0)


@pytest.mark.parametrize("tokens", [-5, 10**15])
def test_an_absurd_length_is_bounded_and_refuses_nothing(tokens):
    """A request was refused for the preference against its only engines."""
    demand = INTERACTIVE._replace(output_tokens=tokens, prompt_tokens=tokens)
    choice = scored([SLOW, FAST, FAST], [3, 3, 3], demand)
    slow = next(each for each in choice if each.candidate.target == "e0")
    if tokens > 0:
        assert slow.candidate.preference_ms > 1000
    assert (
        overload_failure(
            slow._replace(cost_ms=900 + slow.candidate.preference_ms), ROUTE, 4.0
        )
        is None
    )


def test_the_last_places_of_an_engine_near_the_allowed_gap_are_a_last_resort():
    near = EngineSpeed(74.0, 190.0, 23.0)
    compared = ComparedSpeed(near, MEDIAN, compare(near, MEDIAN))
    assert speed_costs(compared, SHORT, 3, SPEC).preference_ms < LAST_PLACE_MS
    assert speed_costs(compared, SHORT, 10, SPEC).preference_ms >= LAST_PLACE_MS
    assert best([near, FAST, FAST], [10, 14, 14], SHORT) != "e0"
