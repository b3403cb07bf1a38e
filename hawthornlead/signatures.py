"""Ed25519 signatures of operators over what they prepare, approve and order.

A ``Statement`` says what an operator orders. The signature covers its canonical JSON,
so no field can be moved into another statement. Public keys are in the settings under
``[operators]``; private keys stay with the operators::

    key = generate_key()
    signed = sign(key, Statement(Purpose.PREPARE.value, "anna", digest))
    keys = OperatorKeys({"anna": public_text(key)})
    keys.verify(signed, Purpose.PREPARE).unwrap()
"""

import base64
import binascii
from collections.abc import Mapping
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from result import Err, Ok, Result

from .errors import ErrorKind, Failure
from .hashes import canonical

# Prefixes of the signed bytes, so that a signature made for another program with the
# same key is not valid here.
DOMAIN = b"hawthornlead statement 1\n"
REQUEST_DOMAIN = b"hawthornlead request 1\n"


class Purpose(Enum):
    """What a statement is for."""

    PREPARE = "prepare"
    APPROVE = "approve"
    ROLL = "roll"
    RETIRE = "retire"
    WAIVE = "waive"


class Statement(NamedTuple):
    """What an operator signs.

    ``digest`` names the bundle. ``expected_seq`` is the sequence number that was in
    force when the operator ordered a roll. If two operators order at once, both name
    the same number and only the first roll matches it. ``order_id`` makes an order
    unique, so that it can't be executed twice. ``waived`` names the VMs and data
    centres whose acknowledgement a roll does not need.
    """

    purpose: str
    operator: str
    digest: str
    order_id: str = ""
    expected_seq: int = 0
    waived: tuple[str, ...] = ()


class SignedStatement(NamedTuple):
    """A statement and its signature."""

    statement: Statement
    signature: bytes

    def document(self) -> dict[str, Any]:
        """Return the statement as JSON values, in the form of the store."""
        fields = self.statement._asdict()
        fields["waived"] = list(self.statement.waived)
        return {"statement": fields, "signature": _text(self.signature)}


class SignedRequest(NamedTuple):
    """What an operator signs of one HTTP request, and the signature.

    ``time_s`` is in whole seconds since the epoch by the operator's clock.
    """

    operator: str
    method: str
    path: str
    body_sha256: str
    time_s: int
    order_id: str
    signature: bytes


def generate_key() -> Ed25519PrivateKey:
    """Generate a new private key."""
    return Ed25519PrivateKey.generate()


def private_text(key: Ed25519PrivateKey) -> str:
    """Return a private key as text for ``read_private``."""
    return _text(key.private_bytes_raw())


def public_text(key: Ed25519PrivateKey) -> str:
    """Return the public key of a private key as text, for the settings."""
    return _text(key.public_key().public_bytes_raw())


def read_private(text: str) -> Result[Ed25519PrivateKey, Failure]:
    """Decode a private key from its text."""
    try:
        raw = base64.b64decode(text.strip(), validate=True)
        return Ok(Ed25519PrivateKey.from_private_bytes(raw))
    except (ValueError, binascii.Error):
        return _refused("the private key is not 32 bytes in base64")


