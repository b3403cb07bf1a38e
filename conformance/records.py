"""Typed records of a run: what was sent, arrived, ran, was answered and received.

All times are seconds of one monotonic clock. Digests are the first half of a SHA-256 in
hexadecimal. A history is a file with one record a line::

    history = History()
    history.add(Run(at=1.5, arrival=7))
    history.save(Path("seed-1.jsonl"))
"""

import hashlib
import json
from pathlib import Path
from typing import NamedTuple

# The headers of a request that reach the target unchanged.
FIXED_HEADERS = ("Model", "Token-Usage", "Prompt-Prefix")


def digest(data: bytes) -> str:
    """Return the digest of some bytes."""
    return hashlib.sha256(data).hexdigest()[:32]


class RouteRule(NamedTuple):
    """One route of the configuration in force.

    ``repeatable`` requests may run more than once, ``resumable`` streams may go on at
    another target.
    """

    at: float
    prefix: str
    services: list[str]
    streaming: bool
    repeatable: bool
    resumable: bool


class Sent(NamedTuple):
    """A caller sent a request to a VM.

    ``first`` is the request that began the stream which this one takes up after its
    event ``after``, empty if it takes up none.
    """

    at: float
    request: str
    connection: str
    vm: str
    version: str
    method: str
    path: str
    headers: list[str]
    body: str
    first: str = ""
    after: int = 0


class Arrival(NamedTuple):
    """A request reached a target; ``arrival`` is its number in this run.

    ``expected`` is the target that the request names as its own.
    """

    at: float
    arrival: int
    target: str
    service: str
    software: str
    connection: str
    request: str
    method: str
    path: str
    headers: list[str]
    body: str
    expected: str = ""


class Run(NamedTuple):
    """The target began to run a request."""

    at: float
    arrival: int


class Answer(NamedTuple):
    """The response that a target has for a request, before any of it is sent.

    ``events`` are the digests of a stream's events, of which the first has the number
    ``number``. ``plan`` says what of it the target is going to send.
    """

    at: float
    arrival: int
    status: int
    seal: str
    body: str
    size: int
    framing: str
    plan: str
    events: list[str] = []
    number: int = 1

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300

    @property
    def last(self) -> int:
        """The number of the last event, 0 if it is no stream."""
        return self.number + len(self.events) - 1 if self.events else 0


class AnswerEnd(NamedTuple):
    """The target stopped sending a response: ``sent`` of its ``size`` bytes."""

    at: float
    arrival: int
    sent: int
    size: int
    how: str


class Extra(NamedTuple):
    """A target sent bytes for which no request asked: copies, or parts of them.

    ``arrival`` is the request that the connection carried then, 0 if none.
    """

    at: float
    connection: str
    arrival: int
    what: str


class Received(NamedTuple):
    """What a caller got for a request, to the end of the response or connection.

    ``status`` is 0 if no head came. ``complete`` says whether the framing shows a whole
    response; without a length or chunks, that is a close without a reset. ``events``
    are pairs of number and digest, and ``tail`` counts the bytes after the last one.
    """

    at: float
    request: str
    connection: str
    status: int
    seal: str
    names: str
    framing: str
    complete: bool
    body: str
    size: int
    events: list[list] = []
    tail: int = 0

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300


class Unsolicited(NamedTuple):
    """Bytes came on a caller's connection on which no request was waiting."""

    at: float
    connection: str
    request: str
    start: str


class Leaving(NamedTuple):
    """The store accepted that a target leaves, or removed its entry."""

    at: float
    target: str
    how: str


class Trouble(NamedTuple):
    """A disturbance from ``at`` to ``until``.

    ``kind`` is ``vm``, ``store`` (of the VM that is the subject) or ``target``.
    """

    at: float
    until: float
    kind: str
    subject: str
    what: str


KINDS = {
    kind.__name__: kind
    for kind in (
        RouteRule,
        Sent,
        Arrival,
        Run,
        Answer,
        AnswerEnd,
        Extra,
        Received,
        Unsolicited,
        Leaving,
        Trouble,
    )
}


class History:
    """All records of one run, in the order in which they were made."""

    def __init__(self, records=()):
        self._records = list(records)

    def __iter__(self):
        return iter(self._records)

    def add(self, record) -> None:
        """Append a record."""
        self._records.append(record)

    def of(self, kind: type) -> list:
        """Return the records of one kind."""
        return [each for each in self._records if type(each) is kind]

    def save(self, path: Path) -> None:
        """Write one record a line."""
        lines = [
            json.dumps([type(each).__name__, *each], separators=(",", ":"))
            for each in self._records
        ]
        path.write_text("\n".join(lines) + "\n")

    @classmethod
    def load(cls, path: Path) -> "History":
        """Read what ``save`` wrote."""
        records = []
        for line in path.read_text().splitlines():
            name, *values = json.loads(line)
            records.append(KINDS[name](*values))
        return cls(records)
