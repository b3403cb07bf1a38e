"""Straight lines through the committed measurements, and how figures are written.

The sizes are the letter's; what the code sends is by its own constants.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import click

from .measure_tools import read_result

VMS = 370
TARGETS = 610
ADAPTERS = 18_000
DATA_CENTRES = 8
WEIGHT_STORES = 3
CHANGES_PER_S = 3_500 / 86_400
# 7 VMs fail and 69 are restarted or replaced a day; each leaves the list and comes.
VM_LIST_CHANGES_PER_S = 2 * (7 + 69) / 86_400
WAKING_PER_S = 0.58 * ADAPTERS / 3600
VMS_PER_DC = VMS / DATA_CENTRES
# What the code sends, from its constants: states told a second by all owners
# together, seconds between lists of a watch, lists of kinds that all VMs watch.
STATES_PER_S = 40.0
RELIST_S = 60.0
WATCHES = 3
LEASE_RENEW_S = 1.5

LIMIT_CORE = 0.04
LIMIT_MIB = 32.0
LIMIT_BYTES = 24_000.0

TABLES: dict[str, Callable[[], str]] = {}


def table(name: str):
    """Enter a function that makes a table in ``TABLES`` under ``name``."""

    def enter(function):
        TABLES[name] = function
        return function

    return enter


class Fit(NamedTuple):
    """A straight line through a measurement, least squares."""

    slope: float
    start: float
    largest: float
    worst: float

    def at(self, x: float) -> float:
        """Return the line's value."""
        return self.start + self.slope * x

    def mark(self, x: float) -> str:
        """Say whether ``x`` lies beyond what was measured."""
        if x <= self.largest * 1.01:
            return "within what was measured"
        return f"extrapolated ×{x / self.largest:.1f}"


def rows(name: str) -> list[dict[str, Any]]:
    """Return the rows of a committed measurement."""
    result = read_result(name)
    if result is None:
        raise click.ClickException(f"no measurement {name}: run scripts/measure {name}")
    return result["rows"]


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fit a line; ``worst`` is the largest distance of a point from it."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - slope * mean_x
    worst = max(abs(y - start - slope * x) for x, y in points)
    return Fit(slope, start, max(x for x, _ in points), worst)


def column(name: str, x: str, y: str, scale: float = 1.0) -> Fit:
    """Fit one column of a measurement against another."""
    return fit([(row[x], row[y] * scale) for row in rows(name)])


def nested(name: str, x: Callable, y: Callable) -> Fit:
    """Fit values that are worked out from a measurement's rows."""
    return fit([(x(row), y(row)) for row in rows(name)])


def lines(header: tuple[str, ...], body: list[tuple]) -> str:
    """Return a table in Markdown."""
    text = "| " + " | ".join(header) + " |\n"
    text += "|" + "---|" * len(header) + "\n"
    for row in body:
        text += "| " + " | ".join(str(each) for each in row) + " |\n"
    return text


def number(value: float) -> str:
    """Write a number with three digits that count."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def percent(value: float) -> str:
    """Write a share of a core."""
    return f"{value * 100:.2f}%"
