"""Messages of the weight store's load allowance."""

from typing import NamedTuple

from .base import message


@message("acquire-load")
class AcquireLoad(NamedTuple):
    """Request a permit to start one load from the holder of a load allowance.

    ``waiting`` counts the requests that wait for it, 0 for a preload.
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
    """A permit to start one load within ``start_within_s`` of the request."""

    permit_id: str
    start_within_s: float


@message("release-load")
class ReleaseLoad(NamedTuple):
    """The load of a permit has ended, successfully or not."""

    weight_store: str
    permit_id: str
    loaded: bool
