"""Callers of the soak over the gateway: they ask the directory, keep lines, retry.

They do what the platform's pages say of callers. Half of them go on with a connection
that is open whatever the directory says, until its other end is gone.
"""

import asyncio
import json
import time
from collections.abc import Callable
from random import Random
from typing import NamedTuple
from zlib import crc32

from .gateways import HOST, MODEL
from .soak_gateway_records import PROMISES, Sent
from .soak_http import Broken, Exchange, Line, Malformed, Unconnected, exchange
from .standins.target_runs import event_text

ADAPTERS = 8
RETRIES = 3
KEPT_FACTORS = (1.0, 1.0, 3.0)
DIRECTORY_S = 1.0
# A caller leaves a stream after so long without an event, and any request this long
# after its deadline.
GAP_S = 3.2
ANSWER_S = 1.0
WEIGHTS = {"safe": 4, "unsafe": 5, "stream": 4, "resume": 8, "moved": 4, "added": 2}
STREAMS = ("stream", "resume")
LEAVES = 0.12
INSIST_S = 0.4
# How many streams a caller begins at most until it leaves one.
TAKE_UPS = 8


class Fleet(NamedTuple):
    """What callers know of the VMs; ``vm_at`` gives name and process id by address."""

    directories: list[str]
    vm_at: Callable[[str], tuple[str, int]]
    note: Callable[[Sent], None]


class _Refused(Unconnected):
    """A connection that one VM, ``vm`` by name and process id, didn't accept."""

    def __init__(self, detail: str, vm: tuple[str, int]):
        super().__init__(detail)
        self.vm = vm


