"""Tests of owning engines when the objects that tell owners can't be trusted."""

import asyncio

from hawthornlead.gateway.ownerships import OWNERS_KIND
from hawthornlead.gateway.vm_leases import CLOCK_MARGIN_S, LEASE_S, LEASES_KIND

from .fakes_leases import Fleet

# What another writer may leave in an object: nothing, texts, other types, less fields.
SCRAMBLED = [
    None,
    {},
    "scrambled",
    [1],
    {"vm": "", "incarnation": ""},
    {"vm": "", "incarnation": "", "fence": "7"},
    {"vm": "", "incarnation": "", "fence": True},
    {"vm": 3, "incarnation": None, "fence": 1},
]


async def two_with_leases() -> Fleet:
    """Return two VMs that both hold a lease."""
    fleet = Fleet()
    await fleet.a.lease._renew()
    await fleet.b.lease._renew()
    return fleet


async def renew_for(fleet: Fleet, vms, seconds: float) -> None:
    """Let time pass while some VMs renew."""
    for _ in range(int(seconds)):
        fleet.pass_time(1.0)
        for vm in vms:
            await vm.lease._renew()


async def test_fences_go_on_where_the_owner_object_cannot_be_read():
    """Two VMs order one engine under fences that go back, and the day is lost.

    An engine was owned and given back. Then its owner object turned unreadable, and
    the next claim read its fence as none and began at 1 again.
    """
    for spec in SCRAMBLED:
        fleet = await two_with_leases()
        for _ in range(3):
            assert await fleet.a.ownerships.claim("e1")
            last = fleet.a.ownerships.current("e1").fence
            await fleet.a.ownerships.release("e1")
        fleet.store.overwrite(OWNERS_KIND, "e1", spec)
        fleet.pass_time(1)
        await fleet.b.ownerships.claim("e1")
        assert fleet.b.ownerships.current("e1").fence > last


async def test_a_fence_is_never_below_one_of_an_object_that_went():
    """The same with an object that was removed and written anew by another writer."""
    for spec in SCRAMBLED:
        fleet = await two_with_leases()
        assert await fleet.a.ownerships.claim("e1")
        last = fleet.a.ownerships.current("e1").fence
        await fleet.a.ownerships.release("e1")
        await fleet.store.delete(OWNERS_KIND, "e1")
        if spec is not None:
            fleet.store.overwrite(OWNERS_KIND, "e1", spec)
        assert await fleet.b.ownerships.claim("e1")
        assert fleet.b.ownerships.current("e1").fence > last


async def test_an_unreadable_owner_object_does_not_free_an_owned_engine():
    """Two VMs order one engine by turns.

    A VM owned an engine and went on ordering it. Its owner object turned unreadable,
    another VM took that for an engine without owner and claimed it beside the first.
    """
    for spec in SCRAMBLED:
        fleet = await two_with_leases()
        assert await fleet.a.ownerships.claim("e1")
        fleet.store.overwrite(OWNERS_KIND, "e1", spec)
        fleet.network.cut("a", "b")
        for _ in range(30):
            await renew_for(fleet, (fleet.a, fleet.b), 1)
            await fleet.b.ownerships.claim("e1")
            owners = [vm.ownerships.current("e1") for vm in (fleet.a, fleet.b)]
            assert None in owners


async def test_an_engine_whose_owner_object_is_unreadable_gets_an_owner():
    """An engine gets no orders for good, since nobody can tell who owns it.

    Its owner object turned unreadable. The owner lives and is reached, or its VM is
    gone and its lease runs out; either way a successor must come to own the engine.
    """
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    fleet.store.overwrite(OWNERS_KIND, "e1", "scrambled")
    assert await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1") is None
    assert fleet.b.ownerships.current("e1") is not None
    fleet.store.overwrite(OWNERS_KIND, "e1", "scrambled")
    fleet.network.leave("b")
    assert not await fleet.a.ownerships.claim("e1")
    await renew_for(fleet, (fleet.a,), LEASE_S + CLOCK_MARGIN_S + 2)
    assert await fleet.a.ownerships.claim("e1")


async def test_a_vm_suspended_while_it_reads_a_lease_takes_nothing_over():
    """Two VMs order one engine under leases that both hold.

    An owner was cut from the store for ten seconds. A VM that wanted to succeed it read
    its lease and was suspended before it looked at its clock. By then the lease that
    it had read was old enough to have run out; the owner had renewed it meanwhile.
    """
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    assert not await fleet.b.ownerships.claim("e1")
    await renew_for(fleet, (fleet.b,), LEASE_S - 5)

    async def suspend(kind):
        if kind == LEASES_KIND:
            fleet.store.after_read = None
            await renew_for(fleet, (fleet.a,), 6)

    fleet.store.after_read = suspend
    await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1") is not None
    assert fleet.b.ownerships.current("e1") is None


async def test_an_unreadable_lease_proves_no_restart():
    """Two VMs order one engine under leases that both hold.

    The owner's lease object turned unreadable; a successor took that for a restart of
    the owner's process and for a lease that is free.
    """
    for spec in (None, "scrambled", {}, {"incarnation": 7}):
        fleet = await two_with_leases()
        assert await fleet.a.ownerships.claim("e1")
        fleet.store.overwrite(LEASES_KIND, "a", spec)
        assert not await fleet.b.ownerships.claim("e1")
        assert fleet.a.ownerships.current("e1") is not None


async def test_a_lease_that_went_proves_nothing_yet():
    """As before, with a lease object that another writer removed."""
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    await fleet.store.delete(LEASES_KIND, "a")
    assert not await fleet.b.ownerships.claim("e1")
    fleet.pass_time(LEASE_S + CLOCK_MARGIN_S + 1)
    await fleet.b.lease._renew()
    assert await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1") is None


