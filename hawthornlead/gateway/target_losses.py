"""Which starts of targets are over, and what their requests are told.

A request in a target that died may never hear of it: nobody closes its connection.
So each attempt follows the incarnation that it was sent to::

    follower = losses.follow(entry, may_repeat=True)
    await asyncio.wait([exchange.ended, follower.lost], ...)
    losses.unfollow(follower)

*Strong* proof says that what ran there runs no more: another start answers, or a fresh
connection is refused. *Weak* proof leaves it open: probes go unanswered, or the entry
went. A request that may be repeated ends on unanswered probes; any other one, whose
target may yet answer, on strong proof or on both weak ones together.
"""

import asyncio

from ..errors import ErrorKind, Failure
from ..events import EventKind, EventRing
from ..tasks import TaskSet
from ..timers import TimerService
from .gateway_metrics import GatewayMetrics
from .known_targets import KnownTargets
from .records import Incarnation, Loss, TargetEntry
from .target_connections import AnswerSink, Head, TargetConnections
from .target_healths import TargetHealths
from .target_probes import LAG_S, Found, TargetProbes

# A target that has requests of this VM and sent it nothing for so long is asked.
# Engines send tokens of some request every few milliseconds.
PROBE_AFTER_S = 0.35
# One that showed that it is there is asked again after this, if it stays silent.
ALIVE_FOR_S = 1.5
# One that didn't answer is asked again after this, for as long as requests wait there.
AGAIN_S = 0.4
# So many unanswered questions in a row are a proof, though a weak one.
UNANSWERED = 2
# When a caller may come back whose request was lost with its target: others serve.
RETRY_S = 0.2

STRONG = {Found.RESTARTED: Loss.RESTARTED, Found.REFUSED: Loss.REFUSED}


class Follower:
    """One attempt at a target; ``lost`` is done when its target counts as lost."""

    def __init__(self, belief: "_Belief", may_repeat: bool):
        self._belief = belief
        self._may_repeat = may_repeat
        self.lost: asyncio.Future[Loss] = asyncio.get_running_loop().create_future()

    @property
    def belief(self) -> "_Belief":
        """What is believed of its target."""
        return self._belief

    def listen(self, sink: AnswerSink) -> "HeardSink":
        """Return a sink that also notes that the target sends."""
        return HeardSink(sink, self._belief)

    def settle(self) -> bool:
        """End if what is believed is proof enough; return whether it ended now."""
        loss = self._belief.proof(self._may_repeat)
        if loss is None or self.lost.done():
            return False
        self.lost.set_result(loss)
        return True


class HeardSink:
    """Passes an answer on, and notes that its target sent something."""

    def __init__(self, sink: AnswerSink, belief: "_Belief"):
        self._sink = sink
        self._belief = belief

    def take_head(self, head: Head) -> None:
        """Pass the beginning on."""
        self._belief.hear()
        self._sink.take_head(head)

    def take_data(self, chunk: bytes) -> None:
        """Pass a piece on."""
        self._belief.hear()
        self._sink.take_data(chunk)


class _Belief:
    """What this VM believes of one incarnation."""

    def __init__(self, entry: TargetEntry, now):
        self._now = now
        self.entry = entry
        self.followers: set[Follower] = set()
        self.waits_since = self.heard_at = now()
        self.ask_at = 0.0
        self.missed = 0
        self.strong: Loss | None = None
        self.entry_gone = False
        self.asking: asyncio.Task | None = None

    @property
    def unanswered(self) -> bool:
        """Whether so many questions went unanswered that it counts as a proof."""
        return self.missed >= UNANSWERED

    @property
    def silent_s(self) -> float:
        """For how long requests have waited without a byte from the target."""
        if not self.followers:
            return 0.0
        return self._now() - max(self.heard_at, self.waits_since)

    @property
    def doubtful(self) -> bool:
        """Whether nothing may be sent before the target showed that it is there."""
        if self.missed or self.strong:
            return True
        return self.silent_s > PROBE_AFTER_S and self._now() > self.ask_at

    def hear(self) -> None:
        """Note that the target sent something."""
        self.heard_at = self._now()

    def proof(self, may_repeat: bool) -> Loss | None:
        """Return by what a request there counts as lost, None if it doesn't."""
        if self.strong is not None:
            return self.strong
        if self.unanswered and (may_repeat or self.entry_gone):
            return Loss.UNANSWERED
        return None


