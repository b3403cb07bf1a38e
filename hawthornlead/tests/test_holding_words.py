"""Tests of how all VMs hear what engines hold."""

from collections import Counter

import pytest

from hawthornlead.gateway.holding_words import GATHER_S, RETELL_S, HoldingWords
from hawthornlead.messages import TargetHoldings
from hawthornlead.messages.gateways import HeldAdapter
from hawthornlead.timers import ManualTimerService

from .fakes_mesh import LocalNetwork
from .test_load_words import FakeMemberships

PLACES = {"gijon": 10, "bilbao": 10, "santander": 9}
# A word waits at its VM and at two relays.
TOLD_S = 3 * GATHER_S + 0.01


def holds(target, *names, number=1):
    adapters = tuple([HeldAdapter("tide", name, 1, True) for name in names])
    return TargetHoldings(target, 7, number, ("tide",), adapters)


class Vm:
    """One VM that owns engines and hears of the others'."""

    def __init__(self, network, timers, name, place, large):
        self.mesh = network.join(name, place)
        self.owned = []
        self.told = {}
        self.heard = Counter()
        self.words = HoldingWords(
            data_centre=place,
            memberships=FakeMemberships(self.mesh, large),
            mesh=self.mesh,
            timers=timers,
            own=lambda: tuple(self.owned),
            on_told=self._note,
        )

    def _note(self, owner, holdings):
        self.told[holdings.target] = (owner, holdings)
        self.heard[holdings.target] += 1


class Fleet:
    """VMs in three data centres, joined in this process."""

    def __init__(self, large):
        self.timers = ManualTimerService()
        network = LocalNetwork(self.timers)
        self.vms = {}
        for place, count in PLACES.items():
            for number in range(count):
                name = f"{place}-{number}"
                self.vms[name] = Vm(network, self.timers, name, place, large)
        for vm in self.vms.values():
            vm.words.start()

    def others(self, name):
        return [vm for other, vm in self.vms.items() if other != name]

    def stop(self):
        for vm in self.vms.values():
            vm.words.stop()


@pytest.fixture
async def large():
    fleet = Fleet(large=True)
    yield fleet
    fleet.stop()


async def test_all_vms_hear_the_newest_of_several_changes(large):
    """A VM spends most of its processor time on words of other VMs' engines.

    Each change of each engine was a message to every VM. Changes within 0.1 s now
    arrive as one, and only the last of them.
    """
    owner = large.vms["bilbao-3"]
    for number in range(1, 6):
        owner.words.tell(holds("e1", f"a{number}", number=number))
    await large.timers.advance(TOLD_S)
    for vm in large.others("bilbao-3"):
        told_by, told = vm.told["e1"]
        assert told_by == "bilbao-3"
        assert told.number == 5
        assert vm.heard["e1"] <= 1


async def test_words_of_all_data_centres_reach_all(large):
    for place in PLACES:
        name = f"{place}-5"
        large.vms[name].words.tell(holds(f"e-{place}", "a1"))
    await large.timers.advance(TOLD_S)
    for place in PLACES:
        for vm in large.others(f"{place}-5"):
            assert f"e-{place}" in vm.told


async def test_what_a_relay_lost_is_told_again(large):
    """A VM goes on asking an engine's former owner, which refuses each time.

    The relay that had gathered the new owner's word was killed before it passed it on.
    """
    owner = large.vms["gijon-2"]
    owner.owned.append(holds("e1", "a1"))
    await large.timers.advance(RETELL_S + TOLD_S + GATHER_S)
    for vm in large.others("gijon-2"):
        assert vm.told["e1"][0] == "gijon-2"


async def test_a_small_fleet_tells_at_once():
    fleet = Fleet(large=False)
    fleet.vms["gijon-2"].words.tell(holds("e1", "a1"))
    await fleet.timers.advance(0.01)
    for vm in fleet.others("gijon-2"):
        assert vm.told["e1"][0] == "gijon-2"
    fleet.stop()
