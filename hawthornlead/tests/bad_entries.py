"""Invalid objects of the platform's store, as another writer may write them.

``WRONG`` lists, for each kind and field, values that the field must not have::

    for path, value in wrong_values("servers"):
        spec = with_value(good_spec("servers", 1), path, value)
"""

import copy
import math
from typing import Any

from hypothesis import strategies as st

from hawthornlead.gateway.vm_registrations import VMS_KIND
from hawthornlead.platform.objects import (
    CONFIGURATION_KIND,
    TARGETS_KIND,
    VERSIONS_KIND,
)

from .gateways import MODEL, configuration, route

MISSING = object()
DEEP: list = []
for _ in range(60):
    DEEP = [DEEP]
NOT_TEXT = [None, True, 0, 1.5, [], {}, ["x"], {"a": "b"}, "\ud800", "x\udcff"]
NOT_WHOLE_NUMBER = [None, True, False, -1, 1.0, 1.5, "1", "", [], {}, 10**25, math.inf]
NOT_NUMBER = [None, True, "1", [], {}, math.inf, -math.inf, math.nan, 10**400]
NOT_BOOLEAN = [None, 0, 1, "true", [], {}]
NOT_LIST = [None, True, 0, 1.5, "x", {}, {"a": "b"}]
NOT_ADDRESS = [*NOT_TEXT, "", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", ":80"]
NOT_ADDRESS += ["10.0.0.1:65536", "10.0.0.1:-8", "10.0.0.1:8²", "10.0.0.1:" + "8" * 99]
NOT_IP_ADDRESS = [
    *NOT_ADDRESS,
    "hall-3:80",
    "10.0.0:80",
    "10.0.0.1 :80",
    "999.0.0.1:80",
]
NOT_STATE = [*NOT_TEXT, "", "READY", "gone"]
NOT_ADAPTER = [*NOT_TEXT, "", "a1", "a1@", "@1", "a1@x", "a1@-1", "a1@1.5", "a1@²"]
NOT_MODELS = [*NOT_LIST, [None], ["m"], [[]], [{}], [{"name": "m"}]]
# Null counts as absent in optional fields of the operator's configuration.
NOT_LIMITS = [True, 0, "x", [1]]

WRONG: dict[str, dict[tuple, list]] = {
    TARGETS_KIND: {
        ("service",): [MISSING, *NOT_TEXT],
        ("address",): [MISSING, *NOT_IP_ADDRESS],
        ("zone",): [MISSING, *NOT_TEXT],
        ("version",): [MISSING, *NOT_TEXT],
        ("slots",): [MISSING, *NOT_WHOLE_NUMBER, 0],
        ("seq",): [MISSING, *NOT_WHOLE_NUMBER],
        ("coldRemainingMs",): [MISSING, *NOT_NUMBER],
        ("state",): [MISSING, *NOT_STATE],
        ("born",): NOT_WHOLE_NUMBER,
        ("remainingMs",): NOT_NUMBER[1:],
        ("models",): NOT_MODELS,
        ("models", 0, "name"): [MISSING, *NOT_TEXT],
        ("models", 0, "version"): [MISSING, *NOT_WHOLE_NUMBER],
        ("models", 0, "adapters"): [MISSING, *NOT_LIST],
        ("models", 0, "adapters", 0): NOT_ADAPTER,
    },
    VERSIONS_KIND: {
        ("model",): [MISSING, *NOT_TEXT],
        ("adapter",): [MISSING, *NOT_TEXT],
        ("version",): [MISSING, *NOT_WHOLE_NUMBER],
    },
    CONFIGURATION_KIND: {
        ("version",): [MISSING, *NOT_WHOLE_NUMBER],
        ("routes",): [MISSING, *NOT_LIST],
        ("routes", 0): [None, True, 1, "x", [], {}],
        ("routes", 0, "host"): [MISSING, *NOT_TEXT],
        ("routes", 0, "pathPrefix"): [MISSING, *NOT_TEXT],
        ("routes", 0, "kind"): [MISSING, *NOT_TEXT, "", "SAFE"],
        ("routes", 0, "timeoutMs"): [MISSING, *NOT_NUMBER],
        ("routes", 0, "service"): [MISSING, *NOT_TEXT],
        ("routes", 0, "priority"): NOT_WHOLE_NUMBER[1:],
        ("routes", 0, "attempts"): NOT_WHOLE_NUMBER[1:],
        ("routes", 0, "resumable"): NOT_BOOLEAN[1:],
        ("routes", 0, "gapTargetMs"): NOT_NUMBER[1:],
        ("routes", 4, "split"): [True, 1, "x", {"a": 1}, ["x"], [{}]],
        ("routes", 4, "split", 0, "weight"): [MISSING, *NOT_NUMBER],
        ("services",): [MISSING, *NOT_LIST],
        ("services", 0): [None, True, 1, "x", [], {}],
        ("services", 0, "engine"): [True, 1, "x", [1]],
        ("services", 0, "engine", "slots"): [MISSING, *NOT_WHOLE_NUMBER],
        ("services", 0, "engine", "models"): [MISSING, *NOT_LIST],
        ("services", 0, "engine", "models", 0): [None, True, "x", []],
        ("services", 0, "maxConns"): NOT_WHOLE_NUMBER[1:],
        ("limits",): NOT_LIMITS,
        ("limits", "idleTimeoutMs"): NOT_NUMBER[1:],
    },
    VMS_KIND: {
        ("vm",): [MISSING, *NOT_TEXT, "another"],
        ("incarnation",): [MISSING, *NOT_TEXT],
        ("data_centre",): [MISSING, *NOT_TEXT],
        ("peer_address",): [MISSING, *NOT_ADDRESS],
        ("caller_address",): [MISSING, *NOT_ADDRESS],
        ("leaving",): [MISSING, *NOT_BOOLEAN],
    },
}
# Values that are no valid content of any object.
NOT_OBJECT = [True, 0, 1.5, "", "x", [], ["spec"], math.inf, DEEP, {"x": DEEP}]
NOT_OBJECT += [{}, {"x": "\ud800"}, {"\udcff": 1}]


def target_spec(**fields: Any) -> dict:
    """Return a valid entry of an engine, with some fields replaced."""
    return {
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": "gijon",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "models": [{"name": MODEL, "version": 1, "adapters": ["a1@3"]}],
        "seq": 1,
        "born": 1_764_722_000_000,
        **fields,
    }


def good_spec(kind: str, name: str, number: int) -> dict:
    """Return valid content of an object of a kind, different for each number."""
    if kind == TARGETS_KIND:
        return target_spec(address=f"10.0.{number // 250}.1:{number % 250 + 1}")
    if kind == VERSIONS_KIND:
        return {"model": MODEL, "adapter": name, "version": number}
    if kind == CONFIGURATION_KIND:
        split = [{"service": "plain", "weight": 90}, {"service": "llm", "weight": 10}]
        return configuration(number, route("split", "/split/", "", "safe", split=split))
    return {
        "vm": name,
        "incarnation": f"{name}-{number}",
        "data_centre": "gijon",
        "peer_address": "10.0.0.1:7000",
        "caller_address": "10.0.0.1:80",
        "leaving": False,
    }


def with_value(spec: dict, path: tuple, value: Any) -> dict:
    """Return a copy in which the field at a path has a value, or is ``MISSING``."""
    changed = copy.deepcopy(spec)
    container = changed
    for step in path[:-1]:
        container = container[step]
    if value is MISSING:
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return changed


def wrong_values(kind: str) -> list[tuple[tuple, Any]]:
    """Return all pairs of a field and a value that it must not have."""
    return [(path, value) for path, values in WRONG[kind].items() for value in values]


@st.composite
def bad_specs(draw, kind: str, name: str):
    """Draw content that no decoder of a kind may accept."""
    if draw(st.integers(0, 4)) == 0:
        return draw(st.sampled_from(NOT_OBJECT))
    path, value = draw(st.sampled_from(wrong_values(kind)))
    return with_value(good_spec(kind, name, 1), path, value)


ANY_JSON = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.floats(),
        st.text(max_size=5),
        st.sampled_from(["\ud800", "a1@2", "10.0.0.1:80", 10**400]),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=8,
)


@st.composite
def scrambled(draw, spec: dict):
    """Replace a few parts of an object by any JSON."""
    changed = copy.deepcopy(spec)
    for _ in range(draw(st.integers(1, 3))):
        container = changed
        while True:
            keys = (
                list(container)
                if isinstance(container, dict)
                else list(range(len(container)))
            )
            key = draw(st.sampled_from(keys))
            inner = container[key]
            if not isinstance(inner, dict | list) or not inner or draw(st.booleans()):
                break
            container = inner
        container[key] = draw(ANY_JSON)
    return changed