class TargetLosses:
    """Follows the incarnations that have requests of this VM."""

    def __init__(
        self,
        *,
        targets: KnownTargets,
        probes: TargetProbes,
        connections: TargetConnections,
        healths: TargetHealths,
        timers: TimerService,
        events: EventRing,
        metrics: GatewayMetrics,
    ):
        self._events = events
        self._metrics = metrics
        self._targets = targets
        self._probes = probes
        self._connections = connections
        self._healths = healths
        self._timers = timers
        self._beliefs: dict[Incarnation, _Belief] = {}
        self._at_address: dict[str, Incarnation] = {}
        self._tasks = TaskSet()
        targets.subscribe(self._on_lost)

    def stop(self) -> None:
        """End what is under way."""
        self._tasks.cancel()

    async def sound(self, entry: TargetEntry, reports: bool) -> bool:
        """Whether a request may be sent: its target isn't silent, or answers now.

        A request that goes into a kept connection of a target in the dark may have
        run for all that is known, and can't go elsewhere; one that waits for the
        answer to a question that all share has surely not left.
        """
        self._note_address(entry)
        belief = self._beliefs.get(entry.incarnation)
        if belief is None or not belief.doubtful:
            return True
        found = await self._ask(belief, reports)
        return found in (Found.ALIVE, Found.UNKNOWN)

    def follow(self, entry: TargetEntry, may_repeat: bool, reports: bool) -> Follower:
        """Follow a target that is sent a request now."""
        belief = self._beliefs.get(entry.incarnation)
        if belief is None:
            belief = _Belief(entry, self._timers.now)
            self._beliefs[entry.incarnation] = belief
        if not belief.followers:
            belief.waits_since = self._timers.now()
        follower = Follower(belief, may_repeat)
        belief.followers.add(follower)
        name = f"{entry.target} {entry.started_ms}"
        self._tasks.spawn_once(name, lambda: self._watch(belief, reports))
        return follower

    def unfollow(self, follower: Follower) -> None:
        """Follow no more: the attempt has ended."""
        belief = follower.belief
        belief.followers.discard(follower)
        if not belief.followers and belief.entry_gone:
            self._drop(belief)

    def failure(self, loss: Loss | None) -> Failure:
        """Return the final answer to a request that its target, lost or not, failed."""
        if loss is None:
            return Failure(ErrorKind.TARGET_LOST, "the target failed")
        detail = f"the target is lost: {loss.value}"
        return Failure(ErrorKind.TARGET_LOST, detail, RETRY_S)

    # Watching

    async def _watch(self, belief: _Belief, reports: bool) -> None:
        """Ask a target that stays silent, for as long as requests wait there."""
        while belief.followers and belief.strong is None:
            now = self._timers.now()
            silent_since = max(belief.heard_at, belief.waits_since)
            wait_s = max(silent_since + PROBE_AFTER_S, belief.ask_at) - now
            if wait_s <= 0:
                await self._ask(belief, reports)
                continue
            await self._timers.sleep(wait_s)
            if self._timers.now() - now > wait_s + LAG_S:
                # This VM itself stood still, or nearly: what was sent to it meanwhile
                # is yet to be read. Without this, a VM that thaws takes all its
                # targets for silent.
                belief.waits_since = self._timers.now()

    async def _ask(self, belief: _Belief, reports: bool) -> Found:
        """Ask once, or take part in the asking under way."""
        if belief.asking is None or belief.asking.done():
            belief.asking = self._tasks.spawn(self._probe(belief, reports))
        return await asyncio.shield(belief.asking)

    async def _probe(self, belief: _Belief, reports: bool) -> Found:
        asked_at = self._timers.now()
        found = await self._probes.ask(belief.entry, reports)
        heard = belief.heard_at > asked_at
        if heard and found is not Found.ALIVE:
            # Some of its requests are being answered: it is busy, or refuses further
            # connections.
            found = Found.UNKNOWN
        if found is Found.ALIVE or heard:
            self._take_alive(belief)
        elif found is Found.UNKNOWN:
            belief.ask_at = self._timers.now() + AGAIN_S
        elif found is Found.NOTHING:
            belief.missed += 1
            belief.ask_at = asked_at if belief.missed < UNANSWERED else self._again()
            self._healths.failed(belief.entry.target, gone=True)
            if belief.missed == UNANSWERED:
                self._lose(belief, Loss.UNANSWERED)
        else:
            belief.missed = UNANSWERED
            if belief.strong is None:
                belief.strong = STRONG[found]
                self._lose(belief, belief.strong)
            self._healths.failed(belief.entry.target, gone=True)
        return found

    def _again(self) -> float:
        return self._timers.now() + AGAIN_S

    # What is believed

    def _take_alive(self, belief: _Belief) -> None:
        wrong = belief.strong or (Loss.UNANSWERED if belief.unanswered else None)
        if wrong is not None:
            self._metrics.wrong_losses.labels(wrong.value).inc()
            self._events.emit(
                EventKind.TARGET_NOT_LOST, belief.entry.target, proof=wrong.value
            )
        belief.missed = 0
        belief.strong = None
        belief.ask_at = self._timers.now() + ALIVE_FOR_S

    def _on_lost(self, incarnation: Incarnation, loss: Loss) -> None:
        belief = self._beliefs.get(incarnation)
        if belief is None:
            return
        if loss is Loss.ENTRY_GONE:
            belief.entry_gone = True
            belief.ask_at = 0.0
            if not belief.followers:
                self._drop(belief)
                return
            self._lose(belief, loss)
            reports = bool(belief.entry.models)
            self._tasks.spawn(self._ask(belief, reports))
            return
        if belief.strong is None:
            belief.strong = loss
            self._lose(belief, loss)

    def _lose(self, belief: _Belief, loss: Loss) -> None:
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
        if known != entry.incarnation:
            self._at_address[entry.address] = entry.incarnation
            if known is not None:
                self._connections.forget(entry.address)

    def _drop(self, belief: _Belief) -> None:
        self._beliefs.pop(belief.entry.incarnation, None)
