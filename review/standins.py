"""Small stand-ins of the store, of engines and of clients, by the users' pages.

They need nothing but the standard library and all live in one process; only the
gateways are processes of their own (see ``fleet.py``).
"""

import asyncio
import contextlib
import copy
import json
import random
import time
from urllib.parse import parse_qs, unquote, urlsplit

BORN_MS = 1_790_000_000_000
HEARTBEAT_S = 1.2
LISTED_AT_ONCE = 500
HISTORY_S = 20.0
# Longer than any call waits for an answer.
SILENT_S = 60.0
# An adapter takes this long while no more than so many are on their way.
ADAPTER_S = 0.25
AT_FULL_SPEED = 16
FETCH_STEP_S = 0.025
# Adapters that an engine held recently load ten times as fast.
RECENT_FASTER = 10
RECENT_KEPT = 8


class Message:
    """One request that a stand-in has read."""

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one request, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin1").rstrip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    method, path, _ = start.split(" ", 2)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).strip() or b"0", 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif length := int(headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    return Message(method, path, headers, body)


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} {'OK' if status < 300 else 'No'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_answer(status: int, body) -> bytes:
    """Return the bytes of an answer with a JSON body."""
    return answer(
        status, {"Content-Type": "application/json"}, json.dumps(body).encode()
    )


class Server:
    """Accepts connections and hands each to ``serve``."""

    def __init__(self):
        self.address = ""
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task] = set()

    async def listen(self, host: str) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._accept, host, 0, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening and break all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._connections.add(task)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self.serve(reader, writer)
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._connections.discard(task)
            writer.close()

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects by kind and name, conditions, watches."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self._log: list[tuple[float, int, str, dict, bool]] = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self._open: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        # The connections on which a call waits for changes, by kind.
        self.watches: dict[asyncio.StreamWriter, str] = {}

    def silence(self) -> None:
        """Let all connections that are open now go silent for good."""
        self._silent |= self._open

    def write(self, kind: str, name: str, spec) -> int:
        """Write as the operator or an engine does; return the revision."""
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
        self._tell(kind, body, False)
        return self.revision

    def remove(self, kind: str, name: str) -> dict | None:
        """Remove an object."""
        known = self.objects.get(kind, {}).pop(name, None)
        if known is None:
            return None
        self.revision += 1
        gone = copy.deepcopy(known)
        gone["metadata"]["revision"] = self.revision
        self._tell(kind, gone, True)
        return known

    def _tell(self, kind: str, body: dict, deleted: bool) -> None:
        now = time.monotonic()
        self._log.append((now, self.revision, kind, body, deleted))
        while self._log and self._log[0][0] < now - HISTORY_S:
            self._oldest = self._log.pop(0)[1]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer) -> None:
        """Answer the calls of one connection."""
        self._open.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                status, body = await self._call(message, writer)
                await asyncio.sleep(0.004)
                if writer in self._silent:
                    await asyncio.sleep(SILENT_S)
                    return
                writer.write(json_answer(status, body))
                await writer.drain()
        finally:
            self._open.discard(writer)
            self._silent.discard(writer)

    async def _call(self, message: Message, writer) -> tuple[int, dict]:
        url = urlsplit(message.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if message.method == "GET" and "watch" in query:
            self.watches[writer] = kind
            try:
                return await self._watch(kind, query)
            finally:
                del self.watches[writer]
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


class Run:
    """One request that an engine began to run."""

    def __init__(self, request: str, engine: str, adapter: str):
        self.request = request
        self.engine = engine
        self.adapter = adapter
        self.began = time.monotonic()
        self.worked_until = self.began
        self.ended = ""
        self.events = 0


class Fetches:
    """The adapters on their way from the store, over all engines."""

    def __init__(self):
        self._under_way = 0

    async def fetch(self, work_s: float) -> None:
        """Fetch one, more slowly while too many are under way."""
        self._under_way += 1
        try:
            while work_s > 0:
                slower = max(1.0, self._under_way / AT_FULL_SPEED)
                step_s = min(work_s, FETCH_STEP_S)
                await asyncio.sleep(step_s * slower)
                work_s -= step_s
        finally:
            self._under_way -= 1


class Engine(Server):
    """A model engine that holds adapters and answers with streams of events.

    With ``extra`` it is faulty: it sends that share of its answers a second time, at
    the point where the next answer on the connection is expected.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        runs: list[Run],
        rng: random.Random,
        fetches: Fetches,
    ):
        super().__init__()
        self.name = name
        self._fetches = fetches
        self.extra = 0.0
        self.events_per_stream = 24
        self.event_s = 0.03
        self.first_s = 0.06
        self.slots = 64
        self.adapter_slots = 8
        self.model = "daka510000"
        self.service = "race-scribe"
        self.zone = "hall-a"
        self.seq = 0
        self.adapters: dict[str, int] = {}
        self.pending: dict[str, int] = {}
        self.leaving: set[str] = set()
        self.left_at = 0.0
        self._recent: dict[str, None] = {}
        self._fetching: dict[str, asyncio.Task] = {}
        self.using: dict[str, int] = {}
        self.orders: list[dict] = []
        self.extras: list[str] = []
        self.overfull: list[float] = []
        self._store = store
        self._runs = runs
        self._rng = rng
        self._beats = 0
        self._tasks: list[asyncio.Task] = []

    async def start(self, host: str) -> None:
        """Listen and register."""
        await self.listen(host)
        self._beat()
        self._tasks.append(asyncio.create_task(self._heartbeats()))

    async def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await self.close()

    def _describe(self) -> dict:
        names = [f"{name}@{version}" for name, version in sorted(self.adapters.items())]
        return {
            "models": [{"name": self.model, "version": 1, "adapters": names}],
            "born": BORN_MS,
        }

    def _beat(self) -> None:
        self._beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": self._beats,
            **self._describe(),
        }
        self._store.write("servers", self.name, entry)

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S * self._rng.uniform(0.9, 1.1))
            self._beat()

    def leave(self) -> None:
        """Have the entry removed without a word there, and serve on."""
        self._tasks[0].cancel()
        self._store.remove("servers", self.name)
        self.left_at = time.monotonic()

    # Connections

    async def serve(self, reader, writer) -> None:
        """Serve one connection, one request at a time."""
        again = b""
        while (message := await read_message(reader)) is not None:
            if again:
                writer.write(again)
            sent = await self._answer(message, reader, writer)
            if sent is None:
                return
            await writer.drain()
            again = b""
            if self._rng.random() < self.extra:
                again = sent
                status = sent.split(b" ", 2)[1].decode()
                self.extras.append(f"{status} to {message.path.split('/')[1]}")

    async def _answer(self, message: Message, reader, writer) -> bytes | None:
        """Answer one request; return the answer, None if the caller left."""
        wanted = message.headers.get("expect-instance", self.name)
        request = message.headers.get("request-id", "")
        echo = {"Request-Id": request} if request else {}
        if wanted != self.name:
            return self._send(writer, answer(421, echo, b""))
        if message.path == "/v1/report":
            return self._send(writer, json_answer(200, self._report()))
        if message.path == "/v1/order":
            return self._send(writer, json_answer(self._order(message), {}))
        if message.path == "/health":
            headers = {**echo, "Instance-Id": self.name}
            return self._send(writer, answer(200, headers, b""))
        if not request:
            return self._send(writer, answer(400, {"Not-Executed": "1"}, b""))
        adapter = message.headers.get("model", "").partition("/")[2]
        if adapter in self.pending or adapter in self.leaving:
            headers = {**echo, "Not-Executed": "1"}
            return self._send(writer, answer(503, headers, b""))
        if adapter and adapter not in self.adapters:
            return self._send(writer, answer(421, echo, b""))
        return await self._run(message, request, adapter, reader, writer)

    def _send(self, writer, data: bytes) -> bytes:
        if self.left_at:
            data = data.replace(b"\r\n", b"\r\nServer-Leaving: 1\r\n", 1)
        writer.write(data)
        return data

    # Orders

    def _report(self) -> dict:
        return {
            "stage": "both",
            "busy": False,
            "seq": self.seq,
            "queued": 0,
            "inFlight": sum(self.using.values()),
            "kvUsed": 1000,
            "kvTotal": 157002,
            "handles": 0,
            "pending": [
                f"{self.model}/{name}@{version}"
                for name, version in self.pending.items()
            ],
            **self._describe(),
        }

    def _order(self, message: Message) -> int:
        order = json.loads(message.body)
        status = self._take(order)
        held = [len(self.adapters), len(self.pending), len(self.leaving)]
        self.orders.append(
            {"at": time.monotonic(), "status": status, "held": held, **order}
        )
        return status

    def _take(self, order: dict) -> int:
        if not order.get("holder") or order.get("fence") is None:
            return 400
        if order.get("precondition", self.seq) != self.seq or self.leaving:
            return 409
        name = order.get("adapter")
        if name is None:
            return 200
        if order["op"] == "load":
            return self._load(name, order.get("version") or 1)
        return self._unload(name)

    def _load(self, name: str, version: int) -> int:
        if name in self.adapters or name in self.pending:
            return 200
        self.seq += 1
        self.pending[name] = version
        if len(self.adapters) + len(self.pending) > self.adapter_slots:
            self.overfull.append(time.monotonic())
        self._fetching[name] = asyncio.create_task(self._fetch(name))
        return 202

    async def _fetch(self, name: str) -> None:
        work_s = ADAPTER_S / (RECENT_FASTER if name in self._recent else 1)
        await self._fetches.fetch(work_s)
        self.adapters[name] = self.pending.pop(name)
        del self._fetching[name]
        self._recent.pop(name, None)
        self._recent[name] = None
        while len(self._recent) > RECENT_KEPT:
            del self._recent[next(iter(self._recent))]

    def _unload(self, name: str) -> int:
        self.seq += 1
        if self.pending.pop(name, None) is not None:
            self._fetching.pop(name).cancel()
            return 200
        if self.using.get(name):
            self.leaving.add(name)
            return 202
        self.adapters.pop(name, None)
        return 200

    # Runs

    async def _run(
        self, message: Message, request: str, adapter: str, reader, writer
    ) -> bytes | None:
        run = Run(request, self.name, adapter)
        self._runs.append(run)
        self.using[adapter] = self.using.get(adapter, 0) + 1
        try:
            return await self._stream(message, run, reader, writer)
        finally:
            self.using[adapter] -= 1
            if not self.using[adapter] and adapter in self.leaving:
                self.leaving.discard(adapter)
                self.adapters.pop(adapter, None)

    async def _stream(self, message: Message, run: Run, reader, writer) -> bytes | None:
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {run.request}",
            f"Server-Seal: seal-{self.name}-{run.request}",
            "Weight-Versions: 1",
            "Content-Type: text/event-stream",
            "Keep-Alive: timeout=10",
            "Transfer-Encoding: chunked",
        ]
        if self.left_at:
            head.append("Server-Leaving: 1")
        sent = "\r\n".join(head).encode() + b"\r\n\r\n"
        first = int(message.headers.get("last-event-id", "0") or "0")
        await asyncio.sleep(self.first_s)
        pending = sent
        for number in range(first + 1, self.events_per_stream + 1):
            await asyncio.sleep(self.event_s)
            if writer.transport.is_closing() or reader.at_eof():
                run.ended = "its caller left"
                return None
            event = f"id: {number}\ndata: {self.name} {run.request}\n\n".encode()
            piece = b"%x\r\n%s\r\n" % (len(event), event)
            sent += piece
            writer.write(pending + piece)
            pending = b""
            run.events = number
            run.worked_until = time.monotonic()
        writer.write(b"0\r\n\r\n")
        run.ended = "whole"
        return sent + b"0\r\n\r\n"
