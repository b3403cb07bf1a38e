"""The platform's store: objects by kind and name, conditions, watches.

Developed from ``Store`` of ``review/standins.py``. Each VM has an address of its own
here, so that calls of some VMs are slow or refused and those of others are not.
"""

import asyncio
import contextlib
import copy
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from .messages import Message, json_response, read_message
from .servers import Server

LISTED_AT_ONCE = 500
HISTORY_S = 20.0
ANSWER_S = 0.004


class Store(Server):
    """The store, with the VMs that it serves slowly or not at all.

    ``slow_s`` is how much longer calls of a VM take; calls of VMs in ``refused`` get a
    503.
    """

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.slow_s: dict[str, float] = {}
        self.refused: set[str] = set()
        self._log: list[tuple[float, int, str, dict, bool]] = []
        self._oldest = 0
        self._changed = asyncio.Event()

    def write(self, kind: str, name: str, spec) -> int:
        """Write as the operator or a target does; return the revision."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return self.revision
        self.revision += 1
        body = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": known["metadata"]["created"] if known else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": copy.deepcopy(spec),
            "status": {},
        }
        self.objects[kind][name] = body
        self._publish(kind, body, False)
        return self.revision

    def remove(self, kind: str, name: str) -> dict | None:
        """Remove an object."""
        known = self.objects.get(kind, {}).pop(name, None)
        if known is None:
            return None
        self.revision += 1
        gone = copy.deepcopy(known)
        gone["metadata"]["revision"] = self.revision
        self._publish(kind, gone, True)
        return known

    def _publish(self, kind: str, body: dict, deleted: bool) -> None:
        now = time.monotonic()
        self._log.append((now, self.revision, kind, body, deleted))
        while self._log and self._log[0][0] < now - HISTORY_S:
            self._oldest = self._log.pop(0)[1]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer, label: str) -> None:
        """Answer the calls of one connection."""
        while (message := await read_message(reader)) is not None:
            if label in self.refused:
                status, body = 503, {}
            else:
                status, body = await self._call(message)
            await asyncio.sleep(ANSWER_S + self.slow_s.get(label, 0.0))
            writer.write(json_response(status, body))
            await writer.drain()

    async def _call(self, message: Message) -> tuple[int, dict]:
        url = urlsplit(message.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if message.method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if message.method == "GET":
            return self._read(kind, name, query)
        if message.method == "DELETE":
            known = self.remove(kind, name)
            return (200, known) if known else (404, {})
        return self._put(message, kind, name)

    def _read(self, kind: str, name: str, query: dict) -> tuple[int, dict]:
        objects = self.objects.get(kind, {})
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        names = [each for each in sorted(objects) if each > query.get("after", "")]
        items = [objects[each] for each in names[:LISTED_AT_ONCE]]
        more = len(names) > LISTED_AT_ONCE
        return 200, {"items": items, "hasMore": more, "asOf": self.revision}

    async def _watch(self, kind: str, query: dict) -> tuple[int, dict]:
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if since < self._oldest or since > self.revision:
                return 410, {}
            events = [
                {"object": body, "deleted": deleted}
                for _, revision, of_kind, body, deleted in self._log
                if revision > since and of_kind == kind
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _put(self, message: Message, kind: str, name: str) -> tuple[int, dict]:
        body = json.loads(message.body)
        name = name or body["metadata"]["name"]
        known = self.objects.get(kind, {}).get(name)
        if message.method == "POST" and known is not None:
            return 409, known
        if message.method == "PUT" and known is None:
            return 404, {}
        wanted = body["metadata"].get("revision")
        if known is not None and wanted not in (None, known["metadata"]["revision"]):
            return 409, known
        self.write(kind, name, body["spec"])
        return 200, self.objects[kind][name]
