"""What one relayed stream shows of the speed of its engine.

::

    times = EventTimes()
    times.record(events=1, gap_s=0.041)
    sample = times.sample(first_ms=92.0, prompt_tokens=826, beside=4)
"""

import statistics
from typing import NamedTuple

# Gaps kept of a stream. The first ones suffice for a median, and a stream may have
# thousands of events.
MAX_GAPS = 64
# Streams with fewer gaps say little about the time of an event.
MIN_GAPS = 2


class StreamSample(NamedTuple):
    """The times of one stream at an engine.

    ``event_ms`` is the median time between two events, ``first_ms`` the time from
    sending to the first event. ``beside`` other requests ran there at the start.
    """

    event_ms: float
    first_ms: float
    prompt_tokens: int
    beside: int


class EventTimes:
    """The gaps between the events of one stream."""

    def __init__(self):
        self._gaps_ms: list[float] = []

    def record(self, events: int, gap_s: float) -> None:
        """Record events that arrived together ``gap_s`` after the previous ones."""
        if events > 0 and len(self._gaps_ms) < MAX_GAPS:
            self._gaps_ms.append(1000 * gap_s / events)

    def sample(
        self, first_ms: float, prompt_tokens: int, beside: int
    ) -> StreamSample | None:
        """Return the stream's sample, None if it had too few events."""
        if len(self._gaps_ms) < MIN_GAPS:
            return None
        event_ms = statistics.median(self._gaps_ms)
        return StreamSample(event_ms, first_ms, prompt_tokens, max(0, beside))
