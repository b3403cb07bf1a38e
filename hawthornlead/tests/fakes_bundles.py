"""Bundle keepers of several VMs in one process, with injected faults."""

import asyncio
import copy
import random
from contextlib import asynccontextmanager

from result import Err, Ok, Result

from hawthornlead.bundles.bundle_pointers import read_pointer
from hawthornlead.bundles.bundles import prepare, token_hash
from hawthornlead.bundles.rolls import BundleKeeper
from hawthornlead.core_parts import build_core
from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.messages import Failed
from hawthornlead.ownership.lease_objects import Registration
from hawthornlead.settings import default_settings
from hawthornlead.signatures import Statement, generate_key, public_text, sign
from hawthornlead.timers import ManualTimerService

ANNA, BERTA = generate_key(), generate_key()
OPERATORS = {"anna": public_text(ANNA), "berta": public_text(BERTA)}


class Stored:
    """One object of a ``FakeObjects``."""

    def __init__(self, name, version, value):
        self.name, self.version, self.value = name, version, value


class Listed:
    """All objects of a kind."""

    def __init__(self, items):
        self.items = items


class FakeObjects:
    """The objects that the stores of all VMs share."""

    def __init__(self):
        self.values: dict[tuple[str, str], Stored] = {}
        self.version = 0
        self.reads = 0
        self.writes = 0
        self.accepted_at: dict[int, float] = {}


class FakeStore:
    """The store of one VM; ``out`` fails all calls, ``lose_next`` loses replies."""

    def __init__(self, objects: FakeObjects, timers):
        self.objects = objects
        self.timers = timers
        self.out = False
        self.slow_s = 0.0
        self.lose_next = 0
        self.before_write = None

    async def travel(self):
        """Delay a message in one direction."""
        if self.slow_s:
            await self.timers.sleep(self.slow_s)
        await asyncio.sleep(0)

    async def get(self, kind, name):
        """Read one object."""
        await self.travel()
        if self.out:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, "outage"))
        self.objects.reads += 1
        found = copy.deepcopy(self.objects.values.get((kind, name)))
        await self.travel()
        return Ok(found)

    async def list(self, kind):
        """Read all objects of a kind."""
        await asyncio.sleep(0)
        if self.out:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, "outage"))
        items = [v for k, v in self.objects.values.items() if k[0] == kind]
        return Ok(Listed(copy.deepcopy(items)))

    async def put(self, kind, name, value, version):
        """Write one object if its version matches."""
        await self.travel()
        if self.before_write is not None:
            await self.before_write(kind)
        if self.out:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, "outage"))
        current = self.objects.values.get((kind, name))
        if (current.version if current else None) != version:
            return Err(Failure(ErrorKind.VERSION_CONFLICT, "another write"))
        self.objects.version += 1
        self.objects.writes += 1
        stored = Stored(name, self.objects.version, copy.deepcopy(value))
        self.objects.values[(kind, name)] = stored
        if kind == "bundle":
            now = self.timers.now()
            self.objects.accepted_at.setdefault(value["seq"], now)
        if self.lose_next:
            self.lose_next -= 1
            self.out = True
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, "lost reply"))
        await self.travel()
        return Ok(stored)

    async def update(self, kind, name, change):
        """Read, change and write until no concurrent write interferes."""
        while True:
            got = await self.get(kind, name)
            if got.is_err():
                return got
            current = got.unwrap()
            value = change(copy.deepcopy(current.value) if current else None)
            if value is None:
                return Ok(current or Stored(name, 0, {}))
            version = current.version if current else None
            put = await self.put(kind, name, value, version)
            conflict = (
                put.is_err() and put.unwrap_err().kind is ErrorKind.VERSION_CONFLICT
            )
            if not conflict:
                return put


class FakePeer:
    """Another VM as seen by a mesh."""

    def __init__(self, vm, incarnation, data_centre):
        self.vm, self.incarnation, self.data_centre = vm, incarnation, data_centre
        self.heartbeat = None


class FakeNetwork:
    """The meshes of one test and the partitions between them."""

    def __init__(self, timers):
        self.timers = timers
        self.slow_s = 0.0
        self.meshes: dict[str, FakeMesh] = {}
        self.cuts: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.drops: list[type] = []

    def reaches(self, a: str, b: str) -> bool:
        """Return whether two VMs can communicate."""
        if b not in self.meshes or self.frozen & {a, b}:
            return False
        return frozenset((a, b)) not in self.cuts


