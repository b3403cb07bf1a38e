"""This VM's record of where streams may have begun, written before they begin.

::

    ledger = OriginLedger(vm="gijon-1", client=client, timers=timers, wanted=wanted,
                         interval_s=lambda: 0.1)
    ledger.start(again=False)
    if await ledger.ensure(key, origin):
        send()
    ledger.add_stream("9c41", key, origin, until=timers.now() + 20.0)
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..eras.dated_revisions import era_of
from ..errors import ErrorKind
from ..gateway.records import StoredRecord
from ..gateway.store_clients import StoreClient
from ..tasks import TaskSet
from ..timers import TimerService
from ..waits import Signal
from .origin_records import (
    ORIGINS_KIND,
    OriginRecord,
    RouteHistory,
    RouteKey,
    origin_spec,
    read_origin_record,
)
from .origin_tables import ORIGIN_TTL_S, StreamOrigin

# Longer than a stream can last and be resumed. After it, a version that this VM no
# longer uses began none of the streams that may still be resumed.
LASTING_S = ORIGIN_TTL_S
# How long a request waits until the version that it would begin at is recorded. The
# store answers in a few milliseconds.
ENSURE_TIMEOUT_S = 0.3
# How often it is checked whether other versions or routes are in use.
POLL_S = 0.2
RETRY_S = 0.4
# A record that isn't renewed for long is of a VM that is gone, and is removed. So a VM
# relies on its own only if the store has accepted it since, which may be away for long.
RENEW_S = 1200.0
VALID_S = 3600.0
# So many writes may follow one another at MIN_INTERVAL_S if there were few before.
BURST = 4
MIN_INTERVAL_S = 0.1
# The newest streams of one object, some 80 kB.
MAX_STREAMS = 4000
# The deadlines of streams that a former process of this VM recorded aren't recorded.
# So they are kept for longer than callers wait.
INHERITED_S = 30.0


class RouteOrigin(NamedTuple):
    """A route, and where its streams may begin."""

    key: RouteKey
    origin: StreamOrigin


class _Stream(NamedTuple):
    key: RouteKey | None
    origin: StreamOrigin
    until: float


class OriginLedger:
    """Writes this VM's object, which only this VM writes.

    ``wanted`` returns where streams may begin by the configuration and the targets that
    this VM knows, and ``interval_s`` the time between two writes on the mean.
    """

    def __init__(
        self,
        *,
        vm: str,
        client: StoreClient,
        timers: TimerService,
        wanted: Callable[[], Iterable[RouteOrigin]],
        interval_s: Callable[[], float],
    ):
        self._vm = vm
        self._client = client
        self._timers = timers
        self._wanted = wanted
        self._interval_s = interval_s
        # When each was last in use, and when a route's history is complete again.
        self._used: dict[RouteOrigin, float] = {}
        self._complete_at: dict[RouteKey, float] = {}
        # When all streams are over that began before this process, or in a former era.
        self._settled_at = 0.0
        self._streams: dict[str, _Stream] = {}
        self._stored: StoredRecord | None = None
        self._accepted: OriginRecord | None = None
        self._accepted_at = float("-inf")
        self._failing = False
        # When the next write would be due if all came at the mean interval.
        self._due_at = 0.0
        self._changed = Signal()
        self._written = Signal()
        self._tasks = TaskSet()

    @property
    def recorded_streams(self) -> int:
        """The number of streams that the store's object names."""
        return len(self._accepted.streams) if self._accepted else 0

    def start(self, again: bool) -> None:
        """Read what a former process of this VM stated, and write from then on.

        ``again`` tells whether one registered before. If it left no record, it may have
        been of a build that keeps none.
        """
        self._client.eras.subscribe(self._on_new_era)
        self._tasks.spawn(self._run(again))

    def stop(self) -> None:
        """Stop writing."""
        self._tasks.cancel()

    def covers(self, key: RouteKey, origin: StreamOrigin) -> bool:
        """Whether the store has accepted that streams of a route may begin there."""
        if self._timers.now() - self._accepted_at >= VALID_S:
            return False
        history = self._accepted.routes.get(key)
        return history is not None and origin in history.began

    async def ensure(self, key: RouteKey, origin: StreamOrigin) -> bool:
        """Record that streams of a route may begin somewhere; False if it isn't yet.

        A stream that begins without that could go on at another version later.
        """
        if self.covers(key, origin):
            return True
        self._used[RouteOrigin(key, origin)] = self._timers.now()
        self._changed.fire()
        until = self._timers.now() + ENSURE_TIMEOUT_S
        while not self._failing and self._timers.now() < until:
            await self._written.wait(self._timers, until - self._timers.now())
            if self.covers(key, origin):
                return True
        return False

    def add_stream(
        self, request: str, key: RouteKey, origin: StreamOrigin, until: float
    ) -> None:
        """Note where a stream began; its caller may resume it until then."""
        self._streams.pop(request, None)
        self._streams[request] = _Stream(key, origin, until)
        if len(self._streams) > MAX_STREAMS:
            del self._streams[next(iter(self._streams))]
        if not self._is_certain(key):
            self._changed.fire()

    # What is stated

    def _is_certain(self, key: RouteKey) -> bool:
        accepted = self._accepted
        history = accepted.routes.get(key) if accepted is not None else None
        return history is not None and history.certain

    def _refresh(self) -> None:
        """Note what is in use now, and drop what has been out of use for long."""
        now = self._timers.now()
        for route_origin in self._wanted():
            self._used[route_origin] = now
        for route_origin, used_at in tuple(self._used.items()):
            if now - used_at > LASTING_S:
                del self._used[route_origin]
        for request, stream in tuple(self._streams.items()):
            if stream.until <= now:
                del self._streams[request]

    def _state(self) -> OriginRecord:
        """Return what is to be stated now."""
        now = self._timers.now()
        began: dict[RouteKey, set[StreamOrigin]] = {}
        for key, origin in self._used:
            began.setdefault(key, set()).add(origin)
        routes = {}
        for key, origins in began.items():
            complete_at = max(self._settled_at, self._complete_at.get(key, 0.0))
            routes[key] = RouteHistory(now >= complete_at, frozenset(origins))
        streams = {}
        for request, stream in self._streams.items():
            history = routes.get(stream.key)
            if history is None or not history.certain:
                streams[request] = stream.origin
        return OriginRecord(self._vm, self._client.eras.current, routes, streams)

    def _is_due(self, state: OriginRecord) -> bool:
        accepted = self._accepted
        if accepted is None or self._failing:
            return True
        if self._timers.now() - self._accepted_at >= RENEW_S:
            return True
        if (state.era, state.routes) != (accepted.era, accepted.routes):
            return True
        return not state.streams.keys() <= accepted.streams.keys()

    # The store

    async def _run(self, again: bool) -> None:
        while not await self._load(again):
            await self._timers.sleep(RETRY_S)
        while True:
            self._refresh()
            state = self._state()
            if not self._is_due(state):
                await self._changed.wait(self._timers, POLL_S)
                continue
            self._failing = not await self._write(state)
            self._written.fire()
            pause_s = RETRY_S if self._failing else self._pause_s()
            await self._timers.sleep(pause_s)

    def _pause_s(self) -> float:
        """Return the pause after a write, the shortest one within a burst."""
        now, interval_s = self._timers.now(), self._interval_s()
        self._due_at = max(now, self._due_at) + interval_s
        return max(MIN_INTERVAL_S, self._due_at - BURST * interval_s - now)

    async def _load(self, again: bool) -> bool:
        """Take over what a former process of this VM stated."""
        found = await self._client.get(ORIGINS_KIND, self._vm)
        if found.is_err():
            return False
        self._stored, now = found.ok_value, self._timers.now()
        if self._stored is None:
            self._settled_at = now + LASTING_S if again else 0.0
            return True
        try:
            former = read_origin_record(self._stored)
        except ValueError:
            self._settled_at = now + LASTING_S
            return True
        if former.era != era_of(self._stored.revision):
            self._settled_at = now + LASTING_S
        for key, history in former.routes.items():
            if not history.complete:
                self._complete_at[key] = now + LASTING_S
            for origin in history.began:
                self._used[RouteOrigin(key, origin)] = now
        for request, origin in former.streams.items():
            self._streams[request] = _Stream(None, origin, now + INHERITED_S)
        return True

    async def _write(self, state: OriginRecord) -> bool:
        """Write the object; without an answer the next write reads it first."""
        self._drop_unstated(state)
        sent_at, spec = self._timers.now(), origin_spec(state)
        if self._stored is None:
            written = await self._client.create(ORIGINS_KIND, self._vm, spec)
        else:
            revision = self._stored.revision
            written = await self._client.replace(ORIGINS_KIND, self._vm, spec, revision)
        if written.is_err():
            await self._read_again(written.err_value.kind)
            return False
        self._stored = written.ok_value
        self._accepted, self._accepted_at = state, sent_at
        return True

    def _drop_unstated(self, state: OriginRecord) -> None:
        """Rely no more on what a write leaves out, whether it is answered or not."""
        accepted = self._accepted
        if accepted is None:
            return
        routes = {}
        for key, history in accepted.routes.items():
            stated = state.routes.get(key)
            if stated is not None:
                began = history.began & stated.began
                routes[key] = history._replace(began=began)
        self._accepted = accepted._replace(routes=routes)

    async def _read_again(self, cause: ErrorKind) -> None:
        """Read the object's revision after a write that may have been accepted."""
        found = await self._client.get(ORIGINS_KIND, self._vm)
        if found.is_err():
            return
        self._stored = found.ok_value
        if cause is ErrorKind.VERSION_CONFLICT:
            self._changed.fire()

    def _on_new_era(self) -> None:
        """State all of it again; what the store has lost may be resumed for a while."""
        self._settled_at = self._timers.now() + LASTING_S
        self._changed.fire()