async def test_owners_do_not_take_turns():
    """An engine is ordered by two VMs in turn within seconds, as by two at once.

    VMs leave and come back one after the other: an engine's owner gave it back, its
    successor left too within a second, and the first one, back by then, claimed again.
    """
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    fleet.a.ownerships.record_order("e1")
    await fleet.a.ownerships.release("e1")
    assert await fleet.b.ownerships.claim("e1")
    fleet.pass_time(1.0)
    await fleet.b.ownerships.release("e1")
    assert not await fleet.a.ownerships.claim("e1")
    fleet.pass_time(2.1)
    assert await fleet.a.ownerships.claim("e1")


async def test_owners_do_not_take_turns_over_a_restart():
    """The same, where the successor is killed: its next process gives nothing back."""
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    fleet.a.ownerships.record_order("e1")
    await fleet.a.ownerships.release("e1")
    fleet.pass_time(0.1)
    assert await fleet.b.ownerships.claim("e1")
    fleet.pass_time(0.9)
    again = fleet.start("b", incarnation="2")
    await again.lease._renew()
    assert not await fleet.a.ownerships.claim("e1")
    fleet.pass_time(2.1)
    assert await fleet.a.ownerships.claim("e1")


async def test_a_process_that_starts_knows_that_its_vm_ordered_a_moment_ago():
    """The same, where the first owner is killed: its next process remembers nothing."""
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    await fleet.a.ownerships.release("e1")
    assert await fleet.b.ownerships.claim("e1")
    await fleet.b.ownerships.release("e1")
    again = fleet.start("a", incarnation="2")
    await again.lease._renew()
    assert not await again.ownerships.claim("e1")
    fleet.pass_time(3.1)
    assert await again.ownerships.claim("e1")


async def test_a_former_owner_waits_also_after_an_unreadable_object():
    """The same, where what the object told of former owners was lost in between."""
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    fleet.a.ownerships.record_order("e1")
    fleet.store.overwrite(OWNERS_KIND, "e1", "scrambled")
    assert await fleet.b.ownerships.claim("e1")
    fleet.pass_time(1.0)
    await fleet.b.ownerships.release("e1")
    assert not await fleet.a.ownerships.claim("e1")


async def test_a_former_owner_need_not_wait_once_its_orders_are_old():
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    fleet.a.ownerships.record_order("e1")
    await fleet.a.ownerships.release("e1")
    assert await fleet.b.ownerships.claim("e1")
    fleet.pass_time(4.0)
    await fleet.b.ownerships.release("e1")
    assert await fleet.a.ownerships.claim("e1")


async def test_a_claim_in_flight_does_not_outlive_a_yield():
    """Two VMs order one engine, each by a claim of its own.

    A claim had reached the store and its answer was slow; then another writer made the
    object unreadable. Asked whether it orders the engine, the claimant said no, since
    it had no answer yet, and went on as its owner when the answer came.
    """
    fleet = await two_with_leases()
    replace = fleet.store.replace
    landed, go_on = asyncio.Event(), asyncio.Event()

    async def slow(kind, name, spec, revision):
        done = await replace(kind, name, spec, revision)
        if kind == OWNERS_KIND and spec["vm"] == "a":
            landed.set()
            await go_on.wait()
        return done

    fleet.store.replace = slow
    claim = asyncio.ensure_future(fleet.a.ownerships.claim("e1"))
    await landed.wait()
    fleet.store.overwrite(OWNERS_KIND, "e1", "scrambled")
    assert await fleet.b.ownerships.claim("e1")
    go_on.set()
    assert not await claim
    assert fleet.a.ownerships.current("e1") is None


async def test_a_claim_answered_while_its_vm_leaves_is_given_back():
    """An engine gets no orders for 15 s after a VM has left in good order.

    The VM gave back what it owned as it left. The answer to a claim of its came after
    that, and the engine stayed claimed until the lease of the VM ran out.
    """
    fleet = await two_with_leases()
    replace = fleet.store.replace

    async def leaving(kind, name, spec, revision):
        done = await replace(kind, name, spec, revision)
        memberships = fleet.a.ownerships._memberships
        memberships._record = memberships._record._replace(leaving=True)
        return done

    fleet.store.replace = leaving
    assert not await fleet.a.ownerships.claim("e1")
    fleet.store.replace = replace
    assert await fleet.b.ownerships.claim("e1")


async def test_a_vm_whose_lease_object_went_is_asked_too():
    """Two VMs order one engine: both its owner's lease and its object were spoilt."""
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    await fleet.store.delete(LEASES_KIND, "a")
    fleet.store.overwrite(OWNERS_KIND, "e1", "scrambled")
    assert await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1") is None


async def test_vms_that_are_gone_are_waited_for_at_once():
    """An engine gets no orders for a minute, a lease for each VM that is gone."""
    fleet = await two_with_leases()
    third = fleet.start("c")
    await third.lease._renew()
    assert await fleet.a.ownerships.claim("e1")
    fleet.store.overwrite(OWNERS_KIND, "e1", "scrambled")
    fleet.network.leave("a")
    fleet.network.leave("c")
    assert not await fleet.b.ownerships.claim("e1")
    await renew_for(fleet, (fleet.b,), LEASE_S + CLOCK_MARGIN_S + 2)
    assert await fleet.b.ownerships.claim("e1")


async def test_the_last_order_is_sent_well_before_the_lease_ends():
    """Two orders of two VMs cross, the older owner's arriving last.

    An owner that was cut from the store sent an order in the last moment of its lease.
    A packet was lost and sent again a second later, after its successor's first order.
    """
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    fleet.pass_time(LEASE_S - 0.9)
    assert fleet.a.lease.holds()
    assert fleet.a.ownerships.current("e1") is None
