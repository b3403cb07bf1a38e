"""Fields of JSON that others wrote: of the type they must have, or ``ValueError``.

What stands in the platform's store may come from any writer. Nothing else than
``ValueError`` leaves these functions, whatever the bytes::

    body = decode(b'{"slots": 8}')
    whole_number(body, "slots", least=1)
"""

import ipaddress
import json
import math
import re
from typing import Any

# Integers of more than 63 bits are no numbers to count by, and no message between VMs
# can carry them.
MOST_WHOLE = 2**63 - 1
MOST_DIGITS = 20
# The configuration, the deepest object that is used, has eight levels.
MOST_DEPTH = 32
# Python's parser gives up at about 1,000 levels, wherever they are in a body.
CUT_DEPTH = 200
MOST_PORT = 65535
_REQUIRED: Any = object()
_TOKENS = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def decode(body: bytes | str) -> Any:
    """Return the JSON in a body, of which parts may be unreadable.

    One object that can't be read must not cost the others in the same body. Bytes that
    aren't UTF-8 become lone surrogates, numbers that aren't finite or that Python does
    not parse become infinite, and levels below ``CUT_DEPTH`` become null. The
    functions below take none of these; ``is_readable`` finds the first and the last.
    """
    if isinstance(body, bytes):
        body = body.decode("utf-8", "surrogateescape")
    try:
        return _parse(body)
    except RecursionError:
        return _parse(_cut(body))


def is_readable(value: Any, depth: int = 0) -> bool:
    """Whether a JSON value has no text that isn't Unicode, and isn't too deep."""
    if isinstance(value, str):
        return _is_unicode(value)
    if not isinstance(value, dict | list):
        return True
    if depth >= MOST_DEPTH:
        return False
    if isinstance(value, list):
        return all(is_readable(item, depth + 1) for item in value)
    for name, item in value.items():
        if not _is_unicode(name) or not is_readable(item, depth + 1):
            return False
    return True


def mapping(value: Any, what: str) -> dict[str, Any]:
    """Return a value that must be an object."""
    if not isinstance(value, dict):
        raise ValueError(f"{what} is no object")
    return value


def items(body: dict, field: str, default: list = _REQUIRED) -> list:
    """Return a field that must be a list."""
    value = _value(body, field, default)
    if not isinstance(value, list):
        raise ValueError(f"{field} is no list")
    return value


def text(body: dict, field: str, default: str = _REQUIRED) -> str:
    """Return a field that must be a text."""
    value = _value(body, field, default)
    return as_text(value, field)


def as_text(value: Any, what: str) -> str:
    """Return a value that must be a text."""
    if not isinstance(value, str) or not _is_unicode(value):
        raise ValueError(f"{what} is no text")
    return value


def boolean(body: dict, field: str, default: bool = _REQUIRED) -> bool:
    """Return a field that must be true or false."""
    value = _value(body, field, default)
    if not isinstance(value, bool):
        raise ValueError(f"{field} is neither true nor false")
    return value


def whole_number(
    body: dict, field: str, default: int = _REQUIRED, *, least: int = 0
) -> int:
    """Return a field that must be a whole number of at least ``least``."""
    value = _value(body, field, default)
    # True and false are integers in Python.
    if type(value) is not int or not least <= value <= MOST_WHOLE:
        raise ValueError(f"{field} is no whole number from {least} on")
    return value


def number(body: dict, field: str, default: float = _REQUIRED) -> float:
    """Return a field that must be a finite number."""
    value = _value(body, field, default)
    # The bound also keeps float() from integers that it can't turn into one.
    if type(value) not in (int, float) or not abs(value) <= MOST_WHOLE:
        raise ValueError(f"{field} is no finite number")
    return float(value)


def ip_address(body: dict, field: str) -> str:
    """Return a field that must be IP:PORT."""
    value = address(body, field)
    host, _, _ = value.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    return value


def address(body: dict, field: str) -> str:
    """Return a field that must be HOST:PORT."""
    value = text(body, field)
    host, _, port = value.rpartition(":")
    if not host or not 1 <= _digits(port, field) <= MOST_PORT:
        raise ValueError(f"{field} is no address")
    return value


def versioned_name(value: Any, what: str) -> tuple[str, int]:
    """Return name and version of a text that must be NAME@VERSION."""
    name, _, version = as_text(value, what).partition("@")
    if not name:
        raise ValueError(f"{what} has no name")
    return name, _digits(version, what)


def _digits(digits: str, what: str) -> int:
    if not digits.isascii() or not digits.isdigit() or len(digits) >= MOST_DIGITS:
        raise ValueError(f"{what} has no number where one must be")
    return int(digits)


def _value(body: dict, field: str, default: Any) -> Any:
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
    return json.loads(body, parse_int=_integer, parse_constant=lambda _: math.inf)


def _integer(digits: str) -> float:
    return int(digits) if len(digits) <= MOST_DIGITS else math.inf


def _cut(body: str) -> str:
    """Return JSON in which null stands for all that lies below ``CUT_DEPTH``."""
    kept = []
    depth = start = 0
    for token in _TOKENS.finditer(body):
        if token.group() in ("[", "{"):
            depth += 1
            if depth == CUT_DEPTH + 1:
                kept += [body[start : token.start()], "null"]
        elif token.group() in ("]", "}"):
            depth -= 1
            if depth == CUT_DEPTH:
                start = token.end()
    if depth <= CUT_DEPTH:
        kept.append(body[start:])
    return "".join(kept)
