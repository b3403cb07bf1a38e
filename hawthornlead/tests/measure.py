"""The measurements behind docs/CAPACITY.md: ``scripts/measure vms`` and so on.

Each writes one file under bench/results/slopes/. They use real processes on loopback
and take from seconds to a few minutes; run one at a time on a quiet machine.
"""

import asyncio

import click

from . import measure_fleets, measure_parts, measure_paths


@click.group()
def main() -> None:
    """Measure what the parts cost."""


@main.command()
def vms() -> None:
    """Idle fleets of 3 to 24 VMs as processes."""
    asyncio.run(measure_fleets.measure_vms())


@main.command()
def targets() -> None:
    """Idle fleets of three VMs with 3 to 60 targets."""
    asyncio.run(measure_fleets.measure_targets())


@main.command()
def changes() -> None:
    """Configuration changes against VMs and adapters."""
    asyncio.run(measure_fleets.measure_changes())


@main.command()
def peers() -> None:
    """One VM's mesh against up to 370 others, in one process, that heartbeat."""
    measure_parts.measure("peers", "peers_row", measure_parts.PEER_COUNTS)


@main.command()
def views() -> None:
    """Views, router and VM list against targets."""
    measure_parts.measure("views", "views_row", measure_parts.TARGET_COUNTS)


@main.command()
def adapters() -> None:
    """Bundle and popularity counters against adapters."""
    measure_parts.measure("adapters", "adapters_row", measure_parts.ADAPTER_COUNTS)


@main.command()
def base() -> None:
    """Memory and time of an interpreter with the libraries, and with all code."""
    measure_parts.measure("base", "base_row", ("libraries", "code"))


@main.command()
@click.option("--profile", default="", help="write a profile there, measure nothing")
@click.option("--tokens", default=16, help="tokens of an answer in the profile")
@click.option("--width", default=16, help="answers at a time in the profile")
@click.option("--name", default="path", help="name of the result")
def path(profile: str, tokens: int, width: int, name: str) -> None:
    """What a VM adds to an answer, and what relaying costs."""
    if profile:
        asyncio.run(measure_paths.profile(profile, tokens, width))
    else:
        asyncio.run(measure_paths.measure(name))


if __name__ == "__main__":
    main()
