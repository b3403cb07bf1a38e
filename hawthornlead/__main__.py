"""Runs the command line as ``python -m hawthornlead``, also in the single binary."""

import sys

from .early_signals import hold_reloads

hold_reloads(sys.argv[1:])

from .main import main  # noqa: E402

if __name__ == "__main__":
    main()
