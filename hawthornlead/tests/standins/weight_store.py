"""Stand-in of the rate-limited weight store, the judge of the load allowance.

``POST /fetch`` with ``{"target", "adapter", "version"}`` answers 200 when the
weights are through, after ``load_s`` at full speed. With more than ``at_once``
fetches all slow down in proportion. A start is over the rate when more than
``loads_per_s`` starts (rounded up) fall within the time in which the rate allows
them, less ``slack_s`` for the jitter of the way there. Faults: ``fail_fetches``
(that many next fetches fail half-way, 500), ``outage``.
"""

import math
from collections import deque

from .base import StandIn, StandInHandler, run_by_hand, stand_in

_STEPS = 20


@stand_in("weight_store")
class WeightStoreStandIn(StandIn):
    """The weight store, counting what goes over its allowance."""

    FAULTS = {
        "load_s": 0.2,
        "loads_per_s": 6.0,
        "at_once": 2,
        "slack_s": 0.05,
        "fail_fetches": 0,
        "outage": False,
    }

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.fetches: deque[dict] = deque(maxlen=10_000)
        self.starts: deque[float] = deque(maxlen=1000)
        self.open = 0
        self.total = 0
        self.over_rate = 0
        self.over_concurrency = 0
        self.most_at_once = 0
        self.most_in_window = 0

    def routes(self) -> list:
        """Return the routes of the weight store."""
        return [(r"/fetch", _FetchHandler)]

    def record(self) -> dict:
        """Return the fetches and the violations of the allowance."""
        return {
            "fetches": list(self.fetches),
            "total": self.total,
            "open": self.open,
            "over_rate": self.over_rate,
            "over_concurrency": self.over_concurrency,
            "most_at_once": self.most_at_once,
            "most_in_window": self.most_in_window,
        }

    async def fetch(self, target: str, adapter: str, version: str) -> bool:
        """Run one fetch; False when it failed half-way."""
        entry = {"target": target, "adapter": adapter, "version": version}
        entry |= {"started": self.timers.now(), "ended": None, "ok": False}
        self.fetches.append(entry)
        failing = self.take("fail_fetches")
        self._count_start()
        try:
            steps = _STEPS // 2 if failing else _STEPS
            for _ in range(steps):
                share = max(1.0, self.open / self.faults["at_once"])
                await self.timers.sleep(self.faults["load_s"] / _STEPS * share)
            entry["ok"] = not failing
            return not failing
        finally:
            entry["ended"] = self.timers.now()
            self.open -= 1

    def _count_start(self) -> None:
        self.open += 1
        self.total += 1
        self.most_at_once = max(self.most_at_once, self.open)
        if self.open > self.faults["at_once"]:
            self.over_concurrency += 1
        now = self.timers.now()
        self.starts.append(now)
        allowed = max(1, math.ceil(self.faults["loads_per_s"]))
        window = allowed / self.faults["loads_per_s"] - self.faults["slack_s"]
        within = sum(1 for start in self.starts if start > now - window)
        self.most_in_window = max(self.most_in_window, within)
        if within > allowed:
            self.over_rate += 1


class _FetchHandler(StandInHandler):
    async def post(self):
        if self.stand_in.faults["outage"]:
            return self.answer(503, error="outage")
        order = self.read_json()
        wanted = (order["target"], order["adapter"], order["version"])
        if await self.stand_in.fetch(*wanted):
            return self.answer(200, ok=True)
        return self.answer(500, error="fetch-failed")


if __name__ == "__main__":
    run_by_hand(WeightStoreStandIn)()
