"""The rate limits that targets name: requests a second from all VMs together.

A VM that gets a limit in an answer announces it to the other VMs at once, and again
while the target repeats it. Each VM then sends its even share.
"""

from collections.abc import Callable
from random import Random

from ..decisions.limit_shares import LimitShare
from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import TargetLimit
from ..timers import TimerService
from .records import Incarnation

# A limit expires if no answer and no other VM confirms it for this long. Where requests
# are rare, this many of them must have been due before it expires.
MIN_LIMIT_TTL_S = 5.0
TTL_REQUESTS = 3.0
MAX_LIMIT_TTL_S = 30.0
# A repeated limit is announced again after this long, for VMs that missed it before.
ANNOUNCE_INTERVAL_S = 1.0
# A limit that differs by less than this share counts as unchanged.
SAME_LIMIT_SHARE = 0.1


class _Limit:
    """One target's limit; ``first_seen_at`` is when this VM first learned of it."""

    def __init__(self, per_s: float, share: LimitShare, now: float):
        self.per_s = per_s
        self.announced_per_s = per_s
        self.share = share
        self.first_seen_at = now
        self.confirmed_at = now
        self.announced_at = now

    @property
    def valid_until(self) -> float:
        """When the limit expires, unless it is confirmed before."""
        ttl_s = MAX_LIMIT_TTL_S
        if self.per_s:
            ttl_s = min(ttl_s, max(MIN_LIMIT_TTL_S, TTL_REQUESTS / self.per_s))
        return self.confirmed_at + ttl_s


class TargetLimits:
    """The limits in force, and what this VM may send within them.

    ``vms`` returns how many VMs share a limit, ``incarnation`` the known incarnation of
    a target::

        limits.record_answer(entry.incarnation, 3.3, sent_at=timers.now())
        if limits.acquire("i-7f3a"):
            ...
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        rng: Random,
        events: EventRing,
        mesh: FleetMesh,
        vms: Callable[[], int],
        incarnation: Callable[[str], Incarnation],
    ):
        self._timers = timers
        self._rng = rng
        self._events = events
        self._mesh = mesh
        self._vms = vms
        self._incarnation = incarnation
        self._limits: dict[str, _Limit] = {}
        mesh.on(TargetLimit, self._on_target_limit)

    @property
    def named(self) -> dict[str, float]:
        """The limits that are named now, in requests a second, by target."""
        targets = tuple(self._limits)
        return {
            target: self._limits[target].per_s
            for target in targets
            if self.is_limited(target)
        }

    # Requests within the limits

    def is_limited(self, target: str) -> bool:
        """Whether a target names a limit now."""
        return self._current(target) is not None

    def wait_s(self, target: str) -> float:
        """Return when this VM may send the next request to a target, in seconds."""
        limit = self._current(target)
        return limit.share.wait_s(self._timers.now()) if limit is not None else 0.0

    def acquire(self, target: str) -> bool:
        """Count a request before it is sent; False if the limit doesn't allow it."""
        limit = self._current(target)
        return limit is None or limit.share.acquire(self._timers.now())

    def refund(self, target: str) -> None:
        """Uncount a request that was not sent."""
        limit = self._current(target)
        if limit is not None:
            limit.share.refund()

    # Limits that targets name

    def record_answer(
        self, incarnation: Incarnation, per_s: float | None, sent_at: float
    ) -> None:
        """Apply the limit that a target names in an answer, None for no limit.

        ``sent_at`` is when its request was sent. An answer without a limit that was
        already under way when the limit was first named doesn't end it.
        """
        target = incarnation.target
        limit = self._current(target)
        if per_s is None:
            if limit is not None and sent_at >= limit.first_seen_at:
                self._remove(target)
                self._announce(incarnation, None)
            return
        changed = limit is None or _differs(limit.announced_per_s, per_s)
        limit = self._apply(target, per_s)
        now = self._timers.now()
        if changed or now - limit.announced_at >= ANNOUNCE_INTERVAL_S:
            limit.announced_at = now
            limit.announced_per_s = per_s
            self._announce(incarnation, per_s)

    def discard(self, target: str) -> None:
        """Discard the limit of a target whose incarnation is over."""
        self._limits.pop(target, None)

    async def _on_target_limit(self, sender, message: TargetLimit) -> None:
        """Apply a limit that another VM announced."""
        target = message.target
        reported = Incarnation(target, message.started_ms)
        if not reported.matches(self._incarnation(target)):
            return
        if message.per_s is None:
            if self._current(target) is not None:
                self._remove(target)
            return
        limit = self._apply(target, message.per_s)
        limit.announced_at = self._timers.now()
        limit.announced_per_s = message.per_s

    def _announce(self, incarnation: Incarnation, per_s: float | None) -> None:
        message = TargetLimit(incarnation.target, per_s, incarnation.started_ms)
        self._mesh.broadcast(message)

    def _apply(self, target: str, per_s: float) -> _Limit:
        """Put a limit in force, or confirm it."""
        now = self._timers.now()
        rate = per_s / max(1, self._vms())
        limit = self._limits.get(target)
        if limit is None:
            limit = _Limit(per_s, LimitShare(rate, now, self._rng), now)
            self._limits[target] = limit
            self._events.emit(EventKind.TARGET_LIMIT_NAMED, target, per_s=per_s)
        elif _differs(limit.per_s, per_s):
            self._events.emit(EventKind.TARGET_LIMIT_NAMED, target, per_s=per_s)
        limit.per_s = per_s
        limit.confirmed_at = now
        limit.share.set_rate(rate, now)
        return limit

    def _remove(self, target: str) -> None:
        del self._limits[target]
        self._events.emit(EventKind.TARGET_LIMIT_ENDED, target)

    def _current(self, target: str) -> _Limit | None:
        """Return a target's limit, None if it has none or it expired."""
        limit = self._limits.get(target)
        if limit is not None and self._timers.now() > limit.valid_until:
            self._remove(target)
            return None
        return limit


def _differs(before: float, per_s: float) -> bool:
    return abs(per_s - before) > SAME_LIMIT_SHARE * before
