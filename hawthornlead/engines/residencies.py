"""The owner's view of what a target has in its slots.

It merges two sources: the owner's own orders, whose outcome is known at once, and
reports, which lag. A report changes a slot only if it describes a moment after the
last order that changed it.
"""

from enum import Enum

from ..messages import Resident
from .engine_clocks import EngineClock
from .grant_ledgers import AdapterVersion
from .targets import Report


class SlotState(Enum):
    """What is known of one slot."""

    LOADING = "loading"
    RESIDENT = "resident"
    EVICTING = "evicting"
    # An order's outcome is unknown until a later report.
    UNCERTAIN = "uncertain"


class Slot:
    """One used slot of a target.

    ``awaiting_grant`` counts requests whose load has ended and that have no grant yet.
    ``draining`` says that its grants are revoked to free the slot.
    """

    def __init__(self, key: AdapterVersion, state: SlotState, base_model: str = ""):
        self.key = key
        self.state = state
        self.base_model = base_model
        self.running = 0
        self.awaiting_grant = 0
        self.draining = False
        # An eviction was sent and its outcome is unknown.
        self.evict_pending = False
        # Engine time of the last order that changed it.
        self.changed_at = float("-inf")
        # Owner time after which an order without an answer has certainly ended.
        self.settled_after = float("inf")

    @property
    def grantable(self) -> bool:
        """Whether grants may be issued on it."""
        return self.state is SlotState.RESIDENT and not self.draining

    def resident(self) -> Resident:
        """Return the slot as owners announce it."""
        loading = self.state is not SlotState.RESIDENT
        return Resident(self.key.adapter, self.key.version, self.running, loading)


class Residency:
    """The slots of one target."""

    def __init__(self, clock: EngineClock, size: int):
        self._clock = clock
        self._size = size
        self._slots: dict[AdapterVersion, Slot] = {}
        # Engine time at which this owner evicted an adapter. Older reports still show
        # the adapter and must not add it again.
        self._evicted_at: dict[AdapterVersion, float] = {}

    @property
    def boot_id(self) -> str | None:
        """The boot id of the target's incarnation that the slots belong to."""
        return self._clock.boot_id

    @property
    def size(self) -> int:
        """How many slots the target has."""
        return self._size

    @property
    def free(self) -> int:
        """How many slots are free; an uncertain slot counts as used."""
        return self._size - len(self._slots)

    def slots(self) -> tuple[Slot, ...]:
        """Return the used slots."""
        return tuple(self._slots.values())

    def get(self, key: AdapterVersion) -> Slot | None:
        """Return the slot of an adapter version, or None."""
        return self._slots.get(key)

    def residents(self) -> tuple[Resident, ...]:
        """Return the used slots as owners announce them, in a fixed order."""
        return tuple(sorted(slot.resident() for slot in self._slots.values()))

    def start_load(self, key: AdapterVersion, base_model: str) -> Slot:
        """Use a free slot for a load that is about to be ordered."""
        slot = Slot(key, SlotState.LOADING, base_model)
        self._slots[key] = slot
        return slot

    def mark_loaded(self, slot: Slot, engine_now: float) -> None:
        """Record the target's answer that it has loaded."""
        slot.state = SlotState.RESIDENT
        slot.changed_at = engine_now
        self._evicted_at.pop(slot.key, None)

    def remove(self, slot: Slot, engine_now: float | None = None) -> None:
        """Free the slot after an eviction or a failed load.

        ``engine_now`` is the engine time of the eviction.
        """
        if self._slots.get(slot.key) is slot:
            del self._slots[slot.key]
        if engine_now is not None:
            self._evicted_at[slot.key] = engine_now

    def mark_uncertain(self, slot: Slot, settled_after: float) -> None:
        """Record an order with unknown outcome; it ends by ``settled_after``."""
        slot.state = SlotState.UNCERTAIN
        slot.settled_after = settled_after

    def on_restart(self) -> None:
        """Free the slots, which a restart of the target has emptied.

        GRA-8: an eviction without an answer may have been sent to the new incarnation
        before any probe saw it. If its slot were freed, the adapter could be loaded
        and granted again and then evicted under its requests. So the slot stays in
        use until the order has ended.
        """
        self._evicted_at.clear()
        for key, slot in list(self._slots.items()):
            if not slot.evict_pending:
                del self._slots[key]
                continue
            slot.running = 0
            slot.changed_at = float("-inf")

    def observe(self, report: Report) -> None:
        """Merge a report of the target's current incarnation."""
        self._size = report.slots
        reported = {}
        for resident in report.residents:
            reported[AdapterVersion(resident.adapter, resident.version)] = resident
        for slot in self.slots():
            self._observe_slot(slot, reported.get(slot.key), report.as_of)
        for key, resident in reported.items():
            if key in self._slots or report.as_of <= self._evicted_at.get(key, -1e300):
                continue
            slot = Slot(key, SlotState.RESIDENT)
            slot.running = resident.running
            self._slots[key] = slot
        for key, evicted_at in list(self._evicted_at.items()):
            if report.as_of > evicted_at:
                del self._evicted_at[key]

    def _observe_slot(
        self, slot: Slot, reported: Resident | None, as_of: float
    ) -> None:
        if slot.state is SlotState.UNCERTAIN:
            if not self._clock.proves_after(as_of, slot.settled_after):
                return
            slot.state = SlotState.RESIDENT
            slot.evict_pending = False
        if slot.state is not SlotState.RESIDENT or as_of <= slot.changed_at:
            return
        if reported is None:
            del self._slots[slot.key]
            return
        slot.running = reported.running
