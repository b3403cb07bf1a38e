"""A client of the platform's object API, with reliable conditional updates.

A reply can be lost after its write took effect, and can arrive after a newer one.
``ObjectStore`` handles both: ``update`` recognizes its own write when it reads the
object back, and no answer is older than one returned before::

    def change(value):
        return {**(value or {}), "owner": "vm-1"}

    written = await store.update("owners", "3", change)
"""

import copy
from collections import OrderedDict
from collections.abc import Callable

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure
from ..events import EventKind
from .stored_objects import StoredObject, StoreList, WatchEvent
from .watches import Watch, WatchSource
from .write_ids import Fate, UncertainWrite, fate_of, stamp

__all__ = [
    "ObjectStore",
    "StoreList",
    "StoredObject",
    "WatchEvent",
    "may_have_taken_effect",
]

Change = Callable[[dict | None], dict | None]

MAX_VALUE_BYTES = 1 << 20
MAX_UPDATE_ATTEMPTS = 24
MAX_ATTEMPTS_AT_ONCE = 4
MAX_KNOWN_VERSIONS = 8192
MAX_READ_ATTEMPTS = 3
RETRY_AFTER_S = 1.0
_MAY_HAVE = "the write may have taken effect"
_HAS_NOT = "nothing was written"


def may_have_taken_effect(failure: Failure) -> bool:
    """Return whether a write with this failure may have taken effect."""
    return failure.kind is ErrorKind.STORE_UNAVAILABLE and _MAY_HAVE in failure.detail


def unavailable(what: str, sent_write: bool) -> Failure:
    """Return the failure of a call that the store did not answer."""
    effect = _MAY_HAVE if sent_write else _HAS_NOT
    return Failure(ErrorKind.STORE_UNAVAILABLE, f"{what}; {effect}", RETRY_AFTER_S)


