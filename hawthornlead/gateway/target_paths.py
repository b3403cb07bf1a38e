"""This VM's network paths to the targets, judged by service.

All new connections to targets for requests are opened here, and their outcomes
recorded. After a failure other targets of the service are connected to at once, so that
within a few hundred milliseconds a fault of this VM's own paths is known as such::

    opened = await paths.open(entry)
    if opened.is_err() and await paths.confirm_unreachable(entry.service):
        ...
"""

import asyncio
from collections.abc import Callable
from random import Random

from result import Result

from ..decisions.reachabilities import Reachability
from ..errors import Failure
from ..events import EventKind, EventRing
from ..tasks import TaskSet
from ..timers import TimerService
from .records import Incarnation, TargetEntry
from .target_connections import Exchange, TargetConnections
from .target_tables import TargetTable

# A target accepts a connection in a few milliseconds. A lost packet is sent again after
# 200 ms or more.
CHECK_TIMEOUT_S = 0.3
# Between checks of a service that is unreachable.
RECHECK_INTERVAL_S = 0.5
# A connection that fails this much later than its time-out was delayed by this VM
# itself, which was frozen or slow, and shows nothing about its paths.
MAX_LAG_S = 0.1


class TargetPaths:
    """Opens connections to targets, and knows the services that this VM can't reach.

    ``on_changed`` is called when a service becomes unreachable or reachable.
    """

    def __init__(
        self,
        *,
        targets: TargetTable,
        connections: TargetConnections,
        timers: TimerService,
        rng: Random,
        events: EventRing,
    ):
        self._targets = targets
        self._connections = connections
        self._timers = timers
        self._rng = rng
        self._events = events
        self._services: dict[str, Reachability] = {}
        self._checks: dict[str, asyncio.Task] = {}
        self._tasks = TaskSet()
        self.on_changed: Callable[[], None] = lambda: None

    @property
    def unreachable(self) -> tuple[str, ...]:
        """The services of which this VM reaches no target."""
        return tuple(
            [service for service, each in self._services.items() if each.unreachable]
        )

    def start(self) -> None:
        """Start to check unreachable services periodically."""
        self._timers.every(RECHECK_INTERVAL_S, self._recheck, name="target paths")

    def stop(self) -> None:
        """Cancel all checks."""
        self._tasks.cancel()

    def is_unreachable(self, service: str) -> bool:
        """Whether this VM reaches no target of a service."""
        reachability = self._services.get(service)
        return reachability is not None and reachability.unreachable

    def unreachable_for_s(self, service: str) -> float:
        """Return for how long a service has been unreachable, 0 if it is reachable."""
        reachability = self._services.get(service)
        if reachability is None or reachability.unreachable_since is None:
            return 0.0
        return self._timers.now() - reachability.unreachable_since

    async def open(
        self, entry: TargetEntry, writer: Incarnation | None = None
    ) -> Result[Exchange, Failure]:
        """Return an exchange with a target, on a kept connection or on a new one.

        A kept one to the start ``writer`` is preferred.
        """
        started_at = self._timers.now()
        opened = await self._connections.open(entry.address, writer=writer)
        if opened.is_ok() and opened.ok_value.reused:
            return opened
        timeout_s = self._connections.connect_timeout_s
        self._record(entry, opened.is_ok(), started_at, timeout_s)
        return opened

    async def confirm_unreachable(self, service: str) -> bool:
        """Whether this VM reaches no target of a service, checked first if in doubt."""
        reachability = self._services.get(service)
        if reachability is None:
            return False
        if reachability.is_doubtful and not reachability.unreachable:
            await self.check(service)
        return reachability.unreachable

    async def check(self, service: str) -> bool:
        """Check a service by new connections; return whether it is unreachable."""
        await asyncio.shield(self._check(service))
        return self.is_unreachable(service)

    def suspect(self, service: str) -> None:
        """Check a service because one of its targets seems to be gone."""
        if not self.is_unreachable(service):
            self._check(service)

    def _recheck(self) -> None:
        for service in self.unreachable:
            if self._targets.of_service(service):
                self._check(service)
            else:
                # Nothing is left that could be reached.
                del self._services[service]
                self._emit_changed(service, True)

    def _check(self, service: str) -> asyncio.Task:
        """Return the task that checks a service, started now unless one is running."""
        task = self._checks.get(service)
        if task is None or task.done():
            task = self._tasks.spawn(self._connect_to_some(service))
            self._checks[service] = task
        return task

    async def _connect_to_some(self, service: str) -> None:
        entries = {each.target: each for each in self._targets.of_service(service)}
        reachability = self._services.setdefault(service, Reachability())
        targets = reachability.targets_to_check(entries.keys(), self._rng)
        await asyncio.gather(*[self._connect_once(entries[each]) for each in targets])

    async def _connect_once(self, entry: TargetEntry) -> None:
        started_at = self._timers.now()
        opened = await self._connections.open(entry.address, True, CHECK_TIMEOUT_S)
        if opened.is_ok():
            opened.ok_value.close()
        self._record(entry, opened.is_ok(), started_at, CHECK_TIMEOUT_S)

    def _record(
        self, entry: TargetEntry, reached: bool, started_at: float, timeout_s: float
    ) -> None:
        """Record the outcome of a new connection that was begun at ``started_at``."""
        service, now = entry.service, self._timers.now()
        if not reached and now - started_at > timeout_s + MAX_LAG_S:
            return
        reachability = self._services.setdefault(service, Reachability())
        known = {each.target for each in self._targets.of_service(service)}
        before = reachability.unreachable
        reachability.record(entry.target, known, reached=reached, now=now)
        if reachability.unreachable != before:
            self._emit_changed(service, before)

    def _emit_changed(self, service: str, reachable: bool) -> None:
        kind = EventKind.SERVICE_REACHED if reachable else EventKind.SERVICE_UNREACHED
        self._events.emit(kind, service, targets=len(self._targets.of_service(service)))
        self.on_changed()
        if not reachable:
            # The cause may be this VM's own link, which all services share.
            for other in {each.service for each in self._targets.entries.values()}:
                self.suspect(other)
