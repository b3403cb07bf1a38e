"""HTTP towards operators: every request is signed, and refused otherwise.

An operator signs method, path, SHA-256 of the body, time and order id. The bodies
of orders are signed statements themselves, which are kept with the bundle, so that
every VM can verify them by itself.
"""

import base64
import binascii
import hashlib
import json
from collections import OrderedDict
from typing import Any

from result import Err, Ok, Result
from tornado.web import RequestHandler

from .bundles import BundleChunk
from .errors import ErrorKind, Failure
from .events import EventKind
from .rolls import BundleKeeper
from .signatures import OperatorKeys, SignedRequest, SignedStatement, read_signed

OPERATOR_HEADER = "Hawthornlead-Operator"
TIME_HEADER = "Hawthornlead-Time"
ORDER_HEADER = "Hawthornlead-Order"
SIGNATURE_HEADER = "Hawthornlead-Signature"
# A request older than this is refused, so that one that was recorded can't be sent
# again later; within that time its order id is remembered.
MAX_REQUEST_AGE_S = 300
ORDERS_REMEMBERED = 10_000


class RequestGuard:
    """Tells which operator signed a request, once for each order id."""

    def __init__(self, keys: OperatorKeys, timers, events):
        self._keys = keys
        self._timers = timers
        self._events = events
        self._seen: OrderedDict[str, float] = OrderedDict()

    def operator_of(self, request) -> Result[str, Failure]:
        """Return the operator that signed an HTTP request."""
        checked = self._check(request)
        if checked.is_err():
            failure = checked.unwrap_err()
            self._events.emit(
                EventKind.OPERATOR_REFUSED, request.path, detail=failure.detail
            )
        return checked

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
            detail = f"the request's time is over {MAX_REQUEST_AGE_S} s from this VM's"
            return Err(Failure(ErrorKind.BAD_SIGNATURE, detail))
        if signed.order_id in self._seen:
            detail = f"request {signed.order_id} was sent before"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        self._seen[signed.order_id] = signed.time_s
        while len(self._seen) > ORDERS_REMEMBERED:
            self._seen.popitem(last=False)
        return known


class OperatorHandler(RequestHandler):
    """What all operator routes share: the signature, the answer."""

    def initialize(self, keeper: BundleKeeper, guard: RequestGuard, mesh) -> None:
        """Take the parts that the daemon built."""
        self._keeper = keeper
        self._mesh = mesh
        self._guard = guard
        self._operator = ""

    def prepare(self) -> None:
        """Refuse what no operator signed, before anything else is looked at."""
        operator = self._guard.operator_of(self.request)
        if operator.is_err():
            self.refuse(operator.unwrap_err())
            return
        self._operator = operator.unwrap()

    def refuse(self, failure: Failure) -> None:
        """Answer a failure by its kind."""
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
            return Err(Failure(ErrorKind.BAD_REQUEST, "the body is no JSON object"))
        return Ok(value)

    def statement(self) -> Result[SignedStatement, Failure]:
        """Return the signed statement of the body; it must be the sender's own."""
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


class ChunkHandler(OperatorHandler):
    """Takes in one chunk of a bundle."""

    async def post(self) -> None:
        """Keep the chunk in the store under its digest."""
        body = self.body()
        if body.is_err():
            self.refuse(body.unwrap_err())
            return
        try:
            content = base64.b64decode(body.unwrap()["content"], validate=True)
            chunk = BundleChunk(str(body.unwrap()["digest"]), content)
        except (KeyError, TypeError, ValueError, binascii.Error):
            detail = 'a chunk is {"digest", "content" in base64}'
            self.refuse(Failure(ErrorKind.BAD_REQUEST, detail))
            return
        kept = await self._keeper.library.put_chunk(chunk)
        if kept.is_err():
            self.refuse(kept.unwrap_err())
            return
        self.answer({"digest": chunk.digest})


