"""Command line options for the address and certificates of a VM."""

import click

VM_OPTION = click.option(
    "--vm",
    required=True,
    metavar="IP:PORT",
    help="Caller address of any VM, or https://IP:PORT.",
)
CA_OPTION = click.option(
    "--ca",
    metavar="FILE",
    type=click.Path(exists=True, dir_okay=False),
    help="Certificates to trust (PEM).",
)
