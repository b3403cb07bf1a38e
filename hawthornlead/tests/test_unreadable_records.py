"""Tests of objects that become unreadable, watched in the store or relayed."""

import asyncio

import pytest

from hawthornlead.gateway.records import StoreEvent
from hawthornlead.gateway.vm_registrations import VMS_KIND
from hawthornlead.messages.gateways import RelayedChanges, RelayedRecord
from hawthornlead.platform.objects import (
    CONFIGURATION_KIND,
    TARGETS_KIND,
    VERSIONS_KIND,
)

from .bad_entries import target_spec
from .following_vms import BAD_BYTES, KINDS, Site
from .gateways import MODEL


@pytest.fixture
async def site():
    """A site without VMs yet."""
    running = Site()
    yield running
    await running.stop()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("bad", ["a text", ["a list"], {"service": 5}, {"x": "\ud800"}])
async def test_the_watch_continues_after_an_unreadable_object(site, kind, bad):
    """An object that can't be decoded must not end the watch of its kind.

    If the error ends the task that watches the kind, the VM learns of no more changes
    of it, and nothing is logged.
    """
    vm = site.add("a")
    site.write_good(kind, "n1")
    await site.agree()
    site.write_bad(kind, "n1", bad)
    site.write_good(kind, "n2")
    await site.agree()
    site.write_good(kind, "n1")
    await site.agree()
    assert len(vm.unusable(kind)) == vm.counted(kind) == 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("raw", BAD_BYTES, ids=lambda raw: repr(raw[:20]))
async def test_a_listing_is_applied_despite_an_unreadable_object(site, kind, raw):
    """One unreadable object must not make a listing unusable.

    If the page with the object is refused as a whole, a VM that starts learns nothing
    of the kind for as long as the object stays.
    """
    site.write_raw(kind, "n1", raw)
    if kind != CONFIGURATION_KIND:
        site.write_bad(kind, "n2", {"service": 5})
        site.write_good(kind, "n3")
    vm = site.add("a")
    await site.until(lambda: vm.watchers[kind].listed)
    await site.agree()
    site.write_good(kind, "n1")
    await site.agree()


async def test_an_entry_that_becomes_unreadable_is_removed_at_once(site):
    """No request may go to an engine whose entry another writer has overwritten.

    The former entry must not stay in force. It must also not be kept for some seconds
    after a store outage, as entries are that lapsed during the outage.
    """
    vm = site.add("a")
    site.write_good(TARGETS_KIND, "n1")
    site.write_good(TARGETS_KIND, "n2")
    await site.agree()
    watcher = vm.watchers[TARGETS_KIND]
    site.store.fault = "busy"
    site.store.forget_history()
    await site.until(lambda: not watcher.answering)
    site.store.fault = ""
    site.write_bad(TARGETS_KIND, "n1", target_spec(state="gone"))
    await site.until(lambda: watcher.answering and watcher._current)
    assert vm.known() == site.expected
    assert [incarnation.target for incarnation in vm.gone] == ["n1"]


async def test_an_unreadable_entry_that_lapsed_does_not_come_back(site):
    vm = site.add("a")
    site.write_good(TARGETS_KIND, "n1")
    await site.agree()
    vm.targets._lapsed["n1"] = site.timers.now() + 60
    site.write_bad(TARGETS_KIND, "n1", "x")
    await site.agree()
    assert not vm.targets._lapsed


async def test_repeated_unreadable_writes_are_logged_once(site):
    """Guards against a log that fills up because one bad entry changes all the time."""
    vm = site.add("a")
    site.write_good(TARGETS_KIND, "n1")
    await site.agree()
    for number in range(30):
        site.write_bad(TARGETS_KIND, "n1", target_spec(seq=number, state="odd"))
        site.write_bad(TARGETS_KIND, "n2", {"seq": number})
        await asyncio.sleep(0.002)
    site.write_good(TARGETS_KIND, "n3")
    await site.agree()
    assert sorted(vm.unusable(TARGETS_KIND)) == ["servers/n1", "servers/n2"]
    assert vm.counted(TARGETS_KIND) == 2
    site.write_good(TARGETS_KIND, "n1")
    await site.agree()
    site.write_bad(TARGETS_KIND, "n1", "x")
    await site.agree()
    assert vm.counted(TARGETS_KIND) == 3


async def test_an_older_readable_entry_never_wins(site):
    vm = site.add("a")
    site.write_good(TARGETS_KIND, "n1")
    await site.agree()
    known = vm.watchers[TARGETS_KIND]._known
    good = known.records["n1"]
    site.write_bad(TARGETS_KIND, "n1", 7)
    await site.agree()
    event = StoreEvent(good, False)
    known.apply_changes(good.revision - 1, good.revision, (event,))
    known.apply_changes(known.until + 5, known.until + 6, (event,))
    known.apply_listing(good.revision, (good,))
    assert not vm.targets.entries


