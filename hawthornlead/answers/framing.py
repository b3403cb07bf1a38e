"""How the end of an answer is known: by its head, or only by its connection's close.

An answer with neither a length nor chunks ends with its connection. If that was reset,
the rest of the answer is lost, and it must not count as complete::

    if not is_framed(404, headers) and stream.error is not None:
        ...
"""

from tornado.httputil import HTTPHeaders

# Answers with these statuses have no body and end with their head (RFC 9112, 6.3).
BODILESS_STATUSES = frozenset((204, 304))


def has_body(status: int, method: str) -> bool:
    """Whether an answer to ``method`` has a body, which may be empty."""
    return method != "HEAD" and status not in BODILESS_STATUSES


def is_framed(status: int, headers: HTTPHeaders, method: str = "GET") -> bool:
    """Whether the end of an answer to ``method`` is known without a close."""
    if not has_body(status, method):
        return True
    return "Content-Length" in headers or "Transfer-Encoding" in headers
