"""One run of the bench: seeded arrivals through the real decision code.

``BenchRun(deployment, policy, settings, seed).run()`` returns a ``RunFigures``.
Requests reach a random entry VM, whose own popularity counts only what it saw;
the owner of a target counts the grants that it handed out. Views of targets are as
old as the deployment's ``tell_s``, residency changes come one latency late.
"""

import random
from typing import NamedTuple

from hawthornlead.bench.bench_bounds import Future, TrueRates, clairvoyant_strategies
from hawthornlead.bench.bench_counts import make_counts
from hawthornlead.bench.bench_engines import EventQueue, FakeEngine, FakeService, Job
from hawthornlead.bench.bench_figures import Figures, RunFigures
from hawthornlead.bench.bench_loads import Deployment, draw
from hawthornlead.bench.bench_owners import BenchTarget, LoadQueue, Slot
from hawthornlead.bench.bench_policies import POLICIES, Policy
from hawthornlead.decisions.evictions import EVICTIONS
from hawthornlead.decisions.load_orders import LOAD_ORDERS
from hawthornlead.decisions.placements import PLACEMENTS
from hawthornlead.decisions.routers import ROUTERS
from hawthornlead.decisions.views import TargetView
from hawthornlead.settings import default_settings

MAX_ATTEMPTS = 3
# How long a request waits at a target that has no slot before it looks elsewhere.
NO_SLOT_WAIT_S = 0.5


class BenchAssignment(NamedTuple):
    """What the strategies read of an assignment."""

    adapter: str
    version: str
    base_model: str
    priority: int


