"""Several VMs' leases and owners in one process, each with its own clock.

``World.run`` advances the time; each VM's clock advances at the VM's rate, also while
the VM is frozen. Messages and replies reach a frozen VM only after it is thawed.
"""

import asyncio
import random

from result import Err, Ok

from hawthornlead.clocks import HybridClock
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.events import EventRing
from hawthornlead.invariants import Invariants
from hawthornlead.messages import Failed
from hawthornlead.ownership.lease_objects import process_of
from hawthornlead.ownership.leases import LeaseKeeper
from hawthornlead.ownership.owners import OrderRight, Owners
from hawthornlead.settings import default_settings
from hawthornlead.stores.memory_stores import MemoryObjects, MemoryStore
from hawthornlead.timers import ManualTimerService

STEP_S = 0.1


class GatedStore(MemoryStore):
    """A store whose calls and watch events wait while their VM is frozen."""

    def __init__(self, *args, gate: asyncio.Event, **kwargs):
        super().__init__(*args, **kwargs)
        self._gate = gate

    async def _pass(self):
        await super()._pass()
        await self._gate.wait()

    async def _write(self, *args):
        written = await super()._write(*args)
        await self._gate.wait()
        return written

    async def open_watch(self, kind, since):
        """Delay the watch's lines while the VM is frozen."""
        async for line in super().open_watch(kind, since):
            await self._gate.wait()
            yield line


class FakeMesh:
    """Calls between the VMs of a world."""

    def __init__(self, world, vm):
        self._world = world
        self._vm = vm
        self._handlers = {}
        self.calls = 0

    def on(self, message_type, handler):
        """Handle messages of a type."""
        self._handlers[message_type] = handler

    async def call(self, vm, message, timeout_s=None):
        """Call a VM; the call times out if that VM is dead, frozen or cut off."""
        self.calls += 1
        task = asyncio.ensure_future(self._world.deliver(self._vm, vm, message))
        timeout = self._vm.timers.after(timeout_s or 2.0, task.cancel, "call")
        try:
            await asyncio.wait({task})
        finally:
            timeout.cancel()
            task.cancel()
        await self._vm.gate.wait()
        if task.cancelled():
            return Err(Failure(ErrorKind.PEER_UNAVAILABLE, "no answer", 1.0))
        reply = task.result()
        if isinstance(reply, Failed):
            kind = ErrorKind(reply.kind)
            return Err(Failure(kind, reply.detail, reply.retry_after_s))
        return Ok(reply)


class FakeMembers:
    """One VM's view of the other VMs."""

    def __init__(self, world, vm):
        self._world = world
        self._vm = vm
        self.draining = False

    def live_vms(self):
        """Return the VMs that answer, and this one."""
        return tuple(
            vm.name
            for vm in self._world.vms.values()
            if vm is self._vm or (vm.alive and not vm.frozen)
        )

    def in_data_centre(self, data_centre):
        """Return the live VMs of a data centre."""
        return tuple(
            name
            for name in self.live_vms()
            if self._world.vms[name].settings["DATA_CENTRE"] == data_centre
        )

    def proof_gone(self, vm, incarnation):
        """Return "refused" for killed VMs, unless ``World.proofs`` is off."""
        if self._world.proofs and incarnation in self._world.killed:
            return "refused"
        return None


class FakeVm:
    """One VM of a world."""

    def __init__(self, world, name, data_centre, rate, settings):
        self.world = world
        self.name = name
        self.rate = rate
        self.alive = True
        self.frozen = False
        self.gate = asyncio.Event()
        self.gate.set()
        self.timers = ManualTimerService()
        self.settings = default_settings(
            VM_NAME=name,
            DATA_CENTRE=data_centre,
            CALLER_ADDRESS="127.0.0.1:1",
            PEER_ADDRESS="127.0.0.1:2",
            **settings,
        )
        self.events = EventRing(name, HybridClock(self.timers))
        self.invariants = Invariants(self.events)
        rng = random.Random(f"{name}/{world.starts}")
        parts = {
            "settings": self.settings,
            "timers": self.timers,
            "events": self.events,
            "rng": rng,
        }
        self.store = GatedStore(world.objects, gate=self.gate, **parts)
        self.mesh = FakeMesh(world, self)
        self.members = FakeMembers(world, self)
        self.leases = LeaseKeeper(
            store=self.store, mesh=self.mesh, members=self.members, **parts
        )
        self.owners = Owners(
            store=self.store,
            leases=self.leases,
            members=self.members,
            invariants=self.invariants,
            **parts,
        )
        self.leases.start()
        self.owners.start()

    async def stop(self):
        """Stop all tasks."""
        await self.owners.stop()
        await self.leases.stop()
        await self.store.stop()


class World:
    """VMs, the store that they share, and the time."""

    def __init__(self, **settings):
        self.objects = MemoryObjects()
        self.vms: dict[str, FakeVm] = {}
        self.killed: set[str] = set()
        self.cuts: set[frozenset] = set()
        self.proofs = True
        self.starts = 0
        self.resources: tuple[str, ...] = ()
        self._settings = settings

    def add(self, name, data_centre="dc1", rate=1.0) -> FakeVm:
        """Start a VM, also one that was killed before."""
        self.starts += 1
        vm = FakeVm(self, name, data_centre, rate, self._settings)
        self.vms[name] = vm
        for resource in self.resources:
            vm.owners.request(resource, "dc1")
        return vm

    def request(self, *resources):
        """Have all VMs request resources of data centre dc1."""
        self.resources += resources
        for vm in self.vms.values():
            for resource in resources:
                vm.owners.request(resource, "dc1")

    async def deliver(self, sender, name, message):
        """Deliver a call to a VM and return its answer."""
        vm = self.vms.get(name)
        if vm is None or not vm.alive or frozenset((sender.name, name)) in self.cuts:
            await asyncio.Event().wait()
        await vm.gate.wait()
        reply = await vm.mesh._handlers[type(message)](None, message)
        await vm.gate.wait()
        return reply

    async def kill(self, vm):
        """End a VM's process at once."""
        vm.alive = False
        self.killed.add(process_of(vm.leases.incarnation))
        await vm.stop()

    def freeze(self, vm):
        """Freeze a VM; its clock continues."""
        vm.frozen = True
        vm.gate.clear()

    def thaw(self, vm):
        """Let a frozen VM continue."""
        vm.frozen = False
        vm.gate.set()

    async def run(self, seconds):
        """Advance the time, and check in each step that no resource has two owners."""
        for _ in range(round(seconds / STEP_S)):
            # All clocks advance before anything runs. If one VM ran ahead of the other
            # clocks, their rates would differ more than leases allow for.
            for vm in self.vms.values():
                vm.timers._now += STEP_S * vm.rate
            for vm in self.vms.values():
                if vm.alive and not vm.frozen:
                    await vm.timers.advance(0)
            for _ in range(30):
                await asyncio.sleep(0)
            self.check()

    def check(self):
        """Check that no resource has two VMs with the full right, frozen or not."""
        for resource in self.resources:
            assert len(self.owners_of(resource)) <= 1, resource

    def owners_of(self, resource) -> list[FakeVm]:
        """Return all VMs that have the full right now."""
        return [
            vm
            for vm in self.vms.values()
            if vm.alive and vm.owners.right(resource) is OrderRight.FULL
        ]

    def owner_of(self, resource) -> FakeVm:
        """Return the only VM that has the full right."""
        (owner,) = self.owners_of(resource)
        return owner

    async def stop(self):
        """Stop all VMs."""
        for vm in self.vms.values():
            if vm.alive:
                await vm.stop()
