"""What a target sends for one request: the bytes, and what becomes of them.

A response is drawn with a length, in chunks or without either. A ``Plan`` says where it
is cut, what follows there, and whether a copy of it is sent::

    response = make_response(200, headers, [body], "length")
    plan = faults.draw(rng, response)
"""

import random
from itertools import accumulate
from typing import NamedTuple

from .messages import chunk, head_bytes

FRAMINGS = ("length", "length", "chunked", "close")
# What follows where a response is cut.
AFTER_CUT = ("close", "reset", "silent", "joined", "joined")


class Response(NamedTuple):
    """The whole bytes of a response, in the pieces in which they are sent.

    Each piece of a ``stream`` ends with an event.
    """

    status: int
    pieces: list[bytes]
    framing: str
    head_size: int
    stream: bool = False

    @property
    def data(self) -> bytes:
        """All bytes."""
        return b"".join(self.pieces)

    def may_close_at(self, cut: int) -> bool:
        """Whether a close after so many bytes shows that the response isn't whole."""
        if self.framing != "close" or cut < self.head_size:
            return True
        return self.stream and cut not in accumulate(map(len, self.pieces))


class Plan(NamedTuple):
    """Where a response is cut, and what comes besides.

    ``cut`` is the number of bytes that are sent, None for all; ``after`` is what
    follows there. ``copy`` is ``once`` or ``late`` (ahead of the next response on the
    connection) if it is sent again, of which ``copy_cut`` bytes, None for all, and
    without its id unless ``copy_named``.
    """

    cut: int | None = None
    after: str = ""
    copy: str = ""
    copy_cut: int | None = None
    copy_named: bool = True

    @property
    def words(self) -> str:
        """What is going to be sent."""
        if self.cut is not None:
            return f"cut after {self.cut} bytes, then {self.after}"
        if not self.copy:
            return "sent whole"
        size = "whole" if self.copy_cut is None else f"cut after {self.copy_cut} bytes"
        named = "" if self.copy_named else " without its id"
        return f"sent whole, a copy{named} {self.copy}, {size}"


class Faults:
    """How often a target cuts and repeats its responses, as shares from 0 to 1."""

    def __init__(self):
        self.cut = 0.0
        self.copy = 0.0

    def draw(self, rng: random.Random, response: Response) -> Plan:
        """Draw what becomes of a response."""
        if rng.random() < self.cut:
            return _draw_cut(rng, response)
        if rng.random() < self.copy:
            size = len(response.data)
            copy_cut = rng.randrange(1, size) if rng.random() < 0.6 else None
            copy = rng.choice(("once", "late", "late"))
            return Plan(None, "", copy, copy_cut, rng.random() < 0.8)
        return Plan()


def _draw_cut(rng: random.Random, response: Response) -> Plan:
    size = len(response.data)
    # Half of the cuts are in the head, which is the shorter part.
    end = response.head_size if rng.random() < 0.5 else size
    cut = rng.randrange(1, end)
    after = rng.choice(AFTER_CUT)
    if after == "close" and not response.may_close_at(cut):
        after = "reset"
    return Plan(cut, after)


def make_response(
    status: int,
    headers: list[tuple[str, str]],
    parts: list[bytes],
    framing: str,
    stream: bool = False,
) -> Response:
    """Return a response whose body is sent in ``parts``, the events of a stream."""
    headers = list(headers)
    if framing == "length":
        headers.append(("Content-Length", str(sum(len(part) for part in parts))))
    elif framing == "chunked":
        headers.append(("Transfer-Encoding", "chunked"))
    else:
        headers.append(("Connection", "close"))
    head = head_bytes(status, headers)
    pieces = [chunk(part) if framing == "chunked" else part for part in parts]
    pieces[0] = head + pieces[0]
    if framing == "chunked":
        pieces[-1] += b"0\r\n\r\n"
    return Response(status, pieces, framing, len(head), stream)


def without_id(data: bytes) -> bytes:
    """Return the bytes of a response without its header ``Request-Id``."""
    head, mark, body = data.partition(b"\r\n\r\n")
    lines = [
        line for line in head.split(b"\r\n") if not line.lower().startswith(b"request-")
    ]
    return b"\r\n".join(lines) + mark + body
