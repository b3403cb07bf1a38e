"""Tests of ownership: one owner at a time, rising fences and quick takeovers."""

import asyncio

import pytest

from hawthornlead.ownership.former_owners import FormerOwners
from hawthornlead.ownership.owner_records import (
    MAX_UNPROVED,
    UNLISTED_OWNERS,
    OwnerRecord,
    records_of,
    shard_of,
    taken_record,
)
from hawthornlead.ownership.owners import OrderRight

from .fakes_vms import World

ENGINE = "target:engine-1"


@pytest.fixture
async def world():
    made = World(LEASE_S=6.0, LEASE_RENEW_S=1.5, ORDER_S=4.0, WATCH_SILENT_S=4.0)
    made.request(ENGINE)
    yield made
    await made.stop()


def rights(world, resource=ENGINE):
    return [vm.owners.right(resource) for vm in world.vms.values()]


async def test_takes_over_requested_resource(world):
    first, second = world.add("vm-1"), world.add("vm-2")
    await world.run(5)
    assert sorted(right.value for right in rights(world)) == ["full", "none"]
    owner = world.owner_of(ENGINE)
    ownership = owner.owners.owned(ENGINE)
    assert ownership.fence == 1 and ownership.predecessor_stopped
    for vm in (first, second):
        record = vm.owners.owner_of(ENGINE)
        assert (record.vm, record.fence) == (owner.name, 1)
    assert owner.owners.right(ENGINE, duration_s=6.0) is OrderRight.DEGRADED


async def test_spread_evenly_without_needless_moves(world):
    engines = [f"target:engine-{number}" for number in range(2, 13)]
    world.request(*engines)
    vms = [world.add(f"vm-{number}") for number in range(6)]
    await world.run(10)
    assert [len(vm.owners.owned_resources()) for vm in vms] == [2] * 6
    fences = {vm.name: vm.owners.owned_resources() for vm in vms}
    world.add("vm-late")
    await world.run(10)
    assert {vm.name: vm.owners.owned_resources() for vm in vms} == fences


async def test_proved_gone_is_replaced_quickly(world):
    # The owner's process is killed and its port refuses connections. Another VM must
    # take over within about a second, without a wait for the dead owner's lease.
    for number in range(3):
        world.add(f"vm-{number}")
    await world.run(5)
    owner = world.owner_of(ENGINE)
    await world.kill(owner)
    await world.run(1.5)
    successor = world.owner_of(ENGINE)
    ownership = successor.owners.owned(ENGINE)
    assert ownership.fence == 2 and ownership.predecessor == owner.name
    assert ownership.predecessor_stopped


async def test_owner_frozen_past_its_lease(world):
    # The owner freezes. A successor takes over when the lease has expired, and waits
    # for the longest order to end. The first owner wakes up. From its first instruction
    # on it must not order anything, and it must learn that it was superseded.
    for number in range(3):
        world.add(f"vm-{number}")
    await world.run(5)
    frozen = world.owner_of(ENGINE)
    lost = []
    frozen.owners.on_lost(lost.append)
    world.freeze(frozen)
    await world.run(9)
    others = [vm for vm in world.vms.values() if vm is not frozen]
    (successor,) = [vm for vm in others if vm.owners.owned(ENGINE)]
    assert successor.owners.right(ENGINE) is OrderRight.NONE
    await world.run(5)
    assert world.owner_of(ENGINE) is successor
    ownership = successor.owners.owned(ENGINE)
    assert ownership.fence == 2 and not ownership.predecessor_stopped
    assert frozen.owners.right(ENGINE) is OrderRight.DEGRADED
    world.thaw(frozen)
    await world.run(2)
    assert frozen.owners.right(ENGINE) is OrderRight.NONE and lost == [ENGINE]
    assert world.owner_of(ENGINE) is successor
    # Later proof tells the successor that the first owner can send no more orders.
    world.killed.add(records(world)[0].unproved[0].incarnation)
    assert successor.owners.owned(ENGINE).predecessor_stopped


