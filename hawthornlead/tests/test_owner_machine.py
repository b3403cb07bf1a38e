"""A state machine test of leases and owners: never two owners with the full right.

Several VMs share one store. Their clocks differ in rate as much as the settings allow,
and freezes, kills, restarts, network cuts, outages and lost replies come in any order.
"""

import asyncio

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from hawthornlead.ownership.owners import OrderRight

from .fakes_vms import World

RATE_ERROR = 0.2
RESOURCES = ("target:a", "target:b", "allowance:weights")
VMS = ("vm-1", "vm-2", "vm-3", "vm-4")
SECONDS = st.sampled_from([0.1, 0.5, 2.0, 7.0])


class OwnerMachine(RuleBasedStateMachine):
    """Drives a ``World``; ``World.run`` checks after every tenth of a second."""

    def __init__(self):
        super().__init__()
        self._loop = asyncio.new_event_loop()
        self._world = None
        self._fences: dict[str, int] = {}

    @initialize()
    def start(self):
        """Start four VMs in two data centres, with the largest rate difference."""
        self._loop.run_until_complete(self._start())

    async def _start(self):
        self._world = World(
            LEASE_S=3.0,
            LEASE_RENEW_S=0.9,
            ORDER_S=1.5,
            WATCH_SILENT_S=3.0,
            CLOCK_RATE_ERROR=RATE_ERROR,
        )
        for number, name in enumerate(VMS):
            rate = 1 + (RATE_ERROR if number % 2 else -RATE_ERROR)
            self._world.add(name, "dc1" if number < 3 else "dc2", rate)
        self._world.request(*RESOURCES)
        await self._world.run(3)

    @rule(seconds=SECONDS)
    def run_on(self, seconds):
        """Let time pass."""
        self._loop.run_until_complete(self._world.run(seconds))

    @rule(name=st.sampled_from(VMS))
    def freeze_or_thaw(self, name):
        """Freeze a VM, or thaw it; the invariants are checked right afterwards."""
        vm = self._world.vms[name]
        if vm.frozen:
            self._world.thaw(vm)
        elif vm.alive:
            self._world.freeze(vm)

    @rule(name=st.sampled_from(VMS), proofs=st.booleans())
    def kill_or_restart(self, name, proofs):
        """Kill a VM, with or without proof by its port, or restart it."""
        vm = self._world.vms[name]
        if vm.alive:
            self._world.proofs = proofs
            self._world.thaw(vm)
            self._loop.run_until_complete(self._world.kill(vm))
        else:
            self._loop.run_until_complete(self._add(vm))

    async def _add(self, vm):
        self._world.add(vm.name, vm.settings["DATA_CENTRE"], vm.rate)

    @rule()
    def outage(self):
        """Start or end an outage of the whole store."""
        self._world.objects.outage = not self._world.objects.outage

    @rule(name=st.sampled_from(VMS))
    def cut_from_store(self, name):
        """Cut one VM off from the store, or reconnect it."""
        store = self._world.vms[name].store
        store.outage = not store.outage

    @rule(name=st.sampled_from(VMS), other=st.sampled_from(VMS))
    def cut_from_peer(self, name, other):
        """Cut the connection of two VMs, or restore it."""
        self._world.cuts ^= {frozenset((name, other))}

    @rule(name=st.sampled_from(VMS), replies=st.integers(1, 3))
    def lose_replies(self, name, replies):
        """Lose the replies to a VM's next writes, which take effect."""
        self._world.vms[name].store.lose_next_reply = replies

    @rule(name=st.sampled_from(VMS))
    def disturb_watches(self, name):
        """Make a VM's open watches deliver nothing more."""
        self._world.vms[name].store.silence_watches()

    @precondition(lambda self: self._world is not None)
    @rule(name=st.sampled_from(VMS), resource=st.sampled_from(RESOURCES))
    def release(self, name, resource):
        """Have a VM release a resource and request it again at once."""
        vm = self._world.vms[name]
        if not vm.alive or vm.frozen or vm.owners.owned(resource) is None:
            return
        self._loop.run_until_complete(vm.owners.release(resource))
        vm.owners.request(resource, "dc1")

    @invariant()
    def one_full_right(self):
        """At most one VM has the full right, and fences rise with each owner."""
        if self._world is None:
            return
        self._world.check()
        for resource in RESOURCES:
            for vm in self._world.owners_of(resource):
                fence = vm.owners.owned(resource).fence
                assert fence >= self._fences.get(resource, 0), resource
                self._fences[resource] = fence

    def teardown(self):
        """End all faults; each resource must then have an owner again."""
        if self._world is not None:
            self._loop.run_until_complete(self._heal())
        self._loop.run_until_complete(self._loop.shutdown_asyncgens())
        self._loop.close()

    async def _heal(self):
        world = self._world
        world.objects.outage = False
        world.cuts.clear()
        for vm in list(world.vms.values()):
            world.thaw(vm)
            vm.store.outage = False
            vm.store.lose_next_reply = 0
            if not vm.alive:
                world.add(vm.name, vm.settings["DATA_CENTRE"], vm.rate)
        await world.run(20)
        for resource in RESOURCES:
            rights = [vm.owners.right(resource) for vm in world.vms.values()]
            assert rights.count(OrderRight.FULL) == 1, resource
        await world.stop()
        await asyncio.sleep(0)


OwnerMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)
TestOwnerMachine = OwnerMachine.TestCase
