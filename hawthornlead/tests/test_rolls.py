"""Tests of rolls over several VMs and of when a VM may serve."""

import asyncio

import pytest

from hawthornlead.errors import ErrorKind
from hawthornlead.messages import (
    BundleDecided,
    BundlePointer,
    FetchBundlePointer,
)
from hawthornlead.signatures import Statement, sign

from .fakes_bundles import (
    ANNA,
    BERTA,
    FakeStore,
    fleet_pointer,
    hold_accepting_write,
    rolled_fleet,
)


@pytest.fixture
async def fleet():
    async with rolled_fleet() as fleet:
        yield fleet


async def test_roll_is_in_force_on_all_vms_when_it_answers(fleet):
    assert fleet.refusal("b") is ErrorKind.NO_BUNDLE
    outcome = (await fleet.roll("a", fleet.v1, 0)).unwrap()
    assert outcome.acknowledged == ("a", "b", "c")
    await fleet.settle()
    assert [fleet.served(vm) for vm in "abc"] == [1, 1, 1]
    outcome = (await fleet.roll("c", fleet.v2, 1)).unwrap()
    await fleet.settle()
    assert [fleet.served(vm) for vm in "abc"] == [2, 2, 2]
    # Roll back to the earlier bundle under a new number.
    assert (await fleet.roll("b", fleet.v1, 2)).unwrap().seq == 3
    await fleet.settle()
    bundle = fleet.vms["c"].keeper.in_force.bundle
    caller = bundle.caller_of("secret")
    assert bundle.assign(caller, "brief").unwrap().version == "v1"


async def test_concurrent_rolls_from_two_vms_conflict(fleet):
    """Guard against a roll that silently replaces a concurrent one.

    Two operators roll at the same time and both orders expect seq 1. Without the
    conditional update of the pointer the slower roll would replace the bundle that
    the faster operator was told is in force. The loser's answer names the winning
    bundle and the differences.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    v3 = await fleet.release("v3")
    both = await asyncio.gather(
        fleet.vms["a"].keeper.roll(fleet.order(fleet.v2, 1)),
        fleet.vms["c"].keeper.roll(fleet.order(v3, 1)),
    )
    lost = [answer.unwrap_err() for answer in both if answer.is_err()]
    assert [failure.kind for failure in lost] == [ErrorKind.ROLL_CONFLICT]
    won = next(answer.unwrap() for answer in both if answer.is_ok())
    assert won.digest[:12] in lost[0].detail
    assert "caller office: brief: tides v" in lost[0].detail
    await fleet.settle()
    assert {fleet.served(vm) for vm in "abc"} == {won.seq}
    late = (await fleet.roll("b", fleet.v1, 1)).unwrap_err()
    assert late.kind is ErrorKind.ROLL_CONFLICT


async def test_silent_vm_fails_the_roll_unless_it_is_waived(fleet):
    """Guard against a roll accepted while a data centre is cut off.

    The roll can't know what those VMs serve, so it answers "not accepted" and names
    them, and the old bundle stays in force on all. Only a signed waiver accepts
    without them. The VM that is cut off refuses until it has caught up.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    fleet.network.cuts = {frozenset("ac"), frozenset("bc")}
    fleet.vms["c"].store.out = True
    failure = (await fleet.roll("a", fleet.v2, 1)).unwrap_err()
    assert failure.kind is ErrorKind.ROLL_NOT_ACCEPTED
    assert "c (bilbao)" in failure.detail
    assert (fleet.served("a"), fleet.served("b")) == (1, 1)
    # The VM refuses by itself, as it reaches neither the store nor another VM.
    assert fleet.refusal("c") is ErrorKind.ISOLATED
    waived = (await fleet.roll("a", fleet.v2, 1, ("bilbao",))).unwrap()
    assert waived.waived == ("c",)
    await fleet.settle()
    assert (fleet.served("a"), fleet.served("b")) == (3, 3)
    fleet.network.cuts = set()
    await fleet.run(1)
    assert fleet.served("c") == 3


async def test_vm_proved_gone_is_not_waited_for(fleet):
    await fleet.kill("c", proved=True)
    outcome = (await fleet.roll("a", fleet.v1, 0)).unwrap()
    assert (outcome.acknowledged, outcome.gone) == (("a", "b"), ("c",))


