"""Tests of rolls over the real message codec and conditional updates."""

import random

from hawthornlead.bundles.rolls import BundleKeeper
from hawthornlead.core_parts import build_core
from hawthornlead.messages import BundleDecided
from hawthornlead.ownership.lease_objects import KIND, Registration, with_registered
from hawthornlead.stores.memory_stores import MemoryObjects, MemoryStore
from hawthornlead.timers import ManualTimerService

from .fakes_bundles import OPERATORS, FakeLeases, FakeMembers, Fleet
from .fakes_mesh import LocalNetwork


class JoinedVm:
    """A VM on the in-process mesh and the in-memory store."""

    def __init__(self, fleet, name):
        timers = fleet.timers
        incarnation = f"{name}-1"
        self.mesh = fleet.network.join(name, "gijon", incarnation, OPERATORS=OPERATORS)
        settings = self.mesh.settings
        rng = random.Random(name)
        self.store = MemoryStore(
            fleet.objects, settings=settings, timers=timers, rng=rng
        )
        core = build_core(settings, rng, timers)._replace(events=self.mesh._events)
        self.keeper = BundleKeeper(
            core=core,
            store=self.store,
            mesh=self.mesh,
            members=FakeMembers(set()),
            leases=FakeLeases(incarnation),
        )


class JoinedFleet(Fleet):
    """VMs that use the message codec and versioned writes."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.objects = MemoryObjects()
        self.network = LocalNetwork(self.timers)
        self.vms = {}
        self.orders = 0

    async def add(self, name):
        """Register and start a VM."""
        vm = JoinedVm(self, name)
        new = Registration(name, f"{name}-1", "gijon", "", "", 1, "live")
        await vm.store.update(KIND, "gijon-0", lambda v: with_registered(v, new))
        vm.keeper.start()
        self.vms[name] = vm
        await self.settle()


async def test_roll_with_a_lost_reply_of_the_store():
    """Guard against a wrong answer when the reply to the accepting write is lost.

    The write takes effect. The store's client reads its own write back, so that the
    operator gets the actual result. A VM that misses the decision learns of it by
    polling.
    """
    fleet = JoinedFleet()
    for name in ("a", "b", "c"):
        await fleet.add(name)
    first = await fleet.release("v1")
    second = await fleet.release("v2")
    assert (await fleet.roll("a", first, 0)).unwrap().acknowledged == ("a", "b", "c")
    await fleet.settle()
    assert [fleet.served(vm) for vm in "abc"] == [1, 1, 1]
    fleet.vms["b"].store.lose_next_reply = 2
    fleet.network.drop("b", "c", BundleDecided)
    assert (await fleet.roll("b", second, 1)).unwrap().seq == 2
    await fleet.run(3.1)
    assert [fleet.served(vm) for vm in "abc"] == [2, 2, 2]
    for vm in fleet.vms.values():
        await vm.keeper.stop()
