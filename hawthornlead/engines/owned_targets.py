"""What a target's owner is built from: the target's entry and the strategies."""

from collections.abc import Callable
from typing import NamedTuple

from ..decisions.evictions import Eviction
from ..decisions.load_orders import LoadOrder
from ..decisions.popularities import Popularity
from ..messages import Resident


class OwnedTarget(NamedTuple):
    """An owned target, as the VM list describes it.

    ``slots`` is used until the first report. ``fencing`` says whether the target
    refuses orders with old fencing numbers.
    """

    name: str
    address: str
    slots: int
    fencing: bool
    weight_store: str


class Policies(NamedTuple):
    """The strategies that a target's owner uses.

    ``copies`` counts the other targets that hold an adapter version.
    """

    eviction: Eviction
    load_order: LoadOrder
    popularity: Popularity
    copies: Callable[[Resident], int] | None = None
