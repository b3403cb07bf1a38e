"""Finding out which targets are lost, and ending the requests in them.

A request in a target that died may never hear of it: nobody closes its connection.
So each attempt follows the incarnation that it was sent to::

    follower = losses.subscribe(entry, spec, may_repeat=True)
    exchange.send(..., sink=follower.listen(sink))
    await asyncio.wait([exchange.ended, follower.lost], ...)
    losses.unsubscribe(follower)

What proof is enough for which request is told in ``target_liveness``.
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
    LONG_UNANSWERED,
    PROBE_AFTER_S,
    UNANSWERED,
    LossSubscriber,
    TargetLiveness,
)
from .target_probes import LAG_S, ProbeResult, TargetProbes
from .target_tables import TargetTable

# A target that showed that it is there is asked again after this, if silent yet.
ALIVE_FOR_S = 1.5
# One that was asked in vain is asked again after this, for as long as requests wait.
AGAIN_S = 0.4
# When a caller may come back whose request was lost with its target: others serve.
RETRY_S = 0.2

STRONG = {ProbeResult.RESTARTED: Loss.RESTARTED, ProbeResult.REFUSED: Loss.REFUSED}


class LossDetector:
    """Follows the incarnations that have requests of this VM."""

    def __init__(
        self,
        *,
        targets: TargetTable,
        probes: TargetProbes,
        connections: TargetConnections,
        healths: TargetHealths,
        timers: TimerService,
        events: EventRing,
        metrics: GatewayMetrics,
    ):
        self._events = events
        self._metrics = metrics
        self._probes = probes
        self._connections = connections
        self._healths = healths
        self._timers = timers
        self._livenesses: dict[Incarnation, TargetLiveness] = {}
        self._at_address: dict[str, Incarnation] = {}
        self._tasks = TaskSet()
        targets.subscribe(self._on_lost)

    def stop(self) -> None:
        """End what is under way."""
        self._tasks.cancel()

    async def check_healthy(self, entry: TargetEntry) -> bool:
        """Whether a request may be sent: its target isn't silent, or answers now.

        A request that goes into a kept connection of a target in the dark may have
        run for all that is known, and can't go elsewhere; one that waits for the
        answer to a probe that all share has surely not left.
        """
        liveness = self._livenesses.get(entry.incarnation)
        if liveness is not None and liveness.is_suspect:
            if liveness.proof and self._timers.now() - liveness.probed_at < AGAIN_S:
                return False
            found = await self._ask(liveness)
            if found not in (ProbeResult.ALIVE, ProbeResult.UNKNOWN):
                return False
        self._note_address(entry)
        return True

    def subscribe(
        self, entry: TargetEntry, spec: ServiceSpec, may_repeat: bool
    ) -> LossSubscriber:
        """Follow a target that is sent a request now."""
        now = self._timers.now
        liveness = self._livenesses.get(entry.incarnation)
        if liveness is None:
            liveness = TargetLiveness(entry, spec, now)
            self._livenesses[entry.incarnation] = liveness
        if not liveness.subscribers:
            liveness.waiting_since = now()
        subscriber = LossSubscriber(liveness, may_repeat)
        liveness.subscribers.add(subscriber)
        name = f"{entry.target} {entry.started_ms}"
        self._tasks.spawn_once(name, lambda: self._watch(liveness))
        return subscriber

    def unsubscribe(self, subscriber: LossSubscriber) -> None:
        """Follow no more: the attempt has ended."""
        liveness = subscriber.liveness
        liveness.subscribers.discard(subscriber)
        if liveness.seen_since_missed:
            self._take_alive(liveness)
        if not liveness.subscribers and liveness.entry_gone:
            self._drop(liveness)

    def failure(self, loss: Loss | None) -> Failure:
        """Return the final answer to a request that its target, lost or not, failed."""
        if loss is None:
            return Failure(ErrorKind.TARGET_LOST, "the target failed")
        detail = f"the target is lost: {loss.value}"
        return Failure(ErrorKind.TARGET_LOST, detail, RETRY_S)

    # Asking

    async def _watch(self, liveness: TargetLiveness) -> None:
        """Ask a target that stays silent, for as long as requests wait there."""
        while liveness.subscribers and liveness.strong is None:
            now = self._timers.now()
            wait_s = (
                max(liveness.silent_since + PROBE_AFTER_S, liveness.next_probe_at) - now
            )
            if wait_s <= 0:
                await self._ask(liveness)
                continue
            await self._timers.sleep(wait_s)
            if self._timers.now() - now > wait_s + LAG_S:
                # This VM itself stood still, or nearly: what was sent to it meanwhile
                # is yet to be read. Without this, a VM that thaws takes all its
                # targets for silent.
                liveness.waiting_since = self._timers.now()

    async def _ask(self, liveness: TargetLiveness) -> ProbeResult:
        """Ask once, or take part in the asking under way."""
        if liveness.probe_task is None or liveness.probe_task.done():
            liveness.probe_task = self._tasks.spawn(self._probe(liveness))
        return await asyncio.shield(liveness.probe_task)

    async def _probe(self, liveness: TargetLiveness) -> ProbeResult:
        if liveness.strong is Loss.RESTARTED:
            return ProbeResult.RESTARTED
        asked_at = self._timers.now()
        entry, spec = liveness.entry, liveness.spec
        found = await self._probes.probe(entry, spec)
        if found is ProbeResult.ALIVE and liveness.proof and entry.started_ms is None:
            found = await self._probes.identify(entry, spec)
        if liveness.last_seen_at > asked_at:
            # Some of its requests are being answered: it is busy, or refuses further
            # connections.
            found = ProbeResult.ALIVE
        self._take(liveness, found, asked_at)
        return found

    # What is believed

    def _take(
        self, liveness: TargetLiveness, found: ProbeResult, asked_at: float
    ) -> None:
        now = liveness.probed_at = self._timers.now()
        liveness.next_probe_at = now + AGAIN_S
        if found is ProbeResult.ALIVE:
            self._take_alive(liveness)
            return
        if found is ProbeResult.UNKNOWN:
            return
        self._healths.record_failure(liveness.entry.target, gone=True)
        if found is not ProbeResult.NOTHING:
            liveness.missed = max(liveness.missed, UNANSWERED)
            self._prove(liveness, STRONG[found])
            return
        liveness.on_missed_probe(asked_at)
        if liveness.missed < LONG_UNANSWERED:
            liveness.next_probe_at = now
        liveness.path_whole = self._hears_others(liveness)
        ends = any(subscriber.would_end for subscriber in liveness.subscribers)
        if liveness.missed == UNANSWERED or ends:
            self._lose(liveness, Loss.UNANSWERED)

    def _take_alive(self, liveness: TargetLiveness) -> None:
        wrong = liveness.proof
        if wrong is not None:
            # It counts as suspect for its silence only, which is over.
            self._healths.record_answer(liveness.entry.target, 0.0)
            self._metrics.wrong_losses.labels(wrong.value).inc()
            self._events.emit(
                EventKind.TARGET_NOT_LOST,
                liveness.entry.target,
                proof=wrong.value,
                missed=liveness.missed,
            )
        liveness.on_answer(self._timers.now() + ALIVE_FOR_S)

    def _hears_others(self, liveness: TargetLiveness) -> bool:
        """Whether another target was heard since this one began to leave probes."""
        for other in self._livenesses.values():
            if other is not liveness and other.last_seen_at > liveness.missed_at:
                return True
        return False

    def _on_lost(self, incarnation: Incarnation, loss: Loss) -> None:
        liveness = self._livenesses.get(incarnation)
        if liveness is None:
            return
        liveness.entry_gone = True
        if not liveness.subscribers:
            self._drop(liveness)
            return
        if loss is not Loss.ENTRY_GONE:
            self._prove(liveness, loss)
            return
        # Some engines leave without a word and serve on, so this alone ends nothing.
        self._lose(liveness, loss)
        self._tasks.spawn(self._ask(liveness))

    def _prove(self, liveness: TargetLiveness, loss: Loss) -> None:
        """Take a strong proof."""
        if liveness.strong is None:
            liveness.strong = loss
            self._lose(liveness, loss)

    def _lose(self, liveness: TargetLiveness, loss: Loss) -> None:
        """Tell of a proof, and end the requests for which it is enough."""
        entry = liveness.entry
        self._metrics.losses.labels(loss.value).inc()
        if loss is not Loss.ENTRY_GONE:
            self._connections.forget(entry.address)
        followers = tuple(liveness.subscribers)
        ended = sum(subscriber.settle() for subscriber in followers)
        self._events.emit(
            EventKind.TARGET_LOST,
            entry.target,
            started_ms=entry.started_ms,
            proof=loss.value,
            missed=liveness.missed,
            silent_ms=round(1000 * liveness.silent_s),
            ended=ended,
            waiting=len(followers) - ended,
        )

    def _note_address(self, entry: TargetEntry) -> None:
        """Keep no connection over to another start of a target.

        One that was made to the former start is dead, and a request that is sent on
        it may have run for all that its VM can tell.
        """
        known = self._at_address.get(entry.address)
        if known == entry.incarnation:
            return
        self._at_address[entry.address] = entry.incarnation
        if known is not None:
            self._connections.forget(entry.address)

    def _drop(self, liveness: TargetLiveness) -> None:
        self._livenesses.pop(liveness.entry.incarnation, None)
