"""Tests of leases and claims that the store loses as it comes back from a copy."""

import pytest

from hawthornlead.gateway.ownerships import ORDER_MARGIN_S, SETTLE_S
from hawthornlead.gateway.vm_leases import LEASE_S

from .fakes_leases import Fleet


async def drilled_fleet(era: int = 1) -> Fleet:
    """Return a fleet whose store has lost that VM ``a`` claimed ``e1``."""
    fleet = Fleet()
    fleet.store.era = era
    await fleet.a.lease._renew()
    await fleet.b.lease._renew()
    taken = fleet.store.copy()
    assert await fleet.a.ownerships.claim("e1")
    fleet.store.restore(taken)
    return fleet


async def renew(vm) -> None:
    """Renew a lease; the first attempt of a new era finds its object changed."""
    await vm.lease._renew()
    await vm.lease._renew()


@pytest.mark.parametrize("era", [0, 1])
async def test_nobody_claims_an_engine_whose_owner_the_store_has_lost(era):
    """Guards against two owners of an engine after the store went back."""
    fleet = await drilled_fleet(era)
    await renew(fleet.b)
    assert not await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1")
    fleet.pass_time(SETTLE_S + 0.1)
    await renew(fleet.b)
    assert await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1") is None


async def test_an_owner_writes_a_lost_claim_again_under_a_higher_fence():
    """Guards against a lower fencing number than one that the engine has seen."""
    fleet = await drilled_fleet()
    former = fleet.a.ownerships.current("e1")
    await renew(fleet.a)
    assert fleet.a.ownerships.outdated() == ("e1",)
    await fleet.a.ownerships.reassert("e1")
    assert fleet.a.ownerships.outdated() == ()
    assert fleet.a.ownerships.current("e1").fence > former.fence
    for _ in range(4):
        fleet.pass_time(SETTLE_S / 4 + 0.1)
        await fleet.a.lease._renew()
        await renew(fleet.b)
        assert not await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1")


async def test_a_claim_that_is_not_written_again_ends_with_its_former_lease():
    """Guards against a lost claim that lasts on under a lease of the new era."""
    fleet = await drilled_fleet()
    for _ in range(2):
        fleet.pass_time(LEASE_S / 2)
        await renew(fleet.a)
    assert fleet.a.lease.holds_for(ORDER_MARGIN_S)
    assert fleet.a.ownerships.current("e1") is None


async def test_a_claim_of_a_settled_era_is_not_overwritten():
    """Guards against an owner that notices a new era after its successor's claim."""
    fleet = await drilled_fleet()
    await renew(fleet.b)
    fleet.store.away = False
    taken = fleet.a.ownerships._owned["e1"]
    fleet.pass_time(SETTLE_S + 0.1)
    await renew(fleet.b)
    assert await fleet.b.ownerships.claim("e1")
    await renew(fleet.a)
    fleet.a.ownerships._owned["e1"] = taken._replace(term=fleet.a.lease.term)
    await fleet.a.ownerships.reassert("e1")
    assert fleet.a.ownerships.current("e1") is None
    assert fleet.b.ownerships.current("e1")


async def test_a_vm_that_starts_after_the_drill_claims_nothing_before_the_era_settles():
    """Guards against a VM that can't know of claims lost before its start."""
    fleet = await drilled_fleet()
    c = fleet.start("c", first_start=False)
    await c.lease._renew()
    assert not c.ownerships.should_claim("e1", 100.0)
    assert not await c.ownerships.claim("e1")
    fleet.pass_time(SETTLE_S + 0.1)
    await renew(c)
    assert await c.ownerships.claim("e1")


async def test_a_vm_that_starts_in_a_settled_era_claims_at_once():
    """Guards against engines that nobody orders after each restart of all VMs."""
    fleet = Fleet()
    fleet.store.era = 1
    await fleet.a.lease._renew()
    assert await fleet.a.ownerships.claim("e1")
    await fleet.a.ownerships._settlement._tasks.settle(1.0)
    c = fleet.start("c", first_start=False)
    await c.lease._renew()
    assert not await c.ownerships.claim("e2")
    await c.ownerships._settlement.read()
    assert await c.ownerships.claim("e2")


async def test_a_restart_seen_in_a_restored_lease_proves_nothing():
    """Guards against a takeover since the store shows a former process of the owner."""
    fleet = Fleet()
    fleet.store.era = 1
    former = fleet.start("a", incarnation="0")
    await former.lease._renew()
    await fleet.b.lease._renew()
    taken = fleet.store.copy()
    await fleet.a.lease._renew()
    assert await fleet.a.ownerships.claim("e1")
    fleet.store.restore(taken)
    await renew(fleet.b)
    assert not await fleet.b.ownerships.claim("e1")
    assert fleet.a.ownerships.current("e1")
