"""The tables of docs/CAPACITY.md, made from the committed measurements.

The page's own text stays; what stands between ``<!-- table NAME -->`` and
``<!-- end -->`` is replaced. Each figure names its run. A figure beyond the largest
size that was measured is marked *extrapolated*, with how far.
"""

import re
from pathlib import Path
from typing import Any, NamedTuple

import click

from . import capacity_breaks
from .capacity_costs import change_cost, every_vm, vm_list
from .capacity_fits import (
    CHANGES_PER_S,
    DATA_CENTRES,
    LIMIT_BYTES,
    LIMIT_CORE,
    LIMIT_MIB,
    RELIST_S,
    TABLES,
    VMS,
    WATCHES,
    column,
    lines,
    number,
    percent,
    rows,
    table,
)
from .measure_tools import read_result

__all__ = ["PAGE", "capacity_breaks", "with_tables"]

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"


# Measured slopes


class Slope(NamedTuple):
    """One line of the table of slopes."""

    what: str
    name: str
    x: str
    y: str
    scale: float
    unit: str


SLOPES = (
    Slope("idle VM: core", "vms", "vms", "core_share_mean", 100, "% of a core"),
    Slope("idle VM: memory", "vms", "vms", "resident_mib_mean", 1, "MiB"),
    Slope("idle VM: frames", "vms", "vms", "peer_bytes_per_s_mean", 1, "B/s"),
    Slope("mesh alone: core", "peers", "peers", "core_share", 100, "% of a core"),
    Slope("mesh alone: memory", "peers", "peers", "resident_over_none_mib", 1, "MiB"),
    Slope("mesh alone: frames", "peers", "peers", "peer_bytes_per_s", 1, "B/s"),
    Slope("owner: core, 3 VMs", "targets", "engines", "core_share_mean", 100, "%"),
    Slope("owner: memory, 3 VMs", "targets", "engines", "resident_mib_mean", 1, "MiB"),
    Slope("frames, 3 VMs", "targets", "engines", "peer_bytes_per_s_mean", 1, "B/s"),
    Slope("views: memory", "views", "targets", "resident_over_none_mib", 1, "MiB"),
    Slope("views: one state taken", "views", "targets", "rebuild_us", 1, "µs"),
    Slope("views: all anew", "views", "targets", "refresh_us", 1, "µs"),
    Slope("router: one choice", "views", "targets", "router_us", 1, "µs"),
    Slope("VM list: bytes", "views", "targets", "vm_list_bytes", 1, "B"),
    Slope("VM list: one read", "views", "targets", "vm_list_read_us", 1, "µs"),
    Slope("bundle: memory", "adapters", "adapters", "bundle_mib", 1, "MiB"),
    Slope("bundle: read whole", "adapters", "adapters", "read_s", 1000, "ms"),
    Slope("counters: memory", "adapters", "adapters", "counters_mib", 1, "MiB"),
)


@table("slopes")
def slopes() -> str:
    """Make the table of all measured slopes."""
    body = []
    for each in SLOPES:
        line = column(each.name, each.x, each.y, each.scale)
        sizes = [row[each.x] for row in rows(each.name)]
        ends = (rows(each.name)[0], rows(each.name)[-1])
        found = [number(row[each.y] * each.scale) for row in ends]
        body.append(
            (
                each.what,
                f"{min(sizes)} to {max(sizes)} {each.x}",
                f"{found[0]} to {found[1]} {each.unit}",
                f"{number(line.start)} + {number(line.slope)} × {each.x}",
                number(line.worst),
                f"`{each.name}`",
            )
        )
    header = ("what", "sizes", "first to last", "line", "worst distance", "run")
    return lines(header, body)


@table("runs")
def runs() -> str:
    """Name all runs."""
    names = ("base", "vms", "peers", "targets", "views", "adapters", "changes")
    names += ("path-before", "path")
    body = []
    for name in names:
        result = read_result(name)
        machine = result["machine"]
        body.append(
            (
                f"`{name}`",
                f"`{result['command']}`",
                result["date"],
                f"{machine['processors']} processors, load {machine['load_1_min']}",
            )
        )
    return lines(("run", "command", "date", "machine at its end"), body)


@table("every-vm")
def every_vm_table() -> str:
    """Make the table of what every VM spends."""
    parts = every_vm()
    body = [
        (
            part.what,
            percent(part.core),
            number(part.bytes_per_s),
            number(part.mib),
            part.basis,
        )
        for part in parts
    ]
    core = sum(part.core for part in parts)
    sent = sum(part.bytes_per_s for part in parts)
    memory = sum(part.mib for part in parts)
    body.append(("**sum**", percent(core), number(sent), number(memory), ""))
    body.append(
        (
            "**limit of the letter**",
            percent(LIMIT_CORE),
            number(LIMIT_BYTES),
            number(LIMIT_MIB),
            "",
        )
    )
    body.append(
        (
            "**outcome**",
            outcome(core, LIMIT_CORE),
            outcome(sent, LIMIT_BYTES),
            outcome(memory, LIMIT_MIB),
            "",
        )
    )
    header = ("every VM, a second", "core", "bytes/s", "MiB", "worked out from")
    return lines(header, body)


def outcome(value: float, limit: float) -> str:
    """Say whether a limit holds."""
    if value <= limit:
        return f"holds ({value / limit:.0%} of it)"
    return f"**broken, {value / limit:.1f} times**"


