"""Tests of following the store's objects, alone and through relays."""

import asyncio
import gc
from random import Random

import pytest

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventRing
from hawthornlead.gateway.memberships import Memberships
from hawthornlead.gateway.records import StoredRecord, StoreEvent, VmRecord
from hawthornlead.gateway.store_clients import StoreClient
from hawthornlead.gateway.store_retries import StoreRetries
from hawthornlead.gateway.vm_leases import LEASES_KIND, VmLease
from hawthornlead.gateway.watch_relays import WatchRelays
from hawthornlead.gateway.watchers import KindWatcher
from hawthornlead.messages import Heartbeat
from hawthornlead.messages.gateways import (
    RelayedChanges,
    RelayedKind,
    RelayedRecord,
    RelayHeartbeat,
)
from hawthornlead.timers import TimerService

from .fakes_mesh import LocalNetwork
from .gateways import Deployment
from .standins.platform_store import PlatformStore


class Follower:
    """One VM that follows a kind."""

    def __init__(
        self, network, timers, store, name, effective_content=lambda record: record
    ):
        self.mesh = network.join(name)
        self.mesh.heartbeat_source = lambda: Heartbeat(0, 0, False, 0, 1, 0.0)
        events = EventRing(name, HybridClock(timers))
        self.client = StoreClient(address=store.address, timers=timers)
        record = VmRecord(name, f"{name}-1", "gijon", "x:1", "x:2", False)
        memberships = Memberships(
            record=record,
            client=self.client,
            mesh=self.mesh,
            timers=timers,
            rng=Random(1),
            events=events,
        )
        self.relays = WatchRelays(
            memberships=memberships,
            mesh=self.mesh,
            timers=timers,
            client=self.client,
            events=events,
        )
        self.seen = {}
        self.changes = []
        self.watcher = KindWatcher(
            "things",
            client=self.client,
            timers=timers,
            rng=Random(1),
            events=events,
            relays=self.relays,
            retries=StoreRetries(timers),
            on_changed=self._take,
            on_deleted=lambda name: self.seen.pop(name),
            effective_content=effective_content,
        )

    def start(self):
        self.relays.start()
        self.watcher.start()

    def stop(self):
        self.watcher.stop()
        self.client.close()

    def _take(self, record: StoredRecord):
        self.seen[record.name] = record.spec["n"]
        self.changes.append((record.name, record.spec["n"]))


@pytest.fixture
async def store():
    """A running stand-in of the store."""
    running = PlatformStore()
    running.start()
    yield running
    await running.stop()


async def until(condition):
    """Wait for a condition."""
    await Deployment.until(None, condition)


async def test_changes_are_followed_over_pages_and_lost_history(store):
    timers = TimerService()
    for number in range(5):
        store.write("things", f"t{number}", {"n": number})
    follower = Follower(LocalNetwork(timers), timers, store, "a")
    follower.start()
    await until(lambda: len(follower.seen) == 5)
    store.write("things", "t1", {"n": 11})
    await until(lambda: follower.seen["t1"] == 11)
    store.remove("things", "t2")
    store.forget_history()
    store.write("things", "t3", {"n": 33})
    await until(lambda: follower.seen.get("t3") == 33 and "t2" not in follower.seen)
    follower.stop()


async def test_a_vm_that_stops_leaves_no_error_in_its_log(caplog):
    """An operator finds errors of the program in the log of each VM that stopped well.

    The watches that were waiting were cancelled, and the end of their calls was then
    taken for a failure that nobody had seen to.
    """
    timers = TimerService()
    store = PlatformStore()
    store.start()
    store.write("things", "t1", {"n": 1})
    follower = Follower(LocalNetwork(timers), timers, store, "a")
    follower.start()
    await until(lambda: ("GET", "things") in store.calls[1:])
    follower.stop()
    await asyncio.sleep(0.05)
    await store.stop()
    await asyncio.sleep(0.05)
    gc.collect()
    assert caplog.records == []


async def test_an_old_change_never_wins(store):
    timers = TimerService()
    follower = Follower(LocalNetwork(timers), timers, store, "a")
    known = follower.watcher._known
    newer = StoredRecord("t", 9, {"n": 9}, None)
    older = StoredRecord("t", 5, {"n": 5}, None)
    gone = StoredRecord("t", 7, None, None)
    for event in (newer, False), (older, False), (gone, True):
        # None of these says that nothing is missing before it.
        assert not known.apply_changes(4, 9, (StoreEvent(*event),))
        assert follower.seen == {"t": 9}
    assert known.apply_changes(-1, 9, (StoreEvent(newer, False),))
    for event in (older, False), (gone, True):
        assert known.apply_changes(4, 9, (StoreEvent(*event),))
    known.apply_listing(7, ())
    assert follower.seen == {"t": 9}
    follower.stop()


