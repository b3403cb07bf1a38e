"""The limits of this process, by its settings and by what the system allows it.

::

    account = Account(process_limits(settings), timers.now)
"""

from ..settings import Settings
from .accounts import Limits

# Memory sets the limit.
MOST_CONNECTIONS = 1 << 20


def process_limits(settings: Settings) -> Limits:
    """Return the limits of what this process holds for its clients."""
    silent_s = settings["CALLER_SILENT_S"]
    return Limits(settings["MAX_HELD_BYTES"], MOST_CONNECTIONS, silent_s)
