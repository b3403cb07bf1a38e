"""Tests of the search for another answer inside a body."""

import pytest
from tornado.httputil import HTTPHeaders

from hawthornlead.answers.joined_answers import BodyScanner, is_joined_head

NAMED = "Request-Id"
ANSWER = b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nrequest-id: 9c41\r\n\r\nthe body"
TEXT = b"Ask by HTTP/1.1; you get HTTP/1.1 200 OK\r\nand headers\r\n\r\nHTTP/1."


def search(body: bytes, size: int, named: str | None = NAMED) -> bool:
    """Whether the head of another answer is found in a body that comes in chunks."""
    scanner = BodyScanner(named)
    found = [scanner.feed(body[at : at + size]) for at in range(0, len(body), size)]
    return any(found)


@pytest.mark.parametrize("size", [1, 2, 3, 7, 20, 1000])
def test_another_answer_is_found_however_it_is_split(size):
    """Guards against a joined answer that is missed at the boundary of two chunks."""
    assert search(b"half a body" + ANSWER, size)
    assert search(TEXT + ANSWER, size)
    assert search(ANSWER[:30] + ANSWER, size)


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_a_text_about_answers_is_none(size):
    """Guards against answers that are broken off because they quote a status line."""
    assert not search(TEXT * 400, size)
    assert not search(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" * 9, size)
    assert not search(b"data: HTTP/1.1 200 OK\ndata: Request-Id: 9c41\n\n" * 9, size)


@pytest.mark.parametrize("size", [1, 2, 3, 7, 20, 1000])
def test_an_answer_that_names_nobody_is_found(size):
    """Guards against a joined answer of a target that names no request."""
    assert search(b"half a body HTTP/1.1 500 No\r\nServer: s", size, None)
    assert search(b"half a body HTTP/1.1 502 No\r\n\r\n", size, None)
    assert not search(b"you get HTTP/1.1 200 OK\r\nand headers: 2" * 9, size, None)


def test_a_long_line_after_a_status_line_is_not_kept():
    """Guards against memory spent on a body that never ends what looks like a head."""
    scanner = BodyScanner(NAMED)
    scanner.feed(b"HTTP/1.1 200 OK\r\nX: ")
    for _ in range(100):
        scanner.feed(b"x" * 1000)
    assert len(scanner._kept) < 20_000


def test_a_status_line_in_a_head_is_found():
    """Guards against a head that is made of two."""
    assert is_joined_head("OHTTP/1.1 503 Service Unavailable", HTTPHeaders())
    assert is_joined_head("OK", HTTPHeaders({"Server-Seal": "3e1HTTP/1.0 200 OK"}))
    assert not is_joined_head("OK", HTTPHeaders({"Via": "1.1 HTTP/1.1-proxy"}))
