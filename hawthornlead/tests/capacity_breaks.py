"""What breaks first on the way to the two-year size, and what replaces it."""

from typing import NamedTuple

from hawthornlead.decisions.views import VIEW_MAX_AGE_S

from .capacity_fits import (
    ADAPTERS,
    LIMIT_BYTES,
    LIMIT_CORE,
    VMS,
    WATCHES,
    Fit,
    column,
    lines,
    rows,
    table,
)


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
    refresh = column("views", "targets", "refresh_us")
    router = rows("views")[-1]["router_us"]
    read = column("adapters", "adapters", "read_s")
    last = rows("views")[-1]
    refreshed_us = LIMIT_CORE * 1e6 * VIEW_MAX_AGE_S
    found = (
        Break(
            "VM list read whole each second, where the platform gives no entity tags",
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
            "views of all targets built anew each 0.25 s",
            "4% of a core",
            f"{_reach(refresh, refreshed_us):,.0f} targets, extrapolated",
            NEXT_STEPS["views"],
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
    "views": "views built anew only for entries and owners that changed",
    "heartbeats": "VMs heartbeat within their data centre (46); two relays a data "
    "centre exchange one summary a second; connections to other data centres are "
    "opened for calls and closed when idle",
    "states": "the same relays; to other data centres a digest of residents each few "
    "seconds, the whole state only where a VM routes there",
    "bundle": "documents parsed in a thread, checked in slices",
    "memory": "the staged bundle shares the parts of the one in force, as it does "
    "today for parts that did not change; one table of names",
    "router": "an index of adapters to their holders: these and a few drawn "
    "candidates are weighed, not all targets",
    "watches": "the readers hold the watches and pass on events; the others watch "
    "only when no reader is heard",
}


def _reach(line: Fit, value: float) -> float:
    return (value - line.start) / line.slope