class GatewayCaller:
    """One caller, which asks again and again until it is told to stop.

    It leaves a share of its streams, ``leaves``, before their end.
    """

    def __init__(self, name: str, fleet: Fleet, rng: Random, leaves: float = LEAVES):
        self._name = name
        self._fleet = fleet
        self._rng = rng
        self._leaves = leaves
        self._number = 0
        self._addresses: list[str] = []
        self._kept_until = 0.0
        self._factor = rng.choice(KEPT_FACTORS)
        self._stays = rng.random() < 0.5
        self._lines: list[tuple[Line, tuple[str, int]]] = []

    async def run(self, stopped: asyncio.Event, think_s: float) -> None:
        """Ask until it is stopped, with pauses of ``think_s`` seconds on average."""
        kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
        while not stopped.is_set():
            await self.ask(self._rng.choices(kinds, weights)[0])
            await asyncio.sleep(self._rng.expovariate(1 / think_s))
        for line, _ in self._lines:
            line.close()

    async def insist(self, kind: str, address: str, stopped: asyncio.Event) -> None:
        """Ask one VM until it is stopped, whether it answers or not."""
        asked = set()
        while not stopped.is_set():
            asked.add(asyncio.create_task(self.ask(kind, address)))
            await asyncio.sleep(INSIST_S)
        await asyncio.gather(*asked)

    async def ask(self, kind: str, address: str = "", part: str = "") -> Sent:
        """Ask once, retrying as callers do; ``address`` names one VM for all tries.

        The prompt has a ``part`` that crashes engines, if one is given.
        """
        sent = self._fresh(kind)._replace(part=part)
        until = time.monotonic() + sent.deadline_s
        for retries_left in range(RETRIES, -1, -1):
            sent = await self._attempt(sent, until - time.monotonic(), address)
            left_s = until - time.monotonic()
            if not _may_retry(sent) or left_s < 0.1 or not retries_left:
                break
            after_s = float(sent.detail or 0) if sent.outcome == "refused" else 0.05
            await asyncio.sleep(min(max(after_s, 0.02), left_s / 3))
            sent = self._again(sent)
        return sent

    async def take_up(self, address: str) -> Sent:
        """Leave a stream of a VM that has begun, and take it up again there at once.

        For a caller that leaves all of its streams. Some end before it leaves.
        """
        for _ in range(TAKE_UPS):
            fresh = self._fresh("resume")
            sent = await self._attempt(fresh, fresh.deadline_s, address)
            if sent.events and sent.outcome == "left":
                break
        self._leaves = 0.0
        left_s = fresh.deadline_s - (sent.ended_at - sent.sent_at)
        return await self._attempt(self._again(sent), left_s, address)

    def _fresh(self, kind: str) -> Sent:
        stream = kind in STREAMS
        adapter = f"a{min(ADAPTERS, int(self._rng.paretovariate(0.8)))}"
        tokens = self._rng.choice((2, 6, 12, 30, 90))
        name = self._next_id()
        return Sent(
            kind=kind,
            request_id=name,
            method="POST" if kind != "safe" else "GET",
            path=f"/{kind}/{name}",
            model=f"{MODEL}/{adapter}" if stream else "",
            tokens=f"40,{tokens}" if stream else "",
            content=f"{name}:{self._rng.getrandbits(32):08x}",
            vm="",
            process_id=0,
            sent_at=0.0,
            deadline_s=self._rng.choice((2.5, 6.0)) if not stream else 7.5,
        )

    def _again(self, sent: Sent) -> Sent:
        """Return the next attempt at the same request, under an id of its own."""
        last, origin = sent.last_event, sent.resumes
        if sent.kind == "resume" and sent.events:
            last = sent.events[-1]
            origin = origin or sent.request_id
        empty = Sent(*sent[:11], last_event=last, resumes=origin)
        return empty._replace(
            request_id=self._next_id(), part=sent.part, earlier=sent.earlier + 1
        )

    def _next_id(self) -> str:
        self._number += 1
        return f"{self._name}-{self._number}"

    # Where to

    async def _address(self) -> str:
        if self._addresses and time.monotonic() < self._kept_until:
            return self._rng.choice(self._addresses)
        for directory in self._rng.sample(self._fleet.directories, 3):
            path = f"/v1/resolve?name={HOST}&region=r&zone=gijon"
            try:
                async with exchange(
                    directory, "GET", path, {}, b"", DIRECTORY_S
                ) as got:
                    answer = json.loads(await got.body())
            except (Unconnected, Broken, Malformed, ValueError):
                continue
            if answer.get("addresses"):
                self._addresses = answer["addresses"]
                self._kept_until = time.monotonic() + answer["ttlS"] * self._factor
                break
        if not self._addresses:
            raise Unconnected("no address is known")
        return self._rng.choice(self._addresses)

    async def _line(self, address: str) -> tuple[Line, tuple[str, int], bool]:
        """Return a connection, its VM, and whether it was kept from before."""
        if not address:
            named = set(self._addresses)
            while self._lines:
                line, vm = self._lines.pop()
                if line.usable and (self._stays or line.address in named):
                    return line, vm, True
                line.close()
            address = await self._address()
        vm = self._fleet.vm_at(address)
        try:
            return await Line.open(address), vm, False
        except Unconnected as error:
            if address in self._addresses:
                self._addresses.remove(address)
            raise _Refused(str(error), vm) from error

    # One attempt

    async def _attempt(self, sent: Sent, left_s: float, address: str) -> Sent:
        sent = sent._replace(sent_at=time.monotonic(), deadline_s=left_s)
        try:
            line, (vm, process_id), kept = await self._line(address)
        except Unconnected as error:
            if isinstance(error, _Refused):
                vm, process_id = error.vm
                sent = sent._replace(vm=vm, process_id=process_id)
            sent = sent._replace(outcome="unconnected", detail=str(error))
            sent = sent._replace(ended_at=time.monotonic())
            self._fleet.note(sent)
            return sent
        sent = sent._replace(
            vm=vm, process_id=process_id, kept=kept, sent_at=time.monotonic()
        )
        keeps = False
        try:
            sent, keeps = await asyncio.wait_for(
                self._talk(line, sent, left_s), left_s + ANSWER_S
            )
        except TimeoutError:
            sent = sent._replace(outcome="left", detail="no end by the deadline")
        sent = sent._replace(ended_at=time.monotonic())
        self._fleet.note(sent)
        if keeps and not address and len(self._lines) < 3:
            self._lines.append((line, (vm, process_id)))
        else:
            line.close()
        return sent

    async def _talk(self, line: Line, sent: Sent, left_s: float) -> tuple[Sent, bool]:
        headers = {
            "Host": HOST,
            "Request-Id": sent.request_id,
            "Deadline-Ms": str(int(left_s * 1000)),
        }
        if sent.model:
            headers |= {"Model": sent.model, "Token-Usage": sent.tokens}
            shared = sent.part or sent.subject
            own = f"{crc32(sent.content.encode()):x}"
            headers["Prompt-Prefix"] = f"f0:100,{shared}:20,{own}:40"
        if sent.last_event:
            headers["Last-Event-Id"] = str(sent.last_event)
            headers["Resumes"] = sent.resumes
        silent_s = GAP_S if sent.model else left_s + ANSWER_S
        body = sent.content.encode()
        seen = [sent]
        try:
            got = line.send(sent.method, sent.path, headers, body, silent_s)
            await got.read_head()
            seen[0] = _headed(got, sent)
            if sent.model and 200 <= got.status < 300:
                whole = await self._read_events(got, seen)
            else:
                seen[0] = seen[0]._replace(body=await got.body())
                whole = True
        except Broken as error:
            # What was silent for too long was left by the caller, not cut off.
            silent = str(error) == "TimeoutError"
            outcome = "left" if silent else "broken"
            return seen[0]._replace(outcome=outcome, detail=str(error)), False
        except Malformed as error:
            return seen[0]._replace(outcome="malformed", detail=str(error)), False
        if not whole:
            return seen[0]._replace(outcome="left", detail="on purpose"), False
        outcome = "whole" if 200 <= got.status < 300 else "refused"
        detail = got.headers.get("retry-after", "") if outcome == "refused" else ""
        keeps = got.headers.get("connection", "").lower() != "close"
        return seen[0]._replace(outcome=outcome, detail=detail), keeps

    async def _read_events(self, got: Exchange, seen: list[Sent]) -> bool:
        """Read a stream to its end; False if the caller leaves on purpose."""
        leaves_at = (
            self._rng.randrange(1, 30) if self._rng.random() < self._leaves else 0
        )
        rest = b""
        async for piece in got.pieces():
            *events, rest = (rest + piece).split(b"\n\n")
            for event in events:
                seen[0] = _with_event(seen[0], event)
            if leaves_at and len(seen[0].events) >= leaves_at:
                return False
        seen[0] = seen[0]._replace(body=rest)
        return True


def _may_retry(sent: Sent) -> bool:
    """Whether a caller tries again, by the kind of its request."""
    if sent.outcome in ("whole", "left", "malformed"):
        return False
    if sent.outcome == "unconnected":
        return True
    if sent.outcome == "refused" and sent.status in PROMISES:
        return True
    if sent.status in (400, 401, 404, 413, 431):
        return False
    return sent.repeatable


def _headed(got: Exchange, sent: Sent) -> Sent:
    return sent._replace(
        head_at=time.monotonic(),
        status=got.status,
        seal=got.headers.get("server-seal", ""),
        answered_id=got.headers.get("request-id", ""),
    )


def _with_event(sent: Sent, event: bytes) -> Sent:
    """Add an event; one whose content is another's is counted apart."""
    fields = {}
    for line in event.decode("latin1").split("\n"):
        name, _, value = line.partition(":")
        fields[name] = value.strip()
    number = int(fields["id"]) if fields.get("id", "").isdigit() else 0
    if fields.get("data") != event_text(sent.content, number):
        return sent._replace(foreign_events=sent.foreign_events + 1)
    return sent._replace(events=(*sent.events, number))
