"""Attempts: sending one request to one target, and the outcome for both of them."""

import asyncio

from ..engine_speeds.stream_samples import EventTimes, StreamSample
from ..errors import ErrorKind, Failure
from ..platform.headers import request_headers
from ..promises.run_ledgers import PROMISE_STATUSES, RunLedger, prove_not_run
from ..provenance.origin_tables import StreamOrigin
from .attempt_crashes import AttemptCrashes
from .attempt_outcomes import AttemptOutcome, Unreached
from .attempt_records import AttemptRecords, LoadAtStart
from .caller_calls import CallerCall
from .gateway_parts import GatewayParts
from .placers import Placed
from .records import CallerRequest, Loss, Route, RouteKind, TargetEntry, Workspace
from .request_reporters import RequestReporter
from .request_signatures import RequestSignature
from .stream_bindings import StreamBinding
from .stream_relays import CallerStream, StreamRelay
from .target_choices import Holding
from .target_connections import (
    AnswerSink,
    Exchange,
    ExchangeTrace,
    Head,
    WholeAnswer,
)
from .target_liveness import LossSubscriber, Repeat, repeat_rule
from .target_notices import apply_notices
from .target_probes import MISDIRECTED_STATUS

# No attempt starts with less than this left of the deadline.
MIN_REMAINING_S = 0.02
# A target whose stream is silent for this long is slow or unreachable: it counts as a
# failure of the target.
SILENCE_TIMEOUT_S = 1.2


