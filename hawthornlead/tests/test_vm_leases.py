"""Tests of the lease under which orders are given, and of takeovers."""

from hawthornlead.gateway.ownerships import ORDER_MARGIN_S, OWNERS_KIND
from hawthornlead.gateway.vm_leases import LEASE_S, LEASES_KIND

from .fakes_leases import Fleet


async def test_a_lease_holds_from_the_sending_of_its_renewal():
    fleet = Fleet()
    fleet.store.answer_s = 2.0
    await fleet.a.lease._renew()
    await fleet.a.lease._renew()
    sent_at = fleet.timers.now() - 2.0
    fleet.pass_time(LEASE_S - 2.0 - 0.1)
    assert fleet.a.lease.holds()
    fleet.pass_time(0.2)
    assert fleet.timers.now() - sent_at > LEASE_S
    assert not fleet.a.lease.holds()


async def test_a_suspended_owner_finds_its_ownership_gone():
    """Guards against two VMs ordering one engine, which evicts under their requests.

    The machine of the owner is suspended, and another VM takes over. The first resumes,
    renews its lease, and must not continue as the owner.
    """
    fleet = Fleet()
    await fleet.a.lease._renew()
    assert await fleet.a.ownerships.claim("e1")
    first = fleet.a.ownerships.current("e1")
    await fleet.b.lease._renew()
    assert not await fleet.b.ownerships.claim("e1")
    fleet.pass_time(LEASE_S + 1)
    await fleet.b.lease._renew()
    assert await fleet.b.ownerships.claim("e1")
    await fleet.a.lease._renew()
    assert fleet.a.lease.holds()
    assert fleet.a.ownerships.current("e1") is None
    assert fleet.b.ownerships.current("e1").fence > first.fence


async def test_a_renewal_answered_after_the_lease_ran_out_begins_a_new_one():
    fleet = Fleet()
    await fleet.a.lease._renew()
    assert await fleet.a.ownerships.claim("e1")
    fleet.pass_time(LEASE_S - 0.5)
    fleet.store.answer_s = 1.0
    await fleet.a.lease._renew()
    assert fleet.a.lease.holds()
    assert fleet.a.ownerships.current("e1") is None


async def test_nobody_takes_over_while_the_owner_renews():
    fleet = Fleet()
    await fleet.a.lease._renew()
    assert await fleet.a.ownerships.claim("e1")
    for _ in range(8):
        fleet.pass_time(LEASE_S / 2)
        await fleet.a.lease._renew()
        await fleet.b.lease._renew()
        assert not await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1") is not None


async def test_a_store_that_is_away_proves_nothing():
    fleet = Fleet()
    await fleet.a.lease._renew()
    assert await fleet.a.ownerships.claim("e1")
    await fleet.b.lease._renew()
    fleet.store.away = True
    fleet.pass_time(LEASE_S - ORDER_MARGIN_S - 0.1)
    assert not await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1") is not None
    fleet.pass_time(0.2)
    assert fleet.a.ownerships.current("e1") is None


async def test_a_restarted_vm_takes_its_engines_back_at_once():
    fleet = Fleet()
    await fleet.a.lease._renew()
    assert await fleet.a.ownerships.claim("e1")
    first = fleet.a.ownerships.current("e1")
    again = fleet.start("a", incarnation="2")
    await again.lease._renew()
    assert await again.ownerships.claim("e1")
    assert again.ownerships.current("e1").fence > first.fence


async def test_a_released_engine_is_free_at_once():
    fleet = Fleet()
    await fleet.a.lease._renew()
    await fleet.b.lease._renew()
    assert await fleet.a.ownerships.claim("e1")
    first = fleet.a.ownerships.current("e1")
    await fleet.a.ownerships.release("e1")
    assert fleet.a.ownerships.current("e1") is None
    assert await fleet.b.ownerships.claim("e1")
    assert fleet.b.ownerships.current("e1").fence > first.fence


async def test_of_two_claims_at_once_one_succeeds():
    fleet = Fleet()
    await fleet.a.lease._renew()
    await fleet.b.lease._renew()
    won = [await vm.ownerships.claim("e1") for vm in (fleet.a, fleet.b)]
    assert won == [True, False]
    assert fleet.store.objects[OWNERS_KIND, "e1"].spec["vm"] == "a"
    assert (LEASES_KIND, "a") in fleet.store.objects
