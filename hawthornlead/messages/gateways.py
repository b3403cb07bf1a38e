"""Messages by which gateway VMs share load, holdings, records and target states."""

from collections.abc import Iterable
from typing import NamedTuple

from .base import message
from .quotas import QuotaUse


class AdapterUse(NamedTuple):
    """One VM's use of an adapter on a target.

    ``running`` requests are under way; ``started`` of them started since the last
    announcement.
    """

    model: str
    adapter: str
    running: int
    started: int


class TargetLoad(NamedTuple):
    """One VM's requests on one target, and the adapters that they use.

    ``started_ms`` identifies the target's incarnation, None if unknown.
    """

    target: str
    running: int
    uses: tuple[AdapterUse, ...]
    started_ms: int | None = None


@message("vm-loads")
class VmLoads(NamedTuple):
    """The requests that the sender has on targets; a target not named has none.

    ``quotas`` is what it admitted of workspaces with a quota since its last
    announcement.
    """

    loads: tuple[TargetLoad, ...]
    quotas: tuple[QuotaUse, ...] = ()


class ForwardedLoads(NamedTuple):
    """The requests that one VM has on targets, as it announced them to a head."""

    vm: str
    loads: tuple[TargetLoad, ...]


@message("gathered-loads")
class GatheredLoads(NamedTuple):
    """The newest announcements of several VMs, each complete as in ``VmLoads``."""

    words: tuple[ForwardedLoads, ...]


class HeldAdapter(NamedTuple):
    """An adapter in a slot of a target; ``ready`` when requests for it can run."""

    model: str
    adapter: str
    version: int
    ready: bool


class HeldAdapters(NamedTuple):
    """The adapters in the slots of a target: one adapter is one entry of each field.

    Each VM decodes the holdings of all engines several times a second, and lists of
    plain values decode in a fraction of the time of a list of records.
    """

    models: tuple[str, ...] = ()
    names: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()
    ready: tuple[bool, ...] = ()

    @classmethod
    def of(cls, adapters: Iterable[HeldAdapter]) -> "HeldAdapters":
        """Return these adapters field by field."""
        return cls(*zip(*adapters, strict=True))


@message("target-holdings")
class TargetHoldings(NamedTuple):
    """What a target holds, announced by its owner.

    A higher ``fence`` is a later owner; ``number`` counts the announcements of one
    owner. A prompt would wait ``turn_s`` for its turn there. Of the adapters that left
    the target it still remembers the newest ``recently_kept``. ``started_ms``
    identifies the target's incarnation, None if unknown. An event of a stream takes
    ``event_ms`` there, ``full_event_ms`` beside a full batch, and prompts are read at
    ``read_tokens_per_ms``; 0 if unknown.
    """

    target: str
    fence: int
    number: int
    models: tuple[str, ...]
    adapters: HeldAdapters
    turn_s: float = 0.0
    started_ms: int | None = None
    recently_kept: int = 0
    event_ms: int = 0
    full_event_ms: int = 0
    read_tokens_per_ms: int = 0


@message("target-released")
class TargetReleased(NamedTuple):
    """The sender released a target that it owned under ``fence``."""

    target: str
    fence: int


class VmHoldings(NamedTuple):
    """What a target holds, as its owner announced it to a head."""

    vm: str
    holdings: TargetHoldings


@message("gathered-holdings")
class GatheredHoldings(NamedTuple):
    """The newest holdings of several targets, each as its owner announced it."""

    words: tuple[VmHoldings, ...]


@message("reserve-prompt")
class ReservePrompt(NamedTuple):
    """Request a turn for a prompt of ``tokens`` from a target's owner.

    Nothing is reserved if the turn is more than ``most_s`` away, or if the target runs
    as another incarnation than ``started_ms`` identifies.

    Unless ``wait_s`` is negative, the request also needs a place in the batch, and
    memory for ``tokens`` and ``output_tokens``. It waits ``wait_s`` for these at most,
    and must start within ``due_s`` to be in time. ``share_key`` names its workspace.
    """

    target: str
    model: str
    adapter: str
    tokens: int
    most_s: float
    started_ms: int | None = None
    gap_ms: float = 300.0
    rank: int = 0
    due_s: float = 0.0
    output_tokens: int = 0
    wait_s: float = -1.0
    share_key: str = ""


@message("prompt-reserved")
class PromptReserved(NamedTuple):
    """Send the request in ``wait_s``; ``held`` False if its adapter isn't there.

    ``reserved`` False if the wait is longer than requested. The target has ``running``
    requests of all VMs, -1 if they aren't counted. If there is no place for the
    request, one is expected in ``place_s``.
    """

    wait_s: float
    held: bool
    reserved: bool
    running: int = -1
    place_s: float = 0.0


@message("yield-target")
class YieldTarget(NamedTuple):
    """Request that a VM releases a target; the reply confirms that it has."""

    target: str


