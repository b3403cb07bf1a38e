"""Tests of which VMs are seen, and which of them own targets, without a network."""

from random import Random

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventRing
from hawthornlead.fleet.fleet_meshes import MAX_MESHED_VMS
from hawthornlead.fleet.registered_orders import RegisteredOrder
from hawthornlead.gateway.memberships import MAX_OWNERS, Memberships
from hawthornlead.gateway.records import VmRecord
from hawthornlead.gateway.relay_elections import STEP_IN_S, RelayElection
from hawthornlead.messages import Heartbeat
from hawthornlead.timers import ManualTimerService

from .fakes_mesh import LocalNetwork


class Fleet:
    """VMs that are all connected with one another."""

    def __init__(self, vms, leaving=()):
        self.timers = ManualTimerService()
        network = LocalNetwork(self.timers)
        self.names = [f"vm-{number}" for number in range(vms)]
        meshes = {}
        for name in self.names:
            meshes[name] = network.join(name)
            heartbeat = Heartbeat(0, 0, name in leaving, 0, 1, 0.0)
            meshes[name].heartbeat_source = lambda heartbeat=heartbeat: heartbeat
        self.registered_order = RegisteredOrder()
        self.memberships = [self._of(name, meshes[name]) for name in self.names]

    def _of(self, name, mesh):
        return Memberships(
            record=VmRecord(name, f"{name}-1", "gijon", "x:1", "x:2", False),
            client=None,
            mesh=mesh,
            timers=self.timers,
            rng=Random(1),
            events=EventRing(name, HybridClock(self.timers)),
            registered_order=self.registered_order,
        )

    def register(self, name, revision, place="gijon"):
        """Apply the registration of a VM at all VMs."""
        record = VmRecord(name, f"{name}-{revision}", place, "x:1", "x:2", False)
        self.registered_order.apply(record, revision)
        for memberships in self.memberships:
            memberships._discard_orders()

    def refresh(self):
        """Let all VMs discard their cached state of the mesh."""
        for memberships in self.memberships:
            memberships._refreshed_at = None


def first_owners(memberships, targets):
    return [memberships.owners_for(target)[0] for target in targets]


async def test_a_few_vms_own_all_engines_of_a_large_fleet():
    """Half of a store's calls renew leases, and each call has its price.

    Each of 88 VMs that owned one of 70 engines renewed a lease of its own.
    """
    fleet = Fleet(vms=88)
    targets = [f"e{number}" for number in range(70)]
    owners = first_owners(fleet.memberships[0], targets)
    assert len(set(owners)) <= MAX_OWNERS
    assert max(owners.count(vm) for vm in set(owners)) <= 10
    assert first_owners(fleet.memberships[50], targets) == owners
    order = fleet.memberships[0].owners_for("e1")
    assert sorted(order) == sorted(fleet.names)


async def test_in_a_small_fleet_every_vm_may_own_engines():
    fleet = Fleet(vms=MAX_MESHED_VMS)
    memberships = fleet.memberships[0]
    for target in ("e1", "e2"):
        assert memberships.owners_for(target) == memberships.order_for(target)


async def test_a_vm_sees_whether_most_others_still_take_callers():
    for leaving, mostly in (((), True), (("vm-1", "vm-2"), True)):
        fleet = Fleet(vms=6, leaving=leaving)
        assert fleet.memberships[0].mostly_serving is mostly
    fleet = Fleet(vms=6, leaving=("vm-1", "vm-2", "vm-3", "vm-4"))
    assert not fleet.memberships[0].mostly_serving


async def test_the_longest_registered_own_the_engines_and_watch_the_store():
    """Engines change hands and relays move each second while VMs are restarted in turn.

    Both went by a hash over whoever lived, so that each VM that came back could take
    the place of another. One that registers anew now goes to the end of the order.
    """
    fleet = Fleet(vms=40)
    for revision, name in enumerate(fleet.names):
        fleet.register(name, revision)
    memberships = fleet.memberships[30]
    targets = [f"e{number}" for number in range(20)]
    owners = first_owners(memberships, targets)
    assert memberships.oldest(2) == ["vm-0", "vm-1"]
    # The first two of a data centre are its heads, and own nothing.
    assert not {"vm-0", "vm-1"} & set(owners)
    for revision, name in enumerate(fleet.names[30:], start=100):
        fleet.register(name, revision)
    assert memberships.oldest(2) == ["vm-0", "vm-1"]
    assert first_owners(memberships, targets) == owners
    fleet.register("vm-0", 200)
    assert memberships.oldest(2) == ["vm-1", "vm-2"]


class Head:
    """The mesh of a VM that passes on what others tell."""

    is_head = True


async def test_a_head_of_another_data_centre_steps_in_for_relays_turned_away():
    """VMs that the store turns away serve a revoked key, as nobody watches for them."""
    fleet = Fleet(vms=40)
    for revision, name in enumerate(fleet.names):
        place = "gijon" if revision < 10 else ("santander", "bilbao")[revision % 2]
        fleet.register(name, revision, place)
    roles = {
        name: RelayElection(
            memberships=fleet.memberships[fleet.names.index(name)],
            mesh=Head(),
            timers=fleet.timers,
        )
        for name in ("vm-0", "vm-1", "vm-10", "vm-11", "vm-12", "vm-13")
    }
    stepped_in = []
    for _ in range(5):
        stepped_in.append([name for name, role in roles.items() if role.should_relay()])
        await fleet.timers.advance(STEP_IN_S)
        fleet.refresh()
    assert stepped_in[0] == ["vm-0", "vm-1"]
    assert stepped_in[1] == ["vm-0", "vm-1", "vm-10", "vm-11"]
    assert stepped_in[2] == list(roles)
