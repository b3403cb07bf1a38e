"""Objects of the store as relays pass them on to other VMs, and back again.

::

    relayed = relayed_record("main", record, record.revision)
    read_relayed(relayed).spec
"""

import zlib

from ..messages.gateways import RelayedRecord
from ..platform.objects import content_body, read_content
from .records import StoredRecord

# A configuration of many routes goes to each VM of a data centre from one head, whose
# link it would fill for seconds. Packed, it takes a tenth.
PACKED_CHARACTERS = 2000
PACKING = 1
MOST_UNPACKED_BYTES = 16 << 20


def relayed_record(
    name: str, record: StoredRecord | None, revision: int
) -> RelayedRecord:
    """Return an object as it is passed on; None if it was deleted."""
    body = "" if record is None else content_body(record)
    if len(body) < PACKED_CHARACTERS:
        return RelayedRecord(name, revision, body)
    return RelayedRecord(name, revision, "", zlib.compress(body.encode(), PACKING))


def read_relayed(relayed: RelayedRecord) -> StoredRecord:
    """Return the object that another VM passed on, unreadable if it was so there."""
    return read_content(relayed.name, relayed.revision, _unpacked(relayed))


def _unpacked(relayed: RelayedRecord) -> str | bytes:
    """Return an object's JSON; what can't be unpacked reads as no object."""
    if not relayed.packed:
        return relayed.body
    try:
        return zlib.decompressobj().decompress(relayed.packed, MOST_UNPACKED_BYTES)
    except zlib.error:
        return ""
