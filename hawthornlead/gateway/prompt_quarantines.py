"""Quarantine of the prompt parts that crash targets, over all VMs.

Each VM knows only its own requests at a target that died, so reports go to all VMs and
each reaches the same verdict. A VM that knows an accused part to have been answered
says so. One that starts or comes back is sent the evidence as it connects, and while
requests are refused the verdict is repeated for those that missed it::

    quarantines.report_death("i-7f3a", "i-7f3a@812", fingerprints, prompts)
    refused = quarantines.check(signature.parts)

``decisions.crashing_parts`` decides which part it is.
"""

import math
from collections.abc import Callable, Iterable
from random import Random

from result import Err, Ok, Result

from ..decisions.crashing_parts import CrashingParts, Death, Quarantine
from ..decisions.suspects import Suspects
from ..errors import ErrorKind, Failure
from ..events import EventKind, EventRing
from ..fleet.fleet_meshes import FleetMesh
from ..messages import CrashSuspects, UnansweredPrompt
from ..settings import Settings
from ..timers import Subscription, TimerService
from .gateway_metrics import GatewayMetrics

# How often one of all VMs repeats the evidence, while requests are refused.
REPEAT_INTERVAL_S = 1.0
# Requests count as still coming for this long after one was refused.
REFUSING_S = 30.0
# Deaths that are repeated at a time.
MAX_REPEATED = 16
# Many VMs may know that an accused part was answered. Each waits for a random time, and
# says so only if no other VM has. The time grows with the number of VMs.
ANSWERED_SPREAD_PER_VM_S = 0.001
MAX_ANSWERED_SPREAD_S = 0.3
# When a caller may send a request again that is refused for good.
FINAL_RETRY_S = 600.0


