"""Tests of the order in which requests get slots of an engine."""

from hypothesis import given
from hypothesis import strategies as st

from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.slot_queues import INITIAL_INTERVAL_S, SlotQueue, SlotRequest


def slot_request(name, rank=1, due_at=10.0, until=10.0):
    return SlotRequest(AdapterKey("tide", name), rank, due_at, until)


def served(queue, now):
    """Return the adapters in the order in which they get slots."""
    names = []
    waiting = list(queue._waiting)
    while waiting:
        first = next(each for each in waiting if queue.is_next(each.key, now))
        names.append(first.key.adapter)
        for each in [each for each in waiting if each.key == first.key]:
            queue.remove(each)
            waiting.remove(each)
    return names


def test_the_more_urgent_route_is_served_first():
    """The most urgent callers are refused most often.

    Their requests were treated like any other, so the few slots that became free went
    to whoever asked at the right moment.
    """
    queue = SlotQueue()
    queue.add(slot_request("note", rank=1, due_at=5.0))
    queue.add(slot_request("guide", rank=0, due_at=6.0))
    queue.add(slot_request("early-note", rank=1, due_at=4.0))
    assert served(queue, now=1.0) == ["guide", "early-note", "note"]


def test_requests_in_time_come_before_late_ones():
    """All requests are late, although there are slots for most.

    In order of arrival, requests whose objective had passed took the slots of later
    requests, which were then late as well.
    """
    queue = SlotQueue()
    queue.add(slot_request("late", rank=0, due_at=1.0))
    queue.add(slot_request("in-time", rank=1, due_at=3.0))
    assert served(queue, now=2.0) == ["in-time", "late"]


def test_requests_for_one_adapter_count_once():
    queue = SlotQueue()
    for _ in range(3):
        queue.add(slot_request("a1", due_at=4.0))
    assert queue.expected_wait(slot_request("a2"), now=1.0) == 2 * INITIAL_INTERVAL_S
    assert queue.expected_wait(slot_request("a1"), now=1.0) == INITIAL_INTERVAL_S


def test_the_expected_wait_follows_the_rate_of_free_slots():
    queue = SlotQueue()
    for taken in range(20):
        queue.record_taken(taken / 10)
    assert queue.expected_wait(slot_request("a1"), now=1.95) == 0.1
    slow = SlotQueue()
    slow.record_taken(0.0)
    assert slow.expected_wait(slot_request("a1"), now=1.0) > INITIAL_INTERVAL_S


@given(st.lists(st.tuples(st.integers(0, 2), st.floats(0, 9)), max_size=12))
def test_each_request_is_next_once_and_an_empty_queue_remains(requests):
    queue = SlotQueue()
    for number, (rank, due_at) in enumerate(requests):
        queue.add(slot_request(f"a{number}", rank, due_at))
    names = served(queue, now=5.0)
    assert len(names) == len(requests) == len(set(names))
    assert len(queue) == 0
