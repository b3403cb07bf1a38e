"""Table, JSON and plot of a comparison."""

import json
import os
import platform
from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path
from statistics import mean
from typing import NamedTuple

from hawthornlead.bench.bench_figures import BUCKET_S, RunFigures
from hawthornlead.bench.bench_loads import Deployment
from hawthornlead.bench.bench_slots import SlotFigures

COLUMNS = (
    ("stall total s", "stall_total_s", "{:.0f}"),
    ("p50 s", "stall_p50_s", "{:.2f}"),
    ("p95 s", "stall_p95_s", "{:.2f}"),
    ("p99 s", "stall_p99_s", "{:.2f}"),
    ("loads/h", "loads_per_hour", "{:.0f}"),
    ("batch fill", "batch_fill", "{:.3f}"),
    ("in time", "in_time", "{:.4f}"),
    ("worst caller", "worst_caller", "{:.3f}"),
    ("after shift s", "stall_shift_s", "{:.3f}"),
    ("steady s", "stall_steady_s", "{:.3f}"),
    ("first token p99 s", "first_token_p99_s", "{:.2f}"),
)


class Spread(NamedTuple):
    """One figure over all seeds."""

    mean: float
    low: float
    high: float


def spread(runs: Sequence[NamedTuple], field: str) -> Spread:
    """Return the mean and the extremes of a field."""
    values = [getattr(run, field) for run in runs]
    return Spread(mean(values), min(values), max(values))


def table(results: dict[str, list[RunFigures]]) -> str:
    """Return a Markdown table, one line a policy, ``mean (low to high)``."""
    lines = ["| policy | " + " | ".join(name for name, _, _ in COLUMNS) + " |"]
    lines.append("| --- " * (len(COLUMNS) + 1) + "|")
    for policy, runs in results.items():
        cells = [policy]
        for _, field, form in COLUMNS:
            cells.append("{} ({} to {})".format(*map(form.format, spread(runs, field))))
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def goals(results: dict[str, list[RunFigures]]) -> str:
    """Return how the chosen policy stands to its goals, as lines."""
    totals = {
        name: spread(runs, "stall_total_s").mean for name, runs in results.items()
    }
    chosen = totals["chosen"]
    baseline = min(totals["least-loaded+lru"], totals["hashing+lru"])
    floor = spread(results["chosen"], "floor_stall_s").mean
    shift = spread(results["chosen"], "stall_shift_s").mean
    steady = spread(results["chosen"], "stall_steady_s").mean
    lines = [
        f"stall / better baseline: {chosen / baseline:.2f} (goal 0.50)",
        f"stall / clairvoyant run: {chosen / totals['clairvoyant']:.2f} (goal 1.30)",
        f"stall / least stall of MIN: {chosen / floor:.2f}",
        f"first minute after a shift / steady: {shift / steady:.2f} (goal 2.00)",
    ]
    return "\n".join(lines)


def write_json(
    path: Path,
    deployment: Deployment,
    settings: dict,
    seeds: Sequence[int],
    results: dict[str, list[RunFigures]],
    command: str,
) -> None:
    """Write everything that was measured."""
    document = {
        "deployment": deployment._asdict(),
        "settings": settings,
        "seeds": list(seeds),
        "runs": {
            name: [run._asdict() for run in runs] for name, runs in results.items()
        },
    }
    write_document(path, command, document)


def write_document(path: Path, command: str, document: dict) -> None:
    """Write figures with the command that made them, when, and on what."""
    head = {
        "command": command,
        "date": datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC"),
        "machine": {
            "processors": os.cpu_count(),
            "load_1_min": round(os.getloadavg()[0], 1),
            "python": platform.python_version(),
        },
    }
    text = json.dumps({**head, **document}, indent=1)
    path.write_text(text + "\n", encoding="utf-8")


def plot(path: Path, name: str, results: dict[str, list[RunFigures]]) -> None:
    """Draw totals, the distribution of stalls, and stalls since a shift."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (totals, shares, since) = pyplot.subplots(1, 3, figsize=(16, 5))
    for number, (policy, runs) in enumerate(results.items()):
        total = spread(runs, "stall_total_s")
        error = [[total.mean - total.low], [total.high - total.mean]]
        totals.bar(number, total.mean, yerr=error, capsize=4, color=f"C{number}")
        levels = [
            mean(values) for values in zip(*_all(runs, "stall_share"), strict=True)
        ]
        shares.plot(levels, range(100), label=policy, color=f"C{number}")
        line = [mean(values) for values in zip(*_all(runs, "timeline"), strict=True)]
        since.plot([BUCKET_S * (i + 0.5) for i in range(len(line))], line)
    totals.set_xticks(range(len(results)), results, rotation=30, ha="right")
    totals.set_title(f"{name}: total load stall, seconds")
    shares.set_title("requests (%) that stall at most this long, seconds")
    shares.set_xscale("symlog", linthresh=0.1)
    shares.legend()
    since.set_title("mean stall (s) by seconds since a popularity shift")
    since.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


SLOT_FIELDS = ("refused", "loads", "fetches")


def slot_table(results: dict[str, list[SlotFigures]]) -> str:
    """Return a Markdown table of rules for slots, ``mean (low to high)``."""
    lines = ["| rule | requests | " + " | ".join(SLOT_FIELDS) + " |"]
    lines.append("| --- " * (len(SLOT_FIELDS) + 2) + "|")
    for rule, runs in results.items():
        cells = [rule, f"{spread(runs, 'requests').mean:.0f}"]
        for field in SLOT_FIELDS:
            cells.append("{:.0f} ({:.0f} to {:.0f})".format(*spread(runs, field)))
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def plot_slots(path: Path, slots: int, results: dict[str, list[SlotFigures]]) -> None:
    """Draw loads and, of these, fetches of each rule, with the spread over seeds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for number, (field, color) in enumerate((("loads", "C0"), ("fetches", "C1"))):
        spreads = [spread(runs, field) for runs in results.values()]
        means = [each.mean for each in spreads]
        lows = [each.mean - each.low for each in spreads]
        highs = [each.high - each.mean for each in spreads]
        places = [place + 0.4 * number for place in range(len(spreads))]
        axes.bar(
            places, means, 0.4, yerr=[lows, highs], capsize=4, color=color, label=field
        )
    axes.set_xticks([place + 0.2 for place in range(len(results))], list(results))
    axes.set_title(f"one engine with {slots} slots: loads, and fetches among them")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _all(runs: Sequence[RunFigures], field: str) -> list:
    return [getattr(run, field) for run in runs]
