"""The tables of docs/CAPACITY.md, made from the committed measurements.

The page's own text stays; what stands between ``<!-- table NAME -->`` and
``<!-- end -->`` is replaced. Each figure names its run. A figure beyond the largest
size that was measured is marked *extrapolated*, with how far.
"""

import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import click

from .measure_tools import read_result

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"

VMS = 370
TARGETS = 610
ADAPTERS = 18_000
DATA_CENTRES = 8
WEIGHT_STORES = 3
CHANGES_PER_S = 3_500 / 86_400
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


def run_of(name: str) -> str:
    """Name a run: its command and date."""
    result = read_result(name)
    return f"`{result['command']}`, {result['date']}"


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
    Slope("views: rebuild", "views", "targets", "rebuild_us", 1, "µs"),
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


# What every VM spends at the two-year size


class Part(NamedTuple):
    """One thing that every VM spends on, a second."""

    what: str
    core: float
    bytes_per_s: float
    mib: float
    basis: str


def every_vm() -> list[Part]:
    """Return what every VM spends on control at the two-year size."""
    return [
        _constant(),
        _mesh(),
        _vm_list(),
        _states_heard(),
        _states_told(),
        _owned_targets(),
        _renewals(),
        _relists(),
        _bundle(),
    ]


def _constant() -> Part:
    core = column("vms", "vms", "core_share_mean")
    memory = column("vms", "vms", "resident_mib_mean")
    base = rows("base")[0]["resident_mib"]
    asking = rows("vms")[-1]["peer_bytes_per_s_by_message"]
    asked = 2 * (asking["bundle-pointer"] + asking["fetch-bundle-pointer"])
    return Part(
        "constant: timers, VM list and store reads, pointers asked of 2 peers",
        core.start,
        asked,
        memory.start - base,
        "`vms`, its line at 0 VMs; bytes at 24; memory over `base`",
    )


def _mesh() -> Part:
    last = rows("peers")[-1]
    return Part(
        f"mesh with all others: heartbeats each second both ways, {last['peers']}",
        last["core_share"],
        last["peer_bytes_per_s"],
        last["resident_over_none_mib"],
        "`peers`, measured at this size",
    )


def _vm_list() -> Part:
    size = column("views", "targets", "vm_list_bytes")
    entry = nested("vms", lambda row: row["vms"], lambda row: _listed(row, "VM list"))
    read = column("views", "targets", "vm_list_read_us")
    count = TARGETS + VMS
    return Part(
        f"VM list read whole each second, {count} entries",
        read.at(count) / 1e6,
        size.slope * TARGETS + entry.slope * VMS,
        0.0,
        f"`views` and `vms`; {read.mark(count)}",
    )


def _states_heard() -> Part:
    last = rows("views")[-1]
    told = STATES_PER_S + 2 * WAKING_PER_S
    each_us = last["decode_us"] + last["rebuild_us"]
    return Part(
        f"states of targets heard: {told:.0f} a second, one view made anew for each",
        told * each_us / 1e6,
        told * last["state_bytes"],
        last["resident_over_none_mib"],
        f"`views`, measured at {last['targets']} targets",
    )


def _states_told() -> Part:
    last = rows("views")[-1]
    told = (STATES_PER_S + 2 * WAKING_PER_S) / VMS
    return Part(
        "own targets' states told to every VM",
        told * last["encode_us"] / 1e6,
        told * last["state_bytes"] * (VMS - 1),
        0.0,
        "`views`; sends to 369 are within the mesh's row",
    )


def _owned_targets() -> Part:
    core = column("targets", "engines", "core_share_mean")
    memory = column("targets", "engines", "resident_mib_mean")
    owned = TARGETS / VMS
    # The fleet of this run has three VMs, so that a target more is a third each.
    return Part(
        f"{owned:.2f} targets owned on the mean: reports each 0.5 s",
        3 * core.slope * owned,
        0.0,
        3 * memory.slope * owned,
        "`targets`; reports themselves aren't frames and not counted as bytes",
    )


def _renewals() -> Part:
    size = nested(
        "vms",
        lambda row: row["vms"] / row["data_centres"],
        lambda row: _listed(row, "renewals-dc0"),
    )
    last = rows("vms")[-1]["store_calls_per_s_of_kind"]
    written = last["write renewals-dc0"]
    return Part(
        f"watch of the renewals of the own data centre ({VMS_PER_DC:.0f} VMs)",
        0.0,
        size.at(VMS_PER_DC) * written,
        0.0,
        f"`vms`; {size.mark(VMS_PER_DC)}; its processor time is in the constant",
    )


def _relists() -> Part:
    leases = nested("vms", lambda row: row["vms"], lambda row: _listed(row, "leases"))
    owners = nested(
        "targets", lambda row: row["engines"], lambda row: _listed(row, "owners")
    )
    size = leases.at(VMS) + owners.at(TARGETS)
    return Part(
        "leases and owners listed anew each 60 s",
        0.0,
        size / RELIST_S,
        0.0,
        f"`vms`, `targets`; {leases.mark(VMS)}, {owners.mark(TARGETS)}",
    )


