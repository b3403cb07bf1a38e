"""Signals that come while the program is still being loaded.

Imported before everything else, so that what it guards against can happen as shortly as
possible::

    hold_reloads(sys.argv[1:])
"""

import signal
from collections.abc import Sequence


def hold_reloads(arguments: Sequence[str]) -> None:
    """Let the signal to read the settings again not end a gateway that starts.

    A VM whose settings change as it starts gets it before it heeds it, and would end by
    it. Loading takes some 0.1 s; the settings are read after that, as they are then.
    """
    if arguments[:1] == ["gateway"]:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
