"""The load client of the path's measurement, in a process of its own.

Reads one plan as JSON from standard input and prints the outcome as JSON. In an open
plan requests have a time at which they should be sent, drawn with a fixed seed, and
their latencies count from then, also when the client was late. Requests go to the
plan's routes in turn at random, so that all routes are measured in the same seconds.
"""

import asyncio
import json
import random
import sys
import time
from collections import deque
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

TOKEN = b'data: {"i"'
DONE = b'data: {"done"'
END = b"0\r\n\r\n"
OK_START = b"HTTP/1.1 200"
PERCENTILES = (50, 95, 99)


class Call(NamedTuple):
    """One prepared request: where it goes and its bytes."""

    route: str
    address: str
    data: bytes


class Outcome:
    """Latencies of one route, in microseconds."""

    def __init__(self):
        self.first = HdrHistogram(1, 600_000_000, 3)
        self.gap = HdrHistogram(1, 600_000_000, 3)
        self.whole = HdrHistogram(1, 600_000_000, 3)
        self.sent = 0
        self.answered = 0
        self.failed = 0
        self.tokens = 0
        self.errors: list[str] = []

    def summary(self) -> dict[str, Any]:
        """Return the counts and percentiles."""
        return {
            "sent": self.sent,
            "answered": self.answered,
            "failed": self.failed,
            "tokens": self.tokens,
            "errors": self.errors[:3],
            "first_token_us": _percentiles(self.first),
            "between_tokens_us": _percentiles(self.gap),
            "whole_us": _percentiles(self.whole),
        }


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    found = {
        f"p{each}": histogram.get_value_at_percentile(each) for each in PERCENTILES
    }
    return found | {"mean": round(histogram.get_mean_value(), 1)}


class Connection(asyncio.Protocol):
    """One connection, for one request at a time."""

    def __init__(self):
        self._transport = None
        self._tail = b""
        self._outcome: Outcome | None = None
        self._due = 0.0
        self._last_at = 0.0
        self._complete = False
        self._done: asyncio.Future | None = None

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport

    def start(self, data: bytes, outcome: Outcome, due: float) -> asyncio.Future:
        """Send a request; the future tells whether its answer came whole."""
        self._tail, self._outcome, self._due = b"", outcome, due
        self._last_at, self._complete = 0.0, False
        self._done = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return self._done

    def close(self) -> None:
        """Close the connection."""
        self._transport.abort()

    def data_received(self, data):
        """Count tokens and find the end."""
        now = time.perf_counter()
        seen = self._tail + data
        count = seen.count(TOKEN)
        if count:
            self._count(count, now)
        if DONE in seen:
            self._complete = True
        self._tail = seen[-(len(DONE) - 1) :]
        # A token's text never holds the start of an event, so that what is cut off
        # here can't be counted twice.
        if len(self._tail) >= len(TOKEN) and TOKEN in self._tail:
            self._tail = self._tail[self._tail.rindex(TOKEN) + len(TOKEN) :]
        refused = seen.startswith(b"HTTP/1.1 ") and not seen.startswith(OK_START)
        if refused or seen.endswith(END):
            self._end(now, seen)

    def _count(self, count: int, now: float) -> None:
        outcome = self._outcome
        outcome.tokens += count
        if not self._last_at:
            outcome.first.record_value(int((now - self._due) * 1e6))
        else:
            # Tokens that came in one read have no time between them but the first.
            outcome.gap.record_value(max(1, int((now - self._last_at) * 1e6)))
        for _ in range(count - 1):
            outcome.gap.record_value(1)
        self._last_at = now

    def _end(self, now: float, seen: bytes) -> None:
        if self._done is None or self._done.done():
            return
        if self._complete:
            self._outcome.whole.record_value(int((now - self._due) * 1e6))
        else:
            self._outcome.errors.append(seen[-300:].decode(errors="replace"))
        self._done.set_result(self._complete)

    def connection_lost(self, error):
        """End a request that was under way."""
        if self._done is not None and not self._done.done():
            self._outcome.errors.append(f"closed: {error}")
            self._done.set_result(False)


class Client:
    """Sends calls and collects what came of them by route."""

    def __init__(self):
        self._idle: dict[str, deque[tuple[float, Connection]]] = {}
        self.outcomes: dict[str, Outcome] = {}

    async def send(self, call: Call, due: float) -> None:
        """Send one call, counted from ``due`` (``time.perf_counter``)."""
        outcome = self.outcomes.setdefault(call.route, Outcome())
        outcome.sent += 1
        try:
            connection = await self._connection(call.address)
            whole = await connection.start(call.data, outcome, due)
        except OSError as error:
            outcome.failed += 1
            outcome.errors.append(str(error))
            return
        if whole:
            outcome.answered += 1
            idle = self._idle.setdefault(call.address, deque())
            idle.append((time.perf_counter(), connection))
        else:
            outcome.failed += 1
            connection.close()

    async def _connection(self, address: str) -> Connection:
        idle = self._idle.get(address)
        while idle:
            since, connection = idle.pop()
            if time.perf_counter() - since < 60:
                return connection
            connection.close()
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(Connection, host, int(port))
        return connection


async def run_open(client: Client, calls: list[Call], rate: float, seconds: float):
    """Send calls at random at ``rate`` a second, whatever comes back."""
    rng = random.Random(7)
    tasks = []
    due = time.perf_counter() + 0.1
    end = due + seconds
    while due < end:
        pause = due - time.perf_counter()
        if pause > 0:
            await asyncio.sleep(pause)
        tasks.append(asyncio.create_task(client.send(rng.choice(calls), due)))
        due += rng.expovariate(rate)
    await asyncio.wait_for(asyncio.gather(*tasks), 60)


async def run_closed(client: Client, calls: list[Call], width: int, seconds: float):
    """Keep ``width`` calls under way."""
    end = time.perf_counter() + seconds

    async def keep(number: int):
        rng = random.Random(number)
        while time.perf_counter() < end:
            await client.send(rng.choice(calls), time.perf_counter())

    await asyncio.gather(*(keep(number) for number in range(width)))


async def run(plan: dict[str, Any]) -> dict[str, Any]:
    """Carry out one plan."""
    client = Client()
    calls = [
        Call(each["route"], each["address"], each["data"].encode())
        for each in plan["calls"]
    ]
    began = time.perf_counter()
    used = time.process_time()
    if plan["loop"] == "open":
        await run_open(client, calls, plan["rate"], plan["seconds"])
    else:
        await run_closed(client, calls, plan["width"], plan["seconds"])
    seconds = time.perf_counter() - began
    return {
        "seconds": round(seconds, 2),
        "client_core_share": round((time.process_time() - used) / seconds, 3),
        "routes": {
            route: outcome.summary() for route, outcome in client.outcomes.items()
        },
    }


if __name__ == "__main__":
    print(json.dumps(asyncio.run(run(json.load(sys.stdin)))))
