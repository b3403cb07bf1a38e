"""Data of the object API: objects, lists, and lines of a watch."""

from typing import NamedTuple


class StoredObject(NamedTuple):
    """An object in the store; ``version`` is counted over the whole store."""

    kind: str
    name: str
    version: int
    value: dict


class StoreList(NamedTuple):
    """All objects of a kind, as they were at ``version``."""

    version: int
    items: tuple[StoredObject, ...]


class WatchEvent(NamedTuple):
    """A change of an object: ``type`` is "put" or "delete".

    The value of a deleted object is empty.
    """

    type: str
    object: StoredObject


class WatchLine(NamedTuple):
    """One line of a watch: a put, a delete, or a bookmark that names no object."""

    type: str
    version: int
    name: str = ""
    value: dict | None = None