class FakeMesh:
    """The mesh of one VM."""

    def __init__(self, network, vm, incarnation, data_centre):
        self.network = network
        self.vm, self.incarnation, self.data_centre = vm, incarnation, data_centre
        self.handlers = {}
        self.heartbeats = 0
        network.meshes[vm] = self

    @property
    def live(self):
        """The VMs that this one is connected to."""
        return tuple(
            FakePeer(m.vm, m.incarnation, m.data_centre)
            for m in self.network.meshes.values()
            if m is not self and self.network.reaches(self.vm, m.vm)
        )

    def on(self, message_type, handler):
        """Register the handler of a message type."""
        self.handlers[message_type] = handler

    async def travel(self):
        """Delay a message in one direction."""
        if self.network.slow_s:
            await self.network.timers.sleep(self.network.slow_s)
        await asyncio.sleep(0)

    async def call(self, vm, message, timeout_s=None) -> Result:
        """Call a VM; one that can't be reached fails at once."""
        await self.travel()
        if vm != self.vm and not self.network.reaches(self.vm, vm):
            return Err(Failure(ErrorKind.PEER_UNAVAILABLE, f"{vm} is not connected"))
        sender = FakePeer(self.vm, self.incarnation, self.data_centre)
        reply = await self.network.meshes[vm].handlers[type(message)](sender, message)
        await self.travel()
        if vm != self.vm and not self.network.reaches(self.vm, vm):
            return Err(Failure(ErrorKind.PEER_UNAVAILABLE, f"{vm} was lost"))
        if isinstance(reply, Failed):
            return Err(Failure(ErrorKind(reply.kind), reply.detail))
        return Ok(reply)

    def heartbeat_changed(self):
        """Count the heartbeats sent at once after a change."""
        self.heartbeats += 1

    def broadcast(self, message):
        """Send to all reachable VMs, unless this message type is dropped."""
        if type(message) in self.network.drops:
            return
        for peer in self.live:
            asyncio.get_running_loop().create_task(self.call(peer.vm, message))


