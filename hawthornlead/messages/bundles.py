"""Messages that stage, fetch and decide bundles."""

from typing import NamedTuple

from .base import message


@message("stage-bundle")
class StageBundle(NamedTuple):
    """A bundle was staged: fetch and verify it, and acknowledge.

    ``base_seq`` and ``base_digest`` were in force when it was staged; ``vm`` and
    ``incarnation`` staged it, and no other process can accept it.
    """

    seq: int
    digest: str
    base_seq: int = 0
    base_digest: str = ""
    vm: str = ""
    incarnation: str = ""


@message("staged-bundle")
class StagedBundle(NamedTuple):
    """The acknowledgement of a staged bundle, content verified."""

    seq: int
    digest: str
    vm: str
    incarnation: str


@message("bundle-decided")
class BundleDecided(NamedTuple):
    """A staged bundle was accepted and is in force, or was abandoned."""

    seq: int
    digest: str
    accepted: bool


@message("fetch-chunk")
class FetchChunk(NamedTuple):
    """Request a chunk of a bundle by its digest."""

    digest: str


@message("chunk")
class Chunk(NamedTuple):
    """A chunk of a bundle; the receiver checks it against its digest."""

    digest: str
    content: bytes


@message("fetch-bundle-pointer")
class FetchBundlePointer(NamedTuple):
    """Request the newest bundle pointer that a peer knows."""


@message("bundle-pointer")
class BundlePointer(NamedTuple):
    """The newest accepted bundle that a VM knows, and what is staged after it.

    Every stage up to ``decided_seq`` was accepted or abandoned. ``age_s`` seconds
    ago the staged bundle was not accepted yet; negative when that is unknown.
    """

    seq: int
    digest: str
    staged_seq: int
    staged_digest: str
    decided_seq: int = 0
    staged_vm: str = ""
    staged_incarnation: str = ""
    age_s: float = -1.0
