"""Tests of the judge, of histories and time lines, and of the files of the package."""

import ast
from pathlib import Path

import conformance.judge
from conformance.judge import RULES, Index
from conformance.records import History
from conformance.tests.histories import (
    Writer,
    broken,
    exchange,
    pieces,
    states,
    streamed,
)
from conformance.timelines import time_line

FOLDER = Path(conformance.judge.__file__).parent
MOST_LINES = 400


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
        assert len(path.read_text().splitlines()) <= MOST_LINES, path.name
