"""What one relayed stream shows of the speed of its engine.

::

    times = EventTimes()
    times.record(events=1, gap_s=0.041)
    sample = times.sample(first_ms=92.0, prompt_tokens=826, beside=4)
"""

import statistics
from collections import deque
from typing import NamedTuple

# Gaps kept of a stream. The newest ones show the engine as it is now: with the gaps of
# whole streams, a change of speed is detected 0.4 s later.
MAX_GAPS = 20
# Streams with fewer gaps say little about the time of an event.
MIN_GAPS = 2


class StreamSample(NamedTuple):
    """The times of one stream at an engine.

    ``event_ms`` is the median time between its last events, ``first_ms`` the time from
    sending to the first event. ``beside`` other requests ran there at the start.
    """

    event_ms: float
    first_ms: float
    prompt_tokens: int
    beside: int


class EventTimes:
    """The newest gaps between the events of one stream."""

    def __init__(self):
        self._gaps_ms: deque[float] = deque(maxlen=MAX_GAPS)

    def record(self, events: int, gap_s: float) -> None:
        """Record events that arrived together ``gap_s`` after the previous ones."""
        if events > 0:
            self._gaps_ms.append(1000 * gap_s / events)

    def sample(
        self, first_ms: float, prompt_tokens: int, beside: int
    ) -> StreamSample | None:
        """Return the stream's sample, None if it had too few events."""
        if len(self._gaps_ms) < MIN_GAPS:
            return None
        event_ms = statistics.median(self._gaps_ms)
        return StreamSample(event_ms, first_ms, prompt_tokens, max(0, beside))
