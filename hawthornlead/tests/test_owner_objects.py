"""Tests of owning engines when owner and lease objects are unreadable or missing."""

import asyncio

from hawthornlead.gateway.ownerships import OWNERS_KIND
from hawthornlead.gateway.vm_leases import CLOCK_MARGIN_S, LEASE_S, LEASES_KIND

from .fakes_leases import Fleet

# What another writer may leave in an object: nothing, text, wrong types, fewer fields.
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


async def test_fences_keep_rising_if_the_owner_object_is_unreadable():
    """Two VMs order one engine under fences that decrease.

    An engine was owned and released. Then its owner object became unreadable, and the
    next claim read no fence and started at 1 again.
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


async def test_a_fence_is_never_below_one_of_a_removed_object():
    """The same with an object that another writer removed and wrote again."""
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
    """Two VMs order one engine alternately.

    A VM owned an engine and continued to order it. Its owner object became unreadable,
    and another VM took the engine for unowned and claimed it as well.
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
    """An engine permanently gets no orders because its owner is unknown.

    Its owner object became unreadable. The owner is reachable, or its VM is gone and
    its lease expires; in both cases a successor must be able to claim the engine.
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
    """Two VMs order one engine under two valid leases.

    An owner was cut off from the store for ten seconds. A successor read its lease and
    was suspended before reading the clock. By then the lease as read was old enough to
    have expired, but the owner had renewed it meanwhile.
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
    """Two VMs order one engine under two valid leases.

    The owner's lease object became unreadable. A successor took that for a restart of
    the owner's process and for a free lease.
    """
    for spec in (None, "scrambled", {}, {"incarnation": 7}):
        fleet = await two_with_leases()
        assert await fleet.a.ownerships.claim("e1")
        fleet.store.overwrite(LEASES_KIND, "a", spec)
        assert not await fleet.b.ownerships.claim("e1")
        assert fleet.a.ownerships.current("e1") is not None


async def test_a_removed_lease_proves_nothing_yet():
    """The same with a lease object that another writer removed."""
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    await fleet.store.delete(LEASES_KIND, "a")
    assert not await fleet.b.ownerships.claim("e1")
    fleet.pass_time(LEASE_S + CLOCK_MARGIN_S + 1)
    await fleet.b.lease._renew()
    assert await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1") is None


async def test_owners_do_not_alternate():
    """Two VMs order an engine alternately within seconds, which counts as two owners.

    VMs restart one after the other. An engine's owner released it, its successor also
    left within a second, and the first VM, back by then, claimed it again.
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


async def test_owners_do_not_alternate_across_a_restart():
    """The same with a killed successor: its next process releases nothing."""
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
    """The same with a killed first owner: its next process remembers nothing."""
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
    """The same when the former owners in the object were lost in between."""
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
    """Two VMs order one engine, each by its own claim.

    A claim had reached the store and its answer was slow. Then another writer made the
    object unreadable. The claimant was asked to yield and agreed, since it had no
    answer yet, but acted as owner when the answer arrived.
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


async def test_a_claim_answered_while_its_vm_leaves_is_released():
    """An engine gets no orders for 15 s after a VM has shut down gracefully.

    The VM released what it owned. The answer to one of its claims arrived after that,
    and the engine stayed claimed until the VM's lease expired.
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


async def test_a_vm_whose_lease_object_was_removed_is_asked_too():
    """Two VMs order one engine: its owner's lease and its object were corrupted."""
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    await fleet.store.delete(LEASES_KIND, "a")
    fleet.store.overwrite(OWNERS_KIND, "e1", "scrambled")
    assert await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1") is None


async def test_vms_that_are_gone_are_waited_for_at_once():
    """An engine gets no orders for a minute: a lease time for each VM that is gone."""
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
    """The orders of two VMs cross, and the older owner's order arrives last.

    An owner cut off from the store sent an order at the very end of its lease. Its
    packet was lost and retransmitted a second later, after the successor's first order.
    """
    fleet = await two_with_leases()
    assert await fleet.a.ownerships.claim("e1")
    fleet.pass_time(LEASE_S - 0.9)
    assert fleet.a.lease.holds()
    assert fleet.a.ownerships.current("e1") is None
