"""HTTP handlers for callers: completions and calls to plain services."""

import json
import secrets
from typing import NamedTuple

from result import Err, Ok, Result
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from ..bundles.bundles import CallerTerms
from ..bundles.rolls import BundleKeeper, InForce
from ..errors import ErrorKind, Failure
from ..settings import Settings
from ..timers import TimerService
from .drains import Drain
from .requests import CallerRequest, RequestPath
from .service_calls import ServiceCall, ServicePath
from .sinks import CollectingSink, StreamSink, failure_fields

DEADLINE_HEADER = "Hawthornlead-Deadline-Ms"
PRIORITY_HEADER = "Hawthornlead-Priority"
REQUEST_ID_HEADER = "Hawthornlead-Request-Id"
KEY_HEADER = "Idempotency-Key"
KEY_ISSUED_HEADER = "Hawthornlead-Key-Issued-At"
MAX_KEY_LENGTH = 200
MAX_TOKENS = 65536
MAX_EPOCH_MS = 1 << 53


class CallerParts(NamedTuple):
    """The parts that the handlers for callers use."""

    settings: Settings
    timers: TimerService
    keeper: BundleKeeper
    requests: RequestPath
    services: ServicePath
    drain: Drain


class Requester(NamedTuple):
    """The authenticated caller, and the bundle in force that defines it."""

    caller: CallerTerms
    in_force: InForce


class HeaderTerms(NamedTuple):
    """The terms of a request from its headers.

    ``deadline_at`` is on the timer service's clock, ``key_issued_at`` in seconds
    since the epoch by the caller's; ``key`` is empty if the request has none.
    """

    deadline_at: float
    priority: int
    key: str
    key_issued_at: float | None