async def test_vm_with_an_expired_lease_must_still_acknowledge(fleet):
    """Guard against a roll that ignores a VM whose lease was ended for silence.

    A data centre is cut off until its leases are ended. This proves nothing about
    what its VMs serve: a roll accepted without them would leave callers behind the
    partition with the old bundle, and nobody would notice.
    """
    entry = fleet.objects.values[("leases", "bilbao")].value["entries"]["c.1"]
    entry.update(state="ended", proof="silent")
    fleet.network.cuts = {frozenset("ac"), frozenset("bc")}
    failure = (await fleet.roll("a", fleet.v1, 0)).unwrap_err()
    assert "c (bilbao)" in failure.detail
    entry.update(proof="refused")
    assert (await fleet.roll("a", fleet.v1, 0)).is_ok()


async def test_stage_of_a_dead_vm_is_replaced(fleet):
    """Guard against an outage when the VM that staged a bundle dies undecided.

    The other VMs acknowledged and are in doubt. The store shows that nothing was
    accepted, so they keep serving. Another roll replaces the stage at once, and a
    late accepting write of the dead VM would meet a changed pointer.
    """
    (await fleet.roll("b", fleet.v1, 0)).unwrap()
    fleet.network.cuts = {frozenset("ac")}
    order = fleet.order(fleet.v2, 1)
    task = asyncio.create_task(fleet.vms["a"].keeper.roll(order))
    await fleet.run(0.3)
    task.cancel()
    await fleet.kill("a", proved=True)
    await fleet.run(10)
    assert (fleet.served("b"), fleet.served("c")) == (1, 1)
    assert (await fleet.roll("b", fleet.v2, 1)).unwrap().seq == 3


async def test_stale_stage_is_abandoned(fleet):
    (await fleet.roll("b", fleet.v1, 0)).unwrap()
    fleet.network.cuts = {frozenset("ac")}
    task = asyncio.create_task(fleet.vms["a"].keeper.roll(fleet.order(fleet.v2, 1)))
    await fleet.run(0.3)
    task.cancel()
    await fleet.kill("a")
    await fleet.run(25)
    assert fleet_pointer(fleet).staged is None
    assert fleet.vms["c"].keeper.staged_seq == 0


async def test_vm_started_during_a_store_outage_does_not_serve(fleet):
    """Guard against a VM that serves without being registered.

    It starts during a store outage and reaches only its peers. No roll would wait
    for its acknowledgement, so it must not serve, whatever its peers report. Once
    registered, it serves after one read.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    for vm in fleet.vms.values():
        vm.store.out = True
    new = await fleet.add("d")
    new.store.out, new.leases.state = True, "new"
    new.keeper._freshness.record_join("")
    await fleet.run(10)
    assert fleet.refusal("d") is ErrorKind.NOT_READY
    new.store.out, new.leases.state = False, "held"
    await fleet.run(1)
    assert fleet.served("d") == 1


async def test_late_messages_never_restore_an_older_bundle(fleet):
    """Guard against late messages about an older stage.

    A delayed message, a peer that is behind or a late read arrives after a newer
    bundle came into force. A sequence number known to be accepted must stay so.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    (await fleet.roll("a", fleet.v2, 1)).unwrap()
    await fleet.settle()
    keeper, mesh = fleet.vms["b"].keeper, fleet.vms["a"].mesh
    for late_message in (
        BundleDecided(1, fleet.v1, True),
        BundleDecided(1, fleet.v1, False),
        BundleDecided(2, fleet.v2, False),
    ):
        await mesh.call("b", late_message)
        assert fleet.served("b") == 2

    async def behind(sender, message):
        return BundlePointer(1, fleet.v1, 2, fleet.v2, 1, "a", "a.1", 0.0)

    mesh.handlers[FetchBundlePointer] = behind
    await fleet.run(2)
    assert (fleet.served("b"), keeper.staged_seq) == (2, 0)


