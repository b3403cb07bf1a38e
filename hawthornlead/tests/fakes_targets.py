"""Small fakes of the parts around targets: VM list, owners, mesh."""

from random import Random
from typing import NamedTuple

from hawthornlead.core_parts import CoreParts, build_core
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService


def make_parts(**settings) -> CoreParts:
    """Build the core parts on a manual clock."""
    named = default_settings(**{"VM_NAME": "vm-1", **settings})
    return build_core(named, Random(1), ManualTimerService())


class FakeEntry(NamedTuple):
    """An entry of the VM list."""

    name: str
    role: str
    address: str
    data_centre: str
    state: str
    attributes: dict


def engine_entry(name, state="live", **attributes) -> FakeEntry:
    """An engine of the VM list, with usual attributes."""
    usual = {
        "base_models": ["base"],
        "slots": 2,
        "fencing": True,
        "weight_store": "weights",
        "max_running": 8,
    }
    usual.update(attributes)
    return FakeEntry(name, "engine", f"127.0.0.1:{len(name)}", "dc-1", state, usual)


class FakeVmList:
    """A VM list that a test fills."""

    def __init__(self, *entries):
        self.entries = list(entries)
        self.subscribers = []

    def engines(self):
        """All engines."""
        return [entry for entry in self.entries if entry.role == "engine"]

    def subscribe(self, callback):
        """Call back when the list changes."""
        self.subscribers.append(callback)

    def changed(self):
        """Notify the subscribers."""
        for callback in self.subscribers:
            callback()


class FakeOwnerRecord(NamedTuple):
    """Who owns a resource."""

    vm: str
    incarnation: str
    fence: int
