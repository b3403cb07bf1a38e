"""Who gets the next slot of an engine: the order in which requests wait for one.

Where engines have few slots, most are in use at busy moments, yet one comes free some
times a second. A request that can still begin in time waits for it; one that can't is
told so at once, with when it may. So the queue is kept short by what it promises, not
by a number of places.

Requests that are still in time come before those that are late, then the more urgent
route, then who must begin first. Requests for one adapter share a slot and count once.
"""

from typing import NamedTuple

from .engine_slots import AdapterKey

# Slots come free as often as they were taken lately. Counted over this time, which has
# some ten of them at a busy engine with five slots.
RATE_WINDOW_S = 2.0
# What is taken for the time between two free slots before it was seen: five slots with
# runs of one second each.
INITIAL_INTERVAL_S = 0.2


class SlotRequest(NamedTuple):
    """One request that wants a slot.

    ``rank`` is its route's, 0 the most urgent. ``due_at`` is when its adapter has to be
    ordered for an answer in time, ``until`` when the request gives up.
    """

    key: AdapterKey
    rank: int
    due_at: float
    until: float


class SlotQueue:
    """The requests that wait for a slot of one engine.

    ::

        wanted = SlotRequest(key, rank=0, due_at=now + 0.3, until=now + 0.5)
        if queue.expected_wait(wanted, now) <= wanted.until - now:
            queue.add(wanted)
        queue.is_next(key, now)
        queue.remove(wanted)
    """

    def __init__(self):
        self._waiting: list[SlotRequest] = []
        self._taken: list[float] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, wanted: SlotRequest) -> None:
        """Let a request wait."""
        self._waiting.append(wanted)

    def remove(self, wanted: SlotRequest) -> None:
        """Note that a request waits no more."""
        self._waiting.remove(wanted)

    def record_taken(self, now: float) -> None:
        """Note that a slot was taken."""
        self._taken.append(now)

    def is_next(self, key: AdapterKey, now: float) -> bool:
        """Whether no other adapter comes before this one."""
        if not self._waiting:
            return True
        return min(self._waiting, key=lambda each: _order(each, now)).key == key

    def expected_wait(self, wanted: SlotRequest, now: float) -> float:
        """Return how long a request would wait for a slot, in seconds."""
        mine = _order(wanted, now)
        ahead = set()
        for other in self._waiting:
            if other.key != wanted.key and _order(other, now) < mine:
                ahead.add(other.key)
        return (len(ahead) + 1) * self._slot_interval_s(now)

    def _slot_interval_s(self, now: float) -> float:
        """Return the time between two free slots, as seen lately."""
        self._taken = [at for at in self._taken if now - at < RATE_WINDOW_S]
        if not self._taken:
            return INITIAL_INTERVAL_S
        return min(INITIAL_INTERVAL_S * 2, RATE_WINDOW_S / len(self._taken))


def _order(wanted: SlotRequest, now: float) -> tuple[bool, int, float]:
    return (now > wanted.due_at, wanted.rank, wanted.due_at)