async def test_invalid_orders_are_refused(fleet):
    def roll(statement, key=ANNA):
        return fleet.finish(fleet.vms["a"].keeper.roll(sign(key, statement)))

    order = Statement("roll", "anna", fleet.v1, "o", 0)
    cases = [
        (order, BERTA, ErrorKind.BAD_SIGNATURE),
        (order._replace(purpose="retire"), ANNA, ErrorKind.BAD_SIGNATURE),
        (order._replace(order_id=""), ANNA, ErrorKind.BAD_REQUEST),
        (order._replace(waived=("c",)), ANNA, ErrorKind.BAD_REQUEST),
        (order._replace(purpose="waive"), ANNA, ErrorKind.BAD_REQUEST),
        (order._replace(digest="f" * 64), ANNA, ErrorKind.NOT_FOUND),
        (order._replace(expected_seq=4), ANNA, ErrorKind.ROLL_CONFLICT),
    ]
    for statement, key, kind in cases:
        assert (await roll(statement, key)).unwrap_err().kind is kind


async def test_retired_and_unapproved_bundles_are_not_rolled(fleet):
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    keeper = fleet.vms["a"].keeper
    for digest, allowed in ((fleet.v1, False), (fleet.v2, True)):
        order = sign(ANNA, Statement("retire", "anna", digest, "r"))
        assert (await keeper.retire(order)).is_ok() is allowed
    refused = (await fleet.roll("b", fleet.v2, 1)).unwrap_err()
    assert refused.kind is ErrorKind.FORBIDDEN
    release = fleet.objects.values[("bundle-release", fleet.v1)].value
    del release["approved"]
    refused = (await fleet.roll("b", fleet.v1, 1)).unwrap_err()
    assert refused.kind is ErrorKind.BAD_SIGNATURE


async def test_repeated_order_is_executed_once(fleet):
    order = fleet.order(fleet.v1, 0)
    keeper = fleet.vms["a"].keeper
    first = (await fleet.finish(keeper.roll(order))).unwrap()
    (await fleet.roll("a", fleet.v2, 1)).unwrap()
    again = await fleet.finish(fleet.vms["c"].keeper.roll(order))
    assert again.unwrap().seq == first.seq
    await fleet.settle()
    assert fleet.served("c") == 2


async def test_new_lease_of_a_live_process_is_no_proof(fleet):
    """Guard against proof that is tied to a registration, not to a process.

    A VM's lease lapses behind a partition and it registers again as ``c.1+2`` while
    its process still serves. With proof per registration, the second one of a dead
    VM would block rolls forever, and the end of the first one would count as proof
    for a live process.
    """
    entries = fleet.objects.values[("leases", "bilbao")].value["entries"]
    entries["c.1+2"] = dict(entries["c.1"])
    entries["c.1"].update(state="ended", proof="silent")
    fleet.network.cuts = {frozenset("ac"), frozenset("bc")}
    failure = (await fleet.roll("a", fleet.v1, 0)).unwrap_err()
    assert "c (bilbao)" in failure.detail
    fleet.gone.add(("c", "c.1"))
    assert (await fleet.roll("a", fleet.v1, 0)).unwrap().gone == ("c",)


async def test_change_of_the_bundle_is_announced_at_once(fleet):
    mesh = fleet.vms["b"].mesh
    assert mesh.heartbeats == 0
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    await fleet.settle()
    assert mesh.heartbeats == 2
    fleet.network.cuts = {frozenset("ac"), frozenset("bc")}
    (await fleet.roll("a", fleet.v2, 1)).unwrap_err()
    await fleet.settle()
    assert mesh.heartbeats == 4


async def test_restarted_vm_does_not_confirm_the_stage_of_its_predecessor(fleet):
    """Guard against a restarted VM that takes its predecessor's stage for its own.

    A VM dies with its accepting write in flight. The new process reads the stage,
    which carries its VM name, and the store fails. If it confirmed "not accepted"
    during the outage, all VMs would serve the old bundle after the write.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    held = hold_accepting_write(fleet, "a")
    (await fleet.roll("a", fleet.v2, 1)).unwrap_err()
    await fleet.kill("a", proved=True)
    await fleet.add("a", incarnation="2")
    assert fleet.vms["a"].keeper.staged_seq == 2
    for vm in fleet.vms.values():
        vm.store.out = True
    (await FakeStore(fleet.objects, fleet.timers).put(*held[0])).unwrap()
    assert fleet_pointer(fleet).seq == 2
    await fleet.run(3.2)
    assert {fleet.refusal(vm) for vm in "abc"} == {ErrorKind.BUNDLE_UNDECIDED}