class ObjectStore(WatchSource):
    """Base class of the clients ``HttpObjectStore`` and ``MemoryStore``.

    Subclasses implement ``_get``, ``_put``, ``_delete``, ``_list`` and
    ``open_watch``; this class makes their answers reliable.
    """

    def __init__(self, *, settings, timers, rng, events=None, metrics=None):
        self._settings = settings
        self._timers = timers
        self._rng = rng
        self._events = events
        self._metrics = metrics
        self._answered_at = float("-inf")
        self._lost = False
        self._versions: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._list_versions: dict[str, int] = {}
        self._watches: list[Watch] = []

    @property
    def answered_at(self) -> float:
        """When the last answered call was sent (``timers.now()``).

        The time of sending is used, since the answer may date from then.
        """
        return self._answered_at

    def start(self) -> None:
        """Do nothing; a store needs no start."""

    async def stop(self) -> None:
        """End all watches."""
        for watch in self._watches:
            watch.cancel()

    def watch(
        self,
        kind: str,
        on_event: Callable[[WatchEvent], None],
        on_synced: Callable[[], None] | None = None,
    ) -> Watch:
        """Call ``on_event`` for every object of a kind, then for every change.

        ``on_synced`` is called each time the kind has been listed completely.
        """
        watch = Watch(
            kind,
            on_event,
            on_synced,
            source=self,
            timers=self._timers,
            rng=self._rng,
            silence_timeout_s=self._settings["WATCH_SILENT_S"],
            relist_interval_s=self._settings["WATCH_RELIST_S"],
        )
        self._watches.append(watch)
        return watch

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, Failure]:
        """Read one object; None when there is none."""
        for _ in range(MAX_READ_ATTEMPTS):
            sent_at = self._timers.now()
            known = self._versions.get((kind, name), 0)
            got = self._record_call("get", sent_at, await self._get(kind, name))
            if got.is_err():
                return got
            if self._is_current(kind, name, known, got.ok_value):
                return got
        return Err(unavailable(f"{kind}/{name}: answers are older than known", False))

    async def put(
        self, kind: str, name: str, value: dict, version: int | None
    ) -> Result[StoredObject, Failure]:
        """Write one object if it still has ``version`` (None: does not exist)."""
        sent_at = self._timers.now()
        put = self._record_call(
            "put", sent_at, await self._put(kind, name, value, version)
        )
        if put.is_ok():
            self._record_version(kind, name, put.ok_value.version)
        return put

    async def delete(self, kind: str, name: str, version: int) -> Result[None, Failure]:
        """Delete one object if it still has ``version``."""
        sent_at = self._timers.now()
        return self._record_call(
            "delete", sent_at, await self._delete(kind, name, version)
        )

    async def list(self, kind: str) -> Result[StoreList, Failure]:
        """Read all objects of a kind."""
        for _ in range(MAX_READ_ATTEMPTS):
            sent_at = self._timers.now()
            listed = self._record_call("list", sent_at, await self._list(kind))
            if listed.is_err():
                return listed
            version = listed.ok_value.version
            if version >= self._list_versions.get(kind, 0):
                self._list_versions[kind] = version
                return listed
        return Err(unavailable(f"{kind}: lists are older than known", False))

    async def update(
        self, kind: str, name: str, change: Change
    ) -> Result[StoredObject, Failure]:
        """Read, change and write an object until the write is known to be effective.

        ``change`` gets the value (None: no such object) and returns the new one,
        or None when there is nothing to do; it may be called several times. The
        result is the object as stored. The change takes effect at most once.
        """
        write_id = f"{self._settings['VM_NAME']}.{self._rng.getrandbits(64):016x}"
        uncertain = None
        for attempt in range(MAX_UPDATE_ATTEMPTS):
            await self._wait_before(attempt)
            got = await self.get(kind, name)
            if got.is_err():
                return Err(uncertain.failure) if uncertain else got
            current = got.ok_value
            fate = fate_of(uncertain, current) if uncertain else Fate.FAILED
            if fate is Fate.TOOK_EFFECT:
                return Ok(current)
            if fate is Fate.UNKNOWN:
                return Err(uncertain.failure)
            if fate is Fate.FAILED:
                uncertain = None
            value = change(copy.deepcopy(current.value) if current else None)
            if value is None:
                return Ok(current or StoredObject(kind, name, 0, {}))
            tried = await self._try_write(current, kind, name, value, write_id)
            if not isinstance(tried, UncertainWrite):
                return tried
            uncertain = tried if may_have_taken_effect(tried.failure) else uncertain
        detail = f"{kind}/{name}: {MAX_UPDATE_ATTEMPTS} writes met another's"
        failure = Failure(ErrorKind.VERSION_CONFLICT, detail, RETRY_AFTER_S)
        return Err(uncertain.failure if uncertain else failure)

    async def _try_write(
        self, current: StoredObject | None, kind, name, value, write_id
    ) -> Result[StoredObject, Failure] | UncertainWrite:
        """Write once; after an ``UncertainWrite`` the object must be read again.

        The reply may have been lost after the write took effect: the next read shows
        it by the write id. A write still in transit takes effect only at the version
        that it names, so at most one of two tries at the same version does.
        """
        version = current.version if current else None
        stamped = stamp(value, current, write_id)
        put = await self.put(kind, name, stamped, version)
        if put.is_ok():
            return put
        kept = (ErrorKind.STORE_UNAVAILABLE, ErrorKind.VERSION_CONFLICT)
        if put.err_value.kind not in kept:
            return put
        return UncertainWrite(put.err_value, write_id, version, stamped["write_number"])

    async def _wait_before(self, attempt: int) -> None:
        if attempt < MAX_ATTEMPTS_AT_ONCE:
            return
        await self._timers.sleep(self._rng.uniform(0, 0.01 * attempt))

    async def _get(self, kind, name) -> Result[StoredObject | None, Failure]:
        raise NotImplementedError

    async def _put(self, kind, name, value, version) -> Result[StoredObject, Failure]:
        raise NotImplementedError

    async def _delete(self, kind, name, version) -> Result[None, Failure]:
        raise NotImplementedError

    async def _list(self, kind) -> Result[StoreList, Failure]:
        raise NotImplementedError

    def _is_current(self, kind, name, known: int, got: StoredObject | None) -> bool:
        """Return whether an answer is at least as new as the known version.

        A reply that was sent before another but arrives after it is older than the
        version recorded meanwhile. Returning it would show its reader older state.
        """
        remembered = self._versions.get((kind, name), 0)
        if got is None:
            return remembered == known
        if got.version < remembered:
            return False
        self._record_version(kind, name, got.version)
        return True

    def _record_version(self, kind: str, name: str, version: int) -> None:
        key = (kind, name)
        self._versions[key] = max(version, self._versions.get(key, 0))
        self._versions.move_to_end(key)
        if len(self._versions) > MAX_KNOWN_VERSIONS:
            self._versions.popitem(last=False)

    def _record_call(self, call: str, sent_at: float, outcome: Result) -> Result:
        lost = (
            outcome.is_err() and outcome.err_value.kind is ErrorKind.STORE_UNAVAILABLE
        )
        if not lost:
            self._answered_at = max(self._answered_at, sent_at)
        if lost != self._lost and self._events is not None:
            kind = EventKind.STORE_LOST if lost else EventKind.STORE_BACK
            detail = outcome.err_value.detail if lost else ""
            self._events.emit(kind, "store", detail=detail)
        self._lost = lost
        if self._metrics is not None:
            name = "ok" if outcome.is_ok() else outcome.err_value.kind.value
            self._metrics.store_calls.labels(call, name).inc()
        return outcome
