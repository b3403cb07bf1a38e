"""Stand-in of the platform's object API: versions, conditional updates, watches.

Faults: ``outage`` (every call answers 503 and open watches end), ``slow_s`` (each
call takes that long), ``lose_replies`` (that many next writes take effect and
their connection closes without an answer; -1: all), ``drop_events`` (that many
next events reach no watcher), ``force_410`` (that many next watches are refused as
too old), ``bookmark_s`` (seconds between bookmarks). Setting ``expire`` forgets all
past events and ends the open watches.
"""

import asyncio
import contextlib
import json
from collections import Counter, deque
from typing import NamedTuple

from .base import StandIn, StandInHandler, run_by_hand, stand_in

MAX_VALUE_BYTES = 1 << 20
KEPT_EVENTS = 10_000


class Stored(NamedTuple):
    """One object as stored."""

    kind: str
    name: str
    version: int
    value: dict


@stand_in("object_api")
class ObjectApiStandIn(StandIn):
    """The object API in memory, counting calls by kind."""

    FAULTS = {
        "outage": False,
        "slow_s": 0.0,
        "lose_replies": 0,
        "drop_events": 0,
        "force_410": 0,
        "bookmark_s": 1.0,
        "expire": False,
    }

    def __init__(self, **kwargs):
        self.objects: dict[tuple[str, str], Stored] = {}
        self.version = 0
        self.floor = 0
        self.events: deque[dict] = deque()
        self.calls: Counter = Counter()
        self.calls_of_kind: Counter = Counter()
        self.writes: deque[dict] = deque(maxlen=KEPT_EVENTS)
        self.watchers: set[asyncio.Event] = set()
        self.epoch = 0
        super().__init__(**kwargs)

    def routes(self) -> list:
        """Return the routes of the object API."""
        return [
            (r"/objects/([^/]+)", _KindHandler),
            (r"/objects/([^/]+)/(.+)", _ObjectHandler),
        ]

    def record(self) -> dict:
        """Return calls by kind and the newest writes."""
        return {
            "calls": dict(self.calls),
            "calls_of_kind": dict(self.calls_of_kind),
            "version": self.version,
            "writes": list(self.writes),
        }

    def faults_changed(self, changes: dict) -> None:
        """End open watches when an outage begins or events were forgotten."""
        if changes.get("expire"):
            self.faults["expire"] = False
            self.floor = self.version
            self.events.clear()
        if changes.get("outage") or changes.get("expire"):
            self.epoch += 1
            self._wake()

    def count(self, call: str, kind: str) -> None:
        """Count one call as a read, a write or a watch."""
        self.calls[call] += 1
        self.calls_of_kind[f"{call} {kind}"] += 1

    def store(self, kind: str, name: str, value: dict | None) -> int:
        """Write an object, or delete it where ``value`` is None."""
        self.version += 1
        event = {"kind": kind, "name": name, "version": self.version}
        if value is None:
            del self.objects[kind, name]
            event = {"type": "delete", **event, "value": {}}
        else:
            self.objects[kind, name] = Stored(kind, name, self.version, value)
            event = {"type": "put", **event, "value": value}
        self.writes.append({"version": self.version, "kind": kind, "name": name})
        if not self.take("drop_events"):
            self.events.append(event)
        while len(self.events) > KEPT_EVENTS:
            self.floor = self.events.popleft()["version"]
        self._wake()
        return self.version

    def _wake(self) -> None:
        for watcher in self.watchers:
            watcher.set()


class _Handler(StandInHandler):
    async def admit(self, call: str, kind: str) -> bool:
        """Count a call and apply the faults; False when it was answered here."""
        self.stand_in.count(call, kind)
        if self.stand_in.faults["slow_s"]:
            await self.stand_in.timers.sleep(self.stand_in.faults["slow_s"])
        if not self.stand_in.faults["outage"]:
            return True
        self.answer(503, error="outage")
        return False


class _ObjectHandler(_Handler):
    async def get(self, kind, name):
        if not await self.admit("read", kind):
            return None
        found = self.stand_in.objects.get((kind, name))
        if found is None:
            return self.answer(404, error="not-found")
        return self.answer(200, **found._asdict())

    async def put(self, kind, name):
        if not await self.admit("write", kind):
            return None
        if len(self.request.body) > MAX_VALUE_BYTES:
            return self.answer(413, error="too-large")
        try:
            value = self.read_json()
        except ValueError:
            return self.answer(400, error="not JSON")
        if not isinstance(value, dict):
            return self.answer(400, error="not an object")
        return self._write(kind, name, value)

    async def delete(self, kind, name):
        if not await self.admit("write", kind):
            return None
        if (kind, name) not in self.stand_in.objects:
            return self.answer(404, error="not-found")
        return self._write(kind, name, None)

    def _write(self, kind, name, value):
        found = self.stand_in.objects.get((kind, name))
        if not self._condition_holds(found):
            current = found._asdict() if found else {"kind": kind, "name": name}
            return self.answer(412, **current)
        version = self.stand_in.store(kind, name, value)
        if self.stand_in.take("lose_replies"):
            self.stand_in.writes[-1]["reply_lost"] = True
            return self.drop()
        return self.answer(200, version=version)

    def _condition_holds(self, found) -> bool:
        if self.request.headers.get("If-None-Match") == "*":
            return found is None
        expected = self.request.headers.get("If-Match", "").strip('"')
        return found is not None and expected == str(found.version)


class _KindHandler(_Handler):
    async def get(self, kind):
        if self.get_query_argument("watch", ""):
            await self._watch(kind)
            return
        if not await self.admit("read", kind):
            return
        items = [
            stored._asdict()
            for stored in self.stand_in.objects.values()
            if stored.kind == kind
        ]
        self.answer(200, version=self.stand_in.version, items=items)

    async def _watch(self, kind):
        if not await self.admit("watch", kind):
            return
        since = int(self.get_query_argument("since", "0"))
        if since < self.stand_in.floor or self.stand_in.take("force_410"):
            self.answer(410, error="too-old")
            return
        woken = asyncio.Event()
        self.stand_in.watchers.add(woken)
        self.set_header("Content-Type", "application/x-ndjson")
        try:
            await self._send_events(kind, since, woken)
        finally:
            self.stand_in.watchers.discard(woken)

    async def _send_events(self, kind, since, woken):
        epoch = self.stand_in.epoch
        await self.flush()
        told_at = self.stand_in.timers.now()
        while not self.gone.is_set():
            woken.clear()
            await self.hang_if_silent()
            lines = [
                event
                for event in list(self.stand_in.events)
                if event["version"] > since and event["kind"] == kind
            ]
            if epoch != self.stand_in.epoch:
                self.drop()
                return
            since = self.stand_in.version
            now = self.stand_in.timers.now()
            # Writes of other kinds wake this watch too: what counts is how long it
            # has told nothing, else a busy store would leave it without bookmarks.
            if not lines and now - told_at >= self.stand_in.faults["bookmark_s"]:
                lines = [{"type": "bookmark", "version": since}]
            for line in lines:
                self.write(json.dumps(line) + "\n")
                told_at = now
            await self.flush()
            await self._wait(woken, told_at)

    async def _wait(self, woken, told_at):
        quiet_s = self.stand_in.timers.now() - told_at
        left_s = max(0.0, self.stand_in.faults["bookmark_s"] - quiet_s)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(woken.wait(), left_s)


if __name__ == "__main__":
    run_by_hand(ObjectApiStandIn)()
