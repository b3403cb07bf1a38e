"""Runs the program as on a VM of its own: what it sends comes from its own address.

On loopback the kernel gives all outgoing connections the same address, so that the
soak's links and stand-ins couldn't tell which VM speaks. The first argument is the
address, the others are the program's::

    python -m hawthornlead.tests.soak_vm 127.30.1.1 gateway -c vm-1.ini
"""

import ctypes
import signal
import socket
import sys
from pathlib import Path

from hawthornlead.early_signals import hold_reloads

hold_reloads(sys.argv[2:])

from hawthornlead.main import main  # noqa: E402

from .soak_addresses import CUT_SUFFIX, FIRST_TARGET_NET  # noqa: E402

_BIND_ADDRESS_NO_PORT = 24
_SET_DEATH_SIGNAL = 1


def die_with_parent() -> None:
    """Have the kernel end this process when the soak's own ends, however it does."""
    ctypes.CDLL(None).prctl(_SET_DEATH_SIGNAL, signal.SIGKILL)


def is_target(address: tuple) -> bool:
    """Whether an address is that of a link to a target."""
    return int(address[0].split(".")[2]) >= FIRST_TARGET_NET


def connect_from(host: str, cut: Path) -> None:
    """Let every connection that this process opens come from ``host``.

    While the file ``cut`` exists, connections to targets are refused: a link can only
    take a connection and then say nothing.
    """
    connect = socket.socket.connect

    def connect_bound(self, address):
        if self.family == socket.AF_INET and is_target(address) and cut.exists():
            raise ConnectionRefusedError("cut from the targets")
        if self.family == socket.AF_INET and self.getsockname()[1] == 0:
            # The port is chosen at the connect, so that as many may be open as there
            # are pairs of ends.
            self.setsockopt(socket.SOL_IP, _BIND_ADDRESS_NO_PORT, 1)
            self.bind((host, 0))
        return connect(self, address)

    socket.socket.connect = connect_bound


if __name__ == "__main__":
    die_with_parent()
    connect_from(sys.argv[1], Path(sys.argv[-1]).with_suffix(CUT_SUFFIX))
    main(sys.argv[2:])
