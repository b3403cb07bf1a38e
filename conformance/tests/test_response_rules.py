"""Tests of the rules on responses: each kept, and broken by the least amount."""

import pytest

from conformance.tests.histories import (
    BODY,
    broken,
    exchange,
    pieces,
    states,
    streamed,
)


def test_a_whole_response_to_its_own_request_is_held():
    """Guards against a judge that breaks a rule over a right response."""
    writer = exchange()
    writer.receive()
    assert not broken(writer)
    assert states(writer)["MIXED-1"] == states(writer)["MIXED-2"] == "held"


def test_a_success_without_a_seal_is_no_targets():
    """Guards against a success that no target gave."""
    writer = exchange()
    writer.receive(seal="")
    assert broken(writer) == {"MIXED-1"}


def test_a_success_where_the_target_failed():
    """Guards against the status of a copy over the head of a refusal."""
    writer = exchange(status=503)
    writer.receive()
    assert broken(writer) == {"MIXED-1"}


def test_one_other_byte_in_a_success():
    """Guards against a body that was filled up to its length by other bytes."""
    writer = exchange()
    writer.receive(body=BODY[:-1] + b"H")
    assert broken(writer) == {"MIXED-1"}


def test_a_success_that_breaks_off_needs_no_whole_body():
    """Guards against a judge that asks for a body that the framing says is missing."""
    writer = exchange(sent=99)
    writer.receive(body=BODY[:-1], complete=False)
    assert not broken(writer)
    assert states(writer)["MIXED-4"] == "held"


def test_a_response_with_the_id_of_another_request():
    """Guards against a response that goes to another caller by its name."""
    writer = exchange()
    writer.receive(names="r2")
    assert broken(writer) == {"MIXED-2"}


def test_a_response_with_the_seal_of_another_request():
    """Guards against another caller's response under the right name."""
    writer = exchange()
    writer.send("r2")
    writer.arrive(2, "r2")
    writer.run(2)
    writer.answer(2)
    writer.receive(seal="seal-2")
    assert broken(writer) == {"MIXED-2"}


def test_bytes_on_an_idle_connection():
    """Guards against a response where no request is waiting."""
    writer = exchange()
    writer.receive()
    writer.idle_bytes()
    assert broken(writer) == {"MIXED-2"}


def test_a_sealed_failure_keeps_its_status():
    """Guards against a judge that breaks a rule over a right failure."""
    writer = exchange(status=500)
    writer.receive(status=500)
    assert not broken(writer)
    assert states(writer)["MIXED-3"] == "held"


@pytest.mark.parametrize("given", [500, 200])
def test_a_sealed_failure_with_another_status(given):
    """Guards against a target's failure, or success, that turns into another one."""
    writer = exchange(status=given)
    writer.receive(status=502)
    assert broken(writer) == {"MIXED-3"}


def test_a_failure_without_a_seal_is_the_systems_own():
    """Guards against a judge that asks for a seal in a failure of the system."""
    writer = exchange(sent=99)
    writer.receive(status=502, seal="")
    assert not broken(writer)


def test_a_response_that_looks_complete_a_byte_too_early():
    """Guards against a cut that the framing hides."""
    writer = exchange(sent=99)
    writer.receive(body=BODY[:-1])
    assert broken(writer) == {"MIXED-4"}


def test_a_failure_that_looks_complete_a_byte_too_early():
    """Guards against a cut failure that the framing hides."""
    writer = exchange(status=500, sent=99)
    writer.receive(status=500, body=BODY[:-1])
    assert broken(writer) == {"MIXED-4"}


def test_a_whole_stream_is_held():
    """Guards against a judge that breaks a rule over a right stream."""
    writer = streamed()
    writer.receive_events(pieces(1, 2, 3, 4))
    assert not broken(writer)
    assert states(writer)["ORDER"] == "held"


