"""What a request needs to be placed at a target."""

from typing import NamedTuple

from .records import CallerRequest, Route


class PlacementRequest(NamedTuple):
    """A request that needs a target; ``excluded`` targets have been tried already.

    ``workspace`` is the name of its workspace, empty if it has none.
    Only targets that run the ``software`` version are used, of any version if None.
    """

    route: Route
    service: str
    request: CallerRequest
    arrived_at: float
    deadline_at: float
    excluded: frozenset[str]
    software: str | None = None
    workspace: str = ""
