"""Where streams began, by what all VMs have stated in the platform's store.

::

    lookups = OriginLookups(client=client, timers=timers, vms=memberships.live,
                            pause_s=lambda: 0.02, on_streams=origins.learn)
    origin = await lookups.find("office.example", "/resume/x", "9c41")
"""

import asyncio
from collections.abc import Callable, Collection, Mapping

from ..eras.dated_revisions import era_of
from ..gateway.store_clients import StoreClient
from ..tasks import TaskSet
from ..timers import TimerService
from .origin_records import (
    ORIGINS_KIND,
    OriginRecord,
    find_stream,
    prove_origin,
    read_origin_record,
)
from .origin_tables import StreamOrigin


class _Listing:
    """The records of all VMs as the store had them at one time."""

    def __init__(
        self,
        era: int = 0,
        records: Mapping[str, OriginRecord] | None = None,
        unreadable: int = 0,
    ):
        self.era = era
        self.records = records or {}
        # Without them nothing is certain of the versions that no stream began at.
        self.complete = records is not None and not unreadable


class OriginLookups:
    """Lists the records for resumed streams of which no VM knows the origin.

    A listing shows where a stream may have begun only if it was begun after its caller
    came back, so each waits for the next one; those of one moment share it. There is a
    pause of ``pause_s`` between two. ``vms`` returns the VMs that serve. The streams
    that a listing names go to ``on_streams``.
    """

    def __init__(
        self,
        *,
        client: StoreClient,
        timers: TimerService,
        vms: Callable[[], Collection[str]],
        pause_s: Callable[[], float],
        on_streams: Callable[[Mapping[str, StreamOrigin]], None],
    ):
        self._client = client
        self._timers = timers
        self._vms = vms
        self._pause_s = pause_s
        self._on_streams = on_streams
        self._current: asyncio.Task | None = None
        self._next: asyncio.Task | None = None
        self._tasks = TaskSet()

    def stop(self) -> None:
        """Cancel what is under way."""
        self._tasks.cancel()

    def load(self) -> None:
        """Learn the streams of all VMs soon, as this one has just started."""
        self._tasks.spawn(self._list())

    async def find(self, host: str, path: str, request: str) -> StreamOrigin | None:
        """Return where a stream began, None if no record proves it.

        ``host`` may carry a port and ``path`` a query; ``request`` may be empty.
        """
        listing = await self._fresh_listing()
        by_id = find_stream(listing.records, request) if request else None
        if by_id is not None:
            return by_id
        if not listing.complete:
            return None
        host = host.partition(":")[0].lower()
        path = path.partition("?")[0]
        return prove_origin(listing.records, self._vms(), listing.era, host, path)

    async def _fresh_listing(self) -> _Listing:
        """Return a listing that begins after this call."""
        if self._next is None:
            self._next = self._tasks.spawn(self._list_next(self._current))
        return await asyncio.shield(self._next)

    async def _list_next(self, former: asyncio.Task | None) -> _Listing:
        if former is not None and not former.done():
            await asyncio.wait([former])
        await self._timers.sleep(self._pause_s())
        self._current, self._next = self._next, None
        return await self._list()

    async def _list(self) -> _Listing:
        listed = await self._client.list_all(ORIGINS_KIND)
        if listed.is_err():
            return _Listing()
        found = listed.ok_value
        records: dict[str, OriginRecord] = {}
        unreadable = found.skipped
        for stored in found.events:
            try:
                records[stored.name] = read_origin_record(stored)
            except ValueError:
                unreadable += 1
        for record in records.values():
            self._on_streams(record.streams)
        return _Listing(era_of(found.revision), records, unreadable)
