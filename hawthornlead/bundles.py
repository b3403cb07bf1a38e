"""Bundles: which adapter version answers which caller, and their chunks.

An operator's document is checked, put into canonical JSON and split into chunks
that are named by the SHA-256 of their content. The manifest names the chunks, is a
chunk itself, and its digest is the bundle's. Adapters and callers are spread over
a fixed number of chunks by a hash of their name, so that a change of one of them
alters one chunk and the manifest, and all others are shared with older bundles::

    bundle = Bundle.read(document).unwrap()
    caller = bundle.caller_of("the caller's token")
    assignment = bundle.assign(caller, "brief").unwrap()
"""

import hashlib
import json
import zlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from .bundle_checks import BundleDocument, check_document, is_plain_path
from .errors import ErrorKind, Failure

FORMAT = 1
BUCKETS = 64
# A chunk that unpacks to more is refused, so that a small malicious chunk can't
# fill the memory of every VM.
MAX_CHUNK_BYTES = 4 << 20
# What the platform stores is base64 in JSON: this much stays below a megabyte.
MAX_PACKED_BYTES = 700_000
MAX_FAULTS_TOLD = 50


class Assignment(NamedTuple):
    """The adapter version that a request runs on, and its priority (9 first)."""

    adapter: str
    version: str
    base_model: str
    priority: int


class CallerTerms(NamedTuple):
    """A caller and its limits.

    ``rate`` is in requests a second, ``burst`` in requests at once after a pause,
    ``concurrency`` in requests open at a time. ``priority`` goes from 0 to 9; 9 is
    served first.
    """

    name: str
    priority: int
    rate: float
    burst: int
    concurrency: int


class ServiceTerms(NamedTuple):
    """What a bundle says of one call of a plain service."""

    service: str
    repeatable: bool


class AdapterRow(NamedTuple):
    """One adapter version of a bundle and the base model it dresses."""

    adapter: str
    version: str
    base_model: str


class AliasTarget(NamedTuple):
    """The adapter version that an alias of a caller stands for."""

    adapter: str
    version: str


class CallerEntry(NamedTuple):
    """All that a bundle says of one caller."""

    terms: CallerTerms
    token_sha256: tuple[str, ...]
    aliases: dict[str, AliasTarget]
    services: frozenset[str]


class ServiceCall(NamedTuple):
    """The calls of one method below one path."""

    method: str
    path: str
    repeatable: bool


class BundleChunk(NamedTuple):
    """A chunk: the SHA-256 of its unpacked content, and its packed content."""

    digest: str
    content: bytes


class _Part(NamedTuple):
    digest: str
    adapters: dict[AliasTarget, str]
    callers: dict[str, CallerEntry]
    services: dict[str, tuple[ServiceCall, ...]]


class Manifest(NamedTuple):
    """The names of a bundle's chunks, by the section and bucket that they hold."""

    name: str
    note: str
    parts: dict[str, str]


def canonical(value: Any) -> bytes:
    """Return the one JSON text of a value: sorted keys, no spaces, UTF-8."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


def pack(raw: bytes) -> BundleChunk:
    """Pack content into a chunk.

    The digest is of the content before packing, so that it does not depend on the
    version of the compressor.
    """
    return BundleChunk(hashlib.sha256(raw).hexdigest(), zlib.compress(raw, 6))


def unpack(chunk: BundleChunk) -> Result[bytes, Failure]:
    """Return the content of a chunk, checked against its digest."""
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(chunk.content, MAX_CHUNK_BYTES)
    except zlib.error as error:
        return _bad(f"chunk {chunk.digest[:12]} can't be unpacked: {error}")
    if not unpacker.eof:
        return _bad(f"chunk {chunk.digest[:12]} is cut or too large")
    if hashlib.sha256(raw).hexdigest() != chunk.digest:
        return _bad(f"chunk {chunk.digest[:12]} has other content than its name says")
    return Ok(raw)


def read_manifest(chunk: BundleChunk) -> Result[Manifest, Failure]:
    """Read the manifest of a bundle from the chunk that has the bundle's digest."""
    unpacked = unpack(chunk)
    if unpacked.is_err():
        return unpacked
    try:
        value = json.loads(unpacked.unwrap())
        if value["format"] != FORMAT:
            return _bad(f"bundle format {value['format']}, this VM reads {FORMAT}")
        parts = {str(key): str(digest) for key, digest in value["parts"].items()}
        return Ok(Manifest(str(value["name"]), str(value["note"]), parts))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return _bad(f"manifest {chunk.digest[:12]} is malformed: {error!r}")


