"""Checks whether an adapter may be loaded onto an engine now.

A load that fails a check is refused at once, so that its request can go to another
engine.
"""

from ..errors import ErrorKind, Failure
from ..timers import TimerService
from .engine_slots import AdapterKey, AdaptersInUse, EngineSlots, SlotState
from .records import TargetEntry
from .unacknowledged_orders import UnacknowledgedOrders

# The number of adapters that an engine fetches at once. It refuses more.
MAX_ARRIVING = 4


class LoadChecks:
    """The checks before an order to one engine.

    ::

        refusal = checks.refusal(entry, key, version)
        if refusal is None and not checks.has_capacity(key):
            victim = checks.victim()
    """

    def __init__(
        self,
        *,
        target: str,
        slots: EngineSlots,
        in_use: AdaptersInUse,
        unacknowledged: UnacknowledgedOrders,
        timers: TimerService,
    ):
        self._target = target
        self._slots = slots
        self._in_use = in_use
        self._unacknowledged = unacknowledged
        self._timers = timers

    def is_arriving(self, key: AdapterKey, version: int) -> bool:
        """Whether an adapter is arriving, at this version or a newer one."""
        slot = self._slots.slots.get(key)
        if slot is None or slot.state is not SlotState.ARRIVING:
            return False
        return not version or slot.version >= version

    def is_needed(self, key: AdapterKey, version: int) -> bool:
        """Whether an order is needed and possible after the orders before it."""
        if self._slots.ready(key, version) or self.is_arriving(key, version):
            return False
        return self._slots.arriving < MAX_ARRIVING

    def refusal(
        self, entry: TargetEntry, key: AdapterKey, version: int
    ) -> Failure | None:
        """Return why this adapter can't be ordered now."""
        if key.model not in self._slots.models:
            return Failure(ErrorKind.NO_SLOT, f"{key.model} isn't there", 2.0)
        if entry.draining:
            return Failure(ErrorKind.NO_TARGET, "the engine is leaving", 0.1)
        if self._slots.leaving:
            return Failure(ErrorKind.NO_SLOT, "an adapter in use is leaving", 0.5)
        slot = self._slots.slots.get(key)
        self._refresh_running()
        if slot is not None and slot.version < version and self._slots.running(key):
            # The engine replaces a version only once its runs have ended, and starts
            # no new runs meanwhile. Another engine is faster.
            return Failure(ErrorKind.NO_SLOT, "an older version is in use", 0.3)
        return None

    def has_capacity(self, key: AdapterKey) -> bool:
        """Whether an adapter has a slot, or one is free beyond the spare slots."""
        if key in self._slots.slots:
            return True
        return self._slots.has_capacity(key, self._unacknowledged.spare_slots)

    def victim(self) -> AdapterKey | None:
        """Return the adapter to evict, None if all are in use."""
        self._refresh_running()
        return self._slots.victim(
            self._timers.now(), self._in_use.announce_interval_s()
        )

    def _refresh_running(self) -> None:
        self._slots.apply_running(self._in_use.running(self._target))
