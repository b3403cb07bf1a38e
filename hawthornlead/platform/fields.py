"""Reads fields of untrusted JSON and checks their types; raises ``ValueError``.

Objects in the platform's store may come from any writer. Whatever the bytes, these
functions raise nothing other than ``ValueError``::

    body = decode(b'{"slots": 8}')
    whole_number(body, "slots", least=1)
"""

import ipaddress
import itertools
import json
import math
import re
from typing import Any

# Messages between VMs cannot carry integers of more than 63 bits, and no count needs
# them.
MAX_WHOLE_NUMBER = 2**63 - 1
MAX_DIGITS = 20
# The deepest object in use, the configuration, has eight levels.
MAX_DEPTH = 32
# Python's parser fails at about 1,000 levels anywhere in a body. Only then is the body
# cut to this depth before it is parsed again.
MAX_PARSED_DEPTH = 200
MAX_PORT = 65535
_REQUIRED: Any = object()
# Strings, and runs of brackets that open or close levels one after the other, with the
# names of members in between. Taken one by one, those of a body of 1 MB would occupy
# the event loop for a third of a second.
_TOKENS = re.compile(
    r"""
        "(?:[^"\\]|\\.)*"
        | [\[{]++ (?: \s*+ (?: "[^"\\\[\]{}]*+" \s*+ : \s*+ )? [\[{]++ )*+
        | [\]}]++ (?: \s++ [\]}]++ )*+
    """,
    re.DOTALL | re.VERBOSE,
)
_BRACKETS = re.compile(r"[\[\]{}]")


def decode(body: bytes | str) -> Any:
    """Parse a JSON body, and keep what is readable if parts of it aren't.

    One unreadable object must not make the others in the same body unusable. Bytes
    that aren't UTF-8 become lone surrogates. Numbers that aren't finite, or that Python
    does not parse, become infinite. In a body that is too deep for the parser, levels
    below ``MAX_PARSED_DEPTH`` become null. The functions below reject surrogates and
    infinite numbers; ``is_readable`` detects surrogates and excessive depth.
    """
    if isinstance(body, bytes):
        body = body.decode("utf-8", "surrogateescape")
    try:
        return _parse(body)
    except RecursionError:
        return _parse(_truncate_depth(body))


def is_readable(value: Any, depth: int = 0) -> bool:
    """Whether all texts of a JSON value are Unicode and it isn't too deep."""
    if isinstance(value, str):
        return _is_unicode(value)
    if not isinstance(value, dict | list):
        return True
    if depth >= MAX_DEPTH:
        return False
    if isinstance(value, list):
        return all(is_readable(item, depth + 1) for item in value)
    for name, item in value.items():
        if not _is_unicode(name) or not is_readable(item, depth + 1):
            return False
    return True


def mapping(value: Any, what: str) -> dict[str, Any]:
    """Return the value if it is an object."""
    if not isinstance(value, dict):
        raise ValueError(f"{what} is not an object")
    return value


def items(body: dict, field: str, default: list = _REQUIRED) -> list:
    """Return a field whose value must be a list."""
    value = _field_value(body, field, default)
    if not isinstance(value, list):
        raise ValueError(f"{field} is not a list")
    return value


def text(body: dict, field: str, default: str = _REQUIRED) -> str:
    """Return a field whose value must be a text."""
    value = _field_value(body, field, default)
    return as_text(value, field)


def as_text(value: Any, what: str) -> str:
    """Return the value if it is a text in Unicode."""
    if not isinstance(value, str) or not _is_unicode(value):
        raise ValueError(f"{what} is not a text")
    return value


def boolean(body: dict, field: str, default: bool = _REQUIRED) -> bool:
    """Return a field whose value must be true or false."""
    value = _field_value(body, field, default)
    if not isinstance(value, bool):
        raise ValueError(f"{field} is neither true nor false")
    return value


def whole_number(
    body: dict, field: str, default: int = _REQUIRED, *, minimum: int = 0
) -> int:
    """Return a field whose value must be a whole number of at least ``minimum``."""
    value = _field_value(body, field, default)
    # ``bool`` is a subclass of ``int``, so ``isinstance`` would accept true and false.
    if type(value) is not int or not minimum <= value <= MAX_WHOLE_NUMBER:
        raise ValueError(f"{field} is not a whole number of at least {minimum}")
    return value


def number(body: dict, field: str, default: float = _REQUIRED) -> float:
    """Return a field whose value must be a finite number."""
    value = _field_value(body, field, default)
    # float() raises OverflowError on larger integers.
    if type(value) not in (int, float) or not abs(value) <= MAX_WHOLE_NUMBER:
        raise ValueError(f"{field} is not a finite number")
    return float(value)


def ip_address(body: dict, field: str) -> str:
    """Return a field whose value must be IP:PORT."""
    value = address(body, field)
    host, _, _ = value.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    return value


def address(body: dict, field: str) -> str:
    """Return a field whose value must be HOST:PORT."""
    value = text(body, field)
    host, _, port = value.rpartition(":")
    if not host or not 1 <= _parse_digits(port, field) <= MAX_PORT:
        raise ValueError(f"{field} is not an address of the form HOST:PORT")
    return value


def versioned_name(value: Any, what: str) -> tuple[str, int]:
    """Return the name and version in a text that must be NAME@VERSION."""
    name, _, version = as_text(value, what).partition("@")
    if not name:
        raise ValueError(f"{what} has no name")
    return name, _parse_digits(version, what)


def _parse_digits(digits: str, what: str) -> int:
    if not digits.isascii() or not digits.isdigit() or len(digits) >= MAX_DIGITS:
        raise ValueError(f"{what} does not end in a valid number")
    return int(digits)


def _field_value(body: dict, field: str, default: Any) -> Any:
    value = body.get(field, default)
    if value is _REQUIRED:
        raise ValueError(f"{field} is missing")
    return value


def _is_unicode(value: str) -> bool:
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parse(body: str) -> Any:
    return json.loads(body, parse_int=_parse_integer, parse_constant=lambda _: math.inf)


def _parse_integer(digits: str) -> float:
    return int(digits) if len(digits) <= MAX_DIGITS else math.inf


def _truncate_depth(body: str) -> str:
    """Replace each value nested below ``MAX_PARSED_DEPTH`` by null."""
    kept = []
    depth = start = 0
    for token in _TOKENS.finditer(body):
        run = token.group()
        if run[0] in "[{":
            levels = run.count("[") + run.count("{")
            if depth <= MAX_PARSED_DEPTH < depth + levels:
                cut = token.start() + _nth_bracket(run, MAX_PARSED_DEPTH - depth)
                kept += [body[start:cut], "null"]
            depth += levels
        elif run[0] in "]}":
            levels = run.count("]") + run.count("}")
            depth -= levels
            if depth <= MAX_PARSED_DEPTH < depth + levels:
                # Few brackets follow the one that closes the first level too deep.
                from_end = _nth_bracket(run[::-1], MAX_PARSED_DEPTH - depth)
                start = token.end() - from_end
    if depth <= MAX_PARSED_DEPTH:
        kept.append(body[start:])
    return "".join(kept)


def _nth_bracket(run: str, number: int) -> int:
    """Return the position of a bracket in a run, counted from 0."""
    positions = (bracket.start() for bracket in _BRACKETS.finditer(run))
    return next(itertools.islice(positions, number, None))
