"""What one VM has learned of fetches, over all engines that it owns."""

from .fetch_observations import FetchObservation
from .fetch_times import FetchTimes
from .order_times import OrderTimes
from .report_lags import ReportLag

# Assumed until fetches were observed. A fetch takes 0.29 s without contention, and a
# tenth of that if the engine held the adapter recently.
INITIAL_FETCH_S = 0.34
INITIAL_REPEATED_S = 0.06
# Multiples of the golden ratio spread the phases of observations evenly.
PHASE_STEP = 0.618


class FetchEstimates:
    """The learned report lag, times of orders and fetch times.

    ``times`` are those of first fetches (False) and of repeated ones (True)::

        observation = estimates.begin_observation(repeated=False, now=now)
    """

    def __init__(self):
        self.lag = ReportLag()
        self.orders = OrderTimes()
        self.times = {
            False: FetchTimes(INITIAL_FETCH_S),
            True: FetchTimes(INITIAL_REPEATED_S),
        }
        self._phase = 0.0

    def begin_observation(self, repeated: bool, now: float) -> FetchObservation | None:
        """Return the observation of a fetch that begins now, None if none is due."""
        times = self.times[repeated]
        if not times.acquire_observation(now):
            return None
        self._phase = (self._phase + PHASE_STEP) % 1
        return FetchObservation(
            self.lag.expected_s,
            self.lag.known,
            times.level_s,
            shorter=times.shorter,
            phase=self._phase,
        )

    def end_observation(
        self, observation: FetchObservation, repeated: bool, now: float
    ) -> None:
        """Learn from an observation as far as it came."""
        if observation.lag_s is not None:
            self.lag.observe(observation.lag_s)
        if observation.fetch_s is not None:
            self.times[repeated].observe(observation.fetch_s, now)
        elif observation.shorter:
            self.times[repeated].observe_shorter(now)
