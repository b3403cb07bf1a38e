"""Places in the batches of the engines that this VM owns, counted over all VMs.

An engine preempts a request when a more urgent one arrives at a full batch, so no
request beyond the batch is sent there. The owner of an engine counts the places and the
KV memory, and lets requests wait::

    reply = await places.reserve(owner, key, "edge-3", message)
    places.end(owner, key, "edge-3")

Prompt parts that several requests share are counted for each of them.
"""

import itertools
from collections.abc import Callable
from typing import NamedTuple

from ..admission.place_books import PlaceBook
from ..admission.place_events import PlaceEvents
from ..admission.place_gates import PlaceGate
from ..admission.place_queues import PlaceQueue, PlaceRequest, ShareOrder
from ..admission.place_waits import PlaceWaits
from ..errors import ErrorKind, Failure
from ..mesh.meshes import failed
from ..messages.gateways import PromptReserved, ReservePrompt
from ..messages.sessions import Failed
from ..timers import TimerService
from .engine_owners import EngineOwner
from .engine_slots import AdapterKey
from .records import EngineSpec
from .run_times import INITIAL_ENGINE_RUN_MS
from .target_loads import TargetLoads

# Announced counts are compared with granted places this often.
COMPARE_INTERVAL_S = 0.2
# A place is free after this time even if no end was reported and other requests hide
# that in the announcements. No route allows a longer run.
MAX_RUN_S = 30.0
MAX_WAIT_S = 10.0
# A waiting request starves after this time beyond its due time, which is a quarter of
# the objective of most routes.
PATIENCE_S = 0.15


class _Owned(NamedTuple):
    """The places of one incarnation of an engine."""

    owner: EngineOwner
    spec: EngineSpec
    waits: PlaceWaits


class UncountedPlaces:
    """Engines of which nobody counts the places."""

    async def reserve(
        self,
        owner: EngineOwner,
        key: AdapterKey,
        vm: str,
        message: ReservePrompt,
        age_s: float,
    ) -> PromptReserved:
        """Reserve a turn for a VM's prompt."""
        return owner.reserve(key, vm, message)

    def count(self, owner: EngineOwner, key: AdapterKey, vm: str, tokens: int) -> None:
        """Do nothing: nobody counts the request."""

    def end(self, owner: EngineOwner, key: AdapterKey, vm: str) -> None:
        """Do nothing: the request has no place."""


