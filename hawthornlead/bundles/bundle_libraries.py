"""Stores, fetches and verifies the chunks and signatures of bundles.

The store keeps each chunk under its digest and the signatures of each bundle under the
digest of the bundle. A VM asks another VM first, so that store reads do not grow with
the fleet. All content is verified whatever its source: chunks against their digest,
signatures against the operators' keys.
"""

import asyncio
import base64
import json
from collections.abc import Iterable
from typing import NamedTuple

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..mesh.meshes import failed
from ..messages import Chunk, FetchChunk
from ..signatures import (
    OperatorKeys,
    Purpose,
    SignedStatement,
    read_signed,
)
from .bundle_checks import check_document
from .bundle_chunks import BundleChunk, read_manifest, unpack
from .bundles import Bundle

CHUNK_KIND = "bundle-chunk"
RELEASE_KIND = "bundle-release"
# A release is requested from VMs like a chunk, under this prefix and its digest.
RELEASE_PREFIX = "release:"
MAX_CONCURRENT_FETCHES = 8


class Release(NamedTuple):
    """The signatures of one bundle."""

    prepared: SignedStatement
    approved: SignedStatement | None = None
    retired: SignedStatement | None = None


class Released(NamedTuple):
    """A bundle whose content and signatures were verified."""

    bundle: Bundle
    release: Release


