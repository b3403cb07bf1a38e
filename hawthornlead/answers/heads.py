"""What the head of an answer may be: the one rule of all readers of answers.

Tornado's parser has checked the syntax before: a status of three digits, names that are
tokens, values without control bytes, at most one length. What it lets through and is no
answer all the same is found here::

    fault = find_fault(start_line, headers)
    if fault is not None:
        ...  # not an answer: it neither succeeded nor failed, nor promises anything
"""

from enum import Enum

from tornado.httputil import HTTPHeaders, ResponseStartLine

from .joined_answers import is_joined_head

# HTTP knows five classes of statuses (RFC 9110, 15).
STATUSES = range(100, 600)
SWITCHING_PROTOCOLS = 101


class Fault(Enum):
    """Why what was read is not an answer."""

    STATUS = "status"
    JOINED_HEAD = "joined_head"
    JOINED_BODY = "joined_body"

    @property
    def detail(self) -> str:
        """The fault in words."""
        return _DETAILS[self]


_DETAILS = {
    Fault.STATUS: "its status is invalid",
    Fault.JOINED_HEAD: "another response begins inside its head",
    Fault.JOINED_BODY: "another response begins inside its body",
}


def find_fault(start_line: ResponseStartLine, headers: HTTPHeaders) -> Fault | None:
    """Return why a head that was parsed is not one of an answer, None if it is.

    No request asks for another protocol, so what follows a switch is no HTTP.
    """
    if start_line.code not in STATUSES or start_line.code == SWITCHING_PROTOCOLS:
        return Fault.STATUS
    if is_joined_head(start_line.reason, headers):
        return Fault.JOINED_HEAD
    return None
