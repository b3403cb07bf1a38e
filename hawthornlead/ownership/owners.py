"""Ownership of targets and load allowances, with fencing numbers.

A resource has at most one owner at a time that may do anything with it: it is
taken by a conditional update that raises the fence, and only once the recorded
owner's incarnation is ended, which it is only when its lease has run out or its
process has stopped. ``right`` reads the clock, so that an owner that was frozen
past its lease finds out before its next order.
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

TAKEOVER_INTERVAL_S = 0.2


class Owners:
    """The resources that this VM owns, and who owns the others."""

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
        self._order = TakeoverOrder(settings=settings, timers=timers, members=members)
        self._wanted: dict[str, str] = {}
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
        """Begin to watch records and to take what is wanted and free."""
        self._leases.on_ended(self._lose_all)
        self._watch = self._store.watch(
            KIND, lambda event: self._apply(event.object), self._mark_synced
        )
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Take nothing more; see ``release_all`` for giving back."""
        self._stopping = True
        if self._watch is not None:
            self._watch.cancel()
        if self._task is not None:
            self._task.cancel()

    def request(self, resource: str, data_centre: str) -> None:
        """Take part in owning a resource that stands in a data centre."""
        self._wanted[resource] = data_centre

    def withdraw(self, resource: str) -> None:
        """Own a resource no more: its target is gone. Given back if owned."""
        self._wanted.pop(resource, None)

    def owned(self, resource: str) -> Ownership | None:
        """Return the ownership of a resource that this VM has taken."""
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
        """All resources that this VM has taken and not lost."""
        return tuple(self._owned)

    def owner_of(self, resource: str) -> OwnerRecord | None:
        """Return the newest record known; None when nobody owns the resource."""
        record = self._records.get(resource)
        if record is None or record.free:
            return None
        return record

    def right(self, resource: str, duration_s: float = 0.0) -> OrderRight:
        """Tell what this VM may do with a resource for ``duration_s`` from now.

        Called right before each order: what was true before a wait may not be. An
        order asks with 0: it may outlast the lease, since a successor waits out
        ``ORDER_S`` after it. Only what no successor waits for needs ``duration_s``.
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
        """Call ``callback`` with each ownership that this VM gets."""
        self._on_taken.append(callback)

    def on_lost(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with each resource that this VM owns no longer."""
        self._on_lost.append(callback)

    def set_open_order_check(self, has_open_order: Callable[[str], bool]) -> None:
        """Ask ``has_open_order`` at each release whether an order may be under way.

        After a release with an open order the successor waits as after a death.
        """
        self._has_open_order = has_open_order

    async def release(self, resource: str) -> Result[None, Failure]:
        """Give a resource back, so that a successor takes it without waiting.

        If an order is under way (see ``set_open_order_check``), the successor waits it
        out. It is not taken again before ``request``.
        """
        return await self._release((resource,))

    async def release_all(self) -> Result[None, Failure]:
        """Give back everything, at shutdown, and take nothing more."""
        self._stopping = True
        return await self._release(tuple(self._owned))

    async def _release(self, resources: tuple[str, ...]) -> Result[None, Failure]:
        outcome: Result[None, Failure] = Ok(None)
        now = self._timers.now()
        waited = {name for name in resources if now >= self._full_at(name)}
        settled = {name for name in resources if now >= self._orders_end_at(name)}
        for resource in resources:
            self._wanted.pop(resource, None)
            self._releasing.add(resource)
            # The right ends before the write is sent: from then on a successor
            # may have it.
            self._lose(resource, EventKind.OWNERSHIP_RELEASED)
        settled -= {name for name in resources if self._has_open_order(name)}
        for shard, names in group_by_shard(resources).items():
            written = await self._store.update(
                KIND,
                shard,
                lambda value, n=names: self._with_released(value, n, waited, settled),
            )
            if written.is_err():
                # Whether it was given back is unknown: it stays in ``_releasing``,
                # which keeps an old record from being taken for a present one.
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
                await self._tick()
            except Exception:
                # A bug met with one resource must not end the taking of all others.
                logger.exception("taking ownership failed")
            await self._timers.sleep(TAKEOVER_INTERVAL_S * self._rng.uniform(0.75, 1.0))

    async def _tick(self) -> None:
        if not self._synced or not self._leases.synced or self._stopping:
            return
        unwanted = [name for name in self._owned if name not in self._wanted]
        unfinished = tuple(self._releasing) + tuple(unwanted)
        if unfinished:
            await self._release_again(unfinished)
        if self._members.draining:
            return
        if not self._leases.held(self._settings["LEASE_RENEW_S"]):
            return
        due = self._due()
        if not due:
            return
        for shard, names in group_by_shard(due).items():
            await self._take_over(shard, names)

    async def _release_again(self, names: tuple[str, ...]) -> None:
        wanted = {name: self._wanted[name] for name in names if name in self._wanted}
        await self._release(names)
        self._wanted.update(wanted)

    def _due(self) -> list[str]:
        free = []
        owners: dict[str, str] = {}
        for resource, data_centre in self._wanted.items():
            record = self._records.get(resource)
            if not self._former.may_take(record):
                owners[resource] = record.vm
            elif resource not in self._releasing:
                free.append(FreeResource(resource, data_centre))
        return self._order.due(free, self._wanted, owners)

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
        logger.debug("ownership not taken: {}", written.err_value.detail)

    def _with_taken(self, value, names, ended: set[str], incarnation: str):
        if incarnation != self._leases.incarnation or not self._leases.held():
            return None
        records = records_of(value or {})
        taken = {}
        for name in names:
            record = records.get(name)
            free = record is None or record.free or record.incarnation in ended
            if not free or name not in self._wanted:
                continue
            stopped = record is None or record.free or self._former.has_stopped(record)
            if record is not None:
                left = [f for f in record.unproved if not self._former.has_stopped(f)]
                record = record._replace(unproved=tuple(left))
            taken[name] = taken_record(record, self._vm, incarnation, stopped)
        return with_records(value, taken) if taken else None

    def _is_mine(self, record: OwnerRecord) -> bool:
        return record.incarnation == self._leases.incarnation

    def _mark_synced(self) -> None:
        self._synced = True

    def _apply(self, stored: StoredObject) -> None:
        """Take in an object as it was read or written, unless a newer is known.

        The watch may tell of the state before a takeover after the answer to the
        takeover has arrived; by its version it is left aside.
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
            self._compare(resource, old, record)

    def _compare(self, resource, old: OwnerRecord | None, record: OwnerRecord) -> None:
        owned = self._owned.get(resource)
        if not self._is_mine(record):
            if owned is not None:
                self._lose(resource, EventKind.OWNERSHIP_LOST)
            return
        if resource in self._releasing:
            return
        if owned is not None and owned.fence == record.fence:
            return
        if owned is not None:
            self._lose(resource, EventKind.OWNERSHIP_LOST)
        self._get(resource, old, record)

    def _get(self, resource, old: OwnerRecord | None, record: OwnerRecord) -> None:
        now = self._timers.now()
        # OWN-6: an order that was checked in the last moment of a lease runs for
        # ORDER_S by its sender's clock, which may be slower than this one. Without
        # the rate error it would take effect after the first grant given here.
        wait = clock_safe_wait_s(
            self._settings["ORDER_S"], self._settings["CLOCK_RATE_ERROR"]
        )
        self._owned[resource] = OwnedState(
            record.incarnation,
            record.fence,
            now,
            now + wait if record.wait else now,
            old.vm if old is not None else "",
            record.unproved,
            now + wait if record.wait or record.unsettled else now,
        )
        ownership = self.owned(resource)
        self._tell(
            EventKind.OWNERSHIP_TAKEN,
            resource,
            fence=ownership.fence,
            predecessor=ownership.predecessor or "none",
            stopped=ownership.predecessor_stopped,
        )
        for callback in self._on_taken:
            callback(ownership)

    def _lose(self, resource: str, kind: EventKind) -> None:
        owned = self._owned.pop(resource, None)
        if owned is None:
            return
        self._tell(kind, resource, fence=owned.fence)
        for callback in self._on_lost:
            callback(resource)

    def _tell(self, kind: EventKind, resource: str, **fields) -> None:
        self._events.emit(kind, resource, **fields)
        if self._metrics is not None:
            self._metrics.owned_resources.set(len(self._owned))

    def _lose_all(self) -> None:
        for resource in tuple(self._owned):
            self._lose(resource, EventKind.OWNERSHIP_LOST)