async def test_changes_without_effective_content_are_not_reported(store):
    timers = TimerService()
    network = LocalNetwork(timers)
    follower = Follower(network, timers, store, "a", lambda r: r.spec["n"] // 10)
    for revision, number in enumerate((1, 2, 3, 14, 15), start=1):
        record = StoredRecord("t", revision, {"n": number}, None)
        events = (StoreEvent(record, False),)
        follower.watcher._known.apply_changes(revision - 1, revision, events)
    assert follower.changes == [("t", 1), ("t", 14)]
    follower.stop()


async def test_only_relays_watch_and_all_receive_changes(store):
    timers = TimerService()
    network = LocalNetwork(timers)
    store.write("things", "t", {"n": 1})
    followers = [Follower(network, timers, store, name) for name in "abcdef"]
    for follower in followers:
        follower.start()
    await until(lambda: all(f.seen == {"t": 1} for f in followers))
    told = [f for f in followers if not f.relays.is_relay]
    assert len(told) == len(followers) - 2
    await until(lambda: all(f.relays.is_relayed("things") for f in told))
    await until(lambda: not any(f.watcher._current for f in told))
    store.write("things", "t", {"n": 2})
    store.write("things", "u", {"n": 3})
    store.remove("things", "u")
    await until(lambda: all(f.seen == {"t": 2} for f in followers))
    for follower in followers:
        follower.stop()


async def test_a_missed_change_is_detected_by_its_revision(store):
    """Guards against a VM that serves an old configuration after a lost message."""
    timers = TimerService()
    network = LocalNetwork(timers)
    a = Follower(network, timers, store, "a")
    b = Follower(network, timers, store, "b")
    sender = b.mesh.myself
    await a.relays._on_heartbeat(sender, RelayHeartbeat((RelayedKind("things", 4, 6),)))
    assert not a.relays.is_relayed("things")
    a.watcher._known.apply_listing(5, ())
    assert a.relays.is_relayed("things")
    record = RelayedRecord("t", 7, '[{"n": 7}, null]')
    await a.relays._on_changes(sender, RelayedChanges("things", 4, 7, (record,)))
    await a.relays._on_heartbeat(sender, RelayHeartbeat((RelayedKind("things", 7, 8),)))
    assert a.relays.is_relayed("things")
    await a.relays._on_heartbeat(sender, RelayHeartbeat((RelayedKind("things", 9, 9),)))
    assert not a.relays.is_relayed("things")
    # Changes after a gap are applied, but do not close the gap.
    later = RelayedRecord("t", 11, '[{"n": 11}, null]')
    await a.relays._on_changes(sender, RelayedChanges("things", 9, 11, (later,)))
    assert a.seen == {"t": 11}
    assert not a.relays.is_relayed("things")
    a.stop()
    b.stop()


async def test_without_relays_each_vm_watches_for_itself(store):
    timers = TimerService()
    network = LocalNetwork(timers)
    followers = [Follower(network, timers, store, name) for name in "abcd"]
    for follower in followers:
        follower.start()
    told = [f for f in followers if not f.relays.is_relay]
    await until(lambda: all(f.relays.is_relayed("things") for f in told))
    for relay in (f for f in followers if f.relays.is_relay):
        for other in told:
            network.silence(relay.mesh.vm, other.mesh.vm)
    await until(lambda: not any(f.relays.is_relayed("things") for f in told))
    store.write("things", "t", {"n": 5})
    await until(lambda: all(f.seen == {"t": 5} for f in told))
    for follower in followers:
        follower.stop()


async def test_a_vm_that_starts_while_the_store_is_down_fetches_from_another(store):
    """A restarted VM refuses all requests for as long as the store is away.

    Its peers served on, with all that it lacked: configuration, targets, versions.
    """
    timers = TimerService()
    network = LocalNetwork(timers)
    for number in range(4):
        store.write("things", f"t{number}", {"n": number})
    old = Follower(network, timers, store, "a")
    old.start()
    await until(lambda: len(old.seen) == 4)
    store.fault = "busy"
    new = Follower(network, timers, store, "b")
    new.start()
    await until(lambda: len(new.seen) == 4)
    assert new.watcher.listed
    store.fault = ""
    store.write("things", "t1", {"n": 11})
    await until(lambda: new.seen["t1"] == 11 and old.seen["t1"] == 11)
    old.stop()
    new.stop()


async def test_a_change_between_two_pages_of_a_listing_is_reported(store):
    """Guards against a VM that misses a change made while it lists the objects.

    The change is to an object of the first page, after that page was read. A watch from
    the revision of the last page would not return it.
    """
    timers = TimerService()
    for number in range(5):
        store.write("things", f"t{number}", {"n": number})
    read = store._read

    def read_and_change(kind, name, query):
        answer = read(kind, name, query)
        if query.get("after") == "t1":
            store.write("things", "t0", {"n": 10})
            store.remove("things", "t1")
            store.write("things", "t4", {"n": 14})
        return answer

    store._read = read_and_change
    follower = Follower(LocalNetwork(timers), timers, store, "a")
    follower.start()
    await until(lambda: follower.seen == {"t0": 10, "t2": 2, "t3": 3, "t4": 14})
    follower.stop()


async def test_a_relay_that_is_turned_away_is_not_trusted(store):
    """Guards against requests to an engine for 5 s after it stated that it leaves.

    The store silently stops answering the two relays. Their open watches look healthy
    until their time-out, and until then the two would confirm that nothing changed.
    """
    timers = TimerService()
    network = LocalNetwork(timers)
    store.write("things", "t", {"n": 1})
    followers = [Follower(network, timers, store, name) for name in "abcd"]
    for follower in followers:
        follower.start()
    told = [f for f in followers if not f.relays.is_relay]
    await until(lambda: all(f.relays.is_relayed("things") for f in told))

    async def unanswered(*args, **kwargs):
        await asyncio.sleep(3600)

    relays = [f for f in followers if f.relays.is_relay]
    for relay in relays:
        relay.client._client.fetch = unanswered
    await until(lambda: not any(f.relays.is_relayed("things") for f in told))
    assert all(relay.watcher._is_fresh() for relay in relays)
    store.write("things", "t", {"n": 2})
    await until(lambda: all(f.seen == {"t": 2} for f in told))
    for follower in followers:
        follower.stop()


async def test_a_heartbeat_without_a_kind_withdraws_its_confirmation(store):
    timers = TimerService()
    network = LocalNetwork(timers)
    a = Follower(network, timers, store, "a")
    b = Follower(network, timers, store, "b")
    sender = b.mesh.myself
    a.watcher._known.apply_listing(4, ())
    await a.relays._on_heartbeat(sender, RelayHeartbeat((RelayedKind("things", 4, 4),)))
    assert a.relays.is_relayed("things")
    await a.relays._on_heartbeat(sender, RelayHeartbeat(()))
    assert not a.relays.is_relayed("things")
    await a.relays._on_heartbeat(sender, RelayHeartbeat((RelayedKind("things", 4, 4),)))
    assert a.relays.is_relayed("things")
    a.stop()
    b.stop()


async def test_a_store_that_turns_this_vm_away_has_not_answered_it(store):
    timers = TimerService()
    follower = Follower(LocalNetwork(timers), timers, store, "a")
    await follower.client.probe()
    answered_at = follower.client.answered_at
    store.fault = "busy"
    await follower.client.probe()
    assert follower.client.answered_at == answered_at
    store.fault = ""
    await follower.client.probe()
    assert follower.client.answered_at > answered_at
    follower.stop()


async def test_an_older_change_does_not_bring_back_what_was_removed(store):
    """A VM goes on sending requests to an engine that is gone.

    Two VMs pass on what they see. One told of the engine's removal; a change of
    before that, told late by the other, brought the entry back until the next listing.
    """
    timers = TimerService()
    follower = Follower(LocalNetwork(timers), timers, store, "a")
    known = follower.watcher._known

    def take(revision, deleted):
        record = StoredRecord("t", revision, {"n": revision}, None)
        # From beyond a gap: by the revisions alone nothing is known to be old.
        known.apply_changes(4, revision, (StoreEvent(record, deleted),))

    take(5, deleted=False)
    take(9, deleted=True)
    assert follower.seen == {}
    take(7, deleted=False)
    assert follower.seen == {}
    take(11, deleted=False)
    assert follower.seen == {"t": 11}
    follower.stop()


async def test_a_vm_whose_lease_object_went_gets_its_lease_back(store):
    """A VM orders no engine any more until it is restarted.

    Its lease object was removed by another writer. The store answered each renewal
    that there is no such object, and the VM took that for a store that is away.
    """
    timers = TimerService()
    follower = Follower(LocalNetwork(timers), timers, store, "a")
    lease = VmLease(
        vm="a",
        incarnation="a-1",
        client=follower.client,
        timers=timers,
        rng=Random(1),
        events=EventRing("a", HybridClock(timers)),
    )
    assert await lease._renew()
    store.remove(LEASES_KIND, "a")
    assert [await lease._renew() for _ in range(2)] == [False, True]
    assert lease.holds()
    follower.stop()
