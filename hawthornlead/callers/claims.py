"""At-most-once execution: claims on (caller, idempotency key) and their outcomes.

A request that must not be repeated is claimed before it is sent to a target. A second
try, even through another VM, then finds the claim of the first::

    claimed = await claims.claim("gijon-7", "lap-81", fingerprint, attempt_id)
    if claimed.is_ok() and claimed.ok_value.state == "new":
        ...  # run it
        await claims.record("gijon-7", "lap-81", attempt_id, "done", 200, type, body)

A claim without an outcome whose VM is gone answers ``unknown``, never ``new``: the
request may have run. The VM that rendezvous hashing selects for a key's range commits
the claims of all VMs in batches. If it does not answer, the claim is written directly,
which is just as safe because the update is conditional.

A key carries no time. A claim is removed after ``CLAIM_KEEP_S``, and its key is then
new again: at most once holds for tries within that time. A request's deadline is at
most half of it, so no claim is removed while its request may still start.
"""

import asyncio
from collections import OrderedDict
from typing import NamedTuple

from result import Err, Ok, Result

from ..core_parts import CoreParts
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..hashes import rendezvous
from ..messages import Claim, Claimed, Done, Failed, RecordOutcome
from ..ownership.lease_objects import process_of
from .claim_ranges import ClaimRange
from .claim_rows import DONE, NOT_RUN, row_id

COMMIT_CALL_TIMEOUT_S = 0.5
COMMITTER_BACKOFF_S = 5.0
RECORD_RETRY_S = 1.0
MAX_UNRECORDED = 4096
RECORD_BATCH_SIZE = 64
MAX_KEY_CHARS = 512


class _Unrecorded(NamedTuple):
    outcome: RecordOutcome
    since: float


