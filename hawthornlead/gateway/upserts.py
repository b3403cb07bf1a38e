"""Writes of an object of the store that only this VM writes, whether it exists or not.

::

    written = await upsert(client, LEASES_KIND, "gijon-7", spec)
"""

from typing import NamedTuple

from ..errors import ErrorKind
from .records import StoredRecord
from .store_clients import StoreClient


class Written(NamedTuple):
    """An object as the store accepted it; ``created`` if there was none before."""

    record: StoredRecord
    created: bool


async def upsert(
    client: StoreClient, kind: str, name: str, spec: dict
) -> Written | None:
    """Write an object that only this VM writes; None if the store didn't accept it."""
    created = await client.create(kind, name, spec)
    if created.is_ok():
        return Written(created.ok_value, True)
    if created.err_value.kind is not ErrorKind.VERSION_CONFLICT:
        return None
    found = await client.get(kind, name)
    if found.is_err() or found.ok_value is None:
        return None
    if found.ok_value.spec == spec:
        return Written(found.ok_value, False)
    replaced = await client.replace(kind, name, spec, found.ok_value.revision)
    return Written(replaced.ok_value, False) if replaced.is_ok() else None
