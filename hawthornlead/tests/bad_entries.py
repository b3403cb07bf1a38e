"""Objects of the platform's store as another writer may leave them.

``WRONG`` lists, for each kind and field, values that the field must not have::

    for path, value in wrong_values("servers"):
        spec = with_value(good_spec("servers", 1), path, value)
"""

import copy
import math
from typing import Any

from hypothesis import strategies as st

from hawthornlead.gateway.memberships import VMS_KIND
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
NO_TEXT = [None, True, 0, 1.5, [], {}, ["x"], {"a": "b"}, "\ud800", "x\udcff"]
NO_WHOLE = [None, True, False, -1, 1.0, 1.5, "1", "", [], {}, 10**25, math.inf]
NO_NUMBER = [None, True, "1", [], {}, math.inf, -math.inf, math.nan, 10**400]
NO_FLAG = [None, 0, 1, "true", [], {}]
NO_LIST = [None, True, 0, 1.5, "x", {}, {"a": "b"}]
NO_ADDRESS = [*NO_TEXT, "", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", ":80"]
NO_ADDRESS += ["10.0.0.1:65536", "10.0.0.1:-8", "10.0.0.1:8²", "10.0.0.1:" + "8" * 99]
NO_IP = [*NO_ADDRESS, "hall-3:80", "10.0.0:80", "10.0.0.1 :80", "999.0.0.1:80"]
NO_STATE = [*NO_TEXT, "", "READY", "gone"]
NO_ADAPTER = [*NO_TEXT, "", "a1", "a1@", "@1", "a1@x", "a1@-1", "a1@1.5", "a1@²"]
NO_MODELS = [*NO_LIST, [None], ["m"], [[]], [{}], [{"name": "m"}]]
# Null counts as absent where the operator may leave a field out.
NO_LIMITS = [True, 0, "x", [1]]

WRONG: dict[str, dict[tuple, list]] = {
    TARGETS_KIND: {
        ("service",): [MISSING, *NO_TEXT],
        ("address",): [MISSING, *NO_IP],
        ("zone",): [MISSING, *NO_TEXT],
        ("version",): [MISSING, *NO_TEXT],
        ("slots",): [MISSING, *NO_WHOLE, 0],
        ("seq",): [MISSING, *NO_WHOLE],
        ("coldRemainingMs",): [MISSING, *NO_NUMBER],
        ("state",): [MISSING, *NO_STATE],
        ("born",): NO_WHOLE,
        ("remainingMs",): NO_NUMBER[1:],
        ("models",): NO_MODELS,
        ("models", 0, "name"): [MISSING, *NO_TEXT],
        ("models", 0, "version"): [MISSING, *NO_WHOLE],
        ("models", 0, "adapters"): [MISSING, *NO_LIST],
        ("models", 0, "adapters", 0): NO_ADAPTER,
    },
    VERSIONS_KIND: {
        ("model",): [MISSING, *NO_TEXT],
        ("adapter",): [MISSING, *NO_TEXT],
        ("version",): [MISSING, *NO_WHOLE],
    },
    CONFIGURATION_KIND: {
        ("version",): [MISSING, *NO_WHOLE],
        ("routes",): [MISSING, *NO_LIST],
        ("routes", 0): [None, True, 1, "x", [], {}],
        ("routes", 0, "host"): [MISSING, *NO_TEXT],
        ("routes", 0, "pathPrefix"): [MISSING, *NO_TEXT],
        ("routes", 0, "kind"): [MISSING, *NO_TEXT, "", "SAFE"],
        ("routes", 0, "timeoutMs"): [MISSING, *NO_NUMBER],
        ("routes", 0, "service"): [MISSING, *NO_TEXT],
        ("routes", 0, "priority"): NO_WHOLE[1:],
        ("routes", 0, "attempts"): NO_WHOLE[1:],
        ("routes", 0, "resumable"): NO_FLAG[1:],
        ("routes", 0, "gapTargetMs"): NO_NUMBER[1:],
        ("routes", 4, "split"): [True, 1, "x", {"a": 1}, ["x"], [{}]],
        ("routes", 4, "split", 0, "weight"): [MISSING, *NO_NUMBER],
        ("services",): [MISSING, *NO_LIST],
        ("services", 0): [None, True, 1, "x", [], {}],
        ("services", 0, "engine"): [True, 1, "x", [1]],
        ("services", 0, "engine", "slots"): [MISSING, *NO_WHOLE],
        ("services", 0, "engine", "models"): [MISSING, *NO_LIST],
        ("services", 0, "engine", "models", 0): [None, True, "x", []],
        ("services", 0, "maxConns"): NO_WHOLE[1:],
        ("limits",): NO_LIMITS,
        ("limits", "idleTimeoutMs"): NO_NUMBER[1:],
    },
    VMS_KIND: {
        ("vm",): [MISSING, *NO_TEXT, "another"],
        ("incarnation",): [MISSING, *NO_TEXT],
        ("data_centre",): [MISSING, *NO_TEXT],
        ("peer_address",): [MISSING, *NO_ADDRESS],
        ("caller_address",): [MISSING, *NO_ADDRESS],
        ("leaving",): [MISSING, *NO_FLAG],
    },
}
# In the place of a whole object's content.
NO_OBJECT = [True, 0, 1.5, "", "x", [], ["spec"], math.inf, DEEP, {"x": DEEP}]
NO_OBJECT += [{}, {"x": "\ud800"}, {"\udcff": 1}]


def target_spec(**fields: Any) -> dict:
    """Return a whole entry of an engine, with some fields replaced."""
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
    """Return what an object of a kind holds, another for each number."""
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
    """Return a copy in which the field at a path has a value, or is missing."""
    changed = copy.deepcopy(spec)
    place = changed
    for step in path[:-1]:
        place = place[step]
    if value is MISSING:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    return changed


def wrong_values(kind: str) -> list[tuple[tuple, Any]]:
    """Return all pairs of a field and a value that it must not have."""
    return [(path, value) for path, values in WRONG[kind].items() for value in values]


@st.composite
def bad_specs(draw, kind: str, name: str):
    """Write what no decoder of a kind may accept."""
    if draw(st.integers(0, 4)) == 0:
        return draw(st.sampled_from(NO_OBJECT))
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
    """Put any JSON in the place of a few parts of an object."""
    changed = copy.deepcopy(spec)
    for _ in range(draw(st.integers(1, 3))):
        place = changed
        while True:
            keys = list(place) if isinstance(place, dict) else list(range(len(place)))
            key = draw(st.sampled_from(keys))
            inner = place[key]
            if not isinstance(inner, dict | list) or not inner or draw(st.booleans()):
                break
            place = inner
        place[key] = draw(ANY_JSON)
    return changed
