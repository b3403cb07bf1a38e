"""Finding out which requests were on a target as it died.

A connection that breaks may mean a target that died, one that resets connections, or
a lost path. A fresh connection tells: a process that is gone refuses it. One that
started again at once answers, and its new start tells.
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
GATHER_S = 0.08
# The entry of a new start comes within 1.1 s through the watch, and connections that
# it broke may be noticed later than that.
RESTART_SEEN_S = 2.0


class _Doubt(NamedTuple):
    """Requests whose connections broke at a target that took the next one."""

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
        self._doubts: dict[Incarnation, _Doubt] = {}
        self._restarted_at: dict[Incarnation, float] = {}
        self._tasks = TaskSet()

    def stop(self) -> None:
        """End what is under way."""
        self._tasks.cancel()

    def on_connection_broken(self, entry: TargetEntry, fingerprint: bytes) -> None:
        """Note that a request's connection broke without a whole answer."""
        self._broken[entry.incarnation].add(fingerprint)
        self._tasks.spawn_once(f"{entry.incarnation}", lambda: self._look(entry))

    def on_restarted(self, former: TargetEntry) -> None:
        """Note that a target has started again: its former incarnation died.

        A connection that broke there is then proof enough, also where the new start
        took the next connection before this VM could see the address refuse one.
        """
        self._forget_old()
        self._restarted_at[former.incarnation] = self._timers.now()
        doubt = self._doubts.pop(former.incarnation, None)
        if doubt is not None:
            self._tell_died(former, doubt.fingerprints)

    async def _look(self, entry: TargetEntry) -> None:
        await self._timers.sleep(GATHER_S)
        incarnation = entry.incarnation
        opened = await self._connections.open(entry.address, fresh=True)
        fingerprints = frozenset(self._broken.pop(incarnation, ()))
        self._forget_old()
        if opened.is_ok():
            opened.ok_value.close()
            if incarnation in self._restarted_at:
                self._tell_died(entry, fingerprints)
                return
            doubt = self._doubts.get(incarnation)
            if doubt is not None:
                fingerprints |= doubt.fingerprints
            self._doubts[incarnation] = _Doubt(self._timers.now(), fingerprints)
            return
        if opened.err_value.kind is not ErrorKind.TARGET_UNREACHABLE:
            return
        self._connections.forget(entry.address)
        self._tell_died(entry, fingerprints)

    def _tell_died(self, entry: TargetEntry, fingerprints: frozenset[bytes]) -> None:
        self._events.emit(
            EventKind.TARGET_DIED, entry.target, requests=len(fingerprints)
        )
        told = CrashSuspects(entry.target, _name(entry), tuple(fingerprints))
        self._suspects.record_death(*told)
        self._mesh.broadcast(told)

    def _forget_old(self) -> None:
        """Drop doubts and restarts that are too old to explain one another."""
        oldest = self._timers.now() - RESTART_SEEN_S
        for incarnation, doubt in tuple(self._doubts.items()):
            if doubt.at < oldest:
                del self._doubts[incarnation]
        for incarnation, at in tuple(self._restarted_at.items()):
            if at < oldest:
                del self._restarted_at[incarnation]


def _name(entry: TargetEntry) -> str:
    """Name the incarnation that died, which dies once.

    A target that tells no start has a new id with each.
    """
    if entry.started_ms is None:
        return entry.target
    return f"{entry.target}@{entry.started_ms}"
