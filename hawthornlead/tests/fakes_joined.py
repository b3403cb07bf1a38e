"""Three VMs with real owners, slots and grants, and stand-ins as targets.

Leases, owners, target owners, allowances and grants use the mesh's codec and a store in
memory, and send their orders over HTTP. All clocks are manual.
"""

import asyncio
import json
import random

from tornado.httpclient import AsyncHTTPClient

from hawthornlead.clocks import HybridClock
from hawthornlead.core_parts import CoreParts
from hawthornlead.decisions.evictions import EVICTIONS
from hawthornlead.decisions.load_orders import LOAD_ORDERS
from hawthornlead.decisions.popularities import POPULARITIES
from hawthornlead.decisions.views import TargetViews
from hawthornlead.engines.allowances import Allowances
from hawthornlead.engines.grants import Grants
from hawthornlead.engines.owned_targets import Policies
from hawthornlead.engines.target_owners import TargetOwners
from hawthornlead.engines.targets import TargetClients
from hawthornlead.invariants import Invariants
from hawthornlead.metrics import Metrics
from hawthornlead.ownership.leases import LeaseKeeper
from hawthornlead.ownership.members import Members
from hawthornlead.ownership.owners import Owners
from hawthornlead.stores.memory_stores import MemoryObjects, MemoryStore

from .fakes_mesh import LocalNetwork
from .fakes_targets import FakeVmList, engine_entry
from .fakes_worlds import TARGET, Assigned, VmTimers

STEP_S = 0.1
# Real time for the sockets at each step of the clocks.
SOCKETS_S = 0.002


class Timers(VmTimers):
    """Timers that call back in tasks, since a call may wait for the clock."""

    def after(self, delay, callback, name):
        """Call back once."""

        def call():
            outcome = callback()
            if asyncio.iscoroutine(outcome):
                asyncio.get_running_loop().create_task(outcome)

        return super().after(delay, call, name)


class VmList(FakeVmList):
    """A VM list that is always fresh."""

    age_s = 0.0

    def entry_vms(self):
        """Name no entry VMs, so that none is ever proved absent."""
        return ()


class Vm:
    """The parts of one VM that own targets and hold grants."""

    def __init__(self, fleet, name):
        self.name = name
        self.alive = True
        self.timers = Timers()
        self.mesh = fleet.network.join(name, "dc-1", **fleet.settings)
        events = self.mesh._events
        self.invariants = Invariants(events)
        settings, rng = self.mesh.settings, random.Random(name)
        base = {"settings": settings, "timers": self.timers, "events": events}
        members = Members(**base, mesh=self.mesh, vm_list=fleet.vm_list, rng=rng)
        store = MemoryStore(
            fleet.objects, settings=settings, timers=self.timers, rng=rng
        )
        coordination = {**base, "rng": rng, "store": store, "members": members}
        self.leases = LeaseKeeper(
            **coordination, mesh=self.mesh, incarnation=self.mesh.incarnation
        )
        self.owners = Owners(
            **coordination, leases=self.leases, invariants=self.invariants
        )
        clock = HybridClock(self.timers)
        core = CoreParts(
            settings, self.timers, events, Metrics(), self.invariants, clock, rng
        )
        shared = {"core": core, "mesh": self.mesh, "owners": self.owners}
        order = LOAD_ORDERS["deadline"](settings=settings)
        allowances = Allowances(**shared, order=order)
        views = TargetViews(
            timers=self.timers,
            events=events,
            vm_list=fleet.vm_list,
            owners=self.owners,
        )
        policies = Policies(
            EVICTIONS["popularity"](settings=settings),
            order,
            POPULARITIES["decayed"](settings=settings),
        )
        self.targets = TargetOwners(
            **shared,
            vm_list=fleet.vm_list,
            views=views,
            allowances=allowances,
            policies=policies,
            make_client=TargetClients(rng=rng).client,
        )
        self.grants = Grants(**shared)
        self._parts = (members, self.leases, self.owners)
        for part in self._parts:
            part.start()
        views.start(self.mesh)
        self.grants.start()
        allowances.start()
        self.targets.start()

    async def stop(self):
        """Stop the VM's parts."""
        self.alive = False
        for part in reversed(self._parts):
            await part.stop()


class Fleet:
    """Three VMs, the targets, and the time."""

    def __init__(self, timers, engines, weights=None, **settings):
        self.settings = {"LOADS_PER_S": 50.0, **settings}
        # The clock of the network and the targets; each VM has its own.
        self.timers = timers
        self.weights = weights
        self.network = LocalNetwork(self.timers)
        self.objects = MemoryObjects()
        self.engines = engines
        self.vm_list = VmList(
            *(
                engine_entry(
                    name,
                    fencing=engine.faults["fencing"],
                    slots=engine.faults["slots"],
                )._replace(address=engine.address)
                for name, engine in engines.items()
            )
        )
        self.vms = {name: Vm(self, name) for name in "abc"}
        self.http = AsyncHTTPClient(force_instance=True, max_clients=50)

    @property
    def engine(self):
        """The only engine."""
        return self.engines["engine"]

    def owner(self, resource=TARGET):
        """The VM that owns a resource."""
        for vm in self.vms.values():
            if vm.alive and vm.owners.owned(resource) is not None:
                return vm
        return None

    def others(self):
        """The living VMs that don't own the target."""
        owner = self.owner()
        return [vm for vm in self.vms.values() if vm.alive and vm is not owner]

    async def advance(self, seconds):
        """Advance all clocks."""
        for _ in range(round(seconds / STEP_S)):
            await self.timers.advance(STEP_S)
            for vm in self.vms.values():
                if vm.alive:
                    await vm.timers.advance(STEP_S)
            await asyncio.sleep(SOCKETS_S)

    async def until(self, condition, seconds=60):
        """Advance all clocks until ``condition`` is true."""
        for _ in range(round(seconds / STEP_S)):
            if condition():
                return
            await self.advance(STEP_S)
        assert condition()

    def acquire(self, vm, adapter, wait_s=90.0, target="engine", load=True):
        """Acquire a grant in a task."""
        acquiring = vm.grants.acquire(target, Assigned(adapter), wait_s, load)
        return asyncio.get_running_loop().create_task(acquiring)

    async def stream(self, vm, grant, adapter, request_id, tokens):
        """Run a request under a grant and wait for its whole answer."""
        assert grant.start(request_id).is_ok()
        body = {"id": request_id, "adapter": adapter, "version": "1", "prompt": "?"}
        await self.http.fetch(
            f"http://{self.engine.address}/v1/completions",
            method="POST",
            body=json.dumps(body | {"max_tokens": tokens}),
            request_timeout=100,
            raise_error=False,
        )
        if vm.alive:
            grant.finish(request_id, ended=True)

    def send(self, *args):
        """Run a request in a task."""
        return asyncio.get_running_loop().create_task(self.stream(*args))

    async def kill(self, vm):
        """Kill a VM's process; its port refuses connections from now on."""
        self.network.leave(vm.name)
        await vm.stop()

    async def shut_down(self, vm):
        """Stop a VM in the order in which a daemon stops its parts."""
        await vm.grants.stop()
        await vm.targets.stop()
        assert (await vm.owners.release_all()).is_ok()
        assert (await vm.leases.release()).is_ok()
        await vm.mesh.stop(goodbye=True)
        await vm.stop()

    async def stop(self):
        """Stop all VMs."""
        for vm in self.vms.values():
            if vm.alive:
                await vm.stop()

    def check(self):
        """Check that the targets' records show no eviction under a running request."""
        for engine in self.engines.values():
            assert engine.record()["violations"] == []
