"""Batches lease renewals of a data centre's VMs into one store write.

Any VM can be the aggregator that answers ``RenewLease``; the requester chooses it.
Renewals that arrive within ``batch_s`` go into one conditional update per object, so
the number of writes does not grow with the number of VMs of a data centre.
"""

import asyncio

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..messages import Failed, LeaseRenewed, RenewLease
from ..tasks import TaskSet
from .renewal_objects import CounterTable, counters_of, with_renewed


class RenewalBatcher:
    """Batches the renewals of a data centre's VMs into one write per object."""

    def __init__(self, *, store, timers, kind: str, counters: CounterTable, batch_s):
        self._store = store
        self._timers = timers
        self._kind = kind
        self._counters = counters
        self._batch_s = batch_s
        self._waiting: dict[str, dict[str, tuple[int, asyncio.Future]]] = {}
        self._tasks = TaskSet()

    def stop(self) -> None:
        """Discard the open batches; the requesters then write by themselves."""
        self._tasks.cancel()

    async def handle(self, sender, message: RenewLease) -> LeaseRenewed | Failed:
        """Handle a renewal; answer when it is in the store."""
        renewed = await self.renew(message.incarnation, message.counter)
        if renewed.is_ok():
            return LeaseRenewed(message.counter)
        failure = renewed.err_value
        return Failed(failure.kind.value, failure.detail, failure.retry_after_s)

    async def renew(self, incarnation: str, counter: int) -> Result[None, Failure]:
        """Renew a lease together with others that arrive within ``batch_s``."""
        seen = self._counters.seen(incarnation)
        if seen is None:
            return Err(
                Failure(
                    ErrorKind.NOT_FOUND,
                    f"no lease of {incarnation} is known to this VM",
                )
            )
        if seen.shard not in self._waiting:
            self._waiting[seen.shard] = {}
            self._tasks.spawn(self._write_batch(seen.shard))
        future = asyncio.get_running_loop().create_future()
        replaced = self._waiting[seen.shard].get(incarnation)
        if replaced is not None:
            newer = Failure(
                ErrorKind.VERSION_CONFLICT,
                "replaced by a newer renewal of the same lease",
            )
            _settle(replaced[1], Err(newer))
        self._waiting[seen.shard][incarnation] = (counter, future)
        return await future

    async def write(self, shard: str, counters: dict[str, int]) -> Result:
        """Write renewals at once and return the object as stored."""
        written = await self._store.update(
            self._kind, shard, lambda value: with_renewed(value, counters)
        )
        if written.is_ok():
            self._counters.apply(written.ok_value)
        return written

    async def _write_batch(self, shard: str) -> None:
        try:
            await self._timers.sleep(self._batch_s)
        finally:
            waiting = self._waiting.pop(shard)
        counters = {key: counter for key, (counter, _) in waiting.items()}
        written = await self.write(shard, counters)
        for incarnation, (counter, future) in waiting.items():
            _settle(future, outcome_of(written, incarnation, counter))


def outcome_of(written: Result, incarnation: str, counter: int) -> Result:
    """Return from the object as stored whether it contains one renewal."""
    if written.is_err():
        return written
    counters = counters_of(written.ok_value)
    if incarnation not in counters:
        return Err(
            Failure(ErrorKind.STALE_FENCE, f"the lease of {incarnation} was ended")
        )
    if counters[incarnation] < counter:
        return Err(
            Failure(
                ErrorKind.VERSION_CONFLICT,
                "the store still has an older counter of the lease",
            )
        )
    return Ok(None)


def _settle(future: asyncio.Future, outcome: Result) -> None:
    if not future.done():
        future.set_result(outcome)
