"""The objects that nearly every component needs: settings, timers, events, metrics.

A component that needs most of them takes them as one ``CoreParts``. A component that
other programs embed, such as those of the library, takes them separately::

    core = build_core(settings, Random(seed))
    claims = Claims(core=core, store=store, mesh=mesh, members=members)
"""

from random import Random
from typing import NamedTuple

from .clocks import HybridClock
from .events import EventRing
from .invariants import Invariants
from .metrics import Metrics
from .settings import Settings
from .timers import TimerService


class CoreParts(NamedTuple):
    """The objects that nearly all components share, one of each per process."""

    settings: Settings
    timers: TimerService
    events: EventRing
    metrics: Metrics
    invariants: Invariants
    clock: HybridClock
    rng: Random


def build_core(
    settings: Settings, rng: Random, timers: TimerService | None = None
) -> CoreParts:
    """Build the core parts from settings, with a new timer service if none is given."""
    timers = timers or TimerService()
    metrics = Metrics()
    clock = HybridClock(timers)
    events = EventRing(settings["VM_NAME"], clock, int(settings["EVENT_RING"]))
    invariants = Invariants(events, metrics)
    return CoreParts(settings, timers, events, metrics, invariants, clock, rng)
