"""Validation of bundle documents that reports every fault, not just the first.

Operators write documents as JSON::

    {"name": "spring", "note": "new tide briefings",
     "adapters": [{"adapter": "tides", "version": "v3", "base_model": "base-7b"}],
     "callers": [{"name": "santander-office", "token_sha256": ["<64 hex>"],
                  "priority": 5, "rate": 10, "burst": 20, "concurrency": 8,
                  "aliases": {"brief": {"adapter": "tides", "version": "v3"}},
                  "services": ["bulletins"]}],
     "services": [{"name": "bulletins", "calls": [
         {"method": "GET", "path": "/search", "repeatable": true}]}]}
"""

import re
from typing import Any, NamedTuple, TypedDict

MAX_PRIORITY = 9
MAX_RATE = 1_000_000
MAX_NAME = 128

_NAME = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._/@+-]{{0,{MAX_NAME - 1}}}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
_MISSING = object()


class AdapterDocument(TypedDict):
    """One row of the adapters table."""

    adapter: str
    version: str
    base_model: str


class AliasDocument(TypedDict):
    """The adapter version that an alias of a caller stands for."""

    adapter: str
    version: str


class CallerDocument(TypedDict):
    """One caller, its token hashes, its limits and what it is assigned."""

    name: str
    token_sha256: list[str]
    priority: int
    rate: float
    burst: int
    concurrency: int
    aliases: dict[str, AliasDocument]
    services: list[str]


class CallDocument(TypedDict):
    """Whether the calls of one method below one path may be repeated."""

    method: str
    path: str
    repeatable: bool


class ServiceDocument(TypedDict):
    """One plain service and its calls; a call not named is not repeatable."""

    name: str
    calls: list[CallDocument]


class BundleDocument(TypedDict):
    """A whole bundle document."""

    name: str
    note: str
    adapters: list[AdapterDocument]
    callers: list[CallerDocument]
    services: list[ServiceDocument]


class BundleFault(NamedTuple):
    """One fault: where in the document, what was found, what is allowed."""

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}, allowed: {self.allowed}"


class _Checker:
    def __init__(self):
        self.faults: list[BundleFault] = []
        self.adapters: set[tuple[str, str]] = set()
        self.services: set[str] = set()
        self.tokens: dict[str, str] = {}

    def add_fault(self, path: str, found: Any, allowed: str) -> None:
        """Record one fault."""
        text = "nothing" if found is _MISSING else repr(found)
        if len(text) > 80:
            text = text[:77] + "..."
        self.faults.append(BundleFault(path or "document", text, allowed))

    def table(self, value: Any, path: str, keys: tuple[str, ...]) -> bool:
        """Check that a value is an object without unknown keys."""
        if not isinstance(value, dict):
            self.add_fault(path, value, "an object")
            return False
        for key in value:
            if key not in keys:
                self.add_fault(_join(path, str(key)), "an unknown key", ", ".join(keys))
        return True

    def rows(self, table: dict, key: str, path: str) -> list:
        """Return the list under a key, or an empty one after recording a fault."""
        value = table.get(key, [])
        if isinstance(value, list):
            return value
        self.add_fault(_join(path, key), value, "a list")
        return []

    def name(self, table: dict, key: str, path: str) -> str:
        """Return the name under a key, or an empty text after recording a fault."""
        value = table.get(key, _MISSING)
        if isinstance(value, str) and _NAME.fullmatch(value):
            return value
        allowed = f"a name of 1 to {MAX_NAME} letters, digits, '._/@+-'"
        self.add_fault(_join(path, key), value, allowed)
        return ""

    def number(self, table: dict, key: str, path: str, bounds, whole: bool) -> None:
        """Check a number against its inclusive bounds."""
        value = table.get(key, _MISSING)
        low, high = bounds
        kinds = (int,) if whole else (int, float)
        fits = isinstance(value, kinds) and not isinstance(value, bool)
        if fits and low <= value <= high:
            return
        kind = "a whole number" if whole else "a number"
        self.add_fault(_join(path, key), value, f"{kind} from {low} to {high}")


def check_document(document: Any) -> list[BundleFault]:
    """Return every fault of a bundle document, in the order of the document."""
    checker = _Checker()
    if not checker.table(document, "", tuple(BundleDocument.__annotations__)):
        return checker.faults
    checker.name(document, "name", "")
    if not isinstance(document.get("note", ""), str):
        checker.add_fault("note", document["note"], "a text")
    for number, row in enumerate(checker.rows(document, "adapters", "")):
        _check_adapter(checker, row, f"adapters[{number}]")
    for number, row in enumerate(checker.rows(document, "services", "")):
        _check_service(checker, row, f"services[{number}]")
    names: set[str] = set()
    for number, row in enumerate(checker.rows(document, "callers", "")):
        _check_caller(checker, row, f"callers[{number}]", names)
    return checker.faults


