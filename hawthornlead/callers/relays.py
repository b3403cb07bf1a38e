"""Checks that an answer relayed to a caller is the right one, complete and not doubled.

An ``AnswerCheck`` parses only what these guarantees need: the first event must name
the attempt, adapter and version; token events are counted and their indexes compared
with the offset; the end marker must name the same count. Events that pass are
forwarded as bytes, so relaying needs no parsing per token.
"""

import json
import re

from result import Err, Ok, Result

from ..errors import ErrorKind, Failure

EVENT_END = b"\n\n"
DONE_START = b'data: {"done"'
MAX_EVENT_BYTES = 1 << 20
_INDEX = re.compile(rb'data: \{"i": ?(\d+)')


class Expected:
    """What the answer of one attempt must name."""

    __slots__ = ("attempt_id", "adapter", "version", "offset")

    def __init__(self, attempt_id: str, adapter: str, version: str, offset: int):
        self.attempt_id = attempt_id
        self.adapter = adapter
        self.version = version
        self.offset = offset

    @property
    def named(self) -> tuple[str, str, str, int]:
        """The values that the first event of the answer must name."""
        return self.attempt_id, self.adapter, self.version, self.offset


class AnswerCheck:
    """Checks the event stream of one attempt as it arrives.

    ``feed`` returns the token events that may be forwarded to the caller. After an
    error nothing more of this attempt may be forwarded.
    """

    def __init__(self, expected: Expected):
        self._expected = expected
        self._rest = b""
        self._named: tuple[str, str, str, int] | None = None
        self._next_index = expected.offset
        self._begun = False
        self._done = False

    @property
    def expected(self) -> Expected:
        """The values that the answer must name."""
        return self._expected

    @property
    def named(self) -> tuple[str, str, str, int] | None:
        """The values that the answer names, None before its first event."""
        return self._named

    @property
    def begun(self) -> bool:
        """Whether the first event names the attempt: its target has received it."""
        return self._begun

    @property
    def next_index(self) -> int:
        """The index of the next token, at which a resumed attempt must start."""
        return self._next_index

    @property
    def done(self) -> bool:
        """Whether the end marker arrived with the right count."""
        return self._done

    def feed(self, data: bytes) -> Result[bytes, Failure]:
        """Add bytes from the target; return the whole token events among them."""
        data = self._rest + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            if len(data) > MAX_EVENT_BYTES:
                return Err(_wrong("an event without end"))
            return Ok(b"")
        events = data[: end + len(EVENT_END)]
        self._rest = data[end + len(EVENT_END) :]
        if self._named is None:
            identified = self._identify(events)
            if isinstance(identified, Err):
                return identified
            events = identified.ok_value
        return self._count(events)

    def _identify(self, events: bytes) -> Result[bytes, Failure]:
        """Check the first event; return the events after it."""
        end = events.index(EVENT_END)
        try:
            first = json.loads(events[:end].removeprefix(b"data: "))
            found = (first["id"], first["adapter"], first["version"], first["offset"])
        except (ValueError, KeyError, TypeError):
            return Err(_wrong("the first event names no attempt"))
        required = self._expected.named
        self._begun = found[0] == self._expected.attempt_id
        if found != required:
            return Err(_wrong(f"the answer is of {found}, not of {required}"))
        self._named = found
        return Ok(events[end + len(EVENT_END) :])

    def _count(self, events: bytes) -> Result[bytes, Failure]:
        if not events:
            return Ok(b"")
        if self._done:
            return Err(_wrong("events after the end marker"))
        before = self._next_index
        tokens, marker = _split_marker(events)
        if tokens:
            counted = self._count_tokens(tokens)
            if isinstance(counted, Err):
                return counted
        if not marker:
            return Ok(tokens)
        ended = self._check_marker(marker)
        if ended is not None:
            # The tokens before a wrong marker are not forwarded either. If they were
            # counted, they would be missing from the resumed answer.
            self._next_index = before
            return Err(ended)
        return Ok(tokens)

    def _count_tokens(self, tokens: bytes) -> Result[None, Failure]:
        """Compare the first and last index with the number of events.

        This detects tokens doubled or lost in transit: with both ends and the count
        right, only two faults that cancel out go unnoticed.
        """
        count = tokens.count(EVENT_END)
        first = _INDEX.match(tokens)
        last_start = tokens.rfind(EVENT_END, 0, len(tokens) - len(EVENT_END))
        last_start = 0 if last_start < 0 else last_start + len(EVENT_END)
        last = _INDEX.match(tokens, last_start)
        if first is None or last is None:
            return Err(_wrong("an event that is no token"))
        required = (self._next_index, self._next_index + count - 1)
        found = (int(first[1]), int(last[1]))
        if found != required:
            return Err(_wrong(f"tokens {found} where {required} were due"))
        self._next_index += count
        return Ok(None)

    def _check_marker(self, marker: bytes) -> Failure | None:
        if marker.count(EVENT_END) != 1:
            return _wrong("events after the end marker")
        try:
            ended = json.loads(marker.removeprefix(b"data: "))
            whole = ended["done"] is True and ended["count"] == self._next_index
        except (ValueError, KeyError, TypeError):
            whole = False
        if not whole:
            return _wrong(f"an end marker that does not name {self._next_index}")
        self._done = True
        return None


def token_count(events: bytes) -> int:
    """Return how many whole token events there are."""
    return events.count(EVENT_END)


def token_texts(events: bytes) -> list[str]:
    """Return the texts of whole token events, for an answer that is not streamed."""
    texts = []
    for event in events.split(EVENT_END):
        if not event:
            continue
        texts.append(json.loads(event.removeprefix(b"data: "))["t"])
    return texts


def _split_marker(events: bytes) -> tuple[bytes, bytes]:
    # JSON escapes line ends, so this sequence can only be the start of an event.
    if events.startswith(DONE_START):
        return b"", events
    start = events.find(EVENT_END + DONE_START)
    if start < 0:
        return events, b""
    return events[: start + len(EVENT_END)], events[start + len(EVENT_END) :]


def _wrong(detail: str) -> Failure:
    return Failure(ErrorKind.WRONG_ANSWER, detail)
