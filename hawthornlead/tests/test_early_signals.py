"""Tests of signals that come while the program is loaded."""

import subprocess
import sys

import pytest

# Runs the program's own entry, which is asked to read its settings again as soon as it
# begins to load its command line. The signal's default is set first: whoever starts the
# tests may have had it ignored, which a process inherits.
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
def test_a_gateway_lives_through_a_reload_that_comes_as_it_starts(command, lives):
    """A VM's process ends by itself, and its callers are cut off.

    Its settings file changed while it started. The signal to read it again came before
    the process heeded it, and a process that doesn't heed it ends.
    """
    arguments = [sys.executable, "-c", PROGRAM, command, "--help"]
    done = subprocess.run(arguments, capture_output=True, text=True, check=False)
    assert (done.returncode == 0) == lives, done.stderr
