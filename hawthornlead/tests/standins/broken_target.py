"""A stand-in of a target in trouble, whose answers have invalid heads.

It is healthy when probed, and answers each request with ``answer`` on a connection that
stays open; ``%s`` in it is the request's id::

    target = BrokenTarget("p9", "plain")
    target.answer = broken_answer(0, "")
"""

from .endless_target import EndlessTarget

BODY = b"id: 1\ndata: x\n\n"
# Statuses that HTTP doesn't know.
NO_STATUSES = (b"000", b"001", b"099", b"600", b"999")
SWITCH = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
# Lines of a head whose names hold a blank or a control byte, or are no name.
NO_FIELDS = (
    b"Bad Name: x",
    b"Bad : x",
    b"Bad\t: x",
    b" Bad: x",
    b"\tBad: x",
    b"Bad\0: x",
    b"Bad\x01: x",
    b"Bad\x0b: x",
    b"Bad\x1f: x",
    b"Bad\x7f: x",
    b"Bad\r: x",
    b"B\xe9d: x",
    b": x",
    b"Bad",
)


def broken_answer(status: bytes = b"200", field: bytes = b"X-Own: y") -> bytes:
    """Return an answer with the given status and one more line in its head."""
    lines = (
        b"HTTP/1.1 %s OK" % status,
        b"Request-Id: %s",
        field,
        b"Server-Seal: broken",
        b"Content-Type: text/event-stream",
        b"Content-Length: %d" % len(BODY),
    )
    return b"\r\n".join(lines) + b"\r\n\r\n" + BODY


BROKEN_ANSWERS = {
    "switch": SWITCH,
    **{f"status {status.decode()}": broken_answer(status) for status in NO_STATUSES},
    **{f"field {field!r}": broken_answer(field=field) for field in NO_FIELDS},
}


def with_no_status(answer: bytes, pick: int) -> bytes:
    """Return an answer whose status is one that HTTP doesn't know."""
    version, _, rest = answer.split(b" ", 2)
    return b" ".join((version, NO_STATUSES[pick % len(NO_STATUSES)], rest))


def with_no_field(answer: bytes, pick: int) -> bytes:
    """Return an answer with a line in its head that is no field."""
    start, _, rest = answer.partition(b"\r\n")
    return b"\r\n".join((start, NO_FIELDS[pick % len(NO_FIELDS)], rest))


class BrokenTarget(EndlessTarget):
    """A target whose answers to requests are broken."""

    def __init__(self, target: str, service: str, model: str = ""):
        super().__init__(target, service, "", model)
        self.answer = b""

    async def _answer_endlessly(self, request_id: bytes, writer) -> None:
        self.begun += 1
        await self.may_answer.wait()
        writer.write(self.answer.replace(b"%s", request_id))
        await writer.drain()
