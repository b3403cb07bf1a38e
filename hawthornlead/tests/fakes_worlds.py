"""A few VMs with one target in one process, on manual clocks.

VMs can be frozen (their tasks neither send nor receive, and their clock jumps when they
wake), killed, and cut off from each other. The test assigns ownership.
"""

import asyncio
import random
from typing import NamedTuple

from result import Err, Ok

from hawthornlead.clocks import HybridClock
from hawthornlead.core_parts import CoreParts
from hawthornlead.decisions.evictions import EVICTIONS
from hawthornlead.decisions.load_orders import LOAD_ORDERS
from hawthornlead.decisions.popularities import POPULARITIES
from hawthornlead.decisions.views import TargetViews
from hawthornlead.engines.allowances import Allowances
from hawthornlead.engines.grant_ledgers import AdapterVersion
from hawthornlead.engines.grants import Grants
from hawthornlead.engines.owned_targets import Policies
from hawthornlead.engines.target_owners import TargetOwners
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.events import EventRing
from hawthornlead.invariants import Invariants
from hawthornlead.messages import Done, Failed
from hawthornlead.metrics import Metrics
from hawthornlead.ownership.owners import OrderRight
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService

from .fakes_engines import FakeEngine, FakeTargetClient
from .fakes_targets import FakeOwnerRecord, FakeVmList, engine_entry

TARGET = "target:engine"
ALLOWANCE = "allowance:weights"
STEP_S = 0.05


class Assigned(NamedTuple):
    """What a request is assigned."""

    adapter: str
    version: str = "1"
    base_model: str = "base"
    priority: int = 0


class FakeOwnership(NamedTuple):
    """One VM's ownership of a resource."""

    resource: str
    fence: int
    taken_at: float
    predecessor: str
    predecessor_stopped: bool
    orders_end_at: float = float("-inf")


class FakePeer(NamedTuple):
    """The sender of a message."""

    vm: str
    incarnation: str = "1"


class FakeOwners:
    """One VM's view of who owns what, which the test sets."""

    def __init__(self, records):
        self.records = records
        self.ownerships = {}
        self.rights = {}
        self.taken_callbacks = []
        self.lost_callbacks = []

    def request(self, resource, data_centre):
        """Do nothing; the test assigns ownership."""

    def withdraw(self, resource):
        """Do nothing; the test assigns ownership."""

    def on_taken(self, callback):
        """Call back with ownerships."""
        self.taken_callbacks.append(callback)

    def set_open_order_check(self, has_open_order):
        """Do nothing; this fake never releases a resource by itself."""

    def on_lost(self, callback):
        """Call back with resources."""
        self.lost_callbacks.append(callback)

    def owner_of(self, resource):
        """The newest record."""
        return self.records.get(resource)

    def owned(self, resource):
        """This VM's ownership."""
        return self.ownerships.get(resource)

    def right(self, resource, duration_s=0.0):
        """This VM's right."""
        if resource not in self.ownerships:
            return OrderRight.NONE
        return self.rights[resource]


class FakeMesh:
    """One VM's mesh; the world delivers its messages."""

    def __init__(self, world, vm):
        self._world = world
        self.vm = vm
        self.handlers = {}

    @property
    def myself(self):
        """This VM as a sender."""
        return FakePeer(self.vm)

    @property
    def live(self):
        """The VMs that this one is connected to."""
        return self._world.connected(self.vm)

    def on(self, message_type, handler):
        """Set the handler of a message type."""
        self.handlers[message_type] = handler

    async def answer(self, sender, message):
        """Handle a message."""
        return await self.handlers[type(message)](sender, message) or Done()

    async def call(self, vm, message, timeout_s=2.0):
        """Send and wait for the reply."""
        return await self._world.deliver(self.vm, vm, message, timeout_s)

    def cast(self, vm, message):
        """Send without a reply."""
        self._world.spawn(self._world.deliver(self.vm, vm, message, 1e9))
        return True

    def broadcast(self, message):
        """Send to all others."""
        for vm in self._world.vms:
            if vm != self.vm:
                self.cast(vm, message)