def records(world, resource=ENGINE) -> list[OwnerRecord]:
    stored = world.objects.get("owners", shard_of(resource))
    return [records_of(stored.value)[resource]]


async def test_chain_of_owners_without_proof(world):
    # An owner is frozen and its successor has no proof that it stopped. The successor
    # is killed with proof, and a third VM takes over. It must not treat that proof as
    # one for the first owner: if the first wakes up in a store outage and grants, an
    # eviction would break its requests.
    for number in range(4):
        world.add(f"vm-{number}")
    await world.run(5)
    first = world.owner_of(ENGINE)
    world.freeze(first)
    await world.run(15)
    second = world.owner_of(ENGINE)
    await world.kill(second)
    await world.run(8)
    third = world.owner_of(ENGINE)
    ownership = third.owners.owned(ENGINE)
    assert ownership.fence == 3 and ownership.predecessor == second.name
    assert not ownership.predecessor_stopped
    await third.owners.release(ENGINE)
    await world.run(8)
    fourth = world.owner_of(ENGINE)
    assert fourth.owners.owned(ENGINE).fence == 4
    assert not fourth.owners.owned(ENGINE).predecessor_stopped
    world.killed.add(first.leases.incarnation)
    assert fourth.owners.owned(ENGINE).predecessor_stopped


async def test_order_of_an_owner_with_a_slow_clock(world):
    # An owner sends an order in the last moment of its lease, and its clock is slower
    # than its successor's. The order may take effect even after ORDER_S by the
    # successor's clock.
    for number in range(2):
        world.add(f"vm-{number}")
    await world.run(5)
    world.freeze(world.owner_of(ENGINE))
    await world.run(9)
    (successor,) = [vm for vm in world.vms.values() if not vm.frozen]
    owned = successor.owners.owned(ENGINE)
    successor.timers._now = owned.taken_at + successor.settings["ORDER_S"] + 0.01
    assert successor.owners.right(ENGINE) is OrderRight.NONE
    successor.timers._now += 0.02 * successor.settings["ORDER_S"]
    assert successor.owners.right(ENGINE) is not OrderRight.NONE


async def test_order_of_a_killed_owner_may_still_take_effect(world):
    # An owner sends an eviction and is killed. The proof of its end does not cover the
    # order, which may take effect for ORDER_S. The successor must wait for it, and if
    # it releases the resource before, the next owner must.
    for number in range(3):
        world.add(f"vm-{number}")
    await world.run(5)
    owner = world.owner_of(ENGINE)
    order_s = owner.settings["ORDER_S"]
    assert (
        owner.owners.owned(ENGINE).orders_end_at == owner.owners.owned(ENGINE).taken_at
    )
    await world.kill(owner)
    for _ in range(2):
        await world.run(2)
        successor = world.owner_of(ENGINE)
        owned = successor.owners.owned(ENGINE)
        assert owned.predecessor_stopped
        assert owned.orders_end_at >= owned.taken_at + order_s * 1.02
        assert (await successor.owners.release(ENGINE)).is_ok()


@pytest.mark.parametrize("open_order", [False, True])
async def test_release_with_an_order_under_way(world, open_order):
    # A VM shuts down and releases its target right after it sent an eviction. The
    # successor need not wait only if no order is under way.
    for number in range(2):
        world.add(f"vm-{number}")
    await world.run(5)
    owner = world.owner_of(ENGINE)
    owner.owners.set_open_order_check(lambda resource: open_order)
    assert (await owner.owners.release_all()).is_ok()
    await world.run(2)
    owned = world.owner_of(ENGINE).owners.owned(ENGINE)
    assert owned.fence == 2 and owned.predecessor_stopped
    assert (owned.orders_end_at > owned.taken_at) is open_order