class Bundle:
    """One bundle, ready to answer who is assigned what."""

    def __init__(self, manifest: BundleChunk, name: str, note: str, parts: list[_Part]):
        self._manifest = manifest
        self._name = name
        self._note = note
        self._parts = {part.digest: part for part in parts}
        self._adapters: dict[AliasTarget, str] = {}
        self._callers: dict[str, CallerEntry] = {}
        self._services: dict[str, tuple[ServiceCall, ...]] = {}
        self._tokens: dict[str, CallerTerms] = {}
        for part in parts:
            self._adapters.update(part.adapters)
            self._callers.update(part.callers)
            self._services.update(part.services)
        for entry in self._callers.values():
            for token_sha256 in entry.token_sha256:
                self._tokens[token_sha256] = entry.terms

    @property
    def name(self) -> str:
        """The name that operators gave the bundle."""
        return self._name

    @property
    def note(self) -> str:
        """The operators' note."""
        return self._note

    @property
    def digest(self) -> str:
        """The SHA-256 of the manifest, which names the bundle."""
        return self._manifest.digest

    @property
    def callers(self) -> Mapping[str, CallerEntry]:
        """All callers by name."""
        return self._callers

    @property
    def services(self) -> Mapping[str, tuple[ServiceCall, ...]]:
        """The calls of each plain service by name."""
        return self._services

    @classmethod
    def read(cls, document: Any) -> Result["Bundle", Failure]:
        """Check an operator's document and make the bundle of it.

        The failure tells every fault, one a line.
        """
        return prepare(document).map(lambda prepared: prepared.bundle)

    @classmethod
    def assemble(
        cls,
        manifest: BundleChunk,
        chunks: Mapping[str, BundleChunk],
        earlier: Iterable["Bundle"] = (),
    ) -> Result["Bundle", Failure]:
        """Make a bundle of its chunks.

        Parts that an ``earlier`` bundle holds are shared with it, so that only
        what changed costs time and memory, and need not be among ``chunks``.
        """
        read = read_manifest(manifest)
        if read.is_err():
            return read
        known: dict[str, _Part] = {}
        for bundle in earlier:
            known.update(bundle._parts)
        parts = []
        for digest in read.unwrap().parts.values():
            part = known.get(digest)
            if part is None:
                if digest not in chunks:
                    return _bad(f"chunk {digest[:12]} is missing")
                parsed = _parse(BundleChunk(digest, chunks[digest].content))
                if parsed.is_err():
                    return parsed
                part = parsed.unwrap()
            parts.append(part)
        return Ok(cls(manifest, read.unwrap().name, read.unwrap().note, parts))

    @property
    def parts(self) -> Iterable[str]:
        """The digests of the chunks besides the manifest."""
        return self._parts.keys()

    def document(self) -> BundleDocument:
        """Return the document that this bundle would be made of."""
        callers = []
        for entry in self._callers.values():
            aliases = {
                alias: target._asdict() for alias, target in entry.aliases.items()
            }
            row = {**entry.terms._asdict(), "aliases": aliases}
            row["token_sha256"] = list(entry.token_sha256)
            row["services"] = sorted(entry.services)
            callers.append(row)
        services = []
        for name, calls in self._services.items():
            services.append({"name": name, "calls": [c._asdict() for c in calls]})
        return {
            "name": self._name,
            "note": self._note,
            "adapters": [row._asdict() for row in self.adapters()],
            "callers": callers,
            "services": services,
        }

    def holds_part(self, digest: str) -> bool:
        """Tell whether a chunk is a part of this bundle."""
        return digest in self._parts

    def caller_of(self, token: str) -> CallerTerms | None:
        """Return whose token this is, or None.

        The token is hashed and the hash looked up. How long a look-up takes tells
        at most something of the hashes, from which no token can be found.
        """
        return self._tokens.get(token_hash(token))

    def assign(self, caller: CallerTerms, alias: str) -> Result[Assignment, Failure]:
        """Return the adapter version that an alias of a caller stands for."""
        entry = self._callers.get(caller.name)
        target = entry.aliases.get(alias) if entry else None
        base_model = self._adapters.get(target) if target else None
        if base_model is None:
            detail = f"the bundle assigns nothing to {caller.name} as {alias!r}"
            return Err(Failure(ErrorKind.NOT_ASSIGNED, detail))
        return Ok(Assignment(*target, base_model, entry.terms.priority))

    def service_call(
        self, caller: CallerTerms, service: str, method: str, path: str
    ) -> Result[ServiceTerms, Failure]:
        """Return what the bundle says of a caller's call to a plain service.

        The longest path that matches decides. A call that the bundle does not
        name, or whose path can be read in two ways, is not repeatable.
        """
        entry = self._callers.get(caller.name)
        if service not in self._services:
            detail = f"the bundle names no service {service!r}"
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        if entry is None or service not in entry.services:
            detail = f"the bundle does not let {caller.name} call {service}"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        plain = path.partition("?")[0]
        best: ServiceCall | None = None
        for call in self._services[service]:
            if call.method != method.upper() or not _below(plain, call.path):
                continue
            if best is None or len(call.path) > len(best.path):
                best = call
        repeatable = best is not None and best.repeatable and is_plain_path(plain)
        return Ok(ServiceTerms(service, repeatable))

    def adapters(self) -> Iterator[AdapterRow]:
        """Go through all adapter versions of the bundle."""
        for target, base_model in self._adapters.items():
            yield AdapterRow(target.adapter, target.version, base_model)


