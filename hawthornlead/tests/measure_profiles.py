"""Runs the daemon with a profile that a measurement switches on and off by signals.

The daemon itself knows nothing of it. ``SIGUSR2`` begins the profile, ``SIGUSR1``
writes it to the file that the environment variable ``PROFILE`` names.
"""

import cProfile
import os
import pstats
import signal

from hawthornlead.main import main


def run() -> None:
    """Run the command line under the two signals."""
    profile = cProfile.Profile()

    def write(*_unused):
        profile.disable()
        pstats.Stats(profile).dump_stats(os.environ["PROFILE"])

    signal.signal(signal.SIGUSR2, lambda *_unused: profile.enable())
    signal.signal(signal.SIGUSR1, write)
    main()


if __name__ == "__main__":
    run()
