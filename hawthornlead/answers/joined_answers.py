"""Detection of an answer that broke off and goes on as another one.

A target in trouble may stop in the middle of an answer and send the next one on the
same connection. An HTTP parser reads the two as one: the line that was cut takes up the
status line of the second, or the body of the first its bytes::

    HTTP/1.1 200 OHTTP/1.1 503 Service Unavailable
    Request-Id: 9c41

An answer begins with its status line. So wherever the first one is cut, a second status
line stands inside it.
"""

import re
from enum import Enum

from tornado.httputil import HTTPHeaders

STATUS_MARK = b"HTTP/1."
STATUS_LINE = re.compile(r"HTTP/1\.[01] [1-5][0-9][0-9]")
HEAD_END = b"\r\n\r\n"
# A status line with no end of its head within so many bytes begins no answer.
MAX_HEAD_BYTES = 1 << 14
_STATUS_LINE = rb"HTTP/1\.[01] [1-5][0-9][0-9][^\r\n]*\r\n"
_STATUS_LINE_AT_END = re.compile(_STATUS_LINE + rb"[^\s:]*\r?\Z")


class Joint(Enum):
    """Where a second answer begins inside the first one."""

    HEAD = "head"
    BODY = "body"


def is_joined_head(reason: str, headers: HTTPHeaders) -> bool:
    """Whether a head that was parsed as one contains a second status line."""
    if STATUS_LINE.search(reason):
        return True
    return any(STATUS_LINE.search(value) for _, value in headers.get_all())


class BodyScanner:
    """Searches a body, as it comes, for the head of another answer.

    A text may well quote a status line. So only a head that has the header ``named``
    counts, by which targets say whose answer it is::

        scanner = BodyScanner("Request-Id")
        joined = scanner.feed(b"half of the body HTTP/1.1 200 OK\\r\\nRequest-Id: 9c41")

    With ``named`` None each head counts: a status line, followed by a header or by the
    end of the head, or at the end of the body. That is for targets whose answers need
    not say whose they are.
    """

    def __init__(self, named: str | None):
        self._head = _compile_head(named)
        self._begun = _STATUS_LINE_AT_END if named is None else None
        # What may be the beginning of a head, or of its mark.
        self._kept = b""

    def feed(self, chunk: bytes) -> bool:
        """Whether the body so far contains the head of another answer."""
        self._kept += chunk
        at = self._kept.find(STATUS_MARK)
        while at >= 0:
            self._kept = self._kept[at:]
            if self._head.match(self._kept):
                return True
            if not self._is_complete():
                return False
            at = self._kept.find(STATUS_MARK, 1)
        self._kept = self._kept[1 - len(STATUS_MARK) :]
        return False

    def ends_inside(self, unread: bytes) -> bool:
        """Whether the head of another answer begins in the body and ends behind it.

        A body that was cut is filled up to its length by the first bytes of what comes
        next. ``unread`` is what was received after it.
        """
        received = self._kept + unread[:MAX_HEAD_BYTES]
        at = received.find(STATUS_MARK)
        while 0 <= at < len(self._kept):
            if self._head.match(received, at):
                return True
            if self._begun is not None and self._begun.match(received, at):
                return True
            at = received.find(STATUS_MARK, at + 1)
        return False

    def _is_complete(self) -> bool:
        """Whether no further bytes can make a head of what is kept."""
        return HEAD_END in self._kept or len(self._kept) > MAX_HEAD_BYTES


def _compile_head(named: str | None) -> re.Pattern[bytes]:
    if named is None:
        return re.compile(_STATUS_LINE + rb"(?:[^\s:]+:|\r\n)")
    header = rb"(?:[^\r\n:]+:[^\r\n]*\r\n)*?" + re.escape(named.encode()) + rb":"
    return re.compile(_STATUS_LINE + header, re.IGNORECASE)
