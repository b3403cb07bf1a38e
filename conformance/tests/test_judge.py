"""Tests of the judge: each rule kept, and broken by the least amount."""

import ast
from pathlib import Path

import pytest

import conformance.response_rules
import conformance.run_rules  # noqa: F401
from conformance.judge import RULES, Index, judge
from conformance.records import History
from conformance.tests.histories import BODY, Writer
from conformance.timelines import time_line

FOLDER = Path(conformance.judge.__file__).parent
MOST_LINES = 400


def states(writer):
    """Return the state of each rule."""
    return {verdict.rule: verdict.state for verdict in judge(writer.history)}


def broken(writer):
    """Return the names of the rules that were broken."""
    return {name for name, state in states(writer).items() if state == "broken"}


def exchange(path="/safe/1", service="plain", **answer):
    """Return a history up to the response of a target, which came beside a copy."""
    writer = Writer()
    writer.send(path=path)
    writer.arrive(path=path, service=service)
    writer.run()
    writer.extra()
    writer.answer(**answer)
    return writer


def streamed(path="/recap/1", last=4, sent=100):
    """Return a history up to the stream of a target, which came beside a copy."""
    writer = Writer()
    writer.send(path=path)
    writer.arrive(path=path, service="scribe")
    writer.run()
    writer.extra()
    writer.stream(last=last, sent=sent)
    return writer


def pieces(*numbers, writer=1):
    """Return events of one arrival."""
    return [(writer, number) for number in numbers]


def test_an_empty_history_holds_no_rule():
    """Guards against a rule that counts as held without a case."""
    assert set(states(Writer()).values()) == {"not tested"}


def test_undisturbed_traffic_tests_no_rule_on_disturbed_responses():
    """Guards against a calm run that reads as a proof."""
    writer = Writer()
    writer.send()
    writer.arrive()
    writer.run()
    writer.answer()
    writer.receive()
    held = {name for name, state in states(writer).items() if state == "held"}
    assert held == {"UNASKED"}
    assert not broken(writer)


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


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_request_that_was_refused_does_not_run(status):
    """Guards against a promise that the run of the request breaks."""
    writer = Writer()
    writer.send()
    writer.arrive()
    writer.receive(status=status, seal="")
    assert states(writer)["REFUSED"] == "held"
    writer.run()
    assert broken(writer) == {"REFUSED"}


@pytest.mark.parametrize("status", [0, 502, 504])
def test_a_failure_that_promises_nothing_may_have_run(status):
    """Guards against a judge that reads a promise into every failure."""
    writer = exchange(sent=0)
    writer.receive(status=status, seal="")
    assert not broken(writer)


@pytest.mark.parametrize(
    ("path", "service"), [("/unsafe/1", "other"), ("/recap/1", "scribe")]
)
def test_a_request_that_may_not_be_repeated_runs_once(path, service):
    """Guards against a second run, which a refusal at another target is not."""
    writer = exchange(path, service, sent=50)
    writer.arrive(2, path=path, service=service, target="t2")
    assert states(writer)["TWICE"] == "held"
    writer.run(2)
    assert broken(writer) == {"TWICE"}


@pytest.mark.parametrize(
    ("path", "service"), [("/safe/1", "plain"), ("/ruling/1", "scribe")]
)
def test_a_request_that_may_be_repeated_runs_twice(path, service):
    """Guards against a judge that takes a right second run for a wrong one."""
    writer = exchange(path, service, sent=50)
    writer.arrive(2, path=path, service=service, target="t2")
    writer.run(2)
    assert not broken(writer)


@pytest.mark.parametrize(
    "changed",
    [
        {"request": "r2"},
        {"method": "GET"},
        {"path": "/safe/1?"},
        {"body": "0" * 32},
        {"headers": ["daka/a1", "100,40", ""]},
        {"headers": ["daka/a1", "100,41", "5c1e:60"]},
        {"headers": ["daka/a2", "100,40", "5c1e:60"]},
    ],
)
def test_a_request_reaches_its_target_as_it_was_sent(changed):
    """Guards against a request that no caller sent, or not in this form."""
    writer = Writer()
    writer.send()
    writer.arrive()
    assert states(writer)["UNASKED"] == "held"
    writer.arrive(2, **changed)
    assert broken(writer) == {"UNASKED"}


