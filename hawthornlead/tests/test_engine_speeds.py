"""Tests of the estimates of engines' speeds, from samples of the contention load."""

import math
from random import Random

import pytest

from hawthornlead.engine_speeds.engine_speeds import (
    SpeedClass,
    SpeedFactors,
    checked_speed,
    classify,
    compare,
    median_speed,
)
from hawthornlead.engine_speeds.speed_estimators import SpeedEstimator
from hawthornlead.engine_speeds.stream_samples import EventTimes, StreamSample

BATCH = 12


def stream(rng, factor, beside, knee=1.0):
    """Return the sample of a stream at an engine of the contention deployment."""
    event_ms = 43.8 * factor * (1 + 0.04 * beside) * (knee if beside >= 10 else 1.0)
    tokens = rng.choice([826, 826, 2368])
    # Each chunk of a prompt is read in a step that writes tokens too.
    read_ms = tokens / 38.7 + 5.47 * math.ceil(tokens / 1024)
    first_ms = event_ms + factor * read_ms + rng.expovariate(0.1)
    return StreamSample(event_ms * rng.uniform(0.95, 1.25), first_ms, tokens, beside)


def learned(rng, factor, besides=range(12), knee=1.0, count=60):
    estimator = SpeedEstimator(BATCH)
    for number in range(count):
        beside = rng.choice(list(besides))
        estimator.record(stream(rng, factor, beside, knee), now=number / 4)
    return estimator


@pytest.mark.parametrize("factor", [0.7, 1.0, 1.7])
def test_event_and_reading_times_of_each_speed_are_learned(factor):
    """On engines that take 1.7 times as long, 129 of 232 long streams stalled."""
    for seed in range(20):
        speed = learned(Random(seed), factor).speed
        assert speed.event_ms == pytest.approx(43.8 * factor, rel=0.25)
        assert speed.full_event_ms == pytest.approx(63.0 * factor, rel=0.35)
        assert speed.read_tokens_per_ms == pytest.approx(38.7 / factor, rel=0.4)


def test_an_engine_that_becomes_slow_is_detected_within_two_seconds():
    rng = Random(1)
    estimator = learned(rng, 0.7, range(6))
    for number in range(8):
        estimator.record(stream(rng, 1.7, rng.randrange(6)), now=15 + number / 4)
    assert estimator.speed.event_ms > 60


def test_an_engine_that_slows_down_only_when_full_counts_as_overloaded():
    """Requests avoided an engine at any fill that was slow only beside a full batch."""
    rng = Random(2)
    others = [learned(rng, 1.0).speed for _ in range(4)]
    estimator = learned(rng, 1.0, range(9))
    for number in range(20):
        estimator.record(stream(rng, 1.0, 10, knee=2.5), now=15 + number / 4)
    factors = compare(estimator.speed, median_speed(others))
    assert classify(SpeedClass.NORMAL, factors) is SpeedClass.OVERLOADED
    slow = compare(learned(rng, 1.7).speed, median_speed(others))
    assert classify(SpeedClass.NORMAL, slow) is SpeedClass.SLOW


def test_alike_engines_are_told_apart_by_nothing():
    """Requests prefer some of several equal engines because of noise."""
    speeds = [learned(Random(seed), 1.0).speed.rounded() for seed in range(30)]
    median = median_speed(speeds)
    factors = {compare(speed, median) for speed in speeds}
    assert factors == {SpeedFactors()}


@pytest.mark.parametrize(
    "bad", [math.nan, math.inf, -math.inf, -5.0, 0.0, 1e9], ids=str
)
def test_impossible_values_teach_nothing(bad):
    estimator = SpeedEstimator(BATCH)
    good = StreamSample(40.0, 90.0, 826, 2)
    for number in range(9):
        estimator.record(good._replace(event_ms=bad), now=number)
        estimator.record(good._replace(first_ms=bad), now=number)
    for number in range(4):
        estimator.record(good, now=number)
    assert not estimator.speed.known
    estimator.record(good, now=9)
    assert estimator.speed.known
    assert not checked_speed(bad, 70.0, 38.0).known
    assert not checked_speed(45.0, 70.0, bad).known
    assert not checked_speed(45.0, bad, 38.0).known


def test_a_stream_of_one_event_has_no_sample_and_joined_events_share_a_gap():
    times = EventTimes()
    assert times.sample(90.0, 826, 2) is None
    times.record(events=2, gap_s=0.08)
    times.record(events=1, gap_s=0.04)
    assert times.sample(90.0, 826, -1) == StreamSample(40.0, 90.0, 826, 0)


def test_an_engine_that_recovers_while_it_is_full_does_not_stay_slow():
    """A slow phase ends while the engine runs a full batch.

    The times beside few requests from the slow phase counted for 20 s more, in which
    the engine's prompts were paced as those of an engine four times as slow.
    """
    estimator = SpeedEstimator(BATCH)
    now = 0.0
    phases = [(45.0, 3, 30), (170.0, 3, 10), (45.0, 11, 12)]
    for alone_ms, beside, count in phases:
        for _ in range(count):
            now += 0.25
            event_ms = alone_ms * (1 + 0.04 * beside)
            estimator.record(StreamSample(event_ms, 100.0, 826, beside), now)
    assert estimator.speed.event_ms < 1.2 * 45.0
    assert estimator.speed.full_event_ms < 1.2 * 45.0 * 1.44