async def test_lease_shorter_than_the_longest_order():
    # With LEASE_S below ORDER_S a lease never lasts for a whole order. The owner must
    # have the right all the same: its successor waits for the lease, then the order.
    world = World(LEASE_S=3.0, LEASE_RENEW_S=1.0, ORDER_S=8.0, WATCH_SILENT_S=4.0)
    world.request(ENGINE)
    for number in range(2):
        world.add(f"vm-{number}")
    await world.run(5)
    owner = world.owner_of(ENGINE)
    assert owner.owners.right(ENGINE) is OrderRight.FULL
    world.freeze(owner)
    last_order_at = owner.leases._valid_until
    (other,) = [vm for vm in world.vms.values() if vm is not owner]
    for _ in range(300):
        if other.owners.right(ENGINE) is OrderRight.FULL:
            break
        await world.run(0.1)
    assert other.owners.right(ENGINE) is OrderRight.FULL
    assert other.timers.now() >= last_order_at + 8.0
    await world.stop()


async def test_takeover_took_effect_and_reply_lost(world):
    # The takeover is written, but its reply is lost and reading the record back fails.
    # The VM must learn later that it is the owner, or the resource has none in effect.
    vm = world.add("vm-1")
    put = vm.store._put

    async def put_then_outage(kind, *args):
        if kind == "owners":
            vm.store._put = put
            await put(kind, *args)
            vm.store.outage = True
        return await put(kind, *args)

    vm.store._put = put_then_outage
    await world.run(3)
    assert records(world)[0].vm == "vm-1"
    assert vm.owners.right(ENGINE) is OrderRight.NONE
    vm.store.outage = False
    await world.run(10)
    assert world.owner_of(ENGINE) is vm
    assert vm.owners.owned(ENGINE).fence == 1


async def test_two_take_over_at_once(world, monkeypatch):
    # All VMs find that it is their turn and try at the same moment. One conditional
    # update succeeds; the others must see a live owner and not take over.
    monkeypatch.setattr("hawthornlead.ownership.takeover_orders.RANK_DELAY_S", 0.0)
    for number in range(5):
        world.add(f"vm-{number}")
    await world.run(5)
    for fence in (1, 2, 3):
        owner = world.owner_of(ENGINE)
        assert owner.owners.owned(ENGINE).fence == fence
        await world.kill(owner)
        await world.run(5)


async def test_store_outage_degrades_then_recovers(world):
    # The store is down for a minute, which the owner can't tell from being cut off. Its
    # right must become degraded, nobody may take over, and it must keep its fence.
    for number in range(3):
        world.add(f"vm-{number}")
    await world.run(5)
    owner = world.owner_of(ENGINE)
    world.objects.outage = True
    await world.run(60)
    assert owner.owners.right(ENGINE) is OrderRight.DEGRADED
    assert world.owners_of(ENGINE) == []
    world.objects.outage = False
    await world.run(5)
    assert world.owner_of(ENGINE) is owner
    assert owner.owners.owned(ENGINE).fence == 1


async def test_release_at_shutdown(world):
    # A graceful shutdown releases resources, so the successor has the right at once.
    for number in range(3):
        world.add(f"vm-{number}")
    await world.run(5)
    owner = world.owner_of(ENGINE)
    assert (await owner.owners.release_all()).is_ok()
    assert owner.owners.right(ENGINE) is OrderRight.NONE
    assert (await owner.leases.release()).is_ok()
    await world.run(1.5)
    successor = world.owner_of(ENGINE)
    ownership = successor.owners.owned(ENGINE)
    assert successor is not owner and ownership.fence == 2
    assert ownership.predecessor_stopped


