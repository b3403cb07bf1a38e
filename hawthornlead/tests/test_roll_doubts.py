"""Tests of VMs that refuse because they can't know whether a stage was accepted."""

import asyncio

import pytest

from hawthornlead.bundles.bundle_knowledge import report_from_pointer
from hawthornlead.errors import ErrorKind
from hawthornlead.messages import (
    BundleDecided,
    StageBundle,
)

from .fakes_bundles import fleet_pointer, hold_accepting_write, rolled_fleet


@pytest.fixture
async def fleet():
    async with rolled_fleet() as fleet:
        yield fleet


@pytest.mark.parametrize("cut_from_peers", [False, True])
async def test_vm_that_missed_the_decision_refuses_within_doubt_s(
    fleet, cut_from_peers
):
    """Guard against a VM that serves the old bundle forever.

    It acknowledges a stage and is cut off before it learns of the acceptance. In
    doubt it serves only while the store or a VM confirms that the stage is not
    accepted. Cut off from the store alone it learns of the acceptance from other VMs.
    Cut off from both it refuses.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    await fleet.settle()
    fleet.network.drops = [BundleDecided]
    (await fleet.roll("a", fleet.v2, 1)).unwrap()
    fleet.vms["c"].store.out = True
    if cut_from_peers:
        fleet.network.cuts = {frozenset("ac"), frozenset("bc")}
    assert fleet.served("c") == 1
    await fleet.run(3.2)
    if cut_from_peers:
        assert fleet.refusal("c") is ErrorKind.BUNDLE_UNDECIDED
    else:
        assert fleet.served("c") == 2


async def test_outage_during_the_accepting_write_leaves_all_in_doubt(fleet):
    """Guard against serving while the accepting write may have taken effect.

    The store fails for a minute as the write is sent, so neither bundle is certain
    to be in force. All VMs refuse after DOUBT_S and serve again once they have read
    the store.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()

    async def go_out(kind):
        if fleet_pointer(fleet).staged is not None:
            for vm in fleet.vms.values():
                vm.store.out = True

    fleet.vms["a"].store.before_write = go_out
    failure = (await fleet.roll("a", fleet.v2, 1)).unwrap_err()
    assert failure.kind is ErrorKind.ROLL_UNKNOWN
    fleet.vms["a"].store.before_write = None
    await fleet.run(60)
    assert {fleet.refusal(vm) for vm in "abc"} == {ErrorKind.BUNDLE_UNDECIDED}
    for vm in fleet.vms.values():
        vm.store.out = False
    await fleet.run(2)
    assert {fleet.served(vm) for vm in "abc"} == {1}


async def test_outage_before_the_accepting_write_does_not_stop_service(fleet):
    """Guard against refusals when a store outage starts before the accepting write.

    Nothing can be accepted in that minute, and the VM that staged the bundle confirms
    it. So all VMs keep serving the old bundle and the operator gets "not accepted".
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    fleet.network.cuts = {frozenset("ac")}
    order = fleet.order(fleet.v2, 1)
    task = asyncio.create_task(fleet.vms["a"].keeper.roll(order))
    await fleet.run(1)
    for vm in fleet.vms.values():
        vm.store.out = True
    await fleet.run(60)
    assert task.result().unwrap_err().kind is ErrorKind.ROLL_NOT_ACCEPTED
    assert {fleet.served(vm) for vm in "abc"} == {1}


async def test_lost_reply_to_the_accepting_write_leaves_all_in_doubt(fleet):
    """Guard against a VM that confirms "not accepted" after its write took effect.

    The reply to the accepting write is lost as the store fails. If the VM that rolls
    confirmed that the bundle is not accepted, the others would serve the old one
    throughout the outage. Once the store is back, the repeated order returns the
    actual result.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()

    async def lose(kind):
        pointer = fleet_pointer(fleet)
        if pointer.staged is not None:
            fleet.vms["a"].store.lose_next = 1
            for name in "bc":
                fleet.vms[name].store.out = True

    fleet.vms["a"].store.before_write = lose
    order = fleet.order(fleet.v2, 1)
    first = await fleet.finish(fleet.vms["a"].keeper.roll(order))
    assert first.unwrap_err().kind is ErrorKind.ROLL_UNKNOWN
    assert fleet_pointer(fleet).seq == 2
    await fleet.run(3.2)
    assert {fleet.refusal(vm) for vm in "abc"} == {ErrorKind.BUNDLE_UNDECIDED}
    fleet.vms["a"].store.before_write = None
    for vm in fleet.vms.values():
        vm.store.out = False
    again = await fleet.finish(fleet.vms["a"].keeper.roll(order))
    assert again.unwrap().seq == 2
    await fleet.run(1)
    assert {fleet.served(vm) for vm in "abc"} == {2}


