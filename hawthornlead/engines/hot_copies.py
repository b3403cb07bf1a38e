"""Prefetches one more copy of a hot adapter, while no request waits for it.

Placement says whether the adapter's rate requires another copy, and where. The copy is
requested as a grant with a load; the grant is released unused. The load goes after all
loads that requests wait for and revokes no grants. It is abandoned after a few
seconds, and a later request for the adapter tries again.
"""

from ..bundles.bundles import Assignment
from ..decisions.placements import Placement
from ..decisions.popularities import Popularity
from ..decisions.views import TargetViews
from ..timers import TimerService
from .grants import Grants

# How long after one check of an adapter the next one follows.
CHECK_INTERVAL_S = 1.0
# How long a copy may take: a short wait for its permit, then the load.
LOAD_TIMEOUT_S = 5.0
MAX_ADAPTERS = 1024


class HotCopies:
    """Prefetches more copies of the adapters that are requested often."""

    def __init__(
        self,
        *,
        timers: TimerService,
        views: TargetViews,
        grants: Grants,
        placement: Placement,
        popularity: Popularity,
    ):
        self._timers = timers
        self._views = views
        self._grants = grants
        self._placement = placement
        self._popularity = popularity
        self._checked_at: dict[str, float] = {}

    def consider(self, assignment: Assignment) -> None:
        """Request one more copy if the adapter's rate requires one."""
        now = self._timers.now()
        adapter = assignment.adapter
        if now - self._checked_at.get(adapter, -CHECK_INTERVAL_S) < CHECK_INTERVAL_S:
            return
        self._checked_at.pop(adapter, None)
        self._checked_at[adapter] = now
        if len(self._checked_at) > MAX_ADAPTERS:
            del self._checked_at[next(iter(self._checked_at))]
        usable = [view for view in self._views.views() if not view.leaving]
        target = self._placement.choose_hot_copy(
            assignment, usable, self._popularity, now
        )
        if target is not None:
            self._timers.after(0, lambda: self._load(target, assignment), "spare copy")

    async def _load(self, target: str, assignment: Assignment) -> None:
        # The grant is not kept. Unused, it is released with the idle ones.
        await self._grants.acquire(
            target, assignment, wait_s=LOAD_TIMEOUT_S, prefetch=True, slot_wait_s=0.0
        )
