"""Tests of operators' signatures."""

import pytest

from hawthornlead.errors import ErrorKind
from hawthornlead.signatures import (
    OperatorKeys,
    Purpose,
    Statement,
    check_operators,
    generate_key,
    private_text,
    public_text,
    read_private,
    read_signed,
    sign,
    sign_request,
)

ANNA, BERTA = generate_key(), generate_key()
KEYS = OperatorKeys({"anna": public_text(ANNA), "berta": public_text(BERTA)})


def _prepared(key=ANNA, operator="anna"):
    return sign(key, Statement("prepare", operator, "d1"))


def _approved(key=BERTA, operator="berta"):
    return sign(key, Statement("approve", operator, "d1"))


def test_a_statement_survives_the_store():
    order = Statement("roll", "anna", "d1", "order-1", 3, ("vm-1",))
    signed = read_signed(sign(ANNA, order).document()).unwrap()
    assert KEYS.verify(signed, Purpose.ROLL, "d1").unwrap() == order


@pytest.mark.parametrize(
    "altered",
    [
        {"digest": "d2"},
        {"operator": "berta"},
        {"operator": "carla"},
        {"expected_seq": 4},
        {"order_id": "order-2"},
        {"waived": ("vm-1",)},
        {"purpose": "retire"},
    ],
)
def test_any_altered_field_is_refused(altered):
    signed = sign(ANNA, Statement("roll", "anna", "d1", "order-1", 3))
    forged = signed._replace(statement=signed.statement._replace(**altered))
    answer = KEYS.verify(forged, Purpose.ROLL)
    assert answer.unwrap_err().kind is ErrorKind.BAD_SIGNATURE


def test_release_needs_two_different_operators():
    assert KEYS.verify_release(_prepared(), _approved(), "d1").is_ok()
    refused = [
        KEYS.verify_release(_prepared(), _approved(), "d2"),
        KEYS.verify_release(_approved(), _approved(), "d1"),
        KEYS.verify_release(_prepared(), _approved(ANNA, "anna"), "d1"),
    ]
    both = OperatorKeys({"anna": public_text(ANNA), "berta": public_text(ANNA)})
    refused.append(both.verify_release(_prepared(), _approved(ANNA), "d1"))
    for answer in refused:
        assert answer.unwrap_err().kind is ErrorKind.BAD_SIGNATURE


def test_a_request_is_bound_to_its_content():
    request = sign_request(ANNA, "anna", "POST", "/operator/roll", "hash", 100, "o1")
    assert KEYS.verify_request(request).unwrap() == "anna"
    for field in ("method", "path", "body_sha256", "order_id"):
        forged = request._replace(**{field: "x"})
        assert KEYS.verify_request(forged).is_err()
    assert KEYS.verify_request(request._replace(time_s=101)).is_err()


@pytest.mark.parametrize(
    "document",
    [
        None,
        {},
        {"statement": {"purpose": "roll"}, "signature": ""},
        {"statement": _prepared().document()["statement"], "signature": "!"},
        {"statement": {**Statement("a", "b", "c", "", "x")._asdict()}, "signature": ""},
    ],
)
def test_malformed_statements_are_refused(document):
    assert read_signed(document).unwrap_err().kind is ErrorKind.BAD_SIGNATURE


def test_keys_as_text():
    assert public_text(read_private(private_text(ANNA)).unwrap()) == public_text(ANNA)
    assert read_private("short").is_err()
    assert check_operators({"a": public_text(ANNA), "b": "x"}) == [
        "b: a public key is 32 bytes in base64"
    ]
