"""Tests of how VMs tell one another of their requests."""

from collections import Counter

import pytest

from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.load_words import GATHER_S, GATHERED_STEPS, LoadWords
from hawthornlead.gateway.target_loads import TargetLoads
from hawthornlead.hashes import rendezvous
from hawthornlead.messages import GatheredLoads, VmLoads
from hawthornlead.timers import ManualTimerService

from .fakes_mesh import LocalNetwork

KEY = AdapterKey("tide", "a1")
PLACES = {"gijon": 10, "bilbao": 10, "santander": 9}
TOLD_S = GATHERED_STEPS * GATHER_S


class FakeMemberships:
    """Which VMs there are, as one VM sees them by its mesh."""

    def __init__(self, mesh, large):
        self._mesh = mesh
        self.large = large

    def live(self):
        return (self._mesh.vm, *(peer.vm for peer in self._mesh.live))

    def note_relayed(self, vm):
        """Be told that a VM lives."""

    def order_for(self, key):
        return rendezvous(key, self.live())


class Vm:
    """One VM that counts its requests and hears of the others'."""

    def __init__(self, network, timers, name, place, large):
        self.mesh = network.join(name, place)
        self.loads = TargetLoads(timers=timers)
        self.started = Counter()
        self.heard = Counter()
        self.words = LoadWords(
            data_centre=place,
            memberships=FakeMemberships(self.mesh, large),
            loads=self.loads,
            mesh=self.mesh,
            timers=timers,
            on_word=self._note,
        )
        for kind in (VmLoads, GatheredLoads):
            self._count(kind)

    def _note(self, word):
        for load in word.loads:
            for use in load.uses:
                self.started[use.adapter] += use.started

    def _count(self, kind):
        handle = self.mesh._handlers[kind]

        async def counted(sender, message):
            self.heard[kind] += 1
            return await handle(sender, message)

        self.mesh._handlers[kind] = counted


class Fleet:
    """VMs in three data centres, joined in this process."""

    def __init__(self, large):
        self.timers = ManualTimerService()
        self.network = LocalNetwork(self.timers)
        self.vms = {}
        for place, count in PLACES.items():
            for number in range(count):
                name = f"{place}-{number}"
                vm = Vm(self.network, self.timers, name, place, large)
                self.vms[name] = vm

    def start(self):
        for vm in self.vms.values():
            vm.words.start()

    def running(self):
        """Return how many requests on the target each VM counts."""
        return {vm.loads.running("i-1") for vm in self.vms.values()}

    @property
    def relays(self):
        """The relays of the data centres."""
        return set(self.vms["gijon-0"].words._relays.by_data_centre.values())


@pytest.fixture
async def large():
    fleet = Fleet(large=True)
    fleet.start()
    yield fleet
    for vm in fleet.vms.values():
        vm.words.stop()


async def test_all_vms_hear_of_a_request_through_relays(large):
    large.vms["bilbao-3"].loads.began("i-1", KEY)
    await large.timers.advance(TOLD_S + 0.1)
    assert large.running() == {1}
    large.vms["bilbao-3"].loads.ended("i-1", KEY)
    await large.timers.advance(TOLD_S + 0.1)
    assert large.running() == {0}


async def test_each_start_is_told_once(large):
    """An adapter looks twice as much in demand as it is.

    Evictions go by the starts that VMs tell. A word that came once from its VM and
    once more through a relay would count its starts twice.
    """
    for name in ("gijon-1", "santander-2"):
        large.vms[name].loads.began("i-1", KEY)
    await large.timers.advance(3 * TOLD_S)
    assert {vm.started["a1"] for vm in large.vms.values()} == {2}


async def test_a_vm_of_a_large_fleet_takes_few_messages(large):
    await large.timers.advance(10 * GATHER_S)
    others = [vm for name, vm in large.vms.items() if name not in large.relays]
    assert max(vm.heard.total() for vm in others) <= 11
    # A relay hears its own data centre's VMs and the other relays.
    most = 11 * (max(PLACES.values()) + len(PLACES))
    assert max(vm.heard.total() for vm in large.vms.values()) <= most


async def test_another_relay_takes_over_from_one_that_is_gone(large):
    """The relay of a data centre is killed, and what its VMs do is not heard any more.

    The other VMs would send more and more requests to the engines that those fill.
    """
    await large.timers.advance(TOLD_S)
    (relay,) = [name for name in large.relays if name.startswith("bilbao")]
    large.vms.pop(relay).words.stop()
    large.network.leave(relay)
    name = next(name for name in large.vms if name.startswith("bilbao"))
    large.vms[name].loads.began("i-1", KEY)
    await large.timers.advance(TOLD_S + 0.1)
    assert large.running() == {1}


async def test_in_a_small_fleet_each_vm_tells_all_others():
    fleet = Fleet(large=False)
    fleet.vms["bilbao-3"].loads.began("i-1", KEY)
    for vm in fleet.vms.values():
        vm.words.tell()
    await fleet.timers.advance(0.01)
    assert fleet.running() == {1}
    assert {vm.heard[GatheredLoads] for vm in fleet.vms.values()} == {0}
