"""The lease under which a VM gives orders, and how others see that it ran out.

A VM renews one object of the store. What it owns it may use until ``LEASE_S`` after it
*sent* the last renewal that was answered while the lease still held. Another VM counts
``LEASE_S`` from when it *saw* that renewal, which is later; so the two never overlap,
whatever was slow, lost or suspended in between. Time is the steady clock that counts
suspensions.
"""

from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..events import EventKind, EventRing
from ..tasks import TaskSet
from ..timers import TimerService
from .memberships import put
from .records import StoredRecord
from .store_clients import StoreClient

LEASES_KIND = "hawthornlead-leases"
# Longer than a store outage of 12 s, for while nobody can renew nobody can take over,
# and an owner that stops then leaves its targets without orders for nothing. The price
# is that the targets of a VM that is gone for good get no orders for so long; they
# still serve what they hold, and other targets load the rest.
LEASE_S = 15.0
RENEW_S = 3.5
UNWANTED_LOOK_S = 0.4
RETRY_S = 0.7
# Two steady clocks differ by far less than this over one lease.
CLOCK_MARGIN_S = 0.5


class _Seen(NamedTuple):
    """A renewal of another VM, and when it was first seen here."""

    revision: int
    at: float


class VmLease:
    """This VM's lease, and its view of the leases of others.

    ::

        if lease.holds():
            send_order()
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: str,
        client: StoreClient,
        timers: TimerService,
        rng: Random,
        events: EventRing,
    ):
        self._events = events
        self._vm = vm
        self._incarnation = incarnation
        self._client = client
        self._timers = timers
        self._rng = rng
        self._wanted = False
        self._begun = False
        self._until = 0.0
        self._term = 0
        self._revision: int | None = None
        self._count = 0
        self._seen: dict[str, _Seen] = {}
        self._tasks = TaskSet()

    @property
    def term(self) -> int:
        """A number that changes whenever the lease was lost: what was owned is gone."""
        return self._term

    @property
    def left_s(self) -> float:
        """For how long this VM's lease still holds, 0 if it doesn't."""
        return max(0.0, self._until - self._timers.now())

    def now(self) -> float:
        """Return the time by which the lease counts, suspensions included."""
        return self._timers.now()

    def holds(self) -> bool:
        """Whether this VM's lease holds at this moment."""
        return self.holds_for(0.0)

    def holds_for(self, seconds: float) -> bool:
        """Whether the lease holds now and for so long, also if it isn't renewed."""
        return self._timers.now() + seconds < self._until

    def want(self, wanted: bool) -> None:
        """Say whether this VM owns something or is about to; else it doesn't renew."""
        self._wanted = wanted

    def start(self, again: bool = True) -> None:
        """Begin to renew while the lease is wanted.

        A VM that starts ``again`` renews once in any case: that tells the others that
        what its earlier process owned is free, without waiting for its lease.
        """
        self._begun = not again
        self._tasks.spawn(self._renew_on())

    def stop(self) -> None:
        """Renew no more."""
        self._tasks.cancel()

    async def has_run_out(self, vm: str, incarnation: str) -> bool:
        """Ask the store whether an incarnation of a VM can't hold its lease any more.

        True if the VM has restarted since, or if its lease wasn't renewed for as long
        as this VM has watched it; with an empty ``incarnation`` only the latter
        counts. A store that doesn't answer proves nothing, and neither does a lease
        that is gone or can't be read: nobody removes one, and its VM may live.
        """
        asked_at = self._timers.now()
        found = await self._client.get(LEASES_KIND, vm)
        if found.is_err():
            return False
        record = found.ok_value
        renewed_by = _incarnation(record)
        if incarnation and renewed_by and renewed_by != incarnation:
            return True
        revision = 0 if record is None else record.revision
        return self._is_unchanged(vm, revision, asked_at)

    async def others(self) -> Result[tuple[str, ...], Failure]:
        """Ask the store for the other VMs that ever had a lease."""
        listed = await self._client.list_all(LEASES_KIND)
        if listed.is_err():
            return listed
        names = [record.name for record in listed.ok_value.events]
        return Ok(tuple([name for name in names if name != self._vm]))

    def _is_unchanged(self, vm: str, revision: int, asked_at: float) -> bool:
        """Whether a lease stood at a revision for a lease and a margin.

        What an answer tells was so when it was asked for, at the earliest. By the time
        it is looked at, this process may have been suspended for seconds, in which the
        lease was renewed: so the wait ends at ``asked_at``, but begins at the answer.
        """
        seen = self._seen.get(vm)
        if seen is None or seen.revision != revision:
            self._seen[vm] = _Seen(revision, self._timers.now())
            return False
        return asked_at - seen.at > LEASE_S + CLOCK_MARGIN_S

    async def _renew_on(self) -> None:
        while True:
            if self._begun and not self._wanted:
                await self._timers.sleep(UNWANTED_LOOK_S)
                continue
            renewed = await self._renew()
            self._begun = self._begun or renewed
            pause_s = RENEW_S if renewed else RETRY_S
            await self._timers.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    async def _renew(self) -> bool:
        sent_at = self._timers.now()
        held = sent_at < self._until
        if not await self._write():
            return False
        answered_at = self._timers.now()
        if held and answered_at >= self._until:
            # The lease ran out before the answer came: a successor may have taken
            # over between the two. The lease is a new one, and what was owned is gone.
            held = False
        if not held:
            self._term += 1
            self._events.emit(EventKind.LEASE_BEGUN, self._vm, term=self._term)
        self._until = sent_at + LEASE_S
        return True

    async def _write(self) -> bool:
        self._count += 1
        spec = {"incarnation": self._incarnation, "count": self._count}
        if self._revision is None:
            written = await put(self._client, LEASES_KIND, self._vm, spec)
            if written is None:
                return False
            self._revision = written.record.revision
            return True
        outcome = await self._client.replace(
            LEASES_KIND, self._vm, spec, self._revision
        )
        if isinstance(outcome, Err):
            if outcome.err_value.kind is ErrorKind.VERSION_CONFLICT:
                # An earlier write of this VM took effect without its answer.
                self._revision = None
            return False
        self._revision = outcome.ok_value.revision
        return True


def _incarnation(record: StoredRecord | None) -> str:
    """Return the incarnation that renewed a lease last, empty if that can't be read."""
    if record is None or not isinstance(record.spec, dict):
        return ""
    incarnation = record.spec.get("incarnation")
    return incarnation if isinstance(incarnation, str) else ""
