"""Giving engines back as their VM leaves, so that another orders them at once.

A VM that leaves is heard by the others until its process ends, three seconds and more
after it released its engines. Taken for the owner until then, it would leave them
without orders. So whoever gives an engine back tells the others, and the next in its
order claims it.
"""

import asyncio

from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import TargetReleased
from ..timers import TimerService
from .engine_owners import EngineOwner
from .memberships import Memberships
from .ownerships import Ownerships
from .target_tables import TargetTable

# Between looks whether the store is back.
STORE_POLL_S = 0.2


class EngineReleases:
    """Gives back what this VM orders, and takes the other VMs' words of it.

    ::

        await releases.release_all(tuple(owners.values()))
    """

    def __init__(
        self,
        *,
        memberships: Memberships,
        ownerships: Ownerships,
        targets: TargetTable,
        mesh: FleetMesh,
        timers: TimerService,
    ):
        self._memberships = memberships
        self._ownerships = ownerships
        self._targets = targets
        self._mesh = mesh
        self._timers = timers
        mesh.on(TargetReleased, self._on_released)

    async def await_store(self, until: float) -> None:
        """Wait until the store can take a release, not longer than ``until``.

        While the store is away nobody can take an engine over, so that one given back
        then is without orders until the store returns. A VM that goes on takes no new
        callers, so it does only while most others take them.
        """
        while self._ownerships.owned and self._memberships.mostly_serving:
            if await self._ownerships.is_store_available():
                return
            if self._timers.now() + STORE_POLL_S > until:
                return
            await self._timers.sleep(STORE_POLL_S)

    async def release_all(self, owners: tuple[EngineOwner, ...]) -> None:
        """Order engines no more, and let others claim them."""
        await asyncio.gather(*[self._release(owner) for owner in owners])

    async def _release(self, owner: EngineOwner) -> None:
        # An order that is still on its way would meet the successor's first one.
        await owner.finish()
        released = await self._ownerships.release(owner.target)
        if released is None:
            # The store may or may not have taken it. The others find out by the lease.
            return
        word = TargetReleased(owner.target, released.fence)
        self._targets.on_released(self._memberships.vm, word.target, word.fence)
        self._mesh.broadcast(word)

    async def _on_released(self, sender, message: TargetReleased) -> None:
        self._targets.on_released(sender.vm, message.target, message.fence)
        self._ownerships.on_released(message.target)
