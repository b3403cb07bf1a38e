"""Tests of the tables of docs/CAPACITY.md."""

import pytest

from .capacity_fits import TABLES, Fit, fit
from .capacity_tables import PAGE, outcome, with_tables
from .measure_tools import metric_sums


def test_page_holds_the_tables_of_the_committed_measurements():
    text = PAGE.read_text(encoding="utf-8")
    assert with_tables(text) == text, "run scripts/capacity"


def test_every_table_stands_in_the_page():
    text = PAGE.read_text(encoding="utf-8")
    for name in TABLES:
        assert f"<!-- table {name} -->" in text


def test_fit_finds_a_line_and_tells_the_worst_distance():
    line = fit([(1, 3.0), (2, 5.0), (3, 7.0)])
    assert line.at(10) == pytest.approx(21)
    assert line.worst == pytest.approx(0)
    assert fit([(0, 0.0), (1, 1.0), (2, 0.0)]).worst == pytest.approx(2 / 3)


def test_sizes_beyond_the_measured_are_marked():
    line = Fit(1.0, 0.0, largest=24, worst=0.0)
    assert line.mark(24) == "within what was measured"
    assert line.mark(360) == "extrapolated ×15.0"


def test_a_broken_limit_is_said_plainly():
    assert outcome(1.0, 4.0) == "holds (25% of it)"
    assert outcome(8.0, 4.0) == "**broken, 2.0 times**"


def test_metrics_are_summed_by_a_label():
    page = (
        'sent_total{direction="out",message="a"} 3.0\n'
        'sent_total{direction="in",message="a"} 2.0\n'
        'sent_total{direction="out",message="b"} 1.5\n'
        'sent_created{direction="out",message="b"} 9.0\n'
    )
    assert metric_sums(page, "sent_total", "direction") == {"out": 4.5, "in": 2.0}
