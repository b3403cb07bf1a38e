"""Model engines: they hold adapters by orders and answer with streams of events.

Orders and adapters are developed from ``Engine`` of ``review/standins.py``.
"""

import asyncio
import contextlib
import json

from .messages import Message, json_response
from .records import Arrival
from .responses import make_response
from .targets import Port, Target

MODEL = "daka510000"
ADAPTER_S = 0.15
ADAPTER_SLOTS = 8
EVENTS = 14
EVENT_S = 0.02
FIRST_S = 0.03


class Engine(Target):
    """A model engine."""

    def __init__(self, name: str, service: str, host: str, world):
        super().__init__(name, service, host, world)
        self.forget()

    def forget(self) -> None:
        """Lose what a process loses at its end."""
        super().forget()
        self._orders = 0
        self._adapters: dict[str, int] = {}
        self._pending: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._using: dict[str, int] = {}
        for task in getattr(self, "_fetching", {}).values():
            task.cancel()
        self._fetching: dict[str, asyncio.Task] = {}

    def describe(self) -> dict:
        """Return what a report and an entry say of its models and its start."""
        names = [
            f"{name}@{version}" for name, version in sorted(self._adapters.items())
        ]
        model = {"name": MODEL, "version": 1, "adapters": names}
        return {"models": [model], "born": self.born}

    async def control(self, message: Message, port: Port) -> bool:
        """Answer reports and orders, too."""
        if message.path == "/v1/report":
            self.write_control(port, json_response(200, self._report()))
            return True
        if message.path == "/v1/order":
            status = self._take(json.loads(message.body), message)
            self.write_control(port, json_response(status, {}))
            return True
        return await super().control(message, port)

    def _report(self) -> dict:
        return {
            "stage": "both",
            "busy": False,
            "seq": self._orders,
            "queued": 0,
            "inFlight": sum(self._using.values()),
            "kvUsed": 1000,
            "kvTotal": 157002,
            "handles": 0,
            "pending": [
                f"{MODEL}/{name}@{version}" for name, version in self._pending.items()
            ],
            **self.describe(),
        }

    def _take(self, order: dict, message: Message) -> int:
        if message.headers.get("Expect-Instance", self.name) != self.name:
            return 421
        if not order.get("holder") or order.get("fence") is None:
            return 400
        if order.get("precondition", self._orders) != self._orders or self._leaving:
            return 409
        name = order.get("adapter")
        if name is None:
            return 200
        if order["op"] == "load":
            return self._load(name, order.get("version") or 1)
        return self._unload(name)

    def _load(self, name: str, version: int) -> int:
        if name in self._adapters or name in self._pending:
            return 200
        self._orders += 1
        self._pending[name] = version
        self._fetching[name] = asyncio.create_task(self._fetch(name))
        return 202

    async def _fetch(self, name: str) -> None:
        await asyncio.sleep(ADAPTER_S)
        self._adapters[name] = self._pending.pop(name)
        del self._fetching[name]

    def _unload(self, name: str) -> int:
        self._orders += 1
        if self._pending.pop(name, None) is not None:
            self._fetching.pop(name).cancel()
            return 200
        if self._using.get(name):
            self._leaving.add(name)
            return 202
        self._adapters.pop(name, None)
        return 200

    def refusal(self, message: Message) -> int:
        """Refuse what needs an adapter that isn't there."""
        adapter = message.headers.get("Model", "").partition("/")[2]
        if adapter in self._pending or adapter in self._leaving:
            return 503
        return 421 if adapter and adapter not in self._adapters else 0

    @contextlib.contextmanager
    def working(self, message: Message):
        """Keep the adapter while the request runs."""
        adapter = message.headers.get("Model", "").partition("/")[2]
        using = self._using
        using[adapter] = using.get(adapter, 0) + 1
        try:
            yield
        finally:
            using[adapter] -= 1
            if not using[adapter] and adapter in self._leaving:
                self._leaving.discard(adapter)
                self._adapters.pop(adapter, None)

    async def run(self, message: Message, arrival: Arrival, port: Port) -> None:
        """Run a request and answer it with a stream, or with a failure."""
        if self.rng.random() < self.failing:
            await self.fail(arrival, port)
            return
        await asyncio.sleep(FIRST_S)
        first = int(message.headers.get("Last-Event-Id", "0") or "0") + 1
        events = [
            f"id: {number}\ndata: {self.name} {arrival.arrival} {'x' * number}\n\n"
            for number in range(first, max(first, EVENTS) + 1)
        ]
        parts = [event.encode() for event in events]
        framing = self.rng.choice(("chunked", "chunked", "chunked", "close"))
        headers = [*self.names(arrival), ("Weight-Versions", "1")]
        response = make_response(200, headers, parts, framing, True)
        body = b"".join(parts)
        await self.answer(arrival, port, response, body, parts, first, EVENT_S)
