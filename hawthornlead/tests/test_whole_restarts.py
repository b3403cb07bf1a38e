"""Tests of a large fleet whose VMs all start again at once, over real sockets."""

import asyncio
from collections import Counter

from hawthornlead.gateway.owner_objects import OWNERS_KIND

from .gateways import MODEL, Deployment
from .standins.platform_engine import PlatformEngine

VMS, ENGINES = 26, 8
SETTLED_S = 3.0


class RestartedFleet(Deployment):
    """A large fleet with some engines."""

    def __init__(self):
        super().__init__(vms=VMS)
        self.engines = [
            PlatformEngine(f"e{number}", "llm", MODEL) for number in range(ENGINES)
        ]

    async def settle(self) -> None:
        """Wait until all engines are owned and nothing more is asked of the store."""
        await self.until(lambda: all(self.ready(each) for each in self.gateways))
        await asyncio.sleep(SETTLED_S)

    async def restart_all(self) -> None:
        """End all VMs at once, as a loss of power does, and start them again."""
        ended, self.gateways, self.settings = self.gateways, [], []
        for gateway in ended:
            gateway.stop()
            await gateway._mesh.stop()
            await gateway._server.close_all_connections()
        for number in range(VMS):
            await self.add_vm(f"vm-{number + 1}")


async def test_few_vms_ask_for_each_engine_when_all_have_started_again():
    """A store is flooded when all VMs come back, and engines have no orders meanwhile.

    Each VM heard nobody yet, took itself for the next owner of every engine, and looked
    at each engine's owner object and at that owner's lease.
    """
    async with RestartedFleet() as fleet:
        await fleet.settle()
        before = len(fleet.store.calls)
        await fleet.restart_all()
        await fleet.settle()
        calls = Counter(kind for _, kind in fleet.store.calls[before:])
        assert calls[OWNERS_KIND] <= ENGINES * VMS // 4
