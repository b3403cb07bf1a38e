"""The account of what a process holds for its clients, and who gives way in it.

Every connection that a client opened has a holding: its buffers, its request, and the
part of its answer that the client has not taken yet. When the account is full, those
give way for which the process waits, the one with the most bytes for the longest time
first. A request on which the process works gives way to none; what finds no room then
is refused::

    account = Account(Limits(48 << 20, 2000, 60.0), timers.now)
    holding = account.open(stream.close)
    if not holding.reserve(len(chunk)):
        refuse()
"""

from collections.abc import Callable
from typing import NamedTuple

# What an open connection takes beside its request: objects of this process, and what
# the system may keep for it, bounded by ``SOCKET_BUFFER_BYTES`` in each direction.
CONNECTION_BYTES = 24 << 10
SOCKET_BUFFER_BYTES = 16 << 10
# The last quarter of the memory is for holdings that are no larger than this. Thus a
# crowd of large requests, none of which gives way, leaves room for ordinary ones.
SMALL_BYTES = 128 << 10
LARGE_SHARE = 0.75
# When holdings give way, more room is made than was asked for, so that not every
# arrival needs a search.
SPARE_SHARE = 1 / 16


class Limits(NamedTuple):
    """The limits of an account.

    ``held_bytes`` is the memory for all holdings, ``connections`` how many may be open,
    and ``silent_s`` how long a client may neither send nor take a byte that the process
    waits for.
    """

    held_bytes: int
    connections: int
    silent_s: float


class Holding:
    """What is held for one connection.

    ``give_way`` is called when its room is needed; it must close the connection.
    """

    def __init__(self, account: "Account", give_way: Callable[[], None]):
        self._account = account
        self._held = 0
        self._buffered = 0
        self._unread = 0
        self._head = 0
        self._ending = 0
        # Requests that are worked on: the next one may come before the last one's end.
        self._working = 0
        self._waiting_since = self._moved_at = account.now()
        self._close_at: float | None = None
        self.give_way = give_way

    @property
    def held(self) -> int:
        """The bytes that are held."""
        return self._held

    @property
    def waits(self) -> bool:
        """Whether the process waits for the client, to send or to take bytes."""
        return not self._working or self._buffered > 0

    @property
    def waiting_since(self) -> float:
        """Since when the process waits for the client, whatever it sends meanwhile."""
        return self._waiting_since

    def reserve(self, size: int) -> bool:
        """Reserve more bytes; return False if there is no room for them."""
        self._moved_at = self._account.now()
        if not self._account.reserve(self, size):
            return False
        self._held += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self._held -= size
        self._account.release(size)

    def set_buffered(self, size: int) -> bool:
        """Set how much waits for the client, to take it or to send the rest of it.

        Returns False if there is no room for it.
        """
        grown, was_waiting = size - self._buffered, self.waits
        if grown > 0 and not self.reserve(grown):
            return False
        self._buffered = size
        if grown < 0:
            self._moved_at = self._account.now()
            self.release(-grown)
        if self.waits and not was_waiting:
            self._waiting_since = self._account.now()
        return True

    def hold_head(self, size: int) -> bool:
        """Hold the head of the next request, before it is parsed; False if full."""
        self.release(self._head)
        self._head = 0
        if not self.reserve(size):
            return False
        self._head = size
        return True

    def take_head(self) -> int:
        """Return how much is held for the last head, for the caller to release."""
        taken, self._head = self._head, 0
        return taken

    def hold_unread(self) -> bool:
        """Hold what a client may send while its request is worked on; False if full."""
        if self._unread:
            return True
        size = 2 * SOCKET_BUFFER_BYTES
        if not self.reserve(size):
            return False
        self._unread = size
        return True

    def begin_request(self) -> None:
        """Note that the client has begun to send a request."""
        self.release(self._unread)
        self._unread = 0
        self._waiting_since = self._moved_at = self._account.now()

    def begin_work(self) -> None:
        """Note that the request is complete, so that the client waits."""
        self._working += 1

    def end_work(self) -> None:
        """Note that the request is answered, as far as the process is concerned."""
        self._working -= 1
        if not self._buffered:
            self._waiting_since = self._moved_at = self._account.now()

    def close_after(self, wait_s: float) -> None:
        """Have the connection closed after ``wait_s`` seconds."""
        self._close_at = self._account.now() + wait_s

    def is_overdue(self, now: float, silent_s: float) -> bool:
        """Whether the client had its time, or is silent in a request or an answer."""
        if self._close_at is not None and self._close_at <= now:
            return True
        return self.waits and now - self._moved_at > silent_s

    def close(self) -> None:
        """Note that the connection is closed, and its buffers are gone with it.

        Its request is gone only after ``end``.
        """
        if not self._account.forget(self):
            return
        # Without the reference to the request its head is freed at once, and not only
        # by the garbage collector.
        self.give_way = _do_nothing
        self.release(self._buffered + self._unread)
        self._buffered = self._unread = 0
        self._ending = 0 if self._working else self._held
        self._account.add_ending(self._ending)

    def end(self) -> None:
        """Note that nothing reads from the connection any more, which is closed."""
        self._account.add_ending(-self._ending)
        self._ending = 0
        self.release(CONNECTION_BYTES + self.take_head())


