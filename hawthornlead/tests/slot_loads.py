"""Simulation of one engine with few slots under load, in steps of 10 ms; no network.

It runs seeded requests against the real ``EngineSlots`` and ``SlotQueue`` and counts
their outcomes. Runs, loads and demand are those of a busy day: half a second a run,
0.28 s a fetch, and demand by a power law over many adapters.
"""

import random
from typing import NamedTuple

from hawthornlead.gateway.engine_slots import AdapterKey, EngineSlots, SlotState
from hawthornlead.gateway.records import EngineSpec, ModelSpec
from hawthornlead.gateway.slot_queues import SlotQueue, SlotRequest

STEP_S = 0.01
LOAD_S = 0.28
RUN_S = 0.5
FIRST_S = 0.1
OBJECTIVE_S = 1.0
ANNOUNCE_INTERVAL_S = 0.24
MODEL = ModelSpec("tide", 100.0, 2.0, 400, 1.0)
SPEC = EngineSpec(64, 100_000, 200.0, 5, 6.0, (MODEL,))


class Policy(NamedTuple):
    """How late ends of requests are known, and whether requests wait in the queue."""

    end_known_after_s: float
    waits: bool


class Outcome(NamedTuple):
    """Outcomes of requests by the rank of their route, and the number of fetches."""

    requested: dict[int, int]
    in_time: dict[int, int]
    refused: dict[int, int]
    fetched: int

    @property
    def share_in_time(self) -> float:
        """The share of all requests that started within their objective."""
        return sum(self.in_time.values()) / sum(self.requested.values())

    @property
    def share_refused(self) -> float:
        """The share of all requests that were refused."""
        return sum(self.refused.values()) / sum(self.requested.values())


class _Waiting(NamedTuple):
    arrived_at: float
    rank: int
    slot_request: SlotRequest


class SlotLoad:
    """One engine that gets ``per_s`` requests a second for a minute."""

    def __init__(self, policy: Policy, seed: int, per_s: float):
        self._policy = policy
        self._rng = random.Random(seed)
        self._per_s = per_s
        self._now = 0.0
        self._slots = EngineSlots(SPEC)
        self._queue = SlotQueue()
        self._running: dict[AdapterKey, int] = {}
        self._run_ends: list[tuple[float, AdapterKey]] = []
        self._end_notices: list[tuple[float, AdapterKey]] = []
        self._arrivals: list[tuple[float, AdapterKey]] = []
        self._joined: dict[AdapterKey, list[_Waiting]] = {}
        self._waiting: list[_Waiting] = []
        self._weights = [number**-1.2 for number in range(1, 401)]
        self._outcome = Outcome({0: 0, 1: 0}, {0: 0, 1: 0}, {0: 0, 1: 0}, 0)

    def play(self, length_s: float = 60.0) -> Outcome:
        """Run the load and return its outcome."""
        while self._now < length_s:
            self._now += STEP_S
            self._end_runs()
            self._end_loads()
            self._serve_queue()
            if self._rng.random() < self._per_s * STEP_S:
                self._arrive()
        return self._outcome

    def _arrive(self) -> None:
        number = self._rng.choices(range(400), self._weights)[0]
        rank = 0 if self._rng.random() < 0.2 else 1
        key = AdapterKey("tide", f"a{number}")
        due_at = self._now + OBJECTIVE_S - LOAD_S - FIRST_S
        waiting = _Waiting(self._now, rank, SlotRequest(key, rank, due_at, due_at))
        self._outcome.requested[rank] += 1
        self._slots.record_use(key, 1, self._now)
        if self._try(waiting):
            return
        expected_s = self._queue.expected_wait(waiting.slot_request, self._now)
        if self._policy.waits and self._now + expected_s <= due_at:
            self._queue.add(waiting.slot_request)
            self._waiting.append(waiting)
            return
        self._outcome.refused[rank] += 1

    def _try(self, waiting: _Waiting) -> bool:
        key = waiting.slot_request.key
        slot = self._slots.slots.get(key)
        if slot is not None and slot.state is SlotState.READY:
            self._start_run(waiting)
            return True
        if slot is not None:
            self._joined[key].append(waiting)
            return True
        if not self._queue.is_next(key, self._now):
            return False
        if not self._slots.has_capacity(key):
            self._slots.apply_running(self._running)
            victim = self._slots.victim(self._now, ANNOUNCE_INTERVAL_S)
            if victim is None:
                return False
            self._slots.remove(victim)
        self._slots.set(key, 1, SlotState.ARRIVING, self._now)
        self._queue.record_taken(self._now)
        self._joined[key] = [waiting]
        self._arrivals.append((self._now + LOAD_S, key))
        self._outcome = self._outcome._replace(fetched=self._outcome.fetched + 1)
        return True

    def _start_run(self, waiting: _Waiting) -> None:
        key = waiting.slot_request.key
        if self._now + FIRST_S - waiting.arrived_at <= OBJECTIVE_S:
            self._outcome.in_time[waiting.rank] += 1
        self._slots.record_turn(key, "vm-1", self._now)
        self._running[key] = self._running.get(key, 0) + 1
        ends_at = self._now + self._rng.expovariate(1 / RUN_S)
        self._run_ends.append((ends_at, key))

    def _end_runs(self) -> None:
        for ends_at, key in [each for each in self._run_ends if each[0] <= self._now]:
            self._run_ends.remove((ends_at, key))
            self._end_notices.append((ends_at + self._policy.end_known_after_s, key))
        for known_at, key in [
            each for each in self._end_notices if each[0] <= self._now
        ]:
            self._end_notices.remove((known_at, key))
            self._running[key] -= 1
            if not self._running[key]:
                del self._running[key]
            self._slots.end_turn(key, "vm-1")

    def _end_loads(self) -> None:
        for ready_at, key in [each for each in self._arrivals if each[0] <= self._now]:
            self._arrivals.remove((ready_at, key))
            self._slots.set(key, 1, SlotState.READY, self._now)
            for waiting in self._joined.pop(key):
                self._start_run(waiting)

    def _serve_queue(self) -> None:
        for waiting in tuple(self._waiting):
            if self._now > waiting.slot_request.until:
                self._outcome.refused[waiting.rank] += 1
            elif not self._try(waiting):
                continue
            self._waiting.remove(waiting)
            self._queue.remove(waiting.slot_request)