@message("adapter-missing")
class AdapterMissing(NamedTuple):
    """Notify a target's owner that the target refused a request for this adapter.

    ``started_ms`` identifies the incarnation that refused, None if unknown.
    """

    target: str
    model: str
    adapter: str
    started_ms: int | None = None


@message("request-ended")
class RequestEnded(NamedTuple):
    """Notify a target's owner that a request which had its turn there has ended.

    ``running`` requests of the sender still use the adapter at the target. If the
    request was a stream, the median time between its events was ``event_ms``, and its
    first one came ``first_ms`` after sending; 0 if not measured. Its prompt had
    ``prompt_tokens``, and ``beside`` other requests ran there when it was sent.
    """

    target: str
    model: str
    adapter: str
    running: int
    started_ms: int | None = None
    event_ms: int = 0
    first_ms: int = 0
    prompt_tokens: int = 0
    beside: int = 0


@message("load-adapter")
class LoadAdapter(NamedTuple):
    """Request that a target's owner loads an adapter; version 0 is any that is there.

    If no slot is free, the owner waits ``slot_wait_s`` for one. Waiting requests are
    served by ``rank``, and in time if a slot is free within ``due_s``. The reply is
    ``AdapterLoaded``, or ``Failed`` when it can't be loaded soon, or when
    ``started_ms`` identifies another incarnation than the owner orders. A prompt of
    ``tokens`` follows, None if unknown, beside streams that tolerate ``gap_ms``.
    """

    target: str
    model: str
    adapter: str
    version: int
    wait_s: float
    started_ms: int | None = None
    rank: int = 0
    due_s: float = 0.0
    slot_wait_s: float = 0.0
    tokens: int | None = None
    gap_ms: float = 300.0


@message("adapter-loaded")
class AdapterLoaded(NamedTuple):
    """The adapter is ready, at this version.

    The prompt's turn is in ``turn_s``; None if it has none and must ask for one.
    """

    version: int
    turn_s: float | None = None


class RelayedRecord(NamedTuple):
    """One object of the store as a relay saw it, as JSON; empty if it was deleted.

    A long one is ``packed``, a zlib stream.
    """

    name: str
    revision: int
    body: str
    packed: bytes = b""

    @property
    def size(self) -> int:
        """The number of bytes that it takes in a message."""
        return len(self.body) + len(self.packed)


@message("relayed-changes")
class RelayedChanges(NamedTuple):
    """All effective changes of one kind after a revision of the store, up to another.

    A relay saw them on its own watch. With ``names``, those of all objects at
    ``until``, it has listed the kind: other objects are gone, and objects that are the
    same at ``until`` as at the revision ``compared_at`` are left out.
    """

    kind: str
    since: int
    until: int
    records: tuple[RelayedRecord, ...]
    names: tuple[str, ...] | None = None
    compared_at: int | None = None


@message("fetch-records")
class FetchRecords(NamedTuple):
    """Request the store's objects of a kind that a VM knows, after a name.

    Objects that haven't changed after the revision ``since`` are only named, except
    versions that the store has lost.
    """

    kind: str
    after: str
    since: int = -1


@message("fetched-records")
class FetchedRecords(NamedTuple):
    """Objects of a kind that the sender knows, by name; ``more`` if others follow.

    ``known`` is False if the sender has never listed the kind. It lacks no change up to
    the revision ``until``, -1 if that is unknown or it can't send all objects.
    """

    known: bool
    records: tuple[RelayedRecord, ...]
    more: bool
    until: int = -1
    names: tuple[str, ...] = ()


class RelayedKind(NamedTuple):
    """A kind that a relay watches: there was no effective change after ``since``.

    The relay has forwarded all changes up to the revision ``until``. ``lost`` is a
    digest of the versions that it keeps though the store has lost them, 0 for none.
    """

    kind: str
    since: int
    until: int
    lost: int = 0


@message("target-leaves")
class TargetLeaves(NamedTuple):
    """A target stated in an answer that it is leaving, and accepts no new requests."""

    target: str
    started_ms: int | None = None


@message("target-limit")
class TargetLimit(NamedTuple):
    """How many requests a second a target accepts from all VMs together.

    ``per_s`` None means that it no longer states a limit.
    """

    target: str
    per_s: float | None
    started_ms: int | None = None


@message("target-full")
class TargetFull(NamedTuple):
    """A brittle target refused a request of the sender for want of room.

    It had about ``running`` other requests of all VMs, and bears ``allowed_per_s``
    refusals a second, of all VMs together.
    """

    target: str
    running: int
    allowed_per_s: float
    started_ms: int | None = None


@message("relayed-until")
class RelayHeartbeat(NamedTuple):
    """The kinds that a relay confirms up to date: it has forwarded all it saw."""

    kinds: tuple[RelayedKind, ...]