class BundleLibrary:
    """Holds the chunks and releases of one VM and fetches missing ones."""

    def __init__(self, *, settings, store, mesh, keys: OperatorKeys):
        self._data_centre = settings["DATA_CENTRE"]
        self._vm = settings["VM_NAME"]
        self._store = store
        self._mesh = mesh
        self._keys = keys
        self._chunks: dict[str, BundleChunk] = {}
        self._releases: dict[str, bytes] = {}
        self._bundles: dict[str, Bundle] = {}
        self._fetching: dict[str, asyncio.Task] = {}
        self._fetch_slots = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)
        mesh.on(FetchChunk, self._on_fetch_chunk)

    @property
    def keys(self) -> OperatorKeys:
        """The public keys of the operators."""
        return self._keys

    def designated_fetcher(self) -> str:
        """Return the VM of this data centre that fetches for the others.

        If two VMs disagree, this only costs a few more reads.
        """
        names = [self._vm]
        for peer in self._mesh.live:
            if peer.data_centre == self._data_centre:
                names.append(peer.vm)
        return min(names)

    async def load(
        self, digest: str, sources: Iterable[str] = ()
    ) -> Result[Released, Failure]:
        """Fetch a bundle and verify its content and both signatures.

        ``sources`` are VMs likely to hold the bundle. The store is tried last.
        """
        source_vms = self._sources(sources)
        release = await self._load_release(digest, source_vms)
        if release.is_err():
            return release
        bundle = self._bundles.get(digest)
        if bundle is not None:
            return Ok(Released(bundle, release.unwrap()))
        assembled = await self._load_bundle(digest, source_vms)
        return assembled.map(lambda found: Released(found, release.unwrap()))

    def evict_except(self, digests: Iterable[str]) -> None:
        """Evict all bundles except these."""
        required = set(digests)
        self._bundles = {d: b for d, b in self._bundles.items() if d in required}
        self._releases = {d: r for d, r in self._releases.items() if d in required}
        needed = set(self._bundles)
        for bundle in self._bundles.values():
            needed.update(bundle.parts)
        self._chunks = {d: c for d, c in self._chunks.items() if d in needed}

    # Orders of operators

    async def put_chunk(self, chunk: BundleChunk) -> Result[None, Failure]:
        """Write an uploaded chunk to the store."""
        unpacked = unpack(chunk)
        if unpacked.is_err():
            return unpacked
        value = {"content": base64.b64encode(chunk.content).decode()}
        put = await self._store.put(CHUNK_KIND, chunk.digest, value, None)
        # A conflict means that the same chunk is stored: its name is its content hash.
        if put.is_err() and put.err_value.kind is not ErrorKind.VERSION_CONFLICT:
            return put
        return Ok(None)

    async def missing(self, digests: Iterable[str]) -> Result[list[str], Failure]:
        """Return the digests of the chunks that the store does not hold."""
        absent = []
        for digest in digests:
            got = await self._store.get(CHUNK_KIND, digest)
            if got.is_err():
                return got
            if got.unwrap() is None:
                absent.append(digest)
        return Ok(absent)

    async def prepare(self, prepared: SignedStatement) -> Result[Bundle, Failure]:
        """Store the preparer's signature of a bundle whose chunks were uploaded."""
        digest = prepared.statement.digest
        known = self._keys.verify(prepared, Purpose.PREPARE, digest)
        if known.is_err():
            return known
        loaded = await self._load_bundle(digest, ())
        if loaded.is_err():
            return loaded
        # In a thread, because it takes a good part of a second with 18,000 adapters
        # and would delay the streams relayed meanwhile.
        document = loaded.unwrap().document()
        faults = await asyncio.to_thread(check_document, document)
        if faults:
            detail = "\n".join(str(fault) for fault in faults)
            return Err(Failure(ErrorKind.BAD_BUNDLE, detail))

        def change(value):
            return None if value else {"prepared": prepared.document()}

        written = await self._store.update(RELEASE_KIND, digest, change)
        return written.map(lambda _: loaded.unwrap())

    async def approve(self, approved: SignedStatement) -> Result[None, Failure]:
        """Store the approval of a prepared bundle."""
        digest = approved.statement.digest
        stored = await self._stored_release(digest)
        if stored.is_err():
            return stored
        release = stored.unwrap()
        valid = self._keys.verify_release(release.prepared, approved, digest)
        if valid.is_err():
            return valid
        return await self._add_signature(digest, "approved", approved)

    async def retire(self, retired: SignedStatement) -> Result[None, Failure]:
        """Store the order that a bundle must not be rolled again."""
        digest = retired.statement.digest
        known = self._keys.verify(retired, Purpose.RETIRE, digest)
        if known.is_err():
            return known
        return await self._add_signature(digest, "retired", retired)

    async def released_from_store(self, digest: str) -> Result[Released, Failure]:
        """Load a bundle with its signatures as the store has them now.

        Rolls start from these, as the copy on a VM may lack the mark of a retired
        bundle.
        """
        stored = await self._stored_release(digest)
        if stored.is_err():
            return stored
        release = stored.unwrap()
        if release.retired is not None:
            detail = f"bundle {digest[:12]} was retired"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        if release.approved is None:
            detail = f"bundle {digest[:12]} is not approved"
            return Err(Failure(ErrorKind.BAD_SIGNATURE, detail))
        return await self.load(digest)

    # Fetching

    def _sources(self, sources: Iterable[str]) -> tuple[str, ...]:
        named = list(dict.fromkeys(sources))
        fetcher = self.designated_fetcher()
        if fetcher != self._vm:
            named.insert(0, fetcher)
        return tuple(vm for vm in dict.fromkeys(named) if vm != self._vm)

    async def _load_release(
        self, digest: str, sources: tuple[str, ...]
    ) -> Result[Release, Failure]:
        failure = Failure(ErrorKind.BAD_SIGNATURE, f"no signatures of {digest[:12]}")
        held = self._releases.get(digest)
        if held is not None:
            return _read_release(held)
        for vm in sources:
            reply = await self._mesh.call(vm, FetchChunk(RELEASE_PREFIX + digest))
            if reply.is_err() or not isinstance(reply.unwrap(), Chunk):
                continue
            verified = self._verify(digest, reply.unwrap().content)
            if verified.is_ok():
                return verified
            failure = verified.unwrap_err()
        got = await self._store.get(RELEASE_KIND, digest)
        if got.is_err():
            return got
        if got.unwrap() is None:
            return Err(failure)
        return self._verify(digest, json.dumps(got.unwrap().value).encode())

    def _verify(self, digest: str, content: bytes) -> Result[Release, Failure]:
        read = _read_release(content)
        if read.is_err():
            return read
        release = read.unwrap()
        if release.approved is None:
            detail = f"bundle {digest[:12]} is not approved"
            return Err(Failure(ErrorKind.BAD_SIGNATURE, detail))
        valid = self._keys.verify_release(release.prepared, release.approved, digest)
        if valid.is_err():
            return valid
        self._releases[digest] = content
        return read

    async def _load_bundle(
        self, digest: str, sources: tuple[str, ...]
    ) -> Result[Bundle, Failure]:
        manifest = await self._get_chunk(digest, sources)
        if manifest.is_err():
            return manifest
        read = read_manifest(manifest.unwrap())
        if read.is_err():
            return read
        earlier = list(self._bundles.values())
        required = []
        for part in read.unwrap().parts.values():
            if not any(bundle.holds_part(part) for bundle in earlier):
                required.append(part)
        fetched = await asyncio.gather(
            *(self._get_chunk(part, sources) for part in required)
        )
        for outcome in fetched:
            if outcome.is_err():
                return outcome
        chunks = {outcome.unwrap().digest: outcome.unwrap() for outcome in fetched}
        assembled = Bundle.assemble(manifest.unwrap(), chunks, earlier)
        if assembled.is_ok():
            self._bundles[digest] = assembled.unwrap()
        return assembled

    async def _get_chunk(
        self, digest: str, sources: tuple[str, ...]
    ) -> Result[BundleChunk, Failure]:
        """Return a chunk; concurrent requests share one fetch."""
        held = self._chunks.get(digest)
        if held is not None:
            return Ok(held)
        task = self._fetching.get(digest)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._fetch(digest, sources))
            self._fetching[digest] = task
            task.add_done_callback(lambda _: self._fetching.pop(digest, None))
        return await asyncio.shield(task)

    async def _fetch(
        self, digest: str, sources: tuple[str, ...]
    ) -> Result[BundleChunk, Failure]:
        async with self._fetch_slots:
            for vm in sources:
                reply = await self._mesh.call(vm, FetchChunk(digest))
                if reply.is_err() or not isinstance(reply.unwrap(), Chunk):
                    continue
                chunk = BundleChunk(digest, reply.unwrap().content)
                if unpack(chunk).is_ok():
                    self._chunks[digest] = chunk
                    return Ok(chunk)
            return await self._fetch_stored(digest)

    async def _fetch_stored(self, digest: str) -> Result[BundleChunk, Failure]:
        got = await self._store.get(CHUNK_KIND, digest)
        if got.is_err():
            return got
        if got.unwrap() is None:
            detail = f"chunk {digest[:12]} not found on any VM or in the store"
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        content = base64.b64decode(got.unwrap().value["content"])
        chunk = BundleChunk(digest, content)
        checked = unpack(chunk)
        if checked.is_err():
            return checked
        self._chunks[digest] = chunk
        return Ok(chunk)

    async def _on_fetch_chunk(self, sender, message: FetchChunk):
        digest = message.digest
        if digest.startswith(RELEASE_PREFIX):
            content = self._releases.get(digest.removeprefix(RELEASE_PREFIX))
            if content is not None:
                return Chunk(digest, content)
        elif digest in self._chunks:
            return Chunk(digest, self._chunks[digest].content)
        elif (
            self.designated_fetcher() == self._vm
            and sender.data_centre == self._data_centre
        ):
            got = await self._get_chunk(digest, ())
            if got.is_ok():
                return Chunk(digest, got.unwrap().content)
        return failed(
            Failure(ErrorKind.NOT_FOUND, f"{self._vm} does not hold {digest[:24]}")
        )

    # Releases in the store

    async def _stored_release(self, digest: str) -> Result[Release, Failure]:
        got = await self._store.get(RELEASE_KIND, digest)
        if got.is_err():
            return got
        if got.unwrap() is None:
            detail = f"no bundle {digest[:12]} was prepared"
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        return _read_release(json.dumps(got.unwrap().value).encode())

    async def _add_signature(
        self, digest: str, key: str, signed: SignedStatement
    ) -> Result[None, Failure]:
        absent = False

        def change(value):
            nonlocal absent
            absent = value is None
            if absent or key in value:
                return None
            return {**value, key: signed.document()}

        written = await self._store.update(RELEASE_KIND, digest, change)
        if written.is_ok() and absent:
            detail = f"no bundle {digest[:12]} was prepared"
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        return written.map(lambda _: None)


def _read_release(content: bytes) -> Result[Release, Failure]:
    try:
        document = json.loads(content)
        statements = {
            key: document[key]
            for key in Release._fields
            if document.get(key) is not None
        }
        read = {key: read_signed(value) for key, value in statements.items()}
    except (ValueError, AttributeError) as error:
        detail = f"the signatures are malformed: {error}"
        return Err(Failure(ErrorKind.BAD_SIGNATURE, detail))
    for signed in read.values():
        if signed.is_err():
            return signed
    if "prepared" not in read:
        return Err(Failure(ErrorKind.BAD_SIGNATURE, "no signature of a preparer"))
    return Ok(Release(**{key: signed.unwrap() for key, signed in read.items()}))
