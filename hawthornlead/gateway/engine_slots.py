"""The adapter slots of one engine, as the VM that owns the engine observes them.

A slot is used by an adapter that is ready, arriving, or leaving with requests still
running. The engine crashes when it is ordered to load more adapters than it has slots,
so a slot counts as free only once the engine has confirmed it.
"""

import math
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple, Protocol

from ..messages.gateways import AdapterUse, HeldAdapter
from .records import EngineReport, EngineSpec

# Before a request is sent the owner is asked for its turn, and it is notified when the
# request ends. If that notice is lost, the turn counts for this time plus the interval
# at which VMs announce their requests. After that only the announcements count.
UNREPORTED_TURN_S = 0.15
# Turns whose end was never reported are discarded after this time, also for evicted
# adapters. The longest runs take 20 s.
TURN_RETENTION_S = 30.0
# Requests that waited for an adapter ask for their turn some milliseconds after it is
# ready. Within this time the adapter is not evicted.
TURN_REQUEST_GRACE_S = 0.1
# The half-life of the request counts that decide evictions. Demand moves within
# seconds; with a longer half-life adapters no longer in demand keep their slots.
USE_HALF_LIFE_S = 10.0


class SlotState(Enum):
    """The state of an adapter in its slot."""

    ARRIVING = "arriving"
    READY = "ready"
    LEAVING = "leaving"


class AdapterKey(NamedTuple):
    """An adapter of a model."""

    model: str
    adapter: str


class Slot:
    """One adapter of the engine; ``since`` is when it entered its state."""

    def __init__(self, version: int, state: SlotState, since: float):
        self.version = version
        self.state = state
        self.since = since


class AdaptersInUse(Protocol):
    """The requests in progress, as announced by all VMs."""

    def running(self, target: str) -> dict[AdapterKey, int]:
        """Return how many requests use each adapter of an engine, over all VMs."""

    def announce_interval_s(self) -> float:
        """Return how often each VM announces its requests, in seconds."""


class _Use:
    """An exponentially decaying count of the requests for an adapter."""

    __slots__ = ("at", "score")

    def __init__(self):
        self.at = -math.inf
        self.score = 0.0


