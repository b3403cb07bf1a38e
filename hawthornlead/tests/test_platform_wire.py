"""Tests of the platform's wire format, and that no other module knows its names."""

import json
import re
from pathlib import Path

import pytest
from tornado.httputil import HTTPHeaders

from hawthornlead.gateway.records import (
    EngineOrder,
    OrderKind,
    OrderOutcome,
    RouteKind,
    StoredRecord,
)
from hawthornlead.gateway.routes import RouteTable
from hawthornlead.platform.configurations import (
    read_adapter_version,
    read_configuration,
)
from hawthornlead.platform.entries import addresses_body
from hawthornlead.platform.headers import (
    answer_headers,
    read_answer_metadata,
    read_caller_request,
    request_headers,
)
from hawthornlead.platform.targets import (
    order_body,
    read_order_outcome,
    read_report,
    read_target,
)

from .bad_entries import target_spec
from .gateways import HOST, configuration, route

PACKAGE = Path(__file__).parents[1]
# Names of headers, fields and paths that only the package ``platform`` may contain. The
# header with a caller's deadline is not listed: the product's own interface has it too.
WIRE_NAMES = re.compile(
    r"Server-Seal|Expect-Instance|Expect-Version|Not-Executed|Token-Usage"
    r"|Prompt-Prefix|Length-Hint|Instance-Id|Weight-Versions|Kv-\w+|Pin-Ms"
    r"|pathPrefix|timeoutMs|targetLatencyMs|gapTargetMs|weightsMb|loadTimeS"
    r"|adapterSlots|adapterMb|loadsPerS|kvTokens|kvUsed|inFlight|remainingMs"
    r"|coldRemainingMs|hasMore|asOf|allowStale|waitMs|ttlS|/v1/objects|/v1/order"
    r"|/v1/report|/v1/resolve|/v1/ready|Tenant-Id|Server-Limit|Server-Leaving|apiKeys|ratePerS|plainTokens"
)


def test_no_wire_name_is_outside_the_platform_package():
    for path in sorted(PACKAGE.rglob("*.py")):
        inside = path.relative_to(PACKAGE).parts
        if inside[0] in ("platform", "tests"):
            continue
        found = WIRE_NAMES.findall(path.read_text(encoding="utf-8"))
        assert not found, f"{path.name} names {found}"


def test_the_platform_package_keeps_no_state_and_decides_nothing():
    for path in sorted((PACKAGE / "platform").glob("*.py")):
        text = path.read_text(encoding="utf-8")
        for word in ("async def", "await ", "import random", "timers", "self._"):
            assert word not in text, f"{path.name} has {word!r}"


def stored(spec, name="main"):
    return StoredRecord(name, 3, spec, None)


def test_configuration_is_read_whole():
    split = [{"service": "plain", "weight": 90}, {"service": "llm", "weight": 10}]
    added = route("split", "/split/", "", "safe", split=split)
    read = read_configuration(stored(configuration(7, added)))
    assert read.version == 7
    assert read.routes[0].kind is RouteKind.SAFE
    assert [share.weight for share in read.routes[-1].services] == [90, 10]
    assert read.service("llm").engine.adapter_slots == 3
    assert read.service("plain").engine is None
    assert read.service("none") is None


@pytest.mark.parametrize("missing", ["version", "routes", "services"])
def test_an_incomplete_configuration_is_refused(missing):
    spec = configuration(1)
    del spec[missing]
    with pytest.raises(ValueError, match="invalid configuration"):
        read_configuration(stored(spec))


def test_a_route_is_found_by_its_longest_prefix():
    routes = [
        route("root", "/", "plain", "safe"),
        route("ab", "/a/b/", "plain", "safe"),
        route("a", "/a/", "plain", "safe"),
    ]
    table = RouteTable(read_configuration(stored(configuration(1, *routes))).routes)
    names = {
        "/a/b/c": "ab",
        "/a/b/": "ab",
        "/a/bc": "a",
        "/a/b": "a",
        "/a/b/c?x=/a/": "ab",
        "/ab": "root",
    }
    for path, name in names.items():
        assert table.match(f"{HOST}:80", path).name == name
    assert table.match(HOST.upper(), "/a/x").name == "a"
    assert table.match("other.example", "/a/x") is None


def test_a_target_with_notice_is_draining():
    spec = target_spec(state="draining", remainingMs=1500)
    entry = read_target(stored(spec, "i-1"))
    assert (entry.target, entry.draining, entry.leaves_in_s) == ("i-1", True, 1.5)
    with pytest.raises(ValueError, match="invalid target entry"):
        read_target(stored({"service": "llm"}))


