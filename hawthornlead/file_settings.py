"""Reads the settings file of a command, or prints all its errors and exits."""

import sys

from result import Ok

from .settings import Settings, read_settings


def effective_settings(path: str) -> Settings:
    """Return the settings of a file, or print all its errors and exit with 1."""
    outcome = read_settings(path)
    if isinstance(outcome, Ok):
        return outcome.ok_value
    for error in outcome.err_value:
        print(str(error), file=sys.stderr)
    sys.exit(1)
