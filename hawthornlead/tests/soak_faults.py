"""The faults of the long run: each is injected, held for a while and healed.

A fault takes the ``World`` it acts on and counts itself when it was injected. VM
faults take a VM of their own, so that no two work on one process at once::

    await FAULTS["vm-killed"](world)
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import contextmanager
from random import Random

from .deployments import Operators
from .fleets import Fleet
from .soak_callers import Caller
from .soak_decks import Deck
from .soak_links import Network
from .soak_records import Drained, Hurt, RollTold, refused_for_certain

CRASH_MARKER = "POISON"
ORDER_TRIES = 8
REPEATED = "order-repeated"
HELD_STREAMS = 5


class World:
    """What the faults act on; ``now`` is the run's clock."""

    def __init__(
        self,
        fleet: Fleet,
        operators: Operators,
        rng: Random,
        now: Callable[[], float],
        document: Callable[[int, Random], dict],
    ):
        self.fleet = fleet
        self.network = Network(fleet)
        self.operators = operators
        self.rng = rng
        self.now = now
        self._document = document
        self._generation = 0
        self._in_use: set[str] = set()
        self.streams: set[asyncio.Task] = set()
        self._normal: dict[str, dict] = {}
        self.injected: Counter = Counter()
        self.drained: list[Drained] = []
        self.hurt: list[Hurt] = []
        self.rolls: list[RollTold] = []
        self.assigned: dict[str, dict] = {}
        self.crash_prompts: list[str] = []
        self.callers: list[Caller] = []
        self.engines: list[str] = []
        self.services: list[str] = []

    @contextmanager
    def own_vm(self):
        """Choose a VM that no other fault works on; at most half are in use."""
        free = sorted(set(self.fleet.vms) - self._in_use)
        if not free or len(self._in_use) >= 3:
            yield None
            return
        vm = self.rng.choice(free)
        self._in_use.add(vm)
        try:
            yield vm
        finally:
            self._in_use.discard(vm)

    async def hold_streams(self, vm: str) -> None:
        """Have long streams run on a VM that is about to be hurt."""
        address = self.fleet.vms[vm].caller_address
        for caller in self.rng.sample(self.callers, HELD_STREAMS):
            task = asyncio.create_task(caller.long_stream(address))
            self.streams.add(task)
            task.add_done_callback(self.streams.discard)
        await asyncio.sleep(0.5)

    def free_address(self) -> str:
        """Return the address of a VM that no fault works on."""
        free = sorted(set(self.fleet.vms) - self._in_use)
        return self.fleet.vms[self.rng.choice(free)].caller_address

    def keep_asking(self, vm: str) -> asyncio.Task:
        """Have a caller ask one VM again and again, until the task is cancelled."""
        caller = self.rng.choice(self.callers)
        address = self.fleet.vms[vm].caller_address
        return asyncio.create_task(caller.keep_asking(address))

    @contextmanager
    def frozen(self, vm: str):
        """Freeze a VM for a while."""
        at, process_id = self.now(), self.fleet.vms[vm].process.pid
        self.fleet.freeze_vm(vm)
        try:
            yield
        finally:
            self.fleet.thaw_vm(vm)
            self.hurt.append(Hurt(process_id, at, self.now()))

    def any_address(self) -> str:
        """Return the address of any VM, at times of one that a fault works on."""
        if self.rng.random() < 0.7 or not self.fleet.vms:
            return self.free_address()
        vm = self.rng.choice(sorted(self.fleet.vms))
        return self.fleet.vms[vm].caller_address

    def an_engine(self) -> str:
        """Choose an engine."""
        return self.rng.choice(self.engines)

    async def held(self, name: str, hold_s: float, **changes) -> None:
        """Switch a stand-in's faults, hold them, and put back what was."""
        normal = self._normal[name]
        await self.fleet.faults(name, **changes)
        try:
            await asyncio.sleep(hold_s)
        finally:
            await self.fleet.faults(name, **{key: normal[key] for key in changes})

    async def learn_normal(self) -> None:
        """Note the faults that every stand-in has from the beginning."""
        for name, address in self.fleet.addresses.items():
            reply = await self.fleet.get(address, "/standin/faults")
            self._normal[name] = reply.json
            if name.startswith("engine-"):
                self.engines.append(name)
            if name.startswith("bulletins-"):
                self.services.append(name)

    def new_document(self) -> dict:
        """Return a further bundle document, with some versions changed."""
        self._generation += 1
        return self._document(self._generation, self.rng)

    async def made(self) -> str:
        """Prepare and approve a further bundle; return its digest.

        Faults defeat single orders, which are then given again over another VM.
        """
        document = self.new_document()
        digest = await self._ordered(
            lambda vm: self.operators.prepare(vm, document), ORDER_TRIES
        )
        self.assigned[digest] = {
            (caller["name"], alias): (target["adapter"], target["version"])
            for caller in document["callers"]
            for alias, target in caller["aliases"].items()
        }
        await self._ordered(lambda vm: self.operators.approve(vm, digest), ORDER_TRIES)
        return digest

    async def _ordered(self, order, tries: int):
        for _ in range(tries - 1):
            try:
                return await order(self.free_address())
            except RuntimeError:
                await asyncio.sleep(0.5)
        return await order(self.free_address())

    async def rolled(self, digest: str, operator: int, expected: int) -> None:
        """Roll a bundle as one of the operators and write down what was told.

        An order whose answer was lost is given again under its own id, over another
        VM, as the operator's page says.
        """
        order_id = f"{self.rng.getrandbits(128):032x}"
        more = ("--expect", str(expected), "--order-id", order_id)
        for _ in range(ORDER_TRIES):
            code, output = await self.operators.roll(
                self.any_address(), digest, *more, operator=operator
            )
            if not code or refused_for_certain(output):
                break
            self.injected[REPEATED] += 1
            await asyncio.sleep(0.5)
        seq = 0
        if not code:
            seq = int(output.partition("in force as ")[2].partition(":")[0])
        self.rolls.append(RollTold(self.now(), digest, expected, seq, output))

    async def seq_in_force(self) -> int:
        """Return the greatest bundle number that any free VM has in force."""
        highest = 0
        for name in sorted(set(self.fleet.vms) - self._in_use):
            vm = self.fleet.vms.get(name)
            reply = await self.fleet.get(vm.metrics_address, "/status")
            if reply.status == 200:
                highest = max(highest, reply.json["bundle"]["seq"])
        return highest


