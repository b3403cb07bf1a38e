"""Client of one target: orders, reports, health, cancels.

Every call opens its own connection. If one connection goes silent for good, because
something on its path lost its state, later calls are not affected. Every call has a
timeout. The kind of a failure says what is proved about the call:

- ``TARGET_UNREACHABLE``: there was no connection, so the call was not carried out.
- ``TARGET_REFUSED``, ``STALE_FENCE``, ``NO_SLOT``, ``LOAD_FAILED``, ``NOT_FOUND``:
  the target answered that it did not carry it out.
- ``NO_GRANT``: the sender's own right ended before the bytes were written.
- ``TARGET_LOST``: bytes were sent and no whole answer came, so the target may have
  carried out the call.
"""

import json
import random
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from result import Err, Ok, Result
from tornado.httpclient import HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from ..answers.whole_clients import WholeAnswerClient
from ..errors import ErrorKind, Failure
from ..messages import Resident
from ..resolvers import NumberResolver

# Timeout of calls that are no orders; long enough for a busy engine's event loop.
QUERY_TIMEOUT_S = 2.0
MAX_CLIENTS = 200
# Replies have some kilobytes. A target in trouble may send one without end.
MAX_REPLY_BYTES = 1 << 20
# The most calls at once of a client that serves all targets.
MAX_SHARED_CLIENTS = 1000


class Order(Enum):
    """What a target can be ordered to do."""

    LOAD = "load"
    EVICT = "evict"
    ROLE = "role"
    FENCE = "fence"


class OrderReply(NamedTuple):
    """The reply to an order that was carried out.

    ``now`` is the engine's clock in seconds, ``boot_id`` its incarnation.
    """

    now: float
    boot_id: str


class Health(NamedTuple):
    """A target's answer to a probe: its incarnation and its current clock."""

    boot_id: str
    now: float


class Report(NamedTuple):
    """A target's report of its load, which may lag.

    ``as_of`` is the moment that it describes, on the engine's own clock.
    ``step_fill`` is how full the engine's steps were.
    """

    boot_id: str
    as_of: float
    slots: int
    max_running: int
    running: int
    queued: int
    residents: tuple[Resident, ...]
    steps: int
    step_fill: float


_REFUSALS = {
    "stale-fence": ErrorKind.STALE_FENCE,
    "no-free-slot": ErrorKind.NO_SLOT,
    "load-failed": ErrorKind.LOAD_FAILED,
    "not-resident": ErrorKind.NOT_FOUND,
}


class _RightLostError(Exception):
    """The right to order ended while the connection was being made.

    Raised inside the HTTP client, to abort the request before its body is written.
    """


