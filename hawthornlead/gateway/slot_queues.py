"""Queue of the requests that wait for a slot of an engine.

On engines with few slots most slots are in use at busy moments, but one becomes free
several times a second. A request that can still start in time waits for it. A request
that can't is refused at once, with the time after which it may succeed. So the expected
wait bounds the queue, not a maximum length.

Requests that are still in time come before those that are late, then requests of the
more urgent route, then those that are due first. Requests for one adapter share a slot
and count once.
"""

from typing import NamedTuple

from .engine_slots import AdapterKey

# The rate at which slots become free is estimated from the slots taken within this
# time, about ten on a busy engine with five slots.
RATE_WINDOW_S = 2.0
# The assumed time between two free slots before any was observed: five slots with runs
# of one second each.
INITIAL_INTERVAL_S = 0.2


class SlotRequest(NamedTuple):
    """A request for a slot.

    ``rank`` is that of its route, 0 the most urgent. ``due_at`` is by when its adapter
    must be ordered for an answer in time, ``until`` when the request stops waiting.
    """

    key: AdapterKey
    rank: int
    due_at: float
    until: float


class SlotQueue:
    """The requests that wait for a slot of one engine.

    ::

        request = SlotRequest(key, rank=0, due_at=now + 0.3, until=now + 0.5)
        if queue.expected_wait(request, now) <= request.until - now:
            queue.add(request)
        queue.is_next(key, now)
        queue.remove(request)
    """

    def __init__(self):
        self._waiting: list[SlotRequest] = []
        self._taken_at: list[float] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: SlotRequest) -> None:
        """Add a waiting request."""
        self._waiting.append(request)

    def remove(self, request: SlotRequest) -> None:
        """Remove a request that no longer waits."""
        self._waiting.remove(request)

    def record_taken(self, now: float) -> None:
        """Record that a slot was taken."""
        self._taken_at.append(now)

    def is_next(self, key: AdapterKey, now: float) -> bool:
        """Whether no other adapter comes before this one."""
        if not self._waiting:
            return True
        return min(self._waiting, key=lambda each: _order(each, now)).key == key

    def expected_wait(self, request: SlotRequest, now: float) -> float:
        """Return how long a request would wait for a slot, in seconds."""
        own_order = _order(request, now)
        ahead = set()
        for other in self._waiting:
            if other.key != request.key and _order(other, now) < own_order:
                ahead.add(other.key)
        return (len(ahead) + 1) * self._slot_interval_s(now)

    def _slot_interval_s(self, now: float) -> float:
        """Return the recently observed time between two free slots."""
        self._taken_at = [at for at in self._taken_at if now - at < RATE_WINDOW_S]
        if not self._taken_at:
            return INITIAL_INTERVAL_S
        return min(INITIAL_INTERVAL_S * 2, RATE_WINDOW_S / len(self._taken_at))


def _order(request: SlotRequest, now: float) -> tuple[bool, int, float]:
    return (now > request.due_at, request.rank, request.due_at)
