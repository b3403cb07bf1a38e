"""Tests of how VMs record in the store where streams begin, and look it up."""

import asyncio

import pytest

from hawthornlead.gateway.records import StoredRecord
from hawthornlead.provenance import origin_ledgers, origin_sweeps
from hawthornlead.provenance.origin_ledgers import (
    BURST,
    ENSURE_TIMEOUT_S,
    MAX_STREAMS,
    VALID_S,
)
from hawthornlead.provenance.origin_records import (
    read_origin_record,
)
from hawthornlead.provenance.origin_sweeps import GONE_S

from .fakes_origin_records import (
    HOST,
    KEY,
    PATH,
    RESUMED_S,
    V1,
    V2,
    V3,
    RecordingWorld,
)

# No stream can be resumed for longer after it began.
LONGEST_STREAM_S = 60.0


@pytest.fixture
async def world():
    running = RecordingWorld(("a", "b", "c"))
    await running.advance(1.0)
    yield running
    running.stop()


@pytest.fixture
async def single():
    running = RecordingWorld(("a",))
    await running.advance(1.0)
    yield running
    running.stop()


async def test_a_stream_is_found_by_its_id_while_two_versions_serve(world):
    """Guards against refusing what is resumed in a release once its VMs are gone."""
    for vm in world.running:
        world.vms[vm].used.add(V2)
    await world.advance(1.0)
    assert await world.begin("a", "r1", V1)
    assert await world.begin("b", "r2", V2)
    await world.advance(0.5)
    for vm in ("a", "b", "c"):
        world.kill(vm)
    world.start("c")
    await world.advance(1.0)
    assert await world.find("c", "r1") == V1
    assert await world.find("c", "r2") == V2
    assert await world.find("c", "r3") is None


async def test_streams_of_before_a_release_are_recorded_as_it_begins(world):
    """Guards against refusing what began shortly before the second version came."""
    assert await world.begin("a", "r1", V1)
    assert world.store.objects["a"].spec["streams"] == []
    world.vms["a"].used.add(V2)
    await world.advance(1.0)
    world.kill("a")
    assert await world.find("b", "r1") == V1


async def test_no_stream_is_written_while_one_version_serves(world):
    """Guards against a write for each stream."""
    before = world.store.writes
    for number in range(40):
        assert await world.begin("a", f"r{number}", V1)
    await world.advance(5.0)
    assert world.store.writes == before


async def test_a_version_out_of_use_is_dropped_after_its_last_stream(world):
    """Guards against a release that is never over, and one that is over too soon."""
    world.vms["a"].used.add(V2)
    await world.advance(1.0)
    assert await world.find("b", "unknown") is None
    for vm in world.running:
        world.vms[vm].used = {V2}
    await world.advance(LONGEST_STREAM_S - 2.0)
    assert await world.find("b", "unknown") is None
    await world.advance(4.0)
    assert await world.find("b", "unknown") == V2


async def test_a_version_that_an_unanswered_write_dropped_is_recorded_again(world):
    """Guards against a version that comes back and that the store has forgotten."""
    world.vms["a"].used.add(V2)
    await world.advance(1.0)
    world.vms["a"].used = {V2}
    await world.advance(LONGEST_STREAM_S - 1.0)
    world.store.lost = 1
    for _ in range(60):
        await world.timers.advance(0.05)
        if not world.store.lost:
            break
    assert not world.store.lost
    while not await world.begin("a", "r1", V1):
        await world.advance(0.5)
    stated = read_origin_record(world.store.objects["a"]).routes[KEY]
    assert V1 in stated.began


async def test_a_version_waits_for_the_store_and_no_longer_than_it_may(world):
    """Guards against streams at a version that no record names."""
    world.store.away = True
    started_at = world.timers.now()
    assert not await world.begin("a", "r1", V2)
    assert world.timers.now() - started_at <= ENSURE_TIMEOUT_S + 0.1
    assert await world.begin("a", "r2", V1)
    world.store.away = False
    await world.advance(1.0)
    assert await world.begin("a", "r3", V2)


async def test_a_record_counts_only_while_it_is_renewed(world, monkeypatch):
    """Guards against a VM that relies on a record that was removed."""
    monkeypatch.setattr(origin_ledgers, "RENEW_S", 4.0)
    monkeypatch.setattr(origin_ledgers, "VALID_S", 10.0)
    before = world.store.objects["a"].revision
    await world.advance(5.0)
    assert world.store.objects["a"].revision > before
    world.store.away = True
    await world.advance(8.0)
    assert await world.begin("a", "r1", V1)
    await world.advance(3.0)
    assert not await world.begin("a", "r2", V1)


async def test_a_write_without_an_answer_is_repeated(world):
    """Guards against a VM that records nothing more after a lost or late write."""
    for fault in ("lost", "late"):
        setattr(world.store, fault, 1)
        world.vms["a"].used.add(V2 if fault == "lost" else V3)
        await world.advance(1.5)
        world.store.carry_out_late()
        await world.advance(1.5)
    assert await world.begin("a", "r1", V3)
    await world.advance(0.5)
    assert await world.find("b", "r1") == V3


async def test_the_history_of_a_vm_that_kept_no_record_is_incomplete(single):
    """Guards against streams of a former build that no record names."""
    assert await single.find("a", "") == V1
    single.kill("a")
    single.store.objects.clear()
    single.start("a")
    await single.advance(1.0)
    assert await single.find("a", "") is None
    await single.advance(LONGEST_STREAM_S + 1.0)
    assert await single.find("a", "") == V1


