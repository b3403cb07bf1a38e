"""The platform's HTTP headers: decoded from requests and answers, and set on them."""

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
RESUMES = "Resumes"
PRIORITY = "Request-Priority"
RETRY_AFTER = "Retry-After"
LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
BRITTLE = "Server-Brittle"
MODEL = "Model"
TOKENS = "Token-Usage"
LENGTH_HINT = "Length-Hint"
PROMPT_PARTS = "Prompt-Prefix"
WORKSPACE = "Tenant-Id"
STORE_ERA = "Store-Era"

# Headers that apply to one connection only, or that describe how a body is framed.
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
# Headers of a request to a target that only this system may set.
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
# A longer number is no plausible count and is read as absent.
MAX_DIGITS = 9
# Longer ids are no engine's and would fill messages between VMs.
MAX_PART_DIGITS = 32
# Of a longer prompt the last ones are kept, which fewer prompts share.
MAX_SHARED_PARTS = 16
HEX_DIGITS = frozenset("0123456789abcdef")


class AnswerMetadata(NamedTuple):
    """What the headers of a target's answer say about the answer and the target.

    ``request_id`` is the request that it answers. ``sealed`` means that the target
    marked the answer as its own, ``not_run`` that it did not execute the request,
    and ``closes`` that it closes the connection after the answer.
    ``idle_s`` is how long the target keeps an idle connection open, None if the answer
    doesn't say. ``target`` is the target's own id, empty if the answer has none.
    ``limit_per_s`` is how many requests a second the target accepts from all VMs
    together, None if unlimited. A ``leaving`` target accepts no new work.
    ``backoff_s`` is how long a target that refused a request asks this VM to send
    nothing more, 0 if it doesn't say. ``refusals_per_s`` is how many refusals for want
    of room a brittle target bears in a second, None if it isn't brittle.
    """

    request_id: str
    sealed: bool
    not_run: bool
    closes: bool
    idle_s: float | None
    target: str
    limit_per_s: float | None = None
    leaving: bool = False
    backoff_s: float = 0.0
    refusals_per_s: float | None = None


def read_caller_request(headers: HTTPHeaders) -> CallerRequest:
    """Read the headers of a caller's request; invalid values count as absent."""
    model, _, adapter = headers.get(MODEL, "").partition("/")
    tokens = headers.get(TOKENS, "")
    prompt, _, limit = tokens.partition(",")
    prompt_tokens, max_tokens = _parse_integer(prompt), _parse_integer(limit)
    return CallerRequest(
        request_id=headers.get(REQUEST_ID, ""),
        deadline_ms=_parse_number(headers.get(DEADLINE_MS)),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        likely_tokens=_parse_integer(headers.get(LENGTH_HINT, "")) or max_tokens,
        last_event=headers.get(LAST_EVENT, ""),
        key_digest=read_key_digest(headers),
        tells_tokens=_is_whole_number(prompt) and _is_whole_number(limit),
        resumes=headers.get(RESUMES, ""),
        prompt=headers.get(PROMPT_PARTS, ""),
        shared_parts=read_shared_parts(headers.get(PROMPT_PARTS, "")),
    )


