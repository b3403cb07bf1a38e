"""Which VMs one VM keeps connections with, and which of them feeds it.

A decision on what one VM knows, testable without a network. In a large fleet a VM keeps
connections with the heads of its data centre only, and a head with all VMs there that
chose it and with the heads of the other data centres; so connections grow with the data
centre, not with the fleet. The heads are the VMs that registered first and are heard::

    links.look(large=True)
    links.kept, links.is_head, links.feed
"""

from collections.abc import Callable
from enum import Enum

from ..hashes import digest64
from ..timers import TimerService
from .rosters import Roster

# Two, so that one may freeze, leave or be cut off while the other feeds its VMs.
HEADS_EACH = 2
# A head sends something each 0.4 s. After so long without, its VMs turn to the other
# one, so that what callers are told stays below 2 s old.
HEAD_SILENT_S = 1.0
# How long a head that is being dialled counts; after that another is dialled beside it.
DIALLED_S = 0.5
# A VM that took no connection for so long is left alone for a while.
GIVEN_UP_S = 3.0
AGAIN_S = 10.0
# Most VMs of a data centre may have lost their power, so that all that registered first
# are gone. So many are dialled side by side.
MOST_DIALLED = 6
# A VM that has started again while the store is away knows nobody's address. So a head
# dials the VMs of its data centre that it has heard nothing of for so long.
MISSED_S = 2.0
MISSED_KEPT_S = 30.0


class _Reach(Enum):
    """How a VM can be reached as a head."""

    SOUND = "heard, or being dialled"
    SLOW = "not heard yet, or not lately"
    DOWN = "gone"


class HeadLinks:
    """The connections that one VM keeps.

    ``heard_at`` returns when a connected VM was heard last and None for one that isn't
    connected; ``told_silent`` and ``told_living`` say whether heads told that a VM is
    silent or lives, ``has_followers`` whether others have chosen this VM for a head.
    """

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        roster: Roster,
        timers: TimerService,
        heard_at: Callable[[str], float | None],
        told_silent: Callable[[str], bool],
        has_followers: Callable[[], bool],
        told_living: Callable[[str], bool],
    ):
        self._vm = vm
        self._data_centre = data_centre
        self._roster = roster
        self._timers = timers
        self._heard_at = heard_at
        self._told_silent = told_silent
        self._has_followers = has_followers
        self._told_living = told_living
        self._missed_since: dict[str, float] = {}
        self._dialled_since: dict[str, float] = {}
        self._near: tuple[str, ...] = ()
        self._kept: tuple[str, ...] = ()
        self._is_head = False
        self._feed = ""

    @property
    def kept(self) -> tuple[str, ...]:
        """The VMs that this one keeps a connection with."""
        return self._kept

    @property
    def near(self) -> tuple[str, ...]:
        """The heads of this data centre, but this VM itself."""
        return self._near

    @property
    def is_head(self) -> bool:
        """Whether this VM passes on what others tell."""
        return self._is_head

    @property
    def feed(self) -> str:
        """The head that tells this VM of the fleet, empty if none does.

        A head hears of it from all other heads.
        """
        return self._feed

    def look(self, large: bool) -> None:
        """Choose anew by what is known now."""
        if not large:
            self._kept = tuple([vm for vm in self._roster.staying() if vm != self._vm])
            self._near, self._is_head, self._feed = (), True, ""
            return
        now = self._timers.now()
        near, first = self._heads_of(self._data_centre, now)
        self._near = tuple(near)
        self._is_head = first or self._has_followers()
        kept = list(near)
        for place in self._roster.data_centres if self._is_head else ():
            if place != self._data_centre:
                kept += self._heads_of(place, now)[0]
        kept += self._missed(now) if self._is_head else ()
        self._kept = tuple(kept)
        for vm in tuple(self._dialled_since):
            if vm not in self._roster.records:
                del self._dialled_since[vm]
        self._choose_feed(now)

    def _heads_of(self, place: str, now: float) -> tuple[list[str], bool]:
        """Return the heads to be connected with, and whether this VM is one of them."""
        heads: list[str] = []
        counted = 0
        is_head = False
        for vm in self._roster.elders(place):
            if counted >= HEADS_EACH or len(heads) >= MOST_DIALLED:
                break
            if vm == self._vm:
                is_head = True
                counted += 1
                continue
            reach = self._reach(vm, now)
            if reach is _Reach.DOWN:
                continue
            heads.append(vm)
            if reach is _Reach.SOUND:
                counted += 1
        return heads, is_head

    def _missed(self, now: float) -> list[str]:
        """Return the VMs of this data centre that are nowhere heard of."""
        missed = []
        for vm in self._roster.elders(self._data_centre):
            if vm == self._vm or self._told_living(vm):
                self._missed_since.pop(vm, None)
                continue
            missed_s = now - self._missed_since.setdefault(vm, now)
            if MISSED_S < missed_s < MISSED_KEPT_S:
                missed.append(vm)
        return missed

    def _reach(self, vm: str, now: float) -> _Reach:
        heard_at = self._heard_at(vm)
        if heard_at is not None:
            self._dialled_since.pop(vm, None)
            return _Reach.SOUND if now - heard_at < HEAD_SILENT_S else _Reach.SLOW
        if self._told_silent(vm):
            return _Reach.DOWN
        dialled_s = now - self._dialled_since.setdefault(vm, now)
        if dialled_s < DIALLED_S:
            return _Reach.SOUND
        if dialled_s < GIVEN_UP_S:
            return _Reach.SLOW
        if dialled_s > AGAIN_S:
            self._dialled_since[vm] = now
        return _Reach.DOWN

    def _choose_feed(self, now: float) -> None:
        """Choose who feeds this VM; half of the VMs have each head.

        The choice stands while that head is heard. So when one is gone half of the VMs
        hear nothing for a moment, and each carries half of the messages.
        """
        heard = []
        for vm in self._near:
            heard_at = self._heard_at(vm)
            if heard_at is not None and now - heard_at < HEAD_SILENT_S:
                heard.append(vm)
        if self._is_head or not heard:
            self._feed = ""
            return
        if self._feed not in heard:
            self._feed = heard[digest64(self._vm) % len(heard)]
