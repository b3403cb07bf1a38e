"""Tests of what the records of all VMs prove of where a stream began."""

import pytest

from hawthornlead.gateway.records import StoredRecord
from hawthornlead.provenance.origin_records import (
    OriginRecord,
    RouteHistory,
    find_stream,
    origin_spec,
    prove_origin,
    read_origin_record,
)

from .fakes_origin_records import HOST, KEY, PATH, V1, V2


def record(vm="a", began=(V1,), complete=True, era=1, key=KEY, **streams):
    """Return what a VM states of one route."""
    return OriginRecord(
        vm, era, {key: RouteHistory(complete, frozenset(began))}, streams
    )


def prove(*records, vms=(), era=1, path=PATH):
    """Return what records prove of a request."""
    return prove_origin({each.vm: each for each in records}, vms, era, HOST, path)


def test_one_version_in_all_records_is_where_each_stream_began():
    assert prove(record("a"), record("b")) == V1
    assert prove(record("a"), record("b"), vms=("a", "b")) == V1


def test_two_versions_prove_nothing():
    """Guards against the version that most VMs use."""
    assert prove(record("a"), record("b", (V2,))) is None
    assert prove(record("a", (V1, V2))) is None


def test_a_vm_without_a_record_may_have_begun_streams_anywhere():
    """Guards against streams of VMs whose build keeps no records."""
    assert prove(record("a"), vms=("a", "b")) is None


def test_an_incomplete_history_proves_nothing():
    """Guards against streams that began before a VM knew what it had begun."""
    assert prove(record("a"), record("b", complete=False)) is None


def test_a_record_of_another_era_proves_nothing():
    """Guards against a record from a copy of the store that lacks a version."""
    assert prove(record("a"), record("b", era=0)) is None
    assert prove(record("a"), record("b"), era=2) is None


def test_an_unknown_version_proves_nothing():
    """Guards against streams that are joined because nobody knows their version."""
    assert prove(record("a", (V1._replace(software=""),))) is None
    assert prove() is None


def test_routes_that_served_the_path_before_count_too():
    """Guards against a stream of a route that a longer prefix has replaced."""
    longer = KEY._replace(prefix="/resume/x/")
    records = (record("a", (V2,), key=longer), record("b"))
    assert prove(*records, path="/resume/x/y") is None
    assert prove(*records, path="/resume/z") == V1
    assert prove(*records, path="/other/") is None


def test_an_id_of_two_origins_is_of_neither():
    """Guards against one of two versions that a caller's reused id stands for."""
    known = {"a": record("a", r1=V1), "b": record("b", r1=V2, r2=V2)}
    assert find_stream(known, "r1").software == ""
    assert find_stream(known, "r2") == V2
    assert find_stream(known, "r3") is None


def test_a_record_is_read_as_it_was_written():
    stated = record("a", (V1, V2), complete=False, r1=V1, r2=V2, r3=V1)
    assert read_origin_record(StoredRecord("a", 7, origin_spec(stated), None)) == stated


@pytest.mark.parametrize(
    "spec",
    [
        None,
        {},
        [],
        {"era": True, "routes": [], "streams": []},
        {"era": 1, "routes": [["h", "/", True]], "streams": []},
        {"era": 1, "routes": [["h", "/", True, [["s", 1]]]], "streams": []},
        {"era": 1, "routes": [], "streams": [["s", "v1", [1]]]},
        {"era": 1, "routes": [[1, "/", True, []]], "streams": []},
    ],
)
def test_a_record_of_another_writer_is_refused(spec):
    """Guards against a VM that ends, or proves a version, by what it can't read."""
    with pytest.raises(ValueError):
        read_origin_record(StoredRecord("a", 7, spec, None))