def _do_nothing() -> None:
    """Give way with a connection that is closed already."""


class Account:
    """All holdings of one process.

    ``now`` returns the time in seconds.
    """

    def __init__(self, limits: Limits, now: Callable[[], float]):
        self._limits = limits
        self._used = 0
        self._ending = 0
        self._holdings: set[Holding] = set()
        self._closed = 0
        self.now = now

    @property
    def used_bytes(self) -> int:
        """The bytes that are held."""
        return self._used

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._holdings)

    @property
    def closed(self) -> int:
        """How many connections it had closed since the start."""
        return self._closed

    def open(self, give_way: Callable[[], None]) -> Holding | None:
        """Return a holding for a new connection, None if there is no room for one."""
        if len(self._holdings) >= self._limits.connections:
            self._close_longest_waiting()
        if len(self._holdings) >= self._limits.connections:
            return None
        holding = Holding(self, give_way)
        self._holdings.add(holding)
        if not holding.reserve(CONNECTION_BYTES):
            self._holdings.discard(holding)
            return None
        return holding

    def reserve(self, holding: Holding, size: int) -> bool:
        """Reserve bytes for a holding; return False if there is no room for them.

        So it is if the holding itself is the one that has to give way, or is closed.
        """
        if holding not in self._holdings:
            return False
        limit = self._limits.held_bytes
        if holding.held + size > SMALL_BYTES:
            limit *= LARGE_SHARE
        if self._used + size > limit:
            self._make_room(holding, size, limit)
        if self._used + size > limit:
            return False
        self._used += size
        return True

    def release(self, size: int) -> None:
        """Release bytes of a holding."""
        self._used -= size

    def add_ending(self, size: int) -> None:
        """Count bytes that are released as soon as the event loop gets to it."""
        self._ending += size

    def forget(self, holding: Holding) -> bool:
        """Forget a holding whose connection is closed; False if it was forgotten."""
        if holding not in self._holdings:
            return False
        self._holdings.remove(holding)
        return True

    def sweep(self) -> None:
        """Close connections whose clients had their time."""
        now = self.now()
        for holding in tuple(self._holdings):
            if holding.is_overdue(now, self._limits.silent_s):
                self._close(holding)

    def _make_room(self, asking: Holding, size: int, limit: float) -> None:
        """Let holdings give way until ``size`` bytes fit, and some to spare."""
        now = self.now()

        def byte_seconds(holding: Holding) -> float:
            added = size if holding is asking else 0
            return (holding.held + added) * (now - holding.waiting_since)

        enough = limit - size - SPARE_SHARE * limit
        for holding in self._waiting(byte_seconds):
            if holding is asking or self._used - self._ending <= enough:
                return
            self._close(holding)

    def _close_longest_waiting(self) -> None:
        """Close the connections that were waited for longest, and some to spare."""
        enough = self._limits.connections * (1 - SPARE_SHARE)
        for holding in self._waiting(lambda each: -each.waiting_since):
            if len(self._holdings) < enough:
                return
            self._close(holding)

    def _waiting(self, weight: Callable[[Holding], float]) -> list[Holding]:
        """Return the holdings that can give way, that of the greatest weight first."""
        waiting = [each for each in self._holdings if each.waits]
        return sorted(waiting, key=weight, reverse=True)

    def _close(self, holding: Holding) -> None:
        self._closed += 1
        holding.give_way()
