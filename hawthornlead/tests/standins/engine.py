"""Stand-in of a model engine: slots, orders, batches, and the record of what ran.

It is the judge of what truly ran: ``record()["runs"]`` lists every run with id,
adapter, version, prompt hash, start, end and tokens, and ``violations`` what must
never happen, such as ``evicted_while_running``. ``max_tokens`` counts from index 0
also when an answer resumes at an offset. A greater priority goes first.

The faults that count (``fail_loads``, ``cross_answers``, ``truncate``, ``double``,
``double_tokens``, ``wrong_version``, ``overload``) hold for that many next runs or
loads; -1 is all. ``crash_marker`` in a prompt crashes the engine at that run's
first step; setting ``crash`` or ``restart`` true does it at once. After
``restart_s`` it listens again, with a new boot id and empty slots.
"""

import uuid
from collections import Counter, deque

from .base import StandIn, run_by_hand, stand_in
from .engine_handlers import ROUTES
from .engine_orders import OrderBook
from .engine_runs import Batch, Request, Run


@stand_in("engine")
class EngineStandIn(StandIn):
    """A model engine with few adapter slots."""

    FAULTS = {
        "base_models": ["base"],
        "slots": 4,
        "max_running": 8,
        "max_queued": 64,
        "token_s": 0.005,
        "fencing": False,
        "weight_store": "",
        "load_s": 0.02,
        "order_delay_s": 0.0,
        "fail_loads": 0,
        "crash_marker": "",
        "crash_after_tokens": 0,
        "crash": False,
        "restart": False,
        "restart_s": 0.3,
        "cross_answers": 0,
        "late_s": 0.0,
        "truncate": 0,
        "double": 0,
        "double_tokens": 0,
        "wrong_version": 0,
        "overload": 0,
        "leaving": False,
        "report_lag_s": 0.0,
        "cache_lag_s": 0.2,
        "cache_gap": 0,
    }

    def __init__(self, **kwargs):
        self.runs: deque[dict] = deque(maxlen=100_000)
        self.violations: list[dict] = []
        self.counts: Counter = Counter()
        self.batch = Batch(1)
        self.book = OrderBook(self)
        self.boots = 0
        self.boot_id = ""
        self.cache_events: list[dict] = []
        self._snapshots: deque[tuple[float, dict]] = deque(maxlen=10_000)
        self._held: Run | None = None
        self._stepping = False
        super().__init__(**kwargs)
        # The engine's own clock: it shares nothing with any VM's.
        self._clock_offset = self.rng.uniform(1e4, 1e6)
        self._boot()

    def routes(self) -> list:
        """Return the routes of the engine protocol."""
        return ROUTES

    def now(self) -> float:
        """Seconds on the engine's own clock."""
        return self.timers.now() + self._clock_offset

    def faults_changed(self, changes: dict) -> None:
        """Restart when asked to."""
        self.batch.size = self.faults["max_running"]
        if changes.get("crash") or changes.get("restart"):
            self.faults["crash"] = self.faults["restart"] = False
            self.crash_now()

    def record(self) -> dict:
        """Return runs, orders, violations and counts."""
        return {
            "boots": self.boots,
            "boot_id": self.boot_id,
            "runs": list(self.runs),
            "orders": list(self.book.orders),
            "violations": self.violations,
            "counts": dict(self.counts),
            "residents": [list(key) for key in self.book.residents],
        }

    def report(self) -> dict:
        """Return the load report as it was ``report_lag_s`` ago."""
        self.snapshot()
        seen_at = self.now() - self.faults["report_lag_s"]
        shown = {"boot_id": self.boot_id, "residents": [], "running": 0, "queued": 0}
        for at, snapshot in self._snapshots:
            if at > seen_at:
                break
            shown = snapshot
        return {
            **shown,
            "as_of": seen_at,
            "slots": self.faults["slots"],
            "max_running": self.faults["max_running"],
            "steps": self.batch.steps,
            "step_fill": self.batch.step_fill,
        }

    def snapshot(self) -> None:
        """Note the present state for the report."""
        used = Counter(self.key_of(run) for run in self.batch.runs)
        residents = [
            {"adapter": adapter, "version": version, "running": used[adapter, version]}
            for adapter, version in self.book.residents
        ]
        state = {
            "boot_id": self.boot_id,
            "running": len(self.batch.running),
            "queued": len(self.batch.queued),
            "residents": residents,
        }
        if not self._snapshots or self._snapshots[-1][1] != state:
            self._snapshots.append((self.now(), state))

    def key_of(self, run: Run) -> tuple[str, str]:
        """Return the adapter and version that a run uses."""
        return (run.request.adapter, run.request.version)

    def refusal(self, request: Request) -> tuple[int, str] | None:
        """Return status and error where a request can't be run now."""
        if self.faults["leaving"]:
            return 409, "leaving"
        if request.base_model and request.base_model not in self.faults["base_models"]:
            return 409, "adapter-not-loaded"
        if (request.adapter, request.version) not in self.book.residents:
            return 409, "adapter-not-loaded"
        full = len(self.batch.queued) >= self.faults["max_queued"]
        if full or self.take("overload"):
            return 503, "overloaded"
        return None

    def begin(self, run: Run) -> None:
        """Take a run into the batch."""
        self.runs.append(run.entry)
        if not self._crosses(run):
            self.add(run)

    def add(self, run: Run) -> None:
        """Queue a run and see to it that steps are made."""
        self.batch.add(run)
        self.snapshot()
        if not self._stepping:
            self._stepping = True
            self.spawn(self._step())

    def cancel(self, request_id: str, outcome: str = "cancelled") -> bool:
        """Cancel a run by id, freeing its place in the batch."""
        held = [self._held] if self._held else []
        found = False
        for run in self.batch.runs + held:
            if run.request.id != request_id or run.ended:
                continue
            run.entry["cancelled"] = True
            self._end(run, outcome)
            found = True
        self.batch.drop_ended()
        self.snapshot()
        return found

    def evict_runs(self, key: tuple[str, str]) -> None:
        """Break the runs of an adapter that was evicted under them."""
        for run in self.batch.runs:
            if self.key_of(run) != key or run.ended:
                continue
            self.violations.append(
                {"violation": "evicted_while_running", "id": run.request.id}
                | {"adapter": key[0], "version": key[1], "at": self.now()}
            )
            self._end(run, "evicted")
        self.batch.drop_ended()

    def crash_now(self) -> None:
        """Lose all runs and slots, reset all connections, come back later."""
        self.counts["crashes"] += 1
        for run in self.batch.runs:
            self._end(run, "crashed")
        if self._held:
            self._end(self._held, "crashed")
        self._boot()
        self.spawn(self.crash(self.faults["restart_s"]))

    def _boot(self) -> None:
        self.boots += 1
        self.boot_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        self.batch = Batch(self.faults["max_running"])
        self.book.forget()
        self._held = None
        self._snapshots.clear()
        self.snapshot()

    def _crosses(self, run: Run) -> bool:
        """Hold a run until a second one comes, then swap their answers."""
        if not self.faults["cross_answers"]:
            return False
        if self._held is None or self._held.ended:
            self._held = run
            return True
        other, self._held = self._held, None
        self.take("cross_answers")
        self.counts["crossed"] += 1
        run.sink, other.sink = other.sink, run.sink
        # The handlers wait on the queues they were given: the answers are swapped.
        self.add(other)
        return False

    async def _step(self) -> None:
        try:
            while self.batch.runs:
                await self.timers.sleep(self.faults["token_s"])
                self._one_step()
        finally:
            self._stepping = False

    def _one_step(self) -> None:
        batch = self.batch
        completed = batch.step(self.now())
        if self._marked(batch):
            self.crash_now()
            return
        for run in completed:
            self._end(run, "done")
        batch.drop_ended()
        self.snapshot()

    def _marked(self, batch: Batch) -> bool:
        marker = self.faults["crash_marker"]
        if not marker:
            return False
        after = self.faults["crash_after_tokens"]
        return any(
            marker in run.request.prompt and run.entry["tokens"] >= after
            for run in batch.running
        )

    def _end(self, run: Run, outcome: str) -> None:
        run.end(self.now(), outcome)
        self.counts[outcome] += 1
        self.cache_events.append(
            {"seq": len(self.cache_events) + 1, "at": self.timers.now()}
            | {"adapter": run.request.adapter, "prefix": run.entry["prompt"]}
        )


if __name__ == "__main__":
    run_by_hand(EngineStandIn)()
