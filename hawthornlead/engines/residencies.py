"""What a target has in its slots, as its owner believes.

Two sources are merged: the owner's own orders, whose outcome is known at once, and
reports, which lag. A report changes a slot only when it describes a moment after the
last order that touched it.
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
    # An order's outcome was lost: a later report must tell.
    UNCERTAIN = "uncertain"


class Slot:
    """One used slot of a target.

    ``awaiting_grant`` counts requests whose load just ended and that have no grant yet,
    ``draining`` says that its grants are asked back to make room.
    """

    def __init__(self, key: AdapterVersion, state: SlotState, base_model: str = ""):
        self.key = key
        self.state = state
        self.base_model = base_model
        self.running = 0
        self.awaiting_grant = 0
        self.draining = False
        # An eviction was sent, and its outcome is not known.
        self.evict_pending = False
        # Engine time of the last order that touched it.
        self.changed_at = float("-inf")
        # Owner time after which a lost order has surely ended.
        self.settled_after = float("inf")

    @property
    def grantable(self) -> bool:
        """Whether requests may be let onto it."""
        return self.state is SlotState.RESIDENT and not self.draining

    def resident(self) -> Resident:
        """The slot as owners tell it."""
        loading = self.state is not SlotState.RESIDENT
        return Resident(self.key.adapter, self.key.version, self.running, loading)


class Residency:
    """The slots of one target."""

    def __init__(self, clock: EngineClock, size: int):
        self._clock = clock
        self._size = size
        self._slots: dict[AdapterVersion, Slot] = {}
        # Engine time at which this owner evicted an adapter: older reports that
        # still show it must not bring it back.
        self._evicted_at: dict[AdapterVersion, float] = {}

    @property
    def boot_id(self) -> str | None:
        """The target's start that the slots belong to."""
        return self._clock.boot_id

    @property
    def size(self) -> int:
        """How many slots the target has."""
        return self._size

    @property
    def free(self) -> int:
        """How many slots hold nothing; what is uncertain takes its slot."""
        return self._size - len(self._slots)

    def slots(self) -> tuple[Slot, ...]:
        """Return the used slots."""
        return tuple(self._slots.values())

    def get(self, key: AdapterVersion) -> Slot | None:
        """Return the slot of an adapter version, or None."""
        return self._slots.get(key)

    def residents(self) -> tuple[Resident, ...]:
        """Return the slots as owners tell them, in a fixed order."""
        return tuple(sorted(slot.resident() for slot in self._slots.values()))

    def start_load(self, key: AdapterVersion, base_model: str) -> Slot:
        """Take a free slot for a load that is about to be ordered."""
        slot = Slot(key, SlotState.LOADING, base_model)
        self._slots[key] = slot
        return slot

    def mark_loaded(self, slot: Slot, engine_now: float) -> None:
        """The target said that it has loaded."""
        slot.state = SlotState.RESIDENT
        slot.changed_at = engine_now
        self._evicted_at.pop(slot.key, None)

    def remove(self, slot: Slot, engine_now: float | None = None) -> None:
        """The slot is free: evicted, or its load failed."""
        if self._slots.get(slot.key) is slot:
            del self._slots[slot.key]
        if engine_now is not None:
            self._evicted_at[slot.key] = engine_now

    def mark_uncertain(self, slot: Slot, settled_after: float) -> None:
        """The outcome of an order is unknown; it ends by ``settled_after``."""
        slot.state = SlotState.UNCERTAIN
        slot.settled_after = settled_after

    def on_restart(self) -> None:
        """The target restarted: its slots are empty.

        GRA-8: an eviction that has no answer may have been sent to the new start,
        before any probe told of it. Were its slot forgotten, the adapter could be
        loaded and granted again and then evicted under its requests; so the slot
        stays taken until the order is over.
        """
        self._evicted_at.clear()
        for key, slot in list(self._slots.items()):
            if not slot.evict_pending:
                del self._slots[key]
                continue
            slot.running = 0
            slot.changed_at = float("-inf")

    def observe(self, report: Report) -> None:
        """Merge a report of the target's present start."""
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
