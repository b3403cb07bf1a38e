"""VMs and targets that leave, under load, through whole daemons."""

import asyncio

import pytest

from .standins.engine_runs import whole_text
from .whole_fleets import until, whole_fleet

VMS = {"entry-1": "santander", "entry-2": "santander"}
ENGINES = {"engine-1": {"slots": 2}, "engine-2": {"slots": 2}}
LONG = whole_text("tide?", "tides-1", "v1", 60)


@pytest.fixture
async def fleet():
    async with whole_fleet(engines=ENGINES, vms=VMS) as running:
        for engine in ENGINES:
            running.standin(engine).set_faults(token_s=0.02)
        yield running


async def entry_addresses(fleet, vm: str) -> list[str]:
    """Return the addresses that a VM tells callers to use."""
    address = fleet.daemons[vm].caller_address
    return (await fleet.fetch("GET", address, "/entry")).json["addresses"]


def tokens(fleet) -> int:
    """Return how many tokens all engines have made."""
    return sum(run["tokens"] for engine in ENGINES for run in fleet.runs(engine))


def stream(fleet, vm: str) -> asyncio.Task:
    """Begin a long streamed answer."""
    return asyncio.ensure_future(fleet.complete(vm, max_tokens=60, stream=True))


async def test_a_graceful_shutdown_under_streams(fleet):
    """A VM is replaced while callers read long answers through it.

    It leaves the entry answers first, of all VMs. Callers that hold an answer of
    before go on to connect and are served until it has run out; only then are they
    refused, with the other address. No stream is cut; then the process ends, and
    the other VM, which owns the targets from then on, serves all.
    """
    leaving = fleet.daemons["entry-1"]
    own, other = leaving.caller_address, fleet.daemons["entry-2"].caller_address
    assert set(await entry_addresses(fleet, "entry-2")) == {own, other}
    streams = [stream(fleet, "entry-1") for _ in range(3)]
    await until(lambda: tokens(fleet) >= 9)
    draining = asyncio.ensure_future(leaving.drain())
    await until(lambda: leaving._members.draining)
    assert await entry_addresses(fleet, "entry-1") == [other]
    # Kept answers have not run out: a caller that comes by one is still served.
    assert (await fleet.complete("entry-1", max_tokens=1)).status == 200
    for _ in range(100):
        addresses = await entry_addresses(fleet, "entry-2")
        if own not in addresses:
            break
        await asyncio.sleep(0.01)
    assert addresses == [other]
    await until(lambda: leaving._drain.refusal() is not None)
    refused = await fleet.complete("entry-1")
    assert refused.error == (503, "draining", "not run")
    assert refused.json["addresses"] == [other]
    assert int(refused.headers["Retry-After"]) >= 1
    call = await fleet.call("entry-1", "GET", "/search")
    assert call.error == (503, "draining", "not run")
    await draining
    await fleet.stop_vm("entry-1")
    for answer in await asyncio.gather(*streams):
        assert (answer.status, answer.text) == (200, LONG)
    for engine in ENGINES:
        fleet.standin(engine).set_faults(token_s=0.001)
    for number in range(1, 7):
        reply = await fleet.complete("entry-2", f"brief-{number}")
        assert reply.status == 200, reply.body
    assert all(fleet.standin(engine).violations == [] for engine in ENGINES)


async def test_a_vm_list_that_lags_names_a_vm_that_is_gone(fleet):
    """A VM has shut down, and the platform's list names it for a long time yet.

    Entry answers made from the list alone would send callers to a closed port. The
    other VM knows better: it was told goodbye.
    """
    own = fleet.daemons["entry-1"].caller_address
    other = fleet.daemons["entry-2"].caller_address
    await fleet.stop_vm("entry-1")
    await until(lambda: fleet.daemons["entry-2"]._members.live_vms() == ("entry-2",))
    listed = {entry.address for entry in fleet.daemons["entry-2"]._vm_list.entries}
    assert own in listed
    assert await entry_addresses(fleet, "entry-2") == [other]
    assert (await fleet.complete("entry-2")).status == 200


async def test_a_killed_vm_leaves_the_entry_answers(fleet):
    """A VM dies without a word; the list still names it."""
    other = fleet.daemons["entry-2"].caller_address
    await fleet.kill_vm("entry-1")
    await until(lambda: fleet.daemons["entry-2"]._members.live_vms() == ("entry-2",))
    assert await entry_addresses(fleet, "entry-2") == [other]
    assert (await fleet.complete("entry-2", timeout_s=15)).status == 200


async def test_a_leaving_target_gets_no_new_work(fleet):
    """A target is marked as leaving while an answer runs on it.

    What it runs is not cut. New requests for what it has resident go elsewhere,
    though they must be loaded there, so that it can end.
    """
    running = stream(fleet, "entry-1")
    await until(lambda: tokens(fleet) >= 3)
    leaving = next(e for e in ENGINES if fleet.runs(e))
    staying = next(e for e in ENGINES if e != leaving)
    fleet.set_listed(leaving, state="leaving")
    for daemon in fleet.daemons.values():
        views = daemon._views
        await until(lambda views=views: views.view(leaving).leaving)
    before = len(fleet.runs(leaving))
    loads = len(fleet.standin(leaving).record()["orders"])
    for vm in VMS:
        for alias in ("brief-1", "brief-2"):
            assert (await fleet.complete(vm, alias)).status == 200
    assert len(fleet.runs(leaving)) == before
    assert len(fleet.runs(staying)) == 4
    ordered = fleet.standin(leaving).record()["orders"][loads:]
    assert [order for order in ordered if order["op"] == "load"] == []
    answer = await running
    assert (answer.status, answer.text) == (200, LONG)
