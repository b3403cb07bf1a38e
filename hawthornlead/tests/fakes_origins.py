"""VMs that record and find the origins of streams, over a played network, for tests.

::

    world = OriginWorld({"a": "gijon", "b": "bilbao"})
    world.origins("a").record("r1", StreamOrigin("llm", "v1"))
    await world.advance(0.1)
    await world.find("b", "r1")
"""

import asyncio
from collections.abc import Mapping

from prometheus_client import CollectorRegistry

from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.stream_origins import SEARCH_TIMEOUT_S, StreamOrigins
from hawthornlead.mesh.meshes import NO_HEARTBEAT
from hawthornlead.timers import ManualTimerService

from .fakes_mesh import LocalMesh, LocalNetwork

_NONE: frozenset[str] = frozenset()


class ConnectedVms:
    """Memberships by which all connected VMs are live."""

    def __init__(self, mesh: LocalMesh):
        self._mesh = mesh

    def live(self) -> tuple[str, ...]:
        """Return this VM and the connected ones."""
        return (self._mesh.vm, *[peer.vm for peer in self._mesh.live])


class OriginWorld:
    """Some VMs, by name, in data centres; the ``older`` ones store no origins."""

    def __init__(self, data_centres: Mapping[str, str], older: frozenset[str] = _NONE):
        self._older = older
        self._data_centres = dict(data_centres)
        self._origins: dict[str, StreamOrigins] = {}
        self._starts = 0
        self.timers = ManualTimerService()
        self.network = LocalNetwork(self.timers)
        for vm in data_centres:
            self.start(vm)

    @property
    def running(self) -> list[str]:
        """The VMs that run."""
        return list(self._origins)

    def origins(self, vm: str) -> StreamOrigins:
        """Return what a running VM knows."""
        return self._origins[vm]

    def start(self, vm: str) -> None:
        """Start a VM's process, which knows nothing."""
        self._starts += 1
        incarnation = f"{vm}-{self._starts}"
        mesh = self.network.join(vm, self._data_centres[vm], incarnation)
        stores = vm not in self._older
        mesh.heartbeat_source = lambda: NO_HEARTBEAT._replace(stores_origins=stores)
        self._origins[vm] = StreamOrigins(
            memberships=ConnectedVms(mesh),
            mesh=mesh,
            timers=self.timers,
            metrics=GatewayMetrics(CollectorRegistry()),
        )

    def kill(self, vm: str) -> None:
        """Kill a VM's process."""
        self._origins.pop(vm).stop()
        self.network.leave(vm)

    async def find(self, vm: str, request: str):
        """Return what a VM finds of a stream."""
        finding = asyncio.ensure_future(self.origins(vm).find(request))
        for _ in range(20):
            await self.advance(SEARCH_TIMEOUT_S / 10)
            if finding.done():
                break
        return finding.result()

    async def advance(self, seconds: float) -> None:
        """Let time pass, with what was begun before it under way."""
        await self.timers.advance(0.0)
        await self.timers.advance(seconds)

    def stop(self) -> None:
        """Stop all VMs."""
        for vm in self.running:
            self.kill(vm)
