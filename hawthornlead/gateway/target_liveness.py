"""The liveness of one incarnation of a target, and the attempts that depend on it.

*Strong* proof shows that the incarnation is gone: another one answers at its address or
has written its entry. *Weak* proof leaves it open: probes go unanswered, fresh
connections are refused, or the entry was removed. A sound target may be silent for a
second and then go on, also after it has closed its listener, so what ends on weak proof
depends on what a wrong proof would do (``Repeat``).
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from .records import Loss, Route, ServiceSpec, TargetEntry
from .target_connections import AnswerSink, Head

# A target with requests of this VM is probed after this much silence. Engines send
# tokens of some request every few milliseconds.
PROBE_AFTER_S = 0.35
# Unanswered probes in a row that make a weak proof.
WEAK_PROOF_PROBES = 2
# Unanswered probes in a row that show a long silence: 1.6 s if each waits for its
# time-out. A path that loses packets fails some probes of a sound target.
LONG_SILENCE_PROBES = 5
# A sound target pauses for less: a second or so. Probes that are refused fail at once,
# so their number alone shows no silence. Callers abandon a request after 2 to 3 s.
LONG_SILENCE_S = 1.5


class Repeat(Enum):
    """When a request that was sent to one target may be sent to another.

    ``FREELY`` is for requests that may run twice at a time: they end on a weak proof.
    ``AFTER_END`` is for streams that may be resumed once the first run has ended: they
    end after a long silence. ``NEVER`` is for all others. They also end after a long
    silence, but only if this VM's own network path works: other targets send data,
    the target itself refuses connections, or the store has no entry of it.
    """

    FREELY = "freely"
    AFTER_END = "after the end"
    NEVER = "never"


def repeat_rule(route: Route) -> Repeat:
    """Return when a request on a route may be sent to another target."""
    if route.repeatable:
        return Repeat.FREELY
    return Repeat.AFTER_END if route.resumable else Repeat.NEVER


class TargetLiveness:
    """What this VM observed of one incarnation that it sends requests to.

    ``next_probe_at`` is when it may be probed next and ``probed_at`` when it was last.
    ``missed_probes`` counts the probes in a row that went unanswered, without data from
    the target in between. ``others_answer`` tells whether other targets sent data since
    the first of them, and ``refuses`` whether the last probe was refused, which says
    nothing about the connections that are open. ``restarted`` is the strong proof.
    ``on_heard`` is called when the target sends data after an unanswered probe, and
    ``has_entry`` tells whether the incarnation has an entry in the store now.
    """

    def __init__(
        self,
        entry: TargetEntry,
        spec: ServiceSpec,
        now: Callable[[], float],
        on_heard: Callable[["TargetLiveness"], None],
        has_entry: Callable[[], bool],
    ):
        self._now = now
        self._on_heard = on_heard
        self._has_entry = has_entry
        self.entry = entry
        self.spec = spec
        self.subscribers: set[LossSubscriber] = set()
        self.waiting_since = now()
        self.last_seen_at = float("-inf")
        self.next_probe_at = 0.0
        self.probed_at = 0.0
        self.missed_probes = 0
        self.first_missed_at = 0.0
        self.others_answer = False
        self.refuses = False
        self.restarted = False
        self.probe_task: asyncio.Task | None = None

    @property
    def is_over(self) -> bool:
        """Whether the incarnation gets no requests: it restarted, or has no entry."""
        return self.restarted or not self._has_entry()

    @property
    def unanswered(self) -> bool:
        """Whether enough probes went unanswered for a weak proof."""
        return self.missed_probes >= WEAK_PROOF_PROBES

    @property
    def silent_since(self) -> float:
        """Since when requests have waited without data from the target."""
        return max(self.last_seen_at, self.waiting_since)

    @property
    def silent_s(self) -> float:
        """For how long requests have waited without data, 0 if none waits."""
        return self._now() - self.silent_since if self.subscribers else 0.0

    @property
    def is_long_silent(self) -> bool:
        """Whether requests have waited for longer than a sound target pauses."""
        return self.silent_s >= LONG_SILENCE_S

    @property
    def is_suspect(self) -> bool:
        """Whether the target must show that it is alive before it is sent a request."""
        if self.missed_probes or self.proof:
            return True
        return self.silent_s > PROBE_AFTER_S and self._now() > self.next_probe_at

    @property
    def proof(self) -> Loss | None:
        """The proof by which the incarnation counts as lost, None if it doesn't."""
        if self.restarted:
            return Loss.RESTARTED
        if self.refuses:
            return Loss.REFUSED
        return Loss.UNANSWERED if self.unanswered else None

    def on_activity(self) -> None:
        """Record that the target sent data."""
        self.last_seen_at = self._now()
        if self.missed_probes:
            self._on_heard(self)
            self.missed_probes = 0

    def on_missed_probe(self, started_at: float, refused: bool) -> None:
        """Count a probe that was refused or unanswered."""
        if not self.missed_probes:
            self.first_missed_at = started_at
        self.missed_probes += 1
        self.refuses = refused

    def on_answer(self, next_probe_at: float) -> None:
        """Clear the weak proofs, because the target is alive."""
        self.missed_probes = 0
        self.refuses = False
        self.next_probe_at = next_probe_at

    def proof_for(self, repeat: Repeat) -> Loss | None:
        """Return the proof that ends a request to the target, None if there is none."""
        if self.restarted:
            return Loss.RESTARTED
        if not self.missed_probes or not (self.refuses or self.unanswered):
            return None
        if repeat is Repeat.FREELY:
            return self.proof
        if self.missed_probes < LONG_SILENCE_PROBES or not self.is_long_silent:
            return None
        if repeat is Repeat.AFTER_END or self._path_works():
            return self.proof
        return None

    def _path_works(self) -> bool:
        """Whether this VM's own path is not what makes the target silent."""
        return self.refuses or self.others_answer or not self._has_entry()


