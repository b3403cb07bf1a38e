"""Reading of one answer: whose it is, and that it is one.

A connection gives the reader to Tornado's parser, and the reader gives what belongs to
its request to a sink::

    reader = AnswerReader("9c41", "POST", sink, give_up=stream.close)
    await connection.read_response(reader)
    reader.check_end(unread)
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from tornado import httputil

from ..platform.headers import AnswerMetadata, read_answer_metadata
from .framing import is_framed
from .heads import Fault, find_fault
from .joined_answers import BodyScanner


class Head(NamedTuple):
    """The head of an answer; ``framed`` if its end is known without a close."""

    status: int
    reason: str
    headers: httputil.HTTPHeaders
    signs: AnswerMetadata
    framed: bool

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300


class AnswerSink(Protocol):
    """Receives an answer while it is read."""

    def handle_head(self, head: Head) -> None:
        """Handle the head."""

    def handle_data(self, chunk: bytes) -> bool | None:
        """Handle the next chunk of the body; return False to end the reading."""


class AnswerReader(httputil.HTTPMessageDelegate):
    """Reads one answer; ``stray`` if it belongs to another request.

    ``fault`` is why what was read is no answer, None if it is one. What is no answer to
    its request ends the reading by ``give_up``.
    """

    def __init__(
        self,
        request_id: str,
        method: str,
        sink: AnswerSink,
        give_up: Callable[[], None],
    ):
        self._request_id = request_id
        self._method = method
        self._sink = sink
        self._give_up = give_up
        self._scanner = BodyScanner()
        self.stray = False
        self.fault: Fault | None = None
        self.head: Head | None = None
        self.finished = False

    @property
    def open_ended(self) -> bool:
        """Whether what follows may show that the body ends within another answer."""
        return self.fault is None and self._scanner.open

    def headers_received(self, start_line, headers):
        """Decide whose answer this is."""
        fault = find_fault(start_line, headers)
        if fault is not None:
            self._reject(fault)
            return
        if 100 <= start_line.code < 200:
            return
        signs = read_answer_metadata(start_line.code, headers)
        framed = is_framed(start_line.code, headers, self._method)
        if signs.request_id != self._request_id and (
            signs.request_id or start_line.code < 300
        ):
            # A target may send an answer twice, or late in place of the next one.
            # Without this check a caller would get another caller's answer, and an
            # order, which has no id, that of a request.
            self.stray = True
            if not framed:
                # It lasts as long as the connection, so that no other answer follows.
                self._give_up()
            return
        code = start_line.code
        self.head = Head(code, start_line.reason or "", headers, signs, framed)
        self._sink.handle_head(self.head)

    def data_received(self, chunk):
        """Pass on a chunk of the request's own answer."""
        if self.fault is not None:
            return
        if self._scanner.feed(chunk):
            self._reject(Fault.JOINED_BODY)
            return
        if not self.stray and self._sink.handle_data(chunk) is False:
            self._give_up()

    def finish(self):
        """Record the end of the answer."""
        self.finished = not self.stray and self.fault is None

    def check_end(self, unread: bytes) -> None:
        """Check, once the answer was read, that it ends before what follows it."""
        if self.fault is None and self._scanner.ends_inside(unread):
            self._reject(Fault.JOINED_BODY)
            self.finished = False

    def may_end_joined(self, unread: bytes) -> bool:
        """Whether what is still to come may show that the body ends inside a head."""
        if not self.finished or "Content-Length" not in self.head.headers:
            return False
        return self._scanner.may_end_inside(unread)

    def release(self) -> None:
        """Let go of the sink and the connection, once nothing more is read.

        An exchange holds its reader, and ``give_up`` the exchange. Without this the
        bytes of each answer would stay until the next collection of such cycles.
        """
        self._sink = self._give_up = None

    def _reject(self, fault: Fault) -> None:
        self.fault = fault
        self._give_up()
