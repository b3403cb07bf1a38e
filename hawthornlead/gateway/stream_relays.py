"""One stream of events on its way from a target to a caller, whole events only.

A stream may break in the middle of an event and, where its route allows it, go on at
another target. So only whole events go on to the caller, each as soon as it is whole,
and the relay knows the last one's id.
"""

from ..platform.headers import answer_headers
from .caller_calls import CallerCall
from .target_connections import Head

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# No event of a served stream is near this; what is longer isn't cut at events.
MAX_EVENT_BYTES = 1 << 20


class CallerStream:
    """What a caller has of its stream so far, over all targets that gave a part."""

    def __init__(self, call: CallerCall):
        self._call = call
        self._last: bytes = b""
        self.events = 0

    @property
    def begun(self) -> bool:
        """Whether the caller has got the beginning of its answer."""
        return self._call.answered

    @property
    def last_event(self) -> str:
        """The id of the last event that went to the caller, empty if there is none."""
        tail = self._last.rstrip(b"\n").rpartition(EVENT_END)[2]
        for line in tail.split(b"\n"):
            if line.startswith(ID_FIELD):
                return line[len(ID_FIELD) :].strip().decode("latin1")
        return ""

    def send(self, head: Head, events: bytes) -> None:
        """Send whole events; the first ones bring the headers of their target."""
        if self._call.left:
            return
        self._last = events
        self.events += events.count(EVENT_END)
        if self._call.answered:
            self._call.write(events)
            return
        headers = answer_headers(head.headers)
        self._call.begin(head.status, head.reason, headers, events)


class StreamRelay:
    """Takes one target's part of a stream; an answer that is no stream is kept."""

    def __init__(self, stream: CallerStream, now):
        self._stream = stream
        self._now = now
        self._rest = bytearray()
        self.head: Head | None = None
        self.first_at: float | None = None
        self.active_at = now()
        self.longest_gap_s = 0.0

    @property
    def accepted(self) -> bool:
        """Whether the target runs the request and said so under its seal."""
        return (
            self.head is not None
            and 200 <= self.head.status < 300
            and self.head.signs.sealed
        )

    @property
    def rest(self) -> bytes:
        """What came after the last whole event, or all of an answer that is none."""
        return bytes(self._rest)

    def handle_head(self, head: Head) -> None:
        """Take the beginning of the target's answer."""
        self.head = head
        self.active_at = self._now()

    def handle_data(self, chunk: bytes) -> None:
        """Send on what has become whole."""
        now = self._now()
        if self.first_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.active_at)
        self.active_at = now
        self._rest += chunk
        if not self.accepted:
            return
        end = self._rest.rfind(EVENT_END)
        if end < 0 and len(self._rest) < MAX_EVENT_BYTES:
            return
        cut = end + len(EVENT_END) if end >= 0 else len(self._rest)
        if self.first_at is None:
            self.first_at = self.active_at
        self._stream.send(self.head, bytes(self._rest[:cut]))
        del self._rest[:cut]

    def flush(self) -> None:
        """Send on what a whole answer has after its last event."""
        if self._rest:
            self._stream.send(self.head, bytes(self._rest))
            self._rest.clear()
