"""Tests of the load orders."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornlead.decisions.load_orders import LOAD_ORDERS, LoadRequest
from hawthornlead.settings import default_settings


def sort(name, *requests):
    order = LOAD_ORDERS[name](settings=default_settings())
    return [request.adapter for request in sorted(requests, key=order.key)]


def make(adapter, priority=0, deadline_at=math.inf, asked_at=0.0, waiting=1):
    return LoadRequest(adapter, "1", priority, deadline_at, asked_at, waiting)


def test_arrival_order():
    late = make("late", priority=9, asked_at=2.0)
    assert sort("arrival", late, make("early", asked_at=1.0)) == ["early", "late"]


def test_priority_goes_first_among_equals():
    assert sort("deadline", make("low", 1), make("high", 9)) == ["high", "low"]


def test_low_priority_is_not_starved():
    """A burst of urgent loads exceeds the weight store's bandwidth for minutes.

    If priority alone decides, a caller of priority 0 waits until the burst is over. It
    must wait no longer than the leads allow.
    """
    old = make("old", priority=0)
    assert sort("deadline", make("new", 9, asked_at=20.0), old) == ["old", "new"]


def test_a_close_deadline_goes_before_an_earlier_request():
    due = make("due", deadline_at=2.0, asked_at=1.0)
    assert sort("deadline", make("early"), due) == ["due", "early"]


def test_many_waiting_go_before_one():
    many = make("many", asked_at=1.0, waiting=8)
    assert sort("deadline", make("one"), many) == ["many", "one"]


def test_a_load_ahead_never_delays_a_request():
    ahead = make("ahead", priority=9, deadline_at=0.0, waiting=0)
    assert sort("deadline", ahead, make("one", asked_at=5.0)) == ["one", "ahead"]


@settings(derandomize=True, max_examples=50)
@given(
    waiting=st.integers(1, 1000),
    newer=st.integers(1, 64),
    gap=st.floats(12.0, 100.0),
)
def test_a_load_overtakes_only_for_a_bounded_time(waiting, newer, gap):
    """A request for a cold adapter waits forever behind a stream of busier adapters.

    Even with 64 requests waiting for it, a load requested 12 s later must not go first.
    """
    old = make("old", waiting=waiting)
    other = make("new", asked_at=gap, waiting=newer)
    assert sort("deadline", other, old) == ["old", "new"]