def _check_adapter(checker: _Checker, row: Any, path: str) -> None:
    if not checker.table(row, path, tuple(AdapterDocument.__annotations__)):
        return
    adapter = checker.name(row, "adapter", path)
    version = checker.name(row, "version", path)
    checker.name(row, "base_model", path)
    if (adapter, version) in checker.adapters:
        checker.add_fault(path, f"{adapter} {version} again", "each version once")
    checker.adapters.add((adapter, version))


def _check_service(checker: _Checker, row: Any, path: str) -> None:
    if not checker.table(row, path, tuple(ServiceDocument.__annotations__)):
        return
    name = checker.name(row, "name", path)
    if name in checker.services:
        checker.add_fault(_join(path, "name"), name, "each service once")
    checker.services.add(name)
    calls: set[tuple[str, str]] = set()
    for number, call in enumerate(checker.rows(row, "calls", path)):
        _check_call(checker, call, f"{path}.calls[{number}]", calls)


def _check_call(checker: _Checker, call: Any, path: str, calls: set) -> None:
    if not checker.table(call, path, tuple(CallDocument.__annotations__)):
        return
    method = call.get("method", _MISSING)
    if method not in _METHODS:
        checker.add_fault(_join(path, "method"), method, ", ".join(_METHODS))
    prefix = call.get("path", _MISSING)
    if not isinstance(prefix, str) or not is_plain_path(prefix):
        allowed = "a path from '/', without '..', '//' or '%'"
        checker.add_fault(_join(path, "path"), prefix, allowed)
    if not isinstance(call.get("repeatable", _MISSING), bool):
        found = call.get("repeatable", _MISSING)
        checker.add_fault(_join(path, "repeatable"), found, "true or false")
    key = (str(method), str(prefix))
    if key in calls:
        checker.add_fault(path, f"{method} {prefix} again", "each call once")
    calls.add(key)


def _check_caller(checker: _Checker, row: Any, path: str, names: set) -> None:
    if not checker.table(row, path, tuple(CallerDocument.__annotations__)):
        return
    name = checker.name(row, "name", path)
    if name and name in names:
        checker.add_fault(_join(path, "name"), name, "each caller once")
    names.add(name)
    _check_tokens(checker, row, path, name)
    checker.number(row, "priority", path, (0, MAX_PRIORITY), True)
    checker.number(row, "rate", path, (0.001, MAX_RATE), False)
    checker.number(row, "burst", path, (1, MAX_RATE), True)
    checker.number(row, "concurrency", path, (1, MAX_RATE), True)
    aliases = row.get("aliases", {})
    if not isinstance(aliases, dict):
        checker.add_fault(_join(path, "aliases"), aliases, "an object")
        aliases = {}
    for alias, target in aliases.items():
        _check_alias(checker, alias, target, f"{path}.aliases.{alias}")
    for number, service in enumerate(checker.rows(row, "services", path)):
        if not isinstance(service, str) or service not in checker.services:
            allowed = "a service of this bundle"
            checker.add_fault(f"{path}.services[{number}]", service, allowed)


def _check_tokens(checker: _Checker, row: dict, path: str, name: str) -> None:
    hashes = checker.rows(row, "token_sha256", path)
    if not hashes:
        checker.add_fault(_join(path, "token_sha256"), "none", "one or more")
    for number, text in enumerate(hashes):
        where = f"{path}.token_sha256[{number}]"
        if not isinstance(text, str) or not _SHA256.fullmatch(text):
            checker.add_fault(where, text, "64 hexadecimal digits in lower case")
            continue
        if text in checker.tokens:
            other = checker.tokens[text]
            checker.add_fault(where, f"the token of {other}", "a token of one caller")
        checker.tokens[text] = name


def _check_alias(checker: _Checker, alias: str, target: Any, path: str) -> None:
    if not _NAME.fullmatch(alias):
        checker.add_fault(path, alias, "a name")
    if not checker.table(target, path, tuple(AliasDocument.__annotations__)):
        return
    adapter = checker.name(target, "adapter", path)
    version = checker.name(target, "version", path)
    if not adapter or not version:
        return
    if (adapter, version) not in checker.adapters:
        checker.add_fault(path, f"{adapter} {version}", "a row of adapters")


def is_plain_path(path: str) -> bool:
    """Return whether all servers interpret a path in the same way.

    A service may resolve a path with dot segments, empty segments or escapes to
    another path, so a prefix match on such a path proves nothing.
    """
    if not path.startswith("/") or "//" in path or "%" in path or "\\" in path:
        return False
    return not any(segment in (".", "..") for segment in path.split("/"))


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
