"""The command line of a conformance run; see ``scripts/conformance --help``."""

import asyncio
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import click
from loguru import logger

from . import response_rules, run_rules  # noqa: F401  They enter their rules.
from .events import EVENTS, play_events
from .fleets import ROOT, build
from .judge import Index, Verdict, judge
from .records import History, Received, Trouble
from .timelines import time_line
from .worlds import World

SHOWN = 3


async def play(seed: int, minutes: float, vms: int, kinds: list[str]) -> History:
    """Play one run and return its history."""
    await build()
    net = f"127.{random.Random().randrange(20, 250)}"
    folder = Path(tempfile.mkdtemp(prefix="conformance-"))
    logger.info("logs of the VMs are in {}", folder)
    world = World(seed, net, folder, kinds)
    over = asyncio.Event()
    try:
        await world.start(vms)
        callers = asyncio.create_task(world.call(over))
        await play_events(world, kinds, time.monotonic() + minutes * 60)
        over.set()
        await callers
    finally:
        await world.stop()
    return world.history


def report(history: History, verdicts: list[Verdict]) -> None:
    """Print what was played, the verdicts, and time lines of what broke a rule."""
    statuses = Counter(each.status for each in history.of(Received))
    events = Counter(each.what for each in history.of(Trouble))
    click.echo(f"responses: {dict(sorted(statuses.items()))}")
    click.echo(f"events: {dict(sorted(events.items()))}")
    index = Index(history)
    for verdict in verdicts:
        click.echo(verdict.line)
        for breach in verdict.breaches[:SHOWN]:
            click.echo(f"  {breach.request}: {breach.what}")
            for line in time_line(index, breach.request):
                click.echo(line)
        if len(verdict.breaches) > SHOWN:
            click.echo(f"  and {len(verdict.breaches) - SHOWN} more")


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--minutes", type=float, default=0.5, show_default=True)
@click.option("--vms", type=click.IntRange(3, 24), default=3, show_default=True)
@click.option(
    "--without", type=click.Choice(EVENTS), multiple=True, help="Leaves out an event."
)
@click.option("--only", type=click.Choice(EVENTS), multiple=True, help="Plays just it.")
@click.option("--calm", is_flag=True, help="Plays no event.")
@click.option(
    "--judge",
    "recorded",
    type=click.Path(exists=True, path_type=Path),
    help="Judges a recorded history in place of a run.",
)
def main(seed, minutes, vms, without, only, calm, recorded) -> None:
    """Plays events before the real gateways, and judges what came of them.

    Exits with 1 if a rule was broken. A rule that was never tested doesn't count as
    held and is printed as such.
    """
    logger.remove()
    logger.add(sys.stderr, level="INFO", format="{time:HH:mm:ss} {message}")
    title = f"seed {seed}, {minutes} minutes, {vms} VMs"
    if recorded is not None:
        history = History.load(recorded)
        title = f"the history {recorded.name}"
    else:
        kinds = [] if calm else [each for each in only or EVENTS if each not in without]
        history = asyncio.run(play(seed, minutes, vms, kinds))
        path = ROOT / f"target/conformance-{seed}.jsonl"
        history.save(path)
        logger.info("the history is in {}", path.relative_to(ROOT))
    verdicts = judge(history)
    click.echo(title)
    report(history, verdicts)
    sys.exit(any(each.breaches for each in verdicts))


if __name__ == "__main__":
    main()
