"""How long requests of each service run, as this VM has seen it.

Answers the load of services whose requests last some milliseconds beside those that
last seconds: what waits at a full target waits that much shorter. Learned from all
requests, from whose time the wait for a place is taken out by how many were ahead::

    times.record(service, 0.09, running=12, slots=6)
    times.run_ms(service)
"""

from .records import ServiceSpec

# Until requests of a service have ended, those of model engines count as long, and
# those of plain services as short.
INITIAL_ENGINE_RUN_MS = 1800.0
INITIAL_PLAIN_RUN_MS = 100.0
# How much one request counts against all before it: some tens of requests decide.
NEW_WEIGHT = 0.03


class RunTimes:
    """The mean time of a run, by service."""

    def __init__(self):
        self._means_ms: dict[str, float] = {}

    def record(
        self, service: ServiceSpec, took_s: float, running: int, slots: int
    ) -> None:
        """Note how long a request took that began as one of ``running``."""
        mean_ms = self.run_ms(service)
        rounds = max(1.0, running / max(1, slots))
        mean_ms += NEW_WEIGHT * (1000 * took_s / rounds - mean_ms)
        self._means_ms[service.name] = mean_ms

    def run_ms(self, service: ServiceSpec) -> float:
        """Return how long a request of a service runs, in milliseconds."""
        start_ms = (
            INITIAL_PLAIN_RUN_MS if service.engine is None else INITIAL_ENGINE_RUN_MS
        )
        return self._means_ms.get(service.name, start_ms)
