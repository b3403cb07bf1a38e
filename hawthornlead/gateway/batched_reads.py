"""Reads of single objects of the store that are requested at once, as one listing.

A VM that finds many engines without an owner checks all of them at once. After a power
cut all VMs do, and one call for each engine would exceed the store's rate::

    reads = BatchedReads(client, "hawthornlead-owners")
    found = await reads.get("engine-3")
"""

import asyncio

from result import Result

from ..errors import Failure
from ..tasks import TaskSet
from .records import StoredRecord
from .store_clients import StoreClient

# From so many objects on, a listing costs fewer calls, also with a second page.
MIN_LISTED = 4

Found = Result[StoredRecord | None, Failure]


class BatchedReads:
    """Reads of the objects of one kind."""

    def __init__(self, client: StoreClient, kind: str):
        self._client = client
        self._kind = kind
        self._requested: dict[str, asyncio.Future[Found]] = {}
        self._tasks = TaskSet()

    async def get(self, name: str) -> Found:
        """Return one object as it is after this call, None if there is none.

        A read that was sent before is not joined, since it may miss what the caller
        knows of already.
        """
        if not self._requested:
            self._tasks.spawn(self._read_requested())
        answer = self._requested.get(name)
        if answer is None:
            answer = asyncio.get_running_loop().create_future()
            self._requested[name] = answer
        return await asyncio.shield(answer)

    async def _read_requested(self) -> None:
        # All that is requested in this turn of the event loop is read together.
        await asyncio.sleep(0)
        requested, self._requested = self._requested, {}
        found = await self._list() if len(requested) >= MIN_LISTED else None
        for name, answer in requested.items():
            if found is None or (found.is_ok() and name not in found.ok_value):
                self._tasks.spawn(self._read_one(name, answer))
                continue
            answer.set_result(found.map(lambda records, name=name: records[name]))

    async def _list(self) -> Result[dict[str, StoredRecord], Failure]:
        listed = await self._client.list_all(self._kind)
        return listed.map(lambda page: {record.name: record for record in page.events})

    async def _read_one(self, name: str, answer: asyncio.Future[Found]) -> None:
        answer.set_result(await self._client.get(self._kind, name))
