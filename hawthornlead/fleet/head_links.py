"""Which VMs one VM stays connected with, and which head it subscribes to.

A decision on what one VM knows, testable without a network. In a large fleet a VM is
connected only with the heads of its data centre. A head is connected with all VMs there
that chose it and with the heads of the other data centres; so the number of connections
grows with the data centre, not with the fleet. The heads are the VMs with the oldest
registrations that can be reached::

    links.refresh(large=True)
    links.peers, links.is_head, links.upstream_head
"""

from collections.abc import Callable
from enum import Enum

from ..hashes import digest64
from ..timers import TimerService
from .registered_orders import RegisteredOrder

# Two, so that one may freeze, leave or be cut off while the other serves its
# subscribers.
HEADS_PER_DATA_CENTRE = 2
# Heads send every 0.4 s. A subscriber switches to the other head after this much
# silence, which keeps the data behind answers to callers less than 2 s old.
HEAD_SILENCE_TIMEOUT_S = 1.0
# How long a head that is being dialled counts as healthy; after that another is dialled
# beside it.
DIAL_GRACE_S = 0.5
# A VM that accepted no connection for DIAL_TIMEOUT_S counts as down, and is dialled
# again after DIAL_RETRY_S.
DIAL_TIMEOUT_S = 3.0
DIAL_RETRY_S = 10.0
# After a power loss in a data centre the VMs with the oldest registrations may all be
# gone. This many are dialled in parallel.
MAX_DIALLED = 6
# A VM that restarts while the store is down knows no addresses. So a head dials the VMs
# of its data centre that no update has mentioned for MISSING_AFTER_S, until they have
# been missing for MISSING_TIMEOUT_S.
MISSING_AFTER_S = 2.0
MISSING_TIMEOUT_S = 30.0


class _Reachability(Enum):
    """Whether a VM can be reached as a head."""

    HEALTHY = "heard, or being dialled"
    SLOW = "not heard yet, or not lately"
    DOWN = "gone"


class HeadLinks:
    """The connections that one VM keeps.

    ``last_seen_at`` returns when a connected VM was last seen and None for one that
    isn't connected; ``reported_silent`` and ``reported_live`` tell whether heads
    reported that a VM is silent or lives, ``has_subscribers`` whether other VMs have
    chosen this VM as a head.
    """

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        registered_order: RegisteredOrder,
        timers: TimerService,
        last_seen_at: Callable[[str], float | None],
        reported_silent: Callable[[str], bool],
        has_subscribers: Callable[[], bool],
        reported_live: Callable[[str], bool],
    ):
        self._vm = vm
        self._data_centre = data_centre
        self._registered_order = registered_order
        self._timers = timers
        self._last_seen_at = last_seen_at
        self._reported_silent = reported_silent
        self._has_subscribers = has_subscribers
        self._reported_live = reported_live
        self._missing_since: dict[str, float] = {}
        self._dialled_since: dict[str, float] = {}
        self._local_heads: tuple[str, ...] = ()
        self._peers: tuple[str, ...] = ()
        self._is_head = False
        self._upstream_head = ""

    @property
    def peers(self) -> tuple[str, ...]:
        """The VMs that this one stays connected with."""
        return self._peers

    @property
    def local_heads(self) -> tuple[str, ...]:
        """The heads of this data centre except this VM itself."""
        return self._local_heads

    @property
    def is_head(self) -> bool:
        """Whether this VM forwards the updates of others."""
        return self._is_head

    @property
    def upstream_head(self) -> str:
        """The head that this VM receives fleet updates from, empty if there is none.

        A head receives them from all other heads.
        """
        return self._upstream_head

    def refresh(self, large: bool) -> None:
        """Choose peers and the upstream head from the current state."""
        if not large:
            self._peers = tuple(
                [vm for vm in self._registered_order.staying() if vm != self._vm]
            )
            self._local_heads, self._is_head, self._upstream_head = (), True, ""
            return
        now = self._timers.now()
        local_heads, is_among_heads = self._heads_of(self._data_centre, now)
        self._local_heads = tuple(local_heads)
        self._is_head = is_among_heads or self._has_subscribers()
        peers = list(local_heads)
        for centre in self._registered_order.data_centres if self._is_head else ():
            if centre != self._data_centre:
                peers += self._heads_of(centre, now)[0]
        peers += self._missing(now) if self._is_head else ()
        self._peers = tuple(peers)
        for vm in tuple(self._dialled_since):
            if vm not in self._registered_order.records:
                del self._dialled_since[vm]
        self._choose_upstream_head(now)

    def _heads_of(self, data_centre: str, now: float) -> tuple[list[str], bool]:
        """Return the heads to be connected with, and whether this VM is one of them."""
        heads: list[str] = []
        healthy = 0
        is_head = False
        for vm in self._registered_order.oldest_first(data_centre):
            if healthy >= HEADS_PER_DATA_CENTRE or len(heads) >= MAX_DIALLED:
                break
            if vm == self._vm:
                is_head = True
                healthy += 1
                continue
            reachability = self._reachability(vm, now)
            if reachability is _Reachability.DOWN:
                continue
            heads.append(vm)
            if reachability is _Reachability.HEALTHY:
                healthy += 1
        return heads, is_head

    def _missing(self, now: float) -> list[str]:
        """Return the VMs of this data centre that no update mentions."""
        missing = []
        for vm in self._registered_order.oldest_first(self._data_centre):
            if vm == self._vm or self._reported_live(vm):
                self._missing_since.pop(vm, None)
                continue
            missing_s = now - self._missing_since.setdefault(vm, now)
            if MISSING_AFTER_S < missing_s < MISSING_TIMEOUT_S:
                missing.append(vm)
        return missing

    def _reachability(self, vm: str, now: float) -> _Reachability:
        seen_at = self._last_seen_at(vm)
        if seen_at is not None:
            self._dialled_since.pop(vm, None)
            return (
                _Reachability.HEALTHY
                if now - seen_at < HEAD_SILENCE_TIMEOUT_S
                else _Reachability.SLOW
            )
        if self._reported_silent(vm):
            return _Reachability.DOWN
        dialled_s = now - self._dialled_since.setdefault(vm, now)
        if dialled_s < DIAL_GRACE_S:
            return _Reachability.HEALTHY
        if dialled_s < DIAL_TIMEOUT_S:
            return _Reachability.SLOW
        if dialled_s > DIAL_RETRY_S:
            self._dialled_since[vm] = now
        return _Reachability.DOWN

    def _choose_upstream_head(self, now: float) -> None:
        """Choose the head to subscribe to; half of the VMs choose each head.

        The choice stands while that head is seen. So the loss of one head interrupts
        updates for half of the VMs only, and each head carries half of the messages.
        """
        seen = []
        for vm in self._local_heads:
            seen_at = self._last_seen_at(vm)
            if seen_at is not None and now - seen_at < HEAD_SILENCE_TIMEOUT_S:
                seen.append(vm)
        if self._is_head or not seen:
            self._upstream_head = ""
            return
        if self._upstream_head not in seen:
            self._upstream_head = seen[digest64(self._vm) % len(seen)]
