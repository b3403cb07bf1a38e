"""Messages of claims, by which non-idempotent requests run at most once."""

from typing import NamedTuple

from .base import message


@message("claim")
class Claim(NamedTuple):
    """Claim an idempotency key before its request is sent to a target.

    ``vm`` and ``incarnation`` name the VM that will run the request.
    """

    caller: str
    key: str
    fingerprint: bytes
    attempt_id: str
    vm: str = ""
    incarnation: str = ""


@message("claimed")
class Claimed(NamedTuple):
    """The reply to a claim.

    ``state`` is ``new`` (the requester holds the claim: run it), ``running``, ``done``
    (with the recorded outcome), ``unknown`` (it may have run) or ``reused`` (the
    key belongs to another request).
    """

    state: str
    attempt_id: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@message("record-outcome")
class RecordOutcome(NamedTuple):
    """Record the outcome of a claim's request; ``not_run`` releases the key."""

    caller: str
    key: str
    attempt_id: str
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
