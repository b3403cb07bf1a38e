"""Rolls a bundle for an operator: stage, collect acknowledgements, accept.

Each change of the pointer is a conditional update. A roll that can't be accepted
abandons its stage and reports which VMs did not acknowledge. Only the process that
staged a bundle accepts it, under the sequence number of the stage, so a stage that
another process abandoned can't come into force any more.
"""

from typing import NamedTuple

from result import Err, Ok, Result

from ..core_parts import CoreParts
from ..errors import ErrorKind, Failure
from ..events import EventKind
from ..messages import BundleDecided
from ..signatures import Purpose, SignedStatement, Statement
from .bundle_diffs import diff
from .bundle_knowledge import report_from_pointer
from .bundle_pointers import (
    POINTER_KIND,
    POINTER_NAME,
    PastRoll,
    Pointer,
    Stage,
    pointer_document,
    read_pointer,
)
from .roll_acknowledgements import AcknowledgementCollector, Acknowledgements

MAX_CHANGES_SHOWN = 20


class RollOutcome(NamedTuple):
    """An accepted roll: its sequence number and the VMs that acknowledged it.

    ``gone`` lists VMs proved to have stopped, ``waived`` those whose acknowledgement
    the operator's order does not require.
    """

    seq: int
    digest: str
    acknowledged: tuple[str, ...]
    gone: tuple[str, ...] = ()
    waived: tuple[str, ...] = ()


async def abandon_stage(store, seq: int) -> Result[Pointer, Failure]:
    """Abandon a stage if it is still staged and return the pointer."""

    def change(value):
        pointer = read_pointer(value)
        if pointer.staged is None or pointer.staged.seq != seq:
            return None
        return pointer_document(pointer.without_stage())

    written = await store.update(POINTER_KIND, POINTER_NAME, change)
    return written.map(lambda stored: read_pointer(stored.value or None))


