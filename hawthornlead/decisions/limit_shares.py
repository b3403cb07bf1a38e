"""One VM's even share of a limit that a target names for all VMs together.

A target in need names a limit from one moment to the next, for some seconds. Shared
among many VMs it is often less than one request a second for each, and word of what the
others sent comes too late to share it by use. So each VM keeps to its own part and
tells nobody anything::

    share = LimitShare(rate=0.37, now=timers.now(), rng=rng)
    if share.acquire(timers.now()):
        ...
"""

import math
from random import Random

# Requests that were on their way as the limit was named count against it too, so that
# no more are sent for so long.
ONSET_S = 2.0
# Unused credit of so long a time is kept, or that for one request.
BURST_S = 0.5


class LimitShare:
    """Credit for requests that fills at ``rate`` a second.

    It begins anywhere below one request: VMs whose credit filled in step would all send
    at the same moment.
    """

    def __init__(self, rate: float, now: float, rng: Random):
        self._rate = rate
        self._credit = rng.random() - rate * ONSET_S
        self._filled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Fill at another rate from now on."""
        self._fill(now)
        self._rate = rate

    def wait_s(self, now: float) -> float:
        """Return when the next request may be sent, in seconds from now."""
        self._fill(now)
        missing = 1.0 - self._credit
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate else math.inf

    def acquire(self, now: float) -> bool:
        """Use the credit of one request, if there is as much."""
        if self.wait_s(now) > 0:
            return False
        self._credit -= 1.0
        return True

    def refund(self) -> None:
        """Return the credit of a request that wasn't sent."""
        self._credit += 1.0

    def _fill(self, now: float) -> None:
        added = max(0.0, now - self._filled_at) * self._rate
        most = max(1.0, self._rate * BURST_S)
        self._credit = min(most, self._credit + added)
        self._filled_at = now
