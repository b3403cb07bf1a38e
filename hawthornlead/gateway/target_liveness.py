"""What a VM believes of one incarnation of a target, and who wants to know.

*Strong* proof says that what ran there runs no more: another start answers, or a fresh
connection is refused. *Weak* proof leaves it open: probes go unanswered, or the entry
went. A request that may be repeated ends on unanswered probes. Any other one, whose
target may yet answer, ends on strong proof, on both weak ones together, or when probes
went unanswered for long while this VM heard other targets, so that its own path is
whole.
"""

import asyncio
from collections.abc import Callable

from .records import Loss, ServiceSpec, TargetEntry
from .target_connections import AnswerSink, Head

# A target that has requests of this VM and sent it nothing for so long is asked.
# Engines send tokens of some request every few milliseconds.
PROBE_AFTER_S = 0.35
# So many unanswered probes in a row are a proof, though a weak one.
UNANSWERED = 2
# So many, 1.35 s of silence, count for requests that may not be repeated too; their
# callers bear pauses of 0.3 s and have given up after 2 to 3 s.
LONG_UNANSWERED = 4


class TargetLiveness:
    """What this VM has seen of one incarnation that it sends requests to.

    ``next_probe_at`` is when it may be asked next and ``probed_at`` when it was last;
    ``missed`` counts the probes in a row that went unanswered, ``path_whole`` tells
    whether other targets were heard since the first of them.
    """

    def __init__(self, entry: TargetEntry, spec: ServiceSpec, now: Callable):
        self._now = now
        self.entry = entry
        self.spec = spec
        self.subscribers: set[LossSubscriber] = set()
        self.waiting_since = self.last_seen_at = now()
        self.next_probe_at = 0.0
        self.probed_at = 0.0
        self.missed = 0
        self.missed_at = 0.0
        self.path_whole = False
        self.strong: Loss | None = None
        self.entry_gone = False
        self.probe_task: asyncio.Task | None = None

    @property
    def unanswered(self) -> bool:
        """Whether so many probes went unanswered that it counts as a proof."""
        return self.missed >= UNANSWERED

    @property
    def silent_since(self) -> float:
        """Since when requests have waited without a byte from the target."""
        return max(self.last_seen_at, self.waiting_since)

    @property
    def silent_s(self) -> float:
        """For how long requests have waited without a byte, 0 if none waits."""
        return self._now() - self.silent_since if self.subscribers else 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether nothing may be sent before the target showed that it is there."""
        if self.missed or self.strong:
            return True
        return self.silent_s > PROBE_AFTER_S and self._now() > self.next_probe_at

    @property
    def proof(self) -> Loss | None:
        """By what the incarnation counts as lost, None if it doesn't."""
        return self.strong or (Loss.UNANSWERED if self.unanswered else None)

    @property
    def seen_since_missed(self) -> bool:
        """Whether the target sent something after it counted as unanswering."""
        return self.proof is Loss.UNANSWERED and self.last_seen_at > self.missed_at

    def on_activity(self) -> None:
        """Note that the target sent something."""
        self.last_seen_at = self._now()

    def on_missed_probe(self, asked_at: float) -> None:
        """Note a probe that went unanswered."""
        if not self.missed:
            self.missed_at = asked_at
        self.missed += 1

    def on_answer(self, ask_at: float) -> None:
        """Note that the target showed that it is there; probe again at ``ask_at``."""
        self.missed = 0
        self.strong = None
        self.next_probe_at = ask_at

    def proof_for(self, may_repeat: bool) -> Loss | None:
        """Return the proof that ends a request there, None if there is none."""
        if self.strong is not None:
            return self.strong
        for_long = self.missed >= LONG_UNANSWERED and self.path_whole
        if self.unanswered and (may_repeat or self.entry_gone or for_long):
            return Loss.UNANSWERED
        return None


class LossSubscriber:
    """One attempt at a target; ``lost`` is done when its target counts as lost."""

    def __init__(self, liveness: TargetLiveness, may_repeat: bool):
        self._liveness = liveness
        self._may_repeat = may_repeat
        self.lost: asyncio.Future[Loss] = asyncio.get_running_loop().create_future()

    @property
    def liveness(self) -> TargetLiveness:
        """What is believed of its target."""
        return self._liveness

    @property
    def would_end(self) -> bool:
        """Whether what is believed is proof enough for an attempt that goes on yet."""
        return not self.lost.done() and self._proof() is not None

    def listen(
        self, sink: AnswerSink, on_head: Callable[[Head], None]
    ) -> "ActivitySink":
        """Return a sink that also notes that the target sends.

        ``on_head`` is called with the beginning of the answer.
        """
        return ActivitySink(sink, self._liveness, on_head)

    def settle(self) -> bool:
        """End if what is believed is proof enough; return whether it ended now."""
        if not self.would_end:
            return False
        self.lost.set_result(self._proof())
        return True

    def _proof(self) -> Loss | None:
        return self._liveness.proof_for(self._may_repeat)


class ActivitySink:
    """Passes an answer on, and notes that its target sent something."""

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
        """Pass the beginning on."""
        self._liveness.on_activity()
        self._on_head(head)
        self._sink.handle_head(head)

    def handle_data(self, chunk: bytes) -> None:
        """Pass a piece on."""
        self._liveness.on_activity()
        self._sink.handle_data(chunk)
