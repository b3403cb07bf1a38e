"""Whether earlier owners of a resource are ended, and whether they have stopped.

An ended incarnation never renews its lease again. A stopped process does nothing any
more. A frozen process whose incarnation was ended may still wake up and act.
"""

from collections.abc import Iterable

from result import Ok, Result

from ..errors import Failure
from .lease_objects import process_of
from .owner_records import FormerOwner, OwnerRecord


class FormerOwners:
    """Answers from leases and members whether recorded owners are gone."""

    def __init__(self, *, leases, members):
        self._leases = leases
        self._members = members

    def may_take(self, record: OwnerRecord | None) -> bool:
        """Whether a record names no owner, or one whose incarnation is ended.

        An owner that this VM does not know as registered counts as ended here; before
        the takeover ``ended_among`` checks it in the store.
        """
        if record is None or record.free:
            return True
        if record.incarnation == self._leases.incarnation:
            return False
        known = self._leases.registration_of(record.incarnation)
        return known is None or known.state == "ended"

    async def ended_among(
        self, records: Iterable[OwnerRecord]
    ) -> Result[set[str], Failure]:
        """Return the recorded owners' incarnations that are certainly ended.

        An incarnation that this VM does not know was either ended and pruned, or has
        just registered. The store decides: an owner registers before it owns anything,
        so a listing that is read after the record contains it if it is live.
        """
        recorded = {record.incarnation for record in records}
        recorded.discard("")
        ended, unknown = set(), set()
        for incarnation in recorded:
            known = self._leases.registration_of(incarnation)
            if known is None:
                unknown.add(incarnation)
            elif known.state == "ended":
                ended.add(incarnation)
        if not unknown:
            return Ok(ended)
        live = await self._leases.live_in_store()
        if live.is_err():
            return live
        return Ok(ended | (unknown - live.ok_value))

    def has_stopped(self, former: FormerOwner | OwnerRecord) -> bool:
        """Whether the process of an owner is proved to have stopped."""
        known = self._leases.registration_of(former.incarnation)
        if known is not None and known.stopped:
            return True
        if not former.vm:
            return False
        process = process_of(former.incarnation)
        proof = self._members.proof_gone(former.vm, process)
        return proof is not None
