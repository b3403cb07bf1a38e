"""Detection of the requests that were on a target when it crashed.

A connection may break because the target died, because it resets connections, or
because the network path was lost. A fresh connection decides: a process that is gone
refuses it. If the target restarted at once, its new incarnation proves the crash.
"""

from collections import defaultdict
from typing import NamedTuple

from ..decisions.suspects import Suspects
from ..errors import ErrorKind
from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import FleetMesh
from ..messages import CrashSuspects
from ..tasks import TaskSet
from ..timers import TimerService
from .records import Incarnation, TargetEntry
from .target_connections import TargetConnections

# All connections of a target that dies break within some milliseconds.
BREAK_BATCH_S = 0.08
# The entry of a new incarnation arrives through the watch within 1.1 s, and connections
# that the restart broke may be noticed later than that.
RESTART_SEEN_S = 2.0


class _UnprovenCrash(NamedTuple):
    """Requests whose connections broke at a target that accepted the next one."""

    at: float
    fingerprints: frozenset[bytes]


class CrashWatch:
    """The requests on each target, and those whose connections broke there."""

    def __init__(
        self,
        *,
        suspects: Suspects,
        connections: TargetConnections,
        mesh: FleetMesh,
        timers: TimerService,
        events: EventRing,
    ):
        self._events = events
        self._suspects = suspects
        self._connections = connections
        self._mesh = mesh
        self._timers = timers
        self._broken: dict[Incarnation, set[bytes]] = defaultdict(set)
        self._unproven: dict[Incarnation, _UnprovenCrash] = {}
        self._restarted_at: dict[Incarnation, float] = {}
        self._tasks = TaskSet()

    def stop(self) -> None:
        """Cancel all checks."""
        self._tasks.cancel()

    def on_connection_broken(self, entry: TargetEntry, fingerprint: bytes) -> None:
        """Record that a request's connection broke without a complete answer."""
        self._broken[entry.incarnation].add(fingerprint)
        self._tasks.spawn_once(f"{entry.incarnation}", lambda: self._check(entry))

    def on_restarted(self, former: TargetEntry) -> None:
        """Report the crash of a target's former incarnation, which has restarted.

        A connection that broke there is then proof enough, even if the new incarnation
        accepted the next connection before this VM could see the address refuse one.
        """
        self._expire()
        self._restarted_at[former.incarnation] = self._timers.now()
        unproven = self._unproven.pop(former.incarnation, None)
        if unproven is not None:
            self._report_death(former, unproven.fingerprints)

    async def _check(self, entry: TargetEntry) -> None:
        await self._timers.sleep(BREAK_BATCH_S)
        incarnation = entry.incarnation
        opened = await self._connections.open(entry.address, fresh=True)
        fingerprints = frozenset(self._broken.pop(incarnation, ()))
        self._expire()
        if opened.is_ok():
            opened.ok_value.close()
            if incarnation in self._restarted_at:
                self._report_death(entry, fingerprints)
                return
            unproven = self._unproven.get(incarnation)
            if unproven is not None:
                fingerprints |= unproven.fingerprints
            self._unproven[incarnation] = _UnprovenCrash(
                self._timers.now(), fingerprints
            )
            return
        if opened.err_value.kind is not ErrorKind.TARGET_UNREACHABLE:
            return
        self._connections.forget(entry.address)
        self._report_death(entry, fingerprints)

    def _report_death(self, entry: TargetEntry, fingerprints: frozenset[bytes]) -> None:
        self._events.emit(
            EventKind.TARGET_DIED, entry.target, requests=len(fingerprints)
        )
        report = CrashSuspects(entry.target, _name(entry), tuple(fingerprints))
        self._suspects.record_death(*report)
        self._mesh.broadcast(report)

    def _expire(self) -> None:
        """Discard broken connections and restarts that are too old to be related."""
        oldest = self._timers.now() - RESTART_SEEN_S
        for incarnation, unproven in tuple(self._unproven.items()):
            if unproven.at < oldest:
                del self._unproven[incarnation]
        for incarnation, at in tuple(self._restarted_at.items()):
            if at < oldest:
                del self._restarted_at[incarnation]


def _name(entry: TargetEntry) -> str:
    """Return a name of an incarnation, so that its death counts once.

    A target that reports no start has a new id in each incarnation.
    """
    if entry.started_ms is None:
        return entry.target
    return f"{entry.target}@{entry.started_ms}"
