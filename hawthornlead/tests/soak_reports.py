"""What both soaks print at their end: which faults came, which rules held.

::

    held = report_faults(world.injected, FAULTS)
    held = report_verdicts(JUDGES, records) and held
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import click

SHOWN = 10


def report_faults(injected: Mapping[str, int], names: Iterable[str]) -> bool:
    """Print how often each fault was injected; False if one never was."""
    held = True
    click.echo(f"faults injected: {sum(injected.values())}")
    for name in sorted(names):
        count = injected[name]
        held = held and count > 0
        click.echo(f"  {count:6} {name}{'' if count else '  NEVER'}")
    return held


def report_verdicts(judges: Mapping[str, Callable[[Any], Any]], evidence: Any) -> bool:
    """Print each judge's verdict; False if one was broken, or never put to the test."""
    held = True
    for name, judge in judges.items():
        verdict = judge(evidence)
        held = held and verdict.exercised > 0 and not verdict.broken
        state = f"BROKEN {len(verdict.broken)}" if verdict.broken else "held"
        state = state if verdict.exercised else "NEVER PUT TO THE TEST"
        click.echo(f"  {verdict.exercised:6} {name}: {state}")
        for line in verdict.broken[:SHOWN]:
            click.echo(f"         {line}")
    return held