def test_a_stream_that_ends_as_complete_before_its_last_event():
    """Guards against a cut stream that looks complete."""
    writer = streamed(sent=99)
    writer.receive_events(pieces(1, 2, 3))
    assert broken(writer) == {"MIXED-4", "ORDER"}


def test_a_stream_that_breaks_off_may_be_shorter():
    """Guards against a judge that takes a break for an end."""
    writer = streamed(sent=99)
    writer.receive_events(pieces(1, 2, 3), complete=False, tail=7)
    assert not broken(writer)


def test_a_complete_stream_with_half_an_event_at_its_end():
    """Guards against a piece of an event after the last one."""
    writer = streamed()
    writer.receive_events(pieces(1, 2, 3, 4), tail=1)
    assert broken(writer) == {"MIXED-4"}


def test_a_response_without_events_on_a_route_of_streams():
    """Guards against a whole body that is taken for a stream without its end."""
    writer = exchange("/recap/1", "scribe")
    writer.receive()
    assert not broken(writer)


@pytest.mark.parametrize(
    "numbers", [(1, 2, 4), (1, 2, 2, 3, 4), (2, 3, 4), (1, 3, 2, 4)]
)
def test_events_missing_repeated_or_out_of_order(numbers):
    """Guards against a single event that is missing, doubled or misplaced."""
    writer = streamed()
    writer.receive_events(pieces(*numbers))
    assert broken(writer) == {"ORDER"}


def test_an_event_that_no_target_wrote():
    """Guards against half an event that is joined to another one."""
    writer = streamed()
    writer.receive_events([*pieces(1, 2, 3), (9, 4)])
    assert broken(writer) == {"ORDER"}


def test_a_stream_that_may_not_be_taken_up_holds_events_of_two_runs():
    """Guards against a stream that goes on at another run without leave."""
    writer = streamed(sent=50)
    writer.arrive(2, path="/recap/1", service="scribe", target="t2")
    writer.stream(2, number=3)
    writer.receive_events([*pieces(1, 2), *pieces(3, 4, writer=2)])
    assert broken(writer) == {"ORDER"}


@pytest.mark.parametrize("software", ["v1", "v2"])
def test_a_stream_goes_on_at_the_software_version_that_began_it(software):
    """Guards against a stream that is joined from two software versions."""
    writer = streamed("/ruling/1", sent=50)
    writer.arrive(2, "r1", "/ruling/1", "t2", "scribe", software)
    writer.run(2)
    writer.stream(2, number=3)
    writer.receive_events([*pieces(1, 2), *pieces(3, 4, writer=2)])
    assert broken(writer) == ({"ORDER"} if software == "v2" else set())


@pytest.mark.parametrize("software", ["v1", "v2"])
def test_a_stream_is_taken_up_after_the_last_event_that_came(software):
    """Guards against a request that takes a stream up at another version."""
    writer = streamed("/ruling/1", sent=50)
    writer.receive_events(pieces(1, 2), complete=False)
    writer.send("r2", "/ruling/1", first="r1", after=2)
    writer.arrive(2, "r2", "/ruling/1", "t2", "scribe", software)
    writer.run(2)
    writer.stream(2, number=3)
    writer.receive_events(pieces(3, 4, writer=2), "r2", seal="seal-2")
    assert broken(writer) == ({"ORDER"} if software == "v2" else set())


@pytest.mark.parametrize("numbers", [(4,), (2, 3, 4)])
def test_a_stream_is_taken_up_one_event_off(numbers):
    """Guards against a take-up that leaves an event out or brings it twice."""
    writer = streamed("/ruling/1", sent=50)
    writer.receive_events(pieces(1, 2), complete=False)
    writer.send("r2", "/ruling/1", first="r1", after=2)
    writer.arrive(2, "r2", "/ruling/1", "t2", "scribe")
    writer.stream(2, number=numbers[0])
    writer.receive_events(pieces(*numbers, writer=2), "r2", seal="seal-2")
    assert broken(writer) == {"ORDER"}
