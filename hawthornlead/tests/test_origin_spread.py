"""Tests of stream origins in a large fleet, whose broadcasts go through heads."""

import asyncio

import pytest
from prometheus_client import CollectorRegistry

from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.stream_origins import (
    COPIES,
    SEARCH_TIMEOUT_S,
    StreamOrigins,
)
from hawthornlead.provenance.origin_tables import StreamOrigin

from .fakes_fleets import FakeFleet

PLACES = {"gijon": 10, "bilbao": 10, "santander": 9}
ORIGIN = StreamOrigin("llm", "v1")


class OriginFleet:
    """A fleet whose VMs record and find the origins of streams."""

    def __init__(self):
        self.fleet = FakeFleet(PLACES)
        self.origins = {
            name: StreamOrigins(
                memberships=vm,
                mesh=vm.mesh,
                timers=self.fleet.timers,
                metrics=GatewayMetrics(CollectorRegistry()),
            )
            for name, vm in self.fleet.vms.items()
        }

    def kill(self, name):
        """Kill a VM's process."""
        self.origins.pop(name).stop()
        self.fleet.kill(name)

    async def find(self, name, request):
        """Return what a VM finds of a stream."""
        finding = asyncio.ensure_future(self.origins[name].find(request))
        for _ in range(10):
            await self.fleet.settle(SEARCH_TIMEOUT_S / 8)
            if finding.done():
                break
        return finding.result()

    def stop(self):
        """Stop the fleet."""
        for origins in self.origins.values():
            origins.stop()
        self.fleet.stop()


@pytest.fixture
async def fleet():
    running = OriginFleet()
    await running.fleet.settle()
    yield running
    running.stop()


async def test_a_stream_is_found_over_the_heads_after_its_vm_was_killed(fleet):
    """Guards against origins that only a small fleet finds."""
    fleet.origins["bilbao-3"].record("r1", ORIGIN)
    await fleet.fleet.settle(0.5)
    fleet.kill("bilbao-3")
    for name in ("gijon-0", "gijon-7", "santander-8"):
        assert await fleet.find(name, "r1") == ORIGIN
    assert await fleet.find("bilbao-4", "r2") is None


async def test_a_stream_costs_a_few_messages_and_a_search_one_for_each_vm(fleet):
    """Guards against a cost of each stream that grows with the fleet."""
    sent = fleet.fleet.network.sent
    sent.clear()
    for number in range(20):
        fleet.origins["bilbao-3"].record(f"r{number}", ORIGIN)
    await fleet.fleet.settle(0.5)
    assert sent["StreamsBegun"] == COPIES
    sent.clear()
    assert await fleet.find("gijon-7", "r3") == ORIGIN
    assert sent["ForwardedMessage"] <= 2 * len(fleet.origins)
    assert sent["StreamsBegun"] <= 2 * (COPIES + 1)
