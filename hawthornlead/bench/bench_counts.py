"""Who counts what in the bench: popularity counts of each VM, apart or shared."""

from hawthornlead.bench.bench_engines import EventQueue
from hawthornlead.bench.bench_loads import Deployment
from hawthornlead.bench.bench_policies import Policy
from hawthornlead.decisions.popularities import (
    POPULARITIES,
    HighestPopularity,
    Popularity,
)
from hawthornlead.decisions.popularity_exchanges import PendingCounts, pace


class Counts:
    """Popularity counts of all VMs.

    A router reads ``admitted`` of its VM, an eviction ``granted`` of the owner.
    """

    def __init__(
        self,
        queue: EventQueue,
        admitted: list[Popularity],
        granted: list[Popularity],
    ):
        self._queue = queue
        self.admitted = admitted
        self.granted = granted

    def admit(self, vm: int, adapter: str) -> None:
        """Count a request that a VM has admitted."""
        self.admitted[vm].observe(adapter, self._queue.now)

    def grant(self, vm: int, adapter: str) -> None:
        """Count a grant that an owner has given."""
        self.granted[vm].observe(adapter, self._queue.now)


class FleetCounts(Counts):
    """One count of all admitted requests, which all VMs read at once."""

    def grant(self, vm, adapter):
        """Count nothing: the request was counted when it was admitted."""


class ToldCounts(Counts):
    """Each VM tells the others what it admitted, at the daemon's pace."""

    def __init__(self, deployment: Deployment, queue, admitted, granted):
        super().__init__(queue, admitted, granted)
        self._deployment = deployment
        self._pace = pace(deployment.vms - 1)
        self._waiting = [PendingCounts() for _ in admitted]
        for vm in range(deployment.vms):
            queue.at(self._pace.interval_s * vm / deployment.vms, self._tell, vm)

    def admit(self, vm, adapter):
        """Count a request here, and for the others to be told."""
        super().admit(vm, adapter)
        self._waiting[vm].add(adapter)

    def _tell(self, vm: int) -> None:
        now = self._queue.now
        counts = self._waiting[vm].pop_largest(self._pace.message_bytes)
        if counts:
            self._queue.at(now + self._deployment.latency_s, self._take, vm, counts)
        if now < self._deployment.duration_s:
            self._queue.at(now + self._pace.interval_s, self._tell, vm)

    def _take(self, sender: int, counts) -> None:
        for vm, popularity in enumerate(self.admitted):
            if vm == sender:
                continue
            for adapter, count in counts:
                popularity.observe(adapter, self._queue.now, count)


def make_counts(
    policy: Policy,
    deployment: Deployment,
    settings: dict,
    queue: EventQueue,
    true_rates: Popularity,
) -> Counts:
    """Return the counts that a policy asks for."""
    vms = deployment.vms
    if policy.popularity == "true":
        return Counts(queue, [true_rates] * vms, [true_rates] * vms)
    kind = POPULARITIES[policy.popularity]
    if policy.counts == "fleet":
        admitted = [kind(settings=settings)] * vms
        return FleetCounts(queue, admitted, admitted)
    admitted = [kind(settings=settings) for _ in range(vms)]
    if policy.counts == "told":
        granted = [
            HighestPopularity(kind(settings=settings), told) for told in admitted
        ]
        return ToldCounts(deployment, queue, admitted, granted)
    for popularity in admitted:
        popularity.share = 1 / vms
    if policy.counts == "vm":
        return Counts(queue, admitted, admitted)
    return Counts(queue, admitted, [kind(settings=settings) for _ in range(vms)])
