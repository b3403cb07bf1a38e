"""The limits of this process, by its settings and by what the system allows it.

::

    account = Account(process_limits(settings), timers.now)
"""

import resource

from ..settings import Settings
from .accounts import Limits

# Descriptors for files, listening sockets, the store and other VMs.
OWN_FILES = 48
# Where the system sets no limit, memory does.
MOST_FILES = 1 << 20


def process_limits(settings: Settings) -> Limits:
    """Return the limits of what this process holds for its clients.

    While it serves a request a process has a connection to a target too, so clients
    get at most half of the descriptors that the system allows it.
    """
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if files == resource.RLIM_INFINITY:
        files = MOST_FILES
    connections = max(1, (files - OWN_FILES) // 2)
    return Limits(settings["MAX_HELD_BYTES"], connections, settings["CALLER_SILENT_S"])
