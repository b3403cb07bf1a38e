"""What every VM spends on control at the two-year size, part by part."""

from typing import Any, NamedTuple

from hawthornlead.decisions.views import VIEW_MAX_AGE_S

from .capacity_fits import (
    ADAPTERS,
    CHANGES_PER_S,
    RELIST_S,
    STATES_PER_S,
    TARGETS,
    VM_LIST_CHANGES_PER_S,
    VMS,
    VMS_PER_DC,
    WAKING_PER_S,
    column,
    nested,
    rows,
)


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
        vm_list(),
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


def vm_list() -> Part:
    """Return what the VM list costs where the platform gives entity tags.

    Then a list that did not change comes as its headers only, which are in no row.
    """
    size = column("views", "targets", "vm_list_bytes")
    entry = nested("vms", lambda row: row["vms"], lambda row: _listed(row, "VM list"))
    read = column("views", "targets", "vm_list_read_us")
    count = TARGETS + VMS
    return Part(
        f"VM list of {count} entries, read whole at each of its changes",
        read.at(count) / 1e6 * VM_LIST_CHANGES_PER_S,
        (size.slope * TARGETS + entry.slope * VMS) * VM_LIST_CHANGES_PER_S,
        0.0,
        f"`views` and `vms`; {read.mark(count)}; needs entity tags",
    )


def _states_heard() -> Part:
    last = rows("views")[-1]
    told = STATES_PER_S + 2 * WAKING_PER_S
    each_us = last["decode_us"] + last["rebuild_us"]
    refreshed_us = last["refresh_us"] / VIEW_MAX_AGE_S
    return Part(
        f"states of targets heard: {told:.0f} a second; all views anew each 0.25 s",
        (told * each_us + refreshed_us) / 1e6,
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
