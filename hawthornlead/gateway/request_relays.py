"""Relaying of one request to another VM, and of that VM's answer to the caller.

::

    relay = RequestRelay(
        parts, call, request, stream, reporter, ledger, deadline_at
    )
    outcome = await relay.run(route, "bulletins")
"""

import asyncio
from collections.abc import Callable

from ..platform.headers import relay_headers
from ..promises.run_ledgers import RunLedger, prove_not_run
from ..provenance.origin_tables import StreamOrigin
from .caller_calls import CallerCall
from .gateway_parts import GatewayParts
from .records import CallerRequest, Route, RouteKind
from .request_reporters import RequestReporter
from .stream_relays import CallerStream, StreamRelay
from .target_attempts import MIN_REMAINING_S
from .target_connections import AnswerSink, Exchange, Head, WholeAnswer
from .vm_relays import (
    CONFIGURATION,
    NOT_TAKEN,
    RAN,
    SENT,
    SERVICE,
    SOFTWARE,
    RelayOutcome,
)

# VMs that are asked, one after the other, to take a request.
MAX_VMS = 3
# Another VM accepts a connection in a few milliseconds.
CONNECT_TIMEOUT_S = 0.3
# A poll that comes this much too late was delayed by this VM itself.
MAX_LAG_S = 0.1
# How often the other VM is checked for silence while its answer is due.
POLL_INTERVAL_S = 0.25
# A VM that is silent on the mesh counts as lost if the connection of the request has
# been silent for this long too.
ANSWER_SILENCE_S = 1.0


class _TimedSink:
    """Forwards an answer to its sink; ``active_at`` is when it last came on."""

    def __init__(self, sink: AnswerSink, now: Callable[[], float]):
        self._sink = sink
        self._now = now
        self.active_at = now()

    def handle_head(self, head: Head) -> None:
        """Forward the head."""
        self.active_at = self._now()
        self._sink.handle_head(head)

    def handle_data(self, chunk: bytes) -> bool | None:
        """Forward a chunk of the body."""
        self.active_at = self._now()
        return self._sink.handle_data(chunk)


