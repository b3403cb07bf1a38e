"""Tests of bundle documents, chunks and differences."""

import copy

import pytest

from hawthornlead.bundles.bundle_chunks import (
    MAX_CHUNK_BYTES,
    BundleChunk,
    pack,
    unpack,
)
from hawthornlead.bundles.bundle_diffs import diff
from hawthornlead.bundles.bundle_parts import AdapterRow
from hawthornlead.bundles.bundles import Assignment, Bundle, prepare, token_hash
from hawthornlead.errors import ErrorKind

DOCUMENT = {
    "name": "spring",
    "note": "new briefings",
    "adapters": [
        {"adapter": "tides", "version": "v1", "base_model": "base-7b"},
        {"adapter": "tides", "version": "v2", "base_model": "base-7b"},
    ],
    "callers": [
        {
            "name": "santander",
            "token_sha256": [token_hash("secret")],
            "priority": 5,
            "rate": 10,
            "burst": 20,
            "concurrency": 8,
            "aliases": {"brief": {"adapter": "tides", "version": "v1"}},
            "services": ["bulletins"],
        }
    ],
    "services": [
        {
            "name": "bulletins",
            "calls": [
                {"method": "GET", "path": "/", "repeatable": True},
                {"method": "GET", "path": "/next", "repeatable": False},
            ],
        }
    ],
}


@pytest.fixture
def document():
    return copy.deepcopy(DOCUMENT)


def test_assignments_match_the_document(document):
    bundle = Bundle.read(document).unwrap()
    caller = bundle.caller_of("secret")
    assert caller.name == "santander"
    assert bundle.caller_of("other") is None
    expected = Assignment("tides", "v1", "base-7b", 5)
    assert bundle.assign(caller, "brief").unwrap() == expected
    assert bundle.assign(caller, "x").unwrap_err().kind is ErrorKind.NOT_ASSIGNED
    assert AdapterRow("tides", "v2", "base-7b") in list(bundle.adapters())


@pytest.mark.parametrize(
    ("method", "path", "repeatable"),
    [
        ("GET", "/search?q=1", True),
        ("get", "/", True),
        ("POST", "/search", False),
        ("GET", "/next", False),
        ("GET", "/next/1", False),
        ("GET", "/nextday", True),
        ("GET", "/search/../next", False),
        ("GET", "/%6eext", False),
    ],
)
def test_call_is_repeatable_only_if_the_bundle_says_so(
    document, method, path, repeatable
):
    bundle = Bundle.read(document).unwrap()
    caller = bundle.caller_of("secret")
    terms = bundle.service_call(caller, "bulletins", method, path).unwrap()
    assert terms.repeatable is repeatable


def test_unlisted_services_are_refused(document):
    document["services"].append({"name": "timing", "calls": []})
    bundle = Bundle.read(document).unwrap()
    caller = bundle.caller_of("secret")
    answer = bundle.service_call(caller, "timing", "GET", "/")
    assert answer.unwrap_err().kind is ErrorKind.FORBIDDEN
    answer = bundle.service_call(caller, "none", "GET", "/")
    assert answer.unwrap_err().kind is ErrorKind.NOT_FOUND


def test_all_faults_are_reported_at_once(document):
    document["adapters"].append(document["adapters"][0])
    caller = document["callers"][0]
    caller["priority"] = True
    caller["rate"] = 0
    caller["aliases"]["old"] = {"adapter": "tides", "version": "v9"}
    caller["services"] = ["nope"]
    caller["colour"] = "red"
    document["services"][0]["calls"][0]["path"] = "/a/../b"
    document["callers"].append(copy.deepcopy(DOCUMENT["callers"][0]))
    failure = Bundle.read(document).unwrap_err()
    assert failure.kind is ErrorKind.BAD_BUNDLE
    for path in (
        "adapters[2]:",
        "callers[0].priority: found True, allowed: a whole number from 0 to 9",
        "callers[0].rate:",
        "callers[0].aliases.old: found 'tides v9', allowed: a row of adapters",
        "callers[0].services[0]: found 'nope'",
        "callers[0].colour:",
        "services[0].calls[0].path:",
        "callers[1].name:",
        "callers[1].token_sha256[0]: found 'the token of santander'",
    ):
        assert path in failure.detail


