"""Tests of VM leases: batched renewals, safe termination, no revival."""

import pytest

from hawthornlead.errors import ErrorKind
from hawthornlead.messages import RenewLease
from hawthornlead.ownership.leases import clock_safe_wait_s
from hawthornlead.ownership.renewal_objects import with_entered, with_removed
from hawthornlead.stores.stores import WatchEvent

from .fakes_vms import World


@pytest.fixture
async def world():
    made = World(LEASE_S=6.0, LEASE_RENEW_S=1.5, ORDER_S=4.0, WATCH_SILENT_S=4.0)
    yield made
    await made.stop()


def states(world):
    return [vm.leases.state for vm in world.vms.values()]


async def test_registers_and_holds(world):
    vm = world.add("vm-1")
    assert vm.leases.state == "new" and not vm.leases.held()
    await world.run(20)
    assert vm.leases.state == "held" and vm.leases.held(3.0)
    assert not vm.leases.held(6.0)
    (registration,) = vm.leases.registered()
    assert registration.vm == "vm-1" and registration.state == "live"


async def writes_of(vms, seconds=30):
    world = World(WATCH_SILENT_S=4.0)
    for number in range(vms):
        world.add(f"vm-{number}")
    await world.run(5)
    before = world.objects.writes
    await world.run(seconds)
    assert set(states(world)) == {"held"}
    await world.stop()
    return world.objects.writes - before


async def test_writes_do_not_grow_with_vms():
    few, many = await writes_of(3), await writes_of(12)
    assert many <= few * 1.25
    assert many <= 30 / 0.75 + 1


async def test_more_vms_than_one_object_holds(monkeypatch, world):
    monkeypatch.setattr("hawthornlead.ownership.renewal_objects.VMS_PER_SHARD", 2)
    for number in range(5):
        world.add(f"vm-{number}")
    await world.run(15)
    assert set(states(world)) == {"held"}
    listed = world.objects.list("leases")
    assert sorted(item.name for item in listed.items) == ["dc1-0", "dc1-1", "dc1-2"]


async def test_renewal_took_effect_and_reply_lost(world):
    # The store applies a registration and later renewals, but their replies are lost.
    # The VM must neither register twice nor conclude that it lost its lease.
    vm = world.add("vm-1")
    vm.store.lose_next_reply = 1
    await world.run(3)
    for _ in range(5):
        vm.store.lose_next_reply = 1
        await world.run(2)
        assert vm.leases.state == "held"
    assert len(vm.leases.registered()) == 1


async def test_aggregator_dies(world):
    # The VM that writes the renewals of the others dies. Its own lease expires, and
    # theirs must not.
    vms = [world.add(f"vm-{number}") for number in range(4)]
    await world.run(5)
    aggregator = world.vms[vms[0].leases._aggregator()]
    await world.kill(aggregator)
    rest = [vm for vm in vms if vm is not aggregator]
    for _ in range(20):
        await world.run(1)
        assert all(vm.leases.held() for vm in rest)
    gone = rest[0].leases.registration_of(aggregator.leases.incarnation)
    assert gone.state == "ended" and gone.proof == "refused"


@pytest.mark.parametrize("trouble", ["frozen", "store cut"])
async def test_aggregator_cannot_renew(world, trouble):
    # The aggregator is frozen, or it alone is cut off from the store. The other VMs
    # must renew by themselves before their leases expire.
    vms = [world.add(f"vm-{number}") for number in range(4)]
    await world.run(5)
    aggregator = world.vms[vms[0].leases._aggregator()]
    if trouble == "frozen":
        # Its peers still see it as live, as they do until they notice its silence.
        aggregator.gate.clear()
    else:
        aggregator.store.outage = True
    for _ in range(20):
        await world.run(1)
        assert all(vm.leases.held() for vm in vms if vm is not aggregator)
    assert not aggregator.leases.held()
    aggregator.gate.set()
    await world.run(0.1)


