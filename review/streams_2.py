"""Engines with streams of a given pace, and clients that read them."""

import asyncio
from typing import NamedTuple

import rig_2 as rigs

from conformance.callers import Reading, parse_events, read_response
from conformance.engines import MODEL, Engine
from conformance.records import Arrival
from conformance.responses import make_response
from conformance.targets import Port

DEADLINE_MS = 7500


class PacedEngine(Engine):
    """An engine that writes ``events`` events to each stream, ``event_s`` apart.

    Before the event ``pause_before`` it pauses for ``pause_s``.
    """

    def __init__(self, rig: rigs.Rig, name: str, events: int, event_s: float):
        super().__init__(name, "scribe", rig.target_host(), rig)
        self._rig = rig
        self._events = events
        self._event_s = event_s
        self.pause_before = 0
        self.pause_s = 0.0

    def entry(self) -> dict:
        """Return the entry; this engine isn't removed at short notice."""
        entry = super().entry()
        entry.pop("remainingMs", None)
        return entry

    def lose_entry(self) -> None:
        """Be cut off from the store, which removes the entry."""
        self._registered = False
        self._store.remove("servers", self.name)

    def register(self) -> None:
        """Reach the store again, and write the entry."""
        self._registered = True
        self._beat()

    def close_listener(self) -> None:
        """Refuse new connections, and serve those that are open."""
        for server in self._servers:
            server.close()
        self._servers.clear()

    async def open_listener(self) -> None:
        """Accept connections again."""
        host, _, port = self.address.rpartition(":")
        await self.listen(host, port=int(port))

    async def run(self, message, arrival: Arrival, port: Port) -> None:
        """Run a request and answer it with a stream."""
        request = arrival.request
        self._rig.note("run", engine=self.name, request=request)
        numbers = range(1, self._events + 1)
        parts = [f"id: {n}\ndata: {self.name}\n\n".encode() for n in numbers]
        headers = [*self.names(arrival), ("Weight-Versions", "1")]
        response = make_response(200, headers, parts, "chunked", True)
        for number, piece in zip(numbers, response.pieces, strict=True):
            paused = number == self.pause_before
            await asyncio.sleep(self.pause_s if paused else self._event_s)
            await self.awake.wait()
            if port.reader.at_eof() or port.writer.is_closing():
                self._rig.note("its caller left", request=request, events=number - 1)
                port.broken = True
                return
            port.writer.write(piece)
        self._rig.note("answered whole", engine=self.name, request=request)


class Stream(NamedTuple):
    """What a client got of a stream."""

    request: str
    status: int
    events: int
    complete: bool


async def read_stream(
    rig: rigs.Rig, front: str, number: int, adapter: str = ""
) -> Stream:
    """Send one request on a connection that the client keeps, and read its stream."""
    host, _, port = front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    request = f"r{number:04d}"
    model = f"{MODEL}/{adapter}" if adapter else MODEL
    head = (
        f"POST /recap/x HTTP/1.1\r\nHost: {rigs.HOST}\r\nRequest-Id: {request}\r\n"
        f"Deadline-Ms: {DEADLINE_MS}\r\nModel: {model}\r\nToken-Usage: 100,200\r\n"
        f"Prompt-Prefix: 5c1e07a2:60,{number + 1:x}:40\r\nContent-Length: 0\r\n\r\n"
    )
    writer.write(head.encode())
    reading, how = Reading(), "complete"
    try:
        await read_response(reader, reading)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        how = "the connection was closed before the end"
    writer.close()
    events, _ = parse_events(reading.body)
    stream = Stream(request, reading.status, len(events), reading.complete)
    rig.note("received", how=how, **stream._asdict())
    return stream


def judge(streams: list[Stream], most_cut: int = 3) -> int:
    """Return 1 if more than ``most_cut`` streams that began were cut, 0 if not."""
    begun = [each for each in streams if each.status == 200]
    cut = [each for each in begun if not each.complete]
    print(f"{len(streams)} sent, {len(begun)} streams begun, {len(cut)} of them cut")
    if len(begun) < 0.9 * len(streams):
        return rigs.NOT_RUN
    return rigs.BROKEN if len(cut) > most_cut else rigs.HELD
