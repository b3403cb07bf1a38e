"""Tests of a VM that starts while no other VM has anything for it to fetch."""

import asyncio
from random import Random

import pytest

from hawthornlead.clocks import HybridClock
from hawthornlead.events import EventRing
from hawthornlead.gateway.kind_records import KindRecords
from hawthornlead.gateway.records import StoredRecord, StoreEvent
from hawthornlead.gateway.store_clients import StoreClient
from hawthornlead.gateway.store_retries import StoreRetries
from hawthornlead.gateway.watchers import KindWatcher
from hawthornlead.timers import TimerService

from .standins.platform_store import PlatformStore

KIND = "config"


class HeadsThatKnowNothing:
    """Relays of a large fleet whose VMs have all just started."""

    has_source = True
    large = True
    is_relay = False

    def __init__(self):
        self.confirmed = False

    def follow(self, kind, known, fresh):
        self.known = known

    def is_relayed(self, kind):
        return self.confirmed

    def change_source(self, kind):
        return "own watch"

    async def fetch_at_start(self, kind):
        return False


@pytest.fixture
async def store():
    store = PlatformStore()
    store.start()
    yield store
    await store.stop()


def watcher(store, stale_start, settlement=None):
    timers = TimerService()
    applied = []
    relays = HeadsThatKnowNothing()
    made = KindWatcher(
        KIND,
        client=StoreClient(address=store.address, timers=timers),
        timers=timers,
        rng=Random(1),
        events=EventRing("edge-1", HybridClock(timers)),
        relays=relays,
        retries=StoreRetries(timers),
        on_changed=lambda record: applied.append(record.name),
        on_deleted=applied.remove,
        fetched=True,
        stale_start=stale_start,
        settlement=settlement,
    )
    return made, relays, applied


class Unsettled:
    """An era of which it isn't known that it is settled."""

    async def ensure(self):
        return False


async def test_a_stale_listing_is_not_used_while_the_era_may_be_new(store):
    """Guards against a VM that starts by a listing of the era before a drill."""
    store.write(KIND, "main", {"version": 3})
    made, relays, applied = watcher(store, stale_start=True, settlement=Unsettled())
    made.start()
    await asyncio.sleep(0.4)
    assert applied == []
    made.stop()


async def test_a_vm_serves_before_a_head_knows_anything(store):
    """Guards against a fleet that refuses all requests until its heads are elected."""
    store.write(KIND, "main", {"version": 3})
    made, relays, applied = watcher(store, stale_start=True)
    made.start()
    await asyncio.sleep(0.4)
    assert made.listed
    assert applied == ["main"]
    assert not made.current
    relays.confirmed = True
    assert made.current
    made.stop()


async def test_without_the_setting_a_vm_waits_for_its_head(store):
    """Guards against a change for deployments that don't ask for fast starts."""
    store.write(KIND, "main", {"version": 3})
    made, _, applied = watcher(store, stale_start=False)
    made.start()
    await asyncio.sleep(0.4)
    assert not made.listed and not applied
    made.stop()


async def test_a_store_that_answers_nothing_leaves_the_start_as_it_was(store):
    """Guards against a VM that counts a failed listing as an empty one."""
    await store.stop()
    made, _, applied = watcher(store, stale_start=True)
    made.start()
    await asyncio.sleep(0.4)
    assert not made.listed and not applied
    made.stop()


async def test_a_silent_store_does_not_delay_a_start_where_a_head_knows(store):
    """Guards against a VM that refuses all requests for the time-out of a call."""
    store.fault = "silent"
    made, relays, _ = watcher(store, stale_start=True)

    async def fetch_at_start(kind):
        return True

    relays.fetch_at_start = fetch_at_start
    made.start()
    await asyncio.sleep(0.6)
    assert made.listed
    made.stop()


def test_an_older_listing_hides_no_later_change_from_the_followers_of_a_relay():
    """A relay sends changes to a starting VM before its stale listing arrives.

    As a relay that VM would confirm that nothing changed since the listing, and VMs
    that lack a later change would count as current.
    """
    events = EventRing("edge-1", HybridClock(TimerService()))
    known = KindRecords(
        KIND, events=events, on_changed=lambda record: None, on_deleted=print
    )
    former = StoredRecord("main", 5, {"version": 1}, None)
    changed = StoredRecord("main", 15, {"version": 2}, None)
    known.apply_listing(10, [former])
    assert known.apply_changes(10, 20, (StoreEvent(changed, False),))
    assert (known.until, known.quiet_since) == (20, 15)
    known.apply_listing(12, [former])
    assert (known.until, known.quiet_since) == (20, 15)
    assert known.records["main"] == changed
    # The objects that existed at an older revision, as from a relay.
    assert known.apply_changes(10, 12, (), names=("main",))
    assert (known.until, known.quiet_since) == (20, 15)
