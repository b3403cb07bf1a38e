"""The places of one target that are promised to requests of all VMs.

::

    book = PlaceBook()
    number = book.grant(Grant("edge-3", until=now + 4.0), now)
    book.running(now)
    book.end("edge-3", number, now)
"""

from collections.abc import Callable
from typing import NamedTuple

# The weight of one request in the mean time for which a place is held.
HOLD_WEIGHT = 0.05
# Differences between announced and granted requests count by their lowest number
# within this time: the announcements of many VMs are of different moments, and their
# sum varies by two or three requests.
COMPARED_S = 1.0
# A VM that asks may have started a moment ago, and is seen by others only later.
UNSEEN_S = 1.0
# Grants are only taken for ended by announcements if at least so many were compared.
MIN_COMPARED = 3


class Grant(NamedTuple):
    """A place for a request of a VM, which has ended by ``until`` at the latest.

    ``tokens`` is the memory that it takes, and ``number`` the VM's own for it.
    """

    vm: str
    until: float
    number: int = 0
    tokens: int = 0
    key: str = ""


class _Held(NamedTuple):
    grant: Grant
    at: float


class _Ended(NamedTuple):
    granted_at: float
    ended_at: float


class _Sample(NamedTuple):
    """Requests announced at a time beyond those granted here, and those missing."""

    at: float
    ungranted: int
    missing: int


class PlaceBook:
    """The places and tokens of one target that requests hold.

    Every grant has an end: the VM reports it, the VM is gone (``is_seen`` returns
    False), ``until`` has passed, or announcements no longer show its request.
    ``hold_s`` is the assumed time for which a place is held before any end was
    observed, and ``compared_s`` how long an announcement counts.
    """

    def __init__(
        self,
        hold_s: float,
        is_seen: Callable[[str], bool] = lambda vm: True,
        compared_s: float = COMPARED_S,
    ):
        self._is_seen = is_seen
        self._compared_s = compared_s
        self._held: dict[tuple[str, int], _Held] = {}
        self._tokens = 0
        self._hold_s = hold_s
        self._observed_ends = 0
        self._ended_at: list[_Ended] = []
        self._samples: list[_Sample] = []

    @property
    def hold_s(self) -> float:
        """The mean time for which a place is held, in seconds."""
        return self._hold_s

    @property
    def granted(self) -> int:
        """How many places are held."""
        return len(self._held)

    @property
    def tokens(self) -> int:
        """The tokens of the held places."""
        return self._tokens

    def grant(self, grant: Grant, now: float) -> None:
        """Count a place as held; a repeated grant replaces the former one."""
        self._remove((grant.vm, grant.number))
        self._held[grant.vm, grant.number] = _Held(grant, now)
        self._tokens += grant.tokens

    def end(self, vm: str, number: int, now: float, ran: bool = True) -> bool:
        """Free a place whose request has ended; False if it wasn't held.

        Unless it ``ran``, it doesn't show how long places are held.
        """
        held = self._remove((vm, number))
        if held is None:
            return False
        if self._samples:
            self._ended_at.append(_Ended(held.at, now))
        if ran:
            self._record_hold(now - held.at)
        return True

    def end_oldest(self, vm: str, key: str, now: float) -> bool:
        """Free the place that a VM has held longest for a key, if it holds any."""
        for held_by, held in self._held.items():
            if held.grant.vm == vm and held.grant.key == key:
                return self.end(*held_by, now)
        return False

    def apply_announced(self, announced: int, now: float, age_s: float) -> None:
        """Apply how many requests of all VMs were announced, ``age_s`` ago on average.

        Those beyond what was granted here by then were sent without a grant, or were
        granted by the former owner. If there are fewer than granted, ends were lost.
        """
        then = now - age_s
        oldest = then - age_s
        self._ended_at = [each for each in self._ended_at if each.ended_at > then]
        old = sum(1 for each in self._held.values() if each.at <= then)
        # These are in the announcements of all VMs, the oldest of which are twice as
        # old as the mean.
        settled = [number for number, each in self._held.items() if each.at <= oldest]
        ended = sum(1 for each in self._ended_at if each.granted_at <= then)
        self._forget_samples(now)
        self._samples.append(
            _Sample(
                now,
                max(0, announced - old - ended),
                max(0, len(settled) - announced),
            )
        )
        if len(self._samples) >= MIN_COMPARED:
            lost = min(each.missing for each in self._samples)
            for number in settled[:lost]:
                self._remove(number)
            if lost:
                self._samples.clear()

    def lapse(self, now: float) -> None:
        """Free the places whose requests have ended by now at the latest."""
        for number, held in tuple(self._held.items()):
            gone = now - held.at > UNSEEN_S and not self._is_seen(held.grant.vm)
            if gone or held.grant.until <= now:
                self._remove(number)

    def running(self, now: float) -> int:
        """Return how many requests the target has, as far as is known."""
        self._forget_samples(now)
        ungranted = min((each.ungranted for each in self._samples), default=0)
        return len(self._held) + ungranted

    def _forget_samples(self, now: float) -> None:
        since = now - self._compared_s
        if self._samples and self._samples[0].at <= since:
            self._samples = [each for each in self._samples if each.at > since]

    def _record_hold(self, held_s: float) -> None:
        # The first ends count more, so that a wrong initial value is soon replaced.
        self._observed_ends += 1
        weight = max(HOLD_WEIGHT, 1 / self._observed_ends)
        self._hold_s += weight * (held_s - self._hold_s)

    def _remove(self, number: tuple[str, int]) -> _Held | None:
        held = self._held.pop(number, None)
        if held is not None:
            self._tokens -= held.grant.tokens
        return held