class TargetClient:
    """Client of the target at ``address`` (IP:PORT)."""

    def __init__(
        self,
        address: str,
        *,
        rng: random.Random,
        http_client: WholeAnswerClient | None = None,
    ):
        self._address = address
        self._rng = rng
        self._http_client = http_client or _new_client(MAX_CLIENTS)

    @property
    def address(self) -> str:
        """The target's IP:PORT."""
        return self._address

    async def order(
        self,
        op: Order,
        fence: int,
        adapter: str,
        version: str,
        base_model: str,
        timeout_s: float,
        still_allowed: Callable[[], bool] = lambda: True,
    ) -> Result[OrderReply, Failure]:
        """Send one order and wait until it is carried out.

        ``still_allowed`` is called again after the connection was made, right before
        the body is written. Without it a process that freezes while it connects would
        still send the order when it wakes after its lease.
        """
        body = json.dumps(
            {
                "order_id": f"{self._rng.getrandbits(64):016x}",
                "fence": fence,
                "op": op.value,
                "adapter": adapter,
                "version": version,
                "base_model": base_model,
            }
        ).encode()

        writing = False

        async def write_body(write):
            nonlocal writing
            if not still_allowed():
                raise _RightLostError
            writing = True
            await write(body)

        answer = await self._fetch(
            "/orders",
            timeout_s,
            method="POST",
            body_producer=write_body,
            headers={
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
            },
        )
        if isinstance(answer, Err):
            failure = answer.err_value
            if failure.kind is ErrorKind.TARGET_LOST and not writing:
                # Without its body the target cannot have understood the order.
                return Err(failure._replace(kind=ErrorKind.TARGET_UNREACHABLE))
            return answer
        return _decode(
            answer.ok_value, lambda b: OrderReply(float(b["now"]), b["boot_id"])
        )

    async def report(self) -> Result[Report, Failure]:
        """Read the target's report of its load."""
        answer = await self._fetch("/report", QUERY_TIMEOUT_S)
        if isinstance(answer, Err):
            return answer
        return _decode(answer.ok_value, _decode_report)

    async def health(self) -> Result[Health, Failure]:
        """Probe the target."""
        answer = await self._fetch("/health", QUERY_TIMEOUT_S)
        if isinstance(answer, Err):
            return answer
        return _decode(answer.ok_value, lambda b: Health(b["boot_id"], float(b["now"])))

    async def cancel(self, request_id: str) -> Result[None, Failure]:
        """Cancel a request; one that the target does not know is no error."""
        body = json.dumps({"id": request_id}).encode()
        answer = await self._fetch(
            "/v1/cancel", QUERY_TIMEOUT_S, method="POST", body=body
        )
        if isinstance(answer, Err):
            return answer
        return Ok(None)

    async def _fetch(
        self, path: str, timeout_s: float, **options
    ) -> Result[HTTPResponse, Failure]:
        try:
            response = await self._http_client.fetch(
                f"http://{self._address}{path}",
                raise_error=False,
                follow_redirects=False,
                connect_timeout=timeout_s,
                request_timeout=timeout_s,
                **options,
            )
        except _RightLostError:
            return Err(Failure(ErrorKind.NO_GRANT, "the right to order ended"))
        except (OSError, HTTPTimeoutError, HTTPStreamClosedError) as error:
            return Err(self._failure_of(error))
        return self._checked(response)

    def _checked(self, response: HTTPResponse) -> Result[HTTPResponse, Failure]:
        if response.code == 599:
            return Err(self._failure_of(response.error))
        if response.code in (200, 204):
            return Ok(response)
        try:
            name = str(json.loads(response.body)["error"])
        except (ValueError, KeyError, TypeError):
            # Not an answer of the protocol, so it proves nothing.
            detail = f"{self._address} answered {response.code}"
            return Err(Failure(ErrorKind.TARGET_LOST, detail))
        kind = _REFUSALS.get(name, ErrorKind.TARGET_REFUSED)
        return Err(Failure(kind, f"{self._address} refused: {name}"))

    def _failure_of(self, error: BaseException | None) -> Failure:
        detail = f"{self._address}: {error!r}"
        if isinstance(error, HTTPTimeoutError):
            # Tornado says in which phase the time ran out. Before the connection was
            # made, no byte was sent.
            unsent = "connecting" in str(error) or "queue" in str(error)
        else:
            # Any other system error can also occur after bytes were sent.
            unsent = isinstance(error, ConnectionRefusedError)
        if unsent:
            return Failure(ErrorKind.TARGET_UNREACHABLE, detail)
        return Failure(ErrorKind.TARGET_LOST, detail)


class TargetClients:
    """One client for each target address; all share one HTTP client."""

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._http_client = _new_client(MAX_SHARED_CLIENTS)
        self._clients: dict[str, TargetClient] = {}

    def client(self, address: str) -> TargetClient:
        """Return the client of the target at an address."""
        client = self._clients.get(address)
        if client is None:
            client = TargetClient(address, rng=self._rng, http_client=self._http_client)
            self._clients[address] = client
        return client


def _new_client(max_clients: int) -> WholeAnswerClient:
    return WholeAnswerClient(
        force_instance=True,
        max_clients=max_clients,
        max_body_size=MAX_REPLY_BYTES,
        resolver=NumberResolver(),
    )


def _decode(response: HTTPResponse, convert) -> Result:
    try:
        return Ok(convert(json.loads(response.body)))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        # The call was answered with 200, but the body is not of the protocol.
        return Err(Failure(ErrorKind.TARGET_LOST, f"malformed answer: {error!r}"))


def _decode_report(body: dict) -> Report:
    residents = []
    for entry in body["residents"]:
        residents.append(
            Resident(entry["adapter"], entry["version"], int(entry["running"]))
        )
    return Report(
        boot_id=body["boot_id"],
        as_of=float(body["as_of"]),
        slots=int(body["slots"]),
        max_running=int(body["max_running"]),
        running=int(body["running"]),
        queued=int(body["queued"]),
        residents=tuple(residents),
        steps=int(body["steps"]),
        step_fill=float(body["step_fill"]),
    )
