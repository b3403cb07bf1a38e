"""What a VM may send to a brittle target, which falls over if it must refuse too much.

A brittle target bears a number of refusals a second, of all VMs together. What can be
bounded is what is sent beyond its room, and its room may have shrunk. So the room is
learned from refusals: each one shows how many requests were too many. All VMs are told
of it, hold off for a random time, and then keep to their part of the room that is left,
which grows again slowly::

    guard = RefusalGuard(slots=6, now=timers.now(), rng=rng)
    if not guard.wait_s(own=1, running=4, vms=9, now=timers.now()):
        ...
    guard.record_refusal(running=7, vms=9, allowed_per_s=5.0, now=timers.now())
"""

from random import Random

# The room may grow to this share of the slots: a target queues a few requests.
MAX_ROOM_SHARE = 1.5
# Below this share of the slots a refusal has other reasons than the number of requests.
MIN_ROOM_SHARE = 0.5
# The part of the number at which a target refused that counts as its room.
KEPT_SHARE = 0.9
# The share of the slots by which the room grows in a second without refusals.
GROWTH_PER_S = 0.1
# One VM may use this many times its even part of the room, if others leave some.
UNEVEN_FACTOR = 1.5
# After a refusal a VM holds off for a random time around half of this one, so that
# those that come back first learn for the others whether there is room. It is as long
# as all VMs need for the allowed refusals if each causes one, within bounds: many VMs
# would leave the target idle.
MIN_HOLD_S = 0.3
MAX_HOLD_S = 2.0
HOLD_FACTOR = 0.5
HOLD_SPREAD = (0.1, 0.9)
# Refusals that follow one another within this time lengthen the hold each time.
STREAK_S = 1.0
STREAK_FACTOR = 1.5
MAX_STREAK = 4
# When to look again at a target whose room is in use: a fraction of a run.
IN_USE_WAIT_S = 0.2


class RefusalGuard:
    """The room of one brittle target, as one VM knows it."""

    def __init__(self, *, slots: int, now: float, rng: Random):
        self._slots = max(1, slots)
        self._rng = rng
        self._room = float(self._slots)
        self._grown_at = now
        self._held_until = now
        self._refused_at = -STREAK_S
        self._streak = 0

    @property
    def room(self) -> float:
        """How many requests of all VMs the target has room for."""
        return self._room

    def wait_s(self, *, own: int, running: int, vms: int, now: float) -> float:
        """Return when a request may be sent, 0 if it may be now.

        ``own`` are this VM's requests at the target, ``running`` those of all VMs.
        """
        if now < self._held_until:
            return self._held_until - now
        self._grow(now)
        part = max(1.0, UNEVEN_FACTOR * self._room / max(1, vms))
        if own < part and running < self._room:
            return 0.0
        return IN_USE_WAIT_S

    def record_refusal(
        self, *, running: float, vms: int, allowed_per_s: float, now: float
    ) -> None:
        """Record that the target refused a request, of this VM or of another one.

        ``running`` are the requests of all VMs that it had besides.
        """
        self._grow(now)
        kept = KEPT_SHARE * min(self._room, running)
        self._room = max(MIN_ROOM_SHARE * self._slots, kept)
        self._streak = self._next_streak(now)
        self._refused_at = now
        hold_s = HOLD_FACTOR * vms / max(1.0, allowed_per_s)
        hold_s = min(MAX_HOLD_S, max(MIN_HOLD_S, hold_s))
        hold_s *= STREAK_FACTOR**self._streak * self._rng.uniform(*HOLD_SPREAD)
        self._held_until = max(self._held_until, now + hold_s)

    def _next_streak(self, now: float) -> int:
        """Return how many refusals came before in quick succession."""
        if now - max(self._refused_at, self._held_until) > STREAK_S:
            return 0
        return min(MAX_STREAK, self._streak + 1)

    def _grow(self, now: float) -> None:
        added = GROWTH_PER_S * self._slots * max(0.0, now - self._grown_at)
        self._room = min(MAX_ROOM_SHARE * self._slots, self._room + added)
        self._grown_at = now