class EnginePlaces:
    """Grants the places of owned engines to requests of all VMs.

    ``is_seen`` tells whether a VM is live.
    """

    def __init__(
        self,
        *,
        loads: TargetLoads,
        timers: TimerService,
        is_seen: Callable[[str], bool],
        report: PlaceEvents,
        new_shares: Callable[[], ShareOrder | None] = lambda: None,
    ):
        self._loads = loads
        self._timers = timers
        self._is_seen = is_seen
        self._report = report
        self._new_shares = new_shares
        self._numbers = itertools.count(1)
        self._owned: dict[str, _Owned] = {}
        self._compared_at: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return sum(each.waits.gate.waiting for each in self._owned.values())

    async def reserve(
        self,
        owner: EngineOwner,
        key: AdapterKey,
        vm: str,
        message: ReservePrompt,
        age_s: float,
    ) -> PromptReserved | Failed:
        """Reserve a place for a VM's request, then a turn for its prompt.

        ``age_s`` is the maximum age of announced counts.
        """
        owned = self._of(owner)
        waits = owned.waits
        self._compare(owned, age_s)
        now = self._timers.now()
        request = self._request(owned, key, vm, message, now)
        if message.wait_s < 0:
            # The VM counts no places. Its request is sent in any case.
            waits.gate.count(request, now)
        else:
            waiting = waits.gate.waiting
            waited = await waits.reserve(request)
            if waited.stopped:
                detail = f"the places of {owner.target} aren't counted here any more"
                return failed(Failure(ErrorKind.NO_GRANT, detail, 0.2))
            self._report.record_decision(
                owner.target,
                request,
                waited.answer,
                granted=waited.granted,
                waited_s=waited.waited_s,
                places=waits.gate.places,
                waiting=waiting,
                tokens=request.tokens,
                tokens_held=waits.gate.book.tokens,
                hold_ms=round(1000 * waits.gate.book.hold_s),
                announced=self._loads.announced(owner.target),
                announced_age_ms=round(1000 * age_s),
            )
            if not waited.granted:
                # Without a free place for its tokens an engine is full for this
                # request, however few others run.
                running = max(waits.gate.places, self._running(waits))
                return PromptReserved(0.0, True, False, running, waited.answer.wait_s)
        reply = owner.reserve(key, vm, message)
        if not reply.reserved:
            waits.end(vm, request.number)
        return reply._replace(running=self._running(waits))

    def count(self, owner: EngineOwner, key: AdapterKey, vm: str, tokens: int) -> None:
        """Count a VM's request whose turn was reserved while its adapter arrived."""
        owned = self._of(owner)
        now = self._timers.now()
        message = ReservePrompt(owner.target, *key, tokens, 0.0)
        owned.waits.gate.count(self._request(owned, key, vm, message, now), now)

    def end(self, owner: EngineOwner, key: AdapterKey, vm: str) -> None:
        """End the place of a VM's request that used an adapter."""
        owned = self._owned.get(owner.target)
        if owned is not None and owned.owner is owner:
            owned.waits.end_oldest(vm, f"{key.model}/{key.adapter}")

    def discard(self, target: str) -> None:
        """Discard the places of an engine that is gone or has restarted."""
        owned = self._owned.pop(target, None)
        if owned is not None:
            owned.waits.stop()
        self._compared_at.pop(target, None)

    def _of(self, owner: EngineOwner) -> _Owned:
        """Return the places of an owner's engine; a new incarnation has none taken."""
        target, spec = owner.target, owner.slots.spec
        owned = self._owned.get(target)
        if owned is None or owned.owner is not owner or owned.spec != spec:
            gate = PlaceGate(
                places=spec.batch,
                book=PlaceBook(INITIAL_ENGINE_RUN_MS / 1000, self._is_seen),
                queue=PlaceQueue(self._new_shares()),
                tokens=spec.kv_tokens,
            )
            self.discard(target)
            waits = PlaceWaits(gate, self._timers, lambda: not owner.finished)
            owned = _Owned(owner, spec, waits)
            self._owned[target] = owned
        return owned

    def _compare(self, owned: _Owned, age_s: float) -> None:
        """Compare the granted places with what VMs announced, from time to time."""
        target, now = owned.owner.target, self._timers.now()
        compared_at = self._compared_at.get(target)
        if compared_at is None or now - compared_at >= COMPARE_INTERVAL_S:
            self._compared_at[target] = now
            announced = self._loads.announced(target)
            owned.waits.gate.book.apply_announced(announced, now, age_s / 2)

    def _request(
        self,
        owned: _Owned,
        key: AdapterKey,
        vm: str,
        message: ReservePrompt,
        now: float,
    ) -> PlaceRequest:
        """Return the request of a message, bounded whatever that says."""
        wait_s = min(MAX_WAIT_S, max(0.0, message.wait_s))
        tokens = max(0, message.tokens) + max(0, message.output_tokens)
        return PlaceRequest(
            vm,
            next(self._numbers),
            message.rank,
            now + min(MAX_WAIT_S, max(-MAX_WAIT_S, message.due_s)),
            now + wait_s,
            now + wait_s + MAX_RUN_S,
            PATIENCE_S,
            min(owned.spec.kv_tokens, tokens),
            f"{key.model}/{key.adapter}",
            message.share_key,
        )

    def _running(self, waits: PlaceWaits) -> int:
        """Return an engine's requests, with those that wait for its places."""
        return waits.gate.book.running(self._timers.now()) + waits.gate.waiting
