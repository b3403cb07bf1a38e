"""Polls an owned target: probes, reports, and what they show of restarts and silence.

A probe is answered at once and ties the engine's clock to the owner's. A report
describes the load of the engine at an earlier moment.
"""

from collections.abc import Callable

from result import Err, Ok

from ..events import EventKind, EventRing
from ..metrics import Metrics
from ..timers import TimerService
from .engine_clocks import EngineClock
from .evict_guards import EvictGuard
from .grant_ledgers import GrantLedger
from .residencies import Residency
from .targets import TargetClient

# Probes are sent at least this often, to notice restarts. More are sent when a report
# has to prove something.
PROBE_INTERVAL_S = 2.0
# After this many unanswered calls in a row the target counts as silent.
SILENT_AFTER_MISSED_CALLS = 3


class TargetPoller:
    """Polls one target and updates the owner's clock, grants, slots and guard."""

    def __init__(
        self,
        *,
        timers: TimerService,
        events: EventRing,
        metrics: Metrics,
        target: str,
        client: TargetClient,
        clock: EngineClock,
        ledger: GrantLedger,
        residency: Residency,
        guard: EvictGuard,
        on_restart: Callable[[], None],
    ):
        self._timers = timers
        self._events = events
        self._metrics = metrics
        self._target = target
        self._client = client
        self._clock = clock
        self._ledger = ledger
        self._residency = residency
        self._guard = guard
        self._on_restart = on_restart
        self._missed_calls = 0
        self._probe_requested = True
        self._running = 0
        self._queued = 0

    @property
    def silent(self) -> bool:
        """Whether the target no longer answers."""
        return self._missed_calls >= SILENT_AFTER_MISSED_CALLS

    @property
    def running(self) -> int:
        """The number of running requests in the newest report."""
        return self._running

    @property
    def queued(self) -> int:
        """The number of queued requests in the newest report."""
        return self._queued

    def request_probe(self) -> None:
        """Probe at the next poll."""
        self._probe_requested = True

    async def poll(self) -> None:
        """Probe if that is due, then read the report."""
        if self._probe_due():
            await self._probe()
        await self._read_report()

    def _probe_due(self) -> bool:
        probed_at = self._clock.probed_at
        if self._probe_requested or probed_at is None:
            return True
        moments = [self._ledger.proof_required_after]
        if not self._guard.ready:
            moments.append(self._guard.ready_after)
        for slot in self._residency.slots():
            moments.append(slot.settled_after)
        now = self._timers.now()
        for moment in moments:
            if moment is not None and probed_at < moment <= now:
                return True
        return now - probed_at >= PROBE_INTERVAL_S

    async def _probe(self) -> None:
        sent_at = self._timers.now()
        health = await self._client.health()
        self._record_answer(isinstance(health, Ok))
        if isinstance(health, Err):
            return
        self._probe_requested = False
        if self._clock.record_probe(
            sent_at, health.ok_value.now, health.ok_value.boot_id
        ):
            self._handle_restart()

    def _handle_restart(self) -> None:
        self._residency.on_restart()
        self._guard.on_restart()
        self._events.emit(
            EventKind.TARGET_RESTARTED, self._target, boot_id=self._clock.boot_id
        )
        self._on_restart()

    async def _read_report(self) -> None:
        answer = await self._client.report()
        if isinstance(answer, Err):
            self._record_answer(False)
            return
        report = answer.ok_value
        if report.boot_id != self._clock.boot_id:
            # Another incarnation's report says nothing of this one. A probe will show
            # which of them is current.
            self._probe_requested = True
            return
        self._running = report.running
        self._queued = report.queued
        self._ledger.observe(report)
        self._residency.observe(report)
        self._guard.observe(report.as_of)
        self._metrics.step_fill.labels(self._target).set(report.step_fill)

    def _record_answer(self, got_answer: bool) -> None:
        was_silent = self.silent
        self._missed_calls = 0 if got_answer else self._missed_calls + 1
        if self.silent == was_silent:
            return
        kind = EventKind.TARGET_SILENT if self.silent else EventKind.TARGET_ANSWERS
        self._events.emit(kind, self._target)
