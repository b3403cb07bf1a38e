"""What a start costs a VM in processor time: gateways as processes, before stand-ins.

Each VM is started as a deployment starts it: without ``site``, with its libraries from
``target/deps`` as the build line leaves them. With ``--against`` another checkout takes
turns with this one. It uses this checkout's libraries::

    scripts/start-cost --against ../before

One more VM of each checkout is started with ``-v``, which names each module and how it
was loaded; its processor time isn't counted.
"""

import asyncio
import json
import os
import re
import statistics
import tempfile
from pathlib import Path
from typing import NamedTuple

import click
from loguru import logger

from .path_costs import Command, PathFleet

OPTIONS = ("-S",)
# The loaders of modules that lie in files of their own.
FILE_LOADERS = re.compile(rb"(Source|Sourceless|Extension)\w*FileLoader")
IMPORT_LINE = re.compile(rb"^import '.*", re.MULTILINE)


class Loads(NamedTuple):
    """How many modules a VM loads, and how many of them from files of their own."""

    modules: int
    files: int


async def start_costs(checkout: Path, deps: Path, vms: int, profile: str) -> dict:
    """Return the mean costs of a start over some VMs, in milliseconds."""
    command = Command(OPTIONS, (deps,))
    async with PathFleet(checkout, vms, vms, profile, command) as fleet:
        starts = fleet.starts
    ready = statistics.mean(start.ready for start in starts)
    settled = statistics.mean(start.settled for start in starts)
    took = statistics.mean(start.took for start in starts)
    return {"ready": ready, "settled": settled, "both": ready + settled, "took": took}


async def count_loads(checkout: Path, deps: Path) -> Loads:
    """Return what one VM loads until it has settled."""
    with tempfile.TemporaryFile() as errors:
        command = Command((*OPTIONS, "-v"), (deps,), errors.fileno())
        async with PathFleet(checkout, 1, 1, "", command):
            errors.seek(0)
            lines = IMPORT_LINE.findall(errors.read())
    return Loads(len(lines), sum(bool(FILE_LOADERS.search(line)) for line in lines))


@click.command()
@click.option("--vms", default=2, help="gateways, started at the same time")
@click.option("--rounds", default=5, help="measurements of each checkout, in turn")
@click.option("--against", default="", help="another checkout to compare with")
@click.option("--deps", default="target/deps", help="where the libraries are installed")
@click.option(
    "--bytecode/--no-bytecode", default=True, help="write the checkouts' bytecode first"
)
@click.option("--profile", default="", help="where one VM's profile is written")
def main(vms, rounds, against, deps, bytecode, profile) -> None:
    """Print what a start costs a VM until it is ready, and in the 2 s after."""
    logger.remove()
    os.environ["PYTHONDONTWRITEBYTECODE"] = "" if bytecode else "1"
    libraries = Path(deps).resolve()
    if not libraries.is_dir():
        raise click.ClickException(f"{libraries} is missing: run the build line")
    checkouts = {"this": Path.cwd()}
    if against:
        checkouts["other"] = Path(against).resolve()
    # This start also writes the bytecode of a fresh checkout, as a build does, unless
    # forbidden; without it, compiling counts as a part of each start.
    for name, path in checkouts.items():
        loads = asyncio.run(count_loads(path, libraries))
        click.echo(json.dumps({"checkout": name, **loads._asdict()}))
    results: dict[str, list[dict]] = {name: [] for name in checkouts}
    for _ in range(rounds):
        for name, path in checkouts.items():
            costs = asyncio.run(start_costs(path, libraries, vms, profile))
            results[name].append(costs)
            click.echo(json.dumps({"checkout": name, **costs}))
    for field in results["this"][0]:
        for measure in (min, statistics.median):
            values = {
                name: measure(run[field] for run in runs)
                for name, runs in results.items()
            }
            ratio = f", ratio {values['this'] / values['other']:.2f}" if against else ""
            shown = ", ".join(f"{name} {each:.0f} ms" for name, each in values.items())
            click.echo(f"{field}, {measure.__name__}: {shown}{ratio}")


if __name__ == "__main__":
    main()
