"""VMs that ask for places at plain targets, in simulated time without a network."""

import asyncio
import selectors
from collections import Counter
from collections.abc import Coroutine
from random import Random
from typing import NamedTuple

from result import Err

from hawthornlead.admission.place_coordinators import (
    CoordinatedTarget,
    PlaceCoordinator,
)
from hawthornlead.gateway.placement_requests import PlacementRequest
from hawthornlead.gateway.plain_places import PlainPlaces
from hawthornlead.gateway.records import (
    CallerRequest,
    Route,
    RouteKind,
    ServiceShare,
    ServiceSpec,
    TargetEntry,
)
from hawthornlead.gateway.run_times import RunTimes
from hawthornlead.gateway.target_choices import Candidate, Holding, Scored
from hawthornlead.hashes import rendezvous
from hawthornlead.mesh.calls import unavailable
from hawthornlead.mesh.meshes import Mesh, outcome_of
from hawthornlead.timers import TimerService

SERVICE = ServiceSpec("forms", "/health", 100, None)
REQUEST = CallerRequest("r1", 4000.0, "", "", 0, 0, 0, "")
SLOTS, QUEUE = 6, 24
OBJECTIVE_S, DEADLINE_S = 0.4, 4.0


class _SkippingSelector(selectors.DefaultSelector):
    """Advances its loop's clock by the time for which it would wait."""

    def select(self, timeout=None):
        self.loop.now += max(0.0, timeout or 0.0)
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop on which time passes only while all tasks wait."""

    def __init__(self):
        self.now = 1000.0
        selector = _SkippingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        """Return the simulated time."""
        return self.now


class SimulatedTimers(TimerService):
    """Timers on the clock of a simulated loop."""

    def now(self):
        """Return the simulated time."""
        return asyncio.get_running_loop().time()


def simulate(coroutine: Coroutine):
    """Run a coroutine in simulated time."""
    loop = SimulatedLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()


def route(rank: int = 1) -> Route:
    """Return a plain route of a rank."""
    share = (ServiceShare("forms", 1.0),)
    return Route(
        "forms",
        "a.example",
        "/forms/",
        RouteKind.UNSAFE,
        1000 * DEADLINE_S,
        1000 * OBJECTIVE_S,
        rank,
        share,
        2,
        False,
        300.0,
    )


class Report:
    """Counts what was decided, in place of events."""

    def __init__(self):
        self.counts = Counter()

    def record_decision(self, target, request, answer, *, granted, **inputs):
        """Count a decision."""
        self.counts["granted" if granted else "refused"] += 1

    def record_direct(self, target, **inputs):
        """Count a direct send."""
        self.counts["direct"] += 1


class FakeMesh(Mesh):
    """The mesh of one VM; ``silent`` VMs answer nothing."""

    def __init__(self, vm, site):
        settings = {"VM_NAME": vm, "DATA_CENTRE": "gijon", "PEER_ADDRESS": ""}
        super().__init__(
            settings=settings,
            timers=site.timers,
            events=None,
            clock=None,
            incarnation="1",
        )
        self._site = site

    async def call(self, vm, message, timeout_s=1.0):
        """Call a VM as a mesh does."""
        if vm == self.vm:
            return outcome_of(await self.answer(self.myself, message))
        self._site.messages[type(message).__name__] += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self._site.deliver(vm)
                reply = await self._site.meshes[vm].answer(self.myself, message)
                await self._site.deliver(vm)
                return outcome_of(reply)
        except TimeoutError:
            return unavailable(f"{vm} did not reply")

    def cast(self, vm, message):
        """Cast a message as a mesh does."""
        self._site.messages[type(message).__name__] += 1
        self._site.spawn(self._cast(vm, message))

    async def _cast(self, vm, message):
        await self._site.deliver(vm)
        await self._site.meshes[vm].answer(self.myself, message)


class PlainTarget:
    """A plain target with slots and a queue, which rejects what exceeds them."""

    def __init__(self, rng):
        self._rng = rng
        self._slots = asyncio.Semaphore(SLOTS)
        self.requests = 0
        self.served = 0

    async def serve(self) -> bool:
        """Serve a request; False if it is rejected."""
        if self.requests >= SLOTS + QUEUE:
            return False
        self.requests += 1
        async with self._slots:
            await asyncio.sleep(self._rng.uniform(0.06, 0.09))
        self.requests -= 1
        self.served += 1
        return True


class Result(NamedTuple):
    """What became of one request."""

    rank: int
    at: float
    took_s: float
    served: bool


class Site:
    """VMs before plain targets. ``counted`` False sends by announced counts."""

    def __init__(self, vms=75, targets=3, counted=True, seed=1):
        self.rng = Random(seed)
        self.timers = SimulatedTimers()
        self.vms = [f"vm-{number}" for number in range(vms)]
        self.targets = {f"t{n}": PlainTarget(self.rng) for n in range(targets)}
        self.entries = {
            name: TargetEntry(name, "forms", "", "gijon", SLOTS, False, None, (), 1)
            for name in self.targets
        }
        self.counted = counted
        self.silent = set()
        self.messages = Counter()
        self.arrivals = self.rejected = 0
        self.results: list[Result] = []
        self.announced = dict.fromkeys(self.targets, 0)
        self.suspect = frozenset()
        self.report = Report()
        self._tasks = set()
        self.meshes = {vm: FakeMesh(vm, self) for vm in self.vms}
        self.coordinators = {vm: self._coordinator(vm) for vm in self.vms}
        self.places = {vm: self._places(vm) for vm in self.vms}

    def _coordinator(self, vm):
        return PlaceCoordinator(
            mesh=self.meshes[vm],
            timers=self.timers,
            find=lambda target: CoordinatedTarget(SLOTS, 1),
            announced=self.announced.get,
            is_seen=lambda vm: True,
            report=self.report,
        )

    def _places(self, vm):
        return PlainPlaces(
            targets=self,
            memberships=self,
            mesh=self.meshes[vm],
            timers=self.timers,
            run_times=RunTimes(),
            report=self.report,
            keeps_own_rules=lambda target: False,
        )

    # What places ask of memberships and targets

    def live(self):
        """Return all VMs."""
        return self.vms

    def order_for(self, key):
        """Return the VMs in the rendezvous order of a key."""
        return rendezvous(key, self.vms)

    def record_of(self, vm):
        """Return no record: all VMs are of one data centre."""
        return

    def of_service(self, name):
        """Return all targets."""
        return tuple(self.entries.values())

    def is_current(self, entry):
        """Return True: no target restarts."""
        return True

    async def deliver(self, vm):
        """Wait until a message has reached a VM."""
        await asyncio.sleep(self.rng.uniform(0.002, 0.010))
        if vm in self.silent:
            await asyncio.sleep(1000)

    def spawn(self, coroutine):
        """Run a coroutine beside the rest."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Requests

    def scored(self):
        """Return the targets by the announced counts."""
        return [
            Scored(
                0.0,
                Candidate(
                    name,
                    SLOTS,
                    self.announced[name],
                    Holding.READY,
                    True,
                    name in self.suspect,
                    0.0,
                    True,
                ),
            )
            for name in sorted(self.targets, key=self.announced.get)
        ]

    def placement(self, rank=1):
        """Return a request that arrives now."""
        now = self.timers.now()
        return PlacementRequest(
            route(rank), "forms", REQUEST, now, now + DEADLINE_S, frozenset()
        )

    async def request(self, rank=1):
        """Play one request of a caller, who retries once after a refusal."""
        began = self.timers.now()
        vm = self.rng.choice(self.vms)
        retry_s = await self._attempt(vm, rank, began)
        if retry_s is not None:
            await asyncio.sleep(min(retry_s, (DEADLINE_S - self._since(began)) / 3))
            vm = self.rng.choice(self.vms)
            retry_s = await self._attempt(vm, rank, began)
        took_s = self._since(began)
        served = retry_s is None and took_s < DEADLINE_S
        self.results.append(Result(rank, began, took_s, served))

    def _since(self, at):
        return self.timers.now() - at

    async def _attempt(self, vm, rank, began):
        """Return when to retry, None if the request was served."""
        asked = self.placement(rank)._replace(
            arrived_at=began, deadline_at=began + DEADLINE_S
        )
        choice = None
        if self.counted:
            choice = await self.places[vm].choose(asked, SERVICE, self.scored())
        if isinstance(choice, Err):
            return choice.err_value.retry_after_s
        names = [each.candidate.target for each in self.scored()]
        if choice is not None:
            names = [choice.ok_value.hold.entry.target]
        for name in names[:2]:
            self.arrivals += 1
            if await self.targets[name].serve():
                if choice is not None:
                    self.places[vm].end(choice.ok_value.hold)
                return None
            self.rejected += 1
        if choice is not None:
            self.places[vm].end(choice.ok_value.hold)
        return 0.4

    async def announce(self):
        """Announce the requests of targets, as old as between VMs."""
        while True:
            counts = {name: each.requests for name, each in self.targets.items()}
            await asyncio.sleep(0.4)
            self.announced.update(counts)

    async def play(self, phases, ranks=(1,)):
        """Play phases, each of some seconds at a rate, until all are answered."""
        announcing = asyncio.ensure_future(self.announce())
        playing = set()
        for rate, seconds in phases:
            end = self.timers.now() + seconds
            while self.timers.now() < end:
                await asyncio.sleep(self.rng.expovariate(rate))
                request = self.request(self.rng.choice(ranks))
                playing.add(asyncio.ensure_future(request))
        await asyncio.wait(playing)
        announcing.cancel()
        await asyncio.sleep(0.1)

    def in_time(self, rank=None):
        """Return the share of requests that were served in time."""
        results = [each for each in self.results if rank in (None, each.rank)]
        good = [each for each in results if each.served and each.took_s <= OBJECTIVE_S]
        return len(good) / len(results)