async def test_silent_vm_is_ended_only_after_its_lease():
    # Silence of a frozen VM is no proof. It must be ended only after its lease has
    # expired by its own clock, which is here the slowest allowed, while the observer's
    # is the fastest allowed.
    world = World(WATCH_SILENT_S=4.0, CLOCK_RATE_ERROR=0.2)
    frozen = world.add("vm-1", rate=0.8)
    other = world.add("vm-2", rate=1.2)
    await world.run(5)
    incarnation = frozen.leases.incarnation
    early = await other.leases.end("vm-1", incarnation, None)
    assert early.err_value.kind is ErrorKind.NOT_READY
    assert 0 < early.err_value.retry_after_s <= clock_safe_wait_s(6.0, 0.2)
    world.freeze(frozen)
    ended = False
    for _ in range(150):
        await world.run(0.1)
        ended = other.leases.registration_of(incarnation).state == "ended"
        assert not (ended and frozen.leases.held())
    assert ended
    assert other.leases.registration_of(incarnation).proof == "silent"
    # A registration that ended without proof must be kept until there is proof.
    await world.run(6 * 20 * 1.3)
    assert other.leases.registration_of(incarnation).proof == "silent"
    world.killed.add(incarnation)
    await world.run(2)
    assert other.leases.registration_of(incarnation).proof == "refused"
    await world.stop()


async def test_ended_vm_wakes_up(world):
    # A frozen VM is ended by another and wakes up. It must notice that, never renew
    # the ended incarnation, and register as a new one.
    frozen, other = world.add("vm-1"), world.add("vm-2")
    await world.run(5)
    old = frozen.leases.incarnation
    noticed = []
    frozen.leases.on_ended(lambda: noticed.append(frozen.leases.state))
    world.freeze(frozen)
    await world.run(15)
    assert not frozen.leases.held()
    renewed = await other.leases._batcher.write("dc1-0", {old: 10**6})
    assert old not in renewed.ok_value.value["counters"]
    world.thaw(frozen)
    await world.run(3)
    assert noticed == ["ended"]
    assert frozen.leases.state == "held" and frozen.leases.incarnation != old
    assert other.leases.registration_of(old).proof == "silent"
    # It declares the old incarnation stopped when no order of it can run any more.
    await world.run(3)
    assert other.leases.registration_of(old).proof == "released"


async def test_end_fails_after_a_newer_renewal(world):
    # An observer that was cut off has not seen newer renewals and concludes that the
    # lease has expired. Its end must fail because the store has another counter.
    holder, observer = world.add("vm-1"), world.add("vm-2")
    await world.run(3)
    incarnation = holder.leases.incarnation
    seen = observer.leases._counters.seen(incarnation)
    await world.run(20)
    stale = seen._replace(since=seen.since - 100)
    observer.leases._counters._seen[incarnation] = stale
    ended = await observer.leases.end("vm-1", incarnation, None)
    assert ended.err_value.kind is ErrorKind.VERSION_CONFLICT
    await world.run(5)
    assert holder.leases.state == "held"


async def test_slow_answer_does_not_lengthen_the_lease(world):
    # The store takes longer to answer a renewal than the lease lasts. If the lease
    # counted from the answer, the VM would hold a lease that others may already end.
    vm = world.add("vm-1")
    await world.run(3)
    vm.store.slow_s = 4.0
    await world.run(7)
    for _ in range(200):
        await world.run(0.1)
        assert not vm.leases.held()
    vm.store.slow_s = 0.0
    await world.run(12)
    assert vm.leases.state == "held"


async def test_late_renewal_of_a_former_incarnation(world):
    # The answer to a renewal arrives after its incarnation was ended or replaced. It
    # must not extend the lease.
    vm = world.add("vm-1")
    await world.run(3)
    vm.leases._extend("vm-1.former", vm.timers.now() + 100)
    assert not vm.leases.held(50)
    vm.leases._mark_ended("test")
    vm.leases._extend(vm.leases.incarnation, vm.timers.now() + 100)
    assert vm.leases._valid_until < vm.timers.now() + 50


async def test_late_events_change_nothing(world):
    # Watch events from before one VM registered, and before another was ended, arrive
    # afterwards. The first must not look ended, nor the second live again.
    gone = world.add("vm-1")
    await world.run(3)
    objects = world.objects
    old = [objects.get("leases", "dc1-0"), objects.get("renewals-dc1", "dc1-0")]
    vm = world.add("vm-2")
    await world.kill(gone)
    await world.run(3)
    vm.leases._on_registrations(WatchEvent("put", old[0]))
    vm.leases._on_counters(WatchEvent("put", old[1]))
    assert vm.leases.state == "held"
    assert vm.leases.registration_of(gone.leases.incarnation).state == "ended"
    assert vm.leases._counters.seen(gone.leases.incarnation) is None
    assert vm.leases._counters.seen(vm.leases.incarnation) is not None


