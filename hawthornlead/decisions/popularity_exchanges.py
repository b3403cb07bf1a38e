"""Exchange of popularity counts between VMs, so that each VM knows the whole system.

A VM sees only the requests that callers send to it. From its own counts alone, an
adapter requested every ten seconds shows up at one of nine VMs every ninety seconds,
too rarely to be distinguished from a single request. So each VM periodically announces
what it has counted since its last announcement, the most requested adapters first::

    exchange = PopularityExchange(..., mesh=mesh, members=members, popularity=counts)
    exchange.observe("tides-12")      # a request admitted here
    counts.rate("tides-12", now)      # of the whole system

**Bounds.** A message holds at most ``MESSAGE_BYTES`` and a VM sends at most
``SEND_BYTES_PER_S`` of them altogether: with more VMs they go out less often, down to
one in ``MAX_INTERVAL_S``, and then get smaller. Counts that do not fit are sent later.
They are kept for at most ``MAX_WAITING`` adapters.

**Faults.** Counts are differences with a serial number for each process of a sender.
A lost message loses its counts and nothing else, a duplicate is ignored, and a sender
that restarts counts again under another incarnation. Counts only guide choices: no
invariant depends on them.
"""

import random
from typing import NamedTuple

from ..messages import AdapterCount, PopularityCounts
from ..timers import TimerService
from .popularities import Popularity

MIN_INTERVAL_S = 2.0
MAX_INTERVAL_S = 30.0
MESSAGE_BYTES = 1024
SEND_BYTES_PER_S = 4096
# Envelope and framing of a message, and of each adapter in it beside its name.
MESSAGE_OVERHEAD = 64
COUNT_OVERHEAD = 8
MAX_WAITING = 4096
# A VM counts as seen while its last counts are at most this many intervals old.
MAX_MISSED_INTERVALS = 3.0
MAX_COUNT = 1_000_000


class Pace(NamedTuple):
    """How often counts are sent, and the maximum bytes of a message."""

    interval_s: float
    message_bytes: int


def pace(receivers: int) -> Pace:
    """Return the pace for a number of receivers, within ``SEND_BYTES_PER_S``.

    For 8 receivers it is 512 bytes or more every 2 s, for 369 receivers 332 bytes
    every 30 s.
    """
    receivers = max(1, receivers)
    interval = receivers * MESSAGE_BYTES / SEND_BYTES_PER_S
    interval = min(max(interval, MIN_INTERVAL_S), MAX_INTERVAL_S)
    size = int(SEND_BYTES_PER_S * interval / receivers)
    return Pace(interval, min(size, MESSAGE_BYTES))


class PendingCounts:
    """Counts of requests that have not been sent to other VMs yet."""

    def __init__(self):
        self._counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, adapter: str) -> None:
        """Count one request."""
        self._counts[adapter] = self._counts.get(adapter, 0) + 1
        if len(self._counts) > MAX_WAITING:
            # Many single requests must not fill the memory: drop the smallest half.
            ranked = self._ranked()
            self._counts = dict(ranked[: MAX_WAITING // 2])

    def pop_largest(self, size: int) -> tuple[AdapterCount, ...]:
        """Remove and return the largest counts, as many as fit in ``size`` bytes."""
        taken = []
        left = size - MESSAGE_OVERHEAD
        for adapter, count in self._ranked():
            left -= len(adapter.encode()) + COUNT_OVERHEAD
            if left < 0:
                break
            taken.append(AdapterCount(adapter, count))
            del self._counts[adapter]
        return tuple(taken)

    def _ranked(self) -> list[tuple[str, int]]:
        # Of equal counts the older come first, since a dict keeps insertion order.
        return sorted(self._counts.items(), key=lambda item: -item[1])


class _Received(NamedTuple):
    incarnation: str
    serial: int
    at: float


class PopularityExchange:
    """Sends this VM's counts to the other VMs, and adds their counts to its own."""

    def __init__(
        self,
        *,
        settings: dict,
        timers: TimerService,
        rng: random.Random,
        mesh,
        members,
        popularity: Popularity,
    ):
        self._settings = settings
        self._timers = timers
        self._rng = rng
        self._mesh = mesh
        self._members = members
        self._popularity = popularity
        self._pending = PendingCounts()
        self._received: dict[str, _Received] = {}
        self._serial = 0
        self._due_at = 0.0
        self._timer = None

    @property
    def _vm(self) -> str:
        return self._settings["VM_NAME"]

    def start(self) -> None:
        """Start to send and receive counts."""
        self._mesh.on(PopularityCounts, self._on_counts)
        self._due_at = self._timers.now() + self._rng.random() * MIN_INTERVAL_S
        self._timer = self._timers.every(
            MIN_INTERVAL_S / 4, self.announce_due, name="popularity counts"
        )

    async def stop(self) -> None:
        """Stop sending counts."""
        if self._timer is not None:
            self._timer.cancel()

    def observe(self, adapter: str) -> None:
        """Count a request that this VM has admitted."""
        self._popularity.observe(adapter, self._timers.now())
        self._pending.add(adapter)

    def announce_due(self) -> None:
        """Send counts to the others if due, and update the share that is seen."""
        now = self._timers.now()
        others = [vm for vm in self._members.live_vms() if vm != self._vm]
        current = pace(len(others))
        self._update_share(others, now, current)
        if now < self._due_at or not others:
            return
        # Sent even without new counts, because a silent VM counts as not seen.
        self._due_at = now + current.interval_s
        self._serial += 1
        counts = self._pending.pop_largest(current.message_bytes)
        self._mesh.broadcast(PopularityCounts(self._serial, counts))

    def _update_share(self, others: list[str], now: float, current: Pace) -> None:
        """Scale rates up for the VMs whose counts don't arrive.

        Otherwise a VM partitioned from half of the others would halve the rates of all
        adapters.
        """
        since = now - MAX_MISSED_INTERVALS * current.interval_s
        seen_vms = 0
        for vm in others:
            received = self._received.get(vm)
            seen_vms += received is not None and received.at >= since
        for vm in self._received.keys() - set(others):
            if self._received[vm].at < now - MAX_MISSED_INTERVALS * MAX_INTERVAL_S:
                del self._received[vm]
        self._popularity.share = (seen_vms + 1) / (len(others) + 1)

    async def _on_counts(self, sender, message: PopularityCounts) -> None:
        now = self._timers.now()
        known = self._received.get(sender.vm)
        same = known is not None and known.incarnation == sender.incarnation
        if same and message.serial <= known.serial:
            return
        self._received[sender.vm] = _Received(sender.incarnation, message.serial, now)
        for adapter, count in message.counts:
            if 0 < count <= MAX_COUNT:
                self._popularity.observe(adapter, now, count)