class FakeLeases:
    """The lease of one VM."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.state = "held"


class FakeMembers:
    """Which VMs are proved gone."""

    def __init__(self, gone):
        self._gone = gone

    def proof_gone(self, vm, incarnation):
        """Return the proof that an incarnation has stopped."""
        return "refused" if (vm, incarnation) in self._gone else None


class Vm:
    """One VM with its keeper and its faults."""

    def __init__(self, fleet, name, data_centre, incarnation):
        self.name, self.incarnation = name, incarnation
        self.store = FakeStore(fleet.objects, fleet.timers)
        self.mesh = FakeMesh(fleet.network, name, incarnation, data_centre)
        self.leases = FakeLeases(incarnation)
        timers = fleet.timers
        settings = default_settings(
            VM_NAME=name, DATA_CENTRE=data_centre, OPERATORS=OPERATORS
        )
        self.keeper = BundleKeeper(
            core=build_core(settings, random.Random(name + incarnation), timers),
            store=self.store,
            mesh=self.mesh,
            members=FakeMembers(fleet.gone),
            leases=self.leases,
        )


class Fleet:
    """VMs in two data centres that share a store and a network."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.objects = FakeObjects()
        self.network = FakeNetwork(self.timers)
        self.gone: set[tuple[str, str]] = set()
        self.vms: dict[str, Vm] = {}
        self.orders = 0

    async def add(self, name, data_centre="santander", incarnation="1") -> Vm:
        """Register and start a VM, replacing one of the same name."""
        lease = Registration(
            name, "", data_centre, f"{name}:1", f"{name}:2", 1, "live"
        )._asdict()
        entry = {f"{name}.{incarnation}": lease}
        stored = self.objects.values.setdefault(
            ("leases", data_centre), Stored(data_centre, 1, {"entries": {}})
        )
        stored.value["entries"].update(entry)
        vm = Vm(self, name, data_centre, f"{name}.{incarnation}")
        self.vms[name] = vm
        vm.keeper.start()
        await self.settle()
        return vm

    async def kill(self, name, proved=False) -> None:
        """Stop a VM's process without any message."""
        vm = self.vms.pop(name)
        del self.network.meshes[name]
        await vm.keeper.stop()
        if proved:
            self.gone.add((name, vm.incarnation))

    async def settle(self) -> None:
        """Run all tasks that do not wait for time to pass."""
        for _ in range(60):
            await asyncio.sleep(0)

    async def run(self, seconds: float) -> None:
        """Advance time in small steps."""
        for _ in range(round(seconds / 0.1)):
            await self.timers.advance(0.1)
            await self.settle()

    async def release(self, version: str, at: str = "a") -> str:
        """Prepare and approve a bundle that assigns a version; return its digest."""
        prepared = prepare(document(version)).unwrap()
        library = self.vms[at].keeper.library
        for chunk in prepared.chunks:
            (await library.put_chunk(chunk)).unwrap()
        digest = prepared.bundle.digest
        signed = sign(ANNA, Statement("prepare", "anna", digest))
        (await library.prepare(signed)).unwrap()
        approved = sign(BERTA, Statement("approve", "berta", digest))
        (await library.approve(approved)).unwrap()
        return digest

    def order(self, digest, expected_seq, waived=()):
        """Sign an order to roll."""
        self.orders += 1
        purpose = "waive" if waived else "roll"
        order_id = f"order-{self.orders}"
        return sign(
            ANNA, Statement(purpose, "anna", digest, order_id, expected_seq, waived)
        )

    async def roll(self, at, digest, expected_seq, waived=(), limit_s=30.0):
        """Roll at a VM and advance time until it has answered."""
        order = self.order(digest, expected_seq, waived)
        return await self.finish(self.vms[at].keeper.roll(order), limit_s)

    async def finish(self, coroutine, limit_s=30.0):
        """Advance time until a coroutine has finished."""
        task = asyncio.get_running_loop().create_task(coroutine)
        await self.settle()
        while not task.done() and limit_s > 0:
            await self.run(0.1)
            limit_s -= 0.1
        return await task

    def stale_for(self, name: str) -> float:
        """Return how long a bundle newer than the served one has been accepted."""
        served = self.served(name)
        newer = [at for seq, at in self.objects.accepted_at.items() if seq > served]
        if not served or not newer:
            return 0.0
        return self.timers.now() - min(newer)

    def served(self, name: str) -> int:
        """Return the sequence number that a VM serves now, 0 if it refuses."""
        permitted = self.vms[name].keeper.may_serve()
        return permitted.unwrap().seq if permitted.is_ok() else 0

    def refusal(self, name: str) -> ErrorKind:
        """Return the kind with which a VM refuses now."""
        return self.vms[name].keeper.may_serve().unwrap_err().kind


def document(version: str) -> dict:
    """Return a bundle document that assigns one version."""
    return {
        "name": f"bundle-{version}",
        "adapters": [{"adapter": "tides", "version": version, "base_model": "b"}],
        "callers": [
            {
                "name": "office",
                "token_sha256": [token_hash("secret")],
                "priority": 5,
                "rate": 10,
                "burst": 20,
                "concurrency": 8,
                "aliases": {"brief": {"adapter": "tides", "version": version}},
            }
        ],
    }


@asynccontextmanager
async def rolled_fleet():
    """Run three VMs in two data centres with two bundles, ``v1`` and ``v2``."""
    fleet = Fleet()
    await fleet.add("a")
    await fleet.add("b")
    await fleet.add("c", "bilbao")
    fleet.v1 = await fleet.release("v1")
    fleet.v2 = await fleet.release("v2")
    yield fleet
    for name in list(fleet.vms):
        await fleet.kill(name)


def hold_accepting_write(fleet, vm):
    """Hold back a VM's accepting write and return the list that keeps it."""
    store, held = fleet.vms[vm].store, []

    async def hold(kind, name, value, version):
        if kind != "bundle" or value["staged"] is not None:
            return await FakeStore.put(store, kind, name, value, version)
        held.append((kind, name, value, version))
        del store.put
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, "no reply"))

    store.put = hold
    return held


def fleet_pointer(fleet):
    """Return the pointer in the store."""
    return read_pointer(fleet.objects.values[("bundle", "pointer")].value)