async def test_store_outage_then_back(world):
    # The store is down for a minute and all leases lapse. No VM may be ended, and
    # afterwards all must hold their leases again, as the same incarnations.
    vms = [world.add(f"vm-{number}") for number in range(3)]
    await world.run(5)
    before = [vm.leases.incarnation for vm in vms]
    world.objects.outage = True
    await world.run(60)
    assert states(world) == ["lapsed"] * 3
    world.objects.outage = False
    await world.run(5)
    assert states(world) == ["held"] * 3
    assert [vm.leases.incarnation for vm in vms] == before


async def test_store_back_for_one_vm_first(world):
    # After an outage one VM reaches the store some seconds before the others. No
    # counter has changed meanwhile, but it must not end the others for that.
    first, *others = [world.add(f"vm-{number}") for number in range(3)]
    await world.run(5)
    world.objects.outage = True
    await world.run(30)
    for vm in others:
        vm.store.outage = True
        world.cuts.add(frozenset((first.name, vm.name)))
    world.objects.outage = False
    await world.run(4)
    assert first.leases.state == "held"
    for vm in others:
        vm.store.outage = False
    await world.run(10)
    assert states(world) == ["held"] * 3
    assert {r.state for r in first.leases.registered()} == {"live"}


async def test_release_and_replacement(world):
    # A VM shuts down gracefully, and another of the same name replaces it.
    old, other = world.add("vm-1"), world.add("vm-2")
    await world.run(5)
    assert (await old.leases.release()).is_ok()
    assert old.leases.state == "ended" and not old.leases.held()
    await old.stop()
    new = world.add("vm-1")
    await world.run(5)
    known = {r.incarnation: r for r in other.leases.registered()}
    assert known[old.leases.incarnation].proof == "released"
    assert known[new.leases.incarnation].state == "live"
    await world.run(6 * 20 + 10)
    assert (
        old.leases.incarnation
        not in world.objects.get("leases", "dc1-0").value["entries"]
    )


async def test_renewal_of_an_unknown_incarnation_is_not_found(world):
    vm = world.add("vm-1")
    await world.run(3)
    reply = await vm.leases._batcher.handle(None, RenewLease("x", "x.1", 1))
    assert reply.kind == ErrorKind.NOT_FOUND.value


async def test_half_written_end_is_completed(world):
    # The VM that ends another's lease dies after the first of its two writes. A third
    # must do the second write, or the resources stay without an owner for ever.
    gone, first, second = (world.add(f"vm-{number}") for number in range(3))
    await world.run(8)
    incarnation = gone.leases.incarnation
    world.proofs = False
    await world.kill(gone)
    removed = await first.store.update(
        "renewals-dc1",
        "dc1-0",
        lambda value: with_removed(value, incarnation, None),
    )
    assert removed.is_ok()
    await world.kill(first)
    await world.run(15)
    assert second.leases.registration_of(incarnation).state == "ended"


async def test_vm_dies_before_it_is_registered(world):
    # A VM enters its lease and dies before it registers, so no other VM knows it. Its
    # lease must still be removed some time later.
    vm = world.add("vm-1")
    await world.run(3)
    await vm.store.update(
        "renewals-dc1", "dc1-0", lambda value: with_entered(value, "vm-x.1", 1)
    )
    await world.run(6 * 20 + 5)
    counters = world.objects.get("renewals-dc1", "dc1-0").value["counters"]
    assert set(counters) == {vm.leases.incarnation}


async def test_whole_data_centre_lost(world):
    # Every VM of a data centre dies without proof. VMs of another data centre must end
    # their leases, though they do not watch that data centre's renewals.
    lost = [world.add("vm-1", "dc2"), world.add("vm-2", "dc2")]
    rest = [world.add("vm-3"), world.add("vm-4")]
    await world.run(8)
    world.proofs = False
    for vm in lost:
        await world.kill(vm)
    await world.run(20)
    for vm in lost:
        registration = rest[0].leases.registration_of(vm.leases.incarnation)
        assert registration.state == "ended" and registration.proof == "silent"
