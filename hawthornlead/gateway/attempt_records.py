"""What the outcome of an attempt records of its target: its health and run times."""

from typing import NamedTuple

from .gateway_parts import GatewayParts
from .records import TargetEntry


class LoadAtStart(NamedTuple):
    """A target's slots, and its requests when an attempt started."""

    slots: int
    running: int


class AttemptRecords:
    """Records of targets, by the outcomes of attempts."""

    def __init__(self, parts: GatewayParts):
        self._parts = parts

    def count_failure(self, entry: TargetEntry, gone: bool = False) -> None:
        """Count a failure against a target, unless it was of a former incarnation.

        Requests of a former incarnation fail for some seconds after a restart. If they
        counted against the new one, it would be avoided although it is healthy.
        """
        if self._parts.targets.is_current(entry):
            self._parts.healths.record_failure(entry.target, gone)

    def record_wait(
        self, entry: TargetEntry, sent_at: float, status: int, load: LoadAtStart
    ) -> None:
        """Record how long a whole answer took, or a failure if it is a server error."""
        if status >= 500:
            self.count_failure(entry)
            return
        wait_ms = (self._parts.timers.now() - sent_at) * 1000
        self._parts.healths.record_answer(entry.target, wait_ms)
        self.record_run(entry, sent_at, load)

    def record_run(self, entry: TargetEntry, sent_at: float, load: LoadAtStart) -> None:
        """Record how long requests of a service run."""
        spec = self._parts.configuration.service(entry.service)
        if spec is not None:
            took_s = self._parts.timers.now() - sent_at
            took_s /= self._parts.measured.slowness(entry, load.running, load.slots)
            self._parts.run_times.record(spec, took_s, load.running, load.slots)
