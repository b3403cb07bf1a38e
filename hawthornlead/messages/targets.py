"""Messages of targets: their state as owners tell it, and grants to run there."""

from typing import NamedTuple

from .base import message


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
    ``load`` False asks only for what is already resident. ``prefetch`` says that no
    request waits: the adapter is loaded if that costs nobody anything. The owner
    refuses after ``slot_wait_s`` in which no slot could be freed.
    """

    target: str
    adapter: str
    version: str
    base_model: str
    count: int
    priority: int
    wait_s: float
    load: bool = True
    prefetch: bool = False
    slot_wait_s: float = 3600.0


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
