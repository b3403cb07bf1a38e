"""The observation of one fetch by reports of its engine.

The fetch took the time between the first report that shows its order and the first one
that shows its adapter as held. That doesn't depend on the lag of reports.
"""

import math

# Between two polls, for a fetch of at least ``SHORT_FETCH_S`` and for a shorter one.
POLL_INTERVAL_S = 0.03
SHORT_POLL_INTERVAL_S = 0.015
SHORT_FETCH_S = 0.1
# After this many polls in a row the interval doubles.
FAST_POLLS = 5
# The first poll after an order, while the lag isn't known.
FIRST_POLL_S = 0.06
# Polls begin this many intervals before the expected moment.
POLLS_AHEAD = 1.0
# An event that lies between two polls further apart than this isn't known precisely.
MAX_UNCERTAIN_S = 0.1


class _Event:
    """When a report first showed something, between two polls."""

    def __init__(self):
        self.after_s = 0.0
        self.by_s = math.inf
        self.bounded = False

    @property
    def seen(self) -> bool:
        return self.by_s < math.inf

    @property
    def at_s(self) -> float:
        return (self.after_s + self.by_s) / 2 if self.bounded else self.by_s

    @property
    def precise(self) -> bool:
        return self.bounded and self.by_s - self.after_s <= MAX_UNCERTAIN_S

    def record(self, at_s: float, shown: bool) -> None:
        if self.seen:
            return
        if shown:
            self.by_s = at_s
            return
        self.after_s = at_s
        self.bounded = True


class FetchObservation:
    """One observed fetch; times are seconds since the order was sent.

    ``lag_s`` and ``fetch_s`` are the estimates so far, ``lag_known`` False if the lag
    is a guess, ``shorter`` if the fetch may be much shorter. ``phase`` from 0 to 1
    shifts the polls, so that over several observations the time between two polls
    causes no constant error::

        observation = FetchObservation(0.2, True, 0.29, phase=0.4)
        observation.next_poll_s
        observation.record(0.24, shows_order=True, shows_held=False)
        observation.fetch_s     # None until known
    """

    def __init__(
        self,
        lag_s: float,
        lag_known: bool,
        fetch_s: float,
        *,
        shorter: bool = False,
        phase: float = 0.0,
    ):
        short = fetch_s < SHORT_FETCH_S
        self._interval_s = SHORT_POLL_INTERVAL_S if short else POLL_INTERVAL_S
        self._order = _Event()
        self._held = _Event()
        self._polls = 0
        ahead_s = (POLLS_AHEAD + phase) * self._interval_s
        self._held_from_s = 0.0 if shorter else lag_s + fetch_s - ahead_s
        first_s = lag_s - ahead_s if lag_known else FIRST_POLL_S
        self._first_poll_s = self._next_poll_s = max(0.02, first_s)

    @property
    def next_poll_s(self) -> float:
        """When to read the next report."""
        return self._next_poll_s

    @property
    def complete(self) -> bool:
        """Whether a report showed the adapter as held after the order."""
        return self._order.seen and self._held.seen

    @property
    def lag_s(self) -> float | None:
        """How far the reports lag, None if unknown or imprecise.

        If already the first report shows the order, the lag is at most its time. A VM
        that was stopped before that report learns nothing from it.
        """
        if not self._order.seen:
            return None
        if self._order.bounded:
            return self._order.at_s if self._order.precise else None
        late_s = self._order.by_s - self._first_poll_s
        return self._order.by_s if late_s <= MAX_UNCERTAIN_S else None

    @property
    def fetch_s(self) -> float | None:
        """How long the fetch took, None if unknown or imprecise."""
        if not self.complete or not self._order.precise or not self._held.precise:
            return None
        return self._held.at_s - self._order.at_s

    @property
    def shorter(self) -> bool:
        """Whether the fetch was over before that was expected."""
        late = self.complete and not self._held.precise
        return late and self._order.precise and self._polls <= 2

    def record(self, at_s: float, shows_order: bool, shows_held: bool) -> None:
        """Record what a report read at ``at_s`` shows.

        What it shows as held before it shows the order was held before.
        """
        first = shows_order and not self._order.seen
        self._order.record(at_s, shows_order)
        self._held.record(at_s, shows_order and shows_held)
        self._polls = 1 if first else self._polls + 1
        self._schedule(at_s)
        if first:
            self._next_poll_s = max(self._next_poll_s, self._held_from_s)

    def skip(self, at_s: float) -> None:
        """Schedule the next poll after one that showed nothing usable."""
        self._polls += 1
        self._schedule(at_s)

    def _schedule(self, at_s: float) -> None:
        doubled = 2 if self._polls > FAST_POLLS else 1
        self._next_poll_s = at_s + doubled * self._interval_s
