"""Tests of quarantines in a large fleet, whose broadcasts go through heads."""

import random

import pytest
from prometheus_client import CollectorRegistry

from hawthornlead.decisions.suspects import Suspects
from hawthornlead.events import EventRing
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.prompt_quarantines import PromptQuarantines
from hawthornlead.messages import Hello, UnansweredPrompt
from hawthornlead.settings import default_settings

from .fakes_fleets import FakeFleet

PLACES = {"gijon": 10, "bilbao": 10, "santander": 9}
BAD = ("bad",)


class QuarantineFleet:
    """A fleet whose VMs share quarantines."""

    def __init__(self):
        self.fleet = FakeFleet(PLACES)
        self.quarantines: dict[str, PromptQuarantines] = {}
        for name in tuple(self.fleet.vms):
            self._build(name)

    def restart(self, name: str) -> None:
        """Kill a VM's process and start another, which knows nothing."""
        self.fleet.kill(name)
        self.fleet.start(name, name.partition("-")[0])
        self._build(name)

    def report(self, name: str, target: str) -> None:
        """Have a VM report that a target died under a prompt with the part."""
        prompt = UnansweredPrompt(f"{name} {target}".encode(), BAD)
        self.quarantines[name].report_death(target, "1", (), [prompt])

    def refusing(self) -> int:
        """Return how many VMs refuse prompts with the part."""
        checked = [each.check(BAD) for each in self.quarantines.values()]
        return sum(each.is_err() for each in checked)

    def _build(self, name: str) -> None:
        vm = self.fleet.vms[name]
        settings = default_settings(VM_NAME=name)
        events = EventRing(name, vm.transport.clock)
        quarantines = PromptQuarantines(
            settings=settings,
            suspects=Suspects(
                settings=settings, timers=self.fleet.timers, events=events
            ),
            timers=self.fleet.timers,
            rng=random.Random(name),
            events=events,
            metrics=GatewayMetrics(CollectorRegistry()),
            mesh=vm.mesh,
            vms=lambda: len(self.fleet.vms),
        )

        async def on_hello(sender, message):
            quarantines.announce_all(sender.vm)

        vm.mesh.on(Hello, on_hello)
        self.quarantines[name] = quarantines


@pytest.fixture
async def fleet():
    running = QuarantineFleet()
    await running.fleet.settle()
    yield running
    running.fleet.stop()


async def test_two_reports_of_two_vms_make_a_verdict_at_all_vms(fleet):
    """Guards against a verdict that only a small fleet shares."""
    fleet.report("bilbao-3", "e1")
    await fleet.fleet.settle(0.2)
    assert fleet.refusing() == 0
    fleet.report("gijon-7", "e2")
    await fleet.fleet.settle(0.2)
    assert fleet.refusing() == len(fleet.quarantines)


async def test_a_vm_that_starts_again_refuses_before_it_serves(fleet):
    """Guards against a quarantine that a restart behind a head forgets."""
    fleet.report("bilbao-3", "e1")
    fleet.report("gijon-7", "e2")
    await fleet.fleet.settle(0.2)
    for name in ("santander-8", "bilbao-0", "gijon-1"):
        fleet.restart(name)
    await fleet.fleet.settle(1.0)
    assert fleet.refusing() == len(fleet.quarantines)


async def test_an_answer_anywhere_clears_the_part_at_all_vms_in_few_messages(fleet):
    """Guards against an answer from each VM of a fleet to one wrong accusation."""
    for name, quarantines in fleet.quarantines.items():
        if name != "gijon-7":
            quarantines.record_answered(BAD)
    sent = fleet.fleet.network.sent
    sent.clear()
    fleet.report("gijon-7", "e1")
    fleet.report("gijon-7", "e2")
    await fleet.fleet.settle(0.5)
    assert fleet.refusing() == 0
    # Each broadcast goes to all VMs: two reports, and few of 28 possible answers.
    assert sent["ForwardedMessage"] <= 8 * len(fleet.quarantines)


async def test_repeats_cost_a_broadcast_a_second_and_end_with_the_refusals(fleet):
    """Guards against repeats that each VM sends, or that never end."""
    fleet.report("bilbao-3", "e1")
    fleet.report("gijon-7", "e2")
    await fleet.fleet.settle(0.5)
    sent = fleet.fleet.network.sent
    assert fleet.refusing() == len(fleet.quarantines)
    sent.clear()
    await fleet.fleet.settle(10.0)
    # Two deaths are repeated once a second, and each repeat reaches all VMs.
    assert sent["ForwardedMessage"] <= 2.5 * 2 * 10 * len(fleet.quarantines)
    await fleet.fleet.settle(30.0)
    sent.clear()
    await fleet.fleet.settle(10.0)
    assert sent["ForwardedMessage"] == 0
