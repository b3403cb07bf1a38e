"""Which VM claims which engine while a VM that just started knows few others.

If all VMs of a large fleet start at once, the first that is ready sees nobody else. It
would claim all engines, and one VM's processor would then decide every load of the
fleet. So for some moments a VM claims by the registrations in the store, which last
while VMs restart::

    starting = StartingOwners("gijon-4", started_at=timers.now(), max_owners=16)
    if starting.applies(now):
        starting.is_owner("i-7f3a", registered)
"""

from collections.abc import Iterable

from ..hashes import rendezvous

# VMs that lose their power together are back within some tenths of a second of each
# other. An engine whose VM isn't back by then is claimed by others.
STARTING_S = 1.2
# Chooses the owners among the registered VMs.
OWNERS_KEY = "starting owners"


class StartingOwners:
    """The owners of engines by the registered VMs; ``max_owners`` of them at most.

    Times are in seconds of the ``TimerService``.
    """

    def __init__(self, vm: str, *, started_at: float, max_owners: int):
        self._vm = vm
        self._until = started_at + STARTING_S
        self._max_owners = max_owners
        self._registered: frozenset[str] = frozenset()
        self._owners: tuple[str, ...] = ()

    def applies(self, now: float) -> bool:
        """Whether this VM started too recently to know which others are live."""
        return now < self._until

    def is_owner(self, target: str, registered: Iterable[str]) -> bool:
        """Whether this VM is the one of the registered VMs to claim an engine."""
        vms = frozenset(registered)
        if vms != self._registered:
            self._registered = vms
            self._owners = tuple(rendezvous(OWNERS_KEY, vms)[: self._max_owners])
        if self._vm not in self._owners:
            return False
        return rendezvous(target, self._owners)[0] == self._vm