class Claims:
    """The claims made through one VM; shared state is in the object API only."""

    def __init__(self, *, core: CoreParts, store, mesh, members):
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._metrics = core.metrics
        self._mesh = mesh
        self._members = members
        self._ranges = [
            ClaimRange(
                number,
                core=core,
                store=store,
                is_gone=self._is_gone,
            )
            for number in range(core.settings["CLAIM_RANGES"])
        ]
        self._unrecorded: OrderedDict[str, _Unrecorded] = OrderedDict()
        self._skipped_until: dict[str, float] = {}
        self._subscription = None
        self._recording: asyncio.Task | None = None
        mesh.on(Claim, self._on_claim)
        mesh.on(RecordOutcome, self._on_outcome)

    @property
    def unrecorded(self) -> int:
        """How many outcomes are waiting to be recorded."""
        return len(self._unrecorded)

    def start(self) -> None:
        """Start the periodic retry of outcomes that could not be recorded."""
        self._subscription = self._timers.every(
            RECORD_RETRY_S, self._start_recording, name="claims"
        )

    async def stop(self) -> None:
        """Try once more to record the waiting outcomes, then stop."""
        if self._subscription is not None:
            self._subscription.cancel()
        self._start_recording()
        if self._recording is not None:
            await self._recording
        for claim_range in self._ranges:
            await claim_range.stop()

    async def claim(
        self, caller: str, key: str, fingerprint: bytes, attempt_id: str
    ) -> Result[Claimed, Failure]:
        """Claim a key for one attempt id, which must be unique to the request.

        The request may run only if the answer has state ``new``, and must not after
        an error: ``store-unavailable`` is 'not run'.
        """
        if not 0 < len(key) <= MAX_KEY_CHARS:
            detail = f"an idempotency key has 1 to {MAX_KEY_CHARS} characters"
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
        incarnation = self._mesh.incarnation
        vm = self._settings["VM_NAME"]
        claim = Claim(caller, key, fingerprint, attempt_id, vm, incarnation)
        started = self._timers.now()
        try:
            claimed = await self._commit(claim)
        except asyncio.CancelledError:
            self._queue_outcome(RecordOutcome(caller, key, attempt_id, NOT_RUN))
            raise
        self._metrics.claim_time.observe(self._timers.now() - started)
        if isinstance(claimed, Err):
            # The write may still have taken effect. The request is refused as 'not
            # run', so the claim must be released, or the key would stay taken.
            self._queue_outcome(RecordOutcome(caller, key, attempt_id, NOT_RUN))
            self._metrics.claims.labels(claimed.err_value.kind.value).inc()
            return claimed
        self._metrics.claims.labels(claimed.ok_value.state).inc()
        return claimed

    async def record(
        self,
        caller: str,
        key: str,
        attempt_id: str,
        state: str,
        status: int = 0,
        content_type: str = "",
        body: bytes = b"",
    ) -> Result[None, Failure]:
        """Record how a claimed request ended: ``done``, ``unknown`` or ``not_run``.

        An answer over ``MAX_OUTCOME_BYTES`` is not stored: a later try gets ``done``
        with an empty content type and body. After an error the record is retried in
        the background. Until it succeeds later tries get ``running`` or, once this
        VM is gone, ``unknown``.
        """
        if state != DONE or len(body) > self._settings["MAX_OUTCOME_BYTES"]:
            content_type, body = "", b""
        outcome = RecordOutcome(
            caller, key, attempt_id, state, status, content_type, body
        )
        try:
            recorded = await self._commit(outcome)
        except asyncio.CancelledError:
            self._queue_outcome(outcome)
            raise
        if isinstance(recorded, Err):
            if recorded.err_value.kind is not ErrorKind.VERSION_CONFLICT:
                self._queue_outcome(outcome)
            return recorded
        return Ok(None)

    async def _commit(self, operation: Claim | RecordOutcome) -> Result:
        """Commit through the range's committer, or directly if it does not answer."""
        number = self._range_of(operation)
        vm = self._committer(number)
        if vm == self._settings["VM_NAME"]:
            return await self._ranges[number].submit(operation)
        timeout_s = min(COMMIT_CALL_TIMEOUT_S, self._settings["PEER_CALL_S"])
        reply = await self._mesh.call(vm, operation, timeout_s=timeout_s)
        if isinstance(reply, Ok):
            return reply
        if reply.err_value.kind is ErrorKind.VERSION_CONFLICT:
            return reply
        if reply.err_value.kind is ErrorKind.PEER_UNAVAILABLE:
            # The committer may be frozen or disconnected. It is skipped for a while,
            # so that later claims don't wait for it. Its own late write is harmless.
            self._skipped_until[vm] = self._timers.now() + COMMITTER_BACKOFF_S
            self._events.emit(EventKind.CLAIM_DIRECT, vm, range=number)
        return await self._ranges[number].submit(operation)

    def _committer(self, number: int) -> str:
        now = self._timers.now()
        live = self._members.live_vms()
        answering = [vm for vm in live if self._skipped_until.get(vm, now) <= now]
        ranked = rendezvous(f"claims/{number}", answering)
        return ranked[0] if ranked else self._settings["VM_NAME"]

    def _range_of(self, operation: Claim | RecordOutcome) -> int:
        name = row_id(operation.caller, operation.key)
        return int(name[:8], 16) % len(self._ranges)

    async def _on_claim(self, sender, claim: Claim):
        answer = await self._ranges[self._range_of(claim)].submit(claim)
        return _reply(answer)

    async def _on_outcome(self, sender, outcome: RecordOutcome):
        answer = await self._ranges[self._range_of(outcome)].submit(outcome)
        return _reply(answer.map(lambda _: Done()))

    def _is_gone(self, vm: str, incarnation: str) -> bool:
        """Return whether the claiming process can no longer record an outcome."""
        if vm == self._settings["VM_NAME"]:
            return process_of(incarnation) != process_of(self._mesh.incarnation)
        return self._members.proof_gone(vm, incarnation) is not None

    def _queue_outcome(self, outcome: RecordOutcome) -> None:
        """Keep an outcome until it is recorded; the oldest is abandoned when full."""
        name = f"{outcome.caller}\n{outcome.key}\n{outcome.attempt_id}"
        if name not in self._unrecorded and len(self._unrecorded) >= MAX_UNRECORDED:
            _, dropped = self._unrecorded.popitem(last=False)
            self._abandon(dropped)
        self._unrecorded[name] = _Unrecorded(outcome, self._timers.now())
        self._metrics.outcomes_owed.set(len(self._unrecorded))
        self._events.emit(
            EventKind.OUTCOME_OWED, outcome.attempt_id, state=outcome.state
        )

    def _start_recording(self) -> None:
        if self._unrecorded and (self._recording is None or self._recording.done()):
            self._recording = asyncio.get_running_loop().create_task(
                self._record_queued()
            )

    async def _record_queued(self) -> None:
        """Record waiting outcomes, oldest first, until the store fails again."""
        for name, waiting in list(self._unrecorded.items())[:RECORD_BATCH_SIZE]:
            recorded = await self._commit(waiting.outcome)
            pending = isinstance(recorded, Err)
            if pending and recorded.err_value.kind is ErrorKind.VERSION_CONFLICT:
                pending = False
            too_old = (
                self._timers.now() - waiting.since > self._settings["CLAIM_KEEP_S"]
            )
            if pending and too_old:
                self._abandon(waiting)
            if not pending or too_old:
                self._unrecorded.pop(name, None)
            if pending:
                break
        self._metrics.outcomes_owed.set(len(self._unrecorded))

    def _abandon(self, waiting: _Unrecorded) -> None:
        outcome = waiting.outcome
        self._events.emit(
            EventKind.OUTCOME_GIVEN_UP, outcome.attempt_id, state=outcome.state
        )


def _reply(answer: Result):
    if isinstance(answer, Ok):
        return answer.ok_value
    failure = answer.err_value
    return Failed(failure.kind.value, failure.detail, failure.retry_after_s)
