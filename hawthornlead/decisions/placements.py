"""Placement: on which target an adapter that needs a slot is loaded.

Strategies are entered in ``PLACEMENTS`` by the ``placement`` decorator and chosen
by the setting ``PLACEMENT``. They read what owners told of their targets, which
may be some time old; the owner decides in the end.
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

# Above any rate, so that a target without a slot to give comes after all others.
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
        """Return a target for one more copy, loaded while no request waits for it.

        None when the adapter has copies enough. The caller of this asks that
        target's owner for a grant with ``load`` and gives it back.
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
    """Where the load pushes out least, among a few targets of the rendezvous order.

    All VMs compute the same few targets (``CHOICES``) for an adapter, so two VMs
    that miss at the same moment mostly meet on one load, while different adapters
    don't all run for the one target that looks best. Among these the price is what
    the slot costs, the rate of the least popular idle resident, weighed by
    ``STALL_WEIGHT``, and what the work already there costs, by ``LOAD_WEIGHT``.
    """

    def choose(self, assignment, views, popularity, now):
        """Return the chosen few by price, then the rest in rendezvous order."""
        usable = {view.target: view for view in usable_views(assignment, views)}
        order = rendezvous(assignment.adapter, usable)
        few = order[: self._settings["CHOICES"]]
        few.sort(key=lambda name: self._price(usable[name], popularity, now))
        return few + order[self._settings["CHOICES"] :]

    def choose_hot_copy(self, assignment, views, popularity, now):
        """Return a target for one more copy when the rate asks for more copies."""
        usable = usable_views(assignment, views)
        copies = [view for view in usable if holds(view, assignment)]
        rate = popularity.rate(assignment.adapter, now)
        wanted = math.ceil(rate / self._settings["COPY_RATE"])
        if not copies or len(copies) >= min(wanted, len(usable)):
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
    """Return the rate of the resident that one more load would push out.

    0 with a free slot. Loads that wait push out the cheapest ones first; when they
    and running requests leave none, ``NO_SLOT_PRICE`` for each load too many.
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
