"""One more copy of a hot adapter, loaded while no request waits for it.

Placement says whether the rate asks for another copy and where. The copy is asked for
as a grant with a load, which is given back unused: the load is all that is wanted. It
goes after all loads that requests wait for, takes no grant from anyone, and is given
up after a moment: the next request for the adapter asks again.
"""

from ..bundles.bundles import Assignment
from ..decisions.placements import Placement
from ..decisions.popularities import Popularity
from ..decisions.views import TargetViews
from ..timers import TimerService
from .grants import Grants

# How long an adapter is left alone after it was looked at.
CHECK_INTERVAL_S = 1.0
# How long a copy may take: a moment for its leave, then the load.
LOAD_TIMEOUT_S = 5.0
MAX_ADAPTERS = 1024


class HotCopies:
    """Asks for more copies of the adapters that requests come for."""

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
        """Ask for one more copy if the rate of the adapter wants one."""
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
        # The grant is dropped at once: unused, it is given back with the idle ones.
        await self._grants.acquire(
            target, assignment, wait_s=LOAD_TIMEOUT_S, prefetch=True, slot_wait_s=0.0
        )