class Attempts:
    """The attempts of one request, each at a target that the placer chose.

    ``failed_answer`` is the last complete answer that was a failure and was held back.
    ``loss`` is the proof by which the last attempt's target was lost, if it was, and
    ``unreached`` why the last attempt didn't reach its target, if it didn't. ``trace``
    tells on which connection the last attempt was sent, and what it read there.
    ``crashes`` records what they show about crashes of targets, and ``sample`` what the
    last attempt shows of its target's speed.
    """

    def __init__(
        self,
        parts: GatewayParts,
        call: CallerCall,
        request: CallerRequest,
        stream: CallerStream,
        reporter: RequestReporter,
        deadline_at: float,
        signature: RequestSignature,
        binding: StreamBinding,
        ledger: RunLedger,
        workspace: Workspace | None = None,
    ):
        self._workspace = workspace.name if workspace is not None else ""
        self._parts = parts
        self._call = call
        self._request = request
        self._stream = stream
        self._reporter = reporter
        self._deadline_at = deadline_at
        self.crashes = AttemptCrashes(parts, signature)
        self._binding = binding
        self._ledger = ledger
        self._records = AttemptRecords(parts)
        self._load = LoadAtStart(0, 0)
        # Where a stream that may be resumed begins at the target of the attempt.
        self._origin: StreamOrigin | None = None
        self.failed_answer: WholeAnswer | None = None
        self.loss: Loss | None = None
        self.unreached: Unreached | None = None
        self.trace: ExchangeTrace | None = None
        self.last_event = ""
        self.sample: StreamSample | None = None

    @property
    def remaining_s(self) -> float:
        """The time left before the deadline."""
        return self._deadline_at - self._parts.timers.now()

    async def make(self, route: Route, placed: Placed) -> AttemptOutcome:
        """Send the request to a target and forward its answer."""
        entry = placed.entry
        loss_detector = self._parts.loss_detector
        self.loss = self.unreached = self.sample = self.trace = None
        spec = self._parts.configuration.service(entry.service)
        if spec is None:
            return self._on_unreached(Unreached.GONE)
        if not await loss_detector.check_healthy(entry):
            return self._on_unreached(Unreached.SILENT)
        if not self._may_send(placed):
            return AttemptOutcome.UNWANTED
        self._origin = self._parts.writer_proofs.origin_at(route, spec, entry)
        opened = await self._parts.writer_proofs.open(route, entry, self._origin)
        if opened.is_err():
            return self._on_unopened(entry, opened.err_value)
        exchange = opened.ok_value
        if self._call.left:
            exchange.release()
            return AttemptOutcome.LEFT
        if not self._parts.targets.is_current(entry):
            exchange.close()
            return self._on_unreached(Unreached.GONE)
        if not self._ledger.may_send(repeatable=repeat_rule(route) is not Repeat.NEVER):
            exchange.close()
            return AttemptOutcome.SPENT
        if not self.crashes.acquire():
            exchange.release()
            return AttemptOutcome.QUARANTINED
        self._parts.loads.on_request_started(entry.target, placed.key)
        slots = spec.engine.batch if spec.engine else entry.slots
        self._load = LoadAtStart(slots, self._parts.loads.running(entry.target))
        subscriber = loss_detector.subscribe(entry, spec, repeat_rule(route))
        try:
            if route.kind is RouteKind.STREAMING:
                return await self._relay_stream(route, placed, exchange, subscriber)
            return await self._fetch_whole(route, entry, exchange, subscriber)
        finally:
            self.trace = exchange.trace
            loss_detector.unsubscribe(subscriber)
            self._parts.loads.on_request_ended(entry.target, placed.key)

    def _on_unopened(self, entry: TargetEntry, failure: Failure) -> AttemptOutcome:
        if failure.kind is ErrorKind.NO_TARGET:
            return self._on_unreached(Unreached.UNPROVED)
        self._records.count_failure(entry, gone=True)
        return self._on_unreached(
            Unreached.REFUSED if failure.refused else Unreached.NO_CONNECTION
        )

    def _on_unreached(self, cause: Unreached) -> AttemptOutcome:
        self.unreached = cause
        return AttemptOutcome.UNREACHED

    def _may_send(self, placed: Placed) -> bool:
        """Whether the target still accepts the request.

        It may have asked for backoff, or named a limit, after the request was placed.
        """
        target = placed.entry.target
        if self._parts.backoffs.wait_s(target):
            return False
        return placed.counted or self._parts.limits.acquire(target)

    def _send(
        self,
        route: Route,
        entry: TargetEntry,
        exchange: Exchange,
        subscriber: LossSubscriber,
        sink: AnswerSink,
    ) -> None:
        sent_at = self._parts.timers.now()
        headers = request_headers(
            self._call.headers,
            deadline_ms=self.remaining_s * 1000,
            target=entry.target,
            priority=min(9, max(0, route.priority)),
            last_event=self.last_event,
            keyed=self._parts.workspaces.keyed,
            workspace=self._workspace,
        )
        self._ledger.record_send()
        exchange.send(
            self._call.method,
            self._call.path,
            headers,
            self._call.body,
            request_id=self._request.request_id,
            sink=subscriber.watch_answer(
                sink, lambda head: apply_notices(self._parts, entry, head, sent_at)
            ),
        )

    async def _fetch_whole(
        self,
        route: Route,
        entry: TargetEntry,
        exchange: Exchange,
        subscriber: LossSubscriber,
    ) -> AttemptOutcome:
        answer = WholeAnswer(self._call.reserve)
        sent_at = self._parts.timers.now()
        self._send(route, entry, exchange, subscriber, answer)
        waiting = {exchange.ended, self._call.gone, subscriber.lost}
        await asyncio.wait(
            waiting, timeout=self.remaining_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not exchange.ended.done():
            exchange.close()
            if self._call.left:
                return AttemptOutcome.LEFT
            if subscriber.lost.done():
                self.loss = subscriber.lost.result()
                self.crashes.on_lost(subscriber, answered=False)
                return AttemptOutcome.LOST
            self._records.count_failure(entry)
            return AttemptOutcome.LATE
        if answer.dropped:
            exchange.close()
            return AttemptOutcome.DROPPED
        if answer.head is None or not exchange.whole:
            exchange.close()
            return self._on_answer_lost(entry, answered=False)
        exchange.release()
        if self._is_not_run(answer.head):
            return self._on_refused(entry, answer.head.status, None)
        if answer.head.succeeded and answer.head.framed:
            self.crashes.record_answered()
        self._records.record_wait(entry, sent_at, answer.head.status, self._load)
        return self._forward_whole(route, entry, exchange, answer)

    def _forward_whole(
        self, route: Route, entry: TargetEntry, exchange: Exchange, answer: WholeAnswer
    ) -> AttemptOutcome:
        head = answer.head
        if not head.signs.sealed or head.status in PROMISE_STATUSES:
            # The target didn't state that nothing ran.
            return AttemptOutcome.FAILED
        again = route.repeatable and self._ledger.ran < route.attempts
        if head.status >= 500 and again and self.remaining_s > MIN_REMAINING_S:
            self.failed_answer = answer
            return AttemptOutcome.FAILED
        self._reporter.answer(answer)
        self._reporter.served(entry, head.status, None, exchange.trace)
        return AttemptOutcome.DONE

    async def _relay_stream(
        self,
        route: Route,
        placed: Placed,
        exchange: Exchange,
        subscriber: LossSubscriber,
    ) -> AttemptOutcome:
        entry = placed.entry
        times = EventTimes() if self._parts.measured.enabled else None
        relay = StreamRelay(
            self._stream,
            self._parts.timers.now,
            lambda: self._binding.accept(entry, exchange.writer, self._origin),
            self.crashes.record_answered,
            times,
            self._request.max_tokens if self._request.tells_tokens else None,
        )
        sent_at = self._parts.timers.now()
        self._send(route, entry, exchange, subscriber, relay)
        waiting = {exchange.ended, self._call.gone, subscriber.lost}
        waiting |= {relay.refused, relay.overrun}
        silent = False
        while not any(each.done() for each in waiting):
            remaining_s = self.remaining_s
            if remaining_s <= 0:
                break
            if (
                not silent
                and self._parts.timers.now() - relay.active_at > SILENCE_TIMEOUT_S
            ):
                silent = True
                self._records.count_failure(entry)
            await asyncio.wait(
                waiting,
                timeout=min(remaining_s, SILENCE_TIMEOUT_S),
                return_when=asyncio.FIRST_COMPLETED,
            )
        if relay.first_at is not None:
            wait_ms = (relay.first_at - sent_at) * 1000
            self._parts.healths.record_answer(entry.target, wait_ms)
            if times is not None:
                tokens, beside = self._request.prompt_tokens, self._load.running - 1
                self.sample = times.sample(wait_ms, tokens, beside)
        return self._end_stream(placed, exchange, relay, subscriber, sent_at)

    def _end_stream(
        self,
        placed: Placed,
        exchange: Exchange,
        relay: StreamRelay,
        subscriber: LossSubscriber,
        sent_at: float,
    ) -> AttemptOutcome:
        entry = placed.entry
        if relay.refused.done() or relay.overrun.done() or relay.dropped:
            exchange.close()
            return self._end_rejected_stream(entry, relay)
        if not exchange.ended.done():
            # Close first, so that a target that is alive cancels the run.
            exchange.close()
            if self._call.left:
                return AttemptOutcome.LEFT
            if subscriber.lost.done():
                self.loss = subscriber.lost.result()
                self.crashes.on_lost(subscriber, relay.answered)
                return AttemptOutcome.BROKEN if relay.accepted else AttemptOutcome.LOST
            return AttemptOutcome.LATE
        if relay.head is None:
            exchange.close()
            return self._on_answer_lost(entry, answered=False)
        if not relay.accepted:
            return self._end_refused_stream(placed, exchange, relay)
        # A stream that ends inside an event was broken off, whatever its framing says.
        # Without a length it ends with its connection, and so does one of a target that
        # crashes: without any event the target didn't answer.
        unanswered = relay.first_at is None and not relay.head.framed
        if not exchange.whole or relay.ends_inside_event or unanswered:
            exchange.close()
            self._on_answer_lost(entry, relay.answered)
            return AttemptOutcome.BROKEN
        exchange.release()
        if relay.head.framed:
            self.crashes.record_answered()
        relay.flush()
        if not self._stream.begun:
            self._stream.send(relay.head, b"")
        self._call.finish()
        self._records.record_run(entry, sent_at, self._load)
        self._reporter.served(entry, relay.head.status, relay, exchange.trace)
        return AttemptOutcome.DONE

    def _end_rejected_stream(
        self, entry: TargetEntry, relay: StreamRelay
    ) -> AttemptOutcome:
        """End a stream that isn't relayed on, whatever its target still sends."""
        if relay.dropped:
            return AttemptOutcome.DROPPED
        if relay.refused.done():
            return AttemptOutcome.OTHER_SOFTWARE
        # The target lives, so its request has not crashed it.
        self._records.count_failure(entry)
        return AttemptOutcome.BROKEN if relay.accepted else AttemptOutcome.LOST

    def _end_refused_stream(
        self, placed: Placed, exchange: Exchange, relay: StreamRelay
    ) -> AttemptOutcome:
        entry, head = placed.entry, relay.head
        if not exchange.whole:
            exchange.close()
            return self._on_answer_lost(entry, answered=False)
        exchange.release()
        if self._is_not_run(head):
            return self._on_refused(entry, head.status, placed)
        self._records.count_failure(entry)
        if self._stream.begun or not head.signs.sealed:
            return AttemptOutcome.FAILED
        answer = WholeAnswer()
        answer.handle_head(head)
        answer.handle_data(relay.unsent)
        if head.status in PROMISE_STATUSES:
            return AttemptOutcome.FAILED
        self._reporter.answer(answer)
        self._reporter.served(entry, head.status, None, exchange.trace)
        return AttemptOutcome.DONE

    # What an answer that isn't forwarded shows

    def _is_not_run(self, head: Head) -> bool:
        """Whether a whole answer proves that the request didn't run; record it."""
        proof = prove_not_run(head.status, stated=head.signs.not_run)
        if proof is None:
            return False
        self._ledger.record_not_run(proof)
        return True

    def _on_answer_lost(self, entry: TargetEntry, answered: bool) -> AttemptOutcome:
        self._records.count_failure(entry)
        self.crashes.on_broken(entry, answered)
        return AttemptOutcome.LOST

    def _on_refused(
        self, entry: TargetEntry, status: int, placed: Placed | None
    ) -> AttemptOutcome:
        if self._parts.backoffs.wait_s(entry.target):
            # The target sheds load, which shows nothing of its health or the adapter.
            return AttemptOutcome.REFUSED
        key = placed.key if placed is not None else None
        if key is None or not key.adapter:
            self._records.count_failure(entry)
            return AttemptOutcome.REFUSED
        if not self._parts.targets.is_current(entry):
            return AttemptOutcome.REFUSED
        self._parts.placer.notify_missing(entry.target, key)
        if status == MISDIRECTED_STATUS and placed.candidate.holding is Holding.READY:
            # An adapter that is loaded for this request counts as ready at its expected
            # arrival and may be late, so it isn't marked absent. Else it would be
            # fetched again at the next engine, and more fetches slow down each of them.
            self._parts.targets.mark_refused(entry.target, key)
            return AttemptOutcome.REFUSED
        if placed.foreseen:
            # Its owner expects it again. Asked for a turn before that is announced, the
            # owner would answer that the adapter has left.
            self._parts.targets.mark_refused(entry.target, key, arriving=True)
        return AttemptOutcome.TOO_EARLY
