"""Tests of the comparison of rules by which adapters leave an engine's slots."""

import pytest
from click.testing import CliRunner

from hawthornlead.bench import benches
from hawthornlead.bench.bench_slots import (
    EVICTION_RULES,
    SlotDemand,
    draw_requests,
    play_slots,
)

DEMAND = SlotDemand(slots=5, per_s=6.0, duration_s=60.0)


def test_the_same_seed_draws_the_same_requests():
    assert draw_requests(DEMAND, 11) == draw_requests(DEMAND, 11)
    assert draw_requests(DEMAND, 11) != draw_requests(DEMAND, 12)


@pytest.mark.parametrize("rule", EVICTION_RULES)
def test_a_rule_serves_or_refuses_each_request(rule):
    figures = play_slots(rule, DEMAND, 11)
    assert figures.requests == len(draw_requests(DEMAND, 11))
    assert 0 <= figures.fetches <= figures.loads
    assert figures.loads + figures.refused <= figures.requests


@pytest.mark.parametrize("slots", [5, 19])
def test_no_rule_loads_less_than_the_one_that_knows_the_future(slots):
    demand = DEMAND._replace(slots=slots, per_s=1.2 * slots)
    least = play_slots("belady", demand, 11)
    for rule in EVICTION_RULES:
        assert play_slots(rule, demand, 11).loads >= 0.97 * least.loads, rule


def test_what_an_engine_remembers_decides_fetches_more_than_any_rule_does():
    """Much effort goes into a rule for eviction, and fetches stay as they are.

    What has left an engine lately is loaded again without a fetch, so that another
    rule only changes which adapters are loaded again soon.
    """
    fetches = [play_slots(rule, DEMAND, 11).fetches for rule in EVICTION_RULES]
    assert max(fetches) <= 1.1 * min(fetches)
    forgetful = DEMAND._replace(remembered_each_slot=0)
    assert play_slots("use", forgetful, 11).fetches > 1.15 * max(fetches)


def test_the_command_prints_a_table_and_draws_a_plot(tmp_path, monkeypatch):
    monkeypatch.setattr(benches, "RESULTS", tmp_path)
    arguments = ["evictions", "--rule", "lru", "--rule", "belady", "--seeds", "1"]
    done = CliRunner().invoke(benches.main, arguments)
    assert done.exit_code == 0, done.output
    assert "| belady |" in done.output
    assert (tmp_path / "evictions-5.json").exists()
    assert (tmp_path / "evictions-5.png").stat().st_size > 1000
