"""Orders of the engine stand-in: load, evict, role and fence."""

import json
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from tornado.httpclient import AsyncHTTPClient

OPS: dict[str, Callable] = {}


def operation(name: str) -> Callable[[Callable], Callable]:
    """Enter the method that carries out one kind of order."""

    def enter(method: Callable) -> Callable:
        OPS[name] = method
        return method

    return enter


class Order(NamedTuple):
    """One order as received."""

    order_id: str
    fence: int
    op: str
    adapter: str
    version: str
    base_model: str

    @classmethod
    def read(cls, body: dict) -> "Order":
        """Read an order from JSON; a missing field is a KeyError."""
        return cls(
            str(body["order_id"]),
            int(body["fence"]),
            str(body["op"]),
            str(body.get("adapter", "")),
            str(body.get("version", "")),
            str(body.get("base_model", "")),
        )

    @property
    def key(self) -> tuple[str, str]:
        """The adapter and version that the order is about."""
        return (self.adapter, self.version)


class Answer(NamedTuple):
    """How an order ended: an HTTP status and the error, if any."""

    status: int
    error: str = ""


class OrderBook:
    """The slots of one engine and the orders that it was given."""

    def __init__(self, engine):
        self._engine = engine
        self.orders: deque[dict] = deque(maxlen=100_000)
        self.residents: dict[tuple[str, str], float] = {}
        self.loading: set[tuple[str, str]] = set()
        self.fence = 0
        self.role = "serve"

    def forget(self) -> None:
        """Lose everything, as a restart does, the highest fence included."""
        self.residents = {}
        self.loading = set()
        self.fence = 0

    async def carry_out(self, order: Order) -> Answer:
        """Carry out one order and record how it ended."""
        entry = {**order._asdict(), "at": self._engine.now(), "highest": self.fence}
        self.orders.append(entry)
        if self._engine.faults["order_delay_s"]:
            await self._engine.timers.sleep(self._engine.faults["order_delay_s"])
        answer = await self._checked(order)
        entry |= {"status": answer.status, "error": answer.error}
        entry["ended"] = self._engine.now()
        self._engine.snapshot()
        return answer

    async def _checked(self, order: Order) -> Answer:
        if order.fence < self.fence:
            self._engine.counts["stale_orders"] += 1
            if self._engine.faults["fencing"]:
                return Answer(409, "stale-fence")
        self.fence = max(self.fence, order.fence)
        method = OPS.get(order.op)
        if method is None:
            return Answer(400, "unknown-op")
        return await method(self, order)

    @operation("fence")
    async def _fence(self, order: Order) -> Answer:
        return Answer(200)

    @operation("role")
    async def _role(self, order: Order) -> Answer:
        self.role = order.adapter or self.role
        return Answer(200)

    @operation("evict")
    async def _evict(self, order: Order) -> Answer:
        if order.key not in self.residents:
            return Answer(409, "not-resident")
        # Carried out even under a running request: the judge must see it.
        self._engine.evict_runs(order.key)
        del self.residents[order.key]
        self._engine.counts["evictions"] += 1
        return Answer(200)

    @operation("load")
    async def _load(self, order: Order) -> Answer:
        if order.key in self.residents:
            return Answer(200)
        if order.key in self.loading:
            return Answer(409, "no-free-slot")
        if order.base_model not in ("", *self._engine.faults["base_models"]):
            return Answer(502, "load-failed")
        used = len(self.residents) + len(self.loading)
        if used >= self._engine.faults["slots"]:
            return Answer(409, "no-free-slot")
        boot_id, loading = self._engine.boot_id, self.loading
        loading.add(order.key)
        try:
            loaded = await self._fetch(order)
        finally:
            loading.discard(order.key)
        if not loaded or boot_id != self._engine.boot_id:
            self._engine.counts["failed_loads"] += 1
            return Answer(502, "load-failed")
        self.residents[order.key] = self._engine.now()
        self._engine.counts["loads"] += 1
        return Answer(200)

    async def _fetch(self, order: Order) -> bool:
        faults = self._engine.faults
        failing = self._engine.take("fail_loads")
        if not faults["weight_store"]:
            share = 0.5 if failing else 1.0
            await self._engine.timers.sleep(faults["load_s"] * share)
            return not failing
        response = await AsyncHTTPClient(force_instance=True).fetch(
            f"http://{faults['weight_store']}/fetch",
            method="POST",
            body=json.dumps(
                {"target": self._engine.name, "adapter": order.adapter}
                | {"version": order.version}
            ),
            request_timeout=600,
            raise_error=False,
        )
        return response.code == 200 and not failing
