"""A stand-in of a target that sends for each request what its plan says.

A ``Plan`` is drawn at random: the response is sent whole, truncated, with a copy of
another response before, after or inside it, with noise, in segments. Requests without a
plan are answered by the sound engine behind it::

    book = FuzzBook()
    target = FuzzedTarget("p1", "plain", book)
    book.plans["r1"] = [draw_plan(rng, "cut-reset")]
"""

import asyncio
import json
import socket
import struct
from collections import Counter
from random import Random
from typing import NamedTuple

from tornado.netutil import bind_sockets

from ..fuzz_judge import Sent
from .broken_target import with_no_field, with_no_status
from .endless_target import EndlessTarget, _fields
from .platform_engine import PlatformEngine

KINDS = (
    "whole",
    "cut-closed",
    "cut-reset",
    "cut-open",
    "cut-copied",
    "late",
    "late-cut",
    "idle",
    "idle-cut",
    "noise-before",
    "noise-inside",
    "noise-after",
    "extra",
    "closes",
    "endless",
    "bad-status",
    "bad-field",
)
# Those that leave the connection to be used again, if they are a framed success.
KEPT_KINDS = frozenset(("late", "late-cut", "idle", "idle-cut", "closes"))
FRAMINGS = ("length", "chunks", "close")
NAMES = ("own", "none", "another")
# What a target responds: its status, and whether the request did not run.
STATUSES = ((200, False), (500, False), (503, True), (503, False))
STATUSES += ((421, True), (429, True), (429, False))
REASONS = ("OK", "", "Some Reason", "Some: Reason")
NOISE_OUTSIDE = (b"\x00\xff~", b"\r\n", b"~\r\n\r\n~", b"HTTP/1.1 200 ", b"HTTP/1.1 ")
NOISE_INSIDE = (b"~x~", b"~\r\n~", b"HTTP/1.1 200 ")
# A text may quote the head of a response.
QUOTED = b"\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
ID = b"\r\nRequest-Id: "
# What was sent before the first run.
EARLIER = b"HTTP/1.1 200 OK\r\nRequest-Id: another\r\nServer-Seal: seal-0\r\n"
EARLIER += b"Content-Length: 5\r\n\r\nrun-0"
# One of another request that lasts as long as its connection.
ENDLESS = b"HTTP/1.1 200 OK\r\nRequest-Id: another\r\nServer-Seal: seal-0\r\n\r\n0"
EVENTS = 6
PAUSE_S = 0.004
IDLE_S = 0.01
RESET = struct.pack("ii", 1, 0)


class Plan(NamedTuple):
    """What is sent for one request; ``at`` and ``pick`` are shares from 0 to 1.

    ``at`` says where it is truncated or has noise inside, ``pick`` which copy is sent,
    and ``splits`` where its bytes are split into segments.
    """

    kind: str
    framing: str
    status: int
    not_run: bool
    named: str
    id_place: int
    reason: str
    at: float
    pick: float
    own_copy: bool
    splits: tuple[float, ...]
    noise: int
    filler: int

    @property
    def ends(self) -> bool:
        """Whether a caller's VM can know at once what becomes of the response."""
        return self.kind not in ("cut-open", "noise-inside") and self.named == "own"


def draw_plan(rng: Random, kind: str) -> Plan:
    """Draw what is sent, of a given kind."""
    kept = kind in KEPT_KINDS
    succeeds = kept or rng.random() < 0.55
    status, not_run = STATUSES[0] if succeeds else rng.choice(STATUSES)
    # Refusals often bear no id.
    own = kept or rng.random() < (0.8 if succeeds else 0.5)
    splits = [rng.random() for _ in range(rng.randint(1, 4))]
    return Plan(
        kind,
        rng.choice(FRAMINGS[:2] if kept or kind == "extra" else FRAMINGS),
        status,
        not_run,
        "own" if own else rng.choice(NAMES[1:] if succeeds else ("none", *NAMES[1:])),
        rng.randrange(5),
        rng.choice(REASONS),
        rng.random(),
        rng.random(),
        rng.random() < 0.4,
        tuple(sorted(splits)) if rng.random() < 0.4 else (),
        rng.randrange(100),
        rng.choice((0, 10, 60, 400, 900)),
    )


