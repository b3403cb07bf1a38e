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

from tornado.httputil import HTTPHeaders

MARK = b"HTTP/1."
STATUS_LINE = re.compile(r"HTTP/1\.[0-9] [0-9]{3}")
REQUEST_LINE_END = re.compile(r"[A-Z]{3,} /\S* HTTP/1\.[0-9]$")
# No status line and first header's name together are longer. The bounds also keep the
# search linear in the length of the body.
MAX_START_BYTES = 400
MAX_NAMED_HEAD_BYTES = 1 << 13
_STATUS_LINE = rb"HTTP/1\.[0-9] [0-9]{3}[^\r\n]{0,256}\r\n"
_NAME = rb"[-!#$%&'*+.^_`|~0-9A-Za-z]"
# A text that quotes a status line has no header behind it, and no CR before its line
# feeds in an event stream.
_HEAD_START = re.compile(_STATUS_LINE + rb"(?:" + _NAME + rb"{1,64}:|\r\n)")
_UNFINISHED_START = re.compile(_STATUS_LINE + _NAME + rb"{0,64}\Z")
HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 1 << 14
# A body that ends in so much of a status line may end inside another answer. A shorter
# end, such as a single letter, is common in texts.
LEAST_MARK = b"HTTP"
SHORTEST_LINE = b"HTTP/1.1 200"
MAX_REASON_BYTES = 80


def is_joined_head(reason: str | None, headers: HTTPHeaders) -> bool:
    """Whether the head of an answer, parsed as one, contains a second status line.

    The ``reason`` is None where the first one has none, which HTTP allows.
    """
    if reason and STATUS_LINE.search(reason):
        return True
    return any(STATUS_LINE.search(value) for _, value in headers.get_all())


def is_joined_request(headers: HTTPHeaders) -> bool:
    """Whether the head of a request contains the first line of a second one."""
    return any(REQUEST_LINE_END.search(value) for _, value in headers.get_all())


class BodyScanner:
    """Searches a body, as it comes, for the beginning of another answer.

    That is a status line and the name of a header, or an empty line. The time is linear
    in the length of the body, and at most ``MAX_START_BYTES`` are kept. In a body that
    may hold whole answers, only a head with the header ``named`` counts::

        scanner = BodyScanner()
        joined = scanner.feed(b"half of the body HTTP/1.1 200 OK\\r\\nServer: x\\r\\n")
    """

    def __init__(self, named: str | None = None):
        self._start = _HEAD_START if named is None else _head_with(named)
        self._unfinished = _UNFINISHED_START if named is None else None
        self._most_kept = MAX_START_BYTES if named is None else MAX_NAMED_HEAD_BYTES
        # The end of the body so far, in which another answer may begin.
        self._tail = b""

    @property
    def open(self) -> bool:
        """Whether the body so far may end within the head of another answer."""
        if self._tail.startswith(MARK):
            return True
        return any(self._tail.endswith(MARK[:n]) for n in range(1, len(MARK)))

    def feed(self, chunk: bytes) -> bool:
        """Whether another answer begins in the body so far."""
        data = self._tail + chunk if self._tail else chunk
        at = data.find(MARK)
        if at >= 0 and self._start.search(data, at):
            return True
        at = data.find(MARK, max(0, len(data) - self._most_kept))
        self._tail = data[at:] if at >= 0 else data[1 - len(MARK) :]
        return False

    def ends_inside(self, unread: bytes) -> bool:
        """Whether another answer begins in the body, which ends within its head.

        A body that was cut is filled up to its length by the first bytes of what comes
        next. ``unread`` is what was received behind it.
        """
        found = self._start.search(self._tail + unread[: self._most_kept])
        if found is not None and found.start() < len(self._tail):
            return True
        return bool(self._unfinished and self._unfinished.search(self._tail))

    def may_end_inside(self, unread: bytes) -> bool:
        """Whether bytes after ``unread`` could show that the body ends inside a head.

        What comes next may arrive in parts, and the first part may end with the body.
        """
        received = self._tail + unread
        at = received.find(LEAST_MARK)
        while 0 <= at < len(self._tail):
            if _is_begun_head(received[at:]):
                return True
            at = received.find(LEAST_MARK, at + 1)
        return False


def _head_with(name: str) -> re.Pattern:
    """Return the pattern of a head up to the name of one of its headers."""
    header = _NAME + rb"{1,64}:[^\r\n]{0,512}\r\n"
    named = b"(?i:" + re.escape(name.encode()) + b"):"
    return re.compile(_STATUS_LINE + b"(?:" + header + b"){0,32}?" + named)


def _is_begun_head(begun: bytes) -> bool:
    """Whether bytes are the beginning of a head, with none of its body."""
    start = begun + SHORTEST_LINE[len(begun) :]
    if not STATUS_LINE.match(start.decode("latin1")):
        return False
    reason, *lines = start[len(SHORTEST_LINE) :].split(b"\r\n")
    if len(reason) > MAX_REASON_BYTES or b"\n" in begun.replace(b"\r\n", b""):
        return False
    return len(begun) <= MAX_HEAD_BYTES and all(b":" in line for line in lines[:-1])
