"""Fleets of VMs as processes, with the default settings, idle or rolling bundles."""

import asyncio
import statistics
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import mkdtemp
from typing import Any, NamedTuple

from .deployments import (
    PLATFORM_SECTIONS,
    Operators,
    bundle_document,
    caller_document,
    engine_section,
    service_section,
)
from .fleets import Deployment, Fleet, VmSpec
from .measure_tools import metric_sums, usage, write_result

SETTLE_S = 12.0
WATCHED_S = 20.0
PEER_BYTES = "hawthornlead_peer_bytes_total"
PEER_MESSAGES = "hawthornlead_peer_messages_total"


class Shape(NamedTuple):
    """The size of a fleet."""

    vms: int
    data_centres: int
    engines: int


class Reading(NamedTuple):
    """All counts of a fleet at one moment; by VM where they belong to one."""

    at: float
    processor_s: dict[str, float]
    resident: dict[str, int]
    peer_bytes: dict[str, dict[str, float]]
    peer_messages: dict[str, dict[str, float]]
    bytes_by_message: dict[str, float]
    store_calls: dict[str, int]
    store_calls_of_kind: dict[str, int]
    vm_list_reads: int


def deployment(shape: Shape, operators: dict[str, str]) -> Deployment:
    """Return a deployment of default settings."""
    standins = PLATFORM_SECTIONS
    for number in range(shape.engines):
        data_centre = f"dc{number % shape.data_centres}"
        standins += engine_section(
            f"engine-{number:03d}", data_centre, slots=16, fencing=True
        )
    standins += service_section("bulletins-1", "bulletins", "dc0")
    vms = tuple(
        VmSpec(f"entry-{number:03d}", f"dc{number % shape.data_centres}")
        for number in range(shape.vms)
    )
    # A document of 18,000 adapters is larger than the default allows.
    settings = {"requests": {"max_body_bytes": 8 << 20}}
    return Deployment(vms, standins, settings, operators)


async def read(fleet: Fleet) -> Reading:
    """Read all counts."""
    names = sorted(fleet.vms)
    pages = await asyncio.gather(
        *(fleet.get(fleet.vms[name].caller_address, "/metrics") for name in names)
    )
    texts = {name: page.body.decode() for name, page in zip(names, pages, strict=True)}
    used = {name: usage(fleet.vms[name].process.pid) for name in names}
    store = await fleet.record("store")
    by_message: dict[str, float] = {}
    for text in texts.values():
        for message, count in metric_sums(text, PEER_BYTES, "message").items():
            by_message[message] = by_message.get(message, 0.0) + count
    return Reading(
        time.monotonic(),
        {name: used[name].processor_s for name in names},
        {name: used[name].resident for name in names},
        {name: metric_sums(texts[name], PEER_BYTES, "direction") for name in names},
        {name: metric_sums(texts[name], PEER_MESSAGES, "direction") for name in names},
        by_message,
        store["calls"],
        store["calls_of_kind"],
        (await fleet.record("vms"))["reads"],
    )


def rates(before: Reading, after: Reading) -> dict[str, Any]:
    """Return what a fleet spent between two readings, for each VM and second."""
    seconds = after.at - before.at
    names = sorted(after.processor_s)

    def each(newer: dict, older: dict) -> list[float]:
        return [sum(newer[name].values()) - sum(older[name].values()) for name in names]

    cores = [
        (after.processor_s[name] - before.processor_s[name]) / seconds for name in names
    ]
    peer_bytes = each(after.peer_bytes, before.peer_bytes)
    messages = each(after.peer_messages, before.peer_messages)
    return {
        "seconds": round(seconds, 2),
        "core_share_mean": round(statistics.mean(cores), 5),
        "core_share_max": round(max(cores), 5),
        "resident_mib_mean": round(statistics.mean(after.resident.values()) / 2**20, 2),
        "resident_mib_max": round(max(after.resident.values()) / 2**20, 2),
        "peer_bytes_per_s_mean": round(statistics.mean(peer_bytes) / seconds, 1),
        "peer_bytes_per_s_max": round(max(peer_bytes) / seconds, 1),
        "peer_messages_per_s_mean": round(statistics.mean(messages) / seconds, 2),
        "peer_bytes_per_s_by_message": _per_second(
            before.bytes_by_message, after.bytes_by_message, seconds * len(names)
        ),
        "store_calls_per_s": _per_second(
            before.store_calls, after.store_calls, seconds
        ),
        "store_calls_per_s_of_kind": _per_second(
            before.store_calls_of_kind, after.store_calls_of_kind, seconds
        ),
        "vm_list_reads_per_s": round(
            (after.vm_list_reads - before.vm_list_reads) / seconds, 2
        ),
    }