DECK = Deck()
FAULTS = DECK.faults
fault = DECK.fault


def stand_in_fault(name: str, kind: str, hold_s: float, **changes) -> None:
    """Enter a fault that is a stand-in's own; lists are drawn from at random."""

    @fault(name)
    async def run(world: World) -> None:
        names = {"engine": world.engines, "service": world.services}
        chosen = world.rng.choice(names.get(kind, [kind]))
        world.injected[name] += 1
        await world.held(chosen, hold_s, **changes)


stand_in_fault("store-outage", "store", 3.0, outage=True)
stand_in_fault("store-slow", "store", 2.0, slow_s=0.3)
stand_in_fault("store-silent", "store", 3.0, silent=True)
stand_in_fault("lost-replies", "store", 1.0, lose_replies=6)
stand_in_fault("watch-gaps", "store", 1.0, drop_events=4)
stand_in_fault("watch-expired", "store", 0.1, expire=True)
stand_in_fault("watch-too-old", "store", 1.0, force_410=3)
stand_in_fault("vm-list-lag", "vms", 3.0, lag_s=2.0)
stand_in_fault("vm-list-outage", "vms", 2.0, outage=True)
stand_in_fault("loads-fail", "engine", 2.0, fail_loads=3)
stand_in_fault("fetches-fail", "weights", 2.0, fail_fetches=3)
stand_in_fault("weights-slow", "weights", 2.0, load_s=1.0)
stand_in_fault("orders-slow", "engine", 3.0, order_delay_s=1.5)
stand_in_fault("engine-silent", "engine", 3.0, silent=True)
stand_in_fault("answers-crossed", "engine", 3.0, cross_answers=3)
stand_in_fault("answers-late", "engine", 2.0, late_s=0.5)
stand_in_fault("answers-truncated", "engine", 3.0, truncate=4)
stand_in_fault("answers-doubled", "engine", 3.0, double=4)
stand_in_fault("tokens-doubled", "engine", 3.0, double_tokens=4)
stand_in_fault("wrong-version", "engine", 3.0, wrong_version=4)
stand_in_fault("engine-overload", "engine", 2.0, overload=30)
stand_in_fault("engine-leaving", "engine", 2.0, leaving=True)
stand_in_fault("report-lag", "engine", 3.0, report_lag_s=1.0)
stand_in_fault("service-refuses", "service", 2.0, refuse=5)
stand_in_fault("service-fails", "service", 2.0, fail=5)
stand_in_fault("service-crashes-before", "service", 2.0, crash_before=4)
stand_in_fault("service-crashes-after", "service", 2.0, crash_after=4)
stand_in_fault("service-slow", "service", 3.0, delay_s=0.6)


