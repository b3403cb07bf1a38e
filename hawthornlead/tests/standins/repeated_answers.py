"""Answers of a stand-in that come a second time, late, on the same connection."""

from random import Random
from weakref import WeakKeyDictionary

from tornado import httputil

from hawthornlead.gateway.caller_calls import CallerCall

ID = "Request-Id"


def with_id_at(headers: httputil.HTTPHeaders, place: int) -> httputil.HTTPHeaders:
    """Return headers with that of the request's id after ``place`` others."""
    others = [each for each in headers.get_all() if each[0] != ID]
    ids = [each for each in headers.get_all() if each[0] == ID]
    placed = httputil.HTTPHeaders()
    for name, value in others[:place] + ids + others[place:]:
        placed.add(name, value)
    return placed


def whole_answer(status: int, headers: httputil.HTTPHeaders, body: bytes) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} OK"]
    lines += [f"{name}: {value}" for name, value in headers.get_all()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class RepeatedAnswers:
    """Sends each answer with a status of ``least`` or more again, 0 for none.

    The copy comes late: right after the next request on its connection. Only its first
    ``cut`` bytes are sent, None for all, with the id after ``id_place`` other headers.
    With an ``rng`` each copy has both drawn, and every third is whole::

        repeats = RepeatedAnswers()
        repeats.least = 400
        repeats.watch(call)
        call.answer(503, "OK", headers, b"")
    """

    def __init__(self):
        self.least = 0
        self.cut: int | None = None
        self.id_place = 0
        self.rng: Random | None = None
        self.sent = 0
        self._due: WeakKeyDictionary = WeakKeyDictionary()

    def watch(self, call: CallerCall) -> None:
        """Send the copy that is due on a call's connection, and keep its answer."""
        stream = call._connection.stream
        copy = self._due.pop(stream, None)
        if copy is not None and not stream.closed():
            self.sent += 1
            stream.write(copy[: self._cut(copy)])
        answer = call.answer

        def answer_and_keep(status, reason, headers, body):
            self.keep(call, status, headers, body)
            answer(status, reason, headers, body)

        call.answer = answer_and_keep

    def _cut(self, copy: bytes) -> int | None:
        if self.rng is None:
            return self.cut
        return self.rng.choice((None, *[self.rng.randrange(len(copy))] * 2))

    def keep(self, call: CallerCall, status: int, headers, body: bytes) -> None:
        """Keep an answer for its copy."""
        if 0 < self.least <= status:
            place = self.rng.randrange(5) if self.rng else self.id_place
            copied = with_id_at(headers, place)
            self._due[call._connection.stream] = whole_answer(status, copied, body)
