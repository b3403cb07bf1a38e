"""Run the gateway of this VM: ``python -m hawthornlead.gateway``.

It does the same as ``hawthornlead gateway``, with the settings file named by
``HAWTHORNLEAD_SETTINGS``. Without the command line a VM is ready a quarter sooner.
"""

import gc
import os
import sys

from ..early_signals import hold_reloads

hold_reloads(["gateway"])

from ..code_archives import install_archive  # noqa: E402

install_archive()
# A new loguru logs to standard error until ``configure_logs`` replaces that. Setting up
# that handler asks for all of the interpreter's folders, which takes 5 ms.
os.environ["LOGURU_AUTOINIT"] = "False"
# Objects made while the program is loaded are never freed.
gc.disable()

from ..file_settings import effective_settings  # noqa: E402
from ..logs import UnblockedStream, configure_logs  # noqa: E402
from ..timers import TimerService  # noqa: E402
from .gateways import run_gateway  # noqa: E402

SETTINGS_VARIABLE = "HAWTHORNLEAD_SETTINGS"


def main() -> None:
    """Run until the platform asks to stop."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"{SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
        sys.exit(1)
    settings = effective_settings(path)
    stream = UnblockedStream(sys.stdout.fileno())
    write_event = configure_logs(settings, TimerService(), stream)
    run_gateway(settings, path, write_event)


if __name__ == "__main__":
    main()
