"""How long requests of each service run, as this VM observed it.

Some services run for milliseconds and others for seconds, and the wait at a full target
is in proportion. The mean is learned from all requests. The wait for a slot is taken
out of their time by the number of requests ahead::

    times.record(service, 0.09, running=12, slots=6)
    times.run_ms(service)
"""

from .records import ServiceSpec

# Initial means: requests to model engines count as long, and those to plain services as
# short.
INITIAL_ENGINE_RUN_MS = 1800.0
INITIAL_PLAIN_RUN_MS = 100.0
# The weight of one request in the mean, which follows some tens of requests.
RUN_WEIGHT = 0.03


class RunTimes:
    """The mean time of a run, by service."""

    def __init__(self):
        self._means_ms: dict[str, float] = {}

    def record(
        self, service: ServiceSpec, took_s: float, running: int, slots: int
    ) -> None:
        """Record how long a request took that started as one of ``running``."""
        mean_ms = self.run_ms(service)
        batches = max(1.0, running / max(1, slots))
        mean_ms += RUN_WEIGHT * (1000 * took_s / batches - mean_ms)
        self._means_ms[service.name] = mean_ms

    def run_ms(self, service: ServiceSpec) -> float:
        """Return how long a request of a service runs, in milliseconds."""
        start_ms = (
            INITIAL_PLAIN_RUN_MS if service.engine is None else INITIAL_ENGINE_RUN_MS
        )
        return self._means_ms.get(service.name, start_ms)
