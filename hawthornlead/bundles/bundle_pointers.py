"""The pointer to the bundle in force and the transitions allowed on it.

``bundle/pointer`` is one small object, changed by conditional update only. The sequence
number of a stage is never reused, even if the stage is abandoned. This guards against a
late message about one stage being applied to another (BUN-6): a VM would stop doubting
and keep serving an old bundle. A read from before the stage has a lower ``last_seq``
and so decides nothing about it.
"""

from typing import Any, NamedTuple

POINTER_KIND = "bundle"
POINTER_NAME = "pointer"
MAX_PAST_ROLLS = 50


class Stage(NamedTuple):
    """A staged bundle, which only the process named here can accept."""

    seq: int
    digest: str
    vm: str
    incarnation: str
    order_id: str = ""
    operator: str = ""


class PastRoll(NamedTuple):
    """A finished order to roll."""

    seq: int
    digest: str
    order_id: str
    operator: str
    accepted: bool
    waived: tuple[str, ...] = ()


class Pointer(NamedTuple):
    """The bundle in force (``seq`` 0 for none), the staged one and past rolls.

    ``last_seq`` is the highest sequence number ever given to a stage.
    """

    seq: int = 0
    digest: str = ""
    last_seq: int = 0
    staged: Stage | None = None
    past: tuple[PastRoll, ...] = ()

    @property
    def decided_seq(self) -> int:
        """Every stage up to this one was accepted or abandoned."""
        return self.staged.seq - 1 if self.staged else self.last_seq

    def past_roll(self, order_id: str) -> PastRoll | None:
        """Return the result of an order, None if it is not remembered."""
        for roll in self.past:
            if roll.order_id == order_id:
                return roll
        return None

    def with_stage(self, stage: Stage) -> "Pointer":
        """Stage a bundle under the next number, abandoning an earlier stage."""
        clear = self.without_stage()
        number = self.last_seq + 1
        return clear._replace(last_seq=number, staged=stage._replace(seq=number))

    def without_stage(self) -> "Pointer":
        """Abandon the staged bundle."""
        return self._finish_stage(accepted=False, waived=())

    def with_accepted(self, waived: tuple[str, ...] = ()) -> "Pointer":
        """Put the staged bundle in force."""
        ended = self._finish_stage(accepted=True, waived=waived)
        return ended._replace(seq=self.staged.seq, digest=self.staged.digest)

    def _finish_stage(self, accepted: bool, waived: tuple[str, ...]) -> "Pointer":
        if self.staged is None:
            return self
        stage = self.staged
        roll = PastRoll(
            stage.seq, stage.digest, stage.order_id, stage.operator, accepted, waived
        )
        past = (roll, *self.past)[:MAX_PAST_ROLLS]
        return self._replace(staged=None, past=past)


def read_pointer(value: dict[str, Any] | None) -> Pointer:
    """Parse the stored pointer; None means that no bundle was ever staged."""
    if value is None:
        return Pointer()
    staged = value.get("staged")
    past = []
    for roll in value.get("past", ()):
        past.append(PastRoll(**{**roll, "waived": tuple(roll["waived"])}))
    return Pointer(
        value["seq"],
        value["digest"],
        value["last_seq"],
        Stage(**staged) if staged else None,
        tuple(past),
    )


def pointer_document(pointer: Pointer) -> dict[str, Any]:
    """Return a pointer as JSON values."""
    return {
        "seq": pointer.seq,
        "digest": pointer.digest,
        "last_seq": pointer.last_seq,
        "staged": pointer.staged._asdict() if pointer.staged else None,
        "past": [{**r._asdict(), "waived": list(r.waived)} for r in pointer.past],
    }
