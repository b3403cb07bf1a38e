"""The store object that names the last settled era.

::

    marker = StoredMarker(client)
    await marker.write(4)
"""

from ..eras.dated_revisions import era_of
from .store_clients import StoreClient
from .upserts import upsert

ERAS_KIND = "hawthornlead-eras"
SETTLED_NAME = "settled"


class StoredMarker:
    """Reads and writes the last settled era; any VM may write it."""

    def __init__(self, client: StoreClient):
        self._client = client

    async def read(self) -> int | None:
        """Return the last settled era, None if it isn't that of the answer."""
        found = await self._client.get(ERAS_KIND, SETTLED_NAME)
        record = found.ok_value if found.is_ok() else None
        if record is None or not isinstance(record.spec, dict):
            return None
        era = record.spec.get("era")
        return era if era == era_of(record.revision) else None

    async def write(self, era: int) -> bool:
        """Store a settled era; False if the store didn't accept it."""
        written = await upsert(self._client, ERAS_KIND, SETTLED_NAME, {"era": era})
        return written is not None
