"""What a stand-in target is and holds from one start to its end, and its orders."""

import asyncio
import time
from collections import Counter
from random import Random

from ..soak_gateway_records import Journal

REPORT_LAG_S = 0.15
REPORTS_KEPT = 200
MODEL_LOAD_S = 0.2
ADAPTER_LOAD_S = (0.03, 0.12)
HELD_ADAPTERS = 3
WEIGHTS_MB = 110
MODEL_MB = 100


class Incarnation:
    """One start of a target; without ``model`` it is a plain one.

    ``software`` is the version that it runs from this start on.
    ``over`` is set when it ends; what still runs in it then does nothing more.
    """

    def __init__(
        self,
        target: str,
        started_ms: int,
        model: str,
        slots: int,
        journal: Journal,
        rng: Random,
        software: str = "v1",
    ):
        self.software = software
        self._target = target
        self._journal = journal
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()
        self._told: list[tuple[float, dict]] = []
        self.started_ms = started_ms
        self.model = model
        self.over = False
        self.overloaded = asyncio.Event()
        self.crashing = asyncio.Event()
        self.awake = asyncio.Event()
        self.awake.set()
        self.models: dict[str, int] = {}
        self.adapters: dict[str, int] = {}
        self.arriving: dict[str, int] = {}
        self.leaving: set[str] = set()
        self.used: Counter = Counter()
        self.order_count = 0
        self.busy = False
        self.waiting = 0
        self.running = 0
        self.slots = asyncio.Semaphore(slots)
        self.note()

    def held(self) -> list[dict]:
        """Return its models with their adapters, as entries and reports tell them."""
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [
            {"name": name, "version": version, "adapters": adapters}
            for name, version in self.models.items()
        ]

    def note(self) -> None:
        """Keep what reports will tell in a moment."""
        pending = [f"{self.model}/{a}@{v}" for a, v in self.arriving.items()]
        told = {
            "stage": "both",
            "models": self.held(),
            "busy": self.busy,
            "seq": self.order_count,
            "pending": pending,
            "born": self.started_ms,
        }
        self._told.append((time.monotonic(), told))
        del self._told[:-REPORTS_KEPT]

    def report(self) -> dict:
        """Return its report, as of a moment ago."""
        due = time.monotonic() - REPORT_LAG_S
        told = self._told[0][1]
        for at, report in self._told:
            if at <= due:
                told = report
        live = {"queued": self.waiting, "inFlight": self.running}
        return {**told, **live, "kvUsed": 0, "kvTotal": 10000}

    def unable(self, model: str, adapter: str) -> int:
        """Return the status for what it doesn't hold, 0 if it may run."""
        if not self.model:
            # A plain service runs whatever comes.
            return 0
        if model not in self.models:
            return 421
        if adapter and (adapter in self.leaving or adapter in self.arriving):
            # An order that concerns the request is under way.
            return 503
        if adapter and adapter not in self.adapters:
            return 421
        return 0

    def unload_now(self, adapter: str) -> None:
        """Drop an adapter that no request uses any more."""
        self.leaving.discard(adapter)
        self.adapters.pop(adapter, None)
        self.note()

    def carry_out(self, order: dict, newest: dict[str, int]) -> int:
        """Carry an order out, if its count holds; return the answer's status."""
        if "holder" not in order or "fence" not in order or not self.model:
            return 400
        named = order.get("precondition", self.order_count)
        if named != self.order_count or self.busy:
            return 409
        change = self._unload if order["op"] == "unload" else self._load
        status = change(order, newest)
        self.note()
        return status

    def _unload(self, order: dict, newest: dict[str, int]) -> int:
        adapter = order.get("adapter", "")
        self.order_count += 1
        if not adapter:
            self.models.clear()
            self.adapters.clear()
            return 202
        if self.used[adapter]:
            self.leaving.add(adapter)
            return 202
        self.unload_now(adapter)
        return 200

    def _load(self, order: dict, newest: dict[str, int]) -> int:
        adapter, model = order.get("adapter", ""), order["model"]
        if not adapter:
            if model in self.models:
                return 200
            self.order_count += 1
            self.busy = True
            self._spawn(self._load_model(model))
            return 202
        if model not in self.models:
            return 400
        version = order.get("version") or newest.get(adapter, 1)
        if self.adapters.get(adapter) == version:
            return 200
        self.order_count += 1
        self._journal.loads += 1
        held = self.adapters.keys() | self.arriving.keys() | {adapter}
        weights_mb = MODEL_MB * len(self.models) + len(held)
        if len(held) > HELD_ADAPTERS or weights_mb > WEIGHTS_MB:
            # An engine that is ordered to load more than it holds crashes.
            found = f"{adapter} came to {sorted(held)} by order {order}"
            self._journal.overloaded.append(
                f"{self._target}@{self.started_ms}: {found}"
            )
            self.overloaded.set()
            return 202
        self.arriving[adapter] = version
        self._spawn(self._load_adapter(adapter, version))
        return 202

    async def _load_model(self, model: str) -> None:
        await asyncio.sleep(MODEL_LOAD_S)
        self.busy = False
        self.models[model] = 1
        self.note()

    async def _load_adapter(self, adapter: str, version: int) -> None:
        await asyncio.sleep(self._rng.uniform(*ADAPTER_LOAD_S))
        while self.used[adapter] and not self.over:
            # A replacement waits for the runs of the version before.
            await asyncio.sleep(0.01)
        self.arriving.pop(adapter, None)
        self.adapters[adapter] = version
        self.note()

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
