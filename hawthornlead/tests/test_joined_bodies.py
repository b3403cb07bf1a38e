"""Tests of the search for another answer inside a body."""

import pytest
from tornado.httputil import HTTPHeaders

from hawthornlead.answers.joined_answers import (
    MAX_START_BYTES,
    BodyScanner,
    is_joined_head,
)

ANSWER = b"HTTP/1.1 500 Some Reason\r\nContent-Length: 8\r\n\r\nthe body"
TEXT = b"Ask by HTTP/1.1; you get HTTP/1.1 200 OK\r\nand headers\r\n\r\nHTTP/1."
EVENT = b"data: HTTP/1.1 200 OK\ndata: Request-Id: 9c41\n\n"
LOG = b'GET /i HTTP/1.1" 200 1\n'


def search(body: bytes, size: int) -> bool:
    """Whether the head of another answer is found in a body that comes in chunks."""
    scanner = BodyScanner()
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
    assert not search(EVENT * 9, size)
    assert not search(LOG * 9, size)


@pytest.mark.parametrize("text", [b"HTTP/1.", b"HTTP/1.1 200 OK: x", LOG, EVENT])
def test_a_body_full_of_status_lines_is_searched_once(text):
    """Guards against a search that takes the square of a body's length."""
    scanner = BodyScanner()
    body = text * (4_000_000 // len(text))
    for at in range(0, len(body), 1 << 16):
        assert not scanner.feed(body[at : at + (1 << 16)])
        assert len(scanner._tail) <= MAX_START_BYTES


def test_a_body_that_may_hold_answers_holds_none_that_is_named():
    """Guards against recorded answers that are refused, and joined ones that aren't."""
    assert not BodyScanner("Request-Id").feed(ANSWER * 3)
    named = ANSWER.replace(b"\r\n\r\n", b"\r\nrequest-id: 9c41\r\n\r\n")
    assert BodyScanner("Request-Id").feed(ANSWER + named)


def test_a_body_that_ends_within_another_head_is_found():
    """Guards against a body that the first bytes of another answer fill up."""
    line = ANSWER.index(b"\n") + 1
    for length in range(1, ANSWER.index(b"\r\n\r\n")):
        scanner = BodyScanner()
        found = scanner.feed(b"half a body" + ANSWER[:length])
        assert found or scanner.ends_inside(ANSWER[length:])
        if length >= line:
            assert found or scanner.ends_inside(b"")
    scanner = BodyScanner()
    assert not scanner.feed(TEXT)
    assert not scanner.ends_inside(b"more bytes")
    assert not scanner.ends_inside(ANSWER)


def test_a_status_line_in_a_head_is_found():
    """Guards against a head that is made of two."""
    assert is_joined_head("OHTTP/1.1 503 Service Unavailable", HTTPHeaders())
    assert is_joined_head("OK", HTTPHeaders({"Server-Seal": "3e1HTTP/1.0 200 OK"}))
    assert not is_joined_head(None, HTTPHeaders())
    assert not is_joined_head("OK", HTTPHeaders({"Via": "1.1 HTTP/1.1-proxy"}))
