"""Calls that may run at most once, through whole daemons; the service judges.

Each test sends one call again with its idempotency key, to another VM, at the worst
moment. The service's own record counts how often it ran.
"""

import asyncio

import pytest

from .whole_fleets import until, whole_fleet

SERVICE = "bulletins-1"


@pytest.fixture
async def fleet():
    async with whole_fleet(
        engines={"engine-1": {}},
        vms={"entry-1": "santander", "entry-2": "santander"},
        services=(SERVICE,),
        STREAM_SILENT_S=2.0,
    ) as running:
        yield running


async def file(fleet, vm, key="lap-81"):
    """File a bulletin, which may not be repeated."""
    return await fleet.call(vm, "POST", "/file", b"bulletin", Idempotency_Key=key)


def ran(fleet, key="lap-81") -> int:
    """Return how often the service ran a key."""
    return fleet.standin(SERVICE).ran(key)


async def final(fleet, vm):
    """Send the call until the claim says more than that its first try runs."""
    for _ in range(200):
        reply = await file(fleet, vm)
        if reply.status == 200 or reply.json["error"] != "duplicate-running":
            return reply
        await asyncio.sleep(0.05)
    raise AssertionError("the first try was said to run for ever")


async def test_sent_again_while_the_first_runs(fleet):
    """A caller gives up waiting and asks another VM; the first try still runs."""
    fleet.standin(SERVICE).set_faults(delay_s=0.5)
    first = asyncio.ensure_future(file(fleet, "entry-1"))
    await until(lambda: ran(fleet) == 1)
    second = await file(fleet, "entry-2")
    assert second.error == (409, "duplicate-running", "may have run")
    assert second.json["retry_after_s"] > 0
    first = await first
    assert first.status == 200
    replayed = await final(fleet, "entry-2")
    assert (replayed.status, replayed.body) == (200, first.body)
    assert replayed.headers["Hawthornlead-Replayed"] == "true"
    assert ran(fleet) == 1


async def test_two_at_once_run_once(fleet):
    replies = await asyncio.gather(
        *(file(fleet, vm) for vm in ("entry-1", "entry-2") * 4)
    )
    assert ran(fleet) == 1
    assert sum(reply.status == 200 for reply in replies) >= 1
    for reply in replies:
        assert reply.status == 200 or reply.json["error"] == "duplicate-running"


async def test_the_vm_dies_before_the_send(fleet):
    """The first VM holds the claim and dies before a byte went to the service.

    Nobody can know that it did not send. The second try must not run it, and must
    not say "not run" either.
    """

    async def never(address, naming, fresh=False):
        holding.set()
        await asyncio.Event().wait()

    holding = asyncio.Event()
    fleet.daemons["entry-1"]._services._connections.open = never
    first = asyncio.ensure_future(file(fleet, "entry-1"))
    await holding.wait()
    await fleet.kill_vm("entry-1")
    assert (await first).status == 599
    assert (await final(fleet, "entry-2")).error == (
        409,
        "duplicate-unknown",
        "may have run",
    )
    assert ran(fleet) == 0


async def test_the_vm_dies_after_the_send(fleet):
    """The service runs the call while the VM that sent it dies."""
    fleet.standin(SERVICE).set_faults(delay_s=0.3)
    first = asyncio.ensure_future(file(fleet, "entry-1"))
    await until(lambda: ran(fleet) == 1)
    await fleet.kill_vm("entry-1")
    assert (await first).status == 599
    assert (await final(fleet, "entry-2")).error == (
        409,
        "duplicate-unknown",
        "may have run",
    )
    assert ran(fleet) == 1


async def test_the_vm_dies_after_the_answer(fleet):
    """The answer was recorded before it went out; it is given again by all VMs."""
    first = await file(fleet, "entry-1")
    assert first.status == 200
    await fleet.kill_vm("entry-1")
    again = await final(fleet, "entry-2")
    assert (again.status, again.body) == (200, first.body)
    assert ran(fleet) == 1


async def test_the_store_is_down(fleet):
    """Without the store nobody can know whether another VM runs the call.

    It is refused before anything is sent, with when to come back; requests that may
    be repeated are served on. With the store back the same key runs, once.
    """
    fleet.standin("store").set_faults(outage=True)
    refused = await file(fleet, "entry-1")
    assert refused.error == (503, "store-unavailable", "not run")
    assert refused.json["retry_after_s"] > 0 and int(refused.headers["Retry-After"])
    assert ran(fleet) == 0
    assert (await fleet.call("entry-1", "GET", "/search")).status == 200
    fleet.standin("store").set_faults(outage=False)
    assert (await final(fleet, "entry-2")).status == 200
    assert ran(fleet) == 1


async def test_the_claims_reply_is_lost(fleet):
    """The store writes the claim and its reply is lost: the call still runs, once."""
    fleet.standin("store").set_faults(lose_replies=1)
    for vm in ("entry-1", "entry-2"):
        assert (await final(fleet, vm)).status == 200
    assert ran(fleet) == 1


async def test_the_store_goes_down_while_the_call_runs(fleet):
    """The call ran and its outcome can't be recorded for now.

    The caller gets its answer. A second try is not run, whatever it is told, and
    gets the recorded answer once the store is back.
    """
    fleet.standin(SERVICE).set_faults(delay_s=0.3)
    first = asyncio.ensure_future(file(fleet, "entry-1"))
    await until(lambda: ran(fleet) == 1)
    fleet.standin("store").set_faults(outage=True)
    first = await first
    assert first.status == 200
    assert (await file(fleet, "entry-2")).status in (409, 503)
    fleet.standin("store").set_faults(outage=False)
    again = None
    for _ in range(100):
        again = await file(fleet, "entry-2")
        if again.status == 200:
            break
        await asyncio.sleep(0.05)
    assert (again.status, again.body) == (200, first.body)
    assert ran(fleet) == 1


async def test_a_completion_that_runs_once(fleet):
    """The same holds for a request to an engine, whole or streamed."""
    headers = {"Idempotency-Key": "c1"}
    first = await fleet.complete("entry-1", headers=headers)
    again = await fleet.complete("entry-2", headers=headers)
    assert (again.status, again.body) == (200, first.body)
    other = await fleet.complete("entry-2", prompt="other", headers=headers)
    assert other.error == (422, "key-reused", "not run")
    headers = {"Idempotency-Key": "c2"}
    streamed = await fleet.complete("entry-1", stream=True, headers=headers)
    assert streamed.events[-1]["done"]
    again = await fleet.complete("entry-2", stream=True, headers=headers)
    assert again.error == (409, "duplicate-done", "ran")
    assert len(fleet.runs("engine-1")) == 2