async def copied_before_a_version(world):
    """Return a copy of the store that lacks a version at which a stream has begun."""
    taken = world.store.copy()
    world.vms["a"].used.add(V2)
    await world.advance(0.5)
    assert await world.begin("a", "r1", V2)
    return taken


async def test_a_restored_store_proves_nothing_for_a_while(world):
    """Guards against records that the store has lost with a copy."""
    taken = await copied_before_a_version(world)
    world.kill("a")
    world.store.restore(taken)
    await world.advance(2.0)
    assert await world.find("b", "") is None
    world.start("a")
    await world.advance(2.0)
    assert await world.find("b", "") is None


async def test_a_history_is_incomplete_after_the_store_was_restored(single):
    """Guards against streams of a VM whose record the store has lost."""
    single.store.restore(single.store.copy())
    for _ in range(3):
        await single.advance(5.0)
        assert await single.find("a", "") is None
    await single.advance(LONGEST_STREAM_S)
    assert await single.find("a", "") == V1


async def test_vms_that_start_after_a_restored_copy_take_it_for_old(world):
    """Guards against a record of a copy that lacks the last version."""
    taken = await copied_before_a_version(world)
    vms = world.running
    for vm in vms:
        world.kill(vm)
    world.store.restore(taken)
    for vm in vms:
        world.start(vm)
    await world.advance(5.0)
    assert await world.find("b", "") is None


async def test_an_incomplete_history_stays_so_after_a_restart(single):
    """Guards against a restart that makes a history complete."""
    single.kill("a")
    single.store.objects.clear()
    single.start("a")
    await single.advance(1.0)
    single.kill("a")
    single.start("a")
    await single.advance(1.0)
    assert await single.find("a", "") is None


async def test_a_history_that_another_writer_spoilt_is_incomplete(world):
    """Guards against versions that were lost with the record's content."""
    world.kill("a")
    spoilt = world.store.objects["a"]._replace(spec={"vm": "a"})
    world.store.objects["a"] = spoilt
    assert await world.find("b", "") is None
    world.start("a")
    await world.advance(2.0)
    assert await world.find("b", "") is None


async def test_an_unreadable_record_proves_nothing(world):
    """Guards against versions that only an unreadable record names."""
    world.store.objects["z"] = StoredRecord("z", 3, {"vm": "z"}, None)
    assert await world.find("a", "") is None
    del world.store.objects["z"]
    assert await world.find("a", "") == V1


async def test_a_listing_that_began_before_the_caller_came_proves_nothing(world):
    """Guards against a version that was recorded after the listing was made."""
    world.store.held = asyncio.Event()
    earlier = asyncio.ensure_future(world.vms["b"].lookups.find(HOST, PATH, ""))
    await world.advance(0.2)
    held, world.store.held = world.store.held, None
    assert await world.begin("a", "r1", V2)
    later = asyncio.ensure_future(world.vms["b"].lookups.find(HOST, PATH, ""))
    await world.advance(0.2)
    held.set()
    await world.advance(0.5)
    assert earlier.result() == V1
    assert later.result() is None


async def test_records_of_vms_that_are_gone_are_removed(world, monkeypatch):
    """Guards against a version that lives on in the record of a removed VM."""
    assert GONE_S >= VALID_S + LONGEST_STREAM_S
    monkeypatch.setattr(origin_sweeps, "GONE_S", 10.0)
    world.kill("c")
    for _ in range(2):
        await world.vms["a"].sweeps.sweep()
        assert "c" in world.store.objects
        await world.advance(6.0)
    await world.vms["a"].sweeps.sweep()
    assert sorted(world.store.objects) == ["a", "b"]


async def test_a_record_that_changes_is_not_removed(world, monkeypatch):
    """Guards against removing the record of a VM that is only unseen by others."""
    monkeypatch.setattr(origin_sweeps, "GONE_S", 10.0)
    monkeypatch.setattr(origin_ledgers, "RENEW_S", 4.0)
    unseen = world.vms.pop("c")
    for _ in range(4):
        await world.vms["a"].sweeps.sweep()
        await world.advance(6.0)
    assert world.store.deleted == []
    unseen.stop()


async def test_writes_come_in_short_bursts_and_seldom_on_the_mean(world):
    """Guards against more writes than the store takes from a large fleet."""
    vm = world.vms["a"]
    vm.ledger._interval_s = lambda: 2.0
    vm.used.add(V2)
    await world.advance(10.0)
    before = world.store.writes
    for number in range(200):
        vm.ledger.add_stream(f"r{number}", KEY, V1, world.timers.now() + RESUMED_S)
        await world.advance(0.1)
        if number == 1:
            assert world.store.writes - before == 2
    assert world.store.writes - before <= 10 + BURST


async def test_the_streams_of_one_record_are_bounded(world):
    """Guards against an object that outgrows what the store takes."""
    ledger = world.vms["a"].ledger
    world.vms["a"].used.add(V2)
    await world.advance(1.0)
    for number in range(MAX_STREAMS + 5):
        ledger.add_stream(f"r{number}", KEY, V1, world.timers.now() + RESUMED_S)
    await world.advance(0.5)
    assert ledger.recorded_streams == MAX_STREAMS
    await world.advance(RESUMED_S)
    assert await world.begin("a", "last", V1)
    await world.advance(0.5)
    assert ledger.recorded_streams == 1
