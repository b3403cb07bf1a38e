"""The VMs registered in the store, in the order of their registration.

All VMs see the same order, since the store counts its revisions over all objects. A VM
that restarts registers anew and moves to the end. So roles that follow this order stay
where they are during a rolling restart of other VMs::

    registered_order.apply(record, revision=812)
    registered_order.oldest_first("gijon")[:2]
"""

from ..gateway.records import VmRecord

# Sorts VMs without a registration behind all others.
UNREGISTERED_REVISION = 2**63


class RegisteredOrder:
    """The registered VMs by name, and their order."""

    def __init__(self):
        self._records: dict[str, VmRecord] = {}
        self._revisions: dict[str, int] = {}
        self._oldest_first: dict[str, tuple[str, ...]] = {}

    @property
    def records(self) -> dict[str, VmRecord]:
        """The registration of each VM."""
        return self._records

    @property
    def data_centres(self) -> tuple[str, ...]:
        """The data centres of VMs that aren't leaving."""
        return tuple(self._by_data_centre())

    @property
    def count(self) -> int:
        """The number of VMs that aren't leaving."""
        return sum([len(vms) for vms in self._by_data_centre().values()])

    def apply(self, record: VmRecord, revision: int) -> None:
        """Add or update a VM's registration, at a revision of the store."""
        self._records[record.vm] = record
        self._revisions[record.vm] = revision
        self._oldest_first.clear()

    def remove(self, vm: str) -> None:
        """Remove a VM's registration."""
        self._records.pop(vm, None)
        self._revisions.pop(vm, None)
        self._oldest_first.clear()

    def registered_at(self, vm: str) -> int:
        """Return the revision of a VM's registration, a high one if there is none."""
        return self._revisions.get(vm, UNREGISTERED_REVISION)

    def oldest_first(self, data_centre: str) -> tuple[str, ...]:
        """Return the VMs of a data centre that aren't leaving, oldest first."""
        return self._by_data_centre().get(data_centre, ())

    def staying(self) -> tuple[str, ...]:
        """Return all VMs that aren't leaving, by data centre."""
        staying: list[str] = []
        for vms in self._by_data_centre().values():
            staying += vms
        return tuple(staying)

    def _by_data_centre(self) -> dict[str, tuple[str, ...]]:
        if self._oldest_first or not self._records:
            return self._oldest_first
        grouped: dict[str, list[str]] = {}
        for vm in sorted(self._records, key=lambda vm: (self.registered_at(vm), vm)):
            record = self._records[vm]
            if not record.leaving:
                grouped.setdefault(record.data_centre, []).append(vm)
        self._oldest_first = {centre: tuple(vms) for centre, vms in grouped.items()}
        return self._oldest_first