@fault("engine-crash")
async def engine_crash(world: World) -> None:
    """An engine loses everything and comes back."""
    world.injected["engine-crash"] += 1
    await world.fleet.faults(world.an_engine(), crash=True)


@fault("vm-killed", often=2)
async def vm_killed(world: World) -> None:
    """A VM is gone at once; a new process takes its name later."""
    with world.own_vm() as vm:
        if vm is None:
            return
        world.injected["vm-killed"] += 1
        await world.hold_streams(vm)
        spec, process = world.fleet.vms[vm].spec, world.fleet.vms[vm].process
        at = world.now()
        await world.fleet.kill_vm(vm)
        world.hurt.append(Hurt(process.pid, at, world.now()))
        await asyncio.sleep(world.rng.choice((0.0, 1.0, 4.0)))
        await world.fleet.start_vm(spec)
        await world.fleet.wait_alive(vm)


@fault("vm-frozen", often=2)
async def vm_frozen(world: World) -> None:
    """A VM stands still for less, or for more, than its lease."""
    with world.own_vm() as vm:
        if vm is None:
            return
        world.injected["vm-frozen"] += 1
        await world.hold_streams(vm)
        with world.frozen(vm):
            await asyncio.sleep(world.rng.choice((0.3, 1.5, 5.0)))
        await asyncio.sleep(1.0)


@fault("vm-replaced")
async def vm_replaced(world: World) -> None:
    """A VM is asked to stop, and a new one takes its name."""
    with world.own_vm() as vm:
        if vm is None:
            return
        world.injected["vm-replaced"] += 1
        await world.hold_streams(vm)
        running = world.fleet.vms[vm]
        asked_at = world.now()
        code = await world.fleet.terminate_vm(vm)
        world.drained.append(Drained(vm, running.process.pid, asked_at, code))
        await world.fleet.start_vm(running.spec)
        await world.fleet.wait_alive(vm)


@fault("roll", often=3)
async def roll(world: World) -> None:
    """An operator rolls a further bundle."""
    digest = await world.made()
    world.injected["roll"] += 1
    await world.rolled(digest, 0, await world.seq_in_force())


@fault("rolls-conflict", often=3)
async def rolls_conflict(world: World) -> None:
    """Two operators roll different bundles from two VMs at the same time."""
    digests = [await world.made() for _ in range(2)]
    expected = await world.seq_in_force()
    world.injected["rolls-conflict"] += 1
    await asyncio.gather(
        *(
            world.rolled(digest, operator, expected)
            for operator, digest in enumerate(digests)
        )
    )


@fault("crashing-request")
async def crashing_request(world: World) -> None:
    """A caller sends a request again and again that crashes whatever runs it."""
    prompt = f"{CRASH_MARKER} {len(world.crash_prompts)}"
    world.crash_prompts.append(prompt)
    world.injected["crashing-request"] += 1
    await world.rng.choice(world.callers).resend(prompt, 5)


@fault("overload")
async def overload(world: World) -> None:
    """A caller sends far more at once than its bundle allows."""
    world.injected["overload"] += 1
    await world.rng.choice(world.callers).burst(60)
