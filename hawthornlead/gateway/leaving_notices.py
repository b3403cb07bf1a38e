"""How VMs tell one another of targets that say in an answer that they leave.

Their entries say so too, but later, and not at all while the store is away.
"""

from ..fleet.fleet_meshes import FleetMesh
from ..messages.gateways import TargetLeaves
from .records import Incarnation
from .target_tables import TargetTable


class LeavingNotices:
    """Takes the word of a target, or of another VM, that a target leaves.

    ::

        words.note(entry.incarnation)
    """

    def __init__(self, *, targets: TargetTable, mesh: FleetMesh):
        self._targets = targets
        self._mesh = mesh
        mesh.on(TargetLeaves, self._take)

    def note(self, incarnation: Incarnation) -> None:
        """Take the word of a target itself, and tell the other VMs."""
        if self._targets.mark_leaving(incarnation):
            self._mesh.broadcast(TargetLeaves(*incarnation))

    async def _take(self, sender, message: TargetLeaves) -> None:
        self._targets.mark_leaving(Incarnation(message.target, message.started_ms))
