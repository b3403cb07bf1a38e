"""Encoding of the store's objects for messages between VMs.

::

    relayed = relayed_record("main", record, record.revision)
    read_relayed(relayed).spec
"""

import zlib
from collections.abc import Iterable

from ..messages.gateways import RelayedRecord
from ..platform.objects import content_body, read_content
from .records import StoredRecord, StoreEvent

# One head sends a configuration of many routes to each VM of its data centre, which
# would fill its link for seconds. Compressed, it takes a tenth.
MIN_PACKED_CHARACTERS = 2000
COMPRESSION_LEVEL = 1
MAX_UNPACKED_BYTES = 16 << 20


def relayed_record(
    name: str, record: StoredRecord | None, revision: int
) -> RelayedRecord:
    """Encode an object for a message; ``record`` is None if it was deleted."""
    body = "" if record is None else content_body(record)
    if len(body) < MIN_PACKED_CHARACTERS:
        return RelayedRecord(name, revision, body)
    return RelayedRecord(
        name, revision, "", zlib.compress(body.encode(), COMPRESSION_LEVEL)
    )


def read_relayed(relayed: RelayedRecord) -> StoredRecord:
    """Decode an object from another VM, unreadable if it was unreadable there."""
    return read_content(relayed.name, relayed.revision, _unpacked(relayed))


def read_events(records: Iterable[RelayedRecord]) -> tuple[StoreEvent, ...]:
    """Decode changes into events of the store.

    An object that the relay couldn't read arrives as unreadable, so that all VMs stop
    using it at the same time.
    """
    events = []
    for relayed in records:
        if relayed.size:
            events.append(StoreEvent(read_relayed(relayed), False))
            continue
        gone = StoredRecord(relayed.name, relayed.revision, None, None)
        events.append(StoreEvent(gone, True))
    return tuple(events)


def _unpacked(relayed: RelayedRecord) -> str | bytes:
    """Return an object's JSON, empty if it can't be decompressed."""
    if not relayed.packed:
        return relayed.body
    try:
        return zlib.decompressobj().decompress(relayed.packed, MAX_UNPACKED_BYTES)
    except zlib.error:
        return ""
