"""Tests of learned run times: short requests before targets with few places."""

import heapq
from random import Random

import pytest
from prometheus_client import CollectorRegistry

from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.placers import PlacementRequest, Placer
from hawthornlead.gateway.records import (
    CallerRequest,
    Configuration,
    Route,
    RouteKind,
    ServiceShare,
    ServiceSpec,
    TargetEntry,
)
from hawthornlead.gateway.run_times import INITIAL_PLAIN_RUN_MS, RunTimes
from hawthornlead.gateway.target_choices import Holding
from hawthornlead.timers import ManualTimerService

from .test_placers import SERVICE as ENGINES
from .test_placers import FakeTargets, Quiet, Unlimited

PLAIN = ServiceSpec("bulletins", "/health", 100, None)
SLOTS = 6
OBJECTIVE_MS, DEADLINE_S = 200.0, 1.0
ROUTE = Route(
    "bulletins",
    "a.example",
    "/bulletins/",
    RouteKind.UNSAFE,
    1000.0,
    OBJECTIVE_MS,
    2,
    (ServiceShare("bulletins", 1.0),),
    1,
    False,
    0.0,
)
REQUEST = CallerRequest("r1", 1000.0, "", "", 0, 0, 0, "")


class PlainTargets(FakeTargets):
    """Targets of a plain service."""

    def __init__(self, count):
        super().__init__(0)
        for number in range(count):
            target = f"p{number}"
            self.entries[target] = TargetEntry(
                target,
                "bulletins",
                f"10.1.0.{number}:80",
                "gijon",
                SLOTS,
                False,
                None,
                (),
            )

    def holding(self, entry, service, key):
        return Holding.READY


class Load(Quiet):
    """What waits and runs at each target."""

    def __init__(self):
        self.counts = {}

    def running(self, target):
        return self.counts.get(target, 0)


class Service:
    """Targets whose requests run one after the other in each of their places."""

    def __init__(self, targets, run_s):
        self.timers = ManualTimerService()
        self.times = RunTimes()
        self._load = Load()
        self._targets = PlainTargets(targets)
        self._run_s = run_s
        self._free_at = {target: [0.0] * SLOTS for target in self._targets.entries}
        self._ends = []
        self._placer = Placer(
            data_centre="gijon",
            targets=self._targets,
            loads=self._load,
            healths=Quiet(),
            limits=Unlimited(),
            backoffs=Unlimited(),
            mesh=None,
            timers=self.timers,
            metrics=GatewayMetrics(CollectorRegistry()),
            run_times=self.times,
        )
        self._placer.apply_configuration(Configuration(1, (ROUTE,), (PLAIN,), None))

    async def ask(self) -> float | None:
        """Send a request; return how long its answer takes, None if it is refused."""
        now = self.timers.now()
        while self._ends and self._ends[0][0] <= now:
            _, target = heapq.heappop(self._ends)
            self._load.counts[target] -= 1
        wanted = PlacementRequest(
            ROUTE, "bulletins", REQUEST, now, now + DEADLINE_S, frozenset()
        )
        placed = await self._placer.place(wanted)
        if placed.is_err():
            return None
        target = placed.ok_value.entry.target
        running = self._load.counts[target] = self._load.running(target) + 1
        began_at = max(now, heapq.heappop(self._free_at[target]))
        end_at = began_at + self._run_s
        heapq.heappush(self._free_at[target], end_at)
        heapq.heappush(self._ends, (end_at, target))
        self.times.record(PLAIN, end_at - now, running, SLOTS)
        return end_at - now


async def play(service, per_s, requests, rng):
    """Return the times of all answers, and how many requests were refused."""
    took = []
    refused = 0
    for _ in range(requests):
        await service.timers.advance(rng.expovariate(per_s))
        answer_s = await service.ask()
        if answer_s is None:
            refused += 1
            continue
        took.append(answer_s)
    return took, refused


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_short_requests_that_wait_briefly_are_not_refused(seed):
    """Callers of a plain service are told that all is busy while it serves in time.

    A request was taken to last as long as a stream, so that a few that waited for a
    place seemed to be a wait of seconds.
    """
    service = Service(targets=2, run_s=0.045)
    took, refused = await play(service, 220.0, 2000, Random(seed))
    assert refused == 0
    late = sum(1000 * answer_s > OBJECTIVE_MS for answer_s in took)
    assert late < 0.02 * len(took)


async def test_long_requests_of_a_plain_service_are_learned_and_refused_in_time():
    """Callers wait for a service that is overloaded until their deadline passes."""
    service = Service(targets=1, run_s=0.4)
    took, refused = await play(service, 40.0, 2000, Random(1))
    assert service.times.run_ms(PLAIN) > 300
    assert refused > 1000
    assert sum(answer_s > DEADLINE_S for answer_s in took[200:]) < 0.02 * len(took)


def test_run_times_start_by_the_kind_of_service_and_follow_what_is_seen():
    times = RunTimes()
    assert times.run_ms(PLAIN) == INITIAL_PLAIN_RUN_MS
    assert times.run_ms(ENGINES) > 1000
    for _ in range(200):
        times.record(PLAIN, 0.02, 1, SLOTS)
        times.record(ENGINES, 1.2, 16, 8)
    assert times.run_ms(PLAIN) == pytest.approx(20, rel=0.05)
    assert times.run_ms(ENGINES) == pytest.approx(600, rel=0.05)
