"""The typed messages that VMs send one another.

Each message is a ``NamedTuple`` entered in ``MESSAGES`` by the ``message``
decorator under the name it has on the wire. A field is an int, float, str, bytes,
bool, None, another ``NamedTuple`` of this module or a tuple of these. Fields are
only ever added at the end, with a default, so that an older VM's message decodes.

Times are relative (``..._s``, seconds): clocks of different VMs are never compared.
"""

from typing import NamedTuple

from .registries import Registry

PROTOCOL_VERSION = 1

MESSAGES: Registry[type] = Registry("message")
message = MESSAGES.register


# Session and membership


@message("hello")
class Hello(NamedTuple):
    """The first message on a connection, from both ends."""

    vm: str
    incarnation: str
    data_centre: str
    address: str
    version: int = PROTOCOL_VERSION


@message("challenge")
class Challenge(NamedTuple):
    """Ask the other end to prove that it knows the shared secret."""

    nonce: bytes


@message("proof")
class Proof(NamedTuple):
    """The HMAC of a challenge and of the names of both ends."""

    mac: bytes


@message("heartbeat")
class Heartbeat(NamedTuple):
    """Sent on every connection each second, and whenever its content changes.

    ``staged_seq`` is 0 when no staged bundle is acknowledged and undecided.
    """

    in_force_seq: int
    staged_seq: int
    draining: bool
    open_requests: int
    capacity: int
    store_age_s: float


@message("goodbye")
class Goodbye(NamedTuple):
    """The sender has stopped for good: it holds nothing and sends nothing more."""

    vm: str
    incarnation: str


@message("failed")
class Failed(NamedTuple):
    """The reply to a call that could not be carried out."""

    kind: str
    detail: str
    retry_after_s: float | None = None


@message("done")
class Done(NamedTuple):
    """The reply to a call that has nothing to tell but that it was carried out."""


# Targets: state told by owners, grants to run


class Resident(NamedTuple):
    """An adapter version that a target has loaded, or is loading."""

    adapter: str
    version: str
    running: int
    loading: bool = False


@message("target-state")
class TargetState(NamedTuple):
    """What an owner tells of one of its targets; the newest ``serial`` wins."""

    target: str
    fence: int
    serial: int
    slots: int
    running: int
    queued: int
    leaving: bool
    residents: tuple[Resident, ...]
    boot_id: str = ""


@message("acquire-grant")
class AcquireGrant(NamedTuple):
    """Ask a target's owner for the right to run an adapter version there.

    The owner loads it first where it must and can before ``wait_s`` is over.
    ``load`` False asks only for what is already resident. ``ahead`` says that no
    request waits: the adapter is loaded if that costs nobody anything. The owner
    refuses after ``room_s`` in which no slot could be freed.
    """

    target: str
    adapter: str
    version: str
    base_model: str
    count: int
    priority: int
    wait_s: float
    load: bool = True
    ahead: bool = False
    room_s: float = 3600.0


@message("grant")
class GrantReply(NamedTuple):
    """A grant: up to ``count`` requests at a time, for ``ttl_s`` from the asking."""

    grant_id: str
    fence: int
    count: int
    ttl_s: float
    loaded_s: float = 0.0


@message("renew-grants")
class RenewGrants(NamedTuple):
    """Ask an owner to extend grants that still have running requests.

    ``begun`` tells for each grant how many requests began since it was last told.
    """

    target: str
    grant_ids: tuple[str, ...]
    begun: tuple[int, ...] = ()


@message("renewed-grants")
class RenewedGrants(NamedTuple):
    """The grants that were extended; one not named ends at its old time."""

    grant_ids: tuple[str, ...]
    ttl_s: float


@message("release-grant")
class ReleaseGrant(NamedTuple):
    """Give a grant back: nothing runs under it and nothing will."""

    target: str
    grant_id: str
    begun: int = 0


@message("revoke-grant")
class RevokeGrant(NamedTuple):
    """An owner asks for a grant back: start nothing new, release it when idle."""

    target: str
    grant_id: str


@message("target-suspect")
class TargetSuspect(NamedTuple):
    """Tell an owner that a target failed a request, so that it probes it."""

    target: str
    boot_id: str
    reason: str


# The weight store's load allowance


