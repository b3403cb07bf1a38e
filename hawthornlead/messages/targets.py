"""Messages of targets: their state as reported by owners, and grants to run there."""

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
    """The state of a target, reported by its owner; the newest ``serial`` wins."""

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
    """Request a grant to run an adapter version from a target's owner.

    The owner loads it first if needed, and if that is possible within ``wait_s``.
    ``load`` False requests only what is already resident. ``prefetch`` means that no
    request waits: the adapter is loaded if that delays no other request. The owner
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
    """A grant: up to ``count`` requests at a time, for ``ttl_s`` from the request."""

    grant_id: str
    fence: int
    count: int
    ttl_s: float
    loaded_s: float = 0.0


@message("renew-grants")
class RenewGrants(NamedTuple):
    """Request that an owner extends grants that still have running requests.

    ``begun`` is for each grant the number of requests started since it was last sent.
    """

    target: str
    grant_ids: tuple[str, ...]
    begun: tuple[int, ...] = ()


@message("renewed-grants")
class RenewedGrants(NamedTuple):
    """The grants that were extended; one not named expires at its old time."""

    grant_ids: tuple[str, ...]
    ttl_s: float


@message("release-grant")
class ReleaseGrant(NamedTuple):
    """Release a grant: nothing runs under it and nothing will."""

    target: str
    grant_id: str
    begun: int = 0


@message("revoke-grant")
class RevokeGrant(NamedTuple):
    """An owner revokes a grant: start nothing new, release it when idle."""

    target: str
    grant_id: str


@message("target-suspect")
class TargetSuspect(NamedTuple):
    """Notify an owner that a target failed a request, so that it probes the target."""

    target: str
    boot_id: str
    reason: str
