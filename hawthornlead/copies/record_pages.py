"""Pages of the objects that a VM knows of a kind, for a VM that lacks some of them.

::

    reply = record_page(known, FetchRecords("config", after="", since=812))
"""

from ..gateway.kind_records import NO_REVISION, KindRecords
from ..gateway.relayed_records import relayed_record
from ..messages.gateways import FetchedRecords, FetchRecords, RelayedRecord

# An object of the store may be as large as the largest message between VMs, by default
# 1 MiB, and larger once it is escaped. Half of it leaves room for what goes with it.
MAX_RELAYED_BYTES = 500_000
# Objects are fetched from other VMs in messages of about this size.
FETCH_PAGE_BYTES = 200_000


def record_page(known: KindRecords, request: FetchRecords) -> FetchedRecords:
    """Return the next page for a VM that lacks nothing up to ``request.since``.

    Versions that the store has lost are in it whatever ``since`` is, as their revisions
    are of before the copy that the other VM may have listed.
    """
    until, lost = known.until, known.lost_versions
    if until == NO_REVISION:
        return FetchedRecords(False, (), False)
    records = known.records
    asked = records if until > request.since else lost
    relayed_records: list[RelayedRecord] = []
    names: list[str] = []
    size = 0
    for name in sorted(name for name in asked if name > request.after):
        if size > FETCH_PAGE_BYTES:
            return FetchedRecords(
                True, tuple(relayed_records), True, until, tuple(names)
            )
        names.append(name)
        size += len(name)
        if records[name].revision <= request.since and name not in lost:
            continue
        relayed = relayed_record(name, records[name], records[name].revision)
        if relayed.size > MAX_RELAYED_BYTES:
            # It is listed once the store is available again; the other objects must
            # not wait for it.
            until = NO_REVISION
            continue
        size += relayed.size
        relayed_records.append(relayed)
    return FetchedRecords(True, tuple(relayed_records), False, until, tuple(names))
