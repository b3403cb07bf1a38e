"""Signing and verification of HTTP requests of operators.

An operator signs the method, the path with its query, the SHA-256 of the body, the time
and the order id. Handlers that require a signature derive from ``SignedHandler``::

    routes = [("/status", StatusHandler, {"guard": guard, "parts": parts})]
"""

import base64
import binascii
import hashlib
import json
import secrets
import time
from collections import OrderedDict
from typing import Any

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from result import Err, Ok, Result
from tornado.web import RequestHandler

from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..signatures import (
    OperatorKeys,
    SignedRequest,
    SignedStatement,
    read_signed,
    sign_request,
)

OPERATOR_HEADER = "Hawthornlead-Operator"
TIME_HEADER = "Hawthornlead-Time"
ORDER_HEADER = "Hawthornlead-Order"
SIGNATURE_HEADER = "Hawthornlead-Signature"
# Older requests are refused, so that a recorded request can't be replayed later. Within
# this time the remembered order id prevents a replay.
MAX_REQUEST_AGE_S = 300
MAX_REMEMBERED_ORDERS = 10_000
# Refusals are recorded as events at most this often, but every request is answered.
# Without this limit a series of unsigned requests evicts all other events from the
# ring.
REFUSAL_EVENT_INTERVAL_S = 1.0


def signed_headers(
    key: Ed25519PrivateKey, operator: str, method: str, path: str, body: bytes
) -> dict[str, str]:
    """Return the headers by which an operator signs one request.

    ``path`` follows the address and includes the query. Each call generates a new order
    id, so that a signed request can be sent only once.
    """
    request = sign_request(
        key,
        operator,
        method,
        path,
        hashlib.sha256(body).hexdigest(),
        int(time.time()),
        secrets.token_hex(16),
    )
    return {
        OPERATOR_HEADER: operator,
        TIME_HEADER: str(request.time_s),
        ORDER_HEADER: request.order_id,
        SIGNATURE_HEADER: base64.b64encode(request.signature).decode(),
    }


class RequestGuard:
    """Verifies the signatures of requests and accepts each order id once."""

    def __init__(self, keys: OperatorKeys, timers, events):
        self._keys = keys
        self._timers = timers
        self._events = events
        self._seen: OrderedDict[str, float] = OrderedDict()
        self._refusal_emitted_at = float("-inf")

    def operator_of(self, request) -> Result[str, Failure]:
        """Return the operator that signed an HTTP request."""
        checked = self._check(request)
        if checked.is_err():
            self._emit_refusal(request, checked.unwrap_err())
        return checked

    def _emit_refusal(self, request, failure: Failure) -> None:
        now = self._timers.now()
        if now - self._refusal_emitted_at < REFUSAL_EVENT_INTERVAL_S:
            return
        self._refusal_emitted_at = now
        self._events.emit(
            EventKind.OPERATOR_REFUSED, request.path, detail=failure.detail
        )

    def _check(self, request) -> Result[str, Failure]:
        signed = _signed_request(request)
        if signed is None:
            detail = f"sign the request: {OPERATOR_HEADER}, {TIME_HEADER}, "
            detail += f"{ORDER_HEADER} and {SIGNATURE_HEADER}"
            return Err(Failure(ErrorKind.UNAUTHENTICATED, detail))
        known = self._keys.verify_request(signed)
        if known.is_err():
            return known
        if abs(self._timers.wall() - signed.time_s) > MAX_REQUEST_AGE_S:
            detail = f"request time is over {MAX_REQUEST_AGE_S} s off this VM's clock"
            return Err(Failure(ErrorKind.BAD_SIGNATURE, detail))
        if signed.order_id in self._seen:
            detail = f"request with order id {signed.order_id} was already received"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        self._seen[signed.order_id] = signed.time_s
        while len(self._seen) > MAX_REMEMBERED_ORDERS:
            self._seen.popitem(last=False)
        return known


class SignedHandler(RequestHandler):
    """Base class of operator routes that verifies signatures and sends answers.

    Without a guard the route is open, for an address that only operators can reach.
    """

    def initialize(self, guard: RequestGuard | None) -> None:
        """Set the guard that the daemon built."""
        self._guard = guard
        self._operator = ""

    def prepare(self) -> None:
        """Refuse a request without a valid signature before any other check."""
        if self._guard is None:
            return
        operator = self._guard.operator_of(self.request)
        if operator.is_err():
            self.refuse(operator.unwrap_err())
            return
        self._operator = operator.unwrap()

    def refuse(self, failure: Failure) -> None:
        """Answer with the failure and the status of its kind."""
        self.set_status(failure.answer.status)
        if failure.retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, round(failure.retry_after_s))))
        self.answer(
            {
                "error": failure.kind.value,
                "detail": failure.detail,
                "ran": failure.answer.ran.value,
                "retry_after_s": failure.retry_after_s,
            }
        )

    def answer(self, fields: dict[str, Any]) -> None:
        """Answer with JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(fields))

    def body(self) -> Result[dict[str, Any], Failure]:
        """Return the JSON object of the body."""
        try:
            value = json.loads(self.request.body)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            return Err(Failure(ErrorKind.BAD_REQUEST, "the body is not a JSON object"))
        return Ok(value)

    def statement(self) -> Result[SignedStatement, Failure]:
        """Return the signed statement of the body; its signer must be the sender."""
        body = self.body()
        if body.is_err():
            return body
        signed = read_signed(body.unwrap())
        if signed.is_err():
            return signed
        if signed.unwrap().statement.operator != self._operator:
            detail = f"{self._operator} sent a statement of another operator"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        return signed


def _signed_request(request) -> SignedRequest | None:
    headers = request.headers
    try:
        return SignedRequest(
            headers[OPERATOR_HEADER],
            request.method,
            request.uri,
            hashlib.sha256(request.body).hexdigest(),
            int(headers[TIME_HEADER]),
            headers[ORDER_HEADER],
            base64.b64decode(headers[SIGNATURE_HEADER], validate=True),
        )
    except (KeyError, ValueError, binascii.Error):
        return None
