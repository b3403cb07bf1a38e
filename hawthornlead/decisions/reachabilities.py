"""Whether a VM reaches any target of a service, judged by its new connections.

A VM may lose its network paths to all targets of a service while its callers, the store
and the other VMs still reach it. Each target by itself then looks as if it had failed.
Only new connections count: those that were open before may go on working, or hang
without showing anything::

    reachability = Reachability()
    reachability.record("i-7f3a", reached=False, now=timers.now())
    targets = reachability.targets_to_check(known, rng)
    reachability.unreachable
"""

from collections.abc import Collection
from random import Random

# Targets to which a connection fails in a row before the service counts as unreachable,
# or all if there are fewer. Targets that are down are seldom this many at once.
MIN_UNREACHED = 3
# A service with one target has no other to compare it with, so its failures count.
MIN_FAILURES = 2
# Connections in a row that succeed before the service counts as reachable again. A path
# that loses most packets lets a single one through now and then.
MIN_REACHED = 2
# A failure is forgotten after this time without another.
FAILURE_TTL_S = 2.0


class Reachability:
    """The recent outcomes of connections to the targets of one service."""

    def __init__(self):
        self._failures: dict[str, int] = {}
        self._failed_at = 0.0
        self._reached_in_a_row = 0
        self._unreachable_since: float | None = None

    @property
    def unreachable(self) -> bool:
        """Whether this VM reaches no target of the service."""
        return self._unreachable_since is not None

    @property
    def unreachable_since(self) -> float | None:
        """Since when this VM reaches no target, None if it does."""
        return self._unreachable_since

    @property
    def is_doubtful(self) -> bool:
        """Whether some connection failed since the last one that succeeded."""
        return bool(self._failures)

    def record(
        self, target: str, known: Collection[str], *, reached: bool, now: float
    ) -> None:
        """Record the outcome of a new connection to one of the ``known`` targets."""
        if reached:
            self._record_reached()
            return
        if now - self._failed_at > FAILURE_TTL_S and not self.unreachable:
            self._failures.clear()
        self._failed_at = now
        self._reached_in_a_row = 0
        self._failures[target] = self._failures.get(target, 0) + 1
        if not self.unreachable and self._is_conclusive(known):
            self._unreachable_since = now

    def targets_to_check(self, known: Collection[str], rng: Random) -> list[str]:
        """Return the targets whose connections decide, in random order.

        Those that failed already are left out, unless too few others are left.
        """
        count = MIN_REACHED if self.unreachable else MIN_UNREACHED
        targets = rng.sample(sorted(known), len(known))
        if not self.unreachable:
            targets.sort(key=lambda target: target in self._failures)
        return targets[:count]

    def _record_reached(self) -> None:
        self._reached_in_a_row += 1
        if self.unreachable and self._reached_in_a_row < MIN_REACHED:
            return
        self._failures.clear()
        self._unreachable_since = None

    def _is_conclusive(self, known: Collection[str]) -> bool:
        failed = [target for target in self._failures if target in known]
        if len(known) == 1:
            return sum(self._failures[target] for target in failed) >= MIN_FAILURES
        return len(failed) >= min(MIN_UNREACHED, len(known))
