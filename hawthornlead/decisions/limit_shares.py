"""One VM's even share of a limit that a target sets for all VMs together.

An overloaded target sets a limit suddenly, for some seconds. Split among many VMs it is
often less than one request a second for each, and reports of what the others sent come
too late to share it by use. So each VM keeps to its own share, without communication::

    share = LimitShare(rate=0.37, now=timers.now(), rng=rng)
    if share.acquire(timers.now()):
        ...
"""

import math
from random import Random

# Requests in flight when the limit was set count against it too, so no more are sent
# for this time.
ONSET_DELAY_S = 2.0
# Unused credit accumulates for this time, but always up to one request.
MAX_BURST_S = 0.5


class LimitShare:
    """Credit for requests that fills at ``rate`` a second.

    It starts at a random value below one request, because VMs whose credit fills in
    step would all send at the same moment.
    """

    def __init__(self, rate: float, now: float, rng: Random):
        self._rate = rate
        self._credit = rng.random() - rate * ONSET_DELAY_S
        self._filled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on."""
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
        """Acquire the credit of one request if available."""
        if self.wait_s(now) > 0:
            return False
        self._credit -= 1.0
        return True

    def refund(self) -> None:
        """Refund the credit of a request that wasn't sent."""
        self._credit += 1.0

    def _fill(self, now: float) -> None:
        added = max(0.0, now - self._filled_at) * self._rate
        max_credit = max(1.0, self._rate * MAX_BURST_S)
        self._credit = min(max_credit, self._credit + added)
        self._filled_at = now
