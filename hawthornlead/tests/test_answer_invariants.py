"""Tests that the invariants of relayed answers detect violations."""

import pytest

from hawthornlead.callers.attempts import _Receiver
from hawthornlead.callers.relays import AnswerCheck, Expected
from hawthornlead.invariants import InvariantBroken

from .fakes_targets import make_parts

HEAD = b'data: {"id": "r.1", "adapter": "tide", "version": "3", "offset": 0}\n\n'
TOKEN = b'data: {"i": 0, "t": "a"}\n\n'


class _Exchange:
    """An exchange whose response is no refusal."""

    head = None

    def close(self):
        """Do nothing; no connection is open."""


class _Sink:
    """Keeps what was forwarded to the caller."""

    gone = False

    def __init__(self):
        self.written = b""

    def write(self, events):
        self.written += events


class _Careless(AnswerCheck):
    """A faulty check, which lets the answer to another attempt pass."""

    @property
    def named(self):
        return ("r.2", "tide", "3", 0)


class _Doubling(AnswerCheck):
    """A faulty check, which forwards tokens twice and counts them once."""

    def feed(self, data):
        return super().feed(data).map(lambda events: events + events)


def received(check_class, *chunks) -> _Sink:
    parts, sink = make_parts(), _Sink()
    check = check_class(Expected("r.1", "tide", "3", 0))
    receiver = _Receiver(check, sink, _Exchange(), parts.metrics, parts.invariants)
    for chunk in chunks:
        receiver.on_data(chunk)
    return sink


def test_the_expected_answer_is_forwarded():
    assert received(AnswerCheck, HEAD, TOKEN).written == TOKEN


def test_the_answer_to_another_attempt_breaks_an_invariant():
    """A caller would get another caller's answer unnoticed."""
    with pytest.raises(InvariantBroken, match="answer-names-its-assignment"):
        received(_Careless, HEAD, TOKEN)


def test_tokens_forwarded_and_not_counted_break_an_invariant():
    """A token is sent to the caller twice, although the end marker's count is right."""
    with pytest.raises(InvariantBroken, match="tokens-counted"):
        received(_Doubling, HEAD, TOKEN)