class RequestRelay:
    """Relays one request; its caller has its answer if the outcome is ``DONE``."""

    def __init__(
        self,
        parts: GatewayParts,
        call: CallerCall,
        request: CallerRequest,
        stream: CallerStream,
        reporter: RequestReporter,
        ledger: RunLedger,
        deadline_at: float,
        last_event: str = "",
        origin: StreamOrigin | None = None,
    ):
        self._parts = parts
        self._call = call
        self._request = request
        self._stream = stream
        self._reporter = reporter
        self._ledger = ledger
        self._deadline_at = deadline_at
        self._last_event = last_event
        self._origin = origin

    @property
    def remaining_s(self) -> float:
        """The time left before the deadline."""
        return self._deadline_at - self._parts.timers.now()

    async def run(self, route: Route, service: str) -> RelayOutcome:
        """Have the request served by another VM, and forward its answer."""
        tried: set[str] = set()
        while len(tried) < MAX_VMS and self.remaining_s > MIN_REMAINING_S:
            vm = self._parts.relay_vms.choose(service, tried)
            if vm is None:
                break
            tried.add(vm)
            outcome = await self._relay_to(vm, route)
            self._reporter.relayed(vm, service, outcome)
            if outcome is RelayOutcome.NOT_TAKEN:
                self._parts.relay_vms.record_not_taken(vm, service)
                continue
            if outcome is not RelayOutcome.LOST:
                return outcome
            if not route.repeatable or self._ledger.ran >= route.attempts:
                return outcome
        return RelayOutcome.LOST if self._ledger.ran else RelayOutcome.NOT_TAKEN

    async def _relay_to(self, vm: str, route: Route) -> RelayOutcome:
        relay_vms = self._parts.relay_vms
        opened = await relay_vms.connections.open(
            relay_vms.address(vm), within_s=CONNECT_TIMEOUT_S
        )
        if opened.is_err():
            return RelayOutcome.NOT_TAKEN
        exchange = opened.ok_value
        if self._call.left:
            exchange.release()
            return RelayOutcome.LEFT
        if not self._ledger.may_send(repeatable=route.repeatable or route.resumable):
            exchange.close()
            return RelayOutcome.LOST
        if route.kind is RouteKind.STREAMING:
            sink = StreamRelay(self._stream, self._parts.timers.now)
        else:
            sink = WholeAnswer(self._call.reserve)
        timed = _TimedSink(sink, self._parts.timers.now)
        self._send(exchange, timed)
        await self._wait(vm, exchange, timed)
        if not exchange.ended.done():
            return self._end_unanswered(vm, exchange, sink)
        return self._end_answered(exchange, sink)

    def _send(self, exchange: Exchange, sink: _TimedSink) -> None:
        headers = relay_headers(
            self._call.headers,
            deadline_ms=self.remaining_s * 1000,
            last_event=self._last_event,
        )
        headers[CONFIGURATION] = str(self._parts.configuration.version)
        headers[SENT] = str(self._ledger.sent)
        headers[RAN] = str(self._ledger.ran)
        if self._origin is not None:
            headers[SERVICE], headers[SOFTWARE] = self._origin
        self._ledger.record_relay()
        exchange.send(
            self._call.method,
            self._call.path,
            headers,
            self._call.body,
            request_id=self._request.request_id,
            sink=sink,
        )

    async def _wait(self, vm: str, exchange: Exchange, sink: _TimedSink) -> None:
        """Wait for the end of the answer, of the caller, of the VM or of the time."""
        waiting = {exchange.ended, self._call.gone}
        while not any(each.done() for each in waiting) and self.remaining_s > 0:
            polled_at = self._parts.timers.now()
            wait_s = min(self.remaining_s, POLL_INTERVAL_S)
            await asyncio.wait(
                waiting, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            # After a standstill of this VM, what others sent meanwhile isn't read yet.
            late = self._parts.timers.now() - polled_at > wait_s + MAX_LAG_S
            if not late and self._is_lost(vm, sink):
                return

    def _is_lost(self, vm: str, sink: _TimedSink) -> bool:
        """Whether the other VM is silent on the mesh, and on this connection too.

        The mesh alone proves nothing against a connection that lives: its heartbeats
        may be late, or its own connection may have been closed.
        """
        if self._parts.relay_vms.is_reachable(vm):
            return False
        return self._parts.timers.now() - sink.active_at > ANSWER_SILENCE_S

    def _end_unanswered(
        self, vm: str, exchange: Exchange, sink: StreamRelay | WholeAnswer
    ) -> RelayOutcome:
        # The other VM cancels the run when its connection closes.
        exchange.close()
        if self._call.left:
            return RelayOutcome.LEFT
        if self._parts.relay_vms.is_reachable(vm):
            return RelayOutcome.LATE
        return RelayOutcome.BROKEN if _has_begun(sink) else RelayOutcome.LOST

    def _end_answered(
        self, exchange: Exchange, sink: StreamRelay | WholeAnswer
    ) -> RelayOutcome:
        if sink.dropped:
            exchange.close()
            return RelayOutcome.BROKEN
        # A VM gives each response a length or sends it in chunks, so one that only its
        # connection's close ends is not a VM's, or not all of it.
        if sink.head is None or not exchange.whole or not sink.head.framed:
            exchange.close()
            return RelayOutcome.BROKEN if _has_begun(sink) else RelayOutcome.LOST
        if isinstance(sink, StreamRelay) and sink.ends_inside_event:
            exchange.close()
            return RelayOutcome.BROKEN
        exchange.release()
        not_taken = NOT_TAKEN in sink.head.headers
        proof = prove_not_run(sink.head.status, stated=not_taken)
        if proof is not None:
            self._ledger.record_not_run(proof)
            return RelayOutcome.NOT_TAKEN
        if _has_begun(sink):
            sink.flush()
            if not self._stream.begun:
                self._stream.send(sink.head, b"")
            self._call.finish()
            return RelayOutcome.DONE
        if self._stream.begun:
            return RelayOutcome.BROKEN
        self._reporter.answer(_whole_answer(sink))
        return RelayOutcome.DONE


def _has_begun(sink: StreamRelay | WholeAnswer) -> bool:
    """Whether a part of a stream may have been forwarded."""
    return isinstance(sink, StreamRelay) and sink.accepted


def _whole_answer(sink: StreamRelay | WholeAnswer) -> WholeAnswer:
    """Return the complete answer that a sink has kept."""
    if isinstance(sink, WholeAnswer):
        return sink
    answer = WholeAnswer()
    head: Head = sink.head
    answer.handle_head(head)
    answer.handle_data(sink.unsent)
    return answer
