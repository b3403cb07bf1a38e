"""Which VMs watch the store for all others.

The two that registered first do, and stay the same while others come and go. While the
store turns these away, the next ones step in, one after the other; else all VMs would
watch for themselves until it serves them again. In a large fleet only heads do, so that
the next one may be of another data centre.
"""

from ..fleet.fleet_meshes import FleetMesh
from ..timers import TimerService
from .memberships import Memberships

# Two, so that one may freeze, leave or lose the store without a gap.
RELAYS = 2
MOST_RELAYS = 6
STEP_IN_S = 0.5
# After this the word of a relay is too old: with the way to a direct watch it stays
# well within the 2 s in which a configuration or a leaving target must be heeded.
WORD_KEPT_S = 1.1
NEVER = float("-inf")


class RelayRole:
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
        if not self._mesh.is_head or self._memberships.vm not in order:
            # A VM that is no head may not have heard yet of those before it.
            return False
        rank = order.index(self._memberships.vm)
        if rank < RELAYS:
            return True
        now = self._timers.now()
        vouching = 0
        for vm in order[:rank]:
            vouching += now - self._vouched_at.get(vm, NEVER) < WORD_KEPT_S
        if vouching >= RELAYS:
            self._lacking_since = None
            return False
        if self._lacking_since is None:
            self._lacking_since = now
        return now - self._lacking_since >= (rank - RELAYS + 1) * STEP_IN_S
