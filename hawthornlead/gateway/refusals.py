"""Which requests aren't begun at all, since their answer would come too late.

Answers an overload: who can't be served in time is told so at once, with when to come
back, and takes no place from those that can::

    failure = overload(best, route, left_s=0.9)
"""

from ..errors import ErrorKind, Failure
from .records import Route, RouteKind
from .target_choices import Scored

# Callers give a stream up that hasn't begun after 2 s or more. A request whose first
# token is expected later is refused at once, so that it can come back in time.
LATEST_START_S = 2.2
LEAST_RETRY_S = 0.2
MOST_RETRY_S = 2.0


def overload_failure(best: Scored, route: Route, left_s: float) -> Failure | None:
    """Return why a request isn't begun at its best target, None if it is.

    ``left_s`` is what is left of its deadline. A target that was failing may be well
    again, so that it is tried.
    """
    wait_ms = best.cost_ms
    if route.kind is not RouteKind.STREAMING:
        # Its answer comes at the end of its run, not with a first event.
        wait_ms += best.candidate.run_ms
    wait_s = wait_ms / 1000
    if best.candidate.suspect or wait_s < min(LATEST_START_S, left_s):
        return None
    retry_s = _retry_s(wait_s - route.objective_ms / 1000)
    return Failure(ErrorKind.OVERLOADED, "all targets are busy", retry_s)


def backoff_failure(wait_s: float) -> Failure:
    """Return why a request isn't sent to targets that want none from this VM now.

    The other VMs have shares of a limit too, and may not have been asked for rest, so
    that the request may be sent before this VM could, after ``wait_s``.
    """
    detail = "the targets want no request now"
    return Failure(ErrorKind.OVERLOADED, detail, _retry_s(wait_s))


def _retry_s(wait_s: float) -> float:
    """Return when to come back, where that is expected after ``wait_s``."""
    return min(MOST_RETRY_S, max(LEAST_RETRY_S, wait_s))