class Prepared(NamedTuple):
    """A bundle with all its chunks, the manifest first."""

    bundle: Bundle
    chunks: tuple[BundleChunk, ...]


def prepare(document: Any) -> Result[Prepared, Failure]:
    """Check a document and split it into chunks."""
    faults = check_document(document)
    if faults:
        told = "\n".join(str(fault) for fault in faults[:MAX_FAULTS_TOLD])
        more = len(faults) - MAX_FAULTS_TOLD
        if more > 0:
            told += f"\nand {more} more"
        return _bad(told)
    sections = _split(document)
    packed = {key: pack(canonical(rows)) for key, rows in sections.items()}
    manifest = pack(
        canonical(
            {
                "format": FORMAT,
                "name": document["name"],
                "note": document.get("note", ""),
                "parts": {key: chunk.digest for key, chunk in packed.items()},
            }
        )
    )
    for chunk in (manifest, *packed.values()):
        if len(chunk.content) > MAX_PACKED_BYTES:
            detail = f"a chunk has {len(chunk.content)} bytes of {MAX_PACKED_BYTES}"
            return Err(Failure(ErrorKind.TOO_LARGE, detail))
    by_digest = {chunk.digest: chunk for chunk in packed.values()}
    assembled = Bundle.assemble(manifest, by_digest)
    return assembled.map(
        lambda bundle: Prepared(bundle, (manifest, *by_digest.values()))
    )


def token_hash(token: str) -> str:
    """Return the SHA-256 under which a bundle holds a caller's token."""
    return hashlib.sha256(token.encode(errors="surrogateescape")).hexdigest()


def _split(document: BundleDocument) -> dict[str, list]:
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


def _parse(chunk: BundleChunk) -> Result[_Part, Failure]:
    unpacked = unpack(chunk)
    if unpacked.is_err():
        return unpacked
    part = _Part(chunk.digest, {}, {}, {})
    try:
        for row in json.loads(unpacked.unwrap()):
            _parse_row(row, part)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return _bad(f"chunk {chunk.digest[:12]} is malformed: {error!r}")
    return Ok(part)


def _parse_row(row: dict, part: _Part) -> None:
    if "adapter" in row:
        target = AliasTarget(row["adapter"], row["version"])
        part.adapters[target] = row["base_model"]
        return
    if "calls" in row:
        calls = [ServiceCall(**call) for call in row["calls"]]
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


def _below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def _bad(detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.BAD_BUNDLE, detail))
