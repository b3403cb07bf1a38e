"""Tests of places counted over all VMs, and of the order of who waits for one."""

import pytest

from hawthornlead.admission.place_books import Grant, PlaceBook
from hawthornlead.admission.place_gates import Admission, PlaceGate
from hawthornlead.admission.place_queues import (
    STARVING_SHARE,
    PlaceQueue,
    PlaceRequest,
)
from hawthornlead.shares.fair_shares import FairShares


def request(number, rank=1, due_at=1.0, until=2.0, **fields):
    return PlaceRequest("vm-1", number, rank, due_at, until, **fields)


def gate(places=2, hold_s=0.1, shares=None, **fields):
    queue = PlaceQueue(shares)
    return PlaceGate(places=places, book=PlaceBook(hold_s), queue=queue, **fields)


def fill(target, now=0.0):
    for number in range(100, 100 + target.places):
        assert target.ask(request(number), now).outcome is Admission.GRANTED


def served(target, count, now):
    """Return the numbers of the next waiting requests that get places."""
    numbers = []
    for number in range(100, 100 + count):
        numbers += [each.number for each in target.end("vm-1", number, now)]
    return numbers


def test_in_time_goes_before_late_then_rank_then_due_time():
    target = gate(places=5, hold_s=0.01)
    fill(target)
    waiting = [
        request(1, rank=0, due_at=-0.05),
        request(2, rank=2, due_at=0.3),
        request(3, rank=1, due_at=0.8),
        request(4, rank=1, due_at=0.4),
        request(5, rank=0, due_at=0.9),
    ]
    for each in waiting:
        assert target.ask(each, 0.0).outcome is Admission.WAITS
    assert served(target, 5, 0.0) == [5, 4, 3, 2, 1]


def test_a_starving_request_is_served_though_others_are_always_in_time():
    """A late request waits for ever while new ones in time keep arriving."""
    target = gate(places=1, hold_s=0.01)
    fill(target)
    target.ask(request(1, due_at=0.0, until=90.0), 0.1)
    order = []
    held = 100
    for number in range(2, 40):
        now = 0.2 + number / 10
        target.ask(request(number, due_at=now + 1.0, until=now + 50.0), now)
        order += [each.number for each in target.end("vm-1", held, now)]
        held = order[-1]
    assert order.index(1) < STARVING_SHARE


def test_a_request_that_cannot_be_served_in_its_wait_is_refused_at_once():
    target = gate(places=2, hold_s=0.2)
    fill(target)
    answer = target.ask(request(1, until=0.05), 0.0)
    assert answer.outcome is Admission.REFUSED
    assert answer.wait_s == pytest.approx(0.1)
    assert target.ask(request(2, until=0.15), 0.0).outcome is Admission.WAITS


def test_the_expected_wait_follows_observed_ends():
    target = gate(places=1, hold_s=5.0)
    for number in range(20):
        target.ask(request(number), number)
        target.end("vm-1", number, number + 0.1)
    assert target.expected_wait(0, 1) == pytest.approx(0.1, abs=0.05)


def test_a_request_beyond_the_memory_waits_like_one_without_a_place():
    target = gate(places=9, tokens=1000)
    target.ask(request(1, tokens=800), 0.0)
    assert target.ask(request(2, tokens=300), 0.0).outcome is Admission.WAITS
    assert [each.number for each in target.end("vm-1", 1, 0.1)] == [2]


def test_a_request_larger_than_the_memory_runs_alone():
    """A declared length beyond the engine's memory kept a request waiting for ever."""
    target = gate(places=9, tokens=1000)
    assert target.ask(request(1, tokens=10**9), 0.0).outcome is Admission.GRANTED


def test_within_a_rank_workspaces_are_served_in_their_fair_order():
    target = gate(places=4, hold_s=0.01, shares=FairShares())
    fill(target)
    for number, key in enumerate(("hot", "hot", "hot", "calm"), 1):
        target.ask(request(number, share_key=key), 0.0)
    assert served(target, 4, 0.0) == [1, 4, 2, 3]


def test_a_workspace_isnt_charged_for_a_request_that_left_unserved():
    """Guards against a workspace that is put off for work that was never done."""
    target = gate(places=4, hold_s=0.01, shares=FairShares())
    fill(target)
    for number, key in enumerate(("calm", "hot", "calm"), 1):
        target.ask(request(number, share_key=key), 0.0)
    target.end("vm-1", 3, 0.0)
    target.ask(request(4, share_key="calm"), 0.0)
    target.ask(request(5, share_key="hot"), 0.0)
    assert served(target, 4, 0.0) == [1, 2, 4, 5]


def test_without_workspaces_the_order_is_that_of_due_times():
    """Guards against another order for deployments without workspaces."""
    target = gate(places=4, hold_s=0.01, shares=FairShares())
    fill(target)
    for number, due_at in enumerate((0.4, 0.2, 0.3), 1):
        target.ask(request(number, due_at=due_at), 0.0)
    assert served(target, 3, 0.0) == [2, 3, 1]


def test_a_request_that_leaves_the_queue_takes_no_place():
    target = gate(places=1)
    fill(target)
    target.ask(request(1), 0.0)
    assert target.end("vm-1", 1, 0.0) == []
    assert (target.waiting, target.book.granted) == (0, 1)


def test_a_place_whose_end_was_lost_lapses():
    book = PlaceBook(0.1)
    book.grant(Grant("vm-1", until=4.0), 0.0)
    book.lapse(3.9)
    assert book.granted == 1
    book.lapse(4.0)
    assert book.granted == 0


def test_the_places_of_a_vm_that_is_gone_lapse():
    seen = {"vm-1"}
    book = PlaceBook(0.1, is_seen=seen.__contains__)
    book.grant(Grant("vm-1", until=60.0), 0.0)
    seen.clear()
    book.lapse(0.5)
    assert book.granted == 1
    book.lapse(2.0)
    assert book.granted == 0


def test_places_lapse_that_announcements_no_longer_show():
    book = PlaceBook(0.1)
    for number in range(3):
        book.grant(Grant("vm-1", 60.0, number), 0.0)
    for now in (1.0, 1.2, 1.4):
        book.apply_announced(1, now, 0.4)
    assert book.running(1.4) == 1


def test_requests_sent_without_a_grant_are_counted_beside_new_grants():
    """A new owner grants a whole batch although the engine's batch is full."""
    book = PlaceBook(0.1)
    book.apply_announced(10, 0.0, 0.4)
    book.grant(Grant("vm-1", 60.0, 1), 0.1)
    book.apply_announced(10, 0.2, 0.4)
    assert book.running(0.2) == 11
    for now in (0.9, 1.1, 1.3):
        book.apply_announced(11, now, 0.4)
    assert book.running(1.3) == 11
