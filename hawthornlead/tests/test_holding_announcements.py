"""Tests of announcing to all VMs what engines hold."""

from collections import Counter

import pytest

from hawthornlead.gateway.holding_announcements import (
    GATHER_INTERVAL_S,
    REANNOUNCE_INTERVAL_S,
    HoldingAnnouncements,
)
from hawthornlead.messages import TargetHoldings
from hawthornlead.messages.gateways import HeldAdapter, HeldAdapters

from .fakes_fleets import FakeFleet, let_run

DATA_CENTRE_VMS = {"gijon": 10, "bilbao": 10, "santander": 9}
# A change is batched at its VM and at two heads.
ANNOUNCED_WITHIN_S = 3 * GATHER_INTERVAL_S + 0.01


def make_holdings(target, *names, number=1):
    adapters = HeldAdapters.of([HeldAdapter("tide", name, 1, True) for name in names])
    return TargetHoldings(target, 7, number, ("tide",), adapters)


class HoldingVm:
    """One VM that owns engines and receives the others' announcements."""

    def __init__(self, fleet, name):
        self.owned = []
        self.received = {}
        self.received_count = Counter()
        mesh = fleet.vms[name].mesh
        self.announcements = HoldingAnnouncements(
            mesh=mesh,
            timers=fleet.timers,
            own_holdings=lambda: tuple(self.owned),
            on_holdings=self._note,
        )
        mesh.on_subscribed = self.announcements.announce_all
        self.announcements.start()

    def _note(self, owner, holdings):
        self.received[holdings.target] = (owner, holdings)
        self.received_count[holdings.target] += 1


class HoldingFleet:
    """VMs in three data centres, joined in this process."""

    def __init__(self, vms_by_data_centre):
        self.fleet = FakeFleet(vms_by_data_centre)
        self.vms = {name: HoldingVm(self.fleet, name) for name in self.fleet.vms}

    def others(self, name):
        """Return the other VMs that run."""
        return [vm for other, vm in self.vms.items() if other != name]

    def restart(self, name):
        """Restart a VM's process."""
        data_centre = self.fleet.vms[name].place
        self.vms.pop(name).announcements.stop()
        self.fleet.kill(name)
        self.fleet.start(name, data_centre)
        self.vms[name] = HoldingVm(self.fleet, name)

    def stop(self):
        """Stop the fleet."""
        for vm in self.vms.values():
            vm.announcements.stop()
        self.fleet.stop()


@pytest.fixture
async def large():
    """A large fleet in which all VMs have seen each other."""
    fleet = HoldingFleet(DATA_CENTRE_VMS)
    await fleet.fleet.settle()
    yield fleet
    fleet.stop()


async def test_all_vms_receive_the_newest_of_several_changes(large):
    """A VM spends most of its processor time on updates of other VMs' engines.

    Each change of each engine was a message to every VM. Changes in quick succession
    must arrive as one message with only the last of them.
    """
    owner = large.vms["bilbao-3"]
    for number in range(1, 6):
        owner.announcements.announce(make_holdings("e1", f"a{number}", number=number))
    await large.fleet.settle(ANNOUNCED_WITHIN_S)
    for vm in large.others("bilbao-3"):
        owner_name, received = vm.received["e1"]
        assert owner_name == "bilbao-3"
        assert received.number == 5
        assert vm.received_count["e1"] <= 1


async def test_announcements_of_all_data_centres_reach_all(large):
    for data_centre in DATA_CENTRE_VMS:
        name = f"{data_centre}-5"
        large.vms[name].announcements.announce(make_holdings(f"e-{data_centre}", "a1"))
    await large.fleet.settle(ANNOUNCED_WITHIN_S)
    for data_centre in DATA_CENTRE_VMS:
        for vm in large.others(f"{data_centre}-5"):
            assert f"e-{data_centre}" in vm.received


async def test_what_a_head_lost_is_reannounced(large):
    """A VM keeps asking an engine's former owner, which refuses each time.

    The head that had gathered the new owner's update was killed before forwarding it.
    """
    owner = large.vms["gijon-2"]
    owner.owned.append(make_holdings("e1", "a1"))
    await large.fleet.settle(
        REANNOUNCE_INTERVAL_S + ANNOUNCED_WITHIN_S + GATHER_INTERVAL_S
    )
    for vm in large.others("gijon-2"):
        assert vm.received["e1"][0] == "gijon-2"


async def test_an_announcement_made_without_a_head_is_not_lost(large):
    """A new owner's update is lost because there was no head when it was sent."""
    heads = [name for name in large.fleet.heads() if name.startswith("gijon")]
    for name in heads:
        large.vms.pop(name).announcements.stop()
        large.fleet.kill(name)
    owner = next(name for name in large.vms if name.startswith("gijon"))
    await large.fleet.settle(0.1)
    large.vms[owner].announcements.announce(make_holdings("e1", "a1"))
    await large.fleet.settle(3.0)
    for vm in large.others(owner):
        assert vm.received["e1"][0] == owner


async def test_a_restarted_vm_receives_all_holdings_at_once(large):
    """A VM that has just started loads adapters that engines hold already.

    It received an engine's holdings only at a change or at the next reannouncement.
    """
    large.vms["gijon-2"].announcements.announce(make_holdings("e1", "a1"))
    await large.fleet.settle(ANNOUNCED_WITHIN_S)
    large.restart("santander-8")
    await large.fleet.settle(1.5)
    assert large.vms["santander-8"].received["e1"][0] == "gijon-2"


async def test_a_small_fleet_announces_at_once():
    fleet = HoldingFleet({"gijon": 5, "bilbao": 4})
    await fleet.fleet.settle(1.0)
    fleet.vms["gijon-2"].announcements.announce(make_holdings("e1", "a1"))
    await let_run()
    for vm in fleet.others("gijon-2"):
        assert vm.received["e1"][0] == "gijon-2"
    fleet.stop()