class _Earlier(NamedTuple):
    request: str
    status: int
    wire: bytes


class FuzzBook:
    """The plans of all requests, and what targets sent for them."""

    def __init__(self):
        self._runs = 0
        self.plans: dict[str, list[Plan]] = {}
        self.sent: list[Sent] = []
        self.drawn: Counter[str] = Counter()
        # Responses to requests that were sent whole. Those without an id are copied
        # only ahead of the response to another request, where nothing else has none.
        self.history: list[_Earlier] = [_Earlier("another", 200, EARLIER)]

    def next_run(self) -> int:
        """Return the number of a new run."""
        self._runs += 1
        return self._runs

    def count(self, plan: Plan, control: bool) -> None:
        """Count the draws of a plan that is carried out."""
        self.drawn[f"kind {plan.kind}"] += 1
        self.drawn[f"framing {plan.framing}"] += 1
        self.drawn["segments" if plan.splits else "one segment"] += 1
        if control:
            return
        status = f"{plan.status} unrun" if plan.not_run else f"{plan.status}"
        self.drawn[f"status {status}"] += 1
        self.drawn[f"id {plan.named}"] += 1
        self.drawn[f"id place {plan.id_place}"] += 1

    def record(self, plan: Plan, request: str, wire: bytes) -> None:
        """Record a response that was sent whole, if it may be copied."""
        if plan.named == "own" or (plan.named == "none" and plan.status == 200):
            self.history.append(_Earlier(request, plan.status, wire))

    def copy(self, plan: Plan, request: str, wire: bytes) -> bytes:
        """Return the copy that a plan sends, of the response itself or of another."""
        late, ahead = plan.kind in KEPT_KINDS, plan.kind.startswith("late")
        if plan.own_copy and plan.named == "own" and not late:
            return wire
        # A connection is kept after a success only, so no other comes late on it.
        others = [
            each.wire
            for each in self.history[-20:]
            if each.request != request
            and (each.status == 200 or not late)
            and (ID in each.wire or ahead)
        ]
        return others[int(plan.pick * len(others))] if others else EARLIER


class _Response(NamedTuple):
    head: bytes
    payload: bytes
    body: bytes

    @property
    def wire(self) -> bytes:
        """All bytes of it."""
        return self.head + self.payload


