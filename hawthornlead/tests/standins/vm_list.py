"""Stand-in of the platform's VM list, which lags.

``POST /standin/entries`` with ``{"vms": [...]}`` sets the list. Faults: ``lag_s``
(seconds by which the answer is old), ``outage`` (503), ``slow_s``.
"""

from .base import StandIn, StandInHandler, run_by_hand, stand_in


@stand_in("vm_list")
class VmListStandIn(StandIn):
    """The VM list, with a history so that it can lag."""

    FAULTS = {"lag_s": 0.0, "outage": False, "slow_s": 0.0}

    def __init__(self, entries: list[dict] | None = None, **kwargs):
        super().__init__(**kwargs)
        self.reads = 0
        self.history: list[tuple[float, list[dict]]] = [(float("-inf"), entries or [])]

    def routes(self) -> list:
        """Return the routes of the VM list."""
        return [(r"/vms", _VmsHandler), (r"/standin/entries", _EntriesHandler)]

    def record(self) -> dict:
        """Return the number of reads and the entries without lag."""
        return {"reads": self.reads, "vms": self.history[-1][1]}

    def set_entries(self, entries: list[dict]) -> None:
        """Set the list; a reader sees it ``lag_s`` later."""
        self.history.append((self.timers.now(), list(entries)))

    def visible(self) -> list[dict]:
        """Return the entries as a reader sees them now."""
        seen_at = self.timers.now() - self.faults["lag_s"]
        shown = [entries for at, entries in self.history if at <= seen_at]
        return shown[-1]


class _VmsHandler(StandInHandler):
    async def get(self):
        self.stand_in.reads += 1
        if self.stand_in.faults["slow_s"]:
            await self.stand_in.timers.sleep(self.stand_in.faults["slow_s"])
        if self.stand_in.faults["outage"]:
            return self.answer(503, error="outage")
        return self.answer(200, vms=self.stand_in.visible())


class _EntriesHandler(StandInHandler):
    def post(self):
        self.stand_in.set_entries(self.read_json()["vms"])
        self.answer(200, ok=True)


if __name__ == "__main__":
    run_by_hand(VmListStandIn)()
