"""Tests of how all VMs hear what engines hold."""

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

PLACES = {"gijon": 10, "bilbao": 10, "santander": 9}
# A word waits at its VM and at two heads.
TOLD_S = 3 * GATHER_INTERVAL_S + 0.01


def holds(target, *names, number=1):
    adapters = HeldAdapters.of([HeldAdapter("tide", name, 1, True) for name in names])
    return TargetHoldings(target, 7, number, ("tide",), adapters)


class HoldingVm:
    """One VM that owns engines and hears of the others'."""

    def __init__(self, fleet, name):
        self.owned = []
        self.told = {}
        self.heard = Counter()
        mesh = fleet.vms[name].mesh
        self.words = HoldingAnnouncements(
            mesh=mesh,
            timers=fleet.timers,
            own_holdings=lambda: tuple(self.owned),
            on_holdings=self._note,
        )
        mesh.on_subscribed = self.words.announce_all
        self.words.start()

    def _note(self, owner, holdings):
        self.told[holdings.target] = (owner, holdings)
        self.heard[holdings.target] += 1


class HoldingFleet:
    """VMs in three data centres, joined in this process."""

    def __init__(self, places):
        self.fleet = FakeFleet(places)
        self.vms = {name: HoldingVm(self.fleet, name) for name in self.fleet.vms}

    def others(self, name):
        """Return the other VMs that run."""
        return [vm for other, vm in self.vms.items() if other != name]

    def restart(self, name):
        """Start a VM's process again."""
        place = self.fleet.vms[name].place
        self.vms.pop(name).words.stop()
        self.fleet.kill(name)
        self.fleet.start(name, place)
        self.vms[name] = HoldingVm(self.fleet, name)

    def stop(self):
        """End everything."""
        for vm in self.vms.values():
            vm.words.stop()
        self.fleet.stop()


@pytest.fixture
async def large():
    """A large fleet in which all have heard of all."""
    fleet = HoldingFleet(PLACES)
    await fleet.fleet.settle()
    yield fleet
    fleet.stop()


async def test_all_vms_hear_the_newest_of_several_changes(large):
    """A VM spends most of its processor time on words of other VMs' engines.

    Each change of each engine was a message to every VM. Changes within a moment now
    arrive as one, and only the last of them.
    """
    owner = large.vms["bilbao-3"]
    for number in range(1, 6):
        owner.words.announce(holds("e1", f"a{number}", number=number))
    await large.fleet.settle(TOLD_S)
    for vm in large.others("bilbao-3"):
        told_by, told = vm.told["e1"]
        assert told_by == "bilbao-3"
        assert told.number == 5
        assert vm.heard["e1"] <= 1


async def test_words_of_all_data_centres_reach_all(large):
    for place in PLACES:
        name = f"{place}-5"
        large.vms[name].words.announce(holds(f"e-{place}", "a1"))
    await large.fleet.settle(TOLD_S)
    for place in PLACES:
        for vm in large.others(f"{place}-5"):
            assert f"e-{place}" in vm.told


async def test_what_a_head_lost_is_told_again(large):
    """A VM goes on asking an engine's former owner, which refuses each time.

    The head that had gathered the new owner's word was killed before it passed it on.
    """
    owner = large.vms["gijon-2"]
    owner.owned.append(holds("e1", "a1"))
    await large.fleet.settle(REANNOUNCE_INTERVAL_S + TOLD_S + GATHER_INTERVAL_S)
    for vm in large.others("gijon-2"):
        assert vm.told["e1"][0] == "gijon-2"


async def test_what_was_told_while_nobody_passes_on_is_not_lost(large):
    """A new owner's word is lost, since no head was there as it was told."""
    heads = [name for name in large.fleet.heads() if name.startswith("gijon")]
    for name in heads:
        large.vms.pop(name).words.stop()
        large.fleet.kill(name)
    owner = next(name for name in large.vms if name.startswith("gijon"))
    await large.fleet.settle(0.1)
    large.vms[owner].words.announce(holds("e1", "a1"))
    await large.fleet.settle(3.0)
    for vm in large.others(owner):
        assert vm.told["e1"][0] == owner


async def test_a_vm_that_restarts_is_told_at_once_what_engines_hold(large):
    """A VM that has just started fetches adapters that engines hold already.

    It heard of an engine only when something changed there, or when all was told again.
    """
    large.vms["gijon-2"].words.announce(holds("e1", "a1"))
    await large.fleet.settle(TOLD_S)
    large.restart("santander-8")
    await large.fleet.settle(1.5)
    assert large.vms["santander-8"].told["e1"][0] == "gijon-2"


async def test_a_small_fleet_tells_at_once():
    fleet = HoldingFleet({"gijon": 5, "bilbao": 4})
    await fleet.fleet.settle(1.0)
    fleet.vms["gijon-2"].words.announce(holds("e1", "a1"))
    await let_run()
    for vm in fleet.others("gijon-2"):
        assert vm.told["e1"][0] == "gijon-2"
    fleet.stop()
