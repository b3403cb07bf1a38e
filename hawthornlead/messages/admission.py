"""Messages by which VMs ask for places at plain targets."""

from typing import NamedTuple

from .base import message


@message("reserve-place")
class ReservePlace(NamedTuple):
    """Request a place at a plain target from the VM that coordinates its places.

    The request must start within ``due_s`` to be in time, and waits ``wait_s`` at most.
    If it gets a place, it has ended after ``ends_s`` at the latest. If it has waited
    for ``patience_s`` beyond its due time, it starves. ``number`` is the sender's own
    for it; ``share_key`` names its workspace.
    """

    target: str
    started_ms: int | None
    rank: int
    due_s: float
    wait_s: float
    number: int = 0
    ends_s: float = 4.0
    patience_s: float = 0.1
    share_key: str = ""


@message("place-reserved")
class PlaceReserved(NamedTuple):
    """Whether a request has its place at a target with ``running`` requests.

    If not, a place is expected in ``wait_s``.
    """

    reserved: bool
    wait_s: float
    running: int


@message("place-ended")
class PlaceEnded(NamedTuple):
    """A request with a place has ended, ``took_ms`` after it was sent.

    It may still wait for its place, if its VM no longer waits for the reply.
    ``took_ms`` is negative if it was not sent.
    """

    target: str
    started_ms: int | None
    took_ms: float
    number: int = 0
