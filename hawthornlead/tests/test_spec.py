"""The models of the core protocol, checked in the runs that take seconds."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent


@pytest.mark.skipif(
    shutil.which("spin") is None or shutil.which("gcc") is None,
    reason="scripts/test sets spin up; a bare pytest may lack it",
)
def test_models_hold_and_each_removed_guard_is_rejected():
    """A guard goes missing from the protocol and nobody notices.

    Each model is checked as it is, and once with each guard removed. Every
    removal must give a counterexample, or the check could not fail at all.
    """
    done = subprocess.run(
        [sys.executable, "scripts/check_spec.py", "--quick"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stdout + done.stderr