async def test_resumed_process_refuses_before_it_receives_a_message(fleet):
    """Guard against a frozen VM that serves old state when it resumes.

    After a minute it has requests in its sockets, its state is a minute old and its
    timers have not run yet. The check reads the clock at the call and counts from
    when a request was sent, so old answers in its sockets are no proof of freshness.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    await fleet.settle()
    assert fleet.served("c") == 1
    fleet.timers._now += 60
    assert fleet.refusal("c") is ErrorKind.ISOLATED
    await fleet.run(1)
    assert fleet.served("c") == 1


async def test_vm_refuses_until_a_known_newer_bundle_is_loaded(fleet):
    """Guard against requests that run on a version no longer assigned.

    A VM learns from a peer that a newer bundle is in force and can't fetch it. It
    refuses as behind until the content is fetched and verified.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    await fleet.settle()
    fleet.vms["b"].store.out = True
    await fleet.vms["a"].mesh.call("b", BundleDecided(7, "f" * 64, True))
    assert fleet.refusal("b") is ErrorKind.BUNDLE_BEHIND
    await fleet.run(3)
    assert fleet.refusal("b") is ErrorKind.BUNDLE_BEHIND


async def test_vm_that_starts_during_a_roll_is_in_doubt_of_it(fleet):
    """Guard against a VM that registers after the roll has listed the VMs.

    No roll waits for its acknowledgement. It reads the stage, misses the decision and
    is cut off. If it were in doubt only of stages it acknowledged, its callers would
    get the old bundle for as long as it reaches a single VM that is also behind.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()

    async def start_late(kind):
        if kind == "bundle" and fleet_pointer(fleet).staged is not None:
            fleet.vms["a"].store.before_write = None
            new = await fleet.add("d")
            new.store.out = True
            fleet.network.cuts = {frozenset(("d", name)) for name in "abc"}
            fleet.network.drops = [BundleDecided]

    fleet.vms["a"].store.before_write = start_late
    outcome = await fleet.finish(
        fleet.vms["a"].keeper.roll(fleet.order(fleet.v2, 1)), 2.0
    )
    assert outcome.unwrap().acknowledged == ("a", "b", "c")
    assert fleet.served("d") == 1
    await fleet.run(3.2)
    assert fleet.refusal("d") is ErrorKind.BUNDLE_UNDECIDED


async def test_doubt_of_a_stage_does_not_hide_an_earlier_acceptance(fleet):
    """Guard against a VM that missed bundle 2 and is asked to acknowledge stage 3.

    Proof that 3 is not accepted yet would make it serve 1 again in place of 2. A
    stage carries what was in force when it was written, so the VM that acknowledges
    it applies 2 first.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    v3 = await fleet.release("v3")
    fleet.network.drops = [BundleDecided]
    (await fleet.roll("a", fleet.v2, 1)).unwrap()
    (await fleet.vms["c"].keeper.library.load(v3)).unwrap()
    fleet.vms["c"].store.out = True
    assert fleet.served("c") == 1
    stage = StageBundle(3, v3, 2, fleet.v2, "a", "a.1")
    assert (await fleet.vms["a"].mesh.call("c", stage)).is_ok()
    assert fleet.served("c") == 2


async def test_read_from_before_the_stage_decides_nothing(fleet):
    """Guard against a read that is answered after a later stage was acknowledged.

    The read shows no stage, as if the stage had been abandoned. The VM would stop
    doubting, miss the acceptance and keep serving the old bundle.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    await fleet.settle()
    store = fleet.vms["c"].store
    old = fleet_pointer(fleet)
    fleet.network.drops = [BundleDecided]
    (await fleet.roll("a", fleet.v2, 1)).unwrap()
    store.out = True
    fleet.network.cuts = {frozenset("ac"), frozenset("bc")}
    keeper = fleet.vms["c"].keeper
    keeper.apply_report(report_from_pointer(old, fleet.timers.now() - 1))
    assert keeper.staged_seq == 2
    await fleet.run(3.2)
    assert fleet.refusal("c") is ErrorKind.BUNDLE_UNDECIDED


@pytest.mark.parametrize("silent_vm", ["", "c"])
async def test_late_accepting_write_does_not_contradict_the_answer(fleet, silent_vm):
    """Guard against a bundle that comes into force after its roll was said to fail.

    The accepting write is delayed and the order is repeated. If the answer is "not
    accepted" and the write then takes effect, the operator acted on a wrong result.
    Nothing may be concluded before another write has made the late one impossible.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    held = hold_accepting_write(fleet, "a")
    order = fleet.order(fleet.v2, 1)
    first = await fleet.finish(fleet.vms["a"].keeper.roll(order))
    assert first.unwrap_err().kind is ErrorKind.ROLL_UNKNOWN
    elsewhere = await fleet.finish(fleet.vms["b"].keeper.roll(order))
    assert elsewhere.unwrap_err().kind is ErrorKind.ROLL_UNKNOWN
    if silent_vm:
        fleet.network.cuts = {frozenset("ac"), frozenset("bc")}
    again = await fleet.finish(fleet.vms["a"].keeper.roll(order))
    landed = await fleet.vms["a"].store.put(*held[0])
    assert landed.unwrap_err().kind is ErrorKind.VERSION_CONFLICT
    if silent_vm:
        assert again.unwrap_err().kind is ErrorKind.ROLL_NOT_ACCEPTED
        assert fleet_pointer(fleet).seq == 1
        return
    assert again.unwrap().seq == fleet_pointer(fleet).seq == 3
    third = await fleet.finish(fleet.vms["c"].keeper.roll(order))
    assert third.unwrap().seq == 3
