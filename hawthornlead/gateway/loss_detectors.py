"""Finding out which targets are lost, and ending the requests in them.

A request in a target that died may never hear of it: nobody closes its connection.
So each attempt follows the incarnation that it was sent to::

    follower = losses.follow(entry, spec, may_repeat=True)
    exchange.send(..., sink=follower.listen(sink))
    await asyncio.wait([exchange.ended, follower.lost], ...)
    losses.unfollow(follower)

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
from .target_probes import LAG_S, Found, TargetProbes
from .target_tables import TargetTable

# A target that showed that it is there is asked again after this, if silent yet.
ALIVE_FOR_S = 1.5
# One that was asked in vain is asked again after this, for as long as requests wait.
AGAIN_S = 0.4
# When a caller may come back whose request was lost with its target: others serve.
RETRY_S = 0.2

STRONG = {Found.RESTARTED: Loss.RESTARTED, Found.REFUSED: Loss.REFUSED}


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
        self._beliefs: dict[Incarnation, TargetLiveness] = {}
        self._at_address: dict[str, Incarnation] = {}
        self._tasks = TaskSet()
        targets.subscribe(self._on_lost)

    def stop(self) -> None:
        """End what is under way."""
        self._tasks.cancel()

    async def sound(self, entry: TargetEntry) -> bool:
        """Whether a request may be sent: its target isn't silent, or answers now.

        A request that goes into a kept connection of a target in the dark may have
        run for all that is known, and can't go elsewhere; one that waits for the
        answer to a probe that all share has surely not left.
        """
        belief = self._beliefs.get(entry.incarnation)
        if belief is not None and belief.doubtful:
            if belief.proof and self._timers.now() - belief.found_at < AGAIN_S:
                return False
            found = await self._ask(belief)
            if found not in (Found.ALIVE, Found.UNKNOWN):
                return False
        self._note_address(entry)
        return True

    def follow(
        self, entry: TargetEntry, spec: ServiceSpec, may_repeat: bool
    ) -> LossSubscriber:
        """Follow a target that is sent a request now."""
        now = self._timers.now
        belief = self._beliefs.get(entry.incarnation)
        if belief is None:
            belief = TargetLiveness(entry, spec, now)
            self._beliefs[entry.incarnation] = belief
        if not belief.followers:
            belief.waits_since = now()
        follower = LossSubscriber(belief, may_repeat)
        belief.followers.add(follower)
        name = f"{entry.target} {entry.started_ms}"
        self._tasks.spawn_once(name, lambda: self._watch(belief))
        return follower

    def unfollow(self, follower: LossSubscriber) -> None:
        """Follow no more: the attempt has ended."""
        belief = follower.belief
        belief.followers.discard(follower)
        if belief.spoke_since_missed:
            self._take_alive(belief)
        if not belief.followers and belief.entry_gone:
            self._drop(belief)

    def failure(self, loss: Loss | None) -> Failure:
        """Return the final answer to a request that its target, lost or not, failed."""
        if loss is None:
            return Failure(ErrorKind.TARGET_LOST, "the target failed")
        detail = f"the target is lost: {loss.value}"
        return Failure(ErrorKind.TARGET_LOST, detail, RETRY_S)

    # Asking

    async def _watch(self, belief: TargetLiveness) -> None:
        """Ask a target that stays silent, for as long as requests wait there."""
        while belief.followers and belief.strong is None:
            now = self._timers.now()
            wait_s = max(belief.quiet_since + PROBE_AFTER_S, belief.ask_at) - now
            if wait_s <= 0:
                await self._ask(belief)
                continue
            await self._timers.sleep(wait_s)
            if self._timers.now() - now > wait_s + LAG_S:
                # This VM itself stood still, or nearly: what was sent to it meanwhile
                # is yet to be read. Without this, a VM that thaws takes all its
                # targets for silent.
                belief.waits_since = self._timers.now()

    async def _ask(self, belief: TargetLiveness) -> Found:
        """Ask once, or take part in the asking under way."""
        if belief.asking is None or belief.asking.done():
            belief.asking = self._tasks.spawn(self._probe(belief))
        return await asyncio.shield(belief.asking)

    async def _probe(self, belief: TargetLiveness) -> Found:
        if belief.strong is Loss.RESTARTED:
            return Found.RESTARTED
        asked_at = self._timers.now()
        entry, spec = belief.entry, belief.spec
        found = await self._probes.ask(entry, spec)
        if found is Found.ALIVE and belief.proof and entry.started_ms is None:
            found = await self._probes.identify(entry, spec)
        if belief.heard_at > asked_at:
            # Some of its requests are being answered: it is busy, or refuses further
            # connections.
            found = Found.ALIVE
        self._take(belief, found, asked_at)
        return found

    # What is believed

    def _take(self, belief: TargetLiveness, found: Found, asked_at: float) -> None:
        now = belief.found_at = self._timers.now()
        belief.ask_at = now + AGAIN_S
        if found is Found.ALIVE:
            self._take_alive(belief)
            return
        if found is Found.UNKNOWN:
            return
        self._healths.record_failure(belief.entry.target, gone=True)
        if found is not Found.NOTHING:
            belief.missed = max(belief.missed, UNANSWERED)
            self._prove(belief, STRONG[found])
            return
        belief.miss(asked_at)
        if belief.missed < LONG_UNANSWERED:
            belief.ask_at = now
        belief.path_whole = self._hears_others(belief)
        ends = any(follower.would_end for follower in belief.followers)
        if belief.missed == UNANSWERED or ends:
            self._lose(belief, Loss.UNANSWERED)

    def _take_alive(self, belief: TargetLiveness) -> None:
        wrong = belief.proof
        if wrong is not None:
            # It counts as suspect for its silence only, which is over.
            self._healths.record_answer(belief.entry.target, 0.0)
            self._metrics.wrong_losses.labels(wrong.value).inc()
            self._events.emit(
                EventKind.TARGET_NOT_LOST,
                belief.entry.target,
                proof=wrong.value,
                missed=belief.missed,
            )
        belief.answered(self._timers.now() + ALIVE_FOR_S)

    def _hears_others(self, belief: TargetLiveness) -> bool:
        """Whether another target was heard since this one began to leave probes."""
        for other in self._beliefs.values():
            if other is not belief and other.heard_at > belief.missed_at:
                return True
        return False

    def _on_lost(self, incarnation: Incarnation, loss: Loss) -> None:
        belief = self._beliefs.get(incarnation)
        if belief is None:
            return
        belief.entry_gone = True
        if not belief.followers:
            self._drop(belief)
            return
        if loss is not Loss.ENTRY_GONE:
            self._prove(belief, loss)
            return
        # Some engines leave without a word and serve on, so this alone ends nothing.
        self._lose(belief, loss)
        self._tasks.spawn(self._ask(belief))

    def _prove(self, belief: TargetLiveness, loss: Loss) -> None:
        """Take a strong proof."""
        if belief.strong is None:
            belief.strong = loss
            self._lose(belief, loss)

    def _lose(self, belief: TargetLiveness, loss: Loss) -> None:
        """Tell of a proof, and end the requests for which it is enough."""
        entry = belief.entry
        self._metrics.losses.labels(loss.value).inc()
        if loss is not Loss.ENTRY_GONE:
            self._connections.forget(entry.address)
        followers = tuple(belief.followers)
        ended = sum(follower.settle() for follower in followers)
        self._events.emit(
            EventKind.TARGET_LOST,
            entry.target,
            started_ms=entry.started_ms,
            proof=loss.value,
            missed=belief.missed,
            silent_ms=round(1000 * belief.silent_s),
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

    def _drop(self, belief: TargetLiveness) -> None:
        self._beliefs.pop(belief.entry.incarnation, None)
