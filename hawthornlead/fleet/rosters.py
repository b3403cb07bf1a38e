"""The VMs that registered themselves in the store, in the order in which they did.

All VMs see the same order, since the store counts its revisions over all objects, and a
VM that starts again registers anew and goes to its end. So what goes by this order
stays where it is while other VMs are restarted one after the other::

    roster.take(record, revision=812)
    roster.elders("gijon")[:2]
"""

from ..gateway.records import VmRecord

NOT_YET = 2**63


class Roster:
    """The registered VMs by name."""

    def __init__(self):
        self._records: dict[str, VmRecord] = {}
        self._revisions: dict[str, int] = {}
        self._elders: dict[str, tuple[str, ...]] = {}

    @property
    def records(self) -> dict[str, VmRecord]:
        """How each VM registered itself."""
        return self._records

    @property
    def data_centres(self) -> tuple[str, ...]:
        """The data centres of VMs that stay."""
        return tuple(self._by_data_centre())

    @property
    def count(self) -> int:
        """How many VMs stay."""
        return sum([len(elders) for elders in self._by_data_centre().values()])

    def take(self, record: VmRecord, revision: int) -> None:
        """Note how a VM registered itself, at a revision of the store."""
        self._records[record.vm] = record
        self._revisions[record.vm] = revision
        self._elders.clear()

    def drop(self, vm: str) -> None:
        """Note that a VM's registration is gone."""
        self._records.pop(vm, None)
        self._revisions.pop(vm, None)
        self._elders.clear()

    def registered_at(self, vm: str) -> int:
        """Return the revision of a VM's registration, a high one if there is none."""
        return self._revisions.get(vm, NOT_YET)

    def elders(self, data_centre: str) -> tuple[str, ...]:
        """Return the VMs of a data centre that stay, the longest registered first."""
        return self._by_data_centre().get(data_centre, ())

    def staying(self) -> tuple[str, ...]:
        """Return all VMs that stay, by data centre."""
        staying: list[str] = []
        for elders in self._by_data_centre().values():
            staying += elders
        return tuple(staying)

    def _by_data_centre(self) -> dict[str, tuple[str, ...]]:
        if self._elders or not self._records:
            return self._elders
        places: dict[str, list[str]] = {}
        for vm in sorted(self._records, key=lambda vm: (self.registered_at(vm), vm)):
            record = self._records[vm]
            if not record.leaving:
                places.setdefault(record.data_centre, []).append(vm)
        self._elders = {place: tuple(vms) for place, vms in places.items()}
        return self._elders
