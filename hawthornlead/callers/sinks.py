"""Where answers go: a caller's event stream, or a buffer for a whole answer."""

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
    """Return the fields that name what gave an answer."""
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
    """Keeps an answer until it is whole, for a caller that asked for no stream."""

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
        """Whether a part of the answer has gone to the caller: never."""
        return False

    @property
    def count(self) -> int:
        """How many tokens were taken."""
        return len(self._texts)

    def set_head(self, head: AnswerHead) -> None:
        """Note what gives the answer; a later attempt's head replaces it."""
        self._head = head

    def write(self, events: bytes) -> None:
        """Keep whole token events."""
        self._texts.extend(token_texts(events))

    def leave(self) -> None:
        """Note that the caller has left."""
        self._gone = True

    def recorded(self) -> bytes:
        """Return the whole answer as the body of a response."""
        fields = head_fields(self._head)
        fields["text"] = "".join(self._texts)
        fields["count"] = len(self._texts)
        return json.dumps(fields).encode()


class StreamSink:
    """Hands an answer on to its caller as server-sent events.

    Events that come within ``gather_s`` seconds go out in one write, which costs
    one system call for many tokens. A caller that does not read holds back the
    target; after ``slow_s`` seconds it counts as gone.
    """

    def __init__(self, handler: RequestHandler, gather_s: float, slow_s: float):
        self._handler = handler
        self._stream = handler.request.connection.stream
        self._gather_s = gather_s
        self._slow_s = slow_s
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
        """Whether a part of the answer has gone to the caller."""
        return self._started

    @property
    def count(self) -> int:
        """How many tokens were taken."""
        return self._count

    def set_head(self, head: AnswerHead) -> None:
        """Note what gives the answer; the caller is told with the first token."""
        if not self._started:
            self._head = head

    def write(self, events: bytes) -> Awaitable[None] | None:
        """Take whole token events; the first go out at once."""
        self._count += events.count(b"\n\n")
        if not self._started:
            self._start()
            self._pending.append(events)
            return self._flush()
        self._pending.append(events)
        if self._stream.writing():
            # The caller has not read what was sent before: hold back the target.
            return self._flush()
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._gather_s, self._flush_quietly)
        return None

    def leave(self) -> None:
        """Note that the caller has left."""
        self._gone = True

    def recorded(self) -> bytes:
        """Return what is kept of a streamed answer with its claim: nothing."""
        return b""

    async def finish(self) -> None:
        """Send what is left and the end marker, once the answer is whole."""
        if not self._started:
            self._start()
        self._pending.append(event({"done": True, "count": self._count}))
        await self._flushed()

    async def fail(self, failure: Failure, request_id: str) -> None:
        """End a stream that has started with an error in place of the end marker."""
        self._pending.append(
            b"event: error\n" + event(failure_fields(failure, request_id))
        )
        await self._flushed()

    def _start(self) -> None:
        self._started = True
        # Tornado sets this for whole answers only. Without it a write waits until
        # the caller's system has acknowledged the one before, which many delay by
        # 40 ms, so that tokens come in lumps.
        self._stream.set_nodelay(True)
        self._handler.set_header("Content-Type", "text/event-stream")
        self._handler.set_header("Cache-Control", "no-store")
        self._pending.append(event(head_fields(self._head) | {"offset": 0}))

    def _flush_quietly(self) -> None:
        # Nobody waits here: the next write finds what is still unread.
        self._timer = None
        drained = self._flush()
        if drained is not None:
            asyncio.ensure_future(drained).add_done_callback(_consume)

    async def _flushed(self) -> None:
        drained = self._flush()
        if drained is not None:
            await drained

    def _flush(self) -> Awaitable[None] | None:
        """Write what is pending; return what to wait for if the caller is slow.

        Nearly always the system takes a write whole, and there is nothing to wait
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
        # An empty write ends when all before it have. The future of the handler's
        # own flush can't be waited for: tornado keeps one for a connection, and a
        # flush that comes while another waits leaves the first without an end, so
        # that its waiter would take a caller that reads for gone.
        try:
            await asyncio.wait_for(self._stream.write(b""), self._slow_s)
        except (StreamClosedError, TimeoutError):
            self._gone = True


def _consume(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()
