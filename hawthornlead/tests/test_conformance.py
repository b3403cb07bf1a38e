"""The tests of the judge that shares no code with the product, and a short run.

The tests live beside the judge, in ``conformance/tests``, and run here with all others.
"""

import subprocess
import sys
from pathlib import Path

from conformance.tests.test_judge import *  # noqa: F403
from conformance.tests.test_response_rules import *  # noqa: F403
from conformance.tests.test_run_rules import *  # noqa: F403

ROOT = Path(__file__).parents[2]
# A guard against hanging: a run takes 17 s, and the first build 10 s.
TIMEOUT_S = 300
TESTED = ("MIXED-1", "MIXED-2", "MIXED-4", "ORDER", "TWICE", "UNASKED")


def test_a_short_run_of_the_real_processes_breaks_no_rule():
    """Guards against a guard of the responses, or of the runs, that is gone."""
    command = [sys.executable, "-m", "conformance", "--seed", "22", "--minutes", "0.15"]
    ended = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    verdicts = [line.split()[:2] for line in ended.stdout.splitlines()]
    for name in TESTED:
        assert [name, "held"] in verdicts, ended.stdout
