"""The command line: one program for the daemon, for operators and for queries."""

import sys
from collections.abc import Sequence

import click
from result import Err

from . import __version__
from .file_settings import effective_settings
from .logs import UnblockedStream, configure_logs, quiet_libraries
from .timers import TimerService


class Commands(click.Group):
    """The commands; those for operators are loaded only when one is requested.

    Loading them takes a third of the start-up time of a VM's process.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        self._load()
        return super().list_commands(ctx)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return the command of this name, None if there is none."""
        if name not in self.commands:
            self._load()
        return super().get_command(ctx, name)

    def _load(self) -> None:
        from .operators.commands import bundle_group, keys_group
        from .operators.queries import QUERIES

        self.add_command(bundle_group, "bundle")
        self.add_command(keys_group, "keys")
        for query in QUERIES.values():
            self.add_command(query)


@click.group(cls=Commands)
@click.version_option(__version__, prog_name="hawthornlead")
def cli():
    """Serve answers from base models with very many LoRA adapters."""
    quiet_libraries()


@cli.command()
@click.option(
    "-c", "--settings", "path", required=True, metavar="FILE", help="Settings (INI)."
)
def serve(path: str) -> None:
    """Run the daemon of this VM until it is asked to stop."""
    settings = effective_settings(path)
    configure_logs(settings, TimerService())
    # Imported here, so that queries do not load the whole daemon.
    from .daemon.daemons import run_daemon

    ended = run_daemon(settings)
    if isinstance(ended, Err):
        raise click.ClickException(ended.err_value.detail)


@cli.command()
@click.option(
    "-c",
    "--settings",
    "path",
    required=True,
    envvar="HAWTHORNLEAD_SETTINGS",
    metavar="FILE",
    help="Settings (INI); HAWTHORNLEAD_SETTINGS names them too.",
)
def gateway(path: str) -> None:
    """Serve callers on a platform that keeps configuration and targets in its store."""
    settings = effective_settings(path)
    stream = UnblockedStream(sys.stdout.fileno())
    write_event = configure_logs(settings, TimerService(), stream)
    from .gateway.gateways import run_gateway

    run_gateway(settings, path, write_event)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line on ``arguments``, or on those of the process."""
    cli.main(args=arguments, prog_name="hawthornlead")