def test_adapters_of_reports_have_versions():
    body = {
        "seq": 4,
        "models": [{"name": "m", "version": 1, "adapters": ["a1@3", "a2@1"]}],
        "pending": ["m/a5@2"],
    }
    report = read_report(body)
    assert report.order_count == 4
    held = [(each.adapter, each.version) for each in report.models[0].adapters]
    assert held == [("a1", 3), ("a2", 1)]
    assert report.arriving[0] == ("m", "a5", 2)


def test_an_order_carries_its_precondition_and_fence():
    order = EngineOrder(OrderKind.LOAD, "m", "a1", 2, 7, "vm-1", 5)
    assert order_body(order) == {
        "op": "load",
        "model": "m",
        "adapter": "a1",
        "version": 2,
        "precondition": 7,
        "holder": "vm-1",
        "fence": 5,
    }
    statuses = {202: OrderOutcome.STARTED, 200: OrderOutcome.HOLDS_ALREADY}
    statuses |= {409: OrderOutcome.CONFLICT, 400: OrderOutcome.REFUSED}
    for status, outcome in statuses.items():
        assert read_order_outcome(status) is outcome


def test_callers_cannot_set_the_systems_headers():
    given = HTTPHeaders({"Hold": "h1", "Kv-From": "x", "Request-Id": "r1"})
    given.add("X-Own", "1")
    given.add("X-Own", "2")
    given["Expect-Instance"] = "i-forged"
    given["Connection"] = "keep-alive"
    made = request_headers(
        given, deadline_ms=99.7, target="i-1", priority=3, last_event=""
    )
    assert "Hold" not in made
    assert "Kv-From" not in made
    assert "Connection" not in made
    assert made["Expect-Instance"] == "i-1"
    assert made["Deadline-Ms"] == "99"
    assert made["Request-Id"] == "r1"
    assert made.get_list("X-Own") == ["1", "2"]


def test_invalid_headers_of_a_caller_count_as_absent():
    headers = HTTPHeaders(
        {"Model": "m/a7", "Token-Usage": "1460,80", "Deadline-Ms": "soon"}
    )
    read = read_caller_request(headers)
    assert (read.model, read.adapter) == ("m", "a7")
    assert (read.prompt_tokens, read.max_tokens, read.likely_tokens) == (1460, 80, 80)
    assert read.deadline_ms is None


def test_metadata_of_an_answer():
    headers = HTTPHeaders({"Keep-Alive": "max=5, timeout=8", "Server-Seal": "s"})
    metadata = read_answer_metadata(200, headers)
    assert (metadata.sealed, metadata.not_run, metadata.idle_s) == (True, False, 8.0)
    assert read_answer_metadata(421, HTTPHeaders()).not_run
    assert read_answer_metadata(503, HTTPHeaders({"Not-Executed": "1"})).not_run
    assert not read_answer_metadata(503, HTTPHeaders()).not_run
    kept = answer_headers(HTTPHeaders({"Keep-Alive": "timeout=8", "X": "1"}))
    assert list(kept) == ["X"]


@pytest.mark.parametrize(
    ("text", "limit"),
    [("3.3", 3.3), ("0", 0.0), ("-1", None), ("nan", None), ("inf", None), ("x", None)],
)
def test_the_limit_of_a_target_is_a_number_of_requests(text, limit):
    headers = HTTPHeaders({"Server-Limit": text})
    assert read_answer_metadata(200, headers).limit_per_s == limit
    assert read_answer_metadata(200, HTTPHeaders()).limit_per_s is None


@pytest.mark.parametrize(("text", "leaving"), [("1", True), ("0", False), ("", False)])
def test_a_leaving_target_announces_it(text, leaving):
    headers = HTTPHeaders({"Server-Leaving": text})
    assert read_answer_metadata(200, headers).leaving is leaving
    assert not read_answer_metadata(200, HTTPHeaders()).leaving


@pytest.mark.parametrize(
    ("status", "text", "backoff_s"),
    [(503, "3", 3.0), (503, "0.5", 0.5), (503, "-3", 0.0), (503, "soon", 0.0)]
    + [(503, "inf", 0.0), (429, "3", 0.0), (200, "3", 0.0)],
)
def test_a_refusing_target_may_request_a_backoff(status, text, backoff_s):
    headers = HTTPHeaders({"Retry-After": text})
    assert read_answer_metadata(status, headers).backoff_s == backoff_s
    assert read_answer_metadata(status, HTTPHeaders()).backoff_s == 0


def test_versions_and_addresses():
    read = read_adapter_version(stored({"model": "m", "adapter": "a1", "version": 4}))
    assert read == ("m", "a1", 4)
    body = json.loads(addresses_body(("10.0.0.1:80",), 1.0))
    assert body == {"addresses": ["10.0.0.1:80"], "ttlS": 1.0}