@message("acquire-load")
class AcquireLoad(NamedTuple):
    """Ask the holder of a load allowance for leave to start one load.

    ``waiting`` counts the requests that wait for it, 0 for a load ahead.
    """

    weight_store: str
    target: str
    adapter: str
    version: str
    priority: int
    wait_s: float
    waiting: int = 1


@message("load-permit")
class LoadPermit(NamedTuple):
    """Leave to start one load within ``start_within_s`` of the asking."""

    permit_id: str
    start_within_s: float


@message("release-load")
class ReleaseLoad(NamedTuple):
    """The load of a permit has ended, well or not."""

    weight_store: str
    permit_id: str
    loaded: bool


# Popularity of adapters


class AdapterCount(NamedTuple):
    """How many requests for an adapter a VM has admitted since it last told."""

    adapter: str
    count: int


@message("popularity-counts")
class PopularityCounts(NamedTuple):
    """What a VM has counted since it last told; ``serial`` counts its messages.

    Adapters that don't fit are told later. A receiver takes each serial once.
    """

    serial: int
    counts: tuple[AdapterCount, ...]


# Claims: non-idempotent requests run at most once


@message("claim")
class Claim(NamedTuple):
    """Claim an idempotency key before its request is sent to a target.

    ``vm`` and ``incarnation`` name the VM that will run the request.
    """

    caller: str
    key: str
    fingerprint: bytes
    attempt_id: str
    vm: str = ""
    incarnation: str = ""


@message("claimed")
class Claimed(NamedTuple):
    """What became of a claim.

    ``state`` is ``new`` (the claim is the asker's: run it), ``running``, ``done``
    (with the recorded outcome), ``unknown`` (it may have run) or ``reused`` (the
    key stands for another request).
    """

    state: str
    attempt_id: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@message("record-outcome")
class RecordOutcome(NamedTuple):
    """Record how the request of a claim ended; ``not_run`` frees the key."""

    caller: str
    key: str
    attempt_id: str
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


# Bundles


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
    """Ask for a chunk of a bundle by its digest."""

    digest: str


@message("chunk")
class Chunk(NamedTuple):
    """A chunk of a bundle; the receiver checks it against its digest."""

    digest: str
    content: bytes


@message("fetch-bundle-pointer")
class FetchBundlePointer(NamedTuple):
    """Ask a peer for the newest bundle pointer that it knows."""


@message("bundle-pointer")
class BundlePointer(NamedTuple):
    """The newest accepted bundle that a VM knows, and what is staged after it.

    Every stage up to ``decided_seq`` was accepted or abandoned. ``age_s`` seconds
    ago the staged bundle was not accepted yet; negative when nothing says so.
    """

    seq: int
    digest: str
    staged_seq: int
    staged_digest: str
    decided_seq: int = 0
    staged_vm: str = ""
    staged_incarnation: str = ""
    age_s: float = -1.0


# Leases


@message("renew-lease")
class RenewLease(NamedTuple):
    """Ask the data centre's aggregator to renew the sender's lease."""

    vm: str
    incarnation: str
    counter: int


@message("lease-renewed")
class LeaseRenewed(NamedTuple):
    """The renewal with this counter has been written to the store."""

    counter: int


# Requests that crash their target


@message("crash-suspects")
class CrashSuspects(NamedTuple):
    """Requests that were on a target when it died, by fingerprint."""

    target: str
    boot_id: str
    fingerprints: tuple[bytes, ...]


@message("take-suspect-place")
class TakeSuspectPlace(NamedTuple):
    """Ask a target's owner for its only place for a suspect request."""

    target: str
    request_id: str
    hold_s: float


@message("give-suspect-place")
class GiveSuspectPlace(NamedTuple):
    """Give the place back: the suspect's attempt has ended."""

    target: str
    request_id: str


# The time line


class EventRecord(NamedTuple):
    """One numbered event, with its hybrid logical time."""

    wall_ms: int
    logical: int
    vm: str
    number: int
    subject: str
    text: str


@message("collect-events")
class CollectEvents(NamedTuple):
    """Ask a VM for its newest events; an empty filter matches all."""

    subject: str
    limit: int


@message("collected-events")
class CollectedEvents(NamedTuple):
    """A VM's newest events, oldest first."""

    events: tuple[EventRecord, ...]
