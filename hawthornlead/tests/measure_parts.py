"""Single parts with real code and in-process fakes, each row in a fresh interpreter."""

import asyncio
import json
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Any

from . import measure_fakes
from .measure_tools import in_process, usage, write_result

HERE = "hawthornlead.tests.measure_parts"
BASES = "hawthornlead.tests.measure_bases"
WATCHED_S = 10.0
RESIDENTS = 16
TARGET_COUNTS = (10, 50, 150, 300, 610)
ADAPTER_COUNTS = (1000, 3000, 6000, 12000, 18000)
PEER_COUNTS = (12, 24, 50, 100, 200, 370)


def timed(function: Callable[[], Any], seconds: float = 0.5) -> float:
    """Return the processor seconds that one call takes, by many."""
    calls, began = 0, time.process_time()
    while time.process_time() - began < seconds:
        function()
        calls += 1
    return (time.process_time() - began) / calls


# Peers


def peers_row(count: int) -> dict[str, Any]:
    """Measure one VM's mesh with ``count`` others, which heartbeat and no more."""
    return asyncio.run(_peers_row(count))


async def _peers_row(count: int) -> dict[str, Any]:
    from hawthornlead.metrics import Metrics
    from hawthornlead.ownership.members import Members
    from hawthornlead.timers import TimerService

    timers, metrics = TimerService(), Metrics()
    mesh = measure_fakes.make_mesh(measure_fakes.SUBJECT, timers, metrics)
    members = Members(
        settings=mesh._settings,
        timers=timers,
        events=mesh._events,
        mesh=mesh,
        vm_list=_NoList(),
    )
    await mesh.listen()
    mesh.start()
    members.start()
    base = usage().resident
    command = [sys.executable, "-m", "hawthornlead.tests.measure_fakes"]
    fakes = await asyncio.create_subprocess_exec(
        *command, mesh.address, str(count), stdin=subprocess.PIPE
    )
    try:
        while len(mesh.live) < count:
            await asyncio.sleep(0.2)
        await asyncio.sleep(4)
        before, bytes_before = usage(), _peer_bytes(metrics)
        began = time.monotonic()
        await asyncio.sleep(WATCHED_S)
        seconds = time.monotonic() - began
        after, bytes_after = usage(), _peer_bytes(metrics)
    finally:
        fakes.stdin.close()
        await fakes.wait()
    return {
        "peers": count,
        "connected": len(mesh.live) or count,
        "core_share": round((after.processor_s - before.processor_s) / seconds, 5),
        "resident_mib": round(after.resident / 2**20, 2),
        "resident_over_none_mib": round((after.resident - base) / 2**20, 2),
        "peer_bytes_per_s": round((bytes_after - bytes_before) / seconds, 1),
    }


class _NoList:
    entries = ()
    age_s = 0.0


def _peer_bytes(metrics) -> float:
    total = 0.0
    for metric in metrics.peer_bytes.collect():
        total += sum(each.value for each in metric.samples if "_total" in each.name)
    return total


# Views of targets


def views_row(count: int) -> dict[str, Any]:
    """Measure what a VM knows of ``count`` targets: views, router, VM list."""
    from hawthornlead.clocks import HybridClock, HybridTime
    from hawthornlead.decisions.views import TargetViews
    from hawthornlead.events import EventRing
    from hawthornlead.mesh.codecs import Frame, decode, encode
    from hawthornlead.ownership.platforms import VmList
    from hawthornlead.settings import default_settings
    from hawthornlead.timers import TimerService

    from .fakes_worlds import FakeOwners

    settings = default_settings(VM_NAME="vm-000", DATA_CENTRE="dc0")
    settings |= {"VM_LIST_ADDRESS": "127.0.0.1:1", "STORE_ADDRESS": "127.0.0.1:1"}
    timers = TimerService()
    events = EventRing("vm-000", HybridClock(timers), 64)
    vm_list = VmList(settings=settings, timers=timers, events=events)
    views = TargetViews(
        timers=timers, events=events, vm_list=vm_list, owners=FakeOwners({})
    )
    base = usage().resident
    body = json.dumps({"vms": [_engine(number) for number in range(count)]}).encode()
    take_list = _list_reader(vm_list, body)
    take_list()
    views.views()
    states = [_state(number, 1) for number in range(count)]
    frames = [
        encode(Frame(0, 0, HybridTime(1, 0), state), 1 << 20).unwrap()
        for state in states
    ]
    for frame in frames:
        views.apply_state(decode(frame, 1 << 20).unwrap().message)
    views.views()
    resident = usage().resident
    decode_s = timed(lambda: decode(frames[0], 1 << 20))
    encode_s = timed(lambda: encode(Frame(0, 0, HybridTime(1, 0), states[0]), 1 << 20))
    rebuild_s = timed(_rebuilder(views, states[0]))
    refresh_s = timed(_refresher(views))
    return {
        "targets": count,
        "residents_each": RESIDENTS,
        "state_bytes": len(frames[0]),
        "decode_us": round(decode_s * 1e6, 1),
        "encode_us": round(encode_s * 1e6, 1),
        "rebuild_us": round(rebuild_s * 1e6, 1),
        "refresh_us": round(refresh_s * 1e6, 1),
        "vm_list_bytes": len(body),
        "vm_list_read_us": round(timed(take_list) * 1e6, 1),
        "resident_over_none_mib": round((resident - base) / 2**20, 2),
        **_routing(views, settings, count),
    }


