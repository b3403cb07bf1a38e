"""Ends the leases of VMs that are gone, so that what they owned can be taken over."""

import asyncio

from loguru import logger
from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..hashes import rendezvous
from .lease_objects import (
    ENDED,
    KIND,
    SILENT,
    STOP_PROOFS,
    Registration,
    process_of,
    with_ended,
    with_pruned,
)
from .registrations import RegistrationTable, SeenRegistration
from .renewal_objects import CounterTable, counters_of, renewal_kind, with_removed

# Registrations that ended with proof, and leases that were entered but never
# registered, are removed after this many lease times.
ENDED_RETENTION_LEASES = 20
# No lease has this counter, so an end with it succeeds only if there is no lease.
NO_COUNTER = -1
# VMs of a higher rank in the order of termination wait no longer than this one.
MAX_RANK = 4


def clock_safe_wait_s(seconds: float, rate_error: float) -> float:
    """Return how long to wait until ``seconds`` have passed on any other VM's clock.

    That clock may be slow, and this VM's own fast, by the rate error.
    """
    return seconds * (1 + rate_error) / (1 - rate_error)


class LeaseTerminator:
    """Ends leases at once on proof, else after they have expired by any clock.

    ``holder`` is this VM's own ``LeaseKeeper``.
    """

    def __init__(
        self,
        *,
        settings,
        timers,
        events,
        store,
        members,
        holder,
        registrations: RegistrationTable,
        counters: CounterTable,
    ):
        self._settings = settings
        self._timers = timers
        self._events = events
        self._store = store
        self._members = members
        self._holder = holder
        self._registrations = registrations
        self._counters = counters
        self._vm = settings["VM_NAME"]
        self._data_centre = settings["DATA_CENTRE"]
        self._renew_s = settings["LEASE_RENEW_S"]
        self._suspect_since: dict[str, float] = {}
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to check for leases to end."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop ending leases."""
        if self._task is not None:
            self._task.cancel()

    async def end(
        self, vm: str, incarnation: str, proof: str | None
    ) -> Result[None, Failure]:
        """End a lease if that is safe now; see ``LeaseKeeper.end``."""
        seen = self._registrations.seen(incarnation)
        if seen is None:
            return Ok(None)
        if proof in STOP_PROOFS:
            return await self.write_end(seen, proof, None)
        if seen.registration.state == ENDED:
            return Ok(None)
        left_s = self._remaining_s(seen)
        if left_s > 0:
            detail = f"{vm} may still hold its lease; it has not expired on its clock"
            return Err(Failure(ErrorKind.NOT_READY, detail, left_s))
        known = self._counters.seen(incarnation)
        counter = known.counter if known is not None else NO_COUNTER
        return await self.write_end(seen, SILENT, counter)

    async def write_end(
        self, seen: SeenRegistration, proof: str, counter: int | None
    ) -> Result[None, Failure]:
        """Remove the lease, then mark the registration ended.

        The first write ends the lease: every later renewal fails. If this VM dies
        between the two writes, another VM finds the lease gone and does the second.
        """
        registration = seen.registration
        incarnation = registration.incarnation
        removed = await self._store.update(
            renewal_kind(registration.data_centre),
            seen.shard,
            lambda value: with_removed(value, incarnation, counter),
        )
        if removed.is_err():
            return removed
        self._counters.apply(removed.ok_value)
        if incarnation in counters_of(removed.ok_value):
            return Err(Failure(ErrorKind.VERSION_CONFLICT, "the lease was renewed"))
        marked = await self._store.update(
            KIND, seen.shard, lambda value: with_ended(value, incarnation, proof)
        )
        if marked.is_err():
            return marked
        self._registrations.apply(marked.ok_value)
        self._events.emit(EventKind.VM_ENDED, incarnation, proof=proof)
        return Ok(None)

    async def _run(self) -> None:
        while True:
            await self._timers.sleep(min(self._renew_s / 4, 0.25))
            if not self._registrations.synced or not self._holder.held():
                continue
            try:
                await self._sweep()
            except Exception:
                # A bug that concerns one VM must not keep all other leases for ever.
                logger.exception("ending leases failed; it is retried")

    async def _sweep(self) -> None:
        """End the leases that have expired or whose VMs are proved gone.

        Other VMs wait by their rank in the rendezvous order, so that not all write at
        once; each goes ahead if those before it have not.
        """
        now = self._timers.now()
        suspects = {}
        for seen, proof in self._suspects():
            registration = seen.registration
            incarnation = registration.incarnation
            since = self._suspect_since.get(incarnation, now)
            suspects[incarnation] = since
            if now - since < self._rank_for(registration) * self._renew_s / 2:
                continue
            ended = await self.end(registration.vm, incarnation, proof)
            if ended.is_ok():
                continue
            # Retry one renewal interval later, not at the next sweep.
            suspects[incarnation] = now + self._renew_s
            if ended.err_value.kind is ErrorKind.STORE_UNAVAILABLE:
                suspects = {**self._suspect_since, **suspects}
                break
        self._suspect_since = suspects
        await self._prune(now)

    def _suspects(self) -> list[tuple[SeenRegistration, str | None]]:
        # In a store outage no counter changes, and the first VM to renew afterwards
        # would end all others. It waits one lease time, in which they can renew.
        held_for_s = self._timers.now() - self._holder.held_since
        held_long = held_for_s >= self._settings["LEASE_S"]
        suspects = []
        for seen in self._registrations.live():
            registration = seen.registration
            if registration.incarnation == self._holder.incarnation:
                continue
            proof = self._proof_gone(registration)
            silent = held_long and self._is_watched(registration)
            if proof is not None or (silent and self._remaining_s(seen) <= 0):
                suspects.append((seen, proof))
        for seen in self._registrations.ended_without_proof():
            registration = seen.registration
            proof = self._proof_gone(registration)
            if proof is not None:
                suspects.append((seen, proof))
        return suspects

    def _proof_gone(self, registration: Registration) -> str | None:
        process = process_of(registration.incarnation)
        return self._members.proof_gone(registration.vm, process)

    def _is_watched(self, registration: Registration) -> bool:
        """Whether this VM may end another for its silence.

        VMs watch the counters of their own data centre. If a data centre has no live VM
        left, the others end its leases; their first attempt reads its counters, from
        when the silence is measured.
        """
        if registration.data_centre == self._data_centre:
            return True
        return not self._members.in_data_centre(registration.data_centre)

    def _rank_for(self, registration: Registration) -> int:
        names = set(self._members.in_data_centre(registration.data_centre))
        names.discard(registration.vm)
        names = names or set(self._members.live_vms())
        order = rendezvous(registration.incarnation, names)
        rank = order.index(self._vm) if self._vm in order else MAX_RANK
        return min(rank, MAX_RANK)

    def _remaining_s(self, seen: SeenRegistration) -> float:
        """Return the seconds until a lease has surely expired on its holder's clock."""
        known = self._counters.seen(seen.registration.incarnation)
        since = known.since if known is not None else seen.since
        error = self._settings["CLOCK_RATE_ERROR"]
        wait = clock_safe_wait_s(self._settings["LEASE_S"], error)
        return since + wait - self._timers.now()

    async def _prune(self, now: float) -> None:
        """Remove old entries, if this VM does so for its data centre.

        These are registrations proved stopped, and leases whose VMs died before they
        registered. A VM that was only frozen finds its lease gone at its next renewal.
        """
        names = self._members.in_data_centre(self._data_centre)
        if not names or rendezvous("tidy", names)[0] != self._vm:
            return
        oldest = now - ENDED_RETENTION_LEASES * self._settings["LEASE_S"]
        prunable = self._registrations.prunable(self._data_centre, oldest)
        for shard, pruned in prunable.items():
            pruning = await self._store.update(
                KIND, shard, lambda value, p=pruned: with_pruned(value, p)
            )
            if pruning.is_ok():
                self._registrations.apply(pruning.ok_value)
        for incarnation, known in self._counters.all().items():
            if known.since > oldest or self._registrations.seen(incarnation):
                continue
            await self._store.update(
                renewal_kind(self._data_centre),
                known.shard,
                lambda value, i=incarnation, c=known.counter: with_removed(value, i, c),
            )