class CallerHandler(RequestHandler):
    """Base of the handlers for callers: authentication, headers and refusals."""

    def initialize(self, parts: CallerParts) -> None:
        """Set the parts that the daemon built."""
        self._parts = parts
        self._request_id = secrets.token_hex(8)
        self._sink = None

    def prepare(self) -> None:
        """Refuse requests with too many headers, whatever their route."""
        self.set_header(REQUEST_ID_HEADER, self._request_id)
        if len(self.request.headers) > self._parts.settings["MAX_HEADERS"]:
            self.refuse(Failure(ErrorKind.TOO_LARGE, "too many headers"))

    def on_connection_close(self) -> None:
        """Mark the caller as gone, which cancels its run."""
        if self._sink is not None:
            self._sink.mark_gone()

    def refuse(self, failure: Failure) -> None:
        """Answer with a failure, and with a Retry-After if the failure names one."""
        self.set_status(failure.answer.status)
        if failure.retry_after_s is not None:
            seconds = max(1, round(failure.retry_after_s + 0.5))
            self.set_header("Retry-After", str(seconds))
        self.set_header("Content-Type", "application/json")
        fields = failure_fields(failure, self._request_id)
        if KEY_HEADER in self.request.headers and not failure.claim_read:
            # "not run" holds for this try only, not for the key (CLM-6): the claim was
            # not read, and an earlier try may be running.
            fields["other_tries"] = "unknown"
        self.finish(json.dumps(fields))

    def log_exception(self, kind, value, traceback) -> None:
        """Log exceptions except disconnects, which are no error of this VM."""
        if not isinstance(value, StreamClosedError):
            super().log_exception(kind, value, traceback)

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer errors of tornado and bugs in the usual form of refusals."""
        kind = ErrorKind.BAD_REQUEST if status_code < 500 else ErrorKind.INTERNAL
        self.refuse(Failure(kind, f"{self.request.method}: {self._reason}"))

    def requester(self) -> Result[Requester, Failure]:
        """Authenticate the caller by its token under the bundle in force."""
        draining = self._parts.drain.refusal()
        if draining is not None:
            return Err(draining)
        serving = self._parts.keeper.may_serve()
        if isinstance(serving, Err):
            return serving
        scheme, _, token = self.request.headers.get("Authorization", "").partition(" ")
        if scheme != "Bearer" or not token:
            return Err(Failure(ErrorKind.UNAUTHENTICATED, "a bearer token is needed"))
        caller = serving.ok_value.bundle.caller_of(token.strip())
        if caller is None:
            return Err(Failure(ErrorKind.UNAUTHENTICATED, "no caller has this token"))
        return Ok(Requester(caller, serving.ok_value))

    def header_terms(self, caller: CallerTerms) -> Result[HeaderTerms, Failure]:
        """Return the terms in the headers, or the failure of the first invalid one."""
        checks = (
            self.deadline_at(),
            self.priority(caller),
            self.key(),
            self.key_issued_at(),
        )
        for check in checks:
            if isinstance(check, Err):
                return check
        return Ok(HeaderTerms(*(check.ok_value for check in checks)))

    def deadline_at(self) -> Result[float, Failure]:
        """Return the request's deadline on the timer service's clock."""
        settings = self._parts.settings
        text = self.request.headers.get(DEADLINE_HEADER)
        deadline_s = settings["DEFAULT_DEADLINE_S"]
        if text is not None:
            highest = int(settings["MAX_DEADLINE_S"] * 1000)
            number = _whole_number(text, 1, highest)
            if number is None:
                return Err(
                    _bad_request(f"{DEADLINE_HEADER}: 1 to {highest}, not {text!r}")
                )
            deadline_s = number / 1000
        return Ok(self._parts.timers.now() + deadline_s)

    def priority(self, caller: CallerTerms) -> Result[int, Failure]:
        """Return the request's priority, which is at most its caller's."""
        text = self.request.headers.get(PRIORITY_HEADER)
        if text is None:
            return Ok(caller.priority)
        number = _whole_number(text, 0, 9)
        if number is None:
            return Err(_bad_request(f"{PRIORITY_HEADER}: 0 to 9, not {text!r}"))
        return Ok(min(number, caller.priority))

    def key(self) -> Result[str, Failure]:
        """Return the idempotency key, empty if the request has none."""
        key = self.request.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_LENGTH:
            return Err(
                _bad_request(f"{KEY_HEADER}: at most {MAX_KEY_LENGTH} characters")
            )
        return Ok(key)

    def key_issued_at(self) -> Result[float | None, Failure]:
        """Return when the caller made the key, in seconds since the epoch."""
        text = self.request.headers.get(KEY_ISSUED_HEADER)
        if text is None:
            return Ok(None)
        number = _whole_number(text, 0, MAX_EPOCH_MS)
        if number is None:
            return Err(
                _bad_request(f"{KEY_ISSUED_HEADER}: milliseconds since the epoch")
            )
        return Ok(number / 1000)


class CompletionBody(NamedTuple):
    """The checked body of a request for a completion."""

    alias: str
    prompt: str
    max_tokens: int
    stream: bool


class CompletionHandler(CallerHandler):
    """``POST /v1/completions``: run a prompt on the adapter assigned to the caller."""

    async def post(self) -> None:
        """Serve one request, streamed or whole."""
        built = self._build_request()
        if isinstance(built, Err):
            self.refuse(built.err_value)
            return
        request, body = built.ok_value
        if body.stream:
            await self._stream(request)
        else:
            await self._collect(request)

    def _build_request(self) -> Result[tuple[CallerRequest, CompletionBody], Failure]:
        requester = self.requester()
        if isinstance(requester, Err):
            return requester
        caller, in_force = requester.ok_value
        body = read_completion(self.request.body)
        if isinstance(body, Err):
            return body
        headers = self.header_terms(caller)
        if isinstance(headers, Err):
            return headers
        read, terms = body.ok_value, headers.ok_value
        request = CallerRequest(
            request_id=self._request_id,
            caller=caller,
            alias=read.alias,
            prompt=read.prompt,
            max_tokens=read.max_tokens,
            priority=terms.priority,
            deadline_at=terms.deadline_at,
            key=terms.key,
            in_force=in_force,
            key_issued_at=terms.key_issued_at,
        )
        return Ok((request, read))

    async def _stream(self, request: CallerRequest) -> None:
        settings = self._parts.settings
        sink = StreamSink(self, settings["GATHER_MS"] / 1000, settings["SLOW_CALLER_S"])
        self._sink = sink
        outcome = await self._parts.requests.serve(request, sink)
        if sink.gone:
            return
        if isinstance(outcome, Ok) and outcome.ok_value is None:
            await sink.finish()
            await self.finish()
            return
        if isinstance(outcome, Ok):
            self._replay(outcome.ok_value)
            return
        if not sink.started:
            self.refuse(outcome.err_value)
            return
        await sink.fail(outcome.err_value, request.request_id)
        await self.finish()

    async def _collect(self, request: CallerRequest) -> None:
        sink = CollectingSink()
        self._sink = sink
        outcome = await self._parts.requests.serve(request, sink)
        if sink.gone:
            return
        if isinstance(outcome, Err):
            self.refuse(outcome.err_value)
            return
        if outcome.ok_value is not None:
            self._replay(outcome.ok_value)
            return
        self.set_header("Content-Type", "application/json")
        await self.finish(sink.recorded_body())

    def _replay(self, recorded) -> None:
        """Answer with the recorded outcome of the first try."""
        claimed = recorded.claimed
        self.set_status(claimed.status)
        self.set_header("Content-Type", claimed.content_type)
        self.set_header("Hawthornlead-Replayed", "true")
        self.finish(claimed.body)


class ServiceHandler(CallerHandler):
    """``/services/NAME/...``: call a plain service beside the model engines."""

    async def get(self, service: str, path: str) -> None:
        """Call the service."""
        await self._call(service, path)

    async def post(self, service: str, path: str) -> None:
        """Call the service."""
        await self._call(service, path)

    async def put(self, service: str, path: str) -> None:
        """Call the service."""
        await self._call(service, path)

    async def delete(self, service: str, path: str) -> None:
        """Call the service."""
        await self._call(service, path)

    async def _call(self, service: str, path: str) -> None:
        built = self._build_call(service, "/" + path)
        if isinstance(built, Err):
            self.refuse(built.err_value)
            return
        outcome = await self._parts.services.serve(built.ok_value)
        if isinstance(outcome, Err):
            self.refuse(outcome.err_value)
            return
        answer = outcome.ok_value
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type)
        self.set_header("Hawthornlead-Target", answer.target)
        if answer.replayed:
            self.set_header("Hawthornlead-Replayed", "true")
        self.finish(answer.body)

    def _build_call(self, service: str, path: str) -> Result[ServiceCall, Failure]:
        requester = self.requester()
        if isinstance(requester, Err):
            return requester
        caller, in_force = requester.ok_value
        method = self.request.method
        assigned = in_force.bundle.service_call(caller, service, method, path)
        if isinstance(assigned, Err):
            return assigned
        headers = self.header_terms(caller)
        if isinstance(headers, Err):
            return headers
        repeatable, terms = assigned.ok_value.repeatable, headers.ok_value
        if not repeatable and not terms.key:
            return Err(
                _bad_request(f"{KEY_HEADER} is needed: this call may not be repeated")
            )
        target_path = path
        if self.request.query:
            target_path += "?" + self.request.query
        call = ServiceCall(
            request_id=self._request_id,
            caller=caller,
            service=service,
            method=method,
            path=target_path,
            content_type=self.request.headers.get("Content-Type", ""),
            body=self.request.body,
            repeatable=repeatable,
            priority=terms.priority,
            deadline_at=terms.deadline_at,
            key=terms.key,
            key_issued_at=terms.key_issued_at,
        )
        return Ok(call)


class UnknownHandler(RequestHandler):
    """Any other path: refused in the usual form of refusals."""

    def prepare(self) -> None:
        """Answer that there is no such route."""
        failure = Failure(ErrorKind.NOT_FOUND, f"no route {self.request.path}")
        self.set_status(failure.answer.status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(failure_fields(failure, "")))


def read_completion(body: bytes) -> Result[CompletionBody, Failure]:
    """Check the JSON body of ``POST /v1/completions``."""
    try:
        fields = json.loads(body)
    except ValueError as error:
        return Err(_bad_request(f"the body is not JSON: {error}"))
    if not isinstance(fields, dict):
        return Err(_bad_request("the body is not a JSON object"))
    unknown = sorted(set(fields) - {"model", "prompt", "max_tokens", "stream"})
    if unknown:
        return Err(_bad_request(f"unknown fields: {', '.join(unknown)}"))
    alias, prompt = fields.get("model"), fields.get("prompt")
    max_tokens, stream = fields.get("max_tokens", 256), fields.get("stream", False)
    if not isinstance(alias, str) or not alias:
        return Err(_bad_request("model: the name of an adapter, a string"))
    if not isinstance(prompt, str):
        return Err(_bad_request("prompt: a string"))
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS:
        return Err(_bad_request(f"max_tokens: 1 to {MAX_TOKENS}"))
    if not isinstance(stream, bool):
        return Err(_bad_request("stream: true or false"))
    return Ok(CompletionBody(alias, prompt, max_tokens, stream))


def caller_routes(parts: CallerParts) -> list:
    """Return the tornado routes for callers."""
    return [
        (r"/v1/completions", CompletionHandler, {"parts": parts}),
        (r"/services/([\w.-]+)/(.*)", ServiceHandler, {"parts": parts}),
    ]


def _whole_number(text: str, low: int, high: int) -> int | None:
    if not text.isascii() or not text.isdigit() or not low <= int(text) <= high:
        return None
    return int(text)


def _bad_request(detail: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, detail)
