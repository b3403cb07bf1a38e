"""Construction of fetch trackers, and what those of a VM's engines have learned."""

from ..fetches.arrival_times import ArrivalTimes
from ..fetches.fetch_estimates import FetchEstimates
from ..fetches.report_lags import ReportLag
from .fetch_trackers import FetchTracker
from .learned_trackers import LearnedFetchTracker


class FetchTrackerBuilder:
    """Builds the tracker of each engine; ``learned`` if report lags are learned too.

    ::

        tracker = trackers.build(slots=slots, timers=timers, ...)
    """

    def __init__(self, learned: bool):
        self.estimates = FetchEstimates() if learned else None
        # Times of first fetches (False) and of repeated ones (True).
        self._arrivals = {False: ArrivalTimes(), True: ArrivalTimes()}

    @property
    def learned(self) -> bool:
        """Whether fetch times and report lags are learned."""
        return self.estimates is not None

    @property
    def lag(self) -> ReportLag | None:
        """The learned lag of reports, None if it isn't learned."""
        return self.estimates.lag if self.estimates else None

    def build(self, *, waiting, **parts) -> FetchTracker | LearnedFetchTracker:
        """Return a tracker with these parts; see the classes of trackers."""
        if self.estimates is None:
            return FetchTracker(arrivals=self._arrivals, **parts)
        return LearnedFetchTracker(estimates=self.estimates, waiting=waiting, **parts)
