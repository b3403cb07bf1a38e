"""Load order: which waiting load takes the next share of the weight store.

Strategies are registered in ``LOAD_ORDERS`` by the ``load_order`` decorator and
selected by the setting ``LOAD_ORDER``. The holder of an allowance sorts by ``key``,
smallest first, each time a share becomes free::

    waiting.sort(key=order.key)
"""

import math
from typing import NamedTuple

from ..registries import Registry

LOAD_ORDERS: Registry[type["LoadOrder"]] = Registry("load order")
load_order = LOAD_ORDERS.register


class LoadRequest(NamedTuple):
    """A load that waits for its share of the weight store.

    Times are seconds on the holder's clock. ``deadline_at`` is the earliest deadline of
    the requests that wait for the adapter, ``math.inf`` if there is none. ``waiting``
    counts the requests that wait for this load, 0 for a copy loaded ahead. A higher
    ``priority`` is more important.
    """

    adapter: str
    version: str
    priority: int
    deadline_at: float
    asked_at: float
    waiting: int


class LoadOrder:
    """Base class of the load orders."""

    def __init__(self, *, settings: dict):
        self._settings = settings

    def key(self, request: LoadRequest) -> tuple:
        """Return what sorts loads, the smallest first."""
        raise NotImplementedError


@load_order("arrival")
class ArrivalOrder(LoadOrder):
    """Baseline: first come, first served."""

    def key(self, request):
        """Return the request time, then adapter and version."""
        return request.asked_at, request.adapter, request.version


@load_order("deadline")
class DeadlineOrder(LoadOrder):
    """Earliest due time first, moved ahead by priority and waiting requests.

    A load is due at its deadline or ``PATIENCE_S`` after it was requested, whichever
    comes first. It is moved ahead by ``PRIORITY_LEAD_S`` for each priority level and by
    ``WAITING_LEAD_S`` for each doubling of the requests that wait for it, because one
    load then ends several waits. All leads are bounded, so a load never starves behind
    newer ones, as it would if priority alone decided and a burst exceeded the bandwidth
    of the weight store. A copy loaded ahead has no waiting requests and comes last.
    """

    def key(self, request):
        """Return whether no request waits, and the due time."""
        due = min(request.deadline_at, request.asked_at + self._settings["PATIENCE_S"])
        due -= self._settings["WAITING_LEAD_S"] * math.log2(max(1, request.waiting))
        due -= self._settings["PRIORITY_LEAD_S"] * request.priority
        return request.waiting == 0, due, request.adapter, request.version
