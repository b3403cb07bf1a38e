"""Tests that decoding any content gives a typed record or ``ValueError``."""

import math
import types
import typing
from enum import Enum

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from hawthornlead.gateway.records import StoredRecord
from hawthornlead.gateway.vm_registrations import VMS_KIND
from hawthornlead.platform.configurations import (
    read_adapter_version,
    read_configuration,
)
from hawthornlead.platform.objects import (
    CONFIGURATION_KIND,
    TARGETS_KIND,
    VERSIONS_KIND,
    read_changes,
    read_page,
    read_record,
    read_vm,
)
from hawthornlead.platform.targets import read_report, read_target

from .bad_entries import (
    ANY_JSON,
    DEEP,
    MISSING,
    NOT_OBJECT,
    WRONG,
    good_spec,
    scrambled,
    target_spec,
    with_value,
)

DECODERS = {
    TARGETS_KIND: read_target,
    VERSIONS_KIND: read_adapter_version,
    CONFIGURATION_KIND: read_configuration,
    VMS_KIND: read_vm,
}
KINDS = sorted(DECODERS)
REPORT = {
    "models": [{"name": "m", "version": 1, "adapters": ["a1@3"]}],
    "busy": False,
    "seq": 4,
    "queued": 1,
    "inFlight": 12,
    "kvUsed": 41000,
    "kvTotal": 90000,
    "pending": ["m/a5@2"],
    "born": 1_764_722_000_000,
}


def stored(spec, name="main"):
    """Return the object as it is read from the store's answer."""
    metadata = {"name": name, "revision": 3}
    return read_record({"metadata": metadata, "spec": spec, "status": None})


def assert_typed(value, hint):
    """Check that a record matches its type hints and has finite numbers only."""
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        if value is not None:
            assert_typed(value, typing.get_args(hint)[0])
        return
    if origin is tuple:
        assert type(value) is tuple
        for item in value:
            assert_typed(item, typing.get_args(hint)[0])
        return
    assert type(value) is hint
    if isinstance(value, tuple):
        for field, inner in typing.get_type_hints(hint).items():
            assert_typed(getattr(value, field), inner)
    elif isinstance(value, str):
        value.encode()
    elif isinstance(value, float):
        assert math.isfinite(value)
    elif isinstance(value, int):
        assert abs(value) < 2**63
    else:
        assert isinstance(value, Enum)


def read_or_refuse(decode, given_value):
    """Decode a value; if it is accepted, the record must match its types."""
    try:
        read = decode(given_value)
    except ValueError:
        return
    assert_typed(read, type(read))


@pytest.mark.parametrize("kind", KINDS)
def test_good_objects_are_read(kind):
    read = DECODERS[kind](stored(good_spec(kind, "main", 7)))
    assert_typed(read, type(read))
    more = good_spec(kind, "main", 7) | {"further": [None], "more": {"x": 1e99}}
    assert DECODERS[kind](stored(more)) == read


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("content", NOT_OBJECT, ids=lambda value: f"{value!r:.20}")
def test_invalid_content_is_refused(kind, content):
    with pytest.raises(ValueError, match="^invalid "):
        DECODERS[kind](stored(content))


@pytest.mark.parametrize(
    ("kind", "path"),
    [(kind, path) for kind in KINDS for path in WRONG[kind]],
    ids=lambda each: ".".join(map(str, each)) if isinstance(each, tuple) else each,
)
def test_each_field_must_have_its_type(kind, path):
    """A wrong type in one field must make the object invalid.

    Another writer's entry has a text for a number, or an unknown state. If it is used,
    requests go to an engine that doesn't exist; if decoding fails otherwise, the task
    that watches the kind ends and the VM learns of no more changes.
    """
    for value in WRONG[kind][path]:
        spec = with_value(good_spec(kind, "main", 7), path, value)
        try:
            read = DECODERS[kind](stored(spec))
        except ValueError:
            continue
        given_value = "missing" if value is MISSING else repr(value)
        pytest.fail(f"{path} {given_value:.60} was read as {read}")


def test_optional_fields_of_an_entry():
    spec = target_spec()
    del spec["born"], spec["models"]
    entry = read_target(stored(spec, "i-1"))
    assert (entry.started_ms, entry.models, entry.leaves_in_s) == (None, (), None)
    assert read_target(stored(target_spec(remainingMs=None))).leaves_in_s is None
    assert read_target(stored(target_spec(address="[::1]:80"))).address == "[::1]:80"


