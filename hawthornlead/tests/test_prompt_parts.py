"""Tests of the prompt parts that a caller's header names."""

import pytest
from tornado.httputil import HTTPHeaders

from hawthornlead.platform.headers import (
    MAX_SHARED_PARTS,
    read_caller_request,
    read_shared_parts,
)


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("", ()),
        ("e440:250", ()),
        ("5c1e:800,91b:410,e440:250", ("5c1e", "91b")),
        (" 5C1E:800 , 091b:410,e440:250", ("5c1e", "91b")),
        ("5c1e:800,5C1E:800,e440:250", ("5c1e",)),
        ("5c1e:800,not hex:1,:7,e440:250", ("5c1e",)),
        ("000:1,e440:250", ("0",)),
        ("5c1e,91b,e440", ("5c1e", "91b")),
        (f"{'f' * 33}:1,e440:250", ()),
        ("5c1e:800,", ("5c1e",)),
    ],
)
def test_shared_parts_are_all_but_the_last_in_one_spelling(text, parts):
    assert read_shared_parts(text) == parts


def test_of_a_thousand_parts_the_last_shared_ones_are_kept():
    text = ",".join(f"{number:x}:1" for number in range(1, 1001))
    parts = read_shared_parts(text)
    assert len(parts) == MAX_SHARED_PARTS
    assert parts[-1] == f"{999:x}"


def test_a_request_without_the_header_has_no_parts():
    assert read_caller_request(HTTPHeaders()).shared_parts == ()
