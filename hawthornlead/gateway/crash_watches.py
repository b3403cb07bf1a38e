"""Detection of the requests that were on a target when it crashed.

A connection may break because the target died, because it resets connections, or
because the network path was lost. A fresh connection decides: a process that is gone
refuses it. If the target restarted at once, its new incarnation proves the crash.
"""

from collections import defaultdict
from typing import NamedTuple

from ..errors import ErrorKind
from ..events import EventKind, EventRing
from ..messages import UnansweredPrompt
from ..tasks import TaskSet
from ..timers import TimerService
from .prompt_quarantines import PromptQuarantines
from .records import Incarnation, TargetEntry
from .request_signatures import RequestSignature
from .target_connections import TargetConnections

# All connections of a target that dies break within some milliseconds.
BREAK_BATCH_S = 0.08
# How often a request that waits for the outcome of a check looks for it.
CHECK_POLL_S = 0.02
# The entry of a new incarnation arrives through the watch within 1.1 s, and connections
# that the restart broke may be noticed later than that.
RESTART_SEEN_S = 2.0


class BrokenRequest(NamedTuple):
    """A request whose connection broke.

    ``answered`` means that its target had answered it for a while before, so that no
    part of its prompt crashes targets.
    """

    signature: RequestSignature
    answered: bool


class _UnprovenCrash(NamedTuple):
    """Requests whose connections broke at a target that accepted the next one."""

    at: float
    requests: frozenset[BrokenRequest]


class CrashWatch:
    """The requests on each target, and those whose connections broke there."""

    def __init__(
        self,
        *,
        quarantines: PromptQuarantines,
        connections: TargetConnections,
        timers: TimerService,
        events: EventRing,
    ):
        self._events = events
        self._quarantines = quarantines
        self._connections = connections
        self._timers = timers
        self._broken: dict[Incarnation, set[BrokenRequest]] = defaultdict(set)
        self._unproven: dict[Incarnation, _UnprovenCrash] = {}
        self._restarted_at: dict[Incarnation, float] = {}
        self._tasks = TaskSet()

    def stop(self) -> None:
        """Cancel all checks."""
        self._tasks.cancel()

    def on_connection_broken(self, entry: TargetEntry, request: BrokenRequest) -> None:
        """Record that a request's connection broke without a complete answer."""
        self._broken[entry.incarnation].add(request)
        self._tasks.spawn_once(f"{entry.incarnation}", lambda: self._check(entry))

    async def wait_checked(self, incarnation: Incarnation) -> None:
        """Wait until it is known whether a target crashed as a connection broke."""
        while incarnation in self._broken:
            await self._timers.sleep(CHECK_POLL_S)

    def on_restarted(self, former: TargetEntry) -> None:
        """Report the crash of a target's former incarnation, which has restarted.

        A connection that broke there is then proof enough, even if the new incarnation
        accepted the next connection before this VM could see the address refuse one.
        """
        self._expire()
        self._restarted_at[former.incarnation] = self._timers.now()
        unproven = self._unproven.pop(former.incarnation, None)
        if unproven is not None:
            self._report_death(former, unproven.requests)

    async def _check(self, entry: TargetEntry) -> None:
        await self._timers.sleep(BREAK_BATCH_S)
        incarnation = entry.incarnation
        opened = await self._connections.open(entry.address, fresh=True)
        requests = frozenset(self._broken.pop(incarnation, ()))
        self._expire()
        if opened.is_ok():
            opened.ok_value.close()
            if incarnation in self._restarted_at:
                self._report_death(entry, requests)
                return
            unproven = self._unproven.get(incarnation)
            if unproven is not None:
                requests |= unproven.requests
            self._unproven[incarnation] = _UnprovenCrash(self._timers.now(), requests)
            return
        if opened.err_value.kind is not ErrorKind.TARGET_UNREACHABLE:
            return
        self._connections.forget(entry.address)
        self._report_death(entry, requests, refused=opened.err_value.refused)

    def _report_death(
        self,
        entry: TargetEntry,
        requests: frozenset[BrokenRequest],
        refused: bool = True,
    ) -> None:
        """Report a death with the requests that were at the target.

        If its address didn't refuse the connection, this VM's own path may be cut,
        which accuses no part of a prompt.
        """
        prompts = self._unanswered(requests) if refused else ()
        self._events.emit(
            EventKind.TARGET_DIED,
            entry.target,
            requests=len(requests),
            unanswered=len(prompts),
        )
        fingerprints, survived = [], []
        for request in requests:
            listed = survived if request.answered else fingerprints
            listed.append(request.signature.fingerprint)
        self._quarantines.report_death(
            entry.target, _name(entry), fingerprints, prompts, survived
        )

    def _unanswered(
        self, requests: frozenset[BrokenRequest]
    ) -> tuple[UnansweredPrompt, ...]:
        prompts = []
        for request in requests:
            if request.answered:
                continue
            signature = request.signature
            parts = self._quarantines.unanswered(signature.parts)
            if parts:
                prompts.append(UnansweredPrompt(signature.digest, parts))
        return tuple(prompts)

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
