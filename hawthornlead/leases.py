"""The VM's lease: registered, renewed, noticed when lost; others' ended.

A lease is valid for ``LEASE_S`` from the moment its renewal was sent, by the
monotonic clock of its holder. Another VM may end it at once on proof that the
process has stopped, and otherwise only after it saw the counter unchanged for so
long, by its own clock, that the holder's clock has passed the lease too, however
the rates of the two clocks differ. An ended incarnation never renews again.
"""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from .aggregators import RenewalFolder, outcome_of
from .errors import ErrorKind, Failure
from .events import EventKind
from .hashes import rendezvous
from .lease_objects import (
    ENDED,
    KIND,
    LIVE,
    RELEASED,
    SILENT,
    STOP_PROOFS,
    Registration,
    registrations,
    with_ended,
    with_registered,
)
from .messages import LeaseRenewed, RenewLease
from .registrations import RegistrationTable, Seen
from .stores import StoredObject

__all__ = ["LeaseKeeper", "Registration", "longest_by_any_clock"]

# Ended entries are kept for so many leases, so that takers learn of the proof.
KEEP_ENDED_LEASES = 20
LAST_RANK = 4


def longest_by_any_clock(seconds: float, rate_error: float) -> float:
    """Return how long to wait so that ``seconds`` have passed on another's clock.

    The other's clock may be slow by the rate error and one's own fast by it.
    """
    return seconds * (1 + rate_error) / (1 - rate_error)