async def test_objects_without_a_name_are_logged_once(site):
    vm = site.add("a")
    for number in range(3):
        raw = b'{"metadata": {"name": "\xff%d", "revision": REVISION}}' % number
        site.store.write_raw(TARGETS_KIND, "n1", raw)
        site.write_good(TARGETS_KIND, "n2")
        await site.agree()
    site.store.forget_history()
    site.write_good(TARGETS_KIND, "n3")
    await site.agree()
    assert vm.unusable(TARGETS_KIND) == [TARGETS_KIND]
    assert vm.counted(TARGETS_KIND) == 1


async def test_a_page_without_a_name_to_continue_from_removes_no_target(site):
    """A page of unreadable names must fail the listing.

    If the page counts as the last one, the listing looks complete, and all engines on
    later pages look gone.
    """
    vm = site.add("a")
    for name in ("n1", "n2", "n3"):
        site.write_good(TARGETS_KIND, name)
    await site.agree()
    for name in ("n1", "n2"):
        site.store.write_raw(TARGETS_KIND, name, b'{"metadata": 7}')
    site.store.forget_history()
    listed = await vm.client.list_all(TARGETS_KIND)
    assert listed.is_err()
    await asyncio.sleep(0.5)
    assert "n3" in vm.targets.entries


async def test_vms_that_learn_from_relays_see_the_same(site):
    """VMs that learn from relays must also drop an engine whose entry is unreadable.

    They don't watch the store themselves. If a relay does not forward what it can't
    read, or if that ends the receiver's task, they continue to send to the engine.
    """
    site.write_good(TARGETS_KIND, "n1")
    for name in "abcd":
        site.add(name)
    await site.agree()
    subscribers = await site.told()
    assert len(subscribers) == 2
    for kind in KINDS:
        await site.until(
            lambda k=kind: all(vm.relays.is_relayed(k) for vm in subscribers)
        )
        await site.until(
            lambda k=kind: not any(vm.watchers[k]._current for vm in subscribers)
        )
    calls = len(site.store.calls)
    for bad in ("x", {"service": 5}, target_spec(state="odd")):
        site.write_bad(TARGETS_KIND, "n1", bad)
        site.write_good(VERSIONS_KIND, "n1")
        site.write_bad(VERSIONS_KIND, "n1", bad)
        await site.agree()
        site.write_good(TARGETS_KIND, "n1")
        site.write_good(VERSIONS_KIND, "n1")
        await site.agree()
    for vm in site.vms:
        assert vm.counted(TARGETS_KIND) == vm.counted(VERSIONS_KIND) == 3
    # The subscribers learned it from relays and not by calls of their own: two relays
    # watch two kinds, and each answer ends one call.
    assert len(site.store.calls) - calls <= 2 * 2 * 12


async def test_unreadable_relayed_changes(site):
    """Guards against losing the changes that are relayed together with a bad one."""
    a, b = site.add("a"), site.add("b")
    await site.agree()
    sender = b.mesh.myself
    for body in ("{", "7", "null", '"ab"', "[1, 2, 3]", '{"a": 1}', "[" * 5000):
        records = (
            RelayedRecord("n1", 50, body),
            RelayedRecord("n2", 51, '[{"x": 1}, null]'),
            RelayedRecord("", 52, "[null, null]"),
            RelayedRecord("n3", 53, f'[{{"model": "{MODEL}"}}, 5]'),
        )
        changes = RelayedChanges(TARGETS_KIND, 40, 60, records)
        await a.relays._on_changes(sender, changes)
    assert not a.targets.entries
    assert a.counted(TARGETS_KIND) == 4


async def test_a_vm_repairs_its_unreadable_object_and_is_known_meanwhile(site):
    """VMs whose objects another writer has overwritten must stay known to each other.

    If each VM drops the others, they disconnect and callers are sent to one VM only.
    If the objects are not repaired, a VM that starts later never learns of them.
    """
    a, b = site.add("a"), site.add("b")
    for vm in (a, b):
        vm.memberships.mark_serving(True)
        vm.memberships.start()
        vm.memberships._mesh.heartbeat_changed()
    await site.until(lambda: a.memberships.record_of("b") is not None)
    good = site.store.spec(VMS_KIND, "b")
    site.store.write(VMS_KIND, "b", "spoilt")
    await site.until(lambda: a.counted(VMS_KIND) == 1)
    assert a.memberships.record_of("b").vm == "b"
    await site.until(lambda: site.store.spec(VMS_KIND, "b") == good)
    c = site.add("c")
    await site.until(lambda: c.memberships.record_of("b") is not None)
    # An object that names another VM must not replace that VM's own object.
    site.store.write(VMS_KIND, "z", good | {"caller_address": "10.9.9.9:1"})
    await site.until(lambda: a.counted(VMS_KIND) == 2)
    assert a.memberships.record_of("b").caller_address == good["caller_address"]