class VmTimers(ManualTimerService):
    """Timers whose periodic calls run in their own tasks.

    A renewal waits for the reply of a frozen VM until its timeout. If the clock waited
    for the renewal, that timeout would never come.
    """

    def every(self, interval, callback, name):
        """Call back every ``interval`` seconds, unless the last call still runs."""
        running = []

        def call():
            if running and not running[0].done():
                return
            outcome = callback()
            if asyncio.iscoroutine(outcome):
                loop = asyncio.get_running_loop()
                running[:] = [loop.create_task(outcome)]

        return super().every(interval, call, name)


class Vm:
    """One entry VM's parts."""

    def __init__(self, world, name):
        self.name = name
        self.timers = VmTimers()
        self.dead = False
        self.awake = asyncio.Event()
        self.awake.set()
        settings = world.settings
        clock = HybridClock(self.timers)
        events = EventRing(name, clock)
        self.invariants = Invariants(events)
        self.metrics = Metrics()
        self.mesh = FakeMesh(world, name)
        self.owners = FakeOwners(world.records)
        self.client = FakeTargetClient(world.engine, self.awake.wait)
        rng = random.Random(name)
        core = CoreParts(
            settings, self.timers, events, self.metrics, self.invariants, clock, rng
        )
        common = {"core": core, "mesh": self.mesh, "owners": self.owners}
        order = LOAD_ORDERS["deadline"](settings=settings)
        self.allowances = Allowances(order=order, **common)
        self.views = TargetViews(
            timers=self.timers,
            events=events,
            vm_list=world.vm_list,
            owners=self.owners,
        )
        self.targets = TargetOwners(
            vm_list=world.vm_list,
            views=self.views,
            allowances=self.allowances,
            policies=Policies(
                EVICTIONS["popularity"](settings=settings),
                order,
                POPULARITIES["decayed"](settings=settings),
            ),
            make_client=lambda address: self.client,
            **common,
        )
        self.grants = Grants(**common)
        self.allowances.start()
        self.views.start(self.mesh)
        self.targets.start()
        self.grants.start()


