"""Tests of the checks on relayed answers."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from hawthornlead.callers.relays import AnswerCheck, Expected, token_texts
from hawthornlead.errors import ErrorKind


def stream(first=0, texts=("a", "b", "c"), **head):
    fields = {"id": "r.1", "adapter": "tide", "version": "3", "offset": first} | head
    events = [fields]
    events += [{"i": first + i, "t": text} for i, text in enumerate(texts)]
    events.append({"done": True, "count": first + len(texts)})
    return [b"data: " + json.dumps(event).encode() + b"\n\n" for event in events]


def check(offset=0):
    return AnswerCheck(Expected("r.1", "tide", "3", offset))


def feed_all(answer_check, parts):
    passed = b""
    for part in parts:
        fed = answer_check.feed(part)
        if isinstance(fed, Err):
            return fed, passed
        passed += fed.ok_value
    return Ok(None), passed


@settings(derandomize=True, max_examples=200)
@given(
    texts=st.lists(st.text(max_size=8), max_size=12),
    cuts=st.lists(st.integers(0, 2000), max_size=8),
    offset=st.integers(0, 50),
)
def test_any_split_of_a_whole_answer_passes(texts, cuts, offset):
    data = b"".join(stream(first=offset, texts=texts))
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    parts = [data[a:b] for a, b in zip(places, places[1:], strict=False)]
    answer_check = check(offset)
    outcome, passed = feed_all(answer_check, parts)
    assert isinstance(outcome, Ok)
    assert answer_check.done
    assert answer_check.next_index == offset + len(texts)
    assert token_texts(passed) == texts


@pytest.mark.parametrize(
    "head", [{"id": "r.2"}, {"adapter": "lap"}, {"version": "2"}, {"offset": 1}]
)
def test_a_crossed_answer_is_dropped_before_its_first_token(head):
    """A caller gets the answer to another caller's request.

    A target swaps the streams of two runs. The first event then names another
    attempt, adapter, version or offset than was sent.
    """
    outcome, passed = feed_all(check(), stream(**head))
    assert outcome.err_value.kind is ErrorKind.WRONG_ANSWER
    assert passed == b""


@pytest.mark.parametrize("damage", ["doubled", "missing", "after-end", "short"])
def test_a_damaged_stream_is_never_closed_as_whole(damage):
    """An answer with doubled or missing tokens passes as complete.

    A stream is resumed at the wrong offset, or its end is lost and the connection
    closes cleanly. The indexes or the count in the end marker don't match.
    """
    parts = stream()
    if damage == "doubled":
        parts.insert(2, parts[1])
    elif damage == "missing":
        del parts[2]
    elif damage == "after-end":
        parts.append(parts[1])
    else:
        del parts[-1]
    for whole in (parts, [b"".join(parts)]):
        answer_check = check()
        outcome, _ = feed_all(answer_check, whole)
        failed = isinstance(outcome, Err) or not answer_check.done
        assert failed


def test_a_text_that_looks_like_the_end_marker_is_a_token():
    texts = ['data: {"done": true}', '\n\ndata: {"done"']
    answer_check = check()
    outcome, passed = feed_all(answer_check, [b"".join(stream(texts=texts))])
    assert isinstance(outcome, Ok)
    assert token_texts(passed) == texts


@pytest.mark.parametrize("pieces", [1, 2])
def test_tokens_before_a_wrong_end_count_as_not_forwarded(pieces):
    """A caller gets an answer marked as complete although tokens are missing.

    A target sends its answer twice in one packet. The check rejects it for the events
    after the end marker and forwards none of it. If it counted those tokens, the
    resumed attempt would start behind them, and its end marker would match the count.
    """
    doubled = b"".join(stream() * 2)
    # In one piece, or cut after the first token.
    cut = doubled.index(b'data: {"i": 1')
    parts = [doubled] if pieces == 1 else [doubled[:cut], doubled[cut:]]
    answer_check = check()
    outcome, passed = feed_all(answer_check, parts)
    assert isinstance(outcome, Err)
    assert answer_check.next_index == len(token_texts(passed)) == pieces - 1