async def test_release_with_lost_reply(world):
    # A release takes effect, its reply is lost and the store fails. Another VM takes
    # the resource over. A late watch event from before the release names the first VM
    # as owner, which that VM must not act on.
    releaser = world.add("vm-1")
    await world.run(5)
    other = world.add("vm-2")
    await world.run(3)
    releaser.store.silence_watches()
    shard = shard_of(ENGINE)
    before = (await other.store.update("owners", shard, dict)).ok_value
    put = releaser.store._put

    async def put_then_outage(*args):
        await put(*args)
        releaser.store.outage = True
        return await put(*args)

    releaser.store._put = put_then_outage
    assert (await releaser.owners.release(ENGINE)).is_err()
    releaser.store._put = put
    assert records(world)[0].free
    releaser.owners._apply(before)
    releaser.owners.request(ENGINE, "dc1")
    assert releaser.owners.right(ENGINE) is OrderRight.NONE
    await world.run(2)
    assert world.owner_of(ENGINE) is other
    releaser.store.outage = False
    await world.run(10)
    assert world.owner_of(ENGINE) is other
    assert other.owners.owned(ENGINE).fence == 2


async def test_late_event_does_not_end_ownership(world):
    # A VM takes a resource over. A watch event from before arrives afterwards and names
    # the former owner. The VM must not conclude that it lost the resource.
    world.add("vm-1")
    await world.run(5)
    before = world.objects.get("owners", shard_of(ENGINE))
    await world.kill(world.vms["vm-1"])
    successor = world.add("vm-2")
    await world.run(5)
    successor.owners._apply(before)
    assert world.owner_of(ENGINE) is successor


async def test_ended_owner_sees_its_old_record(world):
    # An owner was ended and has noticed. The record still names it, since nobody has
    # taken the resource over, and arrives again with another change of the object. The
    # VM may order nothing under it, not even when it is registered again.
    owner = world.add("vm-1")
    await world.run(5)
    other = world.add("vm-2")
    await world.run(3)
    other.owners.withdraw(ENGINE)
    ended = await other.leases.end("vm-1", owner.leases.incarnation, "refused")
    assert ended.is_ok()
    while owner.leases.state != "ended":
        await asyncio.sleep(0)
    written = await other.store.update("owners", shard_of(ENGINE), dict)
    owner.owners._apply(written.ok_value)
    assert owner.leases.state == "ended" and owner.owners.owned(ENGINE).fence == 1
    assert owner.owners.right(ENGINE) is OrderRight.NONE
    assert (await owner.leases.register()).is_ok()
    assert owner.leases.held()
    assert owner.owners.right(ENGINE) is OrderRight.NONE
    await world.run(10)
    assert owner.owners.owned(ENGINE).fence == 2


async def test_withdrawn_resource_is_released(world):
    vm = world.add("vm-1")
    await world.run(5)
    vm.owners.withdraw(ENGINE)
    await world.run(1)
    assert vm.owners.right(ENGINE) is OrderRight.NONE
    assert records(world)[0].free and records(world)[0].fence == 1


async def test_unknown_incarnation_is_checked_in_the_store(world):
    # A VM's view of the registrations lags behind its view of the records. An owner
    # that has just registered looks unregistered and must not be replaced.
    late, owner = world.add("vm-1"), world.add("vm-2")
    late.owners.withdraw(ENGINE)
    await world.run(5)
    assert world.owner_of(ENGINE) is owner
    del late.leases._registrations._seen[owner.leases.incarnation]
    late.owners.request(ENGINE, "dc1")
    former = FormerOwners(leases=late.leases, members=late.members)
    ended = await former.ended_among(records(world))
    assert ended.ok_value == set()
    await world.run(5)
    assert world.owner_of(ENGINE) is owner


def test_unproved_predecessors_are_kept():
    record = None
    for number in range(MAX_UNPROVED + 5):
        record = taken_record(record, f"vm-{number}", f"i{number}", stopped=False)
    assert record.fence == MAX_UNPROVED + 5
    assert len(record.unproved) == MAX_UNPROVED
    assert record.unproved[0] == UNLISTED_OWNERS and record.wait
    record = taken_record(record, "vm-x", "ix", stopped=True)
    assert record.wait and len(record.unproved) == MAX_UNPROVED
