"""Test that the one binary is one process which writes no files."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]


def run(script, *arguments):
    command = [sys.executable, str(ROOT / "scripts" / script), *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True)


def test_binary_builds_and_keeps_its_rules(tmp_path):
    # A VM has no disk and kills what a service leaves behind. A binary that unpacks
    # itself fails there at once, and one that runs as a child is not stopped with its
    # parent; both work on every developer's machine.
    binary = tmp_path / "hawthornlead"
    built = run("build_binary.py", binary)
    assert built.returncode == 0, built.stderr
    checked = run("check_build.py", binary)
    assert checked.returncode == 0, checked.stdout + checked.stderr
    assert "compiled parts: ok, 1 process, 0 files written" in checked.stdout
    assert "check-settings: ok, 1 process, 0 files written" in checked.stdout
    if "serve: not run, missing parts: " not in checked.stdout:
        assert "serve: ok, 1 process, 0 files written" in checked.stdout


def test_check_finds_children_and_files(tmp_path):
    offender = tmp_path / "offender"
    offender.write_text("#!/bin/sh\nsleep 0.3\necho unpacked > $TMPDIR/file\n")
    offender.chmod(0o755)
    checked = run("check_build.py", offender)
    assert checked.returncode == 1
    assert "check-settings: started child processes" in checked.stderr
    assert "check-settings: wrote " in checked.stderr
