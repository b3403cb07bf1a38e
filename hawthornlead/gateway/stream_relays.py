"""Relaying of an event stream from a target to a caller, in complete events only.

A stream may break in the middle of an event and, if its route allows it, resume at
another target. So the caller gets each event once it is complete, and the relay keeps
the id of the last one.
"""

import asyncio
from collections.abc import Callable

from ..engine_speeds.stream_samples import EventTimes
from ..platform.headers import answer_headers
from .caller_calls import CallerCall
from .target_connections import Head

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# A target that a request crashes does so as it begins to answer it. One that has gone
# on for this long after the first event has survived it.
SURVIVED_S = 0.25
# Longer than any event of a served stream. Longer data isn't an event, nor is it the
# body of an answer that wasn't accepted.
MAX_EVENT_BYTES = 1 << 20
# Memory for the part of an event that has come is reserved in units of this size.
RESERVED_BYTES = 4 << 10
# A stream has at most an event for each token, and some that hold none. Twice as many
# are no answer to its request.
EVENTS_PER_TOKEN = 2
TOKENLESS_EVENTS = 64


class CallerStream:
    """What a caller received of its stream so far, from all targets that sent parts."""

    def __init__(self, call: CallerCall):
        self._call = call
        self._last_chunk: bytes = b""
        self.events = 0

    @property
    def begun(self) -> bool:
        """Whether the answer to the caller was started."""
        return self._call.answered

    @property
    def last_event(self) -> str:
        """The id of the last event that went to the caller, empty if there is none."""
        tail = self._last_chunk.rstrip(b"\n").rpartition(EVENT_END)[2]
        for line in tail.split(b"\n"):
            if line.startswith(ID_FIELD):
                return line[len(ID_FIELD) :].strip().decode("latin1")
        return ""

    def reserve(self, size: int) -> bool:
        """Reserve memory until the end of the call; return False without room."""
        return self._call.reserve(size)

    def send(self, head: Head, events: bytes) -> None:
        """Send complete events, with the target's headers before the first ones."""
        if self._call.left:
            return
        self._last_chunk = events
        self.events += events.count(EVENT_END)
        if self._call.answered:
            self._call.write(events)
            return
        headers = answer_headers(head.headers)
        self._call.begin(head.status, head.reason, headers, events)


class StreamRelay:
    """Relays one target's part of a stream; keeps an answer that isn't accepted.

    ``may_begin`` is called once, before the first events are forwarded. If it returns
    False, nothing is forwarded and ``refused`` is done. ``on_answered`` is called once,
    when the target has survived the request. The gaps between events go to ``times``;
    the relay doesn't wait for its caller, so they are the target's alone.

    A target in trouble may send bytes, or events, without end: ``overrun`` is done when
    there are more than an answer of ``max_tokens`` can have, None if that is unknown.
    An event that is not complete takes memory. Without room for it the answer is
    ``dropped``, and nothing more is forwarded of it.
    """

    def __init__(
        self,
        stream: CallerStream,
        now: Callable[[], float],
        may_begin: Callable[[], bool] = lambda: True,
        on_answered: Callable[[], None] = lambda: None,
        times: EventTimes | None = None,
        max_tokens: int | None = None,
    ):
        self._max_events: int | None = None
        if max_tokens is not None:
            self._max_events = EVENTS_PER_TOKEN * max_tokens + TOKENLESS_EVENTS
        self._events = 0
        self._stream = stream
        self._now = now
        self._may_begin = may_begin
        self._on_answered = on_answered
        self._times = times
        self._event_at = 0.0
        self._answered = False
        self.refused: asyncio.Future = asyncio.get_running_loop().create_future()
        self.overrun: asyncio.Future = asyncio.get_running_loop().create_future()
        self._buffer = bytearray()
        self._reserved = 0
        self.dropped = False
        self.head: Head | None = None
        self.first_at: float | None = None
        self.active_at = now()
        self.longest_gap_s = 0.0

    @property
    def accepted(self) -> bool:
        """Whether the target accepted the request in a sealed answer."""
        return self.head is not None and self.head.succeeded and self.head.signs.sealed

    @property
    def answered(self) -> bool:
        """Whether the target wrote events and lived on for a moment."""
        return self._answered

    @property
    def unsent(self) -> bytes:
        """The data after the last complete event, or all of an answer not accepted."""
        return bytes(self._buffer)

    @property
    def ends_inside_event(self) -> bool:
        """Whether an accepted stream has anything after its last complete event."""
        return self.accepted and bool(self._buffer)

    def handle_head(self, head: Head) -> None:
        """Record the head of the target's answer."""
        self.head = head
        self.active_at = self._now()

    def handle_data(self, chunk: bytes) -> bool:
        """Forward the events that are complete; return False without room."""
        if self.dropped:
            return False
        self._take(chunk)
        if not self._has_room():
            self.dropped = True
            self._buffer.clear()
        return not self.dropped

    def _take(self, chunk: bytes) -> None:
        now = self._now()
        if self.first_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.active_at)
            if not self._answered and now - self.first_at >= SURVIVED_S:
                self._answered = True
                self._on_answered()
        self.active_at = now
        if self.overrun.done():
            return
        self._buffer += chunk
        if not self.accepted or self.refused.done():
            self._check_length()
            return
        end = self._buffer.rfind(EVENT_END)
        if end < 0:
            self._check_length()
            return
        cut = end + len(EVENT_END)
        events = self._buffer.count(EVENT_END, 0, cut)
        if self._exceeds(events):
            self._end_overrun()
            return
        if self.first_at is None:
            if not self._may_begin():
                self.refused.set_result(None)
                return
            self.first_at = self._event_at = now
        if self._times is not None and now > self.first_at:
            self._times.record(events, now - self._event_at)
            self._event_at = now
        self._stream.send(self.head, bytes(self._buffer[:cut]))
        del self._buffer[:cut]

    def _exceeds(self, events: int) -> bool:
        """Count further events; return whether they are more than the answer has."""
        self._events += events
        return self._max_events is not None and self._events > self._max_events

    def _has_room(self) -> bool:
        """Reserve what the buffer has grown by; return whether there was room."""
        grown = len(self._buffer) - self._reserved
        if grown <= 0:
            return True
        size = -(-grown // RESERVED_BYTES) * RESERVED_BYTES
        if not self._stream.reserve(size):
            return False
        self._reserved += size
        return True

    def _check_length(self) -> None:
        if len(self._buffer) > MAX_EVENT_BYTES:
            self._end_overrun()

    def _end_overrun(self) -> None:
        self._buffer.clear()
        self.overrun.set_result(None)

    def flush(self) -> None:
        """Forward what a complete answer has after its last event."""
        if self._buffer:
            self._stream.send(self.head, bytes(self._buffer))
            self._buffer.clear()
