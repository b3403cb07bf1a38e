"""Which VMs watch the store for all others.

The two that registered first do, and stay the same while others come and go. While the
store turns these away, the next ones step in, as many at a time as are lacking. Else
all VMs would watch for themselves until it serves them again, and those that it turns
away too would hear of nothing. In a large fleet heads do first.
"""

from ..fleet.fleet_meshes import FleetMesh
from ..timers import TimerService
from .memberships import Memberships

# Two, so that one may freeze, leave or lose the store without a gap.
RELAYS = 2
# The store may turn many VMs away at once, relays and the next ones among them.
MOST_RELAYS = 12
STEP_IN_S = 0.25
# After this the word of a relay is too old: with the way to a direct watch it stays
# well within the 2 s in which a configuration or a leaving target must be heeded.
RELAY_HEARTBEAT_TTL_S = 1.1
NEVER = float("-inf")


class RelayElection:
    """Whether one VM should be a relay, by who else vouches.

    ::

        role.note_word("gijon-1", vouches=False)
        role.should_relay()
    """

    def __init__(
        self, *, memberships: Memberships, mesh: FleetMesh, timers: TimerService
    ):
        self._memberships = memberships
        self._mesh = mesh
        self._timers = timers
        self._vouched_at: dict[str, float] = {}
        self._lacking_since: float | None = None

    def note_word(self, vm: str, vouches: bool) -> None:
        """Note a relay's word, which may vouch for nothing."""
        self._vouched_at[vm] = self._timers.now() if vouches else NEVER

    def should_relay(self) -> bool:
        """Whether this VM should watch for the others."""
        order = self._memberships.relay_order(MOST_RELAYS)
        if self._memberships.vm not in order:
            return False
        rank = order.index(self._memberships.vm)
        if rank < RELAYS:
            # A VM that is no head may not have heard yet of those before it.
            return self._mesh.is_head
        now = self._timers.now()
        vouching = 0
        for vm in order[:rank]:
            vouching += now - self._vouched_at.get(vm, NEVER) < RELAY_HEARTBEAT_TTL_S
        if vouching >= RELAYS:
            self._lacking_since = None
            return False
        if self._lacking_since is None:
            self._lacking_since = now
        steps = 1 + (rank - RELAYS) // (RELAYS - vouching)
        return now - self._lacking_since >= steps * STEP_IN_S
