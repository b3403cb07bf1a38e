"""Tests of owning engines when the objects that tell owners can't be trusted."""

from hawthornlead.gateway.ownerships import OWNERS_KIND
from hawthornlead.gateway.vm_leases import LEASE_S, LEASES_KIND

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
