"""Placement: on which target an adapter that needs a slot is loaded.

Strategies are registered in ``PLACEMENTS`` by the ``placement`` decorator and selected
by the setting ``PLACEMENT``. They read the announced states of targets, which may be
some time old; a target's owner makes the final decision.
"""

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..hashes import rendezvous
from ..registries import Registry
from .popularities import Popularity
from .views import TargetView

if TYPE_CHECKING:
    from ..bundles.bundles import Assignment

# Above any rate, so that targets without an available slot come last.
NO_SLOT_PRICE = 1e6

PLACEMENTS: Registry[type["Placement"]] = Registry("placement")
placement = PLACEMENTS.register


def usable_views(
    assignment: "Assignment", views: Sequence[TargetView]
) -> list[TargetView]:
    """Return the views of targets that may take new work for this assignment."""
    usable = []
    for view in views:
        if view.leaving or view.state is None or view.state.leaving:
            continue
        if assignment.base_model not in view.base_models:
            continue
        usable.append(view)
    return usable


def holds(view: TargetView, assignment: "Assignment", loading: bool = True) -> bool:
    """Return whether the target holds the adapter version.

    With ``loading`` a copy that is still being loaded counts too.
    """
    for resident in view.state.residents:
        if resident.adapter != assignment.adapter:
            continue
        if resident.version != assignment.version:
            continue
        return loading or not resident.loading
    return False


def work(view: TargetView) -> int:
    """Return the requests that run or wait on the target."""
    return view.state.running + view.state.queued


class Placement:
    """Base class of the placement strategies."""

    def __init__(self, *, settings: dict):
        self._settings = settings

    def choose(
        self,
        assignment: "Assignment",
        views: Sequence[TargetView],
        popularity: Popularity,
        now: float,
    ) -> list[str]:
        """Return targets to load the adapter on, best first."""
        raise NotImplementedError

    def choose_hot_copy(
        self,
        assignment: "Assignment",
        views: Sequence[TargetView],
        popularity: Popularity,
        now: float,
    ) -> str | None:
        """Return a target for one more copy, to be loaded ahead of requests.

        None if the adapter has enough copies. The caller requests a grant with ``load``
        from that target's owner and releases it.
        """
        return None


@placement("least-loaded")
class LeastLoadedPlacement(Placement):
    """Baseline: the target with the least work."""

    def choose(self, assignment, views, popularity, now):
        """Return all usable targets, least work first."""
        usable = usable_views(assignment, views)
        return [view.target for view in sorted(usable, key=_least_loaded)]


def _least_loaded(view: TargetView) -> tuple:
    return work(view), view.target


@placement("hashing")
class HashingPlacement(Placement):
    """Baseline: rendezvous hashing of the adapter over the targets."""

    def choose(self, assignment, views, popularity, now):
        """Return all usable targets in rendezvous order."""
        names = [view.target for view in usable_views(assignment, views)]
        return rendezvous(assignment.adapter, names)


@placement("spread")
class SpreadPlacement(Placement):
    """The cheapest slot among the first targets of the rendezvous order.

    All VMs compute the same few targets (``CHOICES``) for an adapter. So two VMs that
    miss it at the same moment mostly choose the same target and share one load, while
    different adapters don't all go to the one target that looks best. The price of a
    target is the rate of its least popular idle resident, which would be evicted,
    weighted by ``STALL_WEIGHT``, plus its work weighted by ``LOAD_WEIGHT``.
    """

    def choose(self, assignment, views, popularity, now):
        """Return the first ``CHOICES`` targets by price, then the rest in order."""
        usable = {view.target: view for view in usable_views(assignment, views)}
        order = rendezvous(assignment.adapter, usable)
        few = order[: self._settings["CHOICES"]]
        few.sort(key=lambda name: self._price(usable[name], popularity, now))
        return few + order[self._settings["CHOICES"] :]

    def choose_hot_copy(self, assignment, views, popularity, now):
        """Return a target for one more copy if the rate requires more copies."""
        usable = usable_views(assignment, views)
        copies = [view for view in usable if holds(view, assignment)]
        rate = popularity.rate(assignment.adapter, now)
        required = math.ceil(rate / self._settings["COPY_RATE"])
        if not copies or len(copies) >= min(required, len(usable)):
            return None
        free = [view for view in usable if not holds(view, assignment)]
        names = self.choose(assignment, free, popularity, now)
        return names[0] if names else None

    def _price(self, view: TargetView, popularity: Popularity, now: float) -> float:
        slot = slot_price(view, popularity, now)
        load = work(view) / (view.max_running or self._settings["TARGET_FULL"])
        return (
            self._settings["STALL_WEIGHT"] * slot + self._settings["LOAD_WEIGHT"] * load
        )


def slot_price(view: TargetView, popularity: Popularity, now: float) -> float:
    """Return the rate of the resident that one more load would evict.

    It is 0 with a free slot. Waiting loads evict the cheapest residents first. If they
    and running requests leave none, it is ``NO_SLOT_PRICE`` for each excess load.
    """
    missing = len(view.state.residents) + 1 - view.state.slots
    if missing <= 0:
        return 0.0
    rates = sorted(
        popularity.rate(resident.adapter, now)
        for resident in view.state.residents
        if not resident.running and not resident.loading
    )
    if missing <= len(rates):
        return rates[missing - 1]
    return NO_SLOT_PRICE * (missing - len(rates))
