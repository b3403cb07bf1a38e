"""Parts of bundles: rows of adapters, callers and services, one chunk per part.

Adapters and callers are distributed over a fixed number of parts by a hash of their
name. A change of one row alters one chunk and the manifest; all other chunks are shared
with older bundles::

    for name, rows in split_document(document).items():
        part = read_part(pack(canonical(rows))).unwrap()
"""

import hashlib
import json
from typing import NamedTuple

from result import Ok, Result

from ..errors import Failure
from ..hashes import canonical
from .bundle_checks import BundleDocument
from .bundle_chunks import BundleChunk, bad_bundle, unpack

BUCKETS = 64


class CallerTerms(NamedTuple):
    """A caller and its limits.

    ``rate`` is in requests per second, ``burst`` in requests at once after a pause,
    ``concurrency`` in requests open at a time. ``priority`` is 0 to 9; 9 is served
    first.
    """

    name: str
    priority: int
    rate: float
    burst: int
    concurrency: int


class AdapterRow(NamedTuple):
    """One adapter version of a bundle and the base model it applies to."""

    adapter: str
    version: str
    base_model: str


class AliasTarget(NamedTuple):
    """The adapter version that an alias of a caller stands for."""

    adapter: str
    version: str


class CallerEntry(NamedTuple):
    """The terms, tokens, aliases and services of one caller."""

    terms: CallerTerms
    token_sha256: tuple[str, ...]
    aliases: dict[str, AliasTarget]
    services: frozenset[str]


class ServiceRule(NamedTuple):
    """Whether calls of one method below one path are repeatable."""

    method: str
    path: str
    repeatable: bool


class Part(NamedTuple):
    """The parsed rows of one part of a bundle."""

    digest: str
    adapters: dict[AliasTarget, str]
    callers: dict[str, CallerEntry]
    services: dict[str, tuple[ServiceRule, ...]]


def split_document(document: BundleDocument) -> dict[str, list]:
    """Return the rows of each part by its name, deterministically."""
    sections: dict[str, list] = {}
    for row in document.get("adapters", []):
        sections.setdefault(_bucket("adapters", row["adapter"]), []).append(row)
    for row in document.get("callers", []):
        sections.setdefault(_bucket("callers", row["name"]), []).append(_full(row))
    for row in document.get("services", []):
        calls = sorted(row.get("calls", []), key=lambda c: (c["method"], c["path"]))
        sections.setdefault("services", []).append(
            {"name": row["name"], "calls": calls}
        )
    for rows in sections.values():
        rows.sort(key=canonical)
    return sections


def _full(row: dict) -> dict:
    full = {"aliases": {}, "services": [], **row}
    full["services"] = sorted(set(full["services"]))
    full["token_sha256"] = sorted(full["token_sha256"])
    return full


def _bucket(section: str, name: str) -> str:
    number = hashlib.sha256(name.encode()).digest()[0] % BUCKETS
    return f"{section}/{number:02d}"


def read_part(chunk: BundleChunk) -> Result[Part, Failure]:
    """Parse a part from its chunk after checking the digest."""
    unpacked = unpack(chunk)
    if unpacked.is_err():
        return unpacked
    part = Part(chunk.digest, {}, {}, {})
    try:
        for row in json.loads(unpacked.unwrap()):
            _read_row(row, part)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return bad_bundle(f"chunk {chunk.digest[:12]} is malformed: {error!r}")
    return Ok(part)


def _read_row(row: dict, part: Part) -> None:
    if "adapter" in row:
        target = AliasTarget(row["adapter"], row["version"])
        part.adapters[target] = row["base_model"]
        return
    if "calls" in row:
        calls = [ServiceRule(**call) for call in row["calls"]]
        part.services[row["name"]] = tuple(calls)
        return
    terms = CallerTerms(*(row[field] for field in CallerTerms._fields))
    aliases = {
        alias: AliasTarget(target["adapter"], target["version"])
        for alias, target in row["aliases"].items()
    }
    part.callers[terms.name] = CallerEntry(
        terms, tuple(row["token_sha256"]), aliases, frozenset(row["services"])
    )