def _bundle() -> Part:
    last = rows("changes")[-1]
    cost = change_cost(last)
    adapters = rows("adapters")[-1]
    return Part(
        f"bundle of {ADAPTERS:,} adapters, {CHANGES_PER_S:.3f} changes a second",
        cost.core_s * CHANGES_PER_S,
        cost.frame_bytes * CHANGES_PER_S,
        2 * adapters["bundle_mib"] + adapters["counters_mib"],
        f"`changes` at {last['vms']} VMs, `adapters`; two bundles that share nothing",
    )


def _listed(row: dict[str, Any], kind: str) -> float:
    return row["list_bytes"][kind]


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


# Changes of the configuration


class ChangeCost(NamedTuple):
    """What one change costs a VM."""

    core_s: float
    frame_bytes: float
    seconds: float


def change_cost(row: dict[str, Any]) -> ChangeCost:
    """Take the idle costs from a row of changes; return one change's cost."""
    idle = [each for each in rows("vms") if each["vms"] >= row["vms"]][0]
    seconds = row["seconds"] / row["changes"]
    core = row["core_share_mean"] - idle["core_share_mean"]
    frames = row["peer_bytes_per_s_mean"] - idle["peer_bytes_per_s_mean"]
    rolls = sorted(row["roll_s"])
    return ChangeCost(core * seconds, frames * seconds, rolls[len(rolls) // 2])


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
    list_bytes = _vm_list().bytes_per_s
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
            f"{VMS} reads/s of {list_bytes / 1000:.0f} KB: "
            f"{VMS * list_bytes / 1e6:.0f} MB/s",
            "1 a VM and second, `views`: **grows with the square of the size**",
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
    header = ("run", "load", "measure", "p50", "p95", "p99")
    return lines(header, body)


def _added_rows(name: str, row: dict[str, Any]) -> list[tuple]:
    made = []
    load = f"{row['what']}, {row['requests_per_s']:.0f} requests/s by the VM"
    for what in ("first_token_us", "between_tokens_us"):
        through, direct = row["routes"]["vm"][what], row["routes"]["direct"][what]
        label = what.removesuffix("_us").replace("_", " ")
        for each, values in (("by the VM", through), ("direct", direct)):
            cells = [f"{values[p] / 1000:.1f} ms" for p in ("p50", "p95", "p99")]
            made.append((f"`{name}`", load, f"{label}, {each}", *cells))
    return made


# What breaks first


class Break(NamedTuple):
    """Where one mechanism alone reaches a limit, and what replaces it."""

    what: str
    limit: str
    reached_at: str
    next_step: str


@table("breaks")
def breaks() -> str:
    """Make the table of what breaks first, each mechanism taken alone."""
    entry = column("views", "targets", "vm_list_bytes")
    frames = column("peers", "peers", "peer_bytes_per_s")
    mesh = column("peers", "peers", "core_share")
    router = rows("views")[-1]["router_us"]
    read = column("adapters", "adapters", "read_s")
    last = rows("views")[-1]
    found = (
        Break(
            "VM list read whole each second by every VM",
            "24 KB/s",
            f"{_reach(entry, LIMIT_BYTES):.0f} entries",
            NEXT_STEPS["VM list"],
        ),
        Break(
            "heartbeats to all VMs each second",
            "4% of a core; 24 KB/s",
            f"{_reach(mesh, LIMIT_CORE):.0f} VMs; {_reach(frames, LIMIT_BYTES):.0f}",
            NEXT_STEPS["heartbeats"],
        ),
        Break(
            "states of targets told to every VM, heard and sent on",
            "24 KB/s",
            f"{LIMIT_BYTES / 2 / last['state_bytes']:.0f} states a second",
            NEXT_STEPS["states"],
        ),
        Break(
            "bundle of a whole document read in the event loop",
            "61 ms between tokens",
            f"{_reach(read, 0.061):,.0f} adapters",
            NEXT_STEPS["bundle"],
        ),
        Break(
            "two bundles in memory that share nothing, while one is staged",
            "32 MB with all else",
            f"{ADAPTERS:,} adapters, see the sum above",
            NEXT_STEPS["memory"],
        ),
        Break(
            "router's choice over all targets",
            "its share of the path",
            f"{router / 1000:.1f} ms a choice at {last['targets']} targets",
            NEXT_STEPS["router"],
        ),
        Break(
            f"open watches, {WATCHES} a VM",
            "the platform's",
            f"{WATCHES * VMS:,} at {VMS} VMs",
            NEXT_STEPS["watches"],
        ),
    )
    return lines(("what", "limit", "reached at, taken alone", "mechanism"), found)


NEXT_STEPS = {
    "VM list": "the bundle readers, two a data centre, read the list and tell the "
    "others its changes over the mesh; the others read it themselves each 60 s and "
    "when no reader is heard",
    "views": "one view changed in place, and an index of adapters to their holders",
    "heartbeats": "VMs heartbeat within their data centre (46); two relays a data "
    "centre exchange one summary a second; connections to other data centres are "
    "opened for calls and closed when idle",
    "states": "the same relays; to other data centres a digest of residents each few "
    "seconds, the whole state only where a VM routes there",
    "bundle": "documents parsed in a thread, checked in slices",
    "memory": "the staged bundle shares the parts of the one in force, as it does "
    "today for parts that did not change; one table of names",
    "router": "the same index: holders and a few drawn candidates, not all targets",
    "watches": "the readers hold the watches and pass on events; the others watch "
    "only when no reader is heard",
}


def _reach(line: Fit, value: float) -> float:
    return (value - line.start) / line.slope


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
