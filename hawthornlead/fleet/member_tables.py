"""The observed state of all members of the fleet, with numbered changes.

A head numbers the changes that it observes, so that it sends its subscribers only
these, and all members when a subscriber has missed some::

    table.apply(state)
    changes = table.changes_since(serial)
"""

from ..messages.fleets import MemberState
from ..timers import TimerService

# A member that no update has mentioned for this long is silent. Its head reports that
# sooner. This covers the loss of both heads, and allows for the time in which the VMs
# switch from one head to another.
MEMBER_STATE_TTL_S = 2.0


class MemberTable:
    """The newest state of each member, and when it was last reported."""

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._states: dict[str, MemberState] = {}
        self._last_reported_at: dict[str, float] = {}
        self._changed_serials: dict[str, int] = {}
        self._serial = 0

    @property
    def serial(self) -> int:
        """The number of the last change."""
        return self._serial

    @property
    def states(self) -> dict[str, MemberState]:
        """The newest state of each member."""
        return self._states

    def last_reported_at(self, vm: str) -> float:
        """Return when a member was last reported as live."""
        return self._last_reported_at.get(vm, 0.0)

    def is_silent(self, vm: str) -> bool:
        """Whether a member was reported silent."""
        state = self._states.get(vm)
        return state is not None and state.silent

    def live(self) -> tuple[MemberState, ...]:
        """Return the members that aren't silent."""
        return tuple([state for state in self._states.values() if not state.silent])

    def apply(self, state: MemberState) -> bool:
        """Apply a member's state; return whether it is a change.

        The silence of an earlier process of a VM says nothing about the process that
        has started since, which another head may have reported first.
        """
        known = self._states.get(state.vm)
        if state.silent:
            if known is None or known.incarnation != state.incarnation:
                return False
        else:
            self._last_reported_at[state.vm] = self._timers.now()
        if known == state:
            return False
        self._serial += 1
        self._states[state.vm] = state
        self._changed_serials[state.vm] = self._serial
        return True

    def expire(self) -> None:
        """Mark members as silent that have not been reported recently."""
        oldest = self._timers.now() - MEMBER_STATE_TTL_S
        for state in self.live():
            if self.last_reported_at(state.vm) < oldest:
                self.apply(state._replace(silent=True))

    def changes_since(self, serial: int) -> tuple[MemberState, ...]:
        """Return the states that changed after the change with this number."""
        if serial == self._serial:
            return ()
        return tuple(
            [
                self._states[vm]
                for vm, changed in self._changed_serials.items()
                if changed > serial
            ]
        )

    def replace_all(self, states: tuple[MemberState, ...]) -> None:
        """Apply the states of all members; those not among them are silent."""
        reported = {state.vm for state in states}
        for state in self.live():
            if state.vm not in reported:
                self.apply(state._replace(silent=True))
        for state in states:
            self.apply(state)

    def confirm_all(self) -> None:
        """Record that all live members were reported again, without a change."""
        now = self._timers.now()
        for state in self.live():
            self._last_reported_at[state.vm] = now
