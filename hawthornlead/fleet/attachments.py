"""The VMs that have chosen this one for a head, and other heads, by their own words.

::

    attachments.note("gijon-7", fed=True, owned=("i-7f3a",), serial=41)
    attachments.fed
"""

from ..timers import TimerService

# A VM tells its heads each 0.4 s. One that told nothing for so long has turned to other
# heads, or is gone.
KEPT_S = 2.0
# A head that is new to a VM has told it nothing yet.
NOTHING_TOLD = -1


class Attachment:
    """One VM that has chosen this one.

    ``fed`` tells that it hears of the fleet from this VM, ``owned`` names the targets
    that it orders, ``serial`` is that of the last change of members that it was told.
    """

    def __init__(self, fed: bool, owned: frozenset[str], told_at: float):
        self.fed = fed
        self.owned = owned
        self.told_at = told_at
        self.serial = NOTHING_TOLD
        # The VMs whose requests on the owned targets it knows of.
        self.told_of: frozenset[str] = frozenset()


class Attachments:
    """All VMs that have chosen this one."""

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._attached: dict[str, Attachment] = {}
        self._heads: dict[str, float] = {}

    @property
    def heads(self) -> list[str]:
        """The VMs that have lately spoken as heads.

        One that can't hear those before it takes itself for a head, though this VM
        doesn't; what it has to tell and to hear is passed on all the same.
        """
        oldest = self._timers.now() - KEPT_S
        return [vm for vm, at in self._heads.items() if at >= oldest]

    @property
    def all(self) -> dict[str, Attachment]:
        """The attachments by VM, without those that fell silent."""
        oldest = self._timers.now() - KEPT_S
        for vm, attachment in tuple(self._attached.items()):
            if attachment.told_at < oldest:
                del self._attached[vm]
        return self._attached

    @property
    def fed(self) -> list[str]:
        """The VMs that hear of the fleet from this one."""
        return [vm for vm, attachment in self.all.items() if attachment.fed]

    def note(self, vm: str, fed: bool, owned: tuple[str, ...], serial: int) -> bool:
        """Note a VM's word; whether it has to be told all anew.

        ``serial`` is that of the last change of members that the VM knows of. One
        that knows of none may have started again since its last word.
        """
        attachment = self.all.get(vm)
        begins = attachment is None or not attachment.fed or serial == NOTHING_TOLD
        if attachment is None:
            attachment = Attachment(fed, frozenset(owned), 0.0)
            self._attached[vm] = attachment
        attachment.fed = fed
        attachment.owned = frozenset(owned)
        attachment.told_at = self._timers.now()
        if begins:
            attachment.serial = NOTHING_TOLD
            attachment.told_of = frozenset()
        return fed and begins

    def note_head(self, vm: str) -> None:
        """Note that a VM has spoken as a head, and isn't fed here any more."""
        self._heads[vm] = self._timers.now()
        self._attached.pop(vm, None)