class BundleHandler(OperatorHandler):
    """Shows the bundle in force and takes in prepared ones."""

    async def get(self) -> None:
        """Show what is in force, what is staged and the past rolls."""
        pointer = await self._keeper.read_pointer()
        if pointer.is_err():
            self.refuse(pointer.unwrap_err())
            return
        found = pointer.unwrap()
        self.answer(
            {
                "seq": found.seq,
                "digest": found.digest,
                "staged": found.staged._asdict() if found.staged else None,
                "past": [roll._asdict() for roll in found.past],
            }
        )

    async def post(self) -> None:
        """Take in a bundle whose chunks were sent, with the preparer's signature."""
        signed = self.statement()
        if signed.is_err():
            self.refuse(signed.unwrap_err())
            return
        prepared = await self._keeper.library.prepare(signed.unwrap())
        if prepared.is_err():
            self.refuse(prepared.unwrap_err())
            return
        self.answer(
            {"digest": prepared.unwrap().digest, "name": prepared.unwrap().name}
        )


class ApproveHandler(OperatorHandler):
    """Takes in an approval."""

    async def post(self) -> None:
        """Keep the approval if it is another operator's than the preparer."""
        signed = self.statement()
        if signed.is_err():
            self.refuse(signed.unwrap_err())
            return
        approved = await self._keeper.library.approve(signed.unwrap())
        if approved.is_err():
            self.refuse(approved.unwrap_err())
            return
        self.answer({"digest": signed.unwrap().statement.digest})


class RollHandler(OperatorHandler):
    """Carries out orders to roll, with a waiver or without."""

    async def post(self) -> None:
        """Roll, and answer when the bundle is accepted or certainly is not."""
        signed = self.statement()
        if signed.is_err():
            self.refuse(signed.unwrap_err())
            return
        wanted = "waive" if self.request.path.endswith("/waive") else "roll"
        if signed.unwrap().statement.purpose != wanted:
            detail = f"this route takes statements to {wanted}"
            self.refuse(Failure(ErrorKind.BAD_REQUEST, detail))
            return
        rolled = await self._keeper.roll(signed.unwrap())
        if rolled.is_err():
            self.refuse(rolled.unwrap_err())
            return
        self.answer(rolled.unwrap()._asdict())


class RetireHandler(OperatorHandler):
    """Carries out orders to retire a bundle."""

    async def post(self) -> None:
        """Bar the bundle from being rolled any more."""
        signed = self.statement()
        if signed.is_err():
            self.refuse(signed.unwrap_err())
            return
        retired = await self._keeper.retire(signed.unwrap())
        if retired.is_err():
            self.refuse(retired.unwrap_err())
            return
        self.answer({"digest": signed.unwrap().statement.digest})


class StatusHandler(OperatorHandler):
    """Shows what this VM serves, or why it refuses."""

    def get(self) -> None:
        """Answer from memory, so that it works in an outage of the store."""
        permitted = self._keeper.may_serve()
        fields = {
            "seq": self._keeper.seq_in_force,
            "staged_seq": self._keeper.staged_seq,
            "serves": permitted.is_ok(),
            "connected": sorted(peer.vm for peer in self._mesh.live),
        }
        if permitted.is_err():
            fields["error"] = permitted.unwrap_err().kind.value
            fields["detail"] = permitted.unwrap_err().detail
        self.answer(fields)


def operator_routes(*, settings, timers, events, keeper: BundleKeeper, mesh) -> list:
    """Return the tornado routes for operators."""
    guard = RequestGuard(OperatorKeys(settings["OPERATORS"]), timers, events)
    parts = {"keeper": keeper, "guard": guard, "mesh": mesh}
    return [
        ("/operator/chunks", ChunkHandler, parts),
        ("/operator/bundles", BundleHandler, parts),
        ("/operator/bundle", BundleHandler, parts),
        ("/operator/approve", ApproveHandler, parts),
        ("/operator/roll", RollHandler, parts),
        ("/operator/waive", RollHandler, parts),
        ("/operator/retire", RetireHandler, parts),
        ("/operator/status", StatusHandler, parts),
    ]


def _signed_request(request) -> SignedRequest | None:
    headers = request.headers
    try:
        return SignedRequest(
            headers[OPERATOR_HEADER],
            request.method,
            request.path,
            hashlib.sha256(request.body).hexdigest(),
            int(headers[TIME_HEADER]),
            headers[ORDER_HEADER],
            base64.b64decode(headers[SIGNATURE_HEADER], validate=True),
        )
    except (KeyError, ValueError, binascii.Error):
        return None
