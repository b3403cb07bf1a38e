"""Release of engines by a VM that shuts down or can't reach them.

Another VM claims them at once.

The other VMs still see a leaving VM until its process ends, three seconds or more after
it released its engines. If they took it for the owner until then, the engines would get
no orders. So a VM that releases an engine notifies the others, and the next VM in the
engine's order claims it.
"""

import asyncio

from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import TargetReleased
from ..timers import TimerService
from .engine_owners import EngineOwner
from .memberships import Memberships
from .ownerships import Ownerships
from .target_paths import TargetPaths
from .target_tables import TargetTable

# How long a VM reaches no target of a service before it releases the service's engines.
# Shorter faults of its paths cost less than the change of owners.
RELEASE_AFTER_S = 0.5
# Between checks whether the store is available again.
STORE_POLL_S = 0.2


class EngineReleases:
    """Releases this VM's engines, and receives the release notices of other VMs.

    ::

        await releases.release_all(tuple(owners.values()))
    """

    def __init__(
        self,
        *,
        memberships: Memberships,
        ownerships: Ownerships,
        targets: TargetTable,
        paths: TargetPaths,
        mesh: FleetMesh,
        timers: TimerService,
    ):
        self._memberships = memberships
        self._ownerships = ownerships
        self._targets = targets
        self._paths = paths
        self._mesh = mesh
        self._timers = timers
        mesh.on(TargetReleased, self._on_released)

    async def await_store(self, until: float) -> None:
        """Wait until the store can take a release, at most until ``until``.

        While the store is unavailable no VM can take over an engine, so an engine
        released then gets no orders until the store returns. A VM that keeps waiting
        takes no new callers, so it waits only while most other VMs take them.
        """
        while self._ownerships.owned and self._memberships.mostly_serving:
            if await self._ownerships.is_store_available():
                return
            if self._timers.now() + STORE_POLL_S > until:
                return
            await self._timers.sleep(STORE_POLL_S)

    def unreached(self, owned: tuple[str, ...]) -> list[str]:
        """Return the owned targets that this VM can't reach, if another VM may.

        They would get no orders until the path is restored, because the lease is
        renewed at the store, which this VM still reaches.
        """
        unreaching = self._memberships.unreaching()
        if set(self._memberships.live()) <= {*unreaching, self._memberships.vm}:
            return []
        unreached = []
        for target in owned:
            entry = self._targets.entries.get(target)
            if entry is None:
                continue
            if self._paths.unreachable_for_s(entry.service) >= RELEASE_AFTER_S:
                unreached.append(target)
        return unreached

    async def release_all(self, owners: tuple[EngineOwner, ...]) -> None:
        """Stop ordering engines, and release them for others to claim."""
        await asyncio.gather(*[self.release(owner) for owner in owners])

    async def release(self, owner: EngineOwner) -> None:
        """Stop ordering one engine, and release it."""
        # An order still in flight could collide with the successor's first one.
        await owner.finish()
        released = await self._ownerships.release(owner.target)
        if released is None:
            # The store may or may not have taken it. The others find out by the lease.
            return
        notice = TargetReleased(owner.target, released.fence)
        self._targets.on_released(self._memberships.vm, notice.target, notice.fence)
        self._mesh.broadcast(notice)

    async def _on_released(self, sender, message: TargetReleased) -> None:
        self._targets.on_released(sender.vm, message.target, message.fence)
        self._ownerships.on_released(message.target)
