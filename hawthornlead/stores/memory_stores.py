"""A store in memory, with switchable faults, for tests and embedding.

Several VMs in one process share one ``MemoryObjects`` through a ``MemoryStore``
each, so that each can have its own clock and its own faults::

    objects = MemoryObjects()
    store = MemoryStore(objects, settings=settings, timers=timers, rng=rng)
    store.lose_next_reply = 1
"""

import asyncio
import copy
import json
from collections.abc import AsyncIterator

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from .stored_objects import StoredObject, StoreList, WatchLine
from .stores import MAX_VALUE_BYTES, ObjectStore, unavailable
from .watches import WatchGone

_CLOSED = WatchLine("closed", 0)


class MemoryObjects:
    """Objects shared by several ``MemoryStore`` clients; counts reads and writes."""

    def __init__(self, history: int = 10000):
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._history: list[tuple[str, WatchLine]] = []
        self._history_size = history
        self._truncated_at = 0
        self._version = 0
        self._watchers: list[tuple[str, asyncio.Queue]] = []
        self.outage = False
        self.reads = 0
        self.writes = 0

    @property
    def version(self) -> int:
        """The version of the newest write."""
        return self._version

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        self.reads += 1
        return copy.deepcopy(self._objects.get((kind, name)))

    def list(self, kind: str) -> StoreList:
        """Read all objects of a kind."""
        self.reads += 1
        items = [item for key, item in self._objects.items() if key[0] == kind]
        return StoreList(self._version, copy.deepcopy(tuple(items)))

    def write(
        self, kind: str, name: str, value: dict | None, version: int | None
    ) -> Result[StoredObject, Failure]:
        """Put a value, or delete if it is None, provided the version still matches."""
        self.writes += 1
        current = self._objects.get((kind, name))
        if (current and current.version) != version:
            return Err(Failure(ErrorKind.VERSION_CONFLICT, "another write came first"))
        if value is not None and len(json.dumps(value)) > MAX_VALUE_BYTES:
            return Err(Failure(ErrorKind.TOO_LARGE, "the value is over 1 MiB"))
        self._version += 1
        stored = StoredObject(kind, name, self._version, copy.deepcopy(value or {}))
        if value is None:
            del self._objects[(kind, name)]
        else:
            self._objects[(kind, name)] = stored
        self._publish(kind, "delete" if value is None else "put", stored)
        return Ok(copy.deepcopy(stored))

    def subscribe(self, kind: str, since: int) -> asyncio.Queue:
        """Return a queue of the lines after ``since``, or raise ``WatchGone``."""
        if since < self._truncated_at:
            raise WatchGone
        queue: asyncio.Queue = asyncio.Queue()
        for line_kind, line in self._history:
            if line_kind == kind and line.version > since:
                queue.put_nowait(line)
        self._watchers.append((kind, queue))
        return queue

    def unsubscribe(self, queue: asyncio.Queue) -> None:
        """Stop sending lines to a queue."""
        self._watchers = [w for w in self._watchers if w[1] is not queue]

    def forget_history(self) -> None:
        """Discard the history, so a watch can't resume from before now."""
        self._history.clear()
        self._truncated_at = self._version

    def _publish(self, kind: str, change: str, stored: StoredObject) -> None:
        line = WatchLine(change, stored.version, stored.name, stored.value)
        self._history.append((kind, line))
        if len(self._history) > self._history_size:
            self._truncated_at = self._history.pop(0)[1].version
        for watched, queue in self._watchers:
            if watched == kind:
                queue.put_nowait(copy.deepcopy(line))


class MemoryStore(ObjectStore):
    """One VM's client of a ``MemoryObjects``.

    Faults: ``outage`` (no call is answered), ``slow_s`` (each call takes that long),
    ``lose_next_reply`` (the replies to this many writes are lost, although they take
    effect), ``silence_watches`` (open watches receive nothing more, new ones do).
    """

    def __init__(
        self,
        objects: MemoryObjects | None = None,
        *,
        settings,
        timers,
        rng,
        events=None,
        metrics=None,
    ):
        super().__init__(
            settings=settings, timers=timers, rng=rng, events=events, metrics=metrics
        )
        self.objects = objects if objects is not None else MemoryObjects()
        self.outage = False
        self.slow_s = 0.0
        self.lose_next_reply = 0
        self._queues: list[asyncio.Queue] = []

    def silence_watches(self) -> None:
        """Stop sending lines to the watches that are open now."""
        for queue in self._queues:
            self.objects.unsubscribe(queue)

    def cut_watches(self) -> None:
        """Close the connections of the watches that are open now."""
        for queue in self._queues:
            queue.put_nowait(_CLOSED)

    async def open_watch(self, kind: str, since: int) -> AsyncIterator[WatchLine]:
        """Stream the changes after ``since``, with periodic bookmarks."""
        await self._delay()
        if self._is_out():
            raise OSError("store: outage")
        queue = self.objects.subscribe(kind, since)
        self._queues.append(queue)
        interval = self._settings["WATCH_SILENT_S"] / 4
        bookmark = self._timers.every(
            interval, lambda: self._send_bookmark(queue), "bookmark"
        )
        try:
            while (line := await queue.get()) is not _CLOSED:
                if self._is_out():
                    raise OSError("store: outage")
                yield line
        finally:
            bookmark.cancel()
            self._queues.remove(queue)
            self.objects.unsubscribe(queue)

    def _send_bookmark(self, queue: asyncio.Queue) -> None:
        if any(queue is followed for _, followed in self.objects._watchers):
            queue.put_nowait(WatchLine("bookmark", self.objects.version))

    def _is_out(self) -> bool:
        return self.outage or self.objects.outage

    async def _delay(self) -> None:
        await asyncio.sleep(0)
        if self.slow_s:
            await self._timers.sleep(self.slow_s)

    async def _get(self, kind, name) -> Result[StoredObject | None, Failure]:
        await self._delay()
        if self._is_out():
            return Err(unavailable("store: outage", False))
        return Ok(self.objects.get(kind, name))

    async def _list(self, kind) -> Result[StoreList, Failure]:
        await self._delay()
        if self._is_out():
            return Err(unavailable("store: outage", False))
        return Ok(self.objects.list(kind))

    async def _put(self, kind, name, value, version) -> Result[StoredObject, Failure]:
        return await self._write(kind, name, value, version)

    async def _delete(self, kind, name, version) -> Result[None, Failure]:
        return (await self._write(kind, name, None, version)).map(lambda _: None)

    async def _write(self, kind, name, value, version) -> Result:
        await self._delay()
        if self._is_out():
            return Err(unavailable("store: outage", True))
        written = self.objects.write(kind, name, value, version)
        if self.lose_next_reply > 0 and written.is_ok():
            self.lose_next_reply -= 1
            return Err(unavailable("store: the reply was lost", True))
        return written