class RollOrders:
    """Executes the orders of operators on one VM."""

    def __init__(
        self,
        *,
        core: CoreParts,
        store,
        mesh,
        members,
        library,
        keeper,
    ):
        self._vm = core.settings["VM_NAME"]
        self._timers = core.timers
        self._events = core.events
        self._metrics = core.metrics
        self._store = store
        self._mesh = mesh
        self._collector = AcknowledgementCollector(
            settings=core.settings,
            timers=core.timers,
            store=store,
            mesh=mesh,
            members=members,
        )
        self._library = library
        self._keeper = keeper
        self._running: set[str] = set()

    async def roll(self, order: SignedStatement) -> Result[RollOutcome, Failure]:
        """Execute a signed order to roll a bundle."""
        valid = self._verify(order)
        if valid.is_err():
            return valid
        statement = valid.unwrap()
        if statement.order_id in self._running:
            return Err(_in_progress(self._vm))
        self._events.emit(
            EventKind.ROLL_STARTED,
            statement.digest,
            operator=statement.operator,
            order=statement.order_id,
        )
        self._running.add(statement.order_id)
        try:
            outcome = await self._roll(statement)
        finally:
            self._running.discard(statement.order_id)
        result = "accepted" if outcome.is_ok() else outcome.unwrap_err().kind.value
        self._metrics.rolls.labels(result).inc()
        self._events.emit(
            EventKind.ROLL_ENDED,
            statement.digest,
            order=statement.order_id,
            outcome=result,
        )
        return outcome

    async def retire(self, order: SignedStatement) -> Result[None, Failure]:
        """Retire a bundle, unless it is in force or staged."""
        digest = order.statement.digest
        read = await self._keeper.read_pointer()
        if read.is_err():
            return read
        pointer = read.unwrap()
        if pointer.digest == digest or (
            pointer.staged is not None and pointer.staged.digest == digest
        ):
            detail = f"bundle {digest[:12]} is in force or staged: roll another first"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        return await self._library.retire(order)

    def _verify(self, order: SignedStatement) -> Result[Statement, Failure]:
        purpose = Purpose.ROLL
        if order.statement.purpose == Purpose.WAIVE.value:
            purpose = Purpose.WAIVE
        valid = self._library.keys.verify(order, purpose)
        if valid.is_err():
            return valid
        statement = valid.unwrap()
        if not statement.order_id:
            return Err(Failure(ErrorKind.BAD_REQUEST, "the order has no order id"))
        if bool(statement.waived) != (purpose is Purpose.WAIVE):
            detail = "a waiver names VMs or data centres, a plain roll names none"
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
        return valid

    async def _roll(self, statement: Statement) -> Result[RollOutcome, Failure]:
        loaded = await self._library.released_from_store(statement.digest)
        if loaded.is_err():
            return loaded
        self._keeper.cache_bundle(loaded.unwrap().bundle)
        staged = await self._stage(statement)
        if staged.is_err():
            return staged
        pointer = staged.unwrap()
        stage = pointer.staged
        if stage is None or stage.order_id != statement.order_id:
            return self._past_outcome(pointer.past_roll(statement.order_id))
        started_at = self._timers.now()
        acknowledgements = await self._collector.gather(pointer, statement.waived)
        if acknowledgements.is_err():
            return await self._abandon(pointer.staged, acknowledgements.unwrap_err())
        if acknowledgements.unwrap().silent:
            failure = _not_accepted(acknowledgements.unwrap().silent)
            return await self._abandon(pointer.staged, failure)
        outcome = await self._accept(pointer.staged, acknowledgements.unwrap())
        if outcome.is_ok():
            self._metrics.acknowledgement.observe(self._timers.now() - started_at)
        return outcome

    def _past_outcome(self, ended: PastRoll) -> Result[RollOutcome, Failure]:
        # An operator repeats an order whose answer was lost. It is answered with its
        # past result and not executed a second time.
        if ended.accepted:
            return Ok(RollOutcome(ended.seq, ended.digest, (), waived=ended.waived))
        detail = "this order was executed before, not accepted and abandoned"
        return Err(Failure(ErrorKind.ROLL_NOT_ACCEPTED, detail))

    # Staging

    async def _stage(self, statement: Statement) -> Result[Pointer, Failure]:
        """Stage the bundle and return the pointer with the stage or the past roll.

        A repeated order may find its own stage while an accepting write, whose reply
        was lost, is still in flight. Then "not accepted" could be answered for a
        bundle that comes into force later (BUN-12). So the stage is never reused: a
        conditional write replaces it under a new number. The late write then meets
        another version and can't take effect.
        """
        refusal: Pointer | None = None

        def change(value):
            nonlocal refusal
            refusal = None
            pointer = read_pointer(value)
            stage = pointer.staged
            is_repeat = stage is not None and stage.order_id == statement.order_id
            if pointer.past_roll(statement.order_id) is not None and not is_repeat:
                return None
            busy = stage is not None and self._is_alive(stage)
            if is_repeat and stage.vm == self._vm:
                busy = False
            if pointer.seq != statement.expected_seq or busy:
                refusal = pointer
                return None
            stage = Stage(
                0,
                statement.digest,
                self._vm,
                self._mesh.incarnation,
                statement.order_id,
                statement.operator,
            )
            return pointer_document(pointer.with_stage(stage))

        sent_at = self._timers.now()
        written = await self._store.update(POINTER_KIND, POINTER_NAME, change)
        if written.is_err():
            return Err(_unknown(written.unwrap_err(), "nothing was accepted"))
        if refusal is not None:
            stage = refusal.staged
            if stage is not None and stage.order_id == statement.order_id:
                return Err(_in_progress(stage.vm))
            return await self._conflict(refusal, statement.digest)
        pointer = read_pointer(written.unwrap().value or None)
        self._keeper.apply_report(report_from_pointer(pointer, sent_at))
        return Ok(pointer)

    def _is_alive(self, stage: Stage) -> bool:
        """Return whether the process that staged a bundle may still be rolling it.

        A wrong answer only makes one of two rolls fail, because both proceed by
        conditional updates of the same pointer.
        """
        if stage.vm == self._vm:
            same = stage.incarnation == self._mesh.incarnation
            return same and stage.order_id in self._running
        return any(
            peer.vm == stage.vm and peer.incarnation == stage.incarnation
            for peer in self._mesh.live
        )

    async def _conflict(
        self, pointer: Pointer, requested: str
    ) -> Result[Pointer, Failure]:
        if pointer.staged is not None:
            winner, stage = pointer.staged.digest, pointer.staged
            explanation = f"is being rolled by {stage.operator} at {stage.vm}"
        else:
            winner = pointer.digest
            explanation = (
                f"is in force as {pointer.seq}, rolled by {_roller_of(pointer)}"
            )
        lines = [
            f"bundle {winner[:12]} {explanation}"
            if winner
            else "no bundle was rolled yet",
            *await self._differences(winner, requested),
        ]
        return Err(Failure(ErrorKind.ROLL_CONFLICT, "\n".join(lines)))

    async def _differences(self, winner: str, requested: str) -> list[str]:
        if winner == requested:
            return ["the two bundles are the same"]
        ours = await self._library.load(requested)
        theirs = await self._library.load(winner) if winner else None
        if ours.is_err() or (theirs is not None and theirs.is_err()):
            return []
        old = theirs.unwrap().bundle if theirs is not None else None
        changes = [str(change) for change in diff(old, ours.unwrap().bundle)]
        lines = ["changes your bundle would make to it:", *changes[:MAX_CHANGES_SHOWN]]
        if len(changes) > MAX_CHANGES_SHOWN:
            lines.append(f"and {len(changes) - MAX_CHANGES_SHOWN} more")
        return lines

    # Deciding

    async def _accept(
        self, stage: Stage, acknowledgements: Acknowledgements
    ) -> Result[RollOutcome, Failure]:
        def change(value):
            pointer = read_pointer(value)
            if pointer.staged is None or pointer.staged.seq != stage.seq:
                return None
            return pointer_document(pointer.with_accepted(acknowledgements.waived))

        # Guards against a VM that keeps serving the old bundle because this VM
        # confirms it after the write took effect and its reply was lost (BUN-5). There
        # is no await between this mark and the write, so no answer of this VM that
        # confirms "not accepted" can be later than the write.
        self._keeper.mark_accepting(stage.seq)
        sent_at = self._timers.now()
        written = await self._store.update(POINTER_KIND, POINTER_NAME, change)
        if written.is_err():
            explanation = "it may be in force: repeat the same order"
            return Err(_unknown(written.unwrap_err(), explanation))
        pointer = read_pointer(written.unwrap().value or None)
        self._keeper.apply_report(report_from_pointer(pointer, sent_at))
        ended = pointer.past_roll(stage.order_id)
        if ended is None or not ended.accepted:
            refused = await self._conflict(pointer, stage.digest)
            return Err(refused.unwrap_err())
        self._mesh.broadcast(BundleDecided(stage.seq, stage.digest, True))
        return Ok(
            RollOutcome(
                stage.seq,
                stage.digest,
                acknowledgements.acknowledged,
                acknowledgements.gone,
                acknowledgements.waived,
            )
        )

    async def _abandon(
        self, stage: Stage, failure: Failure
    ) -> Result[RollOutcome, Failure]:
        # Guards against "not accepted" for a bundle that comes into force later
        # (BUN-12). The answer holds whether or not this write succeeds: the write that
        # accepts this stage was never sent, this process won't send it any more, and
        # no other process may. A stage whose accepting write was sent is never
        # abandoned here: its order ends as unknown and is staged again.
        sent_at = self._timers.now()
        abandoned = await abandon_stage(self._store, stage.seq)
        if abandoned.is_ok():
            self._keeper.apply_report(report_from_pointer(abandoned.unwrap(), sent_at))
            self._mesh.broadcast(BundleDecided(stage.seq, stage.digest, False))
        detail = f"bundle {stage.digest[:12]} was not accepted: {failure.detail}"
        return Err(Failure(ErrorKind.ROLL_NOT_ACCEPTED, detail, failure.retry_after_s))


def _roller_of(pointer: Pointer) -> str:
    for roll in pointer.past:
        if roll.seq == pointer.seq:
            return roll.operator
    return "nobody"


def _in_progress(vm: str) -> Failure:
    detail = f"this order is being executed at {vm}: repeat it later"
    return Failure(ErrorKind.ROLL_UNKNOWN, detail, 1.0)


def _not_accepted(silent: dict[str, str]) -> Failure:
    detail = "no acknowledgement from " + "; ".join(silent.values())
    return Failure(ErrorKind.ROLL_NOT_ACCEPTED, detail)


def _unknown(failure: Failure, explanation: str) -> Failure:
    if failure.kind is not ErrorKind.STORE_UNAVAILABLE:
        return failure
    detail = f"the store did not answer ({failure.detail}); {explanation}"
    return Failure(ErrorKind.ROLL_UNKNOWN, detail, 1.0)