class FuzzedTarget(EndlessTarget):
    """A target that answers by the plans of a book."""

    def __init__(self, target: str, service: str, book: FuzzBook, model: str = ""):
        super().__init__(target, service, "", model)
        self._book = book
        self._due: dict[asyncio.StreamWriter, bytes] = {}
        self._idle: dict[asyncio.StreamWriter, asyncio.Task] = {}
        # Connections that had bytes which no request asked for.
        self._spoilt: set[asyncio.StreamWriter] = set()
        self._unnamed: set[asyncio.StreamWriter] = set()
        self._starting: asyncio.Task | None = None
        self.places = 50

    def start(self, port: int = 0) -> None:
        """Listen in front of the sound target."""
        PlatformEngine.start(self, port)
        (listening,) = bind_sockets(0, "127.0.0.1")
        port = listening.getsockname()[1]
        self._sound, self.address = self.address, f"127.0.0.1:{port}"
        self._starting = asyncio.ensure_future(self._listen(listening))

    async def _listen(self, listening: socket.socket) -> None:
        self._raw = await asyncio.start_server(self._serve, sock=listening)

    async def _take(self, head: bytes, reader, writer) -> None:
        idle = self._idle.pop(writer, None)
        if idle is not None:
            idle.cancel()
        fields = _fields(head)
        body = await reader.readexactly(int(fields.get(b"content-length", b"0")))
        called = fields.get(b"request-id") or fields.get(b"expect-instance", b"")
        name = called.decode()
        plans = self._book.plans.get(name)
        if not plans:
            await self._forward(head + body, writer)
            return
        plan = plans.pop(0) if len(plans) > 1 else plans[0]
        run = self._book.next_run()
        path = head.split(b" ", 2)[1]
        last = int(fields.get(b"last-event-id", b"0"))
        response = self._respond(plan, name, run, path, last)
        await self._send(plan, name, run, response, reader, writer)

    def _respond(
        self, plan: Plan, name: str, run: int, path: bytes, last: int
    ) -> _Response:
        control = path.startswith(b"/v1/")
        self._book.count(plan, control)
        headers = [b"Content-Type: a/b", b"X-Run: %d" % run]
        if plan.kind == "closes":
            headers.append(b"Connection: close")
        if not control:
            headers.append(b"Server-Seal: seal-%d" % run)
            if plan.not_run:
                headers.append(b"Not-Executed: 1")
        body = self._body(plan, name, run, path, last)
        payload = body
        if plan.framing == "length":
            headers.append(b"Content-Length: %d" % len(body))
        elif plan.framing == "chunks":
            headers.append(b"Transfer-Encoding: chunked")
            parts = [part for part in (body[:20], body[20:]) if part] + [b""]
            payload = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        if plan.named != "none" and not control:
            named = name if plan.named == "own" else "another"
            headers.insert(plan.id_place, b"Request-Id: " + named.encode())
        start = b"HTTP/1.1 %d %s" % (plan.status, plan.reason.encode())
        return _Response(b"\r\n".join([start, *headers]) + b"\r\n\r\n", payload, body)

    def _body(self, plan, name: str, run: int, path: bytes, last: int) -> bytes:
        if path == b"/v1/report":
            report = {**self._report(), "seq": run}
            return json.dumps(report).encode()
        mark = b"run-%d of %s" % (run, name.encode())
        if self._model and plan.status == 200 and not path.startswith(b"/v1/"):
            numbers = range(last + 1, EVENTS + 1)
            return b"".join(b"id: %d\ndata: %s\n\n" % (n, mark) for n in numbers)
        filler = Random(run).randbytes(plan.filler // 2).hex().encode()
        return mark + (QUOTED if plan.noise % 5 == 0 else b"") + filler

    async def _send(self, plan: Plan, name, run, response, reader, writer) -> None:
        control = name.startswith("call")
        due = self._due.pop(writer, b"")
        if control and writer in self._unnamed:
            due = b""
        self._unnamed.discard(writer)
        late = bool(due) or writer in self._spoilt
        wire, ends, complete, body = self._bytes_of(plan, name, response, late)
        # Nothing tells a response without an id from the rest of another one.
        spoilt = late or plan.kind == "cut-copied"
        known = plan.ends and not (control and spoilt)
        if control and spoilt:
            ends = "close"
        seal = "" if control else f"seal-{run}"
        sent = Sent(name, run, plan.status, seal, body, complete)
        sent = sent._replace(ran=not plan.not_run, known=known, plan=str(plan))
        self._book.sent.append(sent._replace(due=due))
        self._prepare_late(plan, name, response, writer)
        if complete and not control:
            self._book.record(plan, name, response.wire)
        await self._write(due + wire, plan, writer)
        if plan.kind == "closes":
            await self._ignore(reader)
        await self._end(ends, plan, name, reader, writer)

    def _prepare_late(self, plan: Plan, name, response, writer) -> None:
        """Choose what comes ahead of the next response on a connection."""
        if plan.status >= 300:
            # It comes again if its connection is used again.
            self._due[writer] = response.wire
        elif plan.kind.startswith("late"):
            copy = self._book.copy(plan, name, b"")
            share = plan.at if plan.kind == "late-cut" else 1.0
            self._due[writer] = copy[: int(len(copy) * share)]
            if ID not in copy:
                self._unnamed.add(writer)

    async def _end(self, ends: str, plan: Plan, name, reader, writer) -> None:
        if ends == "close":
            writer.close()
        elif ends == "reset":
            made = writer.get_extra_info("socket")
            made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        elif ends == "open":
            await reader.read()
        elif plan.kind.startswith("idle"):
            copy = self._book.copy(plan, name, b"")
            share = plan.at if plan.kind == "idle-cut" else 1.0
            unasked = self._write_idle(copy[: int(len(copy) * share)], writer)
            self._idle[writer] = asyncio.ensure_future(unasked)

    async def _ignore(self, reader) -> None:
        """Leave what comes after the word that the connection closes unanswered."""
        head = await reader.readuntil(b"\r\n\r\n")
        fields = _fields(head)
        called = fields.get(b"request-id") or fields.get(b"expect-instance", b"")
        nothing = Sent(called.decode(), self._book.next_run(), 0, "", b"", False)
        self._book.sent.append(nothing._replace(plan="after the last response"))
        await reader.read()

    def _bytes_of(self, plan: Plan, name: str, response: _Response, late: bool):
        """Return what is sent, how it ends, whether it is complete, and its body.

        ``late`` is whether bytes of another response came before it.
        """
        wire, body = response.wire, response.body
        at = 1 + int(plan.at * (len(wire) - 1))
        ends = "close" if plan.framing == "close" else "keep"
        in_body = at - len(response.head)
        if plan.kind in ("cut-closed", "cut-reset", "cut-open"):
            ends = {"closed": "close"}.get(plan.kind[4:], plan.kind[4:])
            whole = plan.framing == "close" and ends == "close" and in_body >= 0
            return wire[:at], ends, whole, body[: max(0, in_body)] if whole else body
        if plan.kind == "cut-copied":
            copy = self._book.copy(plan, name, wire)
            return wire[:at] + copy, "open", copy == wire, body
        if plan.kind in ("noise-before", "noise-after", "extra"):
            noise = NOISE_OUTSIDE[plan.noise % len(NOISE_OUTSIDE)]
            if plan.kind == "noise-before":
                return noise + wire, ends, True, body
            noise = noise if plan.kind == "noise-after" else wire
            body = body + noise if plan.framing == "close" else body
            return wire + noise, ends, True, body
        if plan.kind == "endless":
            return ENDLESS, "open", False, body
        if plan.kind == "bad-status":
            return with_no_status(wire, plan.noise), "open", False, b""
        if plan.kind == "bad-field":
            return with_no_field(wire, plan.noise), "open", False, b""
        if plan.kind != "noise-inside":
            return wire, ends, True, body
        noise = NOISE_INSIDE[plan.noise % len(NOISE_INSIDE)]
        at = self._noisy_place(plan, response, late)
        return wire[:at] + noise + wire[at:], ends, True, body

    def _noisy_place(self, plan: Plan, response: _Response, late: bool) -> int:
        """Return where noise comes inside: in the head, or in the size of a chunk.

        In a body or in a seal nothing tells it from what the target means, nor in a
        status line that comes after the head of another response.
        """
        head = response.head
        if plan.framing == "chunks" and plan.noise % 4 == 0:
            return len(head) + 1
        at = 1 + int(plan.at * (len(head) - 3))
        for name in (b"Server-Seal", b"Transfer-Encoding", *[b"HTTP/"] * late):
            begin = head.find(name)
            if begin <= at <= head.find(b"\r\n", begin):
                return head.find(b"Content-Type")
        return at

    async def _write(self, sent: bytes, plan: Plan, writer) -> None:
        begin = 0
        for share in (*plan.splits, 1.0):
            end = int(share * len(sent))
            writer.write(sent[begin:end])
            await writer.drain()
            if end < len(sent):
                await asyncio.sleep(PAUSE_S)
            begin = end

    async def _write_idle(self, unasked: bytes, writer) -> None:
        await asyncio.sleep(IDLE_S)
        self._spoilt.add(writer)
        writer.write(unasked)
