"""Targets: servers of plain services, and what all targets have in common.

A target registers in the store, answers health checks, and records what arrives and
what it sends. Its faults are drawn for each response from a generator of its own.
"""

import asyncio
import contextlib
import random
import time
from collections import deque

from .messages import Message, head_bytes, read_message
from .records import FIXED_HEADERS, Answer, AnswerEnd, Arrival, Extra, Run, digest
from .responses import FRAMINGS, Faults, Plan, Response, make_response, without_id
from .servers import Server, reset
from .stores import Store

HEARTBEAT_S = 1.2
# Longer than any call waits for a response.
SILENT_S = 30.0
BODY_MARK = b"0123456789abcdef-"
REMEMBERED = 12


class Port:
    """One connection to a target, with the copy that is due before the next response.

    ``broken`` means that nothing else is sent on it, and ``sent`` counts the bytes of
    the response that is being sent.
    """

    def __init__(self, name: str, reader, writer):
        self.name = name
        self.reader = reader
        self.writer = writer
        self.due = b""
        self.broken = False
        self.sent = 0


class Target(Server):
    """A target of a plain service.

    ``failing`` and ``refusing`` are the shares of requests that it answers with a 500,
    or refuses unrun. ``awake`` is cleared while it stands still.
    """

    models = ""

    def __init__(self, name: str, service: str, host: str, world):
        super().__init__()
        self.name = name
        self.service = service
        self.zone = "hall-a"
        self.software = "v1"
        self.faults = Faults()
        self.failing = 0.0
        self.refusing = 0.0
        self.left = False
        self.says_leaving = False
        self.awake = asyncio.Event()
        self.awake.set()
        self.born = int(time.time() * 1000)
        self._host = host
        self._world = world
        self._store: Store = world.store
        self._state = "ready"
        self._registered = True
        self._beats = 0
        self._beating: asyncio.Task | None = None
        self._sent: deque[bytes] = deque(maxlen=REMEMBERED)
        self.rng = random.Random(f"{world.seed} {name}")

    # Its life

    async def start(self) -> None:
        """Listen and register."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        await self.listen(self._host, port=port)
        self._beat()
        self._beating = asyncio.create_task(self._heartbeats())

    async def stop(self) -> None:
        """End everything."""
        if self._beating is not None:
            self._beating.cancel()
        await self.close()

    async def restart(self, rest_s: float) -> None:
        """Crash, and start again under the same id and address."""
        await self.stop()
        await asyncio.sleep(rest_s)
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.forget()
        await self.start()

    def forget(self) -> None:
        """Lose what a process loses at its end."""
        self._sent.clear()

    def leave(self, drains: bool) -> None:
        """Leave: by a last entry that says so, or by the removal of the entry."""
        self.left = True
        if drains:
            self._state = "draining"
            self._beat()
            return
        self._registered = False
        self._store.remove("servers", self.name)

    def entry(self) -> dict:
        """Return the target's entry of the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": 64,
            "state": self._state,
            "coldRemainingMs": 0,
            "seq": self._beats,
            **self.describe(),
        }
        if self._state == "draining":
            entry["remainingMs"] = 4000
        return entry

    def describe(self) -> dict:
        """Return what a report and an entry say of its models and its start."""
        return {"models": [], "born": self.born}

    def _beat(self) -> None:
        self._beats += 1
        if self._registered:
            self._store.write("servers", self.name, self.entry())

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S * self.rng.uniform(0.9, 1.1))
            await self.awake.wait()
            self._beat()

    # Connections

    async def serve(self, reader, writer, label: str) -> None:
        """Serve one connection, one request at a time."""
        port = Port(f"{self.name}#{next(self._numbers)}", reader, writer)
        while (message := await read_message(reader)) is not None:
            await self.awake.wait()
            if not await self.control(message, port):
                await self._handle(message, port)
            if port.broken:
                return
            await writer.drain()

    async def control(self, message: Message, port: Port) -> bool:
        """Answer a call that is no caller's request; False if it is one."""
        if message.path.startswith("/v1/"):
            # Meant for an engine that had this address.
            self.write_control(port, head_bytes(421, [("Content-Length", "0")]))
            return True
        if message.path != "/health":
            return False
        names = [("Instance-Id", self.name), ("Content-Length", "0")]
        self.write_control(port, head_bytes(200, names))
        return True

    def write_control(self, port: Port, data: bytes) -> None:
        """Send the response to a call that is no caller's request."""
        self._send_due(port, 0)
        port.writer.write(data)
        if self.rng.random() < self.faults.copy:
            port.due = data

    async def _handle(self, message: Message, port: Port) -> None:
        headers = message.headers
        arrival = Arrival(
            time.monotonic(),
            self._world.next_arrival(),
            self.name,
            self.service,
            self.software,
            port.name,
            headers.get("Request-Id", ""),
            message.method,
            message.path,
            [headers.get(name, "") for name in FIXED_HEADERS],
            digest(message.body),
            headers.get("Expect-Instance", ""),
        )
        self._world.history.add(arrival)
        refused = self._refusal(message)
        if refused:
            await self._refuse(arrival, port, refused)
            return
        self._world.history.add(Run(time.monotonic(), arrival.arrival))
        with self.working(message):
            await self.run(message, arrival, port)

    def _refusal(self, message: Message) -> int:
        """Return the status by which the target refuses a request, 0 if it runs."""
        if message.headers.get("Expect-Instance", self.name) != self.name:
            return 421
        if self.rng.random() < self.refusing:
            return self.rng.choice((503, 503, 421, 429))
        return self.refusal(message)

    def refusal(self, message: Message) -> int:
        """Return the status of a refusal that depends on the kind of target."""
        return 0

    @contextlib.contextmanager
    def working(self, message: Message):
        """Note that the request runs."""
        yield

    async def _refuse(self, arrival: Arrival, port: Port, status: int) -> None:
        headers = self.names(arrival, sealed=self.rng.random() < 0.5)
        if self.rng.random() < 0.3:
            headers = [each for each in headers if each[0] != "Request-Id"]
        if status != 421:
            headers.append(("Not-Executed", "1"))
        body = b"refused by " + self.name.encode()
        response = make_response(status, headers, [body], "length")
        await self.answer(arrival, port, response, body)

    def names(self, arrival: Arrival, sealed: bool = True) -> list[tuple[str, str]]:
        """Return the headers of a response to a request, in any order."""
        headers = [("Request-Id", arrival.request), ("Content-Type", "text/plain")]
        if sealed:
            seal = digest(f"{self._world.seed} {arrival.arrival}".encode())
            headers.append(("Server-Seal", seal))
        if self.left and self.says_leaving:
            headers.append(("Server-Leaving", "1"))
        headers.append(("Keep-Alive", "timeout=10"))
        self.rng.shuffle(headers)
        return headers

    # Runs

    async def run(self, message: Message, arrival: Arrival, port: Port) -> None:
        """Run a request and answer it."""
        await asyncio.sleep(self.rng.uniform(0.002, 0.04))
        if self.rng.random() < self.failing:
            await self.fail(arrival, port)
        else:
            await self.answer_plain(arrival, port, 200)

    async def fail(self, arrival: Arrival, port: Port) -> None:
        """Answer a request that ran with a failure."""
        await self.answer_plain(
            arrival, port, self.rng.choice((500, 500, 502, 503, 404))
        )

    async def answer_plain(self, arrival: Arrival, port: Port, status: int) -> None:
        """Answer a request with a body that is no stream."""
        body = f"{self.name} {arrival.arrival} {arrival.request} ".encode()
        body += BODY_MARK * self.rng.choice((0, 1, 5, 60, 500))
        framing = self.rng.choice(FRAMINGS)
        half = self.rng.randrange(1, len(body))
        parts = [body[:half], body[half:]]
        response = make_response(status, self.names(arrival), parts, framing)
        await self.answer(arrival, port, response, body)

    async def answer(
        self,
        arrival: Arrival,
        port: Port,
        response: Response,
        body: bytes,
        events: list[bytes] = (),
        number: int = 1,
        pause_s: float = 0.002,
    ) -> None:
        """Send a response as its plan says, ``pause_s`` between its pieces."""
        plan = self.faults.draw(self.rng, response)
        seal = digest(f"{self._world.seed} {arrival.arrival}".encode())
        self._world.history.add(
            Answer(
                time.monotonic(),
                arrival.arrival,
                response.status,
                seal if f"Server-Seal: {seal}".encode() in response.data else "",
                digest(body),
                len(body),
                response.framing,
                plan.words,
                [digest(event) for event in events],
                number,
            )
        )
        self._send_due(port, arrival.arrival)
        port.sent, how = 0, "broken off"
        try:
            how = await self._send_pieces(port, response, plan, pause_s)
        finally:
            size = len(response.data)
            self._world.history.add(
                AnswerEnd(time.monotonic(), arrival.arrival, port.sent, size, how)
            )
        if how == "whole":
            self._end_whole(port, arrival, response, plan)
        elif how == "cut":
            await self._end_cut(port, arrival, response, plan.after)

    async def _send_pieces(
        self, port: Port, response: Response, plan: Plan, pause_s: float
    ) -> str:
        end = len(response.data) if plan.cut is None else plan.cut
        for piece in response.pieces:
            if port.sent:
                await asyncio.sleep(pause_s)
            await self.awake.wait()
            if port.writer.transport.is_closing() or port.reader.at_eof():
                port.broken = True
                return "its caller left"
            port.writer.write(piece[: end - port.sent])
            port.sent = min(end, port.sent + len(piece))
            if port.sent == plan.cut:
                return "cut"
        return "whole"

    def _end_whole(self, port, arrival: Arrival, response: Response, plan) -> None:
        data = response.data
        self._sent.append(data)
        if response.framing == "close":
            port.writer.close()
            port.broken = True
            return
        if not plan.copy:
            return
        copy = data if plan.copy_named else without_id(data)
        copy = copy[: plan.copy_cut]
        if plan.copy == "late":
            port.due = copy
            return
        port.writer.write(copy)
        self._record_extra(port, arrival.arrival, copy, "at once")

    async def _end_cut(self, port, arrival: Arrival, response, after: str) -> None:
        await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.01, 0.03)))
        if after == "joined":
            data = self._other(arrival, response)
            port.writer.write(data)
            self._record_extra(port, arrival.arrival, data, "joined to the cut one")
            return
        port.broken = True
        if after == "reset":
            await asyncio.sleep(0.02)
            reset(port.writer)
        elif after == "close":
            port.writer.close()
        else:
            with contextlib.suppress(TimeoutError, OSError):
                await asyncio.wait_for(port.reader.read(1), SILENT_S)

    def _other(self, arrival: Arrival, response: Response) -> bytes:
        """Return the response that goes on where this request's was cut."""
        draw = self.rng.random()
        if draw < 0.4 and self._sent:
            return self.rng.choice(self._sent)
        if draw < 0.6:
            return response.data
        headers = self.names(arrival, sealed=False)
        if draw < 0.8 and self._world.unnamed_joined:
            headers = [each for each in headers if each[0] != "Request-Id"]
        headers.append(("Not-Executed", "1"))
        return make_response(503, headers, [b"refused"], "length").data

    def _send_due(self, port: Port, arrival: int) -> None:
        if port.due:
            port.writer.write(port.due)
            self._record_extra(port, arrival, port.due, "late")
            port.due = b""

    def _record_extra(self, port: Port, arrival: int, data: bytes, how: str) -> None:
        named = "with" if b"request-id:" in data.lower() else "without"
        start = data[:40].decode("latin1")
        what = f"{len(data)} bytes {how}, {named} an id: {start!r}"
        self._world.history.add(Extra(time.monotonic(), port.name, arrival, what))