class World:
    """VMs ``a``, ``b``, ... and one target."""

    def __init__(self, vms="ab", *, slots=1, fencing=True, **settings):
        self.settings = default_settings(
            VM_NAME="a", **{"LOADS_PER_S": 100.0, "LOAD_S": 5.0, **settings}
        )
        self.timers = ManualTimerService()
        self.engine = FakeEngine(self.timers, slots=slots, fencing=fencing)
        self.records = {}
        entry = engine_entry("engine", fencing=fencing, slots=slots)
        self.vm_list = FakeVmList(entry)
        self.cuts = set()
        self._tasks = set()
        self.vms = {}
        for name in vms:
            self.vms[name] = Vm(self, name)

    def join(self, name):
        """Add a VM later than the others."""
        self.vms[name] = Vm(self, name)

    def spawn(self, coroutine):
        """Run a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def connected(self, vm):
        """Return the VMs that ``vm`` has a connection to."""
        return tuple(
            FakePeer(name)
            for name, other in self.vms.items()
            if name != vm and not other.dead and frozenset((name, vm)) not in self.cuts
        )

    async def deliver(self, sender, vm, message, timeout_s):
        """Deliver a message and return its reply."""
        unavailable = Err(Failure(ErrorKind.PEER_UNAVAILABLE, f"{vm} is away"))
        source, other = self.vms[sender], self.vms[vm]
        await source.awake.wait()
        if source.dead or other.dead or frozenset((sender, vm)) in self.cuts:
            return unavailable
        handling = self.spawn(self._handle(source, other, message))
        timed_out = asyncio.Event()
        source.timers.after(timeout_s, timed_out.set, name="call")
        waiting = asyncio.ensure_future(timed_out.wait())
        await asyncio.wait({handling, waiting}, return_when="FIRST_COMPLETED")
        waiting.cancel()
        await source.awake.wait()
        if not handling.done() or frozenset((sender, vm)) in self.cuts:
            return unavailable
        return handling.result()

    async def _handle(self, source, other, message):
        await other.awake.wait()
        reply = await other.mesh.answer(FakePeer(source.name), message)
        await other.awake.wait()
        if other.dead:
            return Err(Failure(ErrorKind.PEER_UNAVAILABLE, "died"))
        if isinstance(reply, Failed):
            kind = ErrorKind(reply.kind)
            return Err(Failure(kind, reply.detail, reply.retry_after_s))
        return Ok(reply)

    def assign(self, vm, resource=TARGET, *, stopped=False, old_right=OrderRight.NONE):
        """Let ``vm`` own a resource; its predecessor keeps ``old_right``.

        ``stopped`` says that the predecessor is proved to have stopped.
        """
        record = self.records.get(resource)
        fence = record.fence + 1 if record else 1
        before = record.vm if record else ""
        if before:
            old = self.vms[before].owners
            if old_right is OrderRight.NONE:
                old.ownerships.pop(resource, None)
                if not self.vms[before].dead and self.vms[before].awake.is_set():
                    for callback in old.lost_callbacks:
                        callback(resource)
            else:
                old.rights[resource] = old_right
        self.records[resource] = FakeOwnerRecord(vm, vm, fence)
        new_owner = self.vms[vm]
        now = new_owner.timers.now()
        # Like real owners, it waits for the end of its predecessor's orders.
        predecessor_orders_end_at = (
            now + self.settings["ORDER_S"] * 1.03 if before else now
        )
        ownership = FakeOwnership(
            resource,
            fence,
            now,
            before,
            stopped or not before,
            predecessor_orders_end_at,
        )
        new_owner.owners.ownerships[resource] = ownership
        new_owner.owners.rights[resource] = OrderRight.FULL
        for callback in new_owner.owners.taken_callbacks:
            callback(ownership)

    def degrade(self, vm, resource=TARGET):
        """Let the lease of an owner lapse in an outage."""
        self.vms[vm].owners.rights[resource] = OrderRight.DEGRADED

    async def advance(self, seconds):
        """Advance all clocks but those of frozen VMs."""
        for _ in range(round(seconds / STEP_S)):
            await self.timers.advance(STEP_S)
            for vm in self.vms.values():
                if vm.dead or not vm.awake.is_set():
                    continue
                await vm.timers.advance(STEP_S)

    def freeze(self, vm):
        """Stop a VM's process for a while."""
        self.vms[vm].awake.clear()

    async def thaw(self, vm):
        """Wake a VM: set its clock, then run its timers."""
        woken = self.vms[vm]
        woken.timers._now = self.timers.now()
        woken.awake.set()
        await woken.timers.advance(0)

    def kill(self, vm):
        """End a VM's process."""
        self.vms[vm].dead = True
        self.vms[vm].awake.clear()

    def acquire(self, vm, adapter, wait_s=60.0, load=True):
        """Acquire a grant in a task."""
        grants = self.vms[vm].grants
        return self.spawn(grants.acquire("engine", Assigned(adapter), wait_s, load))

    async def acquired(self, vm, adapter, wait_s=60.0, load=True):
        """Acquire a grant and advance time until it is issued or refused."""
        task = self.acquire(vm, adapter, wait_s, load)
        for _ in range(round(wait_s / STEP_S) + 60):
            if task.done():
                return task.result()
            await self.advance(STEP_S)
        return task.result()

    def send(self, vm, grant, adapter, request_id):
        """Start an attempt and send it; True when it runs."""
        if grant.start(request_id).is_err():
            return False
        if self.engine.start(request_id, _key(adapter)):
            return True
        grant.finish(request_id, ended=True)
        return False


def _key(adapter):
    return AdapterVersion(adapter, "1")
