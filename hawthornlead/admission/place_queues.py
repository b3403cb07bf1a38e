"""The order of the requests that wait for a place of one target.

Requests that can still be in time come first, then those of the more urgent rank, then
by fair order over workspaces if there is one, then those that are due first. A late
response still earns a part of its credit, so late requests wait behind the others.
"""

import math
from typing import NamedTuple, Protocol

# A request starves if it has waited beyond its due time for its ``patience_s``. It then
# goes first within its rank, but only with one place in so many: under lasting overload
# all requests starve, and if they all went first, none would be in time.
STARVING_SHARE = 8


class ShareOrder(Protocol):
    """A fair order of requests over workspaces."""

    def tag(self, share_key: str, cost: float) -> float:
        """Return the position of a new request; lower ones come first."""

    def served(self, tag: float) -> None:
        """Record that the request at a position was served."""

    def withdraw(self, share_key: str, cost: float) -> None:
        """Give back the cost of a request that left unserved."""


class PlaceRequest(NamedTuple):
    """A request of a VM for a place.

    ``due_at`` is by when it must start to be in time, ``until`` when it stops waiting
    and ``ends_by`` when it has ended at the latest. ``number`` is the VM's own for
    it, and ``key`` names what it uses of the target.
    """

    vm: str
    number: int
    rank: int
    due_at: float
    until: float
    ends_by: float = math.inf
    patience_s: float = 0.1
    tokens: int = 0
    key: str = ""
    share_key: str = ""


class _Waiting(NamedTuple):
    request: PlaceRequest
    position: float


class PlaceQueue:
    """The requests that wait for a place of one target.

    ::

        queue.add(request)
        request = queue.first(now)
        queue.take(request)
    """

    def __init__(self, shares: ShareOrder | None = None):
        self._shares = shares
        # Whether a request of a workspace has waited. Without workspaces the requests
        # that are due first come first.
        self._has_workspaces = False
        self._waiting: dict[tuple[str, int], _Waiting] = {}
        # How many requests of each rank were served since the last starving one.
        self._since_starving: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: PlaceRequest) -> None:
        """Add a waiting request."""
        position = 0.0
        self._has_workspaces = self._has_workspaces or bool(request.share_key)
        if self._shares is not None and self._has_workspaces:
            position = self._shares.tag(request.share_key, _cost(request))
        self._waiting[request.vm, request.number] = _Waiting(request, position)

    def remove(self, vm: str, number: int) -> bool:
        """Remove a request that no longer waits; False if it didn't wait."""
        removed = self._waiting.pop((vm, number), None)
        if removed is None:
            return False
        if self._shares is not None and self._has_workspaces:
            self._shares.withdraw(removed.request.share_key, _cost(removed.request))
        return True

    def first(self, now: float) -> PlaceRequest | None:
        """Return the request that is served next, None if none waits."""
        if not self._waiting:
            return None
        first = min(self._waiting.values(), key=lambda each: self._order(each, now))
        return first.request

    def take(self, request: PlaceRequest, now: float) -> None:
        """Remove a request that is served now."""
        waiting = self._waiting.pop((request.vm, request.number))
        if self._shares is not None:
            self._shares.served(waiting.position)
        rank = request.rank
        if _is_starving(request, now):
            self._since_starving[rank] = 0
        else:
            self._since_starving[rank] = self._since_starving.get(rank, 0) + 1

    def ahead(self, request: PlaceRequest, now: float) -> int:
        """Return how many waiting requests come before a new one."""
        own = (now > request.due_at, request.rank)
        count = 0
        for other, _ in self._waiting.values():
            order = (now > other.due_at, other.rank)
            if order < own or (
                order == own
                and (other.due_at <= request.due_at or self._shares is not None)
            ):
                count += 1
        return count

    def _order(
        self, waiting: _Waiting, now: float
    ) -> tuple[bool, int, bool, float, float]:
        request, position = waiting
        late = now > request.due_at
        starves = (
            late
            and now > request.due_at + request.patience_s
            and self._since_starving.get(request.rank, 0) >= STARVING_SHARE - 1
        )
        return (
            late and not starves,
            request.rank,
            not starves,
            position,
            request.due_at,
        )


def _cost(request: PlaceRequest) -> float:
    """Return what a request costs: its tokens, 1 at a plain target."""
    return float(request.tokens or 1)


def _is_starving(request: PlaceRequest, now: float) -> bool:
    return now > request.due_at + request.patience_s
