"""A loss detector over targets whose probes are answered from a list.

::

    watched = Watched(ProbeResult.REFUSED)
    stream = watched.follow(Repeat.NEVER)
    await watched.advance(1.0)
    assert not stream.lost.done()
"""

import asyncio
from unittest.mock import AsyncMock, Mock

from prometheus_client import CollectorRegistry

from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.loss_detectors import LossDetector
from hawthornlead.gateway.records import Loss, ServiceSpec, TargetEntry
from hawthornlead.gateway.target_healths import TargetHealths
from hawthornlead.gateway.target_liveness import LossSubscriber, Repeat
from hawthornlead.gateway.target_probes import ProbeResult
from hawthornlead.timers import ManualTimerService

ENTRY = TargetEntry("e1", "llm", "127.0.0.1:9", "gijon", 4, False, None, (), 1)
SPEC = ServiceSpec("llm", "/health", 9, None)


class Probes:
    """Answers probes from a list, each after ``took_s``; counts them in ``asked``."""

    def __init__(self, timers: ManualTimerService, *found: ProbeResult):
        self._timers = timers
        self._found = list(found)
        self.asked = 0
        self.took_s = 0.0

    async def probe(self, entry, spec):
        """Return the next result; the last one repeats."""
        self.asked += 1
        found = self._found.pop(0) if len(self._found) > 1 else self._found[0]
        if self.took_s:
            await self._timers.sleep(self.took_s)
        return found


class Watched:
    """A loss detector on time moved by hand.

    Targets, connections and events do nothing. All targets have entries while
    ``registered``.
    """

    def __init__(self, *found: ProbeResult):
        self.timers = ManualTimerService()
        self.probes = Probes(self.timers, *found)
        self.registered = True
        self.metrics = GatewayMetrics(CollectorRegistry())
        self.paths = Mock(check=AsyncMock(return_value=False))
        self.losses = LossDetector(
            targets=Mock(has_entry=lambda incarnation: self.registered),
            probes=self.probes,
            connections=Mock(),
            healths=TargetHealths(timers=self.timers),
            paths=self.paths,
            timers=self.timers,
            events=Mock(),
            metrics=self.metrics,
        )

    def follow(self, repeat: Repeat, entry: TargetEntry = ENTRY) -> LossSubscriber:
        """Follow a target with one request."""
        return self.losses.subscribe(entry, SPEC, repeat)

    async def advance(self, seconds: float) -> None:
        """Advance the time, after tasks that were just begun have started."""
        await asyncio.sleep(0)
        await self.timers.advance(seconds)

    def remove_entry(self) -> None:
        """Remove the entry of the target."""
        self.registered = False
        self.losses._on_lost(ENTRY.incarnation, Loss.ENTRY_GONE)

    def send_data(self, subscriber: LossSubscriber) -> None:
        """Have a request's target send data on its connection."""
        subscriber.watch_answer(Mock(), Mock()).handle_data(b"id: 1\n\n")
