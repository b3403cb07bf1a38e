"""Orders moments on an engine's clock after moments on its owner's clock, by probes.

A report describes the moment ``as_of`` on the engine's clock. To prove that it was
taken after a moment on the owner's clock, the owner probes the engine. A probe sent at
s and answered with the engine time e was answered after s. So whatever the engine did
at e or later, it did after s. Neither the difference of the two clocks nor their rates
matter, and a slow answer only delays the proof.
"""

from collections import deque
from typing import NamedTuple

MAX_PROBES = 64


class _Probe(NamedTuple):
    sent_at: float
    engine_now: float


class EngineClock:
    """Probes of the current incarnation of one engine."""

    def __init__(self):
        self._boot_id: str | None = None
        self._probes: deque[_Probe] = deque(maxlen=MAX_PROBES)

    @property
    def boot_id(self) -> str | None:
        """The engine's incarnation by the newest probe, None before the first."""
        return self._boot_id

    @property
    def probed_at(self) -> float | None:
        """When the newest probe was sent, on the owner's clock."""
        return self._probes[-1].sent_at if self._probes else None

    def record_probe(self, sent_at: float, engine_now: float, boot_id: str) -> bool:
        """Record an answered probe; return whether the engine has restarted.

        Probes must not overlap, so that a different ``boot_id`` is a later incarnation.
        """
        restarted = self._boot_id is not None and boot_id != self._boot_id
        if boot_id != self._boot_id:
            self._boot_id = boot_id
            self._probes.clear()
        self._probes.append(_Probe(sent_at, engine_now))
        return restarted

    def proves_after(self, as_of: float, moment: float) -> bool:
        """Whether engine time ``as_of`` is proved not to precede owner time ``moment``.

        The first probe sent at or after ``moment`` decides.
        """
        for probe in self._probes:
            if probe.sent_at >= moment:
                return as_of >= probe.engine_now
        return False
