"""Tests of rolls over several VMs, and of when a VM may serve."""

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


async def test_a_roll_is_in_force_everywhere_when_it_answers(fleet):
    assert fleet.refusal("b") is ErrorKind.NO_BUNDLE
    outcome = (await fleet.roll("a", fleet.v1, 0)).unwrap()
    assert outcome.acknowledged == ("a", "b", "c")
    await fleet.settle()
    assert [fleet.served(vm) for vm in "abc"] == [1, 1, 1]
    outcome = (await fleet.roll("c", fleet.v2, 1)).unwrap()
    await fleet.settle()
    assert [fleet.served(vm) for vm in "abc"] == [2, 2, 2]
    # Roll back: the earlier bundle under a new number.
    assert (await fleet.roll("b", fleet.v1, 2)).unwrap().seq == 3
    await fleet.settle()
    bundle = fleet.vms["c"].keeper.in_force.bundle
    caller = bundle.caller_of("secret")
    assert bundle.assign(caller, "brief").unwrap().version == "v1"


async def test_two_operators_roll_at_once_from_two_vms(fleet):
    """Two operators see the same bundle in force and roll at the same moment.

    Both orders name seq 1. One is staged first; without the conditional update on
    the pointer the slower one would replace what the faster operator was told is in
    force. The loser is told which bundle won and what differs.
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


async def test_a_silent_vm_stops_the_roll_and_a_waiver_accepts_without_it(fleet):
    """A data centre is cut off while an operator rolls.

    The roll can't know what its VMs go on serving, so it answers "not accepted" and
    names them; the old bundle stays in force for all. Only a signed waiver goes on
    without, and the VM that was cut off refuses until it has caught up.
    """
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    fleet.network.cuts = {frozenset("ac"), frozenset("bc")}
    fleet.vms["c"].store.out = True
    failure = (await fleet.roll("a", fleet.v2, 1)).unwrap_err()
    assert failure.kind is ErrorKind.ROLL_NOT_ACCEPTED
    assert "c (bilbao)" in failure.detail
    assert (fleet.served("a"), fleet.served("b")) == (1, 1)
    # Hearing neither the store nor a VM, it refuses by itself.
    assert fleet.refusal("c") is ErrorKind.ISOLATED
    waived = (await fleet.roll("a", fleet.v2, 1, ("bilbao",))).unwrap()
    assert waived.waived == ("c",)
    await fleet.settle()
    assert (fleet.served("a"), fleet.served("b")) == (3, 3)
    fleet.network.cuts = set()
    await fleet.run(1)
    assert fleet.served("c") == 3


async def test_a_vm_proved_gone_does_not_count(fleet):
    await fleet.kill("c", proved=True)
    outcome = (await fleet.roll("a", fleet.v1, 0)).unwrap()
    assert (outcome.acknowledged, outcome.gone) == (("a", "b"), ("c",))


async def test_a_lease_that_only_ran_out_still_needs_its_word(fleet):
    """A data centre is cut off long enough that its leases are ended.

    Ending a lease for silence proves nothing about what its VM serves: were it not
    counted any more, a roll would be accepted and callers behind the cut would get
    the old bundle with nobody told.
    """
    entry = fleet.objects.values[("leases", "bilbao")].value["entries"]["c.1"]
    entry.update(state="ended", proof="silent")
    fleet.network.cuts = {frozenset("ac"), frozenset("bc")}
    failure = (await fleet.roll("a", fleet.v1, 0)).unwrap_err()
    assert "c (bilbao)" in failure.detail
    entry.update(proof="refused")
    assert (await fleet.roll("a", fleet.v1, 0)).is_ok()


async def test_the_vm_that_rolls_dies_after_the_stage(fleet):
    """The VM that staged a bundle is killed before it decides.

    The others acknowledged and are in doubt; the store tells them that nothing was
    accepted, so they serve on. Another roll replaces the stage at once, and the
    dead VM's acceptance, were it still under way, would meet a changed pointer.
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


async def test_a_stage_left_behind_is_cleared(fleet):
    (await fleet.roll("b", fleet.v1, 0)).unwrap()
    fleet.network.cuts = {frozenset("ac")}
    task = asyncio.create_task(fleet.vms["a"].keeper.roll(fleet.order(fleet.v2, 1)))
    await fleet.run(0.3)
    task.cancel()
    await fleet.kill("a")
    await fleet.run(25)
    assert fleet_pointer(fleet).staged is None
    assert fleet.vms["c"].keeper.staged_seq == 0


async def test_a_new_vm_started_during_an_outage(fleet):
    """A VM starts while the store is out and hears only its peers.

    It can't be registered, so no roll would wait for its word: it must not serve,
    however much its peers tell it. Registered, it serves after one read.
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


async def test_late_words_never_bring_back_an_older_bundle(fleet):
    """Words on an older stage arrive after a newer bundle is in force.

    A message that was delayed, a peer that is behind and a read that was answered
    late all speak of the past; a sequence number known to be accepted stays so.
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


async def test_orders_that_are_not_valid_are_refused(fleet):
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


async def test_an_order_is_carried_out_once(fleet):
    order = fleet.order(fleet.v1, 0)
    keeper = fleet.vms["a"].keeper
    first = (await fleet.finish(keeper.roll(order))).unwrap()
    (await fleet.roll("a", fleet.v2, 1)).unwrap()
    again = await fleet.finish(fleet.vms["c"].keeper.roll(order))
    assert again.unwrap().seq == first.seq
    await fleet.settle()
    assert fleet.served("c") == 2


async def test_a_new_lease_of_a_living_process_is_no_proof(fleet):
    """A VM's lease lapses behind a cut and it registers anew as ``c.1+2``.

    Its process runs and serves. Proof is of a process, whatever its registrations
    are called: taken by their names, a dead VM's second one would block rolls for
    ever, and the end of its first would count for the living process.
    """
    entries = fleet.objects.values[("leases", "bilbao")].value["entries"]
    entries["c.1+2"] = dict(entries["c.1"])
    entries["c.1"].update(state="ended", proof="silent")
    fleet.network.cuts = {frozenset("ac"), frozenset("bc")}
    failure = (await fleet.roll("a", fleet.v1, 0)).unwrap_err()
    assert "c (bilbao)" in failure.detail
    fleet.gone.add(("c", "c.1"))
    assert (await fleet.roll("a", fleet.v1, 0)).unwrap().gone == ("c",)


async def test_a_change_of_the_bundle_is_told_at_once(fleet):
    mesh = fleet.vms["b"].mesh
    assert mesh.heartbeats == 0
    (await fleet.roll("a", fleet.v1, 0)).unwrap()
    await fleet.settle()
    assert mesh.heartbeats == 2
    fleet.network.cuts = {frozenset("ac"), frozenset("bc")}
    (await fleet.roll("a", fleet.v2, 1)).unwrap_err()
    await fleet.settle()
    assert mesh.heartbeats == 4


async def test_a_restarted_vm_does_not_vouch_for_its_predecessor(fleet):
    """A VM dies with its accepting write under way, and is started again.

    The new process reads the stage, with its own VM's name on it, and the store
    goes out. Took it the stage for its own it would say "not accepted" for as long
    as the outage lasts, and all VMs would serve the old bundle after the write.
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
