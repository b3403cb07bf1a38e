"""Messages that the VMs send one another to serve on the platform."""

from collections.abc import Iterable
from typing import NamedTuple

from .base import message
from .quotas import QuotaUse


class AdapterUse(NamedTuple):
    """One VM's use of an adapter on a target.

    ``running`` requests are under way; ``started`` began since the last word.
    """

    model: str
    adapter: str
    running: int
    started: int


class TargetLoad(NamedTuple):
    """One VM's requests on one target, and which adapters they use there.

    ``started_ms`` tells the start of the target that they run at, None if unknown.
    """

    target: str
    running: int
    uses: tuple[AdapterUse, ...]
    started_ms: int | None = None


@message("vm-loads")
class VmLoads(NamedTuple):
    """The requests that the sender has on targets; a target not named has none.

    ``quotas`` is what it let through of workspaces with a quota since its last word.
    """

    loads: tuple[TargetLoad, ...]
    quotas: tuple[QuotaUse, ...] = ()


class ForwardedLoads(NamedTuple):
    """The requests that one VM has on targets, as it told a relay."""

    vm: str
    loads: tuple[TargetLoad, ...]


@message("gathered-loads")
class GatheredLoads(NamedTuple):
    """The newest words of several VMs; each stands alone, as in ``VmLoads``."""

    words: tuple[ForwardedLoads, ...]


class HeldAdapter(NamedTuple):
    """An adapter in a slot of a target; ``ready`` when requests for it can run."""

    model: str
    adapter: str
    version: int
    ready: bool


class HeldAdapters(NamedTuple):
    """The adapters in the slots of a target: one adapter is one entry of each field.

    Each VM reads several times a second what all engines hold, and lists of plain
    values are read in a fraction of the time that a list of records takes.
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
    """What a target holds, by the VM that alone gives it orders.

    A higher ``fence`` is a later owner; ``number`` counts one owner's words. A prompt
    would wait ``turn_s`` for its turn there. Of the adapters that left the target it
    still remembers the newest ``recently_kept``. All is said of the start of the target
    that ``started_ms`` tells, None if unknown.
    """

    target: str
    fence: int
    number: int
    models: tuple[str, ...]
    adapters: HeldAdapters
    turn_s: float = 0.0
    started_ms: int | None = None
    recently_kept: int = 0


@message("target-released")
class TargetReleased(NamedTuple):
    """The sender gave a target back that it ordered under ``fence``."""

    target: str
    fence: int


class VmHoldings(NamedTuple):
    """What a target holds, as the VM that orders it told a relay."""

    vm: str
    holdings: TargetHoldings


@message("gathered-holdings")
class GatheredHoldings(NamedTuple):
    """The newest words on several targets; each stands alone, as its owner told it."""

    words: tuple[VmHoldings, ...]


@message("reserve-prompt")
class ReservePrompt(NamedTuple):
    """Ask a target's owner when the target may read a prompt of ``tokens``.

    Nothing is reserved if that is later than in ``most_s``, nor at another start of the
    target than ``started_ms`` tells.
    """

    target: str
    model: str
    adapter: str
    tokens: int
    most_s: float
    started_ms: int | None = None
    gap_ms: float = 300.0


@message("prompt-reserved")
class PromptReserved(NamedTuple):
    """Send the request in ``wait_s``; ``held`` False if its adapter isn't there.

    ``reserved`` False if the wait is longer than was asked for.
    """

    wait_s: float
    held: bool
    reserved: bool


@message("yield-target")
class YieldTarget(NamedTuple):
    """Ask a VM to order a target no more; its reply says that it doesn't."""

    target: str


@message("adapter-missing")
class AdapterMissing(NamedTuple):
    """Tell a target's owner that the target refused a request for this adapter.

    ``started_ms`` tells the start of the target that refused, None if unknown.
    """

    target: str
    model: str
    adapter: str
    started_ms: int | None = None


@message("request-ended")
class RequestEnded(NamedTuple):
    """Tell a target's owner that a request which had its turn there has ended.

    ``running`` requests of the sender still use the adapter at the target.
    """

    target: str
    model: str
    adapter: str
    running: int
    started_ms: int | None = None


@message("load-adapter")
class LoadAdapter(NamedTuple):
    """Ask a target's owner to load an adapter; version 0 is any that is there.

    Where no slot is free the owner waits ``slot_wait_s`` for one. Who waits is served
    by ``rank``, and in time if its slot comes within ``due_s``. The reply is
    ``AdapterLoaded``, or ``Failed`` when it can't be loaded soon, or when
    ``started_ms`` tells another start of the target than the owner orders.
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


@message("adapter-loaded")
class AdapterLoaded(NamedTuple):
    """The adapter is ready, at this version."""

    version: int


class RelayedRecord(NamedTuple):
    """One object of the store as a relay saw it, as JSON; none if it was deleted.

    A long one is ``packed``: deflated, as a zlib stream.
    """

    name: str
    revision: int
    body: str
    packed: bytes = b""

    @property
    def size(self) -> int:
        """The bytes that it takes in a message."""
        return len(self.body) + len(self.packed)


@message("relayed-changes")
class RelayedChanges(NamedTuple):
    """All changes of note of one kind after a revision of the store, up to another.

    A relay saw them on its own watch. With ``names``, those of all objects at
    ``until``, it has listed the kind: what isn't among them is gone, and what was at
    the revision ``compared_at`` as it is at ``until`` isn't told.
    """

    kind: str
    since: int
    until: int
    records: tuple[RelayedRecord, ...]
    names: tuple[str, ...] | None = None
    compared_at: int | None = None


@message("fetch-records")
class FetchRecords(NamedTuple):
    """Ask a VM for what it knows of a kind of the store's objects, after a name.

    Objects that haven't changed after the revision ``since`` are only named.
    """

    kind: str
    after: str
    since: int = -1


@message("fetched-records")
class FetchedRecords(NamedTuple):
    """What the sender knows of a kind, by name; ``more`` if names come after these.

    ``known`` is False if the sender has never listed the kind itself. It lacks no
    change of up to the revision ``until``, -1 if it can't say or send all objects.
    """

    known: bool
    records: tuple[RelayedRecord, ...]
    more: bool
    until: int = -1
    names: tuple[str, ...] = ()


class RelayedKind(NamedTuple):
    """A kind that a relay watches: nothing of note changed after ``since``.

    Up to the revision ``until`` the relay has passed on all that it saw.
    """

    kind: str
    since: int
    until: int


@message("target-leaves")
class TargetLeaves(NamedTuple):
    """A target said in an answer that it leaves, and takes no new work."""

    target: str
    started_ms: int | None = None


@message("target-limit")
class TargetLimit(NamedTuple):
    """How many requests a second a target takes from all VMs together.

    ``per_s`` None says that it names no limit any more.
    """

    target: str
    per_s: float | None
    started_ms: int | None = None


@message("relayed-until")
class RelayHeartbeat(NamedTuple):
    """The kinds whose watches a relay vouches for: what it saw, it has passed on."""

    kinds: tuple[RelayedKind, ...]
