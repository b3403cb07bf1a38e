"""One range of claims in the object API: group commit, sealing, retention.

All pending claims and outcomes of a VM for a range are committed by one conditional
update of the range's head object, ``claims/RANGE``. A head that has grown large is
sealed: its rows move into a segment object that never changes,
``claim-segments/RANGE.SERIAL``, and the head names it. Several VMs may commit to a
range at the same time; the conditional update serializes them.

Retention compares no clocks: a VM removes a segment after it has itself known it for
``CLAIM_KEEP_S`` by its monotonic clock, so no claim is kept for less.
"""

import asyncio
import json
from typing import NamedTuple

from result import Err, Ok, Result

from ..core_parts import CoreParts
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..messages import Claim, RecordOutcome
from ..stores.stored_objects import StoredObject
from ..stores.write_ids import stamp
from .claim_rows import FREE, NEW, ClaimBook, ClaimRow, IsGone, read_rows, row_id

HEADS = "claims"
SEGMENTS = "claim-segments"
SEAL_ROWS = 500
SEAL_BYTES = 256 << 10
MAX_BATCH_SIZE = 256
MAX_PENDING = 2048
MAX_READ_ATTEMPTS = 8
RETRY_AFTER_S = 1.0


class _Pending(NamedTuple):
    operation: Claim | RecordOutcome
    answer: asyncio.Future


class _Commit:
    """One change of a head; called once for each try of the update."""

    def __init__(self, operations, claim_range: "ClaimRange"):
        self._operations = operations
        self._range = claim_range
        # All tries use the same time. A try whose reply was lost may be the one that
        # took effect, and its answers must equal those of the later tries.
        self._now = claim_range.now()
        self.answers: list[Result] = []
        self.missing: list[str] = []
        self.dropped: list[str] = []

    def __call__(self, value: dict | None) -> dict | None:
        book = ClaimBook(value, self._range.segments)
        self.missing = book.missing
        if self.missing:
            return None
        self.dropped = self._range.expired(book.segment_names, self._now)
        for name in self.dropped:
            book.remove_segment(name)
        self.answers = [self._apply(book, operation) for operation in self._operations]
        return book.value() if book.changed else None

    def _apply(self, book: ClaimBook, operation) -> Result:
        if isinstance(operation, RecordOutcome):
            return book.record(operation)
        before = book.get_row(row_id(operation.caller, operation.key))
        claimed = book.claim(operation, self._range.is_gone)
        if claimed.state == NEW:
            self._range.check_new(operation, before)
        return Ok(claimed)


