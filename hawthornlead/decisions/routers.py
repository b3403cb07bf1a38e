"""Routing: which target gets a request.

Strategies are registered in ``ROUTERS`` by the ``router`` decorator and selected by the
setting ``ROUTER``. A router gets the placement that decides where to load::

    placement = PLACEMENTS[settings["PLACEMENT"]](settings=settings)
    router = ROUTERS[settings["ROUTER"]](settings=settings, placement=placement)
    candidates = router.choose(assignment, views, popularity, now)
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from ..registries import Registry
from .placements import Placement, holds, usable_views, work
from .popularities import Popularity
from .views import TargetView

if TYPE_CHECKING:
    from ..bundles.bundles import Assignment

ROUTERS: Registry[type["Router"]] = Registry("router")
router = ROUTERS.register


class Candidate(NamedTuple):
    """A target for a request, and whether its last known state holds the adapter.

    ``resident`` is False while the adapter is still being loaded there.
    """

    target: str
    resident: bool


class Router:
    """Base class of the routing strategies."""

    def __init__(self, *, settings: dict, placement: Placement):
        self._settings = settings
        self._placement = placement

    def choose(
        self,
        assignment: "Assignment",
        views: Sequence[TargetView],
        popularity: Popularity,
        now: float,
    ) -> list[Candidate]:
        """Return all targets that may take the request, best first."""
        raise NotImplementedError


def _candidates(assignment, views, names: Sequence[str]) -> list[Candidate]:
    by_name = {view.target: view for view in views}
    return [
        Candidate(name, holds(by_name[name], assignment, loading=False))
        for name in names
    ]


@router("least-loaded")
class LeastLoadedRouter(Router):
    """Baseline: a resident copy if there is one, otherwise the least loaded target."""

    def choose(self, assignment, views, popularity, now):
        """Return targets that hold the adapter, then the others, least work first."""
        usable = usable_views(assignment, views)
        usable.sort(key=lambda view: (not holds(view, assignment), work(view)))
        return _candidates(assignment, usable, [view.target for view in usable])


@router("hashing")
class HashingRouter(Router):
    """Baseline: rendezvous hashing of the adapter, ignoring residency and load."""

    def choose(self, assignment, views, popularity, now):
        """Return the placement's order."""
        names = self._placement.choose(assignment, views, popularity, now)
        return _candidates(assignment, views, names)


@router("affinity")
class AffinityRouter(Router):
    """Targets that hold the adapter and aren't overloaded, then a new copy.

    A target is overloaded if its work exceeds both ``LOAD_BOUND`` times the mean of the
    usable targets and a full batch. Among copies a high ``BATCH_WEIGHT`` prefers the
    fuller target, so that batches fill, and a low one the emptier target.
    """

    def choose(self, assignment, views, popularity, now):
        """Return ready copies, loading copies, placements, then overloaded copies."""
        usable = usable_views(assignment, views)
        if not usable:
            return []
        mean = sum(work(view) for view in usable) / len(usable)
        ready, loading, overloaded = [], [], []
        for view in usable:
            if not holds(view, assignment):
                continue
            if work(view) >= max(self._settings["LOAD_BOUND"] * mean, self._full(view)):
                overloaded.append(view)
            elif holds(view, assignment, loading=False):
                ready.append(view)
            else:
                loading.append(view)
        ready.sort(key=self._preference)
        overloaded.sort(key=work)
        holders = {view.target for view in ready + loading + overloaded}
        others = [view for view in usable if view.target not in holders]
        names = [view.target for view in ready + loading]
        names += self._placement.choose(assignment, others, popularity, now)
        names += [view.target for view in overloaded]
        return _candidates(assignment, usable, names)

    def _full(self, view: TargetView) -> int:
        return view.max_running or self._settings["TARGET_FULL"]

    def _preference(self, view: TargetView) -> tuple:
        share = work(view) / self._full(view)
        weight = self._settings["BATCH_WEIGHT"]
        # A fuller batch adds little to each step until it is full; then requests queue.
        queued = max(0.0, share - 1.0)
        return (1 - 2 * weight) * share + queued * 10, view.target
