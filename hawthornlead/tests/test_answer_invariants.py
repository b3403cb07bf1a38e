"""The invariants of an answer on its way to a caller can break."""

import pytest

from hawthornlead.callers.attempts import _Receiver
from hawthornlead.callers.relays import AnswerCheck, Expected
from hawthornlead.invariants import InvariantBroken

from .fakes_targets import make_parts

HEAD = b'data: {"id": "r.1", "adapter": "tide", "version": "3", "offset": 0}\n\n'
TOKEN = b'data: {"i": 0, "t": "a"}\n\n'


class _Exchange:
    """An exchange whose response has no refusal."""

    head = None

    def close(self):
        """Nothing is open."""


class _Sink:
    """Keeps what went on to the caller."""

    gone = False

    def __init__(self):
        self.taken = b""

    def write(self, events):
        self.taken += events


class _Careless(AnswerCheck):
    """A check with a fault: it lets the answer to another attempt pass."""

    @property
    def named(self):
        return ("r.2", "tide", "3", 0)


class _Doubling(AnswerCheck):
    """A check with a fault: it hands tokens on twice and counts them once."""

    def feed(self, data):
        return super().feed(data).map(lambda events: events + events)


def received(check_class, *chunks) -> _Sink:
    parts, sink = make_parts(), _Sink()
    check = check_class(Expected("r.1", "tide", "3", 0))
    receiver = _Receiver(check, sink, _Exchange(), parts.metrics, parts.invariants)
    for chunk in chunks:
        receiver.on_data(chunk)
    return sink


def test_an_own_answer_goes_on():
    assert received(AnswerCheck, HEAD, TOKEN).taken == TOKEN


def test_the_answer_to_another_attempt_breaks_an_invariant():
    """A caller would read another caller's briefing, and nobody would notice."""
    with pytest.raises(InvariantBroken, match="answer-names-its-assignment"):
        received(_Careless, HEAD, TOKEN)


def test_tokens_handed_on_and_not_counted_break_an_invariant():
    """A token goes to the caller twice though the end marker's count is right."""
    with pytest.raises(InvariantBroken, match="tokens-counted"):
        received(_Doubling, HEAD, TOKEN)
