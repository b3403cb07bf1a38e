"""Popularity counts that VMs tell one another, so that each knows the whole system.

A VM sees only the requests that callers send to it. With counts of its own alone an
adapter that is asked for every ten seconds shows up at one of nine VMs every ninety,
too seldom to be told from a one-off. So each VM tells the others what it has counted
since it last told, its most asked-for adapters first::

    shares = PopularityExchange(..., mesh=mesh, members=members, popularity=counts)
    shares.observe("tides-12")        # a request admitted here
    counts.rate("tides-12", now)      # of the whole system

**Bounds.** A message holds at most ``MESSAGE_BYTES`` and a VM sends at most
``SEND_BYTES_PER_S`` of them altogether: with more VMs they go out less often, down to
one in ``MAX_INTERVAL_S``, and then get smaller. What does not fit is sent later,
of at most ``MAX_WAITING`` adapters.

**Faults.** Counts are differences with a serial number for each process of a sender.
A lost message costs its counts, never more; one that comes twice is dropped; a sender
that restarts begins anew with another incarnation. Counts only steer choices: nothing
that must hold rests on them.
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
# A VM counts as heard while its last counts are at most this many pauses old.
MAX_MISSED_INTERVALS = 3.0
MAX_COUNT = 1_000_000


class Pace(NamedTuple):
    """How often counts are told, and how many bytes of them at most."""

    interval_s: float
    message_bytes: int


def pace(receivers: int) -> Pace:
    """Return the pace for a number of receivers, within ``SEND_BYTES_PER_S``.

    With 8 receivers 512 bytes or more go out every 2 s, with 369 they are 332
    bytes every 30 s.
    """
    receivers = max(1, receivers)
    pause = receivers * MESSAGE_BYTES / SEND_BYTES_PER_S
    pause = min(max(pause, MIN_INTERVAL_S), MAX_INTERVAL_S)
    size = int(SEND_BYTES_PER_S * pause / receivers)
    return Pace(pause, min(size, MESSAGE_BYTES))


class PendingCounts:
    """Counts of requests that other VMs were not told of yet."""

    def __init__(self):
        self._counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, adapter: str) -> None:
        """Count one request."""
        self._counts[adapter] = self._counts.get(adapter, 0) + 1
        if len(self._counts) > MAX_WAITING:
            # A flood of one-offs must not fill the memory: halve, the least go.
            ranked = self._ranked()
            self._counts = dict(ranked[: MAX_WAITING // 2])

    def pop_largest(self, size: int) -> tuple[AdapterCount, ...]:
        """Take the greatest counts out, as many as fit in ``size`` bytes."""
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
        # Of equal counts the older go first: a dict keeps the order of arrival.
        return sorted(self._counts.items(), key=lambda item: -item[1])


class _Heard(NamedTuple):
    incarnation: str
    serial: int
    at: float


class PopularityExchange:
    """Tells this VM's counts and takes in those of the others."""

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
        self._waiting = PendingCounts()
        self._heard: dict[str, _Heard] = {}
        self._serial = 0
        self._due_at = 0.0
        self._timer = None

    @property
    def _vm(self) -> str:
        return self._settings["VM_NAME"]

    def start(self) -> None:
        """Tell and listen from now on."""
        self._mesh.on(PopularityCounts, self._on_counts)
        self._due_at = self._timers.now() + self._rng.random() * MIN_INTERVAL_S
        self._timer = self._timers.every(
            MIN_INTERVAL_S / 4, self.announce_due, name="popularity counts"
        )

    async def stop(self) -> None:
        """Tell nothing more."""
        if self._timer is not None:
            self._timer.cancel()

    def observe(self, adapter: str) -> None:
        """Count a request that this VM has admitted."""
        self._popularity.observe(adapter, self._timers.now())
        self._waiting.add(adapter)

    def announce_due(self) -> None:
        """Tell the others what is due, and work out the share that is seen."""
        now = self._timers.now()
        others = [vm for vm in self._members.live_vms() if vm != self._vm]
        current = pace(len(others))
        self._note_share(others, now, current)
        if now < self._due_at or not others:
            return
        # Told also without news: a VM that is silent counts as one not heard.
        self._due_at = now + current.interval_s
        self._serial += 1
        counts = self._waiting.pop_largest(current.message_bytes)
        self._mesh.broadcast(PopularityCounts(self._serial, counts))

    def _note_share(self, others: list[str], now: float, current: Pace) -> None:
        """Scale rates up by the VMs whose counts don't come.

        Without it a VM that is cut from half of the others would believe that
        everything is asked for half as often.
        """
        since = now - MAX_MISSED_INTERVALS * current.interval_s
        heard = 0
        for vm in others:
            told = self._heard.get(vm)
            heard += told is not None and told.at >= since
        for vm in self._heard.keys() - set(others):
            if self._heard[vm].at < now - MAX_MISSED_INTERVALS * MAX_INTERVAL_S:
                del self._heard[vm]
        self._popularity.share = (heard + 1) / (len(others) + 1)

    async def _on_counts(self, sender, message: PopularityCounts) -> None:
        now = self._timers.now()
        known = self._heard.get(sender.vm)
        same = known is not None and known.incarnation == sender.incarnation
        if same and message.serial <= known.serial:
            return
        self._heard[sender.vm] = _Heard(sender.incarnation, message.serial, now)
        for adapter, count in message.counts:
            if 0 < count <= MAX_COUNT:
                self._popularity.observe(adapter, now, count)
