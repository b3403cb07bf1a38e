"""Destinations of answers: a caller's event stream, or a buffer for a whole answer."""

import asyncio
import json
from collections.abc import Awaitable

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from ..errors import Failure
from .relays import token_texts
from .requests import AnswerHead


def event(fields: dict) -> bytes:
    """Return one server-sent event with ``fields`` as JSON."""
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


def head_fields(head: AnswerHead) -> dict:
    """Return the fields that say where an answer comes from."""
    return {
        "id": head.request_id,
        "adapter": head.adapter,
        "version": head.version,
        "target": head.target,
        "bundle": head.bundle_seq,
    }


def failure_fields(failure: Failure, request_id: str) -> dict:
    """Return the fields of a refusal's body."""
    return {
        "error": failure.kind.value,
        "ran": failure.answer.ran.value,
        "detail": failure.detail,
        "retry_after_s": failure.retry_after_s,
        "addresses": list(failure.addresses),
        "id": request_id,
    }


class CollectingSink:
    """Buffers an answer until it is complete, for a caller that requested no stream."""

    def __init__(self):
        self._head: AnswerHead | None = None
        self._texts: list[str] = []
        self._gone = False

    @property
    def gone(self) -> bool:
        """Whether the caller has left."""
        return self._gone

    @property
    def started(self) -> bool:
        """Whether part of the answer was sent to the caller: never."""
        return False

    @property
    def count(self) -> int:
        """How many tokens were written to this sink."""
        return len(self._texts)

    def set_head(self, head: AnswerHead) -> None:
        """Set where the answer comes from; a later attempt's head replaces it."""
        self._head = head

    def write(self, events: bytes) -> None:
        """Buffer whole token events."""
        self._texts.extend(token_texts(events))

    def mark_gone(self) -> None:
        """Mark the caller as gone."""
        self._gone = True

    def recorded_body(self) -> bytes:
        """Return the whole answer as the body of a response."""
        fields = head_fields(self._head)
        fields["text"] = "".join(self._texts)
        fields["count"] = len(self._texts)
        return json.dumps(fields).encode()


class StreamSink:
    """Streams an answer to its caller as server-sent events.

    Events that arrive within ``batch_s`` seconds are sent in one write, which costs
    one system call for many tokens. A caller that does not read blocks reading from
    the target; after ``stall_timeout_s`` seconds it counts as gone.
    """

    def __init__(self, handler: RequestHandler, batch_s: float, stall_timeout_s: float):
        self._handler = handler
        self._stream = handler.request.connection.stream
        self._batch_s = batch_s
        self._stall_timeout_s = stall_timeout_s
        self._pending: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None
        self._started = False
        self._gone = False
        self._count = 0
        self._head: AnswerHead | None = None

    @property
    def gone(self) -> bool:
        """Whether the caller has left or reads too slowly."""
        return self._gone

    @property
    def started(self) -> bool:
        """Whether part of the answer was sent to the caller."""
        return self._started

    @property
    def count(self) -> int:
        """How many tokens were written to this sink."""
        return self._count

    def set_head(self, head: AnswerHead) -> None:
        """Set where the answer comes from; sent to the caller with the first token."""
        if not self._started:
            self._head = head

    def write(self, events: bytes) -> Awaitable[None] | None:
        """Send whole token events, the first ones at once."""
        self._count += events.count(b"\n\n")
        if not self._started:
            self._start()
            self._pending.append(events)
            return self._flush()
        self._pending.append(events)
        if self._stream.writing():
            # The caller has not read what was sent before: pause reading the target.
            return self._flush()
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._batch_s, self._flush_in_background)
        return None

    def mark_gone(self) -> None:
        """Mark the caller as gone."""
        self._gone = True

    def recorded_body(self) -> bytes:
        """Return what the claim stores of a streamed answer: nothing."""
        return b""

    async def finish(self) -> None:
        """Send what is pending and the end marker, once the answer is complete."""
        if not self._started:
            self._start()
        self._pending.append(event({"done": True, "count": self._count}))
        await self._flush_and_wait()

    async def fail(self, failure: Failure, request_id: str) -> None:
        """End a started stream with an error in place of the end marker."""
        self._pending.append(
            b"event: error\n" + event(failure_fields(failure, request_id))
        )
        await self._flush_and_wait()

    def _start(self) -> None:
        self._started = True
        # Tornado sets this only for whole answers. Without it a write waits until the
        # caller's system has acknowledged the previous one, which many delay by
        # 40 ms, so tokens would arrive in bursts.
        self._stream.set_nodelay(True)
        self._handler.set_header("Content-Type", "text/event-stream")
        self._handler.set_header("Cache-Control", "no-store")
        self._pending.append(event(head_fields(self._head) | {"offset": 0}))

    def _flush_in_background(self) -> None:
        # Nothing waits for this write: the next one detects unread data.
        self._timer = None
        drained = self._flush()
        if drained is not None:
            asyncio.ensure_future(drained).add_done_callback(_ignore_exception)

    async def _flush_and_wait(self) -> None:
        drained = self._flush()
        if drained is not None:
            await drained

    def _flush(self) -> Awaitable[None] | None:
        """Write what is pending; return an awaitable if the caller is slow.

        Usually the system accepts a write completely, and there is nothing to wait
        for.
        """
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        chunk = b"".join(self._pending)
        self._pending.clear()
        if not chunk or self._gone:
            return None
        self._handler.write(chunk)
        self._handler.flush()
        if self._stream.closed():
            self._gone = True
            return None
        return self._drain() if self._stream.writing() else None

    async def _drain(self) -> None:
        # An empty write completes after all earlier ones. The future of the handler's
        # own flush can't be awaited: tornado keeps one per connection, and a second
        # flush during a pending one replaces it. The first would never complete, and
        # a caller that reads would count as gone.
        try:
            await asyncio.wait_for(self._stream.write(b""), self._stall_timeout_s)
        except (StreamClosedError, TimeoutError):
            self._gone = True


def _ignore_exception(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()
