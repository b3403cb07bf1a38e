"""Messages that share the popularity of adapters."""

from typing import NamedTuple

from .base import message


class AdapterCount(NamedTuple):
    """How many requests for an adapter a VM has admitted since its last message."""

    adapter: str
    count: int


@message("popularity-counts")
class PopularityCounts(NamedTuple):
    """What a VM has counted since its last message; ``serial`` counts its messages.

    Adapters that don't fit are sent later. A receiver applies each serial once.
    """

    serial: int
    counts: tuple[AdapterCount, ...]
