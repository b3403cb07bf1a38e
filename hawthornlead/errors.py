"""The complete list of error kinds, and how each is answered.

Every refusal that a caller or an operator sees is a ``Failure`` of one of these kinds.
Only the table ``ANSWERS`` decides its HTTP status, and what it says about whether the
request ran::

    return Err(Failure(ErrorKind.OVERLOADED, "queue is full", retry_after_s=0.5))
"""

from enum import Enum
from typing import NamedTuple


class Ran(Enum):
    """What is known about whether a request ran on a target."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


class ErrorKind(Enum):
    """Every kind of error that an answer can carry."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    NOT_ASSIGNED = "not-assigned"
    TOO_LARGE = "too-large"
    CALLER_LIMITED = "caller-limited"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    NOT_READY = "not-ready"
    NO_BUNDLE = "no-bundle"
    BUNDLE_BEHIND = "bundle-behind"
    BUNDLE_UNDECIDED = "bundle-undecided"
    ISOLATED = "isolated"
    NO_TARGET = "no-target"
    NO_SLOT = "no-slot"
    NO_PLACE = "no-place"
    NO_GRANT = "no-grant"
    LOAD_FAILED = "load-failed"
    STORE_UNAVAILABLE = "store-unavailable"
    PEER_UNAVAILABLE = "peer-unavailable"
    TOO_LATE_TO_START = "too-late-to-start"
    QUARANTINED = "quarantined"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_REFUSED = "target-refused"
    TARGET_LOST = "target-lost"
    DEADLINE_PASSED = "deadline-passed"
    WRONG_ANSWER = "wrong-answer"
    ANSWER_CUT = "answer-cut"
    CALLER_GONE = "caller-gone"
    DUPLICATE_RUNNING = "duplicate-running"
    DUPLICATE_UNKNOWN = "duplicate-unknown"
    DUPLICATE_DONE = "duplicate-done"
    KEY_REUSED = "key-reused"
    STALE_FENCE = "stale-fence"
    VERSION_CONFLICT = "version-conflict"
    ROLL_CONFLICT = "roll-conflict"
    ROLL_NOT_ACCEPTED = "roll-not-accepted"
    ROLL_UNKNOWN = "roll-unknown"
    BAD_SIGNATURE = "bad-signature"
    BAD_BUNDLE = "bad-bundle"
    BAD_SETTINGS = "bad-settings"
    BAD_MESSAGE = "bad-message"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """How one kind of error is answered.

    ``status`` is the HTTP status, ``ran`` what is known about whether this attempt ran,
    and ``retry`` whether the layer itself may try another target within its budget.
    """

    status: int
    ran: Ran
    retry: bool


_NOT = Ran.NOT_RUN
_MAY = Ran.MAY_HAVE_RUN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NOT, False),
    ErrorKind.UNAUTHENTICATED: Answer(401, _NOT, False),
    ErrorKind.FORBIDDEN: Answer(403, _NOT, False),
    ErrorKind.NOT_FOUND: Answer(404, _NOT, False),
    ErrorKind.NOT_ASSIGNED: Answer(404, _NOT, False),
    ErrorKind.TOO_LARGE: Answer(413, _NOT, False),
    ErrorKind.CALLER_LIMITED: Answer(429, _NOT, False),
    ErrorKind.OVERLOADED: Answer(503, _NOT, False),
    ErrorKind.DRAINING: Answer(503, _NOT, False),
    ErrorKind.NOT_READY: Answer(503, _NOT, False),
    ErrorKind.NO_BUNDLE: Answer(503, _NOT, False),
    ErrorKind.BUNDLE_BEHIND: Answer(503, _NOT, False),
    ErrorKind.BUNDLE_UNDECIDED: Answer(503, _NOT, False),
    ErrorKind.ISOLATED: Answer(503, _NOT, False),
    ErrorKind.NO_TARGET: Answer(503, _NOT, True),
    ErrorKind.NO_SLOT: Answer(503, _NOT, True),
    ErrorKind.NO_PLACE: Answer(503, _NOT, True),
    ErrorKind.NO_GRANT: Answer(503, _NOT, True),
    ErrorKind.LOAD_FAILED: Answer(503, _NOT, True),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, _NOT, False),
    ErrorKind.PEER_UNAVAILABLE: Answer(503, _NOT, True),
    ErrorKind.TOO_LATE_TO_START: Answer(504, _NOT, False),
    ErrorKind.QUARANTINED: Answer(422, _NOT, False),
    ErrorKind.TARGET_UNREACHABLE: Answer(502, _NOT, True),
    ErrorKind.TARGET_REFUSED: Answer(503, _NOT, True),
    ErrorKind.TARGET_LOST: Answer(502, _MAY, False),
    ErrorKind.DEADLINE_PASSED: Answer(504, _MAY, False),
    ErrorKind.WRONG_ANSWER: Answer(502, _MAY, False),
    ErrorKind.ANSWER_CUT: Answer(502, _MAY, False),
    ErrorKind.CALLER_GONE: Answer(499, _MAY, False),
    ErrorKind.DUPLICATE_RUNNING: Answer(409, _MAY, False),
    ErrorKind.DUPLICATE_UNKNOWN: Answer(409, _MAY, False),
    ErrorKind.DUPLICATE_DONE: Answer(409, Ran.RAN, False),
    ErrorKind.KEY_REUSED: Answer(422, _NOT, False),
    ErrorKind.STALE_FENCE: Answer(409, _NOT, False),
    ErrorKind.VERSION_CONFLICT: Answer(409, _NOT, False),
    ErrorKind.ROLL_CONFLICT: Answer(409, _NOT, False),
    ErrorKind.ROLL_NOT_ACCEPTED: Answer(409, _NOT, False),
    ErrorKind.ROLL_UNKNOWN: Answer(503, _MAY, False),
    ErrorKind.BAD_SIGNATURE: Answer(403, _NOT, False),
    ErrorKind.BAD_BUNDLE: Answer(400, _NOT, False),
    ErrorKind.BAD_SETTINGS: Answer(400, _NOT, False),
    ErrorKind.BAD_MESSAGE: Answer(400, _NOT, False),
    ErrorKind.INTERNAL: Answer(500, _MAY, False),
}


class Failure(NamedTuple):
    """One failure: its kind, a text for people, and when to retry.

    ``retry_after_s`` is in seconds, or None if a retry does not help.
    ``addresses`` names other entry addresses that may be tried. ``claim_read`` tells
    whether the claim on the request's idempotency key was read before this answer. Only
    then what the answer says about the run holds for all attempts with the key, and
    otherwise just for this one. ``refused`` tells that a connection was refused, so
    nobody listens at that address.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
    addresses: tuple[str, ...] = ()
    claim_read: bool = False
    refused: bool = False

    @property
    def answer(self) -> Answer:
        """The row of the table for this failure's kind."""
        return ANSWERS[self.kind]
