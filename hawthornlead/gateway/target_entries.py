"""The part of a target's entry whose changes are passed on."""

from ..platform.targets import read_target
from .records import StoredRecord


def effective_entry(record: StoredRecord) -> tuple:
    """Return an entry without its adapters and heartbeats, whose changes don't count.

    The VM that orders an engine reports its adapters sooner than the entry does.
    """
    entry = read_target(record)
    models = tuple([model.name for model in entry.models])
    return entry._replace(models=models, leaves_in_s=entry.leaves_in_s is not None)