def _engine(number: int) -> dict[str, Any]:
    return {
        "name": f"engine-{number:03d}",
        "role": "engine",
        "address": f"10.0.{number // 250}.{number % 250}:8000",
        "data_centre": f"dc{number % 8}",
        "state": "live",
        "attributes": {
            "base_models": [f"base-{number % 6}"],
            "slots": RESIDENTS,
            "max_running": 16,
            "fencing": True,
            "weight_store": f"weights-{number % 3}",
        },
    }


def _state(number: int, serial: int):
    from hawthornlead.messages import Resident, TargetState

    rng = Random(number)
    residents = tuple(
        Resident(f"adapter-{rng.randrange(18000):05d}", "v1", rng.randrange(4))
        for _ in range(RESIDENTS)
    )
    return TargetState(
        f"engine-{number:03d}", 7, serial, RESIDENTS, 12, 1, False, residents, "0" * 16
    )


def _list_reader(vm_list, body: bytes):
    from hawthornlead.ownership.platforms import _entry

    def read():
        entries = tuple(_entry(vm) for vm in json.loads(body)["vms"])
        vm_list.apply(entries, time.monotonic())

    return read


def _rebuilder(views, state):
    """Return what a VM does when a request follows the news of one target."""
    serial = [state.serial]

    def rebuild():
        serial[0] += 1
        views.apply_state(state._replace(serial=serial[0]))
        views.views()

    return rebuild


def _refresher(views):
    """Return what a VM does when its views are asked for after a while."""

    def refresh():
        views._on_vm_list()
        views.views()

    return refresh


def _routing(views, settings, count: int) -> dict[str, float]:
    from hawthornlead.bundles.bundles import Assignment
    from hawthornlead.decisions.placements import PLACEMENTS
    from hawthornlead.decisions.popularities import POPULARITIES
    from hawthornlead.decisions.routers import ROUTERS

    popularity = POPULARITIES[settings["POPULARITY"]](settings=settings)
    placement = PLACEMENTS[settings["PLACEMENT"]](settings=settings)
    router = ROUTERS[settings["ROUTER"]](settings=settings, placement=placement)
    rng = Random(1)

    def choose():
        adapter = f"adapter-{rng.randrange(18000):05d}"
        assignment = Assignment(adapter, "v1", f"base-{rng.randrange(6)}", 5)
        popularity.observe(adapter, time.monotonic())
        router.choose(assignment, views.views(), popularity, time.monotonic())

    return {"router_us": round(timed(choose, 1.0) * 1e6, 1)}


# Adapters


def adapters_row(count: int) -> dict[str, Any]:
    """Measure a bundle of ``count`` adapters in memory, and counters for all."""
    from hawthornlead.bundles.bundles import Bundle, prepare
    from hawthornlead.decisions.popularities import POPULARITIES
    from hawthornlead.settings import default_settings

    from .measure_fleets import bundle

    document = json.loads(json.dumps(bundle(count, 0)))
    base = usage().resident
    kept = Bundle.read(document).unwrap()
    bundle_resident = usage().resident - base
    chunks = [len(chunk.content) for chunk in prepare(document).unwrap().chunks]
    read_s = timed(lambda: Bundle.read(document).unwrap(), 1.0)
    counters = POPULARITIES["decayed"](settings=default_settings())
    tracemalloc.start()
    for number in range(count):
        counters.observe(f"adapter-{number:05d}", 1.0)
    counters_kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    rng = Random(1)

    def observe():
        counters.observe(f"adapter-{rng.randrange(count):05d}", time.monotonic())

    return {
        "adapters": count,
        "document_bytes": len(json.dumps(document)),
        "chunks": len(chunks),
        "packed_bytes": sum(chunks),
        "bundle_mib": round(bundle_resident / 2**20, 2),
        "read_s": round(read_s, 4),
        "counters_mib": round(counters_kept / 2**20, 2),
        "observe_us": round(timed(observe) * 1e6, 2),
        "names": sum(1 for _ in kept.adapters()),
    }


def measure(name: str, function: str, values: tuple) -> None:
    """Write one measurement, a row a value, each in a fresh interpreter."""
    module = BASES if function == "base_row" else HERE
    rows = [in_process(f"{module}:{function}", value) for value in values]
    write_result(name, rows, settings="defaults")
