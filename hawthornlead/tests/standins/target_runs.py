"""How a stand-in target runs requests, and how its answers go astray."""

import asyncio
import time
from collections import Counter
from random import Random
from typing import NamedTuple

from tornado import httputil

from hawthornlead.gateway.caller_calls import CallerCall

from ..soak_gateway_records import Arrival, Journal, PromptCrash, Run, Told
from .incarnations import Incarnation
from .repeated_answers import RepeatedAnswers, whole_answer

EVENT_S = 0.03
PLAIN_S = (0.005, 0.2)
QUEUED_MOST = 8
LOST_ANSWER_S = 20.0
# Parts of a prompt whose ids begin so crash each engine that begins an answer.
CRASHING = "bad"
NOTICE_HEADERS = {
    "limit": "Server-Limit",
    "leaving": "Server-Leaving",
    "rest": "Retry-After",
}


class Notice(NamedTuple):
    """What a target says of itself in all its answers; see ``Told``."""

    kind: str
    amount: float
    since: float


def event_text(content: str, number: int) -> str:
    """Return what an event of the stream for ``content`` holds, at any engine."""
    return f"{content}#{number}"


class Runs:
    """Runs the requests of one target.

    ``next_faults`` counts how many next requests fare how: "lost" runs and is never
    answered, "cut" breaks off within an event, "fail" answers 500, "refuse" answers
    503 unrun, "stray" sends another's answer first, "garble" bytes that are none.
    Whole answers come a second time as ``repeats`` has it.
    With a ``notice`` all answers say so; who asks for rest refuses all requests.
    """

    def __init__(
        self,
        target: str,
        service: str,
        journal: Journal,
        names: dict[str, str],
        rng: Random,
    ):
        self._target = target
        self._service = service
        self._journal = journal
        self._names = names
        self._rng = rng
        self._number = 0
        self.next_faults: Counter = Counter()
        self.notice: Notice | None = None
        self.repeats = RepeatedAnswers()

    def _takes(self, fault: str) -> bool:
        if self.next_faults[fault] <= 0:
            return False
        self.next_faults[fault] -= 1
        return True

    def _vm(self, call: CallerCall) -> str:
        return self._names.get(call._connection.context.remote_ip, "?")

    def _noticed(self, call: CallerCall, headers: dict) -> dict:
        """Return the headers of an answer with what the target says of itself."""
        notice = self.notice
        if notice is None:
            return headers
        if self._resting() and "Not-Executed" not in headers:
            # The platform's targets ask for rest in refusals alone.
            return headers
        told = Told(self._target, self._vm(call), *notice, time.monotonic())
        self._journal.told.append(told)
        return {**headers, NOTICE_HEADERS[notice.kind]: f"{notice.amount:g}"}

    def _resting(self) -> bool:
        return self.notice is not None and self.notice.kind == "rest"

    async def request(self, call: CallerCall, own: Incarnation) -> None:
        """Run a request, or say that it isn't run."""
        arrived_at = time.monotonic()
        request_id = call.headers.get("Request-Id", "")
        model, _, adapter = call.headers.get("Model", "").partition("/")
        unrun = {"Request-Id": request_id, "Not-Executed": "1"}
        if call.path == "/health":
            answer(call, 200, b"", {"Instance-Id": self._target})
            return
        arrival = Arrival(self._target, self._vm(call), request_id, arrived_at)
        self._journal.arrivals.append(arrival)
        if self._resting():
            answer(call, 503, b"", self._noticed(call, unrun))
            return
        status = own.unable(model, adapter)
        if status == 421:
            answer(call, 421, b"", {"Request-Id": request_id})
            return
        if status or own.waiting >= QUEUED_MOST or self._takes("refuse"):
            answer(call, 503, b"", self._noticed(call, unrun))
            return
        own.waiting += 1
        try:
            await own.slots.acquire()
        finally:
            own.waiting -= 1
        try:
            if own.over or call.left:
                return
            status = own.unable(model, adapter)
            deadline_s = float(call.headers.get("Deadline-Ms", 0)) / 1000
            if status or time.monotonic() - arrived_at > deadline_s:
                answer(call, status or 503, b"", self._noticed(call, unrun))
                return
            await self._run(call, own, adapter, arrived_at, arrived_at + deadline_s)
        finally:
            own.slots.release()

    async def _run(self, call, own, adapter, arrived_at, until) -> None:
        self._number += 1
        run = Run(
            target=self._target,
            service=self._service,
            started_ms=own.started_ms,
            vm=self._vm(call),
            request_id=call.headers.get("Request-Id", ""),
            asked=_asked(call),
            adapter=adapter,
            version=own.adapters.get(adapter, 0),
            software=own.software,
            last_event=int(call.headers.get("Last-Event-Id", 0)),
            arrived_at=arrived_at,
            begun_at=time.monotonic(),
            seal=f"{self._target}.{own.started_ms}.{self._number}",
        )
        self._journal.runs.append(run)
        own.running += 1
        own.used[adapter] += 1
        try:
            if own.model:
                await self._stream(call, own, run, until)
            else:
                await self._answer_plain(call, own, run, until)
        finally:
            run.end("crashed" if own.over else "cancelled")
            own.running -= 1
            own.used[adapter] -= 1
            if adapter in own.leaving and not own.used[adapter]:
                own.unload_now(adapter)

    async def _answer_plain(self, call, own, run, until) -> None:
        await asyncio.sleep(self._rng.uniform(*PLAIN_S))
        await own.awake.wait()
        if own.over:
            return
        sealed = {"Request-Id": run.request_id, "Server-Seal": run.seal}
        if self._takes("lost"):
            run.end("lost")
            await asyncio.sleep(LOST_ANSWER_S)
            call.abort()
            return
        if self._takes("garble"):
            run.end("garbled")
            call._connection.stream.write(b"\x00\x01no answer\r\n\r\n")
            call.abort()
            return
        if self._takes("stray"):
            _stray(call)
        run.status = 500 if self._takes("fail") else 200
        run.body = f"{run.seal} {call.method} {call.path} ".encode() + call.body
        if call.left:
            return
        run.end("done")
        answer(call, run.status, run.body, self._noticed(call, sealed))

    async def _stream(self, call, own, run, until) -> None:
        tokens = int(call.headers.get("Token-Usage", "0,8").partition(",")[2])
        content = call.body.decode("latin1")
        headers = {
            "Request-Id": run.request_id,
            "Server-Seal": run.seal,
            "Content-Type": "text/event-stream",
            "Weight-Versions": str(run.version),
        }
        run.status = 200
        if part := _crashing_part(call):
            crash = PromptCrash(part, self._target, time.monotonic())
            self._journal.prompt_crashes.append(crash)
            self._begin(call, headers, b"")
            own.crashing.set()
            await asyncio.sleep(EVENT_S)
            return
        cut_at = self._rng.randrange(1, max(2, tokens)) if self._takes("cut") else -1
        lost = self._takes("lost")
        for number in range(run.last_event + 1, tokens + 1):
            await asyncio.sleep(EVENT_S * self._rng.uniform(0.5, 1.5))
            await own.awake.wait()
            if own.over or call.left:
                return
            if time.monotonic() > until:
                run.end("deadline")
                call.abort()
                return
            event = _event(content, number)
            if lost:
                continue
            if number > cut_at > 0 and call.answered:
                # A reader gets a whole event and a part of the next at once.
                following = _event(content, number + 1)
                call.write(event + following[: self._rng.randrange(len(following))])
                run.end("cut")
                await asyncio.sleep(0)
                call.abort()
                return
            if call.answered:
                call.write(event)
            else:
                self._begin(call, headers, event)
        if lost:
            run.end("lost")
            await asyncio.sleep(LOST_ANSWER_S)
            call.abort()
            return
        run.end("done")
        self.repeats.keep(call, 200, httputil.HTTPHeaders(headers), b"id: 1\n\n")
        if not call.answered:
            self._begin(call, headers, b"")
        call.finish()

    def _begin(self, call: CallerCall, headers: dict, event: bytes) -> None:
        noticed = httputil.HTTPHeaders(self._noticed(call, headers))
        call.begin(200, "OK", noticed, event)


def _event(content: str, number: int) -> bytes:
    return f"id: {number}\ndata: {event_text(content, number)}\n\n".encode()


def _crashing_part(call: CallerCall) -> str:
    """Return the part of a prompt that crashes engines, empty if it has none."""
    for entry in call.headers.get("Prompt-Prefix", "").split(","):
        if entry.startswith(CRASHING):
            return entry.partition(":")[0]
    return ""


def _asked(call: CallerCall) -> tuple:
    """Return what must be as its caller sent it."""
    return (
        call.method,
        call.path,
        call.headers.get("Model", ""),
        call.headers.get("Token-Usage", ""),
        call.body.decode("latin1"),
    )


def answer(call: CallerCall, status: int, body: bytes, headers: dict) -> None:
    """Give a whole answer, unless its caller has left."""
    if not call.left:
        call.answer(status, "OK", httputil.HTTPHeaders(headers), body)


def _stray(call: CallerCall) -> None:
    headers = {"Request-Id": "another", "Server-Seal": "of-another"}
    another = whole_answer(200, httputil.HTTPHeaders(headers), b"another's answer")
    call._connection.stream.write(another)