def read_private_file(path: str) -> Result[Ed25519PrivateKey, Failure]:
    """Read a private key from a file that ``keys new`` wrote."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        return _refused(f"{path}: {error.strerror}")
    except UnicodeDecodeError:
        text = ""
    return read_private(text).map_err(
        lambda failure: failure._replace(detail=f"{path}: {failure.detail}")
    )


def sign(key: Ed25519PrivateKey, statement: Statement) -> SignedStatement:
    """Sign a statement."""
    return SignedStatement(statement, key.sign(_statement_bytes(statement)))


def read_signed(document: Any) -> Result[SignedStatement, Failure]:
    """Decode a signed statement from JSON values, without a check of the signature."""
    try:
        fields = dict(document["statement"])
        fields["waived"] = tuple(str(name) for name in fields.get("waived", ()))
        statement = Statement(**fields)
        signature = base64.b64decode(document["signature"], validate=True)
        texts = (statement.purpose, statement.operator, statement.digest)
        if not all(isinstance(field, str) for field in texts):
            raise ValueError("purpose, operator or digest is not a text")
        if type(statement.expected_seq) is not int:
            raise ValueError("expected_seq is not a whole number")
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return _refused(f"the signed statement is malformed: {error}")
    return Ok(SignedStatement(statement, signature))


def sign_request(
    key: Ed25519PrivateKey,
    operator: str,
    method: str,
    path: str,
    body_sha256: str,
    time_s: int,
    order_id: str,
) -> SignedRequest:
    """Sign one HTTP request."""
    request = SignedRequest(
        operator, method, path, body_sha256, time_s, order_id, signature=b""
    )
    return request._replace(signature=key.sign(_request_bytes(request)))


class OperatorKeys:
    """The public keys of the operators that the settings name."""

    def __init__(self, operators: Mapping[str, str]):
        self._keys: dict[str, Ed25519PublicKey] = {}
        for name, text in operators.items():
            raw = base64.b64decode(text, validate=True)
            self._keys[name] = Ed25519PublicKey.from_public_bytes(raw)

    @property
    def names(self) -> tuple[str, ...]:
        """The operators' names."""
        return tuple(self._keys)

    def verify(
        self, signed: SignedStatement, purpose: Purpose, digest: str | None = None
    ) -> Result[Statement, Failure]:
        """Check a statement's signature and purpose, and its digest if one is given."""
        statement = signed.statement
        if statement.purpose != purpose.value:
            return _refused(f"signed to {statement.purpose}, not to {purpose.value}")
        if digest is not None and statement.digest != digest:
            return _refused(f"the {purpose.value} statement is for another bundle")
        known = self._check(
            statement.operator, signed.signature, _statement_bytes(statement)
        )
        return known.map(lambda _: statement)

    def verify_request(self, request: SignedRequest) -> Result[str, Failure]:
        """Check the signature of an HTTP request and return the operator."""
        return self._check(request.operator, request.signature, _request_bytes(request))

    def verify_release(
        self, prepared: SignedStatement, approved: SignedStatement, digest: str
    ) -> Result[None, Failure]:
        """Check that a bundle was prepared and approved by two different operators."""
        preparer = self.verify(prepared, Purpose.PREPARE, digest)
        if preparer.is_err():
            return preparer
        approver = self.verify(approved, Purpose.APPROVE, digest)
        if approver.is_err():
            return approver
        # Operators with the same key count as the same person.
        preparer_key = self._raw_key(preparer.unwrap().operator)
        approver_key = self._raw_key(approver.unwrap().operator)
        if preparer_key == approver_key:
            return _refused("the preparer may not approve: another operator must")
        return Ok(None)

    def _raw_key(self, operator: str) -> bytes:
        return self._keys[operator].public_bytes_raw()

    def _check(
        self, operator: str, signature: bytes, content: bytes
    ) -> Result[str, Failure]:
        key = self._keys.get(operator)
        if key is None:
            return _refused(f"no public key of operator {operator!r} in the settings")
        try:
            key.verify(signature, content)
        except InvalidSignature:
            return _refused(f"not the signature of operator {operator!r}")
        return Ok(operator)


def check_operators(operators: Mapping[str, str]) -> list[str]:
    """Return a message for every operator whose public key is invalid."""
    faults = []
    for name, text in operators.items():
        try:
            OperatorKeys({name: text})
        except (ValueError, binascii.Error):
            faults.append(f"{name}: a public key is 32 bytes in base64")
    return faults


def _statement_bytes(statement: Statement) -> bytes:
    return DOMAIN + canonical(statement._asdict())


def _request_bytes(request: SignedRequest) -> bytes:
    fields = request._asdict()
    del fields["signature"]
    return REQUEST_DOMAIN + canonical(fields)


def _text(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _refused(detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.BAD_SIGNATURE, detail))
