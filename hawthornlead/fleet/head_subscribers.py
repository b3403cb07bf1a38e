"""The VMs that have subscribed to this VM as their head, and the other heads.

::

    subscribers.apply_update("gijon-7", subscribed=True, owned=("i-7f3a",), serial=41)
    subscribers.subscribed
"""

from ..timers import TimerService

# A VM updates its heads every 0.4 s. One that has been silent for this long has
# switched to other heads, or is gone.
UPDATE_TTL_S = 2.0
# The serial of a VM that has received no changes of members yet.
NO_SERIAL = -1


class HeadSubscriber:
    """One VM that has chosen this one as a head.

    ``subscribed`` tells whether it receives fleet updates from this VM, ``owned``
    names the targets that it orders, ``serial`` is that of the last change of members
    that was sent to it.
    """

    def __init__(self, subscribed: bool, owned: frozenset[str], reported_at: float):
        self.subscribed = subscribed
        self.owned = owned
        self.reported_at = reported_at
        self.serial = NO_SERIAL
        # The VMs whose requests on the owned targets were forwarded to it.
        self.forwarded_vms: frozenset[str] = frozenset()


class HeadSubscribers:
    """All VMs that have chosen this one as a head."""

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._subscribers: dict[str, HeadSubscriber] = {}
        self._heads: dict[str, float] = {}

    @property
    def heads(self) -> list[str]:
        """The VMs that have recently sent updates as heads.

        A VM that receives nothing from the heads before it acts as a head, even if this
        VM doesn't count it as one; updates are exchanged with it all the same.
        """
        oldest = self._timers.now() - UPDATE_TTL_S
        return [vm for vm, at in self._heads.items() if at >= oldest]

    @property
    def all(self) -> dict[str, HeadSubscriber]:
        """The subscribers by VM, without those that fell silent."""
        oldest = self._timers.now() - UPDATE_TTL_S
        for vm, subscriber in tuple(self._subscribers.items()):
            if subscriber.reported_at < oldest:
                del self._subscribers[vm]
        return self._subscribers

    @property
    def subscribed(self) -> list[str]:
        """The VMs that receive fleet updates from this one."""
        return [vm for vm, subscriber in self.all.items() if subscriber.subscribed]

    def apply_update(
        self, vm: str, subscribed: bool, owned: tuple[str, ...], serial: int
    ) -> bool:
        """Apply a VM's update; return whether it needs the full state.

        ``serial`` is that of the last change of members that the VM knows. A VM that
        knows none may have restarted since its last update.
        """
        subscriber = self.all.get(vm)
        starts = subscriber is None or not subscriber.subscribed or serial == NO_SERIAL
        if subscriber is None:
            subscriber = HeadSubscriber(subscribed, frozenset(owned), 0.0)
            self._subscribers[vm] = subscriber
        subscriber.subscribed = subscribed
        subscriber.owned = frozenset(owned)
        subscriber.reported_at = self._timers.now()
        if starts:
            subscriber.serial = NO_SERIAL
            subscriber.forwarded_vms = frozenset()
        return subscribed and starts

    def mark_head(self, vm: str) -> None:
        """Record that a VM acts as a head, and no longer subscribes to this one."""
        self._heads[vm] = self._timers.now()
        self._subscribers.pop(vm, None)