@pytest.mark.parametrize("kind", KINDS)
@settings(derandomize=True, max_examples=150, deadline=None)
@given(data=st.data())
def test_scrambled_objects_are_refused_or_typed(kind, data):
    spec = data.draw(scrambled(good_spec(kind, "main", 7)))
    read_or_refuse(DECODERS[kind], stored(spec))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(spec=ANY_JSON, status=ANY_JSON)
@example(spec="x", status=None)
@example(spec=None, status="x")
@example(spec=[], status=None)
@example(spec={"models": ["x"]}, status=None)
@example(spec=1, status={})
def test_any_json_is_refused_or_typed(spec, status):
    metadata = {"name": "main", "revision": 3}
    read = read_record({"metadata": metadata, "spec": spec, "status": status})
    for decode in DECODERS.values():
        read_or_refuse(decode, read)
        read_or_refuse(decode, StoredRecord("main", 3, spec, status))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(body=st.one_of(ANY_JSON, scrambled(REPORT)))
@example(body="x")
@example(body=[])
@example(body=REPORT | {"models": "x"})
@example(body=REPORT | {"models": ["x"]})
@example(body=REPORT | {"pending": [1]})
@example(body=REPORT | {"seq": math.inf})
@example(body=REPORT | {"seq": True})
@example(body=REPORT | {"kvUsed": "many"})
@example(body=REPORT | {"born": True})
def test_any_report_is_refused_or_typed(body):
    read_or_refuse(read_report, body)


def test_a_report_whose_count_has_another_type_is_refused():
    assert read_report(REPORT).order_count == 4
    for value in (None, True, "4", 4.0, -1, [], 10**30):
        with pytest.raises(ValueError, match="seq"):
            read_report(REPORT | {"seq": value})


BAD_OBJECTS = [
    None,
    "x",
    7,
    [],
    {},
    {"metadata": None},
    {"metadata": "x"},
    {"metadata": {"revision": 4}},
    {"metadata": {"name": None, "revision": 4}},
    {"metadata": {"name": 5, "revision": 4}},
    {"metadata": {"name": "", "revision": 4}},
    {"metadata": {"name": "\ud800", "revision": 4}},
    {"metadata": {"name": "n"}},
    {"metadata": {"name": "n", "revision": None}},
    {"metadata": {"name": "n", "revision": "4"}},
    {"metadata": {"name": "n", "revision": True}},
    {"metadata": {"name": "n", "revision": 2**63}},
]


@pytest.mark.parametrize("bad", BAD_OBJECTS, ids=lambda bad: f"{bad!r:.50}")
def test_an_object_without_name_or_revision_affects_no_other(bad):
    """One object without a readable name must not make the whole answer invalid.

    If the page or the watch's answer is refused each time it is requested again, the VM
    knows no targets at all, or learns of no more changes.
    """
    good = {"metadata": {"name": "i-1", "revision": 3}, "spec": target_spec()}
    page = read_page({"items": [bad, good], "hasMore": False, "asOf": 9})
    assert [record.name for record in page.records] == ["i-1"]
    assert (page.revision, page.skipped) == (9, 1)
    events = [{"object": bad, "deleted": False}, {"object": good, "deleted": True}]
    changes = read_changes({"events": [*events, bad], "asOf": 9})
    assert [event.record.name for event in changes.events] == ["i-1"]
    assert (changes.revision, changes.skipped) == (9, 2)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(items=st.lists(ANY_JSON, max_size=4), more=ANY_JSON, revision=ANY_JSON)
def test_any_answer_is_refused_or_typed(items, more, revision):
    for body in (
        {"items": items, "hasMore": more, "asOf": revision},
        {"items": items, "asOf": 5},
        {"events": items, "asOf": 5},
        {"events": [{"object": each} for each in items], "asOf": revision},
        items,
        more,
    ):
        for read in (read_page, read_changes):
            try:
                assert read(body).revision == body["asOf"]
            except ValueError:
                continue


def test_an_object_with_unreadable_content_is_kept_by_its_name():
    for content in ("x", 7, [], DEEP, {"x": "\udcff"}):
        record = stored(content, "i-1")
        assert record == StoredRecord("i-1", 3, None, None, unreadable=True)
    assert not stored(None).unreadable
    assert not stored({}).unreadable