@pytest.mark.parametrize("value", [None, [], 3, {"callers": 3}, {"adapters": [4]}])
def test_malformed_document_is_a_failure_not_an_exception(value):
    assert Bundle.read(value).unwrap_err().kind is ErrorKind.BAD_BUNDLE


def test_order_of_keys_and_rows_does_not_change_the_digest(document):
    turned = {key: document[key] for key in reversed(document)}
    turned["adapters"] = list(reversed(turned["adapters"]))
    assert Bundle.read(document).unwrap().digest == Bundle.read(turned).unwrap().digest


def _large(changed="v1"):
    document = copy.deepcopy(DOCUMENT)
    adapters, callers = document["adapters"], document["callers"]
    for number in range(18_000):
        version = changed if number == 7 else "v1"
        name = f"adapter-{number}"
        adapters.append({"adapter": name, "version": version, "base_model": "base-7b"})
        alias = {"adapter": name, "version": version}
        caller = {**callers[0], "name": f"caller-{number}", "aliases": {"a": alias}}
        callers.append({**caller, "token_sha256": [token_hash(str(number))]})
    return document


def test_18000_adapters_stay_small_and_one_change_alters_few_chunks():
    old = prepare(_large()).unwrap()
    new = prepare(_large("v2")).unwrap()
    assert max(len(chunk.content) for chunk in old.chunks) < 100_000
    altered = {c.digest for c in new.chunks} - {c.digest for c in old.chunks}
    # The manifest, the chunk of the adapter and the chunk of its only caller.
    assert len(altered) == 3
    few = {c.digest: c for c in new.chunks if c.digest in altered}
    shared = Bundle.assemble(new.chunks[0], few, [old.bundle]).unwrap()
    caller = shared.caller_of("7")
    assert shared.assign(caller, "a").unwrap().version == "v2"
    assert [str(change) for change in diff(old.bundle, shared)] == [
        "- adapter adapter-7 v1",
        "+ adapter adapter-7 v2 on base-7b",
        "~ caller caller-7: a: adapter-7 v1 -> adapter-7 v2",
    ]


def test_chunk_is_checked_against_its_digest():
    chunk = pack(b"[]")
    assert unpack(chunk).unwrap() == b"[]"
    for content in (b"", b"rubbish", chunk.content[:-2], pack(b"[1]").content):
        altered = BundleChunk(chunk.digest, content)
        assert unpack(altered).unwrap_err().kind is ErrorKind.BAD_BUNDLE
    bomb = pack(bytes(MAX_CHUNK_BYTES + 1))
    assert unpack(bomb).unwrap_err().kind is ErrorKind.BAD_BUNDLE


def test_malformed_chunk_with_a_correct_digest_is_a_failure():
    prepared = prepare(DOCUMENT).unwrap()
    rows = pack(b'[{"adapter": 1}]')
    manifest = pack(
        b'{"format":1,"name":"x","note":"","parts":{"adapters/00":"%s"}}'
        % rows.digest.encode()
    )
    answer = Bundle.assemble(manifest, {rows.digest: rows})
    assert answer.unwrap_err().kind is ErrorKind.BAD_BUNDLE
    missing = Bundle.assemble(prepared.chunks[0], {})
    assert missing.unwrap_err().kind is ErrorKind.BAD_BUNDLE


def test_diff_shows_limits_and_services(document):
    old = Bundle.read(document).unwrap()
    document["callers"][0]["rate"] = 12
    document["services"][0]["calls"][1]["repeatable"] = True
    document["callers"].append(
        {
            **document["callers"][0],
            "name": "bilbao",
            "token_sha256": [token_hash("b")],
        }
    )
    text = [str(change) for change in diff(old, Bundle.read(document).unwrap())]
    assert text == [
        "+ caller bilbao",
        "+ caller bilbao: brief -> tides v1",
        "~ caller santander: rate 10 -> 12",
        "+ service bulletins: GET /next repeatable",
        "- service bulletins: GET /next not repeatable",
    ]
