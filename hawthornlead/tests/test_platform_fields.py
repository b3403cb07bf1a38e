"""Tests of decoding JSON that is partly unreadable."""

import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornlead.platform.fields import (
    MAX_PARSED_DEPTH,
    _truncate_depth,
    decode,
    is_readable,
)
from hawthornlead.platform.objects import (
    content_body,
    read_content,
    read_page,
    read_record,
)
from hawthornlead.platform.targets import read_target

from .bad_entries import DEEP, good_spec, target_spec, with_value, wrong_values
from .test_bad_entries import DECODERS, KINDS


def page(*items: bytes) -> bytes:
    """Return the bytes of a listing of these objects."""
    return b'{"items": [' + b",".join(items) + b'], "asOf": 9}'


def item(name: str, spec: bytes) -> bytes:
    """Return the bytes of an object."""
    metadata = json.dumps({"name": name, "revision": 3}).encode()
    return b'{"metadata": ' + metadata + b', "spec": ' + spec + b"}"


GOOD = json.dumps(target_spec()).encode()
UNREADABLE = {
    "not UTF-8": GOOD.replace(b"gijon", b"gij\xf3n"),
    "not UTF-8, in a field that isn't used": GOOD.replace(b'{"s', b'{"\xff": 1, "s', 1),
    "half a surrogate pair": GOOD.replace(b"gijon", b"\\ud83d"),
    "an integer of 9,000 digits": GOOD.replace(
        b'"slots": 4', b'"slots": ' + b"4" * 9000
    ),
    "NaN": GOOD.replace(b'"slots": 4', b'"slots": NaN'),
    "infinite": GOOD.replace(b'Ms": 0', b'Ms": -Infinity'),
    "5,000 levels": GOOD.replace(
        b'{"s', b'{"x": ' + b"[" * 5000 + b"]" * 5000 + b', "s', 1
    ),
    "5,000 levels of objects": b'{"a":' * 5000 + b'"]{"' + b"}" * 5000,
    "text": b'"spec"',
}


@pytest.mark.parametrize("what", UNREADABLE)
def test_unreadable_bytes_affect_no_other_object(what):
    """One unreadable entry must not hide the other targets of a listing.

    If the body is decoded strictly as a whole, one byte that isn't UTF-8 fails the
    listing, and every VM relists for as long as the entry exists and knows no target.
    """
    body = page(item("a", GOOD), item("bad", UNREADABLE[what]), item("c", GOOD))
    records = read_page(decode(body)).records
    assert [record.name for record in records] == ["a", "bad", "c"]
    assert read_target(records[0])._replace(target="c") == read_target(records[2])
    with pytest.raises(ValueError, match="invalid target entry"):
        read_target(records[1])
    # The copy that a relay forwards is refused as well.
    relayed = read_content("bad", 3, content_body(records[1]))
    with pytest.raises(ValueError, match="invalid target entry"):
        read_target(relayed)


def test_a_pair_of_surrogates_is_a_character():
    assert read_target(
        read_record(decode(item("a", GOOD.replace(b"gijon", b"\\ud83d\\ude00"))))
    ).data_centre.isprintable()


def test_only_excessive_levels_are_truncated():
    nested = "[" * MAX_PARSED_DEPTH + '"]"' + "]" * MAX_PARSED_DEPTH
    assert json.dumps(decode(nested)) == nested
    deep = decode('[1, "[{", ' + "[" * 3000 + "]" * 3000 + ', {"a": "]"}]')
    assert deep[:2] == [1, "[{"]
    assert deep[3] == {"a": "]"}
    assert not is_readable(deep)
    for broken in (b"[" * 3000, b'"' + b"\\" * 3001, b"]" * 3000, b"", b"{" * 3000):
        with pytest.raises(ValueError, match="."):
            decode(broken)


def test_numbers_that_are_not_finite_are_read_as_infinite():
    assert decode(b"[NaN, Infinity, -Infinity, " + b"7" * 5000 + b"]") == [math.inf] * 4
    assert decode(b"[9223372036854775807, -1]") == [2**63 - 1, -1]


@pytest.mark.parametrize("kind", KINDS)
def test_a_wrong_value_stays_wrong_after_encoding(kind):
    """Encoding a wrong value and decoding it again must not make it acceptable."""
    for path, value in wrong_values(kind):
        spec = with_value(good_spec(kind, "main", 7), path, value)
        whole = {"metadata": {"name": "main", "revision": 3}, "spec": spec}
        record = read_record(decode(json.dumps(whole).encode()))
        relayed = read_content("main", 3, content_body(record))
        for each in (record, relayed):
            with pytest.raises(ValueError, match="^invalid "):
                DECODERS[kind](each)


@pytest.mark.parametrize(
    "body",
    [
        "null",
        "7",
        '"ab"',
        "[1, 2]",
        "[]",
        "[{}]",
        "{",
        "",
        "[[], null]",
        '{"a":1,"b":2}',
    ],
)
def test_relayed_content_is_an_object_or_unreadable(body):
    relayed = read_content("i-1", 3, body)
    assert (relayed.name, relayed.revision, relayed.unreadable) == ("i-1", 3, True)


def test_relayed_content_equals_what_the_relay_read():
    record = read_record(decode(item("i-1", GOOD)))
    assert read_content("i-1", 3, content_body(record)) == record
    assert not read_content("i-1", 3, "[null, null]").unreadable
    assert read_content("i-1", 3, json.dumps([{"x": DEEP}, None])).unreadable


def truncated_by_levels(body):
    """Return a body truncated as ``_truncate_depth`` does, one bracket at a time."""
    kept, depth, quoted, escaped = [], 0, False, False
    for char in body:
        opens, closes = char in "[{" and not quoted, char in "]}" and not quoted
        if opens and depth == MAX_PARSED_DEPTH:
            kept.append("null")
        depth += opens
        if depth <= MAX_PARSED_DEPTH:
            kept.append(char)
        depth -= closes
        if quoted and not escaped:
            quoted, escaped = char != '"', char == "\\"
            continue
        quoted, escaped = quoted or char == '"', False
    return "".join(kept)


LEVELS = st.sampled_from(["[", '{"a": ', '{ "b[":', "[1, ", '["]", ', ' [ "\\"{" , '])


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    outer=st.lists(LEVELS, max_size=3),
    runs=st.lists(st.tuples(LEVELS, st.integers(1, 200)), min_size=1, max_size=3),
    gap=st.sampled_from(["", " ", "\n"]),
)
def test_only_levels_that_are_too_deep_are_cut_out_of_any_body(outer, runs, gap):
    """Guards against a sound entry that goes with a deep one beside it."""
    levels = outer + [level for level, count in runs for _ in range(count)]
    closing = [gap + ("]" if "[" in level[:2] else "}") for level in levels]
    deep = "".join(levels) + "1" + "".join(reversed(closing))
    body = f'[{deep}, {{"sound": [1]}}, {deep}]'
    assert json.loads(body)[1] == {"sound": [1]}
    assert _truncate_depth(body) == truncated_by_levels(body)
