"""Ownership of targets and load allowances, with fencing numbers.

At most one owner at a time may give orders for a resource. A VM takes it over by a
conditional update that raises the fence, and only after the recorded owner's
incarnation was ended: its lease has expired or its process has stopped. ``right``
reads the clock, so an owner that was frozen past its lease notices that before its
next order.
"""

import asyncio
from collections.abc import Callable

from loguru import logger
from result import Err, Ok, Result

from ..errors import Failure
from ..events import EventKind
from ..stores.stores import StoredObject
from .former_owners import FormerOwners
from .leases import clock_safe_wait_s
from .owner_records import (
    KIND,
    OwnerRecord,
    freed_record,
    group_by_shard,
    records_of,
    taken_record,
    with_records,
)
from .ownerships import OrderRight, OwnedState, Ownership
from .takeover_orders import FreeResource, TakeoverOrder

__all__ = ["OrderRight", "OwnerRecord", "Owners", "Ownership"]

# How often a VM checks for resources to take over or to release.
TAKEOVER_INTERVAL_S = 0.2


class Owners:
    """Takes over resources for this VM, and knows the owners of all others."""

    def __init__(
        self,
        *,
        settings,
        timers,
        events,
        rng,
        store,
        leases,
        members,
        metrics=None,
        invariants=None,
    ):
        self._settings = settings
        self._timers = timers
        self._events = events
        self._rng = rng
        self._store = store
        self._leases = leases
        self._members = members
        self._metrics = metrics
        self._invariants = invariants
        self._vm = settings["VM_NAME"]
        self._former = FormerOwners(leases=leases, members=members)
        self._takeover_order = TakeoverOrder(
            settings=settings, timers=timers, members=members
        )
        self._requested: dict[str, str] = {}
        self._records: dict[str, OwnerRecord] = {}
        self._versions: dict[str, int] = {}
        self._owned: dict[str, OwnedState] = {}
        self._releasing: set[str] = set()
        self._on_taken: list[Callable[[Ownership], None]] = []
        self._on_lost: list[Callable[[str], None]] = []
        self._has_open_order: Callable[[str], bool] = lambda resource: False
        self._synced = False
        self._stopping = False
        self._watch = None
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to watch records and to take over requested resources that are free."""
        self._leases.on_ended(self._end_all)
        self._watch = self._store.watch(
            KIND, lambda event: self._apply(event.object), self._mark_synced
        )
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop taking over; ``release_all`` also releases what is owned."""
        self._stopping = True
        if self._watch is not None:
            self._watch.cancel()
        if self._task is not None:
            self._task.cancel()

    def request(self, resource: str, data_centre: str) -> None:
        """Take over a resource of a data centre whenever it is this VM's turn."""
        self._requested[resource] = data_centre

    def withdraw(self, resource: str) -> None:
        """Withdraw the request for a resource, which is then released if owned."""
        self._requested.pop(resource, None)

    def owned(self, resource: str) -> Ownership | None:
        """Return this VM's ownership of a resource, None if it does not own it."""
        owned = self._owned.get(resource)
        if owned is None:
            return None
        return Ownership(
            resource,
            owned.fence,
            owned.taken_at,
            owned.predecessor,
            all(self._former.has_stopped(former) for former in owned.unproved),
            owned.orders_end_at,
        )

    def owned_resources(self) -> tuple[str, ...]:
        """Return all resources that this VM owns."""
        return tuple(self._owned)

    def owner_of(self, resource: str) -> OwnerRecord | None:
        """Return the newest known record of a resource, None if nobody owns it."""
        record = self._records.get(resource)
        if record is None or record.free:
            return None
        return record

    def right(self, resource: str, duration_s: float = 0.0) -> OrderRight:
        """Return what this VM may do with a resource for ``duration_s`` from now.

        Call it right before each order, since the answer may change during any wait.
        For an order ``duration_s`` is 0: it may outlast the lease, as a successor waits
        ``ORDER_S`` after it. Work that no successor waits for needs ``duration_s``.
        """
        owned = self._owned.get(resource)
        if owned is None or self._leases.state == "ended":
            return OrderRight.NONE
        if owned.incarnation != self._leases.incarnation:
            return OrderRight.NONE
        if self._timers.now() < owned.full_at:
            return OrderRight.NONE
        if not self._leases.held(duration_s):
            return OrderRight.DEGRADED
        return OrderRight.FULL

    def on_taken(self, callback: Callable[[Ownership], None]) -> None:
        """Call ``callback`` with each ownership that this VM obtains."""
        self._on_taken.append(callback)

    def on_lost(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with each resource that this VM no longer owns."""
        self._on_lost.append(callback)

    def set_open_order_check(self, has_open_order: Callable[[str], bool]) -> None:
        """Set the function that tells whether an order for a resource is under way.

        It is called at each release. With an open order the successor waits as it
        does after the owner's death.
        """
        self._has_open_order = has_open_order

    async def release(self, resource: str) -> Result[None, Failure]:
        """Release a resource, so that a successor can take it over without a wait.

        If an order is under way (see ``set_open_order_check``), the successor waits
        until it has ended. This VM does not take the resource again before ``request``.
        """
        return await self._release((resource,))

    async def release_all(self) -> Result[None, Failure]:
        """Release everything at shutdown, and take over nothing more."""
        self._stopping = True
        return await self._release(tuple(self._owned))

    async def _release(self, resources: tuple[str, ...]) -> Result[None, Failure]:
        outcome: Result[None, Failure] = Ok(None)
        now = self._timers.now()
        waited = {name for name in resources if now >= self._full_at(name)}
        settled = {name for name in resources if now >= self._orders_end_at(name)}
        for resource in resources:
            self._requested.pop(resource, None)
            self._releasing.add(resource)
            # The right must end before the write is sent, since afterwards a successor
            # may have it.
            self._end_ownership(resource, EventKind.OWNERSHIP_RELEASED)
        settled -= {name for name in resources if self._has_open_order(name)}
        for shard, names in group_by_shard(resources).items():
            written = await self._store.update(
                KIND,
                shard,
                lambda value, n=names: self._with_released(value, n, waited, settled),
            )
            if written.is_err():
                # Whether the release was written is unknown. The resources stay in
                # ``_releasing``, so that an old record that still names this VM does
                # not make it owner again.
                outcome = Err(written.err_value)
                continue
            self._releasing.difference_update(names)
            self._apply(written.ok_value)
        return outcome

    def _full_at(self, resource: str) -> float:
        owned = self._owned.get(resource)
        return owned.full_at if owned is not None else float("inf")

    def _orders_end_at(self, resource: str) -> float:
        owned = self._owned.get(resource)
        return owned.orders_end_at if owned is not None else float("inf")

    def _with_released(
        self, value, names: list[str], waited: set[str], settled: set[str]
    ):
        records = records_of(value or {})
        freed = {}
        for name in names:
            record = records.get(name)
            if record is None or not self._is_mine(record):
                continue
            freed[name] = freed_record(record, name in waited, name in settled)
        return with_records(value, freed) if freed else None

    async def _run(self) -> None:
        while True:
            try:
                await self._check_resources()
            except Exception:
                # A bug that concerns one resource must not stop all later takeovers.
                logger.exception("taking over resources failed; it is retried")
            await self._timers.sleep(TAKEOVER_INTERVAL_S * self._rng.uniform(0.75, 1.0))

    async def _check_resources(self) -> None:
        if not self._synced or not self._leases.synced or self._stopping:
            return
        withdrawn = [name for name in self._owned if name not in self._requested]
        to_release = tuple(self._releasing) + tuple(withdrawn)
        if to_release:
            await self._release_pending(to_release)
        if self._members.draining:
            return
        if not self._leases.held(self._settings["LEASE_RENEW_S"]):
            return
        due = self._due()
        if not due:
            return
        for shard, names in group_by_shard(due).items():
            await self._take_over(shard, names)

    async def _release_pending(self, names: tuple[str, ...]) -> None:
        requested = {
            name: self._requested[name] for name in names if name in self._requested
        }
        await self._release(names)
        self._requested.update(requested)

    def _due(self) -> list[str]:
        free = []
        owners: dict[str, str] = {}
        for resource, data_centre in self._requested.items():
            record = self._records.get(resource)
            if not self._former.may_take(record):
                owners[resource] = record.vm
            elif resource not in self._releasing:
                free.append(FreeResource(resource, data_centre))
        return self._takeover_order.due(free, self._requested, owners)

    async def _take_over(self, shard: str, names: list[str]) -> None:
        recorded = [self._records[name] for name in names if name in self._records]
        ended = await self._former.ended_among(recorded)
        if ended.is_err():
            return
        incarnation = self._leases.incarnation
        written = await self._store.update(
            KIND,
            shard,
            lambda value: self._with_taken(value, names, ended.ok_value, incarnation),
        )
        if written.is_ok():
            self._apply(written.ok_value)
            return
        logger.debug("resources not taken over: {}", written.err_value.detail)

    def _with_taken(self, value, names, ended: set[str], incarnation: str):
        if incarnation != self._leases.incarnation or not self._leases.held():
            return None
        records = records_of(value or {})
        taken = {}
        for name in names:
            record = records.get(name)
            free = record is None or record.free or record.incarnation in ended
            if not free or name not in self._requested:
                continue
            stopped = record is None or record.free or self._former.has_stopped(record)
            if record is not None:
                unproved = [
                    each
                    for each in record.unproved
                    if not self._former.has_stopped(each)
                ]
                record = record._replace(unproved=tuple(unproved))
            taken[name] = taken_record(record, self._vm, incarnation, stopped)
        return with_records(value, taken) if taken else None

    def _is_mine(self, record: OwnerRecord) -> bool:
        return record.incarnation == self._leases.incarnation

    def _mark_synced(self) -> None:
        self._synced = True

    def _apply(self, stored: StoredObject) -> None:
        """Apply an object that was read or written, unless a newer one is known.

        The watch may report the state before a takeover after the answer to the
        takeover has arrived; that event has an older version and is ignored.
        """
        if stored.version <= self._versions.get(stored.name, 0):
            return
        self._versions[stored.name] = stored.version
        for resource, record in records_of(stored.value).items():
            old = self._records.get(resource)
            if old is not None and self._invariants is not None:
                rises = record.fence >= old.fence
                self._invariants.check("fence-never-falls", rises, resource)
            self._records[resource] = record
            self._update_ownership(resource, old, record)

    def _update_ownership(
        self, resource, old: OwnerRecord | None, record: OwnerRecord
    ) -> None:
        owned = self._owned.get(resource)
        if not self._is_mine(record):
            if owned is not None:
                self._end_ownership(resource, EventKind.OWNERSHIP_LOST)
            return
        if resource in self._releasing:
            return
        if owned is not None and owned.fence == record.fence:
            return
        if owned is not None:
            self._end_ownership(resource, EventKind.OWNERSHIP_LOST)
        self._start_ownership(resource, old, record)

    def _start_ownership(
        self, resource, old: OwnerRecord | None, record: OwnerRecord
    ) -> None:
        now = self._timers.now()
        # OWN-6: an order that was checked in the last moment of a lease may run for
        # ORDER_S by its sender's clock, which may be slower than this one. Without the
        # rate error the wait could end, and the first grant be issued here, before that
        # order takes effect.
        wait_s = clock_safe_wait_s(
            self._settings["ORDER_S"], self._settings["CLOCK_RATE_ERROR"]
        )
        self._owned[resource] = OwnedState(
            record.incarnation,
            record.fence,
            now,
            now + wait_s if record.wait else now,
            old.vm if old is not None else "",
            record.unproved,
            now + wait_s if record.wait or record.unsettled else now,
        )
        ownership = self.owned(resource)
        self._report_change(
            EventKind.OWNERSHIP_TAKEN,
            resource,
            fence=ownership.fence,
            predecessor=ownership.predecessor or "none",
            stopped=ownership.predecessor_stopped,
        )
        for callback in self._on_taken:
            callback(ownership)

    def _end_ownership(self, resource: str, kind: EventKind) -> None:
        owned = self._owned.pop(resource, None)
        if owned is None:
            return
        self._report_change(kind, resource, fence=owned.fence)
        for callback in self._on_lost:
            callback(resource)

    def _report_change(self, kind: EventKind, resource: str, **fields) -> None:
        self._events.emit(kind, resource, **fields)
        if self._metrics is not None:
            self._metrics.owned_resources.set(len(self._owned))

    def _end_all(self) -> None:
        for resource in tuple(self._owned):
            self._end_ownership(resource, EventKind.OWNERSHIP_LOST)