def test_a_request_runs_at_a_service_of_its_route():
    """Guards against the service of a shorter prefix."""
    writer = Writer()
    writer.send(path="/safe/deep/1")
    writer.arrive(path="/safe/deep/1", service="other")
    writer.run()
    assert states(writer)["ROUTE"] == "held"
    writer.arrive(2, path="/safe/deep/1", service="plain")
    assert states(writer)["ROUTE"] == "held"
    writer.run(2)
    assert broken(writer) == {"ROUTE"}


def test_a_request_that_only_one_route_fits_is_no_test_of_routes():
    """Guards against a route that is held where nothing could go wrong."""
    writer = Writer()
    writer.send()
    writer.arrive()
    writer.run()
    assert states(writer)["ROUTE"] == "not tested"


def drained(late_s, trouble_at=None, kind="vm"):
    """Return a history in which a request comes so late after its target left."""
    writer = Writer()
    writer.at = 10.0
    writer.send("r1")
    writer.arrive(1, "r1")
    writer.leave()
    left = writer.at
    if trouble_at is not None:
        writer.at = left + trouble_at
        writer.trouble(kind)
    writer.at = left + late_s - 0.02
    writer.send("r2")
    writer.arrive(2, "r2")
    return writer


def test_a_request_reaches_a_target_that_has_left_for_long():
    """Guards against requests to a target that is known to leave."""
    assert not broken(drained(2.05))
    assert broken(drained(2.2)) == {"DRAIN"}


def test_a_request_to_another_target_puts_the_drain_to_the_test():
    """Guards against a drain that is held although nobody asked for the service."""
    writer = drained(1.0)
    assert states(writer)["DRAIN"] == "not tested"
    writer.at += 2.0
    writer.send("r3")
    writer.arrive(3, "r3", target="t2")
    assert states(writer)["DRAIN"] == "held"


@pytest.mark.parametrize("kind", ["vm", "store"])
def test_a_vm_out_of_touch_may_not_know_that_a_target_leaves(kind):
    """Guards against a judge that asks for news that couldn't come."""
    assert not broken(drained(2.2, trouble_at=1.0, kind=kind))
    assert not broken(drained(2.2, trouble_at=-2.9, kind=kind))
    assert broken(drained(2.2, trouble_at=-3.1, kind=kind)) == {"DRAIN"}


def test_a_disturbed_target_excuses_no_drain():
    """Guards against an excuse by what disturbs no VM."""
    assert broken(drained(2.2, trouble_at=1.0, kind="target")) == {"DRAIN"}


def test_a_history_is_the_same_after_it_was_saved(tmp_path):
    """Guards against records that are lost or changed in the file."""
    writer = streamed("/ruling/1", sent=50)
    writer.receive_events(pieces(1, 2, 4))
    path = tmp_path / "history.jsonl"
    writer.history.save(path)
    assert list(History.load(path)) == list(writer.history)


def test_a_time_line_names_sender_receiver_and_connections():
    """Guards against a report that doesn't show where the request went."""
    writer = exchange(sent=99)
    writer.receive(status=502, seal="")
    lines = "\n".join(time_line(Index(writer.history), "r1"))
    for words in ("to edge-1 on c1#1", "reaches t1", "on t1#1", "receives 502"):
        assert words in lines


def test_every_rule_has_a_row_on_the_page():
    """Guards against a rule that the page doesn't explain."""
    page = FOLDER.parent / "docs/design/conformance.md"
    rows = [line for line in page.read_text().splitlines() if line.startswith("|")]
    for name in RULES:
        assert any(row.startswith(f"| {name} |") for row in rows), name


def imported(path):
    """Return the names of all modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and not node.level:
            yield node.module or ""
        elif isinstance(node, ast.Call):
            yield from (
                each.value
                for each in node.args
                if isinstance(each, ast.Constant) and isinstance(each.value, str)
            )


def test_nothing_here_imports_the_product():
    """Guards against a judge that shares a fault with what it judges."""
    for path in sorted(FOLDER.rglob("*.py")):
        for name in imported(path):
            assert name.split(".")[0] != "hawthornlead", f"{path.name} imports {name}"


def test_no_file_has_grown_too_long():
    """Guards against modules that do several jobs."""
    for path in sorted(FOLDER.rglob("*.py")):
        if path.parent.name != "tests":
            assert len(path.read_text().splitlines()) <= MOST_LINES, path.name
