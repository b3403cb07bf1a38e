"""The lease under which a VM gives orders, and how others see that it expired.

A VM renews one object of the store. It may use what it owns until ``LEASE_S`` after it
*sent* the last renewal that was answered while the lease still held. Another VM counts
``LEASE_S`` from when it *saw* that renewal, which is later. So the two never overlap,
whatever was slow, lost or suspended in between. Time is the monotonic clock that counts
suspensions.
"""

from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..events import EventKind, EventRing
from ..tasks import TaskSet
from ..timers import TimerService
from .batched_reads import BatchedReads
from .records import StoredRecord
from .store_clients import StoreClient
from .upserts import upsert

LEASES_KIND = "hawthornlead-leases"
# Longer than a store outage of 12 s: while no VM can renew, none can take over either,
# and an owner that stopped then would leave its targets without orders for no gain. The
# price is that the targets of a VM that is gone for good get no orders for this long;
# they still serve what they hold, and other targets load the rest.
LEASE_S = 15.0
RENEW_INTERVAL_S = 3.5
IDLE_POLL_INTERVAL_S = 0.4
RETRY_S = 0.7
# Two monotonic clocks differ by far less than this over one lease.
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
        self._reads = BatchedReads(client, LEASES_KIND)
        self._timers = timers
        self._rng = rng
        self._required = False
        self._renewed_once = False
        self._until = 0.0
        self._term = 0
        self._revision: int | None = None
        self._count = 0
        self._seen: dict[str, _Seen] = {}
        self._tasks = TaskSet()

    @property
    def term(self) -> int:
        """A number that changes when the lease was lost, and with it all ownerships."""
        return self._term

    @property
    def left_s(self) -> float:
        """How long this VM's lease still holds, 0 if it doesn't."""
        return max(0.0, self._until - self._timers.now())

    def now(self) -> float:
        """Return the time that the lease counts by, including suspensions."""
        return self._timers.now()

    def holds(self) -> bool:
        """Whether this VM's lease holds at this moment."""
        return self.holds_for(0.0)

    def holds_for(self, seconds: float) -> bool:
        """Whether the lease holds for this long even if it isn't renewed."""
        return self._timers.now() + seconds < self._until

    def want(self, required: bool) -> None:
        """Set whether this VM requires a lease; it renews only then."""
        self._required = required

    def start(self, again: bool = True) -> None:
        """Start renewing while the lease is required.

        A VM that starts ``again`` renews once in any case: this shows the others that
        the ownerships of its earlier process are free, before that lease expires.
        """
        self._renewed_once = not again
        self._tasks.spawn(self._renew_while_required())

    def stop(self) -> None:
        """Stop renewing."""
        self._tasks.cancel()

    async def has_run_out(self, vm: str, incarnation: str) -> bool:
        """Check in the store whether an incarnation of a VM no longer holds its lease.

        True if the VM has restarted since, or if this VM has observed the lease without
        a renewal for its duration; with an empty ``incarnation`` only the latter
        counts. A store that doesn't answer proves nothing, and neither does a lease
        that is missing or unreadable: nobody removes one, and its VM may be live.
        """
        requested_at = self._timers.now()
        found = await self._reads.get(vm)
        if found.is_err():
            return False
        record = found.ok_value
        renewed_by = _incarnation(record)
        if incarnation and renewed_by and renewed_by != incarnation:
            return True
        revision = 0 if record is None else record.revision
        return self._is_unchanged(vm, revision, requested_at)

    async def others(self) -> Result[tuple[str, ...], Failure]:
        """List the other VMs that ever had a lease in the store."""
        listed = await self._client.list_all(LEASES_KIND)
        if listed.is_err():
            return listed
        names = [record.name for record in listed.ok_value.events]
        return Ok(tuple([name for name in names if name != self._vm]))

    def _is_unchanged(self, vm: str, revision: int, requested_at: float) -> bool:
        """Whether a lease stayed at a revision for ``LEASE_S`` and a margin.

        An answer may be as old as its request. Between the two this process may have
        been suspended for seconds, in which the lease was renewed. So the observed time
        starts at an answer, but ends at ``requested_at``.
        """
        seen = self._seen.get(vm)
        if seen is None or seen.revision != revision:
            self._seen[vm] = _Seen(revision, self._timers.now())
            return False
        return requested_at - seen.at > LEASE_S + CLOCK_MARGIN_S

    async def _renew_while_required(self) -> None:
        while True:
            if self._renewed_once and not self._required:
                await self._timers.sleep(IDLE_POLL_INTERVAL_S)
                continue
            renewed = await self._renew()
            self._renewed_once = self._renewed_once or renewed
            pause_s = RENEW_INTERVAL_S if renewed else RETRY_S
            await self._timers.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    async def _renew(self) -> bool:
        sent_at = self._timers.now()
        held = sent_at < self._until
        if not await self._write():
            return False
        answered_at = self._timers.now()
        if held and answered_at >= self._until:
            # The lease expired before the answer came: a successor may have taken over
            # in between. This is a new lease, and all ownerships are lost.
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
            written = await upsert(self._client, LEASES_KIND, self._vm, spec)
            if written is None:
                return False
            self._revision = written.record.revision
            return True
        outcome = await self._client.replace(
            LEASES_KIND, self._vm, spec, self._revision
        )
        if isinstance(outcome, Err):
            if outcome.err_value.kind is ErrorKind.VERSION_CONFLICT:
                # An earlier write of this VM took effect, but its answer was lost.
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
