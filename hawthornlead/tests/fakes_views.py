"""Views and assignments for tests of the strategies."""

from typing import NamedTuple

from hawthornlead.decisions.views import TargetView
from hawthornlead.messages import Resident, TargetState


class FakeAssignment(NamedTuple):
    """What the strategies read of an assignment."""

    adapter: str
    version: str = "1"
    base_model: str = "base"
    priority: int = 0


def make_view(target, *adapters, running=0, slots=4, leaving=False, **fields):
    """Return a view of a target that holds ``adapters`` (names or residents)."""
    residents = tuple(
        adapter if isinstance(adapter, Resident) else Resident(adapter, "1", 0)
        for adapter in adapters
    )
    state = TargetState(target, 1, 1, slots, running, 0, False, residents)
    values = {
        "target": target,
        "address": "127.0.0.1:1",
        "data_centre": "santander",
        "base_models": ("base",),
        "owner_vm": "vm1",
        "state": state,
        "last_seen_at": 0.0,
        "leaving": leaving,
    }
    return TargetView(**{**values, **fields})
