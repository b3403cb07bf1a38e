"""Handles signals that arrive while the program is still being loaded.

This module is imported before all others, so that the time in which such a signal ends
the process is as short as possible::

    hold_reloads(sys.argv[1:])
"""

import signal
from collections.abc import Sequence


def hold_reloads(arguments: Sequence[str]) -> None:
    """Ignore the signal to reload the settings while a gateway starts.

    If the settings change during the start, the signal arrives before its handler is
    installed and would end the process. Loading takes some 0.1 s, and the settings are
    read after that, so no change is lost.
    """
    if arguments[:1] == ["gateway"]:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
