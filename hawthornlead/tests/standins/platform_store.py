"""A small stand-in of the platform's store: objects, conditions, watches, faults.

::

    store = PlatformStore()
    store.start()
    store.write("config", "main", spec)
    store.fault = "silent"
"""

import asyncio
import copy
import json
import re
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from hawthornlead.gateway.caller_calls import CallerCall, CallerDispatcher


class StoreCopy(NamedTuple):
    """All objects of a store at one revision."""

    revision: int
    objects: dict[str, dict[str, dict]]


class PlatformStore:
    """Objects by kind and name under one revision counter.

    ``era`` is named in each answer, None for a store that knows no eras.

    ``fault`` is "" or how calls fare: "busy" is refused with 503, "silent" is never
    answered, "lost" is carried out and never answered. ``calls`` counts by method.
    """

    def __init__(self):
        self._objects: dict[str, dict[str, dict]] = {}
        self._log: list[tuple[int, str, dict, bool]] = []
        # What objects look like in answers, by the text that stands for their bytes.
        self._raw: dict[str, bytes] = {}
        self._revision = 1
        self._changed = asyncio.Event()
        self._oldest = 0
        self._server = HTTPServer(CallerDispatcher(self._handle, lambda: 0.0))
        self.address = ""
        self.fault = ""
        self.era: int | None = None
        self.keeps_history = True
        self.calls: list[tuple[str, str]] = []

    @property
    def revision(self) -> int:
        """The store's revision."""
        return self._revision

    def start(self) -> None:
        """Listen on a port that the system chooses."""
        sockets = bind_sockets(0, "127.0.0.1")
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def spec(self, kind: str, name: str) -> dict | None:
        """Return what an object holds."""
        found = self._objects.get(kind, {}).get(name)
        return found["spec"] if found else None

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        return sorted(self._objects.get(kind, {}))

    def write(self, kind: str, name: str, spec: Any, status: Any = None) -> int:
        """Write as the operator or a target does; returns the revision.

        Another writer's ``spec`` may be any JSON.
        """
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and _is_same(known, spec, status):
            return self._revision
        self._put(kind, name, {"spec": spec, "status": status})
        return self._revision

    def write_raw(self, kind: str, name: str, raw: bytes) -> int:
        """Write an object whose bytes in each answer are these.

        ``REVISION`` in them stands for the object's revision::

            store.write_raw("servers", "e1", b'{"metadata": {"revision": REVISION}}')
        """
        mark = f"raw-{self._revision + 1}"
        self._raw[mark] = raw.replace(b"REVISION", str(self._revision + 1).encode())
        self._put(kind, name, {"spec": None, "status": None, "raw": mark})
        return self._revision

    def _put(self, kind: str, name: str, content: dict) -> None:
        self._revision += 1
        body = {"metadata": {"name": name, "revision": self._revision}, **content}
        self._objects.setdefault(kind, {})[name] = body
        self._tell(kind, body, False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        body = self._objects.get(kind, {}).pop(name, None)
        if body is None:
            return
        self._revision += 1
        gone = dict(body)
        gone["metadata"] = {"name": name, "revision": self._revision}
        self._tell(kind, gone, True)

    def forget_history(self) -> None:
        """Drop the history, so that watches end with 410."""
        self._log.clear()
        self._revision += 1
        self._oldest = self._revision
        self._wake()

    def copy(self) -> StoreCopy:
        """Return a copy to which the store may go back."""
        return StoreCopy(self._revision, copy.deepcopy(self._objects))

    def restore(self, taken: StoreCopy) -> None:
        """Go back to a copy: a new era, which gives out later revisions again."""
        self.era = (self.era or 0) + 1
        self._revision = taken.revision
        self._objects = copy.deepcopy(taken.objects)
        self._log.clear()
        self._oldest = taken.revision
        self._wake()

    def _tell(self, kind: str, body: dict, deleted: bool) -> None:
        self._log.append((self._revision, kind, body, deleted))
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, call: CallerCall) -> None:
        url = urlsplit(call.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        self.calls.append((call.method, kind))
        if self.fault == "busy":
            self._answer(call, 503, {})
            return
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if call.method == "GET" and "watch" in query:
            status, body = await self._watch(kind, query)
        elif call.method == "GET":
            status, body = self._read(kind, name, query)
        else:
            status, body = self._write(call, kind, name)
        if self.fault in ("silent", "lost"):
            await asyncio.sleep(3600)
        self._answer(call, status, body)

    def _read(self, kind: str, name: str, query: dict) -> tuple[int, dict]:
        objects = self._objects.get(kind, {})
        if name:
            found = objects.get(name)
            return (200, _told(found)) if found else (404, {})
        names = [each for each in sorted(objects) if each > query.get("after", "")]
        items = [_told(objects[each]) for each in names[:2]]
        return 200, {"items": items, "hasMore": len(names) > 2, "asOf": self._revision}

    async def _watch(self, kind: str, query: dict) -> tuple[int, dict]:
        since = int(query["watch"])
        end = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            gone = since < self._oldest or since > self._revision
            if gone or not self.keeps_history:
                return 410, {}
            events = [
                {"object": _told(body), "deleted": deleted}
                for revision, of_kind, body, deleted in self._log
                if revision > since and of_kind == kind
            ]
            left_s = end - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(self, call: CallerCall, kind: str, name: str) -> tuple[int, dict]:
        if call.method == "DELETE":
            known = self._objects.get(kind, {}).get(name)
            self.remove(kind, name)
            return (200, known) if known else (404, {})
        body = json.loads(call.body)
        name = name or body["metadata"]["name"]
        known = self._objects.get(kind, {}).get(name)
        if call.method == "POST" and known is not None:
            return 409, known
        if call.method == "PUT" and known is None:
            return 404, {}
        wanted = body["metadata"].get("revision")
        if known is not None and wanted not in (None, known["metadata"]["revision"]):
            return 409, known
        self.write(kind, name, body["spec"])
        return 200, self._objects[kind][name]

    def _answer(self, call: CallerCall, status: int, body: Any) -> None:
        headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
        if self.era is not None:
            headers["Store-Era"] = str(self.era)
        data = json.dumps(body).encode()
        if self._raw:
            data = re.sub(rb'"(raw-\d+)"', lambda m: self._raw[m[1].decode()], data)
        call.answer(status, "OK", headers, data)


def _told(body: dict) -> Any:
    """Return an object as answers show it; a raw one's bytes are put in later."""
    return body.get("raw", body)


def _is_same(known: dict, spec: Any, status: Any) -> bool:
    # Compared as texts: true equals 1 in Python, and NaN not even itself.
    before = json.dumps([known["spec"], known["status"], "raw" in known])
    return before == json.dumps([spec, status, False])
