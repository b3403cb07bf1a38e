"""Removals whose events bear the revision that their object had last."""

import pytest

from hawthornlead.clocks import HybridClock
from hawthornlead.eras.removal_dates import dated_removals
from hawthornlead.events import EventRing
from hawthornlead.gateway.kind_records import KindRecords
from hawthornlead.gateway.records import StoredRecord, StoreEvent
from hawthornlead.timers import TimerService


def came(name, revision):
    return StoreEvent(StoredRecord(name, revision, {"n": revision}, None), False)


def gone(name, revision):
    return StoreEvent(StoredRecord(name, revision, {}, None), True)


@pytest.fixture
def make_records():
    """Return a maker of records, and of the set of names that they hold."""

    def make():
        held = set()
        records = KindRecords(
            "things",
            events=EventRing("a", HybridClock(TimerService())),
            on_changed=lambda record: held.add(record.name),
            on_deleted=held.discard,
            on_unreadable=held.discard,
        )
        return records, held

    return make


@pytest.mark.parametrize("last_revision", [5, 12])
def test_a_vm_ahead_of_the_watch_still_drops_what_is_gone(make_records, last_revision):
    """Guards against an engine that is kept for good at a VM that two relays inform.

    The other relay has confirmed revision 15; the engine left at 18.
    """
    relay, _ = make_records()
    relay.apply_listing(10, (came("e1", 5).record,))
    events = (gone("e1", 5),)
    if last_revision > 10:
        events = (came("e1", last_revision), gone("e1", last_revision))
    told = dated_removals(events, 10, 20, relay.records)
    vm, held = make_records()
    vm.apply_listing(10, (came("e1", 5).record,))
    vm.apply_changes(10, 15, tuple(e for e in events if not e.deleted))
    assert held == {"e1"}
    vm.apply_changes(10, 20, told)
    assert not held


def test_an_object_that_came_again_stays(make_records):
    """Guards against a removal that is dated after the object's next life."""
    records, held = make_records()
    records.apply_listing(10, (came("e1", 5).record,))
    events = (gone("e1", 5), came("e1", 14), came("e2", 16))
    records.apply_changes(10, 20, dated_removals(events, 10, 20, records.records))
    assert held == {"e1", "e2"}


def test_a_removal_with_a_revision_of_its_own_keeps_it(make_records):
    records, _ = make_records()
    records.apply_listing(10, (came("e1", 5).record,))
    events = (gone("e1", 18),)
    assert dated_removals(events, 10, 20, records.records) == events
