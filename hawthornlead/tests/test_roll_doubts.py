"""Tests of VMs that can't know whether a stage was accepted, and refuse in time."""

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
async def test_a_vm_that_missed_the_decision_stops_within_the_doubt(
    fleet, cut_from_peers
):
    """A VM acknowledges, and is cut off before it hears that it was accepted.

    It would go on serving the old bundle for ever. In doubt it serves only while
    the store or a VM says that the stage is not accepted; cut from the store alone
    it learns of the acceptance from the others, cut from both it refuses.
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


async def test_an_outage_at_the_moment_of_acceptance_leaves_all_in_doubt(fleet):
    """The store goes out for a minute just as the accepting write is sent.

    The write may have taken effect, so that neither bundle can be served truly:
    all refuse after DOUBT_S, and serve again when the store has told.
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


async def test_an_outage_before_the_acceptance_is_sent_stops_no_service(fleet):
    """The store goes out for a minute in a roll, before its acceptance is sent.

    Nothing can be accepted meanwhile, and the VM that staged vouches for that, so
    that all go on serving the old bundle; the operator is told "not accepted".
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


async def test_the_reply_to_the_accepting_write_is_lost(fleet):
    """The accepting write takes effect and its reply is lost with the store.

    The VM that rolls can't tell; it must not vouch that the bundle is not accepted,
    or the others would serve the old one for as long as the outage lasts. When the
    store is back the same order is answered by what became of it.
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


async def test_a_process_frozen_and_woken_refuses_before_it_hears(fleet):
    """A VM is stopped for a minute and wakes with requests in its sockets.

    What it knew is a minute old and its timers have not run yet. The guard reads
    the clock at the call, and counts from when a question was sent, so that old
    answers waiting in its sockets make nothing fresh either.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    await fleet.settle()
    assert fleet.served("c") == 1
    fleet.timers._now += 60
    assert fleet.refusal("c") is ErrorKind.ISOLATED
    await fleet.run(1)
    assert fleet.served("c") == 1


async def test_a_vm_that_hears_of_a_newer_bundle_refuses_until_it_has_it(fleet):
    """A VM learns from a peer that a newer bundle is in force, and can't fetch it.

    Serving the old one knowingly would run requests on a version that is no longer
    assigned; it refuses "behind" until the content has come and is verified.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    await fleet.settle()
    fleet.vms["b"].store.out = True
    await fleet.vms["a"].mesh.call("b", BundleDecided(7, "f" * 64, True))
    assert fleet.refusal("b") is ErrorKind.BUNDLE_BEHIND
    await fleet.run(3)
    assert fleet.refusal("b") is ErrorKind.BUNDLE_BEHIND


async def test_a_vm_that_starts_during_a_roll_is_in_doubt_of_it(fleet):
    """A VM registers after the roll has listed the VMs, and reads of the stage.

    Nobody waits for its word. It misses the decision and is cut off: were it in
    doubt only of what it acknowledged, its callers would get the old bundle for as
    long as it hears a single VM that knows no better.
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


async def test_doubt_of_one_stage_does_not_hide_doubt_of_an_earlier_one(fleet):
    """A VM misses that bundle 2 was accepted, and is asked to acknowledge stage 3.

    What proves that 3 is not accepted yet would make it serve 1 again, in the place
    of 2. A stage tells what was in force when it was written, so that the VM that
    acknowledges it follows 2 first.
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


async def test_a_read_from_before_the_stage_decides_nothing(fleet):
    """A read of the pointer is answered after the VM acknowledged a later stage.

    It shows no stage, which looks as if the stage had been abandoned; the VM would
    lose its doubt and serve the old bundle past the acceptance that it then misses.
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
async def test_a_late_accepting_write_does_not_undo_the_answer(fleet, silent_vm):
    """The accepting write is under way for long, and the order is sent again.

    The operator is told that the roll failed and goes on from there; then the write
    lands and the bundle comes into force all the same. Nothing may be concluded
    before a further write has made the late one impossible.
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
