"""Bundles: which adapter version serves which caller.

An operator's document is checked, converted to canonical JSON and split into parts
(``bundle_parts``), one chunk each (``bundle_chunks``). The manifest lists the chunks
and is a chunk itself. Its digest is that of the bundle::

    bundle = Bundle.read(document).unwrap()
    caller = bundle.caller_of("the caller's token")
    assignment = bundle.assign(caller, "brief").unwrap()
"""

import hashlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..hashes import canonical
from .bundle_checks import BundleDocument, check_document, is_plain_path
from .bundle_chunks import (
    FORMAT,
    MAX_PACKED_BYTES,
    BundleChunk,
    bad_bundle,
    pack,
    read_manifest,
)
from .bundle_parts import (
    AdapterRow,
    AliasTarget,
    CallerEntry,
    CallerTerms,
    Part,
    ServiceRule,
    read_part,
    split_document,
)

MAX_FAULTS_SHOWN = 50


class Assignment(NamedTuple):
    """The adapter version that a request runs on, and its priority (9 first)."""

    adapter: str
    version: str
    base_model: str
    priority: int


class ServiceTerms(NamedTuple):
    """The terms of a bundle for one call of a plain service."""

    service: str
    repeatable: bool


class Bundle:
    """A parsed bundle that looks up the assignments of callers."""

    def __init__(self, manifest: BundleChunk, name: str, note: str, parts: list[Part]):
        self._manifest = manifest
        self._name = name
        self._note = note
        self._parts = {part.digest: part for part in parts}
        self._adapters: dict[AliasTarget, str] = {}
        self._callers: dict[str, CallerEntry] = {}
        self._services: dict[str, tuple[ServiceRule, ...]] = {}
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
    def services(self) -> Mapping[str, tuple[ServiceRule, ...]]:
        """The calls of each plain service by name."""
        return self._services

    @property
    def parts(self) -> Iterable[str]:
        """The digests of the chunks besides the manifest."""
        return self._parts.keys()

    @classmethod
    def read(cls, document: Any) -> Result["Bundle", Failure]:
        """Check an operator's document and build its bundle.

        The failure lists the faults, one per line.
        """
        return prepare(document).map(lambda prepared: prepared.bundle)

    @classmethod
    def assemble(
        cls,
        manifest: BundleChunk,
        chunks: Mapping[str, BundleChunk],
        earlier: Iterable["Bundle"] = (),
    ) -> Result["Bundle", Failure]:
        """Build a bundle from its chunks.

        Parts that an ``earlier`` bundle holds are shared with it and need not be
        among ``chunks``, so that only changed parts cost time and memory.
        """
        read = read_manifest(manifest)
        if read.is_err():
            return read
        known: dict[str, Part] = {}
        for bundle in earlier:
            known.update(bundle._parts)
        parts = []
        for digest in read.unwrap().parts.values():
            part = known.get(digest)
            if part is None:
                if digest not in chunks:
                    return bad_bundle(f"chunk {digest[:12]} is missing")
                parsed = read_part(BundleChunk(digest, chunks[digest].content))
                if parsed.is_err():
                    return parsed
                part = parsed.unwrap()
            parts.append(part)
        return Ok(cls(manifest, read.unwrap().name, read.unwrap().note, parts))

    def document(self) -> BundleDocument:
        """Return the document that produces this bundle."""
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
        """Return whether a chunk is a part of this bundle."""
        return digest in self._parts

    def caller_of(self, token: str) -> CallerTerms | None:
        """Return the caller to whom a token belongs, or None.

        The lookup uses the hash of the token. Its duration can reveal something
        about the hashes at most, from which no token can be derived.
        """
        return self._tokens.get(token_hash(token))

    def assign(self, caller: CallerTerms, alias: str) -> Result[Assignment, Failure]:
        """Return the adapter version that an alias of a caller stands for."""
        entry = self._callers.get(caller.name)
        target = entry.aliases.get(alias) if entry else None
        base_model = self._adapters.get(target) if target else None
        if base_model is None:
            detail = f"the bundle assigns no adapter to {caller.name} as {alias!r}"
            return Err(Failure(ErrorKind.NOT_ASSIGNED, detail))
        return Ok(Assignment(*target, base_model, entry.terms.priority))

    def service_call(
        self, caller: CallerTerms, service: str, method: str, path: str
    ) -> Result[ServiceTerms, Failure]:
        """Return the terms of a caller's call to a plain service.

        The longest matching path decides. A call that the bundle does not list, or
        whose path is ambiguous, is not repeatable.
        """
        entry = self._callers.get(caller.name)
        if service not in self._services:
            detail = f"the bundle names no service {service!r}"
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        if entry is None or service not in entry.services:
            detail = f"the bundle does not let {caller.name} call {service}"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        plain = path.partition("?")[0]
        best: ServiceRule | None = None
        for call in self._services[service]:
            if call.method != method.upper() or not _is_below(plain, call.path):
                continue
            if best is None or len(call.path) > len(best.path):
                best = call
        repeatable = best is not None and best.repeatable and is_plain_path(plain)
        return Ok(ServiceTerms(service, repeatable))

    def adapters(self) -> Iterator[AdapterRow]:
        """Iterate over all adapter versions of the bundle."""
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
        listing = "\n".join(str(fault) for fault in faults[:MAX_FAULTS_SHOWN])
        more = len(faults) - MAX_FAULTS_SHOWN
        if more > 0:
            listing += f"\nand {more} more"
        return bad_bundle(listing)
    sections = split_document(document)
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


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
