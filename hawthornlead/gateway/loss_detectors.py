"""Detection of lost targets, and the end of the requests that were sent to them.

The connection to a target that died may stay open without an error. So each attempt
subscribes to the liveness of the incarnation that it was sent to::

    follower = losses.subscribe(entry, spec, Repeat.FREELY)
    exchange.send(..., sink=follower.watch_answer(sink))
    await asyncio.wait([exchange.ended, follower.lost], ...)
    losses.unsubscribe(follower)

``target_liveness`` defines which proof ends which request.
"""

import asyncio

from ..errors import ErrorKind, Failure
from ..events import EventKind, EventRing
from ..tasks import TaskSet
from ..timers import TimerService
from .gateway_metrics import GatewayMetrics
from .records import Incarnation, Loss, ServiceSpec, TargetEntry
from .target_connections import TargetConnections
from .target_healths import TargetHealths
from .target_liveness import (
    PROBE_AFTER_S,
    LossSubscriber,
    Repeat,
    TargetLiveness,
)
from .target_paths import TargetPaths
from .target_probes import MAX_LAG_S, PROBE_TIMEOUT_S, ProbeResult, TargetProbes
from .target_tables import TargetTable

# A target that proved to be alive is probed again after this much time if still silent.
ALIVE_MAX_AGE_S = 1.5
# Pause after an unanswered probe, while requests wait.
PROBE_RETRY_S = 0.4
# When a caller may retry a request that was lost with its target: others serve it.
CALLER_RETRY_S = 0.2


