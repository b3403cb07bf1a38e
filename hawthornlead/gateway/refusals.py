"""Early refusal of requests whose answer would come too late.

Under overload a request that can't be served in time is refused at once, with a time to
retry, and takes no slot from those that can::

    failure = overload_failure(best, route, left_s=0.9)
"""

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

from ..answers.joined_answers import is_joined_request
from ..errors import ErrorKind, Failure
from .records import CallerRequest, Route, RouteKind, TargetEntry
from .target_choices import Scored

# Callers abandon a stream that hasn't started after 2 s or more. A request whose first
# token is expected later is refused at once, so that its caller can retry in time.
MAX_START_S = 2.2
MIN_RETRY_S = 0.2
# Far longer than any name that the configuration gives to a model and its adapters.
MAX_MODEL_CHARS = 512
MAX_RETRY_S = 2.0
# A target that crashed is replaced in some seconds, if at all.
ABSENT_RETRY_S = 1.0


def malformed_failure(request: CallerRequest, headers: HTTPHeaders) -> Failure | None:
    """Return why a request can't be told from others, None if it can.

    Without an id no answer can be told from that to another caller. A head that another
    request's first line stands in is made of two requests. Names of adapters are kept
    beyond the request, here and at other VMs, so that they must be short.
    """
    if not request.request_id:
        return Failure(ErrorKind.BAD_REQUEST, "the request has no id")
    if len(request.model) + len(request.adapter) > MAX_MODEL_CHARS:
        detail = f"the model's name is over {MAX_MODEL_CHARS} characters"
        return Failure(ErrorKind.BAD_REQUEST, detail)
    if is_joined_request(headers):
        return Failure(ErrorKind.BAD_REQUEST, "a second request begins in its head")
    return None


def overload_failure(best: Scored, route: Route, left_s: float) -> Failure | None:
    """Return why a request isn't sent to its best target, None if it is.

    ``left_s`` is the time left before its deadline. A suspect target is tried, because
    it may be healthy again.
    """
    wait_ms = best.cost_ms - best.candidate.preference_ms
    if route.kind is not RouteKind.STREAMING:
        # The answer comes at the end of the run, not with a first event.
        wait_ms += best.candidate.run_ms
    wait_s = wait_ms / 1000
    if best.candidate.suspect or wait_s < min(MAX_START_S, left_s):
        return None
    retry_s = _retry_s(wait_s - route.objective_ms / 1000)
    return Failure(ErrorKind.OVERLOADED, "all targets are busy", retry_s)


def no_target_failure(entries: Iterable[TargetEntry], software: str | None) -> Failure:
    """Return the refusal of a request that no usable target can serve.

    ``entries`` are those of its service, of which it needs one that runs ``software``.
    """
    failure = Failure(ErrorKind.NO_TARGET, "no target can serve it now", 0.5)
    if software is None or any(entry.runs(software) for entry in entries):
        return failure
    detail = f"no target runs software version {software or 'unknown'}"
    return Failure(ErrorKind.NO_TARGET, detail, ABSENT_RETRY_S)


def backoff_failure(wait_s: float) -> Failure:
    """Return the refusal of a request whose targets accept none from this VM now.

    Other VMs have shares of a limit too, and may not have been asked to back off. So
    they may send the request before this VM could, which is after ``wait_s``.
    """
    detail = "the targets want no request now"
    return Failure(ErrorKind.OVERLOADED, detail, _retry_s(wait_s))


def busy_failure(wait_s: float) -> Failure:
    """Return the refusal of a request that gets no place at any target in time.

    The next place is expected in ``wait_s``.
    """
    return Failure(ErrorKind.OVERLOADED, "all places are taken", _retry_s(wait_s))


def _retry_s(wait_s: float) -> float:
    """Return when to retry after an expected wait of ``wait_s``, within bounds."""
    return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
