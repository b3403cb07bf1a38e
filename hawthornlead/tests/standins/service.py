"""Stand-in of a plain service, which records every call that it ran.

Any method and path. Faults: ``delay_s``, ``refuse`` (that many next calls are
refused with ``Ran: no``), ``fail`` (that many next calls run and answer 500),
``crash_before`` and ``crash_after`` (that many next calls reset the connection
before or after running), ``crash_marker`` (a body holding it runs and resets all
connections; the service listens again after ``restart_s``).
"""

from .base import StandIn, StandInHandler, run_by_hand, stand_in


@stand_in("service")
class ServiceStandIn(StandIn):
    """A plain service; the judge of what ran, and how often."""

    FAULTS = {
        "delay_s": 0.0,
        "refuse": 0,
        "fail": 0,
        "crash_before": 0,
        "crash_after": 0,
        "crash_marker": "",
        "restart_s": 0.5,
    }

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.calls: list[dict] = []

    def routes(self) -> list:
        """Return the routes of the service."""
        return [(r"/.*", _CallHandler)]

    def record(self) -> dict:
        """Return every call in order, with whether it ran."""
        return {"calls": self.calls}

    def ran(self, key: str) -> int:
        """Return how many calls with an idempotency key ran."""
        return sum(1 for call in self.calls if call["ran"] and call["key"] == key)


class _CallHandler(StandInHandler):
    async def _call(self):
        entry = self._note()
        if self.stand_in.take("crash_before"):
            return self.drop()
        if self.stand_in.take("refuse"):
            self.set_header("Ran", "no")
            return self.answer(503, error="refused")
        entry["ran"] = True
        entry["ended"] = None
        if self.stand_in.faults["delay_s"]:
            await self.stand_in.timers.sleep(self.stand_in.faults["delay_s"])
        await self.hang_if_silent()
        entry["ended"] = self.stand_in.timers.now()
        marker = self.stand_in.faults["crash_marker"]
        if marker and marker.encode() in self.request.body:
            self.stand_in.spawn(self.stand_in.crash(self.stand_in.faults["restart_s"]))
            return None
        if self.stand_in.take("crash_after"):
            return self.drop()
        if self.stand_in.take("fail"):
            return self.answer(500, error="failed")
        return self._answer(entry)

    get = post = put = patch = delete = _call

    def _note(self) -> dict:
        entry = {
            "attempt": self.request.headers.get("Hawthornlead-Attempt", ""),
            "key": self.request.headers.get("Idempotency-Key", ""),
            "method": self.request.method,
            "path": self.request.path,
            "at": self.stand_in.timers.now(),
            "ran": False,
        }
        self.stand_in.calls.append(entry)
        return entry

    def _answer(self, entry) -> None:
        self.set_header("Hawthornlead-Attempt", entry["attempt"])
        self.answer(
            200,
            service=self.stand_in.name,
            path=entry["path"],
            attempt=entry["attempt"],
            number=len(self.stand_in.calls),
            received=self.request.body.decode("utf-8", "replace"),
        )


if __name__ == "__main__":
    run_by_hand(ServiceStandIn)()
