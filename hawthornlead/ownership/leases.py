"""Registers this VM, renews its lease, and ends the leases of VMs that are gone.

A lease is valid for ``LEASE_S`` from the moment its renewal was sent, by the
monotonic clock of its holder. Another VM may end it at once on proof that the
process has stopped. Without proof it must first see the counter unchanged for so
long, by its own clock, that the lease has also expired by the holder's clock at the
largest allowed difference in rate. An ended incarnation never renews again.
"""

import asyncio
from collections.abc import Callable

from loguru import logger
from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..hashes import rendezvous
from ..messages import LeaseRenewed, RenewLease
from ..stores.stores import StoredObject
from .lease_objects import (
    ENDED,
    KIND,
    LIVE,
    RELEASED,
    Registration,
    live_among,
    next_incarnation,
    with_ended,
    with_registered,
)
from .lease_terminators import LeaseTerminator, clock_safe_wait_s
from .registrations import RegistrationTable, SeenRegistration
from .renewal_batchers import RenewalBatcher, outcome_of
from .renewal_objects import CounterTable, counters_of, renewal_kind, with_entered

__all__ = ["LeaseKeeper", "Registration", "clock_safe_wait_s"]


class LeaseKeeper:
    """Holds this VM's lease, and ends those of VMs that are gone."""

    def __init__(
        self,
        *,
        settings,
        timers,
        events,
        rng,
        store,
        mesh,
        members,
        metrics=None,
        invariants=None,
        incarnation: str | None = None,
    ):
        self._settings = settings
        self._timers = timers
        self._events = events
        self._rng = rng
        self._store = store
        self._mesh = mesh
        self._members = members
        self._metrics = metrics
        self._invariants = invariants
        self._vm = settings["VM_NAME"]
        self._data_centre = settings["DATA_CENTRE"]
        self._lease_s = settings["LEASE_S"]
        self._renew_s = settings["LEASE_RENEW_S"]
        self._incarnation = incarnation or f"{self._vm}.{rng.getrandbits(64):016x}"
        self._counter = 0
        self._valid_until = float("-inf")
        self._held_since = float("-inf")
        self._shard = ""
        self._shard_number = 0
        self._entered_version = 0
        self._registered_version = 0
        self._ended = False
        self._released = False
        self._lapse_reported = False
        self._kind = renewal_kind(self._data_centre)
        self._registrations = RegistrationTable(timers)
        self._counters = CounterTable(timers)
        self._batcher = RenewalBatcher(
            store=store,
            timers=timers,
            kind=self._kind,
            counters=self._counters,
            batch_s=self._renew_s / 2,
        )
        self._terminator = LeaseTerminator(
            settings=settings,
            timers=timers,
            events=events,
            store=store,
            members=members,
            holder=self,
            registrations=self._registrations,
            counters=self._counters,
        )
        self._on_ended: list[Callable[[], None]] = []
        self._watches = []
        self._task: asyncio.Task | None = None

    @property
    def incarnation(self) -> str:
        """The incarnation under which this VM is or will be registered."""
        return self._incarnation

    @property
    def state(self) -> str:
        """One of "new", "held", "lapsed" and "ended"."""
        if self._ended:
            return "ended"
        if not self._shard:
            return "new"
        return "held" if self.held() else "lapsed"

    @property
    def held_since(self) -> float:
        """When the current unbroken hold of the lease began (``timers.now()``)."""
        return self._held_since

    @property
    def synced(self) -> bool:
        """Whether the registrations of all VMs have been read once."""
        return self._registrations.synced

    def held(self, for_s: float = 0.0) -> bool:
        """Whether the lease is valid now and for ``for_s`` seconds more.

        Reads the clock, so a process that was frozen learns here that its lease
        expired, before it has handled any message.
        """
        if self._ended or not self._shard:
            return False
        return self._timers.now() + for_s < self._valid_until

    def registered(self) -> tuple[Registration, ...]:
        """All known registrations, live and ended."""
        return self._registrations.all()

    def registration_of(self, incarnation: str) -> Registration | None:
        """Return the registration of an incarnation, None if none is known."""
        seen = self._registrations.seen(incarnation)
        return seen.registration if seen is not None else None

    async def live_in_store(self) -> Result[set[str], Failure]:
        """Read from the store which incarnations are live now."""
        return (await self._store.list(KIND)).map(live_among)

    def on_ended(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when this VM learns that its incarnation was ended.

        The VM then registers again under a new incarnation.
        """
        self._on_ended.append(callback)

    def start(self) -> None:
        """Start to register, renew, and watch the other VMs' leases."""
        self._mesh.on(RenewLease, self._batcher.handle)
        self._watches = [
            self._store.watch(
                KIND, self._on_registrations, self._registrations.mark_synced
            ),
            self._store.watch(self._kind, self._on_counters),
        ]
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._terminator.start()

    async def stop(self) -> None:
        """Stop renewing; unless it was released, the lease expires by itself."""
        for watch in self._watches:
            watch.cancel()
        if self._task is not None:
            self._task.cancel()
        await self._terminator.stop()
        self._batcher.stop()

    async def register(self) -> Result[None, Failure]:
        """Register this start of the VM, under a new incarnation if the old was ended.

        The lease is entered before the registration, so a registered VM without a
        lease is known to be ended.
        """
        if self._ended:
            self._start_new_incarnation()
        self._counter += 1
        sent_at = self._timers.now()
        incarnation = self._incarnation
        entered = await self._enter(incarnation)
        if entered.is_err():
            return entered
        shard = entered.ok_value.name
        written = await self._write_registration(shard)
        if written.is_err():
            return written
        self._shard = shard
        self._entered_version = entered.ok_value.version
        self._registered_version = written.ok_value.version
        self._counters.apply(entered.ok_value)
        self._registrations.apply(written.ok_value)
        self._check_own_lease()
        if self._ended:
            return Err(Failure(ErrorKind.STALE_FENCE, "the incarnation was ended"))
        self._extend(incarnation, sent_at)
        self._events.emit(EventKind.VM_REGISTERED, self._vm, incarnation=incarnation)
        return Ok(None)

    async def release(self) -> Result[None, Failure]:
        """End the own lease for good at shutdown, after all ownership was released."""
        self._released = True
        seen = SeenRegistration(
            self._own_registration(), self._shard, self._timers.now()
        )
        self._mark_ended("released")
        if not seen.shard:
            return Ok(None)
        return await self._terminator.write_end(seen, RELEASED, None)

    async def end(
        self, vm: str, incarnation: str, proof: str | None
    ) -> Result[None, Failure]:
        """End another VM's incarnation, so that what it owned can be taken over.

        With a ``proof`` from ``members.proof_gone`` it is ended at once. Without
        one, the counter must have been unchanged until the lease has expired on its
        holder's clock, and must still be unchanged when the end is written. A
        renewal that is written first makes the end fail; an end that is written
        first makes every later renewal fail.
        """
        return await self._terminator.end(vm, incarnation, proof)

    def _start_new_incarnation(self) -> None:
        former, shard = self._incarnation, self._shard
        self._incarnation = next_incarnation(former)
        self._counter = 0
        self._shard = ""
        self._shard_number = 0
        self._valid_until = float("-inf")
        self._ended = False
        if not shard:
            return
        # An order that was checked before a freeze and sent after it may still be
        # running. Once it can't be any more, this process itself declares its former
        # incarnation stopped.
        wait = clock_safe_wait_s(
            self._settings["ORDER_S"], self._settings["CLOCK_RATE_ERROR"]
        )

        async def prove_stopped() -> None:
            await self._store.update(
                KIND, shard, lambda value: with_ended(value, former, RELEASED)
            )

        self._timers.after(wait, prove_stopped, name="former incarnation")

    async def _enter(self, incarnation: str) -> Result[StoredObject, Failure]:
        """Enter a lease into the first object that has a free place.

        An attempt whose reply was lost may have written to the object that was tried
        last. The next attempt starts with that object. Otherwise the lease could be
        in two objects, and expire in one while it is renewed in the other.
        """
        counter = self._counter
        while True:
            entered = await self._store.update(
                self._kind,
                f"{self._data_centre}-{self._shard_number}",
                lambda value: with_entered(value, incarnation, counter),
            )
            if entered.is_err() or incarnation in counters_of(entered.ok_value):
                return entered
            self._shard_number += 1

    async def _write_registration(self, shard: str) -> Result[StoredObject, Failure]:
        new = self._own_registration()
        return await self._store.update(
            KIND, shard, lambda value: with_registered(value, new)
        )

    def _own_registration(self) -> Registration:
        return Registration(
            self._vm,
            self._incarnation,
            self._data_centre,
            self._settings["CALLER_ADDRESS"],
            getattr(self._mesh, "address", None) or self._settings["PEER_ADDRESS"],
            self._counter,
            LIVE,
        )

    def _extend(self, incarnation: str, sent_at: float) -> None:
        # The answer to a renewal must not extend the lease if its incarnation was
        # ended or replaced meanwhile.
        if self._ended or incarnation != self._incarnation:
            return
        if not self.held():
            self._held_since = self._timers.now()
        self._valid_until = max(self._valid_until, sent_at + self._lease_s)
        self._lapse_reported = False

    def _mark_ended(self, reason: str) -> None:
        if self._ended:
            return
        self._ended = True
        self._events.emit(
            EventKind.LEASE_ENDED,
            self._vm,
            incarnation=self._incarnation,
            reason=reason,
        )
        for callback in self._on_ended:
            callback()

    def _on_registrations(self, event) -> None:
        self._registrations.apply_event(event)
        self._check_own_lease()

    def _on_counters(self, event) -> None:
        self._counters.apply(event.object)
        self._check_own_lease()

    def _check_own_lease(self) -> None:
        """Mark the lease as ended if the store no longer has it."""
        if not self._shard:
            return
        incarnation = self._incarnation
        counters = self._counters
        if counters.version(self._shard) >= self._entered_version and (
            counters.seen(incarnation) is None
        ):
            self._mark_ended("the lease was ended")
        if self._registrations.version(self._shard) < self._registered_version:
            return
        registration = self.registration_of(incarnation)
        if registration is None or registration.state == ENDED:
            self._mark_ended("the registration was ended")

    async def _run(self) -> None:
        while not self._released:
            started_at = self._timers.now()
            try:
                await self._renew_once()
            except Exception:
                # A bug in one renewal must not prevent all later ones.
                logger.exception("renewing the lease failed; it is retried")
            if not self._ended and not self.held() and not self._lapse_reported:
                self._lapse_reported = True
                self._events.emit(
                    EventKind.LEASE_LAPSED, self._vm, incarnation=self._incarnation
                )
            spent_s = self._timers.now() - started_at
            pause_s = self._renew_s * self._rng.uniform(0.9, 1.0) - spent_s
            await self._timers.sleep(max(pause_s, self._renew_s / 10))

    async def _renew_once(self) -> None:
        if self._ended or not self._shard:
            await self.register()
            return
        self._counter += 1
        incarnation, counter = self._incarnation, self._counter
        sent_at = self._timers.now()
        renewed = await self._renew(incarnation, counter)
        if renewed.is_ok():
            self._extend(incarnation, sent_at)
            return
        if incarnation != self._incarnation:
            return
        if renewed.err_value.kind is ErrorKind.STALE_FENCE:
            self._mark_ended("a renewal was refused")

    async def _renew(self, incarnation: str, counter: int) -> Result:
        aggregator = self._aggregator()
        message = RenewLease(self._vm, incarnation, counter)
        reply = await self._mesh.call(aggregator, message, timeout_s=self._renew_s)
        if reply.is_ok() and isinstance(reply.ok_value, LeaseRenewed):
            return Ok(None)
        # When the aggregator reports a store outage, the other VMs don't call the store
        # until half of their lease time is left. If only the aggregator is cut off
        # from the store, this merely delays their own writes.
        outage = reply.is_err() and reply.err_value.kind is ErrorKind.STORE_UNAVAILABLE
        if outage and self.held(self._lease_s / 2):
            return reply
        written = await self._batcher.write(self._shard, {incarnation: counter})
        return outcome_of(written, incarnation, counter)

    def _aggregator(self) -> str:
        live = set(self._members.in_data_centre(self._data_centre)) | {self._vm}
        return rendezvous(f"leases/{self._data_centre}", live)[0]
