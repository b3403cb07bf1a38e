"""Headers of requests and answers, as the platform spells them."""

import math
from typing import NamedTuple

from tornado.httputil import HTTPHeaders

from ..gateway.records import CallerRequest
from .keys import AUTHORIZATION, read_key_digest

REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Ms"
EXPECT_TARGET = "Expect-Instance"
EXPECT_VERSION = "Expect-Version"
NOT_RUN = "Not-Executed"
SEAL = "Server-Seal"
TARGET_ID = "Instance-Id"
LAST_EVENT = "Last-Event-Id"
PRIORITY = "Request-Priority"
RETRY_AFTER = "Retry-After"
LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
MODEL = "Model"
TOKENS = "Token-Usage"
LENGTH_HINT = "Length-Hint"
WORKSPACE = "Tenant-Id"

# Headers that concern one connection only, and those that frame a body anew.
HOP_BY_HOP = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
    )
)
# Headers that only the system may set towards a target.
SYSTEM_ONLY = frozenset(
    name.lower()
    for name in (
        "Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        DEADLINE_MS,
        EXPECT_TARGET,
        EXPECT_VERSION,
        PRIORITY,
        WORKSPACE,
    )
)
KEY = AUTHORIZATION.lower()
MOST_DIGITS = 9


class AnswerMetadata(NamedTuple):
    """What the headers of a target's answer say beside its content.

    ``idle_s`` is how long the target keeps the connection open, None if unsaid;
    ``target`` is the id that it gives itself, empty if it gives none. ``limit_per_s``
    is how many requests a second it takes from all VMs together, None if unlimited.
    One that is ``leaving`` takes no new work. ``rest_s`` is how long one that turns a
    request away wants nothing more from this VM, 0 if it doesn't say.
    """

    request_id: str
    sealed: bool
    not_run: bool
    closes: bool
    idle_s: float | None
    target: str
    limit_per_s: float | None = None
    leaving: bool = False
    rest_s: float = 0.0


def read_caller_request(headers: HTTPHeaders) -> CallerRequest:
    """Return what the headers say; values that make no sense count as absent."""
    model, _, adapter = headers.get(MODEL, "").partition("/")
    tokens = headers.get(TOKENS, "")
    prompt, _, most = tokens.partition(",")
    prompt_tokens, max_tokens = _integer(prompt), _integer(most)
    return CallerRequest(
        request_id=headers.get(REQUEST_ID, ""),
        deadline_ms=_number(headers.get(DEADLINE_MS)),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        likely_tokens=_integer(headers.get(LENGTH_HINT, "")) or max_tokens,
        last_event=headers.get(LAST_EVENT, ""),
        key_digest=read_key_digest(headers),
        tells_tokens=_is_whole(prompt) and _is_whole(most),
    )


def request_headers(
    given: HTTPHeaders,
    *,
    deadline_ms: float,
    target: str,
    priority: int,
    last_event: str,
    keyed: bool = False,
    workspace: str = "",
) -> HTTPHeaders:
    """Return the headers for a target: the caller's, and those the system sets.

    An empty ``last_event`` leaves the caller's. Where callers are ``keyed`` no target
    is shown a key; it is told the ``workspace`` in its place, if there is one.
    """
    headers = HTTPHeaders()
    for name, value in given.get_all():
        lowered = name.lower()
        if lowered in HOP_BY_HOP or lowered in SYSTEM_ONLY:
            continue
        if keyed and lowered == KEY:
            continue
        headers.add(name, value)
    if workspace:
        headers[WORKSPACE] = workspace
    headers[DEADLINE_MS] = str(max(1, int(deadline_ms)))
    headers[EXPECT_TARGET] = target
    headers[PRIORITY] = str(priority)
    if last_event:
        headers[LAST_EVENT] = last_event
    return headers


def answer_headers(given: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a target's answer that concern its caller."""
    headers = HTTPHeaders()
    for name, value in given.get_all():
        if name.lower() not in HOP_BY_HOP:
            headers.add(name, value)
    return headers


def refusal_headers(request_id: str, retry_after_s: float | None) -> HTTPHeaders:
    """Return the headers of an answer that the system gives by itself."""
    headers = HTTPHeaders({"Content-Type": "text/plain"})
    if request_id:
        headers[REQUEST_ID] = request_id
    if retry_after_s is not None:
        headers[RETRY_AFTER] = f"{retry_after_s:.2f}"
    return headers


def control_headers(target: str) -> HTTPHeaders:
    """Return the headers of a call to a target's own interface."""
    headers = HTTPHeaders({"Content-Type": "application/json"})
    headers[EXPECT_TARGET] = target
    return headers


def read_answer_metadata(status: int, headers: HTTPHeaders) -> AnswerMetadata:
    """Return what a target says of its answer and of the connection."""
    return AnswerMetadata(
        request_id=headers.get(REQUEST_ID, ""),
        sealed=SEAL in headers,
        not_run=NOT_RUN in headers or status == 421,
        closes=headers.get("Connection", "").lower() == "close",
        idle_s=_keep_alive(headers.get("Keep-Alive", "")),
        target=headers.get(TARGET_ID, ""),
        limit_per_s=_amount(headers.get(LIMIT)),
        leaving=headers.get(LEAVING, "").strip() == "1",
        rest_s=_rest(status, headers),
    )


def _rest(status: int, headers: HTTPHeaders) -> float:
    if status != 503:
        return 0.0
    return _amount(headers.get(RETRY_AFTER)) or 0.0


def _keep_alive(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.strip().lower() == "timeout":
            return _number(value)
    return None


def _amount(text: str | None) -> float | None:
    """Return a number that counts something: neither negative nor without end."""
    number = _number(text)
    if number is None or not math.isfinite(number) or number < 0:
        return None
    return number


def _integer(text: str) -> int:
    return int(text) if _is_whole(text) else 0


def _is_whole(text: str) -> bool:
    """Whether a text is a whole number, of no more digits than any count has."""
    text = text.strip()
    return text.isascii() and text.isdigit() and len(text) <= MOST_DIGITS


def _number(text: str | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None