class ClaimRange:
    """Commits this VM's claims and outcomes to one range."""

    def __init__(self, number: int, *, core: CoreParts, store, is_gone):
        self._name = str(number)
        self._settings = core.settings
        self._timers = core.timers
        self._events = core.events
        self._invariants = core.invariants
        self._store = store
        self.is_gone: IsGone = is_gone
        self.segments: dict[str, dict[str, ClaimRow]] = {}
        self._seen_at: dict[str, float] = {}
        self._head_seen = (-1, core.timers.now())
        self._known_head: StoredObject | None = None
        self._pending: list[_Pending] = []
        self._task: asyncio.Task | None = None

    async def submit(self, operation: Claim | RecordOutcome) -> Result:
        """Commit one claim or outcome, batched with others that arrive meanwhile."""
        if len(self._pending) >= MAX_PENDING:
            detail = "too many claims wait to be written"
            return Err(Failure(ErrorKind.OVERLOADED, detail, RETRY_AFTER_S))
        pending = _Pending(operation, asyncio.get_running_loop().create_future())
        self._pending.append(pending)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        return await pending.answer

    async def stop(self) -> None:
        """Wait until the current commit has ended."""
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)

    def now(self) -> float:
        """Seconds on the VM's monotonic clock."""
        return self._timers.now()

    def expired(self, names: list[str], now: float) -> list[str]:
        """Return the oldest segments whose retention has expired.

        A later segment may hold the outcome of a claim in an earlier one, so segments
        are removed strictly from the oldest on.
        """
        found = []
        for name in names:
            seen_at = self._seen_at.setdefault(name, now)
            if now - seen_at < self._settings["CLAIM_KEEP_S"]:
                break
            found.append(name)
        return found

    def check_new(self, claim: Claim, before: ClaimRow | None) -> None:
        """Check that a key reported as new has no claim of another attempt."""
        holds = before is None or before.state == FREE
        holds = holds or before.attempt_id == claim.attempt_id
        self._invariants.check("claim-new-once", holds, claim.attempt_id)

    async def _run(self) -> None:
        try:
            await self._timers.sleep(self._settings["CLAIM_GATHER_MS"] / 1000)
            while self._pending:
                batch = self._pending[:MAX_BATCH_SIZE]
                del self._pending[:MAX_BATCH_SIZE]
                await self._process(batch)
        finally:
            self._task = None
            abandoned, self._pending = self._pending, []
            _resolve(abandoned, Err(_unavailable("the commit was abandoned")))

    async def _process(self, batch: list[_Pending]) -> None:
        commit = _Commit([pending.operation for pending in batch], self)
        try:
            committed = await self._commit(commit)
        except BaseException:
            # Includes cancellation: the batch's requesters would wait forever.
            _resolve(batch, Err(_unavailable("the commit was abandoned")))
            raise
        if isinstance(committed, Err):
            _resolve(batch, committed)
            return
        for pending, answer in zip(batch, commit.answers, strict=True):
            _resolve([pending], answer)
        head = committed.ok_value.value
        named = head.get("segments", [])
        await self._clean_up([name for name in commit.dropped if name not in named])
        await self._seal(head)

    async def _commit(self, commit: _Commit) -> Result:
        written = await self._write_over_known_head(commit)
        if written is not None:
            return written
        for _ in range(MAX_READ_ATTEMPTS):
            written = await self._store.update(HEADS, self._name, commit)
            if isinstance(written, Err):
                return written
            if not commit.missing:
                self._known_head = written.ok_value
                return written
            read = await self._read_segments(commit.missing)
            if isinstance(read, Err):
                return read
        return Err(_unavailable("segments change faster than they are read"))

    async def _write_over_known_head(self, commit: _Commit) -> Result | None:
        """Write over the head as it was last seen, which saves reading it.

        Return None if this did not work: another VM wrote meanwhile, the reply was
        lost, or there is nothing to write, in which case the answers would depend on
        an outdated head. The commit may be repeated, since a row names its attempt: a
        claim that took effect although its reply was lost is found and recognized.
        """
        known, self._known_head = self._known_head, None
        if known is None or known.version == 0:
            return None
        value = commit(known.value)
        if value is None or commit.missing:
            return None
        write_id = f"{self._settings['VM_NAME']}@{known.version}"
        stamped = stamp(value, known, write_id)
        written = await self._store.put(HEADS, self._name, stamped, known.version)
        if isinstance(written, Err):
            return None
        self._known_head = written.ok_value
        return written

    async def _read_segments(self, names: list[str]) -> Result[None, Failure]:
        for name in names:
            got = await self._store.get(SEGMENTS, name)
            if isinstance(got, Err):
                return got
            if got.ok_value is None:
                # Removed since the head was read; the next read of the head shows it.
                continue
            self.segments[name] = read_rows(got.ok_value.value["claims"])
        return Ok(None)

    async def _clean_up(self, dropped: list[str]) -> None:
        """Delete segments that the head no longer names."""
        for name in dropped:
            self.segments.pop(name, None)
            self._seen_at.pop(name, None)
            got = await self._store.get(SEGMENTS, name)
            if isinstance(got, Ok) and got.ok_value is not None:
                await self._store.delete(SEGMENTS, name, got.ok_value.version)

    async def _seal(self, value: dict) -> None:
        """Move the head's rows into a segment if there are many or old ones.

        The segment is written first and named by the head's serial: two VMs that seal
        the same head write the same segment, and a segment is never overwritten. A
        crash in between leaves a segment that no head names: it is never read, and
        only takes up space.
        """
        if not self._is_due(value):
            return
        serial = value["serial"]
        name = f"{self._name}.{serial}"
        rows = value["claims"]
        put = await self._store.put(SEGMENTS, name, {"claims": rows}, None)
        if (
            isinstance(put, Err)
            and put.err_value.kind is not ErrorKind.VERSION_CONFLICT
        ):
            got = await self._store.get(SEGMENTS, name)
            if isinstance(got, Err) or got.ok_value is None:
                return

        def change(current: dict | None) -> dict | None:
            if current is None or current["serial"] != serial:
                return None
            names = [*current["segments"], name]
            sealed = {"serial": serial + 1, "sealed_at_serial": serial}
            return {**sealed, "segments": names, "claims": {}}

        sealed = await self._store.update(HEADS, self._name, change)
        if isinstance(sealed, Err):
            return
        self._known_head = sealed.ok_value
        if name in sealed.ok_value.value["segments"]:
            self.segments[name] = read_rows(rows)
            self._seen_at.setdefault(name, self._timers.now())
            self._events.emit(EventKind.CLAIMS_SEALED, name, claims=len(rows))
            return
        # Another commit came first, so no head will ever name this segment.
        got = await self._store.get(SEGMENTS, name)
        if isinstance(got, Ok) and got.ok_value is not None:
            await self._store.delete(SEGMENTS, name, got.ok_value.version)

    def _is_due(self, value: dict) -> bool:
        rows = value.get("claims")
        if not rows:
            return False
        if self._head_seen[0] != value["sealed_at_serial"]:
            self._head_seen = (value["sealed_at_serial"], self._timers.now())
        if len(rows) >= SEAL_ROWS:
            return True
        if (
            self._timers.now() - self._head_seen[1]
            >= self._settings["CLAIM_KEEP_S"] / 2
        ):
            return True
        return len(json.dumps(rows)) >= SEAL_BYTES


def _unavailable(detail: str) -> Failure:
    return Failure(ErrorKind.STORE_UNAVAILABLE, f"claims: {detail}", RETRY_AFTER_S)


def _resolve(batch: list[_Pending], answer: Result) -> None:
    for pending in batch:
        if not pending.answer.done():
            pending.answer.set_result(answer)
