"""Run the model checker over spec/checks.ini and print a table of the runs.

A run that must hold fails when the checker finds an error or does not exhaust the
states; a run with a guard removed, or of a stated limit, fails when the checker
finds no violated property::

    scripts/check-spec --quick
"""

import configparser
import os
import re
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import click

ROOT = Path(__file__).resolve().parent.parent
SPEC = ROOT / "spec"
PAGE = ROOT / "docs" / "spec.md"
MEMORY_LIMIT_MB = 950
RUN_LIMIT_S = 170
AT_ONCE = 4
BEGIN = "<!-- runs -->\n"
END = "<!-- end of runs -->\n"


class Check(NamedTuple):
    """One run that spec/checks.ini asks for."""

    name: str
    model: str
    defines: tuple[str, ...]
    expect: str
    quick: bool
    guards: str
    depth: int


class Outcome(NamedTuple):
    """What the checker said of one run."""

    check: Check
    passed: bool
    verdict: str
    states: int
    depth: int
    seconds: float


def read_checks() -> list[Check]:
    """Read spec/checks.ini."""
    parser = configparser.ConfigParser()
    parser.read_string((SPEC / "checks.ini").read_text())
    checks = []
    for name in parser.sections():
        row = parser[name]
        checks.append(
            Check(
                name,
                row["model"],
                tuple(row.get("defines", "").split()),
                row["expect"],
                row.getboolean("quick", False),
                row["guards"],
                row.getint("depth", 100000),
            )
        )
    return checks


def run_check(check: Check) -> Outcome:
    """Make the verifier of one model, run it to the end and judge it."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        output = _verify(check, folder)
    seconds = time.monotonic() - started
    verdict = judge(output)
    wanted = "no error" if check.expect == "holds" else "violated"
    return Outcome(
        check,
        verdict == wanted,
        verdict,
        _number(r"(\d+) states, stored", output),
        _number(r"depth reached (\d+)", output),
        seconds,
    )


def judge(output: str) -> str:
    """Return ``no error``, ``violated`` or what kept the checker from an answer.

    Only a violated assertion counts as a counterexample. A search that was cut
    short, by memory, depth or time, proves nothing and is never ``no error``.
    """
    if "assertion violated" in output:
        return "violated"
    cut = ("max search depth too small", "out of memory", "memory limit", "aborted")
    for sign in cut:
        if sign in output:
            return sign
    if "pan: reached" in output or "Search not completed" in output:
        return "not completed"
    if re.search(r"errors: 0\b", output):
        return "no error"
    return "no answer"


def _verify(check: Check, folder: str) -> str:
    flags = [f"-D{define}" for define in check.defines]
    model = str(SPEC / f"{check.model}.pml")
    compiler = ["gcc", "-O1" if check.quick else "-O2", "-w", "-DSAFETY", "-DCOLLAPSE"]
    steps = (
        ["spin", "-a", *flags, model],
        [*compiler, f"-DMEMLIM={MEMORY_LIMIT_MB}", "-o", "pan", "pan.c"],
        ["./pan", f"-m{check.depth}"],
    )
    output = ""
    for step in steps:
        try:
            done = subprocess.run(
                step, cwd=folder, capture_output=True, text=True, timeout=RUN_LIMIT_S
            )
        except subprocess.TimeoutExpired:
            return output + "aborted: out of time"
        output += done.stdout + done.stderr
        if done.returncode != 0 and step[0] != "./pan":
            return output
    return output


def _number(pattern: str, output: str) -> int:
    found = re.search(pattern, output)
    return int(found.group(1)) if found else 0


def table(outcomes: list[Outcome]) -> str:
    """Return the runs as a Markdown table."""
    lines = [
        "| run | defines | guards or size | expected | found | states | depth | s |",
        "| --- | --- | --- | --- | --- | ---: | ---: | ---: |",
    ]
    for done in outcomes:
        check = done.check
        found = done.verdict if done.passed else f"**{done.verdict}**"
        lines.append(
            f"| {check.name} | {' '.join(check.defines)} | {check.guards} | "
            f"{check.expect} | {found} | {done.states} | {done.depth} | "
            f"{done.seconds:.1f} |"
        )
    return "\n".join(lines) + "\n"


def write_page(text: str) -> None:
    """Put the table between its two marks in docs/spec.md."""
    page = PAGE.read_text()
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    PAGE.write_text(head + BEGIN + text + END + tail)


@click.command()
@click.option("--quick", is_flag=True, help="Only the runs that take seconds.")
@click.option("--write", is_flag=True, help="Renew the table in docs/spec.md.")
def main(quick: bool, write: bool) -> None:
    """Check the models in spec/."""
    checks = [check for check in read_checks() if check.quick or not quick]
    with ThreadPoolExecutor(min(AT_ONCE, os.cpu_count() or 1)) as pool:
        # The long runs start first, so that none is left alone at the end.
        checks.sort(key=lambda check: check.quick)
        outcomes = list(pool.map(run_check, checks))
    outcomes.sort(key=lambda done: done.check.name)
    text = table(outcomes)
    click.echo(text)
    failed = [done.check.name for done in outcomes if not done.passed]
    click.echo(f"{len(outcomes)} runs, {len(failed)} not as expected {failed}")
    if write:
        write_page(text)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
