"""Tests of the announcements between VMs of limits that targets name."""

from random import Random

import pytest

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventRing
from hawthornlead.gateway.records import Incarnation
from hawthornlead.gateway.target_limits import (
    ANNOUNCE_INTERVAL_S,
    MIN_LIMIT_TTL_S,
    TargetLimits,
)
from hawthornlead.messages.gateways import TargetLimit
from hawthornlead.timers import ManualTimerService

ENGINE = Incarnation("e1", 1000)


class RecordingMesh:
    """A mesh that records broadcasts."""

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def on(self, message_type, handler):
        self.handlers[message_type] = handler

    def broadcast(self, message):
        self.sent.append(message)


class Vm:
    """The limits as one of nine VMs knows them."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.mesh = RecordingMesh()
        self.limits = TargetLimits(
            timers=self.timers,
            rng=Random(1),
            events=EventRing("vm-1", HybridClock(self.timers)),
            mesh=self.mesh,
            vms=lambda: 9,
            incarnation=lambda target: ENGINE,
        )

    def answer(self, per_s, sent_s_ago=0.0):
        self.limits.record_answer(ENGINE, per_s, self.timers.now() - sent_s_ago)

    async def receive(self, per_s, started_ms=1000):
        message = TargetLimit("e1", per_s, started_ms)
        await self.mesh.handlers[TargetLimit](None, message)


@pytest.fixture
def vm():
    return Vm()


async def test_a_limit_is_announced_at_once_and_again_while_it_is_named(vm):
    vm.answer(3.3)
    vm.answer(3.3)
    assert vm.mesh.sent == [TargetLimit("e1", 3.3, 1000)]
    await vm.timers.advance(ANNOUNCE_INTERVAL_S)
    vm.answer(3.3)
    assert len(vm.mesh.sent) == 2
    vm.answer(2.2)
    assert vm.mesh.sent[-1].per_s == 2.2


async def test_what_another_vm_has_just_announced_is_not_announced_again(vm):
    await vm.receive(3.3)
    vm.answer(3.3)
    assert vm.limits.named == {"e1": 3.3}
    assert vm.mesh.sent == []


async def test_an_answer_without_a_limit_ends_it_for_all(vm):
    vm.answer(3.3)
    await vm.timers.advance(1.0)
    vm.answer(None)
    assert not vm.limits.is_limited("e1")
    assert vm.mesh.sent[-1] == TargetLimit("e1", None, 1000)


async def test_an_answer_to_an_earlier_request_does_not_end_a_limit(vm):
    await vm.timers.advance(1.0)
    vm.answer(3.3)
    vm.answer(None, sent_s_ago=0.4)
    assert vm.limits.is_limited("e1")


async def test_a_limit_that_nobody_confirms_expires(vm):
    vm.answer(3.3)
    await vm.timers.advance(MIN_LIMIT_TTL_S - 0.1)
    assert vm.limits.is_limited("e1")
    await vm.timers.advance(0.2)
    assert not vm.limits.is_limited("e1")
    assert vm.limits.acquire("e1")


async def test_an_announcement_of_a_former_incarnation_is_ignored(vm):
    await vm.receive(3.3, started_ms=900)
    assert not vm.limits.is_limited("e1")
    await vm.receive(3.3)
    await vm.receive(None)
    assert not vm.limits.is_limited("e1")


def test_a_vm_that_knows_a_limit_holds_its_requests_back(vm):
    assert vm.limits.acquire("e1")
    vm.answer(3.3)
    assert not vm.limits.acquire("e1")
    assert vm.limits.wait_s("e1") > 0
    assert vm.limits.wait_s("e2") == 0
    vm.limits.discard("e1")
    assert vm.limits.acquire("e1")