class LossDetector:
    """Tracks the liveness of the incarnations that have requests of this VM."""

    def __init__(
        self,
        *,
        targets: TargetTable,
        probes: TargetProbes,
        connections: TargetConnections,
        healths: TargetHealths,
        paths: TargetPaths,
        timers: TimerService,
        events: EventRing,
        metrics: GatewayMetrics,
    ):
        self._targets = targets
        self._paths = paths
        self._events = events
        self._metrics = metrics
        self._probes = probes
        self._connections = connections
        self._healths = healths
        self._timers = timers
        self._livenesses: dict[Incarnation, TargetLiveness] = {}
        self._by_address: dict[str, Incarnation] = {}
        self._tasks = TaskSet()
        targets.subscribe(self._on_lost)

    def stop(self) -> None:
        """Cancel all probes."""
        self._tasks.cancel()

    async def check_healthy(self, entry: TargetEntry) -> bool:
        """Whether a request may be sent: its target isn't silent, or answers a probe.

        A request on a kept connection to an unreachable target may have run and so
        can't go elsewhere. One that first waits for a probe was surely not sent.
        """
        liveness = self._livenesses.get(entry.incarnation)
        if liveness is not None and liveness.is_suspect:
            if (
                liveness.proof
                and self._timers.now() - liveness.probed_at < PROBE_RETRY_S
            ):
                return False
            found = await self._probe_once(liveness)
            if found not in (ProbeResult.ALIVE, ProbeResult.UNKNOWN):
                return False
        self._drop_former_connections(entry)
        return True

    def subscribe(
        self, entry: TargetEntry, spec: ServiceSpec, repeat: Repeat
    ) -> LossSubscriber:
        """Track a target for an attempt that is about to be sent to it."""
        now = self._timers.now
        liveness = self._livenesses.get(entry.incarnation)
        if liveness is None:
            incarnation = entry.incarnation
            liveness = TargetLiveness(
                entry,
                spec,
                now,
                self._on_heard,
                lambda: self._targets.has_entry(incarnation),
            )
            self._livenesses[incarnation] = liveness
        if not liveness.subscribers:
            liveness.waiting_since = now()
        subscriber = LossSubscriber(liveness, repeat)
        liveness.subscribers.add(subscriber)
        name = f"{entry.target} {entry.started_ms}"
        self._tasks.spawn_once(name, lambda: self._watch(liveness))
        return subscriber

    def unsubscribe(self, subscriber: LossSubscriber) -> None:
        """End the tracking for an attempt that has ended."""
        liveness = subscriber.liveness
        liveness.subscribers.discard(subscriber)
        if not liveness.subscribers and liveness.is_over:
            self._discard(liveness)

    def failure(self, loss: Loss | None) -> Failure:
        """Return the final answer to a request that its target, lost or not, failed."""
        if loss is None:
            return Failure(ErrorKind.TARGET_LOST, "the target failed")
        detail = f"the target is lost: {loss.value}"
        return Failure(ErrorKind.TARGET_LOST, detail, CALLER_RETRY_S)

    # Probes

    async def _watch(self, liveness: TargetLiveness) -> None:
        """Probe a silent target for as long as requests wait there."""
        while liveness.subscribers and not liveness.restarted:
            now = self._timers.now()
            wait_s = (
                max(liveness.silent_since + PROBE_AFTER_S, liveness.next_probe_at) - now
            )
            if wait_s <= 0:
                await self._probe_once(liveness)
                continue
            await self._timers.sleep(wait_s)
            if self._timers.now() - now > wait_s + MAX_LAG_S:
                # This VM was frozen or very slow and has yet to read what it was sent
                # meanwhile. Without this reset, it would take all targets for silent.
                liveness.waiting_since = self._timers.now()

    async def _probe_once(self, liveness: TargetLiveness) -> ProbeResult:
        """Run one probe, or wait for the one under way."""
        if liveness.probe_task is None or liveness.probe_task.done():
            liveness.probe_task = self._tasks.spawn(self._run_probe(liveness))
        return await asyncio.shield(liveness.probe_task)

    async def _run_probe(self, liveness: TargetLiveness) -> ProbeResult:
        if liveness.restarted:
            return ProbeResult.RESTARTED
        started_at = self._timers.now()
        entry, spec = liveness.entry, liveness.spec
        found = await self._probes.probe(entry, spec)
        if found is ProbeResult.ALIVE and liveness.proof and entry.started_ms is None:
            found = await self._probes.identify(entry, spec)
        if found is ProbeResult.REFUSED and await self._paths.check(entry.service):
            # All targets of the service refuse: this VM's path is at fault, and
            # connections that are open may still work.
            found = ProbeResult.NOTHING
        if liveness.restarted:
            return ProbeResult.RESTARTED
        if liveness.last_seen_at > started_at and found is not ProbeResult.ALIVE:
            # The target answers requests, so it is only busy or refuses further
            # connections.
            found = ProbeResult.UNKNOWN
        self._apply_result(liveness, found, started_at)
        return found

    # Proofs

    def _apply_result(
        self, liveness: TargetLiveness, found: ProbeResult, started_at: float
    ) -> None:
        now = liveness.probed_at = self._timers.now()
        liveness.next_probe_at = now + PROBE_RETRY_S
        if found is ProbeResult.ALIVE:
            self._mark_alive(liveness)
            return
        if found is ProbeResult.UNKNOWN:
            return
        self._healths.record_failure(liveness.entry.target, gone=True)
        refused = found is ProbeResult.REFUSED
        if not refused:
            # After a refusal the path has just been checked.
            self._paths.suspect(liveness.entry.service)
        if found is ProbeResult.RESTARTED:
            self._mark_restarted(liveness)
            return
        self._count_missed(liveness, refused, started_at)

    def _count_missed(
        self, liveness: TargetLiveness, refused: bool, started_at: float
    ) -> None:
        """Count a probe that was refused or unanswered, and end what it ends."""
        known = liveness.proof
        liveness.on_missed_probe(started_at, refused)
        if not liveness.is_long_silent:
            # A refused connection fails at once, and must not be tried in a busy loop.
            next_at = started_at + PROBE_TIMEOUT_S
            liveness.next_probe_at = max(liveness.probed_at, next_at)
        liveness.others_answer = self._others_answered(liveness)
        ends = any(subscriber.would_be_lost for subscriber in liveness.subscribers)
        proof = liveness.proof
        if proof is not None and (ends or proof is not known):
            self._apply_proof(liveness, proof)

    def _mark_alive(self, liveness: TargetLiveness) -> None:
        if liveness.proof is not None:
            self._report_wrong_proof(liveness, liveness.proof)
        liveness.on_answer(self._timers.now() + ALIVE_MAX_AGE_S)

    def _on_heard(self, liveness: TargetLiveness) -> None:
        """Handle data from a target that left probes unanswered."""
        if liveness.proof is Loss.UNANSWERED:
            self._report_wrong_proof(liveness, Loss.UNANSWERED)

    def _report_wrong_proof(self, liveness: TargetLiveness, wrong: Loss) -> None:
        # The target was suspect only for its silence, which is over.
        self._healths.record_answer(liveness.entry.target, 0.0)
        self._metrics.wrong_losses.labels(wrong.value).inc()
        self._events.emit(
            EventKind.TARGET_NOT_LOST,
            liveness.entry.target,
            proof=wrong.value,
            missed=liveness.missed_probes,
        )

    def _others_answered(self, liveness: TargetLiveness) -> bool:
        """Whether another target sent data since the first probe missed here."""
        for other in self._livenesses.values():
            if other is not liveness and other.last_seen_at > liveness.first_missed_at:
                return True
        return False

    def _on_lost(self, incarnation: Incarnation, loss: Loss) -> None:
        liveness = self._livenesses.get(incarnation)
        if liveness is None:
            return
        if not liveness.subscribers:
            self._discard(liveness)
            return
        if loss is not Loss.ENTRY_GONE:
            self._mark_restarted(liveness)
            return
        # Some engines remove their entry and serve on, so this alone ends no request.
        self._apply_proof(liveness, loss)
        self._tasks.spawn(self._probe_once(liveness))

    def _mark_restarted(self, liveness: TargetLiveness) -> None:
        """Apply the strong proof, once."""
        if not liveness.restarted:
            liveness.restarted = True
            self._apply_proof(liveness, Loss.RESTARTED)

    def _apply_proof(self, liveness: TargetLiveness, loss: Loss) -> None:
        """Report a proof, and end the requests for which it is enough."""
        entry = liveness.entry
        self._metrics.losses.labels(loss.value).inc()
        if loss is not Loss.ENTRY_GONE:
            self._connections.forget(entry.address)
        subscribers = tuple(liveness.subscribers)
        ended = sum(subscriber.end_if_lost() for subscriber in subscribers)
        self._events.emit(
            EventKind.TARGET_LOST,
            entry.target,
            started_ms=entry.started_ms,
            proof=loss.value,
            missed=liveness.missed_probes,
            silent_ms=round(1000 * liveness.silent_s),
            ended=ended,
            waiting=len(subscribers) - ended,
        )

    def _drop_former_connections(self, entry: TargetEntry) -> None:
        """Close idle connections that were made to another incarnation at an address.

        Such a connection is dead, and this VM can't tell whether a request sent on it
        has run.
        """
        known = self._by_address.get(entry.address)
        if known == entry.incarnation:
            return
        self._by_address[entry.address] = entry.incarnation
        if known is not None:
            self._connections.forget(entry.address)

    def _discard(self, liveness: TargetLiveness) -> None:
        self._livenesses.pop(liveness.entry.incarnation, None)