def _per_second(before: dict, after: dict, seconds: float) -> dict[str, float]:
    return {
        key: round((after[key] - before.get(key, 0)) / seconds, 4)
        for key in sorted(after)
        if after[key] != before.get(key, 0)
    }


async def with_fleet(
    shape: Shape, work: Callable[[Fleet, Operators], Awaitable[dict[str, Any]]]
) -> dict[str, Any]:
    """Start a fleet, settle, do ``work`` on it and end it; return its row."""
    operators = Operators(Path(mkdtemp(prefix="operators-")))
    keys = await operators.make_keys()
    began = time.monotonic()
    async with Fleet(deployment(shape, keys)) as fleet:
        await fleet.start_vms()
        alive_s = time.monotonic() - began
        await asyncio.sleep(SETTLE_S)
        row = await work(fleet, operators)
    return {**shape._asdict(), "alive_after_s": round(alive_s, 2), **row}


async def idle(fleet: Fleet, operators: Operators) -> dict[str, Any]:
    """Watch a fleet that has nothing to do."""
    before = await read(fleet)
    await asyncio.sleep(WATCHED_S)
    row = rates(before, await read(fleet))
    row["list_bytes"] = {}
    for kind in ("leases", "owners", "renewals-dc0", "bundle"):
        reply = await fleet.get(fleet.addresses["store"], f"/objects/{kind}")
        row["list_bytes"][kind] = len(reply.body)
    reply = await fleet.get(fleet.addresses["vms"], "/vms")
    row["list_bytes"]["VM list"] = len(reply.body)
    return row


async def measure_vms(counts: tuple[int, ...] = (3, 6, 12, 24)) -> None:
    """Measure idle fleets against their number of VMs."""
    rows = []
    for count in counts:
        rows.append(await with_fleet(Shape(count, 3, 3), idle))
    write_result("vms", rows, settings="defaults", watched_s=WATCHED_S)


async def measure_targets(counts: tuple[int, ...] = (3, 15, 30, 60)) -> None:
    """Measure an idle fleet of three VMs against its number of targets."""
    rows = []
    for count in counts:
        rows.append(await with_fleet(Shape(3, 3, count), idle))
    write_result("targets", rows, settings="defaults", watched_s=WATCHED_S)


def changing(adapters: int, rolls: int):
    """Return the work of rolling bundles of so many adapters, one after another."""

    async def work(fleet: Fleet, operators: Operators) -> dict[str, Any]:
        vm = fleet.vms[min(fleet.vms)].caller_address
        digests = []
        for number in range(rolls):
            document = bundle(adapters, number)
            digest = await operators.prepare(vm, document)
            await operators.approve(vm, digest)
            digests.append(digest)
        await operators.roll(vm, digests[0])
        for name in fleet.vms:
            await fleet.wait_ready(name)
        before = await read(fleet)
        ended_s = []
        for digest in digests[1:]:
            began = time.monotonic()
            code, output = await operators.roll(vm, digest)
            if code:
                raise RuntimeError(output)
            ended_s.append(time.monotonic() - began)
        after = await read(fleet)
        changes = len(digests) - 1
        return {
            "adapters": adapters,
            "changes": changes,
            "roll_s": [round(each, 3) for each in ended_s],
            **rates(before, after),
        }

    return work


def bundle(adapters: int, number: int) -> dict[str, Any]:
    """Return a bundle whose callers share the adapters; one alias differs by number."""
    callers = []
    for first in range(0, adapters, 100):
        aliases = {
            f"alias-{each}": (f"adapter-{each:05d}", "v1")
            for each in range(first, min(first + 100, adapters))
        }
        callers.append(caller_document(f"caller-{first // 100:03d}", aliases))
    callers[0]["aliases"]["changed"] = {
        "adapter": "adapter-00000",
        "version": f"w{number}",
    }
    return bundle_document(f"bundle-{number}", callers)


async def measure_changes() -> None:
    """Measure configuration changes against VMs and adapters."""
    rows = []
    for vms, adapters in ((3, 1000), (12, 1000), (3, 6000), (3, 18000)):
        rows.append(await with_fleet(Shape(vms, 3, 3), changing(adapters, 4)))
        write_result("changes", rows, settings="defaults but max_body_bytes, 8 MiB")