class LeaseKeeper:
    """Keeps this VM's lease, and ends those of VMs that are gone."""

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
        self._incarnation = incarnation or self._new_incarnation()
        self._counter = 0
        self._until = float("-inf")
        self._held_since = float("-inf")
        self._shard = ""
        self._tried_number = 0
        self._ended = False
        self._released = False
        self._lapse_told = False
        self._table = RegistrationTable(timers)
        self._folder = RenewalFolder(
            store=store,
            timers=timers,
            table=self._table,
            gather_s=self._renew_s / 2,
            keep_s=KEEP_ENDED_LEASES * self._lease_s,
        )
        self._suspect_since: dict[str, float] = {}
        self._on_ended: list[Callable[[], None]] = []
        self._on_registered: list[Callable[[str], None]] = []
        self._watch = None
        self._tasks: list[asyncio.Task] = []

    @property
    def incarnation(self) -> str:
        """The incarnation under which this VM is, or is to be, registered."""
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
    def synced(self) -> bool:
        """Whether the registrations of all VMs have been read once."""
        return self._table.synced

    def held(self, for_s: float = 0.0) -> bool:
        """Whether the lease is valid now and for ``for_s`` seconds more.

        Reads the clock: a process that was frozen learns here that its lease ran
        out, before any message can tell it.
        """
        if self._ended or not self._shard:
            return False
        return self._timers.now() + for_s < self._until

    def registered(self) -> tuple[Registration, ...]:
        """All registrations known, live and ended ones."""
        return self._table.all()

    def registration_of(self, incarnation: str) -> Registration | None:
        """What is known of one incarnation; None when it is not registered."""
        seen = self._table.seen(incarnation)
        return seen.registration if seen is not None else None

    async def live_in_store(self) -> Result[set[str], Failure]:
        """Read from the store which incarnations are live now."""
        listed = await self._store.list(KIND)
        if listed.is_err():
            return listed
        live = set()
        for item in listed.ok_value.items:
            for registration in registrations(item.value):
                if registration.state == LIVE:
                    live.add(registration.incarnation)
        return Ok(live)

    def on_ended(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when this VM learns that its incarnation was ended.

        Afterwards the VM is registered again, under a new incarnation.
        """
        self._on_ended.append(callback)

    def on_registered(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with the incarnation at each registration."""
        self._on_registered.append(callback)

    def start(self) -> None:
        """Begin to register, renew, and watch the others."""
        self._mesh.on(RenewLease, self._folder.handle)
        self._watch = self._store.watch(KIND, self._take_event, self._table.mark_synced)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._keep()),
            loop.create_task(self._sweep_often()),
        ]

    async def stop(self) -> None:
        """Renew no more; without ``release`` the lease runs out by itself."""
        if self._watch is not None:
            self._watch.cancel()
        for task in self._tasks:
            task.cancel()
        self._folder.stop()

    async def register(self) -> Result[None, Failure]:
        """Register this VM start, under a new incarnation if the old was ended."""
        if self._ended:
            self._incarnation = self._new_incarnation()
            self._counter = 0
            self._shard = ""
            self._tried_number = 0
            self._until = float("-inf")
            self._ended = False
        self._counter += 1
        sent_at = self._timers.now()
        new = self._own_registration()
        written = await self._enter(new)
        if written.is_err():
            return written
        entry = written.ok_value.value["entries"][new.incarnation]
        self._table.take(written.ok_value)
        if entry["state"] != LIVE:
            self._note_ended("ended while registering")
            return Err(Failure(ErrorKind.STALE_FENCE, "the incarnation was ended"))
        self._shard = written.ok_value.name
        self._extend(new.incarnation, sent_at)
        self._events.emit(
            EventKind.VM_REGISTERED, self._vm, incarnation=self._incarnation
        )
        for callback in self._on_registered:
            callback(self._incarnation)
        return Ok(None)

    async def release(self) -> Result[None, Failure]:
        """End the own lease for good, at shutdown, when nothing is owned any more."""
        self._released = True
        incarnation, shard = self._incarnation, self._shard
        self._note_ended("released")
        if not shard:
            return Ok(None)
        return await self._write_end(shard, incarnation, RELEASED, None)

    async def end(
        self, vm: str, incarnation: str, proof: str | None
    ) -> Result[None, Failure]:
        """End another VM's incarnation, so that what it owned can be taken.

        With a ``proof`` of ``members.proof_gone`` at once. Without, only after
        the counter was seen unchanged until the lease must have run out on its
        holder's clock, and only if the counter still stands so when the end is
        written: a renewal written first makes the end fail, an end written first
        makes every later renewal fail.
        """
        seen = self._table.seen(incarnation)
        if seen is None or seen.registration.state == ENDED:
            return Ok(None)
        if proof in STOP_PROOFS:
            return await self._write_end(seen.shard, incarnation, proof, None)
        left = self._left_of(seen)
        if left > 0:
            detail = f"{vm} may still hold its lease"
            return Err(Failure(ErrorKind.NOT_READY, detail, left))
        counter = seen.registration.counter
        return await self._write_end(seen.shard, incarnation, SILENT, counter)

    def _new_incarnation(self) -> str:
        return f"{self._vm}.{self._rng.getrandbits(64):016x}"

    async def _enter(self, new: Registration) -> Result[StoredObject, Failure]:
        """Write a registration into the first object that has room for it.

        A try whose reply was lost may stand in the object that was tried last.
        The next try begins with that one, so that an incarnation never stands in
        two objects, one of which would run out while the other is renewed.
        """
        while True:
            shard = f"{self._data_centre}-{self._tried_number}"
            moment = self._timers.now() - KEEP_ENDED_LEASES * self._lease_s
            pruned = self._table.ended_before(shard, moment)
            written = await self._store.update(
                KIND, shard, lambda value, p=pruned: with_registered(value, new, p)
            )
            if written.is_err():
                return written
            if new.incarnation in written.ok_value.value.get("entries", {}):
                return written
            self._tried_number += 1

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
        # The answer to a renewal of an incarnation that was ended meanwhile, or
        # replaced, extends nothing.
        if self._ended or incarnation != self._incarnation:
            return
        if not self.held():
            self._held_since = self._timers.now()
        self._until = max(self._until, sent_at + self._lease_s)
        self._lapse_told = False

    def _note_ended(self, reason: str) -> None:
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

    def _take_event(self, event) -> None:
        self._table.take_event(event)
        if not self._shard or event.object.name != self._shard:
            return
        if event.object.version < self._table.version(self._shard):
            return
        seen = self._table.seen(self._incarnation)
        if seen is None or seen.registration.state == ENDED:
            self._note_ended("ended by another VM")

    async def _keep(self) -> None:
        while not self._released:
            begun_at = self._timers.now()
            await self._keep_once()
            if not self._ended and not self.held() and not self._lapse_told:
                self._lapse_told = True
                self._events.emit(
                    EventKind.LEASE_LAPSED, self._vm, incarnation=self._incarnation
                )
            spent = self._timers.now() - begun_at
            pause = self._renew_s * self._rng.uniform(0.9, 1.0) - spent
            await self._timers.sleep(max(pause, self._renew_s / 10))

    async def _keep_once(self) -> None:
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
            self._note_ended("a renewal was refused")

    async def _renew(self, incarnation: str, counter: int) -> Result:
        aggregator = self._aggregator()
        message = RenewLease(self._vm, incarnation, counter)
        reply = await self._mesh.call(aggregator, message, timeout_s=self._renew_s)
        if reply.is_ok() and isinstance(reply.ok_value, LeaseRenewed):
            return Ok(None)
        # In an outage of the store the aggregator says so, and the others leave
        # the store alone until their leases run short; an aggregator that alone
        # is cut from the store costs them nothing but that delay.
        outage = reply.is_err() and reply.err_value.kind is ErrorKind.STORE_UNAVAILABLE
        if outage and self.held(self._lease_s / 2):
            return reply
        written = await self._folder.write(self._shard, {incarnation: counter})
        return outcome_of(written, incarnation, counter)

    def _aggregator(self) -> str:
        live = set(self._members.in_data_centre(self._data_centre)) | {self._vm}
        return rendezvous(f"leases/{self._data_centre}", live)[0]

    async def _sweep_often(self) -> None:
        while True:
            await self._timers.sleep(min(self._renew_s / 4, 0.25))
            if not self._table.synced or not self.held():
                continue
            await self._sweep()

    async def _sweep(self) -> None:
        """End the leases of VMs that are proved gone or have run out.

        The VM that rendezvous hashing prefers goes first, so that not all write
        at once; the others follow if that one does not.
        """
        now = self._timers.now()
        # After an outage of the store every counter has stood still, and whoever
        # renews first would end all the others. They get a lease's time to renew.
        steady = now - self._held_since >= self._lease_s
        suspects = {}
        for seen in self._table.live():
            registration = seen.registration
            if registration.incarnation == self._incarnation:
                continue
            proof = self._members.proof_gone(registration.vm, registration.incarnation)
            if proof is None and (self._left_of(seen) > 0 or not steady):
                continue
            since = self._suspect_since.get(registration.incarnation, now)
            suspects[registration.incarnation] = since
            if now - since < self._rank_for(registration) * self._renew_s / 2:
                continue
            ended = await self.end(registration.vm, registration.incarnation, proof)
            if ended.is_err():
                # Come back one interval later rather than at the next sweep.
                suspects[registration.incarnation] = now + self._renew_s
                if ended.err_value.kind is ErrorKind.STORE_UNAVAILABLE:
                    suspects = {**self._suspect_since, **suspects}
                    break
        self._suspect_since = suspects

    def _rank_for(self, registration: Registration) -> int:
        names = set(self._members.in_data_centre(registration.data_centre))
        names = names or set(self._members.live_vms())
        names.discard(registration.vm)
        order = rendezvous(registration.incarnation, names)
        rank = order.index(self._vm) if self._vm in order else LAST_RANK
        return min(rank, LAST_RANK)

    def _left_of(self, seen: Seen) -> float:
        """Seconds until another's lease has run out on its holder's clock."""
        wait = longest_by_any_clock(self._lease_s, self._settings["CLOCK_RATE_ERROR"])
        return seen.since + wait - self._timers.now()

    async def _write_end(
        self, shard: str, incarnation: str, proof: str, counter: int | None
    ) -> Result[None, Failure]:
        written = await self._store.update(
            KIND, shard, lambda value: with_ended(value, incarnation, proof, counter)
        )
        if written.is_err():
            return written
        self._table.take(written.ok_value)
        entry = written.ok_value.value.get("entries", {}).get(incarnation)
        if entry is not None and entry["state"] == LIVE:
            return Err(Failure(ErrorKind.VERSION_CONFLICT, "the lease was renewed"))
        self._events.emit(EventKind.VM_ENDED, incarnation, proof=proof)
        return Ok(None)