class BenchRun:
    """One policy on one deployment with one seed."""

    def __init__(
        self, deployment: Deployment, policy: Policy, settings: dict, seed: int
    ):
        self._deployment = deployment
        self._policy = policy
        self._settings = default_settings(
            **{"TARGET_FULL": deployment.max_running, **settings}
        )
        self._queue = EventQueue()
        self._rng = random.Random(seed)
        self._arrivals, self._epochs = draw(deployment, seed)
        self._figures = Figures(deployment)
        self._serial = 0
        self._make_strategies()
        self._make_targets()

    def run(self) -> RunFigures:
        """Run to the end of the last request and return the figures."""
        for arrival in self._arrivals:
            self._queue.at(arrival.at, self._arrive, Job(arrival))
        self._queue.at(self._deployment.tell_s, self._tell_all)
        for number, text in enumerate(self._deployment.restarts.split()):
            target = self._targets[number % len(self._targets)]
            self._queue.at(float(text), self._restart, target)
        self._queue.run()
        engines = [target.engine for target in self._targets]
        return self._figures.finish(
            self._arrivals, engines, self._loads.started, self._loads.most_at_once
        )

    def _make_strategies(self) -> None:
        policy, settings = self._policy, self._settings
        if policy.placement == "clairvoyant":
            future = Future(self._arrivals)
            placement, self._eviction = clairvoyant_strategies(future, settings)
        else:
            placement = PLACEMENTS[policy.placement](settings=settings)
            self._eviction = EVICTIONS[policy.eviction](settings=settings)
        self._placement = placement
        self._router = ROUTERS[policy.router](settings=settings, placement=placement)
        order = LOAD_ORDERS[policy.load_order](settings=settings)
        self._loads = LoadQueue(self._deployment, self._queue, order, self._load)
        rates = TrueRates(self._deployment, self._epochs)
        self._counts = make_counts(
            policy, self._deployment, settings, self._queue, rates
        )

    def _make_targets(self) -> None:
        deployment = self._deployment
        self._targets = []
        for number in range(deployment.engines):
            target = BenchTarget(
                f"engine-{number}", number % deployment.vms, deployment.slots
            )
            target.engine = FakeEngine(
                deployment,
                self._queue,
                lambda job, target=target: self._done(target, job),
            )
            self._targets.append(target)
        self._by_name = {target.name: target for target in self._targets}
        self._services = [
            FakeService(deployment.service_s) for _ in range(deployment.services)
        ]
        self._views = [self._view(target) for target in self._targets]

    def _arrive(self, job: Job) -> None:
        arrival = job.arrival
        if arrival.adapter < 0:
            service = min(self._services, key=lambda service: service.free_at)
            self._finish(job, service.take(self._queue.now))
            return
        adapter = f"adapter-{arrival.adapter}"
        self._counts.admit(arrival.vm, adapter)
        popularity = self._counts.admitted[arrival.vm]
        self._route(job, adapter)
        if not self._policy.spare:
            return
        assignment = BenchAssignment(adapter, "1", "base", 0)
        name = self._placement.choose_hot_copy(
            assignment, self._views, popularity, self._queue.now
        )
        if name is not None:
            self._want(self._by_name[name], adapter)

    def _route(self, job: Job, adapter: str) -> None:
        now = self._queue.now
        arrival = job.arrival
        assignment = BenchAssignment(adapter, "1", "base", arrival.priority)
        popularity = self._counts.admitted[arrival.vm]
        candidates = self._router.choose(assignment, self._views, popularity, now)
        targets = [self._by_name[candidate.target] for candidate in candidates]
        job.asked_at = now
        self._ask(job, targets, 0)

    def _ask(self, job: Job, targets: list[BenchTarget], index: int) -> None:
        moment = self._queue.now + self._deployment.latency_s
        self._queue.at(moment, self._acquire, job, targets, index)

    def _acquire(self, job: Job, targets: list[BenchTarget], index: int) -> None:
        """Get a grant, or try the next target when this one has no slot to give.

        When none has, the request waits at the one that was best.
        """
        target = targets[index % len(targets)]
        adapter = f"adapter-{job.arrival.adapter}"
        if index < len(targets) and not target.can_hold(adapter):
            self._ask(job, targets, index + 1)
            return
        self._counts.grant(target.owner_vm, adapter)
        slot = target.resident.get(adapter)
        if slot is None:
            self._want(target, adapter).jobs.append(job)
            if not target.can_load():
                moment = self._queue.now + NO_SLOT_WAIT_S
                self._queue.at(moment, self._no_slot, target, job)
        elif slot.loading:
            slot.jobs.append(job)
        else:
            self._submit(target, slot, job)

    def _no_slot(self, target: BenchTarget, job: Job) -> None:
        """Look for another target when this one still has no slot to give."""
        adapter = f"adapter-{job.arrival.adapter}"
        slot = target.waiting.get(adapter)
        if slot is None or job not in slot.jobs or target.can_load():
            return
        slot.jobs.remove(job)
        if not slot.jobs:
            del target.waiting[adapter]
            self._loads.forget(target, slot)
            self._tell_soon(target)
        job.stall_s += self._queue.now - job.asked_at
        self._route(job, adapter)

    def _want(self, target: BenchTarget, adapter: str) -> Slot:
        """Return the load of the adapter that waits on the target, joined or new."""
        slot = target.resident.get(adapter) or target.waiting.get(adapter)
        if slot is None:
            slot = target.waiting[adapter] = Slot(adapter, self._queue.now)
            # Added to the queue of loads once the request that asks stands in it.
            self._queue.at(self._queue.now, self._ask_share, target, slot)
        return slot

    def _ask_share(self, target: BenchTarget, slot: Slot) -> None:
        if target.waiting.get(slot.adapter) is not slot:
            return
        self._loads.add(target, slot)
        self._tell_soon(target)

    def _load(self, target: BenchTarget, slot: Slot) -> None:
        """Start a load: refuse who is too late, make room, load."""
        del target.waiting[slot.adapter]
        self._refuse_late(slot)
        if len(target.resident) >= target.slots:
            self._evict(target)
        target.resident[slot.adapter] = slot
        load_s = self._deployment.load_s
        failed = self._rng.random() < self._deployment.load_failure
        delay = load_s / 2 if failed else load_s
        self._queue.at(
            self._queue.now + delay, self._loaded, target, slot, target.boot, failed
        )
        self._tell_soon(target)

    def _evict(self, target: BenchTarget) -> None:
        copies = {}
        for other in self._targets:
            if other is target:
                continue
            for name in other.resident:
                copies[name] = copies.get(name, 0) + 1
        victim = self._eviction.choose(
            target.evictable(),
            self._counts.granted[target.owner_vm],
            self._queue.now,
            lambda resident: copies.get(resident.adapter, 0),
        )
        del target.resident[victim.adapter]

    def _refuse_late(self, slot: Slot) -> None:
        now = self._queue.now
        for job in list(slot.jobs):
            if job.arrival.deadline_at >= now:
                continue
            slot.jobs.remove(job)
            job.stall_s += now - job.asked_at
            self._figures.refused(job)

    def _loaded(self, target, slot: Slot, boot: int, failed: bool) -> None:
        self._loads.ended()
        if boot != target.boot:
            return
        jobs, slot.jobs = slot.jobs, []
        slot.loading = False
        if failed:
            del target.resident[slot.adapter]
        self._tell_soon(target)
        for job in jobs:
            job.stall_s += self._queue.now - job.asked_at
            if failed:
                self._again(job)
            else:
                self._submit(target, slot, job)
        self._loads.pump()

    def _submit(self, target: BenchTarget, slot: Slot, job: Job) -> None:
        slot.running += 1
        target.engine.submit(job)

    def _done(self, target: BenchTarget, job: Job) -> None:
        slot = target.resident[f"adapter-{job.arrival.adapter}"]
        slot.running -= 1
        self._finish(job, self._queue.now)
        if not slot.running:
            self._loads.pump()

    def _finish(self, job: Job, at: float) -> None:
        self._figures.answered(job, at + self._deployment.client_latency_s)

    def _again(self, job: Job) -> None:
        job.attempts += 1
        if job.attempts >= MAX_ATTEMPTS:
            self._figures.refused(job)
            return
        self._route(job, f"adapter-{job.arrival.adapter}")

    def _restart(self, target: BenchTarget) -> None:
        """Restart a target cold: its batch is cut off, its slots are empty."""
        lost = target.engine.restart()
        now = self._queue.now
        for slot in [*target.resident.values(), *target.waiting.values()]:
            for job in slot.jobs:
                job.stall_s += now - job.asked_at
            lost += slot.jobs
        target.resident, target.waiting = {}, {}
        target.boot += 1
        self._loads.drop(target)
        self._tell(target)
        for job in lost:
            self._again(job)

    def _view(self, target: BenchTarget) -> TargetView:
        self._serial += 1
        return TargetView(
            target.name,
            "127.0.0.1:1",
            "",
            ("base",),
            f"vm-{target.owner_vm}",
            target.state(self._serial),
            self._queue.now,
            False,
            target.slots,
            self._deployment.max_running,
        )

    def _tell(self, target: BenchTarget) -> None:
        self._views[self._targets.index(target)] = self._view(target)

    def _tell_soon(self, target: BenchTarget) -> None:
        moment = self._queue.now + self._deployment.latency_s
        self._queue.at(moment, self._tell, target)

    def _tell_all(self) -> None:
        for target in self._targets:
            self._tell(target)
        if self._queue.now < self._deployment.duration_s:
            self._queue.at(self._queue.now + self._deployment.tell_s, self._tell_all)


def run_policy(
    deployment: Deployment, name: str, settings: dict, seed: int
) -> RunFigures:
    """Run one policy by its name."""
    return BenchRun(deployment, POLICIES[name], settings, seed).run()
