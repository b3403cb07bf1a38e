"""Tests of the pacing of prompts by the engine's speed, with a played engine.

The load is that of an engine of the contention deployment: 4 streams a second on an
average engine, of which slow ones get about half.
"""

import statistics
from random import Random

import pytest

from hawthornlead.engine_speeds.engine_speeds import EngineSpeed
from hawthornlead.gateway.prompt_pacers import ASSUMED_PACE, PromptPacer, pace_of

from .played_engines import BATCH, GAP_MS, play

SEEDS = range(4)


def played(factor, per_s, learns):
    """Return the share of late streams, the longest gap, and the mean wait."""
    plays = [play(Random(seed), factor, per_s, learns) for seed in SEEDS]
    gaps_ms = sorted(gap for each in plays for gap in each.gaps_ms)
    return (
        sum(gap > GAP_MS for gap in gaps_ms) / len(gaps_ms),
        gaps_ms[int(0.99 * len(gaps_ms))],
        statistics.mean(wait for each in plays for wait in each.waits_ms),
        statistics.mean(each.moved for each in plays),
    )


@pytest.mark.parametrize("per_s", [2.0, 2.6])
def test_prompts_on_a_slow_engine_stall_no_streams(per_s):
    """129 of 232 long streams on slow engines had a gap over the allowed one.

    The pacer took them for engines that read 1.7 times as fast, so that prompts took
    0.85 of their time.
    """
    late_before, *_ = played(1.7, per_s, learns=False)
    late, gap_ms, _, moved = played(1.7, per_s, learns=True)
    assert late_before > 0.04
    assert late < 0.015
    assert late < late_before / 8
    assert gap_ms <= GAP_MS
    assert moved < 0.1


@pytest.mark.parametrize("per_s", [4.3, 6.0])
def test_an_engine_that_seems_faster_than_assumed_is_paced_as_before(per_s):
    """Guards against pauses where events are short because they hold few tokens."""
    assert played(0.7, per_s, learns=True) == played(0.7, per_s, learns=False)
    assert pace_of(EngineSpeed(28.0, 40.0, 60.0), 11, BATCH) == ASSUMED_PACE


def test_an_engine_as_fast_as_assumed_is_paced_as_before():
    late_before, gap_before_ms, wait_before_ms, _ = played(1.0, 3.0, learns=False)
    late, gap_ms, wait_ms, _ = played(1.0, 3.0, learns=True)
    assert late == late_before == 0
    assert gap_ms < 1.1 * gap_before_ms
    assert wait_ms < wait_before_ms + 2
    assert pace_of(EngineSpeed(42.0, 60.0, 40.0), 11, BATCH) == ASSUMED_PACE
    assert pace_of(EngineSpeed(), 11, BATCH) == ASSUMED_PACE


@pytest.mark.parametrize("gap_ms", [0.0, -1.0, 50.0, 300.0, 1e6])
def test_any_gap_and_speed_give_each_prompt_a_turn(gap_ms):
    for speed in (EngineSpeed(12, 700, 10), EngineSpeed(180, 720, 150)):
        pacer = PromptPacer(lambda speed=speed: pace_of(speed, 12, BATCH))
        waits = [pacer.reserve(826, gap_ms, 5.0) for _ in range(20)]
        assert waits == sorted(waits)
        assert 0 <= waits[0] <= waits[-1] < 60