class LossSubscriber:
    """One attempt at a target; ``lost`` is done when its target counts as lost."""

    def __init__(self, liveness: TargetLiveness, repeat: Repeat):
        self._liveness = liveness
        self._repeat = repeat
        self.lost: asyncio.Future[Loss] = asyncio.get_running_loop().create_future()

    @property
    def liveness(self) -> TargetLiveness:
        """The liveness of its target."""
        return self._liveness

    @property
    def would_be_lost(self) -> bool:
        """Whether there is proof enough to end this attempt, which hasn't ended."""
        return not self.lost.done() and self._proof() is not None

    @property
    def may_have_crashed(self) -> bool:
        """Whether the attempt ended because its target is gone, or probably is.

        A target that refuses connections may only have closed its listener.
        """
        if not self.lost.done():
            return False
        loss = self.lost.result()
        if loss is Loss.REFUSED:
            return self._liveness.is_long_silent
        return loss is Loss.RESTARTED

    def watch_answer(
        self, sink: AnswerSink, on_head: Callable[[Head], None]
    ) -> "ActivitySink":
        """Return a sink that also records each time the target sends data.

        ``on_head`` is called with the head of the answer.
        """
        return ActivitySink(sink, self._liveness, on_head)

    def end_if_lost(self) -> bool:
        """End the attempt if there is proof enough; return whether it ended now."""
        if not self.would_be_lost:
            return False
        self.lost.set_result(self._proof())
        return True

    def _proof(self) -> Loss | None:
        return self._liveness.proof_for(self._repeat)


class ActivitySink:
    """Forwards an answer to its sink and records that its target sent data."""

    def __init__(
        self,
        sink: AnswerSink,
        liveness: TargetLiveness,
        on_head: Callable[[Head], None],
    ):
        self._sink = sink
        self._liveness = liveness
        self._on_head = on_head

    def handle_head(self, head: Head) -> None:
        """Forward the head."""
        self._liveness.on_activity()
        self._on_head(head)
        self._sink.handle_head(head)

    def handle_data(self, chunk: bytes) -> bool | None:
        """Forward a chunk of the body."""
        self._liveness.on_activity()
        return self._sink.handle_data(chunk)