@table("changes")
def changes() -> str:
    """Make the table of the changes' costs."""
    body = []
    for row in rows("changes"):
        cost = change_cost(row)
        calls = row["store_calls_per_s"]
        each_s = row["seconds"] / row["changes"]
        body.append(
            (
                row["vms"],
                f"{row['adapters']:,}",
                f"{cost.seconds:.2f} s (longest {max(row['roll_s']):.2f})",
                f"{cost.core_s * 1000:.0f} ms",
                number(cost.frame_bytes),
                number(calls.get("read", 0) * each_s),
                number(calls.get("write", 0) * each_s),
            )
        )
    header = (
        "VMs",
        "adapters",
        "order to accepted, median",
        "processor time a VM",
        "frame bytes a VM",
        "store reads, all VMs",
        "store writes, all VMs",
    )
    return lines(header, body)


# The platform's stores


@table("store")
def store() -> str:
    """Make the table of the object API's and the VM list's load."""
    last = rows("vms")[-1]
    kinds = last["store_calls_per_s_of_kind"]
    readers = 2 * last["data_centres"]
    pointer = kinds["read bundle"] / readers
    renewal_reads = kinds["read renewals-dc0"]
    renewal_writes = kinds["write renewals-dc0"]
    relists = WATCHES * VMS / RELIST_S
    list_bytes = vm_list().bytes_per_s
    body = [
        (
            "bundle pointer, 2 readers a data centre",
            f"{2 * DATA_CENTRES * pointer:.1f} reads/s",
            f"{pointer:.2f} a reader, `vms`; grows with data centres, not VMs",
        ),
        (
            "renewals of leases, 1 aggregator a data centre",
            f"{DATA_CENTRES * renewal_reads:.1f} reads/s, "
            f"{DATA_CENTRES * renewal_writes:.1f} writes/s",
            f"{renewal_writes:.2f} writes a data centre, `vms`",
        ),
        (
            "lists of watches, each 60 s",
            f"{relists:.1f} reads/s",
            f"{WATCHES} a VM, worked out: **grows with VMs**",
        ),
        (
            "open watches",
            f"{WATCHES * VMS:,}",
            f"{WATCHES} a VM, worked out: **grows with VMs**",
        ),
        (
            "changes of the configuration",
            _change_calls(),
            "`changes` at 18,000 adapters and 3 VMs, without chunks fetched by more",
        ),
        (
            "VM list",
            f"{VMS} reads/s, most answered as unchanged; "
            f"{VMS * list_bytes / 1000:.0f} KB/s of lists",
            "1 read a VM and second: **grows with VMs**; `views` for the size; "
            "without entity tags each read is a whole list",
        ),
    ]
    return lines(("use", "at the two-year size", "basis"), body)


def _change_calls() -> str:
    last = rows("changes")[-1]
    each_s = last["seconds"] / last["changes"]
    reads = last["store_calls_per_s"]["read"] * each_s * CHANGES_PER_S
    writes = last["store_calls_per_s"]["write"] * each_s * CHANGES_PER_S
    return f"{reads:.2f} reads/s, {writes:.2f} writes/s"


# The path of a request


@table("path-cost")
def path_cost() -> str:
    """Make the table of what one VM process carries."""
    body = []
    for name in ("path-before", "path"):
        found = {row["what"]: row for row in rows(name)}
        most, short = found["most chunks"], found["most requests of 16 tokens"]
        body.append(
            (
                f"`{name}`",
                number(most["chunks_per_core_s"]),
                number(most["chunks_per_s"]),
                number(short["requests_per_core_s"]),
                number(short["requests_per_s"]),
                number(found["open streams"]["bytes_per_stream"]),
            )
        )
    header = (
        "run",
        "chunks a core and second",
        "chunks/s in this run",
        "requests of 16 tokens a core and second",
        "requests/s in this run",
        "bytes an open stream",
    )
    return lines(header, body)


@table("path-added")
def path_added() -> str:
    """Make the table of the time that a VM adds, against direct calls of one run."""
    body = []
    for name in ("path-before", "path"):
        for row in rows(name):
            if "direct" in row.get("routes", {}):
                body += _added_rows(name, row)
    header = ("run", "load", "VM had no processor", "measure", "p50", "p95", "p99")
    return lines(header, body)


def _added_rows(name: str, row: dict[str, Any]) -> list[tuple]:
    made = []
    load = f"{row['what']}, {row['requests_per_s']:.0f} requests/s by the VM"
    share = row.get("vm_waited_share")
    waited = "not measured" if share is None else f"{share:.0%} of the time"
    for what in ("first_token_us", "between_tokens_us"):
        through, direct = row["routes"]["vm"][what], row["routes"]["direct"][what]
        label = what.removesuffix("_us").replace("_", " ")
        for each, values in (("by the VM", through), ("direct", direct)):
            cells = [f"{values[p] / 1000:.1f} ms" for p in ("p50", "p95", "p99")]
            made.append((f"`{name}`", load, waited, f"{label}, {each}", *cells))
    return made


# The page


def with_tables(text: str) -> str:
    """Return a page with all its tables made anew."""

    def fill(match: re.Match) -> str:
        made = TABLES[match[1]]()
        return f"<!-- table {match[1]} -->\n\n{made}\n<!-- end -->"

    pattern = r"<!-- table (\S+) -->\n.*?<!-- end -->"
    return re.sub(pattern, fill, text, flags=re.DOTALL)


@click.command()
def main() -> None:
    """Make the tables of docs/CAPACITY.md from the committed measurements."""
    PAGE.write_text(with_tables(PAGE.read_text(encoding="utf-8")), encoding="utf-8")


if __name__ == "__main__":
    main()
