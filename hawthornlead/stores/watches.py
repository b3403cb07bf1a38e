"""Watches of all objects of a kind, across lost connections, outages and silence.

A watch lists its kind, reports each object, and then reads the store's watch from
that version on. It never reports an object older than one that it has reported.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable

from loguru import logger
from result import Result

from ..errors import Failure
from ..timers import TimerService
from .stored_objects import StoredObject, StoreList, WatchEvent, WatchLine

MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0


class WatchGone(Exception):  # noqa: N818 - it is an answer, not an error
    """The store no longer knows the version to resume from: list again."""


class WatchSource:
    """The store methods that a ``Watch`` uses."""

    async def list(self, kind: str) -> Result[StoreList, Failure]:
        """Read all objects of a kind."""
        raise NotImplementedError

    def open_watch(self, kind: str, since: int) -> AsyncIterator[WatchLine]:
        """Open one connection that streams the changes after ``since``.

        The iterator raises ``WatchGone`` if the store's history no longer reaches
        back to ``since``, ``OSError`` if the store does not answer, and ends when the
        connection closes.
        """
        raise NotImplementedError


class Watch:
    """One watch on one kind, until ``cancel``."""

    def __init__(
        self,
        kind: str,
        on_event: Callable[[WatchEvent], None],
        on_synced: Callable[[], None] | None,
        *,
        source: WatchSource,
        timers: TimerService,
        rng: random.Random,
        silence_timeout_s: float,
        relist_interval_s: float,
    ):
        self._kind = kind
        self._on_event = on_event
        self._on_synced = on_synced
        self._source = source
        self._timers = timers
        self._rng = rng
        self._silence_timeout_s = silence_timeout_s
        self._relist_interval_s = relist_interval_s
        self._newest: dict[str, int] = {}
        self._live: set[str] = set()
        self._listed_version = -1
        self._listed_at = float("-inf")
        self._since = -1
        self._last_seen_at = timers.now()
        self._connection: asyncio.Task | None = None
        self._retry_s = MIN_RETRY_S
        self._check = timers.every(silence_timeout_s / 4, self._check_silence, "watch")
        self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def synced(self) -> bool:
        """Whether the kind has been listed at least once."""
        return self._listed_version >= 0

    @property
    def last_seen_at(self) -> float:
        """When the store last sent anything on this watch (``timers.now()``)."""
        return self._last_seen_at

    def cancel(self) -> None:
        """End the watch; nothing is reported afterwards."""
        self._check.cancel()
        self._task.cancel()
        if self._connection is not None:
            self._connection.cancel()

    async def _run(self) -> None:
        while True:
            if await self._list_if_due():
                await self._follow_once()
            # Full jitter, so that not all watches reconnect at the same instant
            # after an outage.
            await self._timers.sleep(self._rng.uniform(0, self._retry_s))
            self._retry_s = min(self._retry_s * 2, MAX_RETRY_S)

    async def _list_if_due(self) -> bool:
        # Reading the watch can't detect that the store left out an event, so the
        # kind is also listed again every ``relist_interval_s``.
        if (
            self.synced
            and self._timers.now() - self._listed_at < self._relist_interval_s
        ):
            return True
        listed = await self._source.list(self._kind)
        if listed.is_err():
            return False
        self._apply_list(listed.ok_value)
        return True

    def _apply_list(self, listed: StoreList) -> None:
        if listed.version < self._since:
            # An answer older than what was already reported (a late reply, or a
            # lagging replica) would bring deleted objects back.
            return
        present = {item.name for item in listed.items}
        for item in listed.items:
            self._apply_put(item)
        for name in sorted(self._live - present):
            if self._newest[name] <= listed.version:
                self._apply_delete(name, listed.version)
        self._newest = {name: self._newest[name] for name in self._live}
        self._listed_version = self._since = listed.version
        self._listed_at = self._timers.now()
        if self._on_synced is not None:
            self._on_synced()

    async def _follow_once(self) -> None:
        self._last_seen_at = self._timers.now()
        self._connection = asyncio.get_running_loop().create_task(self._read())
        await asyncio.wait({self._connection})
        task, self._connection = self._connection, None
        if task.cancelled():
            logger.info(
                "watch of {} received nothing in time, opening a new one", self._kind
            )
            return
        error = task.exception()
        if isinstance(error, WatchGone):
            self._listed_at = float("-inf")
            return
        if error is not None and not isinstance(error, OSError):
            logger.opt(exception=error).error("watch of {} failed", self._kind)

    async def _read(self) -> None:
        lines = self._source.open_watch(self._kind, self._since)
        async with contextlib.aclosing(lines):
            async for line in lines:
                self._last_seen_at = self._timers.now()
                self._retry_s = MIN_RETRY_S
                self._apply_line(line)

    def _apply_line(self, line: WatchLine) -> None:
        if line.type == "put":
            self._apply_put(
                StoredObject(self._kind, line.name, line.version, line.value or {})
            )
        elif line.type == "delete":
            self._apply_delete(line.name, line.version)
        self._since = max(self._since, line.version)

    def _apply_put(self, item: StoredObject) -> None:
        if not self._advance(item.name, item.version):
            return
        self._live.add(item.name)
        self._notify(WatchEvent("put", item))

    def _apply_delete(self, name: str, version: int) -> None:
        if not self._advance(name, version):
            return
        self._live.discard(name)
        self._notify(WatchEvent("delete", StoredObject(self._kind, name, version, {})))

    def _advance(self, name: str, version: int) -> bool:
        # An event older than a reported one arrives when a connection thought dead
        # still delivers, or when a list overtakes the stream.
        if version <= self._newest.get(name, self._listed_version):
            return False
        self._newest[name] = version
        return True

    def _notify(self, event: WatchEvent) -> None:
        try:
            self._on_event(event)
        except Exception:
            # A bug in the callback must not end its watch silently.
            logger.exception("callback of the watch of {} failed", self._kind)

    def _check_silence(self) -> None:
        # A network device may drop the state of an open connection, which then stays
        # open and silent forever while new ones work. The store sends bookmarks when
        # idle, so silence means such a connection.
        if self._timers.now() - self._last_seen_at < self._silence_timeout_s:
            return
        if self._connection is not None:
            self._connection.cancel()