class PromptQuarantines:
    """The quarantined parts that this VM knows, and what it tells the other VMs.

    ``vms`` returns how many VMs there are.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        suspects: Suspects,
        timers: TimerService,
        rng: Random,
        events: EventRing,
        metrics: GatewayMetrics,
        mesh: FleetMesh,
        vms: Callable[[], int],
    ):
        self._suspects = suspects
        self._timers = timers
        self._rng = rng
        self._events = events
        self._refusals = metrics.quarantine_refusals
        self._mesh = mesh
        self._vms = vms
        self._evidence = CrashingParts(
            crashes_to_quarantine=settings["CRASHES_TO_QUARANTINE"]
        )
        self._known: frozenset[str] = frozenset()
        self._refused_at = -math.inf
        # Answered parts that other VMs accused, until this or another VM says so.
        self._unannounced: set[str] = set()
        self._announcing: Subscription | None = None
        mesh.on(CrashSuspects, self._on_crash_suspects)
        timers.every(REPEAT_INTERVAL_S, self._review, name="prompt quarantines")

    @property
    def quarantined(self) -> tuple[Quarantine, ...]:
        """The parts in quarantine."""
        return self._evidence.quarantined

    # Requests

    def check(self, parts: tuple[str, ...]) -> Result[None, Failure]:
        """Refuse a request whose prompt has a quarantined part, unless it may be tried.

        The failure says when the caller may send the request again.
        """
        quarantine = self._evidence.find_quarantine(parts)
        if quarantine is None or self._may_try(quarantine):
            return Ok(None)
        return Err(self._refusal(quarantine))

    def acquire(self, parts: tuple[str, ...]) -> Result[None, Failure]:
        """Check a request as it is about to be sent, and count it if it is a trial."""
        checked = self.check(parts)
        quarantine = self._evidence.find_quarantine(parts)
        if checked.is_err() or quarantine is None:
            return checked
        part = quarantine.part
        self._evidence.record_trial(part, self._timers.now())
        self._events.emit(EventKind.PART_TRIED, part, crashes=quarantine.crashes)
        self._mesh.broadcast(CrashSuspects("", "", (), tried=(part,)))
        return checked

    def is_suspect(self, parts: Iterable[str]) -> bool:
        """Whether a part of a prompt may have crashed a target."""
        return self._evidence.is_suspect(parts)

    def unanswered(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Return the parts of a prompt that aren't known to have been answered."""
        return self._evidence.unanswered(parts, self._timers.now())

    def _may_try(self, quarantine: Quarantine) -> bool:
        trial_at = quarantine.trial_at
        return trial_at is not None and self._timers.now() >= trial_at

    def _refusal(self, quarantine: Quarantine) -> Failure:
        now = self._refused_at = self._timers.now()
        self._refusals.inc()
        retry_s = FINAL_RETRY_S
        if quarantine.trial_at is not None:
            retry_s = min(retry_s, quarantine.trial_at - now)
        detail = (
            f"the prompt part {quarantine.part} was at {quarantine.crashes} targets "
            "as they crashed"
        )
        return Failure(ErrorKind.OVERLOADED, detail, retry_s)

    # Evidence

    def report_death(
        self,
        target: str,
        incarnation: str,
        fingerprints: Iterable[bytes],
        prompts: Iterable[UnansweredPrompt],
        survived: Iterable[bytes] = (),
    ) -> None:
        """Report the requests of this VM that were at a target as it died.

        The target had answered those in ``survived`` for a while before.
        """
        report = CrashSuspects(
            target,
            incarnation,
            tuple(fingerprints),
            tuple(prompts),
            survived=tuple(survived),
        )
        self._apply(report)
        self._mesh.broadcast(report)

    def record_answered(self, parts: Iterable[str]) -> None:
        """Record that a target wrote an answer on the parts of a prompt, and lives."""
        accused = self._evidence.record_answered(parts, self._timers.now())
        if accused:
            self._emit_changes()
            self._announce_answered(accused)

    def announce_all(self, vm: str) -> None:
        """Send the evidence to a VM that has been connected."""
        for evidence in (
            *self._suspects.reports(),
            *self._messages(self._evidence.suspected),
        ):
            self._mesh.cast(vm, evidence)

    async def _on_crash_suspects(self, sender, message: CrashSuspects) -> None:
        self._apply(message)

    def _apply(self, message: CrashSuspects) -> None:
        now = self._timers.now()
        if message.fingerprints or message.survived:
            self._suspects.record_death(
                message.target,
                message.boot_id,
                message.fingerprints,
                message.age_s,
                message.survived,
            )
        if message.prompts:
            answered = self._evidence.record_death(
                Death(message.target, message.boot_id),
                message.prompts,
                now,
                message.age_s,
            )
            self._announce_answered_soon(answered)
        if message.answered:
            self._evidence.record_answered(message.answered, now)
            self._unannounced.difference_update(message.answered)
        for part in message.tried:
            self._evidence.record_trial(part, now)
        self._emit_changes()

    def _messages(self, parts: frozenset[str]) -> list[CrashSuspects]:
        """Return the evidence against parts, a message for each death."""
        now = self._timers.now()
        messages = []
        for death, at, prompts in self._evidence.against(parts):
            messages.append(CrashSuspects(*death, (), prompts, max(0.0, now - at)))
        return messages

    def _review(self) -> None:
        """End quarantines that are old; repeat the evidence for the others."""
        self._evidence.expire(self._timers.now())
        self._emit_changes()
        self._repeat()

    def _repeat(self) -> None:
        """Repeat the evidence, at one VM of all on average."""
        if not self._known or self._timers.now() > self._refused_at + REFUSING_S:
            return
        if self._rng.random() * max(1, self._vms()) >= 1.0:
            return
        messages = self._messages(self._known)
        chosen = self._rng.sample(messages, min(MAX_REPEATED, len(messages)))
        for evidence in chosen:
            self._mesh.broadcast(evidence)

    def _announce_answered_soon(self, parts: Iterable[str]) -> None:
        self._unannounced.update(parts)
        if not self._unannounced or self._announcing is not None:
            return
        spread_s = min(MAX_ANSWERED_SPREAD_S, ANSWERED_SPREAD_PER_VM_S * self._vms())
        self._announcing = self._timers.after(
            self._rng.uniform(0.0, spread_s), self._announce_waiting, name="answered"
        )

    def _announce_waiting(self) -> None:
        self._announcing = None
        answered, self._unannounced = self._unannounced, set()
        if answered:
            self._announce_answered(answered)

    def _announce_answered(self, parts: Iterable[str]) -> None:
        self._mesh.broadcast(CrashSuspects("", "", (), answered=tuple(parts)))

    def _emit_changes(self) -> None:
        """Emit an event for each part that is quarantined now, or no longer."""
        quarantined = self._evidence.quarantined
        for each in quarantined:
            if each.part not in self._known:
                self._events.emit(
                    EventKind.PART_QUARANTINED, each.part, crashes=each.crashes
                )
        known = frozenset(each.part for each in quarantined)
        for part in self._known - known:
            self._events.emit(EventKind.PART_CLEARED, part)
        self._known = known
