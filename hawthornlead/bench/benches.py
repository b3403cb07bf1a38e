"""The bench's command line: compare policies, popularities, rules for slots.

``scripts/bench compare`` runs every policy on every deployment with the same seeds
and writes tables, JSON and plots to ``bench/results``; ``scripts/bench evictions`` does
so with the rules by which adapters leave the slots of one engine.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

import click

import hawthornlead.bench.bench_sketches  # noqa: F401  enters its strategies
from hawthornlead.bench import bench_popularities, bench_reports, bench_slots
from hawthornlead.bench.bench_figures import RunFigures
from hawthornlead.bench.bench_loads import read_deployment
from hawthornlead.bench.bench_policies import POLICIES
from hawthornlead.bench.bench_runs import run_policy

RESULTS = Path("bench/results")


class _Order(NamedTuple):
    deployment: str
    overrides: dict
    policy: str
    seed: int


def _run(order: _Order) -> RunFigures:
    path = f"bench/{order.deployment}.ini"
    deployment, settings = read_deployment(path, **order.overrides)
    return run_policy(deployment, order.policy, settings, order.seed)


def run_all(orders: list[_Order], workers: int) -> list[RunFigures]:
    """Run all orders, ``workers`` at a time."""
    if workers == 1:
        return [_run(order) for order in orders]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_run, orders))


def _command() -> str:
    return " ".join(["scripts/bench", *sys.argv[1:]])


@click.group()
def main():
    """Measure the decisions under load, without a cluster."""


@main.command()
@click.option("--deployment", "deployments", multiple=True)
@click.option("--policy", "policies", multiple=True, help="default: all")
@click.option("--seeds", default=5, help="how many seeds")
@click.option("--first-seed", default=11, help="the first of them")
@click.option("--workers", default=4, help="runs at a time")
@click.option("--set", "pairs", multiple=True, help="KEY=VALUE of the deployment")
@click.option("--label", default="compare", help="start of the files' names")
def compare(deployments, policies, seeds, first_seed, workers, pairs, label):
    """Run policies side by side with the same seeds."""
    overrides = dict(pair.split("=", 1) for pair in pairs)
    numbers = range(first_seed, first_seed + seeds)
    for name in deployments or ("mareas", "cwmtaf"):
        names = policies or tuple(POLICIES)
        orders = [
            _Order(name, overrides, policy, seed)
            for policy in names
            for seed in numbers
        ]
        runs = iter(run_all(orders, workers))
        results = {policy: [next(runs) for _ in numbers] for policy in names}
        _report(name, overrides, numbers, results, label)


def _report(name, overrides, seeds, results, label) -> None:
    deployment, settings = read_deployment(f"bench/{name}.ini", **overrides)
    RESULTS.mkdir(parents=True, exist_ok=True)
    click.echo(f"\n{name}, seeds {seeds[0]} to {seeds[-1]}: mean (low to high)\n")
    click.echo(bench_reports.table(results))
    if {"chosen", "clairvoyant", "least-loaded+lru", "hashing+lru"} <= set(results):
        click.echo(bench_reports.goals(results))
    stem = RESULTS / f"{label}-{name}"
    bench_reports.write_json(
        stem.with_suffix(".json"), deployment, settings, seeds, results, _command()
    )
    bench_reports.plot(stem.with_suffix(".png"), name, results)


@main.command()
@click.option("--rate", default=100.0, help="requests a second")
@click.option("--duration", default=3600.0, help="seconds")
@click.option("--seed", default=1)
def popularities(rate, duration, seed):
    """Compare exact decayed counters with the universal sketch."""
    rows = []
    for name in ("decayed", "sketch", "sketch-1"):
        figures = bench_popularities.measure(name, seed, rate, duration)
        rows.append(figures._asdict())
        click.echo(
            f"{name}: {figures.bytes} bytes, {figures.observe_us:.1f} us a request, "
            f"{figures.rate_us:.1f} us a rate, found {figures.found:.3f}, "
            f"error {figures.error:.3f}"
        )
    RESULTS.mkdir(parents=True, exist_ok=True)
    document = {"rate": rate, "duration_s": duration, "seed": seed, "strategies": rows}
    path = RESULTS / "popularities.json"
    bench_reports.write_document(path, _command(), document)


@main.command()
@click.option("--rule", "rules", multiple=True, help="default: all")
@click.option("--slots", default=5, help="slots of the engine")
@click.option("--rate", default=6.0, help="requests a second for the engine")
@click.option("--remembered", default=6, help="remembered adapters for each slot")
@click.option("--seeds", default=5, help="how many seeds")
@click.option("--first-seed", default=11, help="the first of them")
def evictions(rules, slots, rate, remembered, seeds, first_seed):
    """Compare the rules by which adapters leave one engine's slots."""
    demand = bench_slots.SlotDemand(slots, rate, remembered_each_slot=remembered)
    numbers = range(first_seed, first_seed + seeds)
    results = {}
    for rule in rules or tuple(bench_slots.EVICTION_RULES):
        results[rule] = [bench_slots.play_slots(rule, demand, seed) for seed in numbers]
    click.echo(bench_reports.slot_table(results))
    RESULTS.mkdir(parents=True, exist_ok=True)
    stem = RESULTS / f"evictions-{slots}"
    runs = {name: [run._asdict() for run in each] for name, each in results.items()}
    document = {"demand": demand._asdict(), "seeds": list(numbers), "runs": runs}
    bench_reports.write_document(stem.with_suffix(".json"), _command(), document)
    bench_reports.plot_slots(stem.with_suffix(".png"), slots, results)


if __name__ == "__main__":
    main()
