"""Tests of the demonstration's own checks: an expectation that fails is told."""

from hawthornlead.tests import demo
from hawthornlead.tests.fleets import Reply

HEAD = b'data: {"id": "r", "adapter": "tide", "version": "1", "offset": 0}\n\n'
TOKEN = b'data: {"i": 0, "t": "low "}\n\n'


def test_expectation_that_fails_is_kept_and_told(capsys):
    checks = demo.Checks()
    checks.expect(True, "the first holds")
    checks.expect(False, "the second holds", "no-slot")
    assert checks.failed == ("the second holds",)
    assert "FAILED  the second holds; found: no-slot" in capsys.readouterr().out


def test_stream_is_whole_only_with_its_end_marker():
    end = b'data: {"done": true, "count": 1}\n\n'
    whole = demo.read_answer(Reply(200, {}, HEAD + TOKEN + end))
    assert (whole.adapter, whole.version, whole.count) == ("tide", "1", 1)
    assert whole.whole
    assert not demo.read_answer(Reply(200, {}, HEAD + TOKEN)).whole
    assert not demo.read_answer(Reply(599, {}, b"")).whole
    error = b'event: error\ndata: {"error": "answer-cut", "ran": "may have run"}\n\n'
    cut = demo.read_answer(Reply(200, {}, HEAD + TOKEN + error))
    assert not cut.whole
    assert cut.fields["error"] == "answer-cut"
