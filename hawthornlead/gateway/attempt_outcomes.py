"""The outcomes of one attempt to have a request answered by a target."""

from enum import Enum


class AttemptOutcome(Enum):
    """The outcome of one attempt at one target."""

    DONE = "done"
    LEFT = "the caller left"
    UNREACHED = "not reached"
    UNWANTED = "not sent, the target wants no request"
    QUARANTINED = "not sent, it crashes targets"
    SPENT = "not sent, it may have run"
    REFUSED = "refused, not run"
    TOO_EARLY = "refused, perhaps still loading"
    FAILED = "failed by its target"
    LOST = "may have run"
    BROKEN = "broken off within the answer"
    DROPPED = "ran, and there was no room for its answer"
    OTHER_SOFTWARE = "ran at another software version"
    LATE = "the deadline passed"


class Unreached(Enum):
    """Why nothing was sent in an attempt whose target was not reached."""

    REFUSED = "connection refused"
    NO_CONNECTION = "no connection in time"
    SILENT = "not tried, the target is silent"
    GONE = "not tried, the target is gone"
    UNPROVED = "not tried, its software isn't proved or recorded"


# After these nothing ran at the target.
UNRUN_OUTCOMES = frozenset(
    (
        AttemptOutcome.UNREACHED,
        AttemptOutcome.UNWANTED,
        AttemptOutcome.QUARANTINED,
        AttemptOutcome.SPENT,
        AttemptOutcome.REFUSED,
        AttemptOutcome.TOO_EARLY,
    )
)
