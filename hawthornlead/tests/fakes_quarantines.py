"""VMs that share quarantines over a played network, before targets that crash.

::

    world = QuarantineWorld(["a", "b", "c"], seed=7)
    world.send("a", ("a0", "bad"))
    await world.advance(0.5)
"""

import random
from collections import defaultdict

from prometheus_client import CollectorRegistry

from hawthornlead.decisions.suspects import Suspects
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.prompt_quarantines import PromptQuarantines
from hawthornlead.messages import CrashSuspects, Hello, UnansweredPrompt
from hawthornlead.settings import default_settings
from hawthornlead.timers import ManualTimerService

from .fakes_mesh import LocalNetwork

# From a crash until a VM that had requests there knows of it.
CRASH_SEEN_S = 0.09
# From a request's arrival at its target until the answer begins.
BEGINS_S = 0.06
# From then until a target has survived the request.
SURVIVED_S = 0.25
DOWN_S = 3.0
TARGETS = 6


class QuarantineWorld:
    """Some VMs before six targets, which ``bad`` parts crash.

    ``arrivals`` are the moments at which requests with a bad part reached targets, and
    the VMs that sent them; ``crashes`` when such requests crashed one, by part.
    ``refused`` are the requests that a VM refused, as moment, VM and parts.
    ``answered_at`` is when a part was first answered.
    """

    def __init__(self, vms: list[str], seed: int, bad: frozenset[str]):
        self._bad = bad
        self._rng = random.Random(seed)
        self._down_until = [0.0] * TARGETS
        self._starts = [0] * TARGETS
        self._waiting: dict[tuple[int, int], list] = defaultdict(list)
        self._digests = 0
        self._incarnations = 0
        self.timers = ManualTimerService()
        self.network = LocalNetwork(self.timers)
        self.vms: dict[str, PromptQuarantines] = {}
        self.disturbed_at: dict[str, float] = {}
        self.arrivals: list[tuple[float, str, str]] = []
        self.crashes: dict[str, list[float]] = defaultdict(list)
        self.refused: list[tuple[float, str, tuple[str, ...]]] = []
        self.answered_at: dict[str, float] = {}
        for vm in vms:
            self.start(vm)

    @property
    def now(self) -> float:
        """The time."""
        return self.timers.now()

    def start(self, vm: str) -> None:
        """Start a VM's process, or kill it and start another that knows nothing."""
        if vm in self.vms:
            self.network.leave(vm)
        self._incarnations += 1
        mesh = self.network.join(vm, "dc", f"{vm}-{self._incarnations}")
        settings = default_settings(VM_NAME=vm)
        suspects = Suspects(settings=settings, timers=self.timers, events=mesh._events)
        quarantines = PromptQuarantines(
            settings=settings,
            suspects=suspects,
            timers=self.timers,
            rng=random.Random(self._incarnations),
            events=mesh._events,
            metrics=GatewayMetrics(CollectorRegistry()),
            mesh=mesh,
            vms=lambda: len(self.vms),
        )

        async def on_hello(sender, message):
            quarantines.announce_all(sender.vm)

        mesh.on(Hello, on_hello)
        self.vms[vm] = quarantines
        self.disturb(vm)

    def disturb(self, vm: str) -> None:
        """Note that a VM isn't in touch now."""
        self.disturbed_at[vm] = self.now

    def lose_message(self, a: str, b: str) -> None:
        """Lose the next report from one VM to another."""
        self.network.drop(a, b, CrashSuspects)

    def send(self, vm: str, parts: tuple[str, ...]) -> None:
        """Have a VM send a request to a target, if it doesn't refuse it."""
        quarantines = self.vms[vm]
        up = [n for n in range(TARGETS) if self._down_until[n] <= self.now]
        if not up:
            return
        if quarantines.acquire(parts).is_err():
            self.refused.append((self.now, vm, parts))
            return
        number = self._rng.choice(up)
        self._digests += 1
        bad = [part for part in parts if part in self._bad]
        for part in bad:
            self.arrivals.append((self.now, vm, part))
        target = (number, self._starts[number])
        request = (quarantines, b"%d" % self._digests, parts)
        self._waiting[target].append(request)
        then = self._crash if bad else self._survive
        wait_s = BEGINS_S if bad else BEGINS_S + SURVIVED_S
        self.timers.after(wait_s, lambda: then(target, request), name="run")

    def crash(self, number: int) -> None:
        """Crash a target for no reason that lies in its requests."""
        self._end((number, self._starts[number]))

    async def advance(self, seconds: float) -> None:
        """Let time pass."""
        await self.timers.advance(seconds)

    def _survive(self, target, request) -> None:
        if request not in self._waiting[target]:
            return
        self._waiting[target].remove(request)
        quarantines, _, parts = request
        for part in parts:
            self.answered_at.setdefault(part, self.now)
        if quarantines in self.vms.values():
            quarantines.record_answered(parts)

    def _crash(self, target, request) -> None:
        if request in self._waiting[target]:
            for part in set(request[2]) & self._bad:
                self.crashes[part].append(self.now)
            self._end(target)

    def _end(self, target: tuple[int, int]) -> None:
        number, start = target
        if start != self._starts[number] or self._down_until[number] > self.now:
            return
        self._starts[number] += 1
        self._down_until[number] = self.now + DOWN_S
        by_vm = defaultdict(list)
        for quarantines, digest, parts in self._waiting.pop(target, ()):
            by_vm[quarantines].append((digest, parts))
        for quarantines, requests in by_vm.items():
            self.timers.after(
                CRASH_SEEN_S,
                lambda quarantines=quarantines, requests=requests: self._report(
                    quarantines, target, requests
                ),
                name="report",
            )

    def _report(self, quarantines, target, requests) -> None:
        if quarantines not in self.vms.values():
            return
        prompts = []
        for digest, parts in requests:
            unanswered = quarantines.unanswered(parts)
            if unanswered:
                prompts.append(UnansweredPrompt(digest, unanswered))
        quarantines.report_death(f"e{target[0]}", str(target[1]), (), prompts)
