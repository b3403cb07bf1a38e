"""Tests of the popularity strategies."""

import math

import pytest

from hawthornlead.decisions.popularities import EXPIRE_INTERVAL, POPULARITIES
from hawthornlead.settings import default_settings


def make_counters(**overrides):
    return POPULARITIES["decayed"](settings=default_settings(**overrides))


def test_steady_rate_is_learned():
    counters = make_counters()
    for second in range(4000):
        counters.observe("tides", float(second), count=2)
    assert counters.rate("tides", 4000.0) == pytest.approx(2.0, rel=0.05)


def test_rate_halves_in_a_half_life():
    counters = make_counters(SLOW_HALF_LIFE_S=100.0, FAST_HALF_LIFE_S=100.0)
    counters.observe("tides", 0.0)
    assert counters.rate("tides", 100.0) == pytest.approx(
        counters.rate("tides", 0.0) / 2
    )


def test_a_single_request_does_not_look_hot():
    """A hot adapter, requested every 20 s, has just been idle for 20 s.

    A single request a moment ago must count less, a burst of four must count more.
    """
    counters = make_counters()
    for second in range(0, 600, 20):
        counters.observe("hot", float(second))
    counters.observe("once", 599.0)
    for step in range(4):
        counters.observe("burst", 599.0 + step / 10)
    assert counters.rate("once", 600.0) < counters.rate("hot", 600.0)
    assert counters.rate("hot", 600.0) < counters.rate("burst", 600.0)


def test_share_scales_to_all_vms():
    counters = make_counters()
    counters.observe("tides", 0.0)
    alone = counters.rate("tides", 1.0)
    counters.share = 0.25
    assert counters.rate("tides", 1.0) == pytest.approx(4 * alone)


def test_unknown_adapter():
    counters = make_counters()
    assert counters.rate("none", 1.0) == 0.0
    assert counters.seen_at("none") == -math.inf


def test_idle_adapters_are_expired():
    """Memory grows without bound if every adapter ever requested is kept.

    Adapters come and go for weeks. Fully decayed counters must be removed, and busy
    ones kept.
    """
    counters = make_counters()
    for number in range(3 * EXPIRE_INTERVAL):
        counters.observe(f"adapter-{number}", 10.0 * number)
        counters.observe("busy", 10.0 * number)
    assert len(counters) < EXPIRE_INTERVAL
    assert counters.rate("busy", 30.0 * EXPIRE_INTERVAL) > 0
