"""The limits that targets name: so many requests a second, from all VMs together.

A VM that is told a limit tells the others at once, and again while the target goes on
naming it. Each VM then sends its even share.
"""

from collections.abc import Callable
from random import Random

from ..decisions.limit_shares import LimitShare
from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import TargetLimit
from ..timers import TimerService
from .records import Incarnation

# A limit that no answer and no other VM has confirmed for so long counts no more; where
# few requests go, so many of them must have been due.
KEPT_S = 5.0
KEPT_REQUESTS = 3.0
MOST_KEPT_S = 30.0
# The other VMs are told again after so long, those among them that have missed it.
RETELL_S = 1.0
# A limit that differs by less than this share is the one that was told before.
SAME_SHARE = 0.1


class _Limit:
    """One target's limit; ``since`` is when this VM first heard of it."""

    def __init__(self, per_s: float, share: LimitShare, now: float):
        self.per_s = per_s
        self.told_per_s = per_s
        self.share = share
        self.since = now
        self.confirmed_at = now
        self.told_at = now

    @property
    def kept_until(self) -> float:
        """Until when the limit counts, unless it is confirmed before."""
        kept_s = MOST_KEPT_S
        if self.per_s:
            kept_s = min(kept_s, max(KEPT_S, KEPT_REQUESTS / self.per_s))
        return self.confirmed_at + kept_s


class TargetLimits:
    """The limits in force, and what this VM may send within them.

    ``vms`` returns how many VMs share a limit, ``incarnation`` the known start of a
    target::

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
        mesh.on(TargetLimit, self._take_told)

    @property
    def named(self) -> dict[str, float]:
        """The limits that are named now, in requests a second, by target."""
        targets = tuple(self._limits)
        return {
            target: self._limits[target].per_s
            for target in targets
            if self.is_limited(target)
        }

    # What may be sent

    def is_limited(self, target: str) -> bool:
        """Whether a target names a limit now."""
        return self._current(target) is not None

    def wait_s(self, target: str) -> float:
        """Return when this VM may send the next request to a target, in seconds."""
        limit = self._current(target)
        return limit.share.wait_s(self._timers.now()) if limit is not None else 0.0

    def acquire(self, target: str) -> bool:
        """Count a request that is to be sent; False if the limit doesn't allow it."""
        limit = self._current(target)
        return limit is None or limit.share.acquire(self._timers.now())

    def refund(self, target: str) -> None:
        """Count a request no more that was not sent."""
        limit = self._current(target)
        if limit is not None:
            limit.share.refund()

    # What targets name

    def record_answer(
        self, incarnation: Incarnation, per_s: float | None, sent_at: float
    ) -> None:
        """Take the limit that a target names in an answer, None for no limit.

        ``sent_at`` is when its request was sent. An answer may have been under way
        when the limit was named, and doesn't end it then.
        """
        target = incarnation.target
        limit = self._current(target)
        if per_s is None:
            if limit is not None and sent_at >= limit.since:
                self._end(target)
                self._tell(incarnation, None)
            return
        news = limit is None or _differs(limit.told_per_s, per_s)
        limit = self._name(target, per_s)
        now = self._timers.now()
        if news or now - limit.told_at >= RETELL_S:
            limit.told_at = now
            limit.told_per_s = per_s
            self._tell(incarnation, per_s)

    def discard(self, target: str) -> None:
        """Drop the limit of a target whose start is over."""
        self._limits.pop(target, None)

    async def _take_told(self, sender, message: TargetLimit) -> None:
        """Take a limit of which another VM was told."""
        target = message.target
        told = Incarnation(target, message.started_ms)
        if not told.matches(self._incarnation(target)):
            return
        if message.per_s is None:
            if self._current(target) is not None:
                self._end(target)
            return
        limit = self._name(target, message.per_s)
        limit.told_at = self._timers.now()
        limit.told_per_s = message.per_s

    def _tell(self, incarnation: Incarnation, per_s: float | None) -> None:
        message = TargetLimit(incarnation.target, per_s, incarnation.started_ms)
        self._mesh.broadcast(message)

    def _name(self, target: str, per_s: float) -> _Limit:
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

    def _end(self, target: str) -> None:
        del self._limits[target]
        self._events.emit(EventKind.TARGET_LIMIT_ENDED, target)

    def _current(self, target: str) -> _Limit | None:
        """Return a target's limit, dropped if it wasn't confirmed for long."""
        limit = self._limits.get(target)
        if limit is not None and self._timers.now() > limit.kept_until:
            self._end(target)
            return None
        return limit


def _differs(before: float, per_s: float) -> bool:
    return abs(per_s - before) > SAME_SHARE * before