class EngineSlots:
    """The slots of one engine, and how its adapters are used."""

    def __init__(self, spec: EngineSpec):
        self._spec = spec
        self._slots: dict[AdapterKey, Slot] = {}
        self._models: dict[str, int] = {}
        self._uses: dict[AdapterKey, _Use] = {}
        self._running: dict[AdapterKey, int] = {}
        # The start times of the turns of each VM's requests.
        self._turns: dict[AdapterKey, dict[str, list[float]]] = {}
        # The adapter that the engine is just ordered to unload. No request may be sent
        # for it any more, though it may turn out that the engine still holds it.
        self.evicting: AdapterKey | None = None

    @property
    def spec(self) -> EngineSpec:
        """What the engine can hold and run."""
        return self._spec

    @property
    def models(self) -> tuple[str, ...]:
        """The models that the engine holds."""
        return tuple(self._models)

    @property
    def capacity(self) -> int:
        """The number of adapter slots of the engine."""
        return self._spec.adapter_slots

    @property
    def slots(self) -> dict[AdapterKey, Slot]:
        """The adapters that use a slot."""
        return self._slots

    @property
    def held(self) -> tuple[HeldAdapter, ...]:
        """The adapters that requests can run with, now or soon."""
        adapters = []
        for key, slot in self._slots.items():
            if slot.state is SlotState.LEAVING:
                continue
            ready = slot.state is SlotState.READY
            adapters.append(HeldAdapter(*key, slot.version, ready))
        return tuple(adapters)

    @property
    def arriving(self) -> int:
        """The number of adapters that the engine is loading."""
        states = [slot.state for slot in self._slots.values()]
        return states.count(SlotState.ARRIVING)

    def ready(self, key: AdapterKey, version: int) -> bool:
        """Whether requests for an adapter at this version or a newer one can run."""
        slot = self._slots.get(key)
        if slot is None or slot.state is not SlotState.READY or key == self.evicting:
            return False
        return not version or slot.version >= version

    def has_capacity(self, key: AdapterKey, spare: int = 0) -> bool:
        """Whether one more adapter fits, by slots and by memory.

        ``spare`` slots stay free beside it, as long as one slot can be used at all.
        """
        spare = min(spare, self._spec.adapter_slots - 1)
        if len(self._slots) + spare >= self._spec.adapter_slots:
            return False
        model = self._spec.model(key.model)
        if model is None:
            return False
        return self._free_mb() >= (1 + spare) * model.adapter_mb

    def record_use(self, key: AdapterKey, count: int, now: float) -> None:
        """Count started requests for an adapter."""
        use = self._uses.get(key)
        if use is None:
            use = self._uses[key] = _Use()
        use.score = self._score(use, now) + count
        use.at = now

    def record_uses(self, uses: Iterable[AdapterUse], now: float) -> None:
        """Count the started requests that a VM announces for adapters."""
        for use in uses:
            if use.started or use.running:
                key = AdapterKey(use.model, use.adapter)
                self.record_use(key, use.started, now)

    def record_turn(self, key: AdapterKey, vm: str, at: float) -> None:
        """Record that a VM sends a request for an adapter at ``at``."""
        self._turns.setdefault(key, {}).setdefault(vm, []).append(at)

    def end_turn(self, key: AdapterKey, vm: str) -> None:
        """Record that a VM's request for an adapter has ended, or isn't sent."""
        turns = self._turns.get(key, {})
        started_at = turns.get(vm)
        if not started_at:
            return
        started_at.pop(0)
        if not started_at:
            del turns[vm]
        if not turns:
            del self._turns[key]

    def apply_running(self, running: dict[AdapterKey, int]) -> None:
        """Set how many requests run for each adapter, over all VMs."""
        self._running = running

    def running(self, key: AdapterKey) -> int:
        """Return how many requests for an adapter run, as last announced."""
        return self._running.get(key, 0)

    @property
    def leaving(self) -> bool:
        """Whether an adapter in use is leaving; the engine takes no orders then."""
        states = [slot.state for slot in self._slots.values()]
        return SlotState.LEAVING in states

    def leaving_s(self, now: float) -> float:
        """Return how long the oldest leaving adapter has been leaving, 0 for none."""
        since = now
        for slot in self._slots.values():
            if slot.state is SlotState.LEAVING:
                since = min(since, slot.since)
        return now - since

    def victim(self, now: float, announce_interval_s: float = 0.0) -> AdapterKey | None:
        """Return the adapter to evict: not in use, and with the least recent demand.

        ``announce_interval_s`` is how often each VM announces its requests.
        """
        best, least = None, math.inf
        for key, slot in self._slots.items():
            if slot.state is not SlotState.READY or self.running(key):
                continue
            if now - slot.since < TURN_REQUEST_GRACE_S:
                continue
            if self._has_turns(key, now - UNREPORTED_TURN_S - announce_interval_s):
                continue
            use = self._uses.get(key)
            score = 0.0 if use is None else self._score(use, now)
            if score < least:
                best, least = key, score
        return best

    def set(self, key: AdapterKey, version: int, state: SlotState, now: float) -> None:
        """Put an adapter into a slot, or change its state."""
        self._slots[key] = Slot(version, state, now)

    def remove(self, key: AdapterKey) -> None:
        """Remove an adapter that left its slot."""
        self._slots.pop(key, None)

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Replace the observed state by what the engine reports."""
        self._models = {model.name: model.version for model in report.models}
        slots: dict[AdapterKey, Slot] = {}
        for held in [each for model in report.models for each in model.adapters]:
            key = AdapterKey(held.model, held.adapter)
            slots[key] = self._reported(key, held.version, SlotState.READY, now)
        for held in report.arriving:
            key = AdapterKey(held.model, held.adapter)
            slots[key] = self._reported(key, held.version, SlotState.ARRIVING, now)
        self._slots = slots

    def expire_uses(self, now: float) -> None:
        """Discard the counts of adapters without recent demand."""
        for key in tuple(self._turns):
            self._has_turns(key, now - TURN_RETENTION_S)
        for key, use in tuple(self._uses.items()):
            if self._score(use, now) < 0.01 and key not in self._slots:
                del self._uses[key]

    def _has_turns(self, key: AdapterKey, since: float) -> bool:
        """Whether a request got its turn after ``since`` and hasn't ended.

        Older turns are discarded; requests still running are announced by their VMs.
        """
        turns = self._turns.get(key)
        if turns is None:
            return False
        for vm, started_at in tuple(turns.items()):
            turns[vm] = [at for at in started_at if at > since]
            if not turns[vm]:
                del turns[vm]
        if not turns:
            del self._turns[key]
        return bool(turns)

    def _reported(self, key, version: int, state: SlotState, now: float) -> Slot:
        known = self._slots.get(key)
        if known is None or known.version != version:
            return Slot(version, state, now)
        if known.state is SlotState.LEAVING and state is SlotState.READY:
            return known
        if known.state is not state:
            return Slot(version, state, now)
        return known

    def _free_mb(self) -> float:
        used = 0.0
        for name in self._models:
            model = self._spec.model(name)
            used += model.weights_mb if model else 0.0
        for key in self._slots:
            model = self._spec.model(key.model)
            used += model.adapter_mb if model else 0.0
        return self._spec.memory_mb - used

    def _score(self, use: _Use, now: float) -> float:
        if use.at == -math.inf:
            return 0.0
        return use.score * 0.5 ** ((now - use.at) / USE_HALF_LIFE_S)
