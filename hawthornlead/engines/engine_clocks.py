"""What an engine's clock says about moments on the owner's clock.

A report describes the moment ``as_of`` on the engine's clock. To prove that it was
taken after a moment of the owner's, the owner probes the engine: a probe sent at s
and answered with the engine's time e was answered after s, so whatever the engine
did at e or later, it did after s. Neither the difference of the two clocks nor their
rates matter, and a slow answer only makes the proof later.
"""

from collections import deque
from typing import NamedTuple

MAX_PROBES = 64


class _Probe(NamedTuple):
    sent_at: float
    engine_now: float


class EngineClock:
    """Probes of one engine, since it started."""

    def __init__(self):
        self._boot_id: str | None = None
        self._probes: deque[_Probe] = deque(maxlen=MAX_PROBES)

    @property
    def boot_id(self) -> str | None:
        """The engine's start that was last heard of by a probe."""
        return self._boot_id

    @property
    def probed_at(self) -> float | None:
        """When the newest probe was sent, on the owner's clock."""
        return self._probes[-1].sent_at if self._probes else None

    def record_probe(self, sent_at: float, engine_now: float, boot_id: str) -> bool:
        """Note an answered probe; return whether the engine has restarted.

        Probes must not overlap: then a different ``boot_id`` is a later start.
        """
        restarted = self._boot_id is not None and boot_id != self._boot_id
        if boot_id != self._boot_id:
            self._boot_id = boot_id
            self._probes.clear()
        self._probes.append(_Probe(sent_at, engine_now))
        return restarted

    def proves_after(self, as_of: float, moment: float) -> bool:
        """Whether engine time ``as_of`` is surely not before the owner's ``moment``."""
        for probe in self._probes:
            if probe.sent_at >= moment:
                return as_of >= probe.engine_now
        return False
