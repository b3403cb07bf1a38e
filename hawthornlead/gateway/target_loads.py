"""The requests under way on each target: this VM's own, and what other VMs report."""

from collections import Counter, defaultdict
from collections.abc import Callable
from typing import NamedTuple

from ..messages.fleets import TargetRunning
from ..messages.gateways import AdapterUse, TargetLoad, VmLoads
from ..timers import TimerService
from .engine_slots import AdapterKey
from .records import Incarnation

# How long the count in the answer of a target's owner replaces announced counts, which
# are older than that.
COUNTED_TTL_S = 0.3
# A VM that reported nothing for this long is frozen, cut off or gone. Its requests have
# ended or are unknown.
UPDATE_TTL_S = 3.0


class _Report(NamedTuple):
    """The requests of one VM on one target, and when it reported them."""

    at: float
    load: TargetLoad


class _Counted(NamedTuple):
    """The other VMs' requests on one target as its owner counted them."""

    at: float
    others: int


class _Total(NamedTuple):
    """All requests on one target by a head's report; ``own`` are this VM's in it."""

    running: TargetRunning
    own: int


def _no_start(target: str) -> Incarnation:
    return Incarnation(target, None)


class TargetLoads:
    """The requests under way on the current incarnation of each target.

    ``incarnation`` tells it, as this VM knows it::

        loads.on_request_started("i-7f3a", AdapterKey("m", "a3"))
        loads.running("i-7f3a")
        loads.on_request_ended("i-7f3a", AdapterKey("m", "a3"))
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        incarnation: Callable[[str], Incarnation] = _no_start,
    ):
        self._timers = timers
        self._incarnation = incarnation
        self._own: dict[str, int] = defaultdict(int)
        self._own_uses: dict[str, dict[AdapterKey, int]] = {}
        self._started: dict[str, dict[AdapterKey, int]] = {}
        # By target, then VM: most VMs have requests on few targets only, and all
        # targets are compared for each request.
        self._reports: dict[str, dict[str, _Report]] = {}
        self._reported_targets: dict[str, tuple[str, ...]] = {}
        # Unfinished requests of this VM to a former incarnation of a target.
        self._outlived: Counter[tuple[str, AdapterKey | None]] = Counter()
        # In a large fleet, the requests of all VMs by target, as a head reported them.
        self._totals: dict[str, _Total] = {}
        self._totals_at = -UPDATE_TTL_S
        self._own_reported: dict[str, int] = {}
        self._counted: dict[str, _Counted] = {}

    @property
    def own_total(self) -> int:
        """This VM's requests on all targets."""
        return sum(self._own.values())

    def own_on(self, target: str) -> int:
        """Return this VM's requests on a target."""
        return self._own.get(target, 0)

    def on_request_started(self, target: str, key: AdapterKey | None) -> None:
        """Count a request that is sent to a target now."""
        self._own[target] += 1
        if key is None:
            return
        uses = self._own_uses.setdefault(target, defaultdict(int))
        uses[key] += 1
        started = self._started.setdefault(target, defaultdict(int))
        started[key] += 1

    def on_request_ended(self, target: str, key: AdapterKey | None) -> None:
        """Count a request that has ended.

        Requests to a former incarnation are assumed to end first, since nothing runs
        there any more. If one ends later, the count is one too high until then.
        """
        if self._outlived[target, key]:
            self._outlived[target, key] -= 1
            return
        del self._outlived[target, key]
        self._own[target] -= 1
        if self._own[target] <= 0:
            del self._own[target]
        if key is None:
            return
        uses = self._own_uses[target]
        uses[key] -= 1
        if uses[key] <= 0:
            del uses[key]
        if not uses:
            del self._own_uses[target]

    def on_restarted(self, target: str) -> None:
        """Stop counting this VM's requests to a target's former incarnation."""
        self._counted.pop(target, None)
        running = self._own.pop(target, 0)
        uses = self._own_uses.pop(target, {})
        self._started.pop(target, None)
        for key, count in uses.items():
            self._outlived[target, key] += count
        self._outlived[target, None] += running - sum(uses.values())

    def running(self, target: str) -> int:
        """Return the requests on a target, of all VMs."""
        counted = self._counted.get(target)
        if counted is not None:
            if self._timers.now() - counted.at < COUNTED_TTL_S:
                return self._own.get(target, 0) + counted.others
            del self._counted[target]
        return self.announced(target)

    def record_counted(self, target: str, running: int) -> None:
        """Record how many requests a target has as its owner counts them."""
        others = max(0, running - self.own_on(target))
        self._counted[target] = _Counted(self._timers.now(), others)

    def is_counted_full(self, target: str, places: int) -> bool:
        """Whether a target's owner just counted as many requests as it has places."""
        return self.running(target) >= places and target in self._counted

    def announced(self, target: str) -> int:
        """Return the requests on a target, of all VMs, as they announced them."""
        own = self._own.get(target, 0)
        if self._timers.now() - self._totals_at < UPDATE_TTL_S:
            return own + self._others_in_total(target)
        return own + sum([load.running for load in self._current_loads(target)])

    def adapters_running(self, target: str) -> dict[AdapterKey, int]:
        """Return how many requests use each adapter of a target, of all VMs."""
        running: dict[AdapterKey, int] = dict(self._own_uses.get(target, {}))
        for load in self._current_loads(target):
            for use in load.uses:
                key = AdapterKey(use.model, use.adapter)
                running[key] = running.get(key, 0) + use.running
        return running

    def totals(self) -> tuple[TargetRunning, ...]:
        """Return the requests of all VMs on each target that has any."""
        totals = []
        for target in set(self._own) | set(self._reports):
            running = self.announced(target)
            if running:
                started_ms = self._incarnation(target).started_ms
                totals.append(TargetRunning(target, running, started_ms))
        return tuple(totals)

    def apply_totals(self, totals: tuple[TargetRunning, ...]) -> None:
        """Apply the requests of all VMs by target, as a head counted them."""
        self._totals_at = self._timers.now()
        self._totals = {
            each.target: _Total(each, self._own_reported.get(each.target, 0))
            for each in totals
        }

    def apply_loads(self, vm: str, message: VmLoads) -> None:
        """Apply another VM's report."""
        now = self._timers.now()
        for target in self._reported_targets.get(vm, ()):
            self._remove_report(target, vm)
        self._reported_targets[vm] = tuple([load.target for load in message.loads])
        for load in message.loads:
            self._reports.setdefault(load.target, {})[vm] = _Report(now, load)

    def build_update(self) -> VmLoads:
        """Return the report to other VMs; reset the count of started requests."""
        started, self._started = self._started, {}
        loads = []
        for target in set(self._own) | set(started):
            running = self._own_uses.get(target, {})
            begun = started.get(target, {})
            uses = [
                AdapterUse(*key, running.get(key, 0), begun.get(key, 0))
                for key in set(running) | set(begun)
            ]
            count = self._own.get(target, 0)
            started_ms = self._incarnation(target).started_ms
            loads.append(TargetLoad(target, count, tuple(uses), started_ms))
        self._own_reported = dict(self._own)
        return VmLoads(tuple(loads))

    def own_running(self, target: str, key: AdapterKey) -> int:
        """Return how many requests of this VM use an adapter of a target."""
        return self._own_uses.get(target, {}).get(key, 0)

    def apply_ended(self, vm: str, target: str, key: AdapterKey, running: int) -> None:
        """Apply how many of another VM's requests still use an adapter of a target.

        This is newer than the VM's last report on all its requests.
        """
        report = self._reports.get(target, {}).get(vm)
        if report is None:
            return
        uses = []
        for use in report.load.uses:
            if (use.model, use.adapter) == key:
                use = use._replace(running=min(use.running, running))
            uses.append(use)
        load = report.load._replace(uses=tuple(uses))
        self._reports[target][vm] = report._replace(load=load)

    def _others_in_total(self, target: str) -> int:
        """Return the other VMs' requests on a target, by what a head counted."""
        total = self._totals.get(target)
        if total is None:
            return 0
        current_ms = self._incarnation(target).started_ms
        if None not in (current_ms, total.running.started_ms) and (
            total.running.started_ms != current_ms
        ):
            # The total is that of a former incarnation.
            return 0
        return max(0, total.running.running - total.own)

    def _remove_report(self, target: str, vm: str) -> None:
        by_vm = self._reports.get(target, {})
        by_vm.pop(vm, None)
        if not by_vm:
            self._reports.pop(target, None)

    def _current_loads(self, target: str) -> list[TargetLoad]:
        """Return other VMs' current reports on a target's current incarnation.

        A VM that doesn't know of a restart yet still counts requests that are gone.
        """
        oldest = self._timers.now() - UPDATE_TTL_S
        current_ms = self._incarnation(target).started_ms
        loads = []
        for report in self._reports.get(target, {}).values():
            if report.at < oldest:
                continue
            if current_ms is None or report.load.started_ms in (None, current_ms):
                loads.append(report.load)
        return loads