def read_shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of the prompt parts that requests share, in the prompt's order.

    The last part is left out, because it belongs to the request or its session. A part
    that can't be read is left out too, and one that is repeated is returned once. Upper
    case and leading zeros don't matter::

        read_shared_parts("5C1E:800, 091b:410,e440:250")  # ("5c1e", "91b")
    """
    parts: dict[str, None] = {}
    for entry in text.split(",")[:-1]:
        part = entry.partition(":")[0].strip().lower()
        if part and len(part) <= MAX_PART_DIGITS and HEX_DIGITS.issuperset(part):
            parts[part.lstrip("0") or "0"] = None
    return tuple(parts)[-MAX_SHARED_PARTS:]


def request_headers(
    caller_headers: HTTPHeaders,
    *,
    deadline_ms: float,
    target: str,
    priority: int,
    last_event: str,
    keyed: bool = False,
    workspace: str = "",
) -> HTTPHeaders:
    """Return the headers for a target: the caller's, and those the system sets.

    With an empty ``last_event`` the caller's own header is kept. Where callers are
    ``keyed`` the key is not forwarded to the target, which gets the ``workspace``
    instead if there is one.
    """
    headers = _end_to_end_headers(caller_headers)
    if keyed:
        headers.pop(AUTHORIZATION, None)
    if workspace:
        headers[WORKSPACE] = workspace
    headers[DEADLINE_MS] = str(max(1, int(deadline_ms)))
    headers[EXPECT_TARGET] = target
    headers[PRIORITY] = str(priority)
    if last_event:
        headers[LAST_EVENT] = last_event
    return headers


def relay_headers(
    caller_headers: HTTPHeaders, *, deadline_ms: float, last_event: str
) -> HTTPHeaders:
    """Return the headers of a caller's request that another VM serves.

    The caller's key stays, because the other VM checks it. With an empty ``last_event``
    the caller's own header is kept.
    """
    headers = _end_to_end_headers(caller_headers)
    headers[DEADLINE_MS] = str(max(1, int(deadline_ms)))
    if last_event:
        headers[LAST_EVENT] = last_event
    return headers


def answer_headers(target_headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a target's answer that are forwarded to the caller."""
    headers = HTTPHeaders()
    for name, value in target_headers.get_all():
        if name.lower() not in HOP_BY_HOP:
            headers.add(name, value)
    return headers


def read_request_id(headers: HTTPHeaders) -> str:
    """Return the id of a request, empty if it has none."""
    return headers.get(REQUEST_ID, "")


def refusal_headers(request_id: str, retry_after_s: float | None) -> HTTPHeaders:
    """Return the headers of an answer that this system generates itself."""
    headers = HTTPHeaders({"Content-Type": "text/plain"})
    if request_id:
        headers[REQUEST_ID] = request_id
    if retry_after_s is not None:
        headers[RETRY_AFTER] = f"{retry_after_s:.2f}"
    return headers


def control_headers(target: str) -> HTTPHeaders:
    """Return the headers of a call to a target's report or order interface."""
    headers = HTTPHeaders({"Content-Type": "application/json"})
    headers[EXPECT_TARGET] = target
    return headers


def read_answer_metadata(status: int, headers: HTTPHeaders) -> AnswerMetadata:
    """Read the headers of a target's answer."""
    return AnswerMetadata(
        request_id=headers.get(REQUEST_ID, ""),
        sealed=SEAL in headers,
        not_run=NOT_RUN in headers or status == 421,
        closes=headers.get("Connection", "").lower() == "close",
        idle_s=_keep_alive_timeout_s(headers.get("Keep-Alive", "")),
        target=headers.get(TARGET_ID, ""),
        limit_per_s=_parse_amount(headers.get(LIMIT)),
        leaving=headers.get(LEAVING, "").strip() == "1",
        backoff_s=_backoff_s(status, headers),
        refusals_per_s=_parse_amount(headers.get(BRITTLE)),
    )


def read_store_era(headers: HTTPHeaders) -> int | None:
    """Return the era that an answer of the store names, None if it names none."""
    era = headers.get(STORE_ERA, "")
    return int(era) if _is_whole_number(era) else None


def _end_to_end_headers(caller_headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a caller's request that the caller may set."""
    headers = HTTPHeaders()
    for name, value in caller_headers.get_all():
        lowered = name.lower()
        if lowered not in HOP_BY_HOP and lowered not in SYSTEM_ONLY:
            headers.add(name, value)
    return headers


def _backoff_s(status: int, headers: HTTPHeaders) -> float:
    if status != 503:
        return 0.0
    return _parse_amount(headers.get(RETRY_AFTER)) or 0.0


def _keep_alive_timeout_s(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.strip().lower() == "timeout":
            return _parse_number(value)
    return None


def _parse_amount(text: str | None) -> float | None:
    """Return a finite number that is not negative, else None."""
    number = _parse_number(text)
    if number is None or not math.isfinite(number) or number < 0:
        return None
    return number


def _parse_integer(text: str) -> int:
    return int(text) if _is_whole_number(text) else 0


def _is_whole_number(text: str) -> bool:
    """Whether a text is a whole number of at most ``MAX_DIGITS`` digits."""
    text = text.strip()
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def _parse_number(text: str | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None
