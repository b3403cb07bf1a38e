"""Chunks of bundles: compressed content named by its SHA-256.

The manifest of a bundle is a chunk too, and its digest is that of the bundle::

    chunk = pack(canonical(rows))
    unpack(chunk).unwrap()
"""

import hashlib
import json
import zlib
from typing import NamedTuple

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure

FORMAT = 1
# A chunk that unpacks to more is refused, so that a small malicious chunk can't
# fill the memory of every VM.
MAX_CHUNK_BYTES = 4 << 20
# The platform stores chunks as base64 in JSON: this size stays below a megabyte.
MAX_PACKED_BYTES = 700_000


class BundleChunk(NamedTuple):
    """A chunk: the SHA-256 of its unpacked content, and its packed content."""

    digest: str
    content: bytes


class Manifest(NamedTuple):
    """The digests of a bundle's chunks by the section and bucket that they hold."""

    name: str
    note: str
    parts: dict[str, str]


def pack(raw: bytes) -> BundleChunk:
    """Pack content into a chunk.

    The digest is computed before compression, so it does not depend on the version
    of the compressor.
    """
    return BundleChunk(hashlib.sha256(raw).hexdigest(), zlib.compress(raw, 6))


def unpack(chunk: BundleChunk) -> Result[bytes, Failure]:
    """Return the content of a chunk, checked against its digest."""
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(chunk.content, MAX_CHUNK_BYTES)
    except zlib.error as error:
        return bad_bundle(f"chunk {chunk.digest[:12]} can't be decompressed: {error}")
    if not unpacker.eof:
        return bad_bundle(f"chunk {chunk.digest[:12]} is truncated or too large")
    if hashlib.sha256(raw).hexdigest() != chunk.digest:
        return bad_bundle(f"chunk {chunk.digest[:12]} does not match its digest")
    return Ok(raw)


def read_manifest(chunk: BundleChunk) -> Result[Manifest, Failure]:
    """Read the manifest of a bundle from the chunk that has the bundle's digest."""
    unpacked = unpack(chunk)
    if unpacked.is_err():
        return unpacked
    try:
        value = json.loads(unpacked.unwrap())
        if value["format"] != FORMAT:
            return bad_bundle(
                f"bundle format {value['format']}, this VM reads {FORMAT}"
            )
        parts = {str(key): str(digest) for key, digest in value["parts"].items()}
        return Ok(Manifest(str(value["name"]), str(value["note"]), parts))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return bad_bundle(f"manifest {chunk.digest[:12]} is malformed: {error!r}")


def bad_bundle(detail: str) -> Err[Failure]:
    """Return the failure for an invalid bundle."""
    return Err(Failure(ErrorKind.BAD_BUNDLE, detail))
