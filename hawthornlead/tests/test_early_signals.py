"""Tests of signals that arrive while the program is loaded."""

import subprocess
import sys

import pytest

# Runs the program's entry point, and sends the signal to reload the settings as soon as
# the command line is being loaded. The signal's default handler is set first, because a
# process inherits an ignored signal from the one that starts the tests.
PROGRAM = """
import builtins, os, runpy, signal, sys
signal.signal(signal.SIGHUP, signal.SIG_DFL)
load = builtins.__import__
def signalled(name, scope=None, *rest, **named):
    if name == "main" and scope and scope.get("__package__") == "hawthornlead":
        os.kill(os.getpid(), signal.SIGHUP)
    return load(name, scope, *rest, **named)
builtins.__import__ = signalled
sys.argv = ["hawthornlead", *sys.argv[1:]]
runpy.run_module("hawthornlead", run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize(("command", "lives"), [("gateway", True), ("entry", False)])
def test_a_gateway_survives_a_reload_signal_during_its_start(command, lives):
    """A reload signal during the start must not end a gateway.

    The settings file changes while the process starts, so the signal arrives before its
    handler is installed. By default it ends the process and cuts off its callers.
    """
    arguments = [sys.executable, "-c", PROGRAM, command, "--help"]
    done = subprocess.run(arguments, capture_output=True, text=True, check=False)
    assert (done.returncode == 0) == lives, done.stderr
