"""Decides from when on a new owner of a target may grant and evict.

Three things restrict an owner: its lease (``right``), what its predecessor may
still do, and whether the target refuses old fencing numbers.
"""

from ..timers import TimerService
from .engine_clocks import EngineClock
from .grant_ledgers import GrantLedger

# How long after an accepted fence order a degraded owner may go on granting.
FENCE_MAX_AGE_S = 2.0


class EvictGuard:
    """The restrictions that a takeover puts on one target's owner.

    ``fencing`` says whether the target refuses orders with old fencing numbers.
    """

    def __init__(
        self,
        *,
        settings: dict,
        timers: TimerService,
        clock: EngineClock,
        ledger: GrantLedger,
        ownership,
        fencing: bool,
    ):
        self._settings = settings
        self._timers = timers
        self._clock = clock
        self._ledger = ledger
        self._ownership = ownership
        self._fencing = fencing
        self._fenced_at: float | None = None
        self._first_fenced_at: float | None = None
        # The incarnation of the target that accepted the fence order.
        self._fenced_boot_id = ""
        self._predecessor_stopped = ownership.predecessor_stopped
        self._ready = False
        self._orders_end_at = ownership.orders_end_at
        # Nobody owned the target before, so no other grants or orders exist.
        self._is_first_owner = not ownership.predecessor and ownership.fence <= 1
        self._right_since: float | None = None
        # GRA-9: a predecessor's grants are unknown here. If none were assumed, its
        # requests could lose their adapters. So grants on all adapters are assumed
        # until they must have expired.
        if self._is_first_owner:
            self._predecessor_stopped = True
        elif self._predecessor_stopped:
            self._assume_grants_since(ownership.taken_at)
        else:
            ledger.assume_unknown_until(None)

    @property
    def needs_fence(self) -> bool:
        """Whether the target must still accept this owner's fencing number."""
        return self._fencing and not self._is_fenced

    @property
    def may_evict(self) -> bool:
        """Whether an eviction may be ordered at all under this ownership.

        A predecessor whose lease has only lapsed may be cut off from the store and
        degraded: it goes on granting what is resident. A fencing target refuses its
        orders, so it notices. On a target that ignores fencing numbers its requests
        would lose their adapter, so nothing is evicted there until it is proved to
        have stopped.
        """
        if self._fencing:
            return self._is_fenced
        # OWN-8, OWN-9: "stopped" covers all earlier owners, not only the last.
        return self._predecessor_stopped

    @property
    def ready(self) -> bool:
        """Whether a report since the takeover has shown what the target holds."""
        return self._ready

    @property
    def ready_after(self) -> float | None:
        """The moment after which a report makes this owner ready, or None yet.

        A fencing target refuses a predecessor's orders after the fence order. On one
        that ignores fencing numbers these orders must have ended.
        """
        if self._fencing:
            # OWN-7: a request granted before the fence order was accepted could lose
            # its adapter to an eviction that a frozen predecessor sends now, or sent
            # before.
            return self._first_fenced_at if self._is_fenced else None
        if self._right_since is None:
            return None
        # GRA-8: a predecessor that died or shut down may have sent an eviction just
        # before. It would evict the adapter of a request that was granted at once.
        return max(self._right_since, self._orders_end_at)

    @property
    def _is_fenced(self) -> bool:
        """Whether the target's current incarnation accepted this owner's number.

        The reply to a fence order may arrive after a probe has shown a restart. The
        target has then lost the number.
        """
        if self._first_fenced_at is None:
            return False
        return self._clock.boot_id in (None, self._fenced_boot_id)

    def record_right(self) -> None:
        """Record that this owner has the right to order."""
        if self._right_since is None:
            self._right_since = self._timers.now()

    def record_fenced(self, sent_at: float, answered_at: float, boot_id: str) -> bool:
        """Record that the target accepted a fence order of this owner's number.

        Return False if another incarnation of the target than the current one
        accepted it, or one that no probe has seen yet.
        """
        if self._clock.boot_id not in (None, boot_id):
            return False
        if boot_id != self._fenced_boot_id:
            self._fenced_boot_id = boot_id
            self._first_fenced_at = None
        self._fenced_at = sent_at
        if self._first_fenced_at is not None:
            return True
        self._first_fenced_at = answered_at
        if not self._predecessor_stopped:
            # OWN-10: the predecessor's last accepted fence order may just precede ours,
            # and it may grant for FENCE_MAX_AGE_S after it. Its last grant must have
            # expired too before anything is evicted.
            self._assume_grants_since(
                answered_at + self._with_clock_error(FENCE_MAX_AGE_S)
            )
        return True

    def fence_is_fresh(self) -> bool:
        """Whether the last accepted fence order still allows degraded grants."""
        if not self._fencing:
            return True
        if self._fenced_at is None or not self._is_fenced:
            return False
        return self._timers.now() - self._fenced_at < FENCE_MAX_AGE_S

    def on_predecessor_stopped(self) -> None:
        """Record a proof, found after the takeover, that the predecessor has stopped.

        Grants that it issued until now expire like any other unknown grant.
        """
        if self._predecessor_stopped:
            return
        self._predecessor_stopped = True
        if not self._is_fenced:
            self._assume_grants_since(self._timers.now())

    def observe(self, as_of: float) -> None:
        """Record that a report of the engine time ``as_of`` was merged."""
        after = self.ready_after
        if after is not None and self._clock.proves_after(as_of, after):
            self._ready = True

    def on_restart(self) -> None:
        """Reset after a restart, in which the target lost the fencing number."""
        self._ready = False
        self._fenced_at = None
        if self._fencing:
            self._first_fenced_at = None

    def _assume_grants_since(self, stopped_at: float | None) -> None:
        if stopped_at is None:
            self._ledger.assume_unknown_until(None)
            return
        # A grant that the predecessor issued right before it stopped may reach its VM
        # later, but its time counts from when the VM sent the request.
        moment = stopped_at + self._ledger.max_lifetime_s() + self._ledger.max_send_s()
        self._ledger.assume_unknown_until(moment)

    def _with_clock_error(self, seconds: float) -> float:
        return seconds * (1 + 2 * self._settings["CLOCK_RATE_ERROR"])
