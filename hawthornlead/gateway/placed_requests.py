"""Requests whose target was chosen, and what its preparation took."""

from typing import NamedTuple

from .engine_slots import AdapterKey
from .plain_places import PlaceHold
from .records import TargetEntry
from .target_choices import Candidate


class Placed(NamedTuple):
    """The target of an attempt, and the candidate it was chosen from.

    ``key`` is None if no adapter is involved. ``tries`` counts the targets that were
    asked to load the adapter, including this one. ``turn_s`` is how long the prompt
    waited for its turn, None if the target's owner didn't assign one. ``counted`` is
    set if the request already counts against the target's limit. ``load_s`` is how long
    it waited for its adapter, None if that was ready. ``foreseen`` is set if its turn
    was reserved when the adapter was expected, which may have been too early. ``hold``
    is its place at a plain target whose places are counted.
    """

    entry: TargetEntry
    key: AdapterKey | None
    cost_ms: float
    candidate: Candidate
    tries: int
    turn_s: float | None = None
    counted: bool = False
    load_s: float | None = None
    foreseen: bool = False
    hold: PlaceHold | None = None


class Prepared(NamedTuple):
    """What is known of a request once its target is prepared, as in ``Placed``."""

    turn_s: float | None
    load_s: float | None
    foreseen: bool
