"""Which VMs watch the store for all others.

The two VMs with the oldest registrations relay, and stay the same while others come and
go. While the store turns these away, the next ones take over, as many as are lacking.
Otherwise all VMs would watch for themselves until the store serves the relays again,
and VMs that it turns away too would receive no changes. In a large fleet heads come
first.
"""

from ..fleet.fleet_meshes import FleetMesh
from ..timers import TimerService
from .memberships import Memberships

# Two, so that one may freeze, leave or lose the store without a gap.
RELAYS = 2
# The store may turn many VMs away at once, relays and their successors among them.
MAX_CANDIDATES = 12
STEP_IN_S = 0.25
# After this much silence a relay's heartbeat has expired. Including the switch to a
# direct watch, this stays well within the 2 s in which a VM must apply a configuration
# or stop using a leaving target.
RELAY_HEARTBEAT_TTL_S = 1.1
NEVER = float("-inf")


class RelayElection:
    """Whether one VM should be a relay, given which other relays are up to date.

    ::

        election.record_heartbeat("gijon-1", up_to_date=False)
        election.should_relay()
    """

    def __init__(
        self, *, memberships: Memberships, mesh: FleetMesh, timers: TimerService
    ):
        self._memberships = memberships
        self._mesh = mesh
        self._timers = timers
        self._up_to_date_at: dict[str, float] = {}
        self._lacking_since: float | None = None

    def record_heartbeat(self, vm: str, up_to_date: bool) -> None:
        """Record a relay's heartbeat, which may confirm no kind as up to date."""
        self._up_to_date_at[vm] = self._timers.now() if up_to_date else NEVER

    def should_relay(self) -> bool:
        """Whether this VM should watch for the others."""
        order = self._memberships.relay_order(MAX_CANDIDATES)
        if self._memberships.vm not in order:
            return False
        rank = order.index(self._memberships.vm)
        if rank < RELAYS:
            # A VM that is no head may not have seen the VMs before it yet.
            return self._mesh.is_head
        now = self._timers.now()
        active = 0
        for vm in order[:rank]:
            active += now - self._up_to_date_at.get(vm, NEVER) < RELAY_HEARTBEAT_TTL_S
        if active >= RELAYS:
            self._lacking_since = None
            return False
        if self._lacking_since is None:
            self._lacking_since = now
        steps = 1 + (rank - RELAYS) // (RELAYS - active)
        return now - self._lacking_since >= steps * STEP_IN_S
