"""Notices of targets that say in an answer that they leave, shared between VMs.

Their entries show this too, but later, and not at all during a store outage.
"""

from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import TargetLeaves
from .records import Incarnation
from .target_tables import TargetTable


class LeavingNotices:
    """Applies the notice of a target, or of another VM, that the target leaves.

    ::

        notices.handle(entry.incarnation)
    """

    def __init__(self, *, targets: TargetTable, mesh: FleetMesh):
        self._targets = targets
        self._mesh = mesh
        mesh.on(TargetLeaves, self._on_target_leaves)

    def handle(self, incarnation: Incarnation) -> None:
        """Apply the notice of a target itself, and announce it to the other VMs."""
        if self._targets.mark_leaving(incarnation):
            self._mesh.broadcast(TargetLeaves(*incarnation))

    async def _on_target_leaves(self, sender, message: TargetLeaves) -> None:
        self._targets.mark_leaving(Incarnation(message.target, message.started_ms))
