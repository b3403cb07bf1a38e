"""Tests of the measured speeds of engines, from the relayed stream to other VMs."""

import pytest

from hawthornlead.clocks import HybridClock
from hawthornlead.engine_speeds.engine_speeds import EngineSpeed
from hawthornlead.engine_speeds.speed_estimators import SpeedEstimator
from hawthornlead.events import EventKind, EventRing
from hawthornlead.gateway.measured_engines import MeasuredEngine, MeasuredEngines
from hawthornlead.gateway.prompt_pacers import ASSUMED_PACE
from hawthornlead.gateway.records import EngineSpec
from hawthornlead.messages.gateways import RequestEnded
from hawthornlead.timers import ManualTimerService

from .fakes_owned_engines import Bed, shorten_waits
from .gateways import MODEL, Deployment
from .test_placers import FakeTargets

FAST = EngineSpeed(40.0, 56.0, 43.0)
SPEC = EngineSpec(12, 74636, 100.0, 8, 6.0, ())


class Fleet(FakeTargets):
    """Engines of these speeds with ``counts`` of requests, as one VM knows them."""

    def __init__(self, speeds, counts=(), enabled=True):
        super().__init__(len(speeds))
        self.speeds = dict(zip(self.entries, speeds, strict=True))
        self.counts = dict(zip(self.entries, counts, strict=False))
        self.timers = ManualTimerService()
        self.events = EventRing("vm-1", HybridClock(self.timers))
        self.measured = MeasuredEngines(
            enabled=enabled,
            targets=self,
            loads=self,
            timers=self.timers,
            events=self.events,
        )

    def speed(self, target):
        return self.speeds.get(target, EngineSpeed())

    def running(self, target):
        return self.counts.get(target, 0)


def ended(event_ms):
    return RequestEnded("e0", "tide", "a1", 0, None, event_ms, 2 * event_ms, 826, 2)


@pytest.mark.parametrize("enabled", [True, False])
async def test_all_vms_learn_the_speed_of_an_engine_from_its_streams(enabled):
    async with Deployment(vms=2, MEASURED_ENGINES=enabled) as deployment:
        for engine in deployment.engines:
            engine.event_s = 0.03
        for number in range(14):
            model = f"{MODEL}/a{number // 7}"
            assert (await deployment.ask("/stream/x", Model=model)).status == 200
        # The speed is sent with the next change of what an engine holds.
        for number in range(4):
            await deployment.ask("/stream/x", Model=f"{MODEL}/b{number}")
        known = [
            [each for each in map(gateway._targets.speed, ("e1", "e2")) if each.known]
            for gateway in deployment.gateways
        ]
        if not enabled:
            assert known == [[], []]
            return
        await deployment.until(
            lambda: all(each._parts.measured.count for each in deployment.gateways)
        )
        assert known[0] == known[1]
        assert all(20 < speed.event_ms < 45 for speed in known[0])


async def test_a_changed_speed_alone_is_not_announced(monkeypatch):
    """Each change of a holding goes to all VMs, and speeds change with each stream."""
    shorten_waits(monkeypatch)
    bed = Bed()
    await bed.start()
    bed.owner.measured = MeasuredEngine(SpeedEstimator(12), bed.timers.now)
    announced = len(bed.told)
    for _ in range(9):
        bed.owner.measured.record(ended(80))
    assert bed.owner.holdings.event_ms > 60
    assert len(bed.told) == announced
    bed.owner.stop()


async def test_the_class_of_an_engine_is_reported_once_and_not_too_often():
    """An engine whose speed alternates must not fill the log."""
    fleet = Fleet([FAST] * 4)
    engine = fleet.measured.start(fleet.entries["e0"], SPEC)
    for number in range(400):
        await fleet.timers.advance(0.1)
        engine.record(ended(100 if number % 20 < 10 else 40))
    number = EventKind.ENGINE_SPEED_CHANGED.value[0]
    found = [event for event in fleet.events.newest() if event.number == number]
    assert 1 <= len(found) <= 9


def test_a_later_incarnation_starts_unmeasured():
    fleet = Fleet([EngineSpeed(90.0, 126.0, 19.0), FAST])
    successor = fleet.measured.start(fleet.entries["e0"], SPEC)
    assert successor.speed == fleet.speeds["e0"]
    del fleet.speeds["e0"]
    assert not fleet.measured.start(fleet.entries["e0"], SPEC).speed.known


def test_engines_that_are_alike_are_paced_as_assumed():
    """Guards against longer turns where all engines of a deployment read slowly."""
    slow = EngineSpeed(90.0, 126.0, 19.0)
    alike = Fleet([slow] * 4)
    engine = alike.measured.start(alike.entries["e0"], SPEC)
    assert engine.speed.known
    assert engine.pace() == ASSUMED_PACE
    uneven = Fleet([slow, FAST, FAST, FAST])
    engine = uneven.measured.start(uneven.entries["e0"], SPEC)
    assert engine.pace().tokens_per_ms == 19.0
