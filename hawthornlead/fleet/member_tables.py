"""What one VM was told of the members of the fleet, and what of it is new to others.

A head numbers the changes that it hears of, so that the VMs that it feeds are told only
these, and all members anew when they missed some::

    table.note(state)
    changes = table.since(serial)
"""

from ..messages.fleets import MemberState
from ..timers import TimerService

# A member that nobody spoke of for so long is silent. Its head says so sooner; this
# holds where both are gone, and bears that its VMs turn from one head to another.
UNTOLD_S = 2.0


class MemberTable:
    """The newest state of each member, and when it was last spoken of."""

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._states: dict[str, MemberState] = {}
        self._told_at: dict[str, float] = {}
        self._changed: dict[str, int] = {}
        self._serial = 0

    @property
    def serial(self) -> int:
        """The number of the last change."""
        return self._serial

    @property
    def states(self) -> dict[str, MemberState]:
        """The newest state of each member."""
        return self._states

    def told_at(self, vm: str) -> float:
        """Return when a member was last spoken of as one that lives."""
        return self._told_at.get(vm, 0.0)

    def silent(self, vm: str) -> bool:
        """Whether a member was told to be silent."""
        state = self._states.get(vm)
        return state is not None and state.silent

    def living(self) -> tuple[MemberState, ...]:
        """Return the members that aren't silent."""
        return tuple([state for state in self._states.values() if not state.silent])

    def note(self, state: MemberState) -> bool:
        """Take a member's state; whether it changes what is known.

        That an earlier process of a VM is silent says nothing of the one that has
        started since, which another head may have told of first.
        """
        known = self._states.get(state.vm)
        if state.silent:
            if known is None or known.incarnation != state.incarnation:
                return False
        else:
            self._told_at[state.vm] = self._timers.now()
        if known == state:
            return False
        self._serial += 1
        self._states[state.vm] = state
        self._changed[state.vm] = self._serial
        return True

    def expire(self) -> None:
        """Take members for silent that nobody has spoken of lately."""
        oldest = self._timers.now() - UNTOLD_S
        for state in self.living():
            if self.told_at(state.vm) < oldest:
                self.note(state._replace(silent=True))

    def since(self, serial: int) -> tuple[MemberState, ...]:
        """Return the states that changed after a change."""
        if serial == self._serial:
            return ()
        return tuple(
            [
                self._states[vm]
                for vm, changed in self._changed.items()
                if changed > serial
            ]
        )

    def replace(self, states: tuple[MemberState, ...]) -> None:
        """Take these for all members there are."""
        told = {state.vm for state in states}
        for state in self.living():
            if state.vm not in told:
                self.note(state._replace(silent=True))
        for state in states:
            self.note(state)

    def confirm(self) -> None:
        """Note that all members were spoken of again, without a change."""
        now = self._timers.now()
        for state in self.living():
            self._told_at[state.vm] = now
