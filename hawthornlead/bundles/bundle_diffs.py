"""The differences between two bundles as text for operators."""

from collections.abc import Iterator
from typing import NamedTuple

from .bundle_parts import AliasTarget, CallerEntry
from .bundles import Bundle


class Change(NamedTuple):
    """One difference: ``sign`` is ``+`` (added), ``-`` (removed) or ``~``."""

    sign: str
    text: str

    def __str__(self) -> str:
        return f"{self.sign} {self.text}"


def diff(old: Bundle | None, new: Bundle) -> tuple[Change, ...]:
    """Return what changes when ``new`` follows ``old``, sorted by subject.

    Without an ``old`` bundle everything in ``new`` is added.
    """
    changes = list(_adapters(old, new))
    changes += _callers(old, new)
    changes += _services(old, new)
    return tuple(changes)


def _adapters(old: Bundle | None, new: Bundle) -> Iterator[Change]:
    before = {row[:2]: row.base_model for row in old.adapters()} if old else {}
    after = {row[:2]: row.base_model for row in new.adapters()}
    for key in sorted(before.keys() | after.keys()):
        label = f"adapter {key[0]} {key[1]}"
        if key not in before:
            yield Change("+", f"{label} on {after[key]}")
        elif key not in after:
            yield Change("-", label)
        elif before[key] != after[key]:
            yield Change("~", f"{label}: base model {before[key]} -> {after[key]}")


def _callers(old: Bundle | None, new: Bundle) -> Iterator[Change]:
    before = old.callers if old else {}
    for name in sorted(before.keys() | new.callers.keys()):
        if name not in before:
            yield Change("+", f"caller {name}")
            yield from _aliases(name, {}, new.callers[name].aliases)
        elif name not in new.callers:
            yield Change("-", f"caller {name}")
        elif before[name] != new.callers[name]:
            yield from _caller(name, before[name], new.callers[name])


def _caller(name: str, before: CallerEntry, after: CallerEntry) -> Iterator[Change]:
    for field in before.terms._fields:
        old, new = getattr(before.terms, field), getattr(after.terms, field)
        if old != new:
            yield Change("~", f"caller {name}: {field} {old} -> {new}")
    if set(before.token_sha256) != set(after.token_sha256):
        yield Change("~", f"caller {name}: tokens changed")
    for service in sorted(after.services - before.services):
        yield Change("+", f"caller {name}: service {service}")
    for service in sorted(before.services - after.services):
        yield Change("-", f"caller {name}: service {service}")
    yield from _aliases(name, before.aliases, after.aliases)


def _aliases(
    name: str, before: dict[str, AliasTarget], after: dict[str, AliasTarget]
) -> Iterator[Change]:
    for alias in sorted(before.keys() | after.keys()):
        label = f"caller {name}: {alias}"
        old, new = before.get(alias), after.get(alias)
        if old is None:
            yield Change("+", f"{label} -> {new.adapter} {new.version}")
        elif new is None:
            yield Change("-", f"{label} (was {old.adapter} {old.version})")
        elif old != new:
            text = f"{old.adapter} {old.version} -> {new.adapter} {new.version}"
            yield Change("~", f"{label}: {text}")


def _services(old: Bundle | None, new: Bundle) -> Iterator[Change]:
    before = old.services if old else {}
    for name in sorted(before.keys() | new.services.keys()):
        if name not in before:
            yield Change("+", f"service {name}")
        elif name not in new.services:
            yield Change("-", f"service {name}")
            continue
        old_calls = set(before.get(name, ()))
        new_calls = set(new.services[name])
        for call in sorted(new_calls - old_calls):
            yield Change("+", f"service {name}: {_describe_call(call)}")
        for call in sorted(old_calls - new_calls):
            yield Change("-", f"service {name}: {_describe_call(call)}")


def _describe_call(call) -> str:
    repeatability = "repeatable" if call.repeatable else "not repeatable"
    return f"{call.method} {call.path} {repeatability}"
