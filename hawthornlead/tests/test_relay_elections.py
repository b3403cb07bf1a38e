"""Tests of which VMs relay the store for the others, and how relays are replaced."""

from hawthornlead.gateway.records import StoredRecord, StoreEvent
from hawthornlead.gateway.relay_elections import (
    RELAY_HEARTBEAT_TTL_S,
    STEP_IN_S,
    RelayElection,
)
from hawthornlead.messages.gateways import (
    RelayedChanges,
    RelayedKind,
    RelayedRecord,
    RelayHeartbeat,
)
from hawthornlead.timers import ManualTimerService

from .following_vms import Site

NAMES = ["vm-0", "vm-1", "vm-2", "vm-3", "vm-4"]


class FakeFleetView:
    """The fleet as one VM sees it."""

    is_head = True

    def __init__(self, vm):
        self.vm = vm

    def relay_order(self, count):
        return NAMES[:count]


def election_of(vm, timers):
    view = FakeFleetView(vm)
    return RelayElection(memberships=view, mesh=view, timers=timers)


async def record_heartbeats(elections, timers, seconds, *up_to_date):
    """Advance the time while these relays confirm kinds as up to date."""
    for _ in range(round(seconds / 0.05)):
        for election in elections:
            for vm in NAMES[:2]:
                election.record_heartbeat(vm, vm in up_to_date)
        await timers.advance(0.05)


async def test_the_two_that_registered_first_watch():
    timers = ManualTimerService()
    assert election_of("vm-0", timers).should_relay()
    assert election_of("vm-1", timers).should_relay()
    third = election_of("vm-2", timers)
    await record_heartbeats([third], timers, 3.0, "vm-0", "vm-1")
    assert not third.should_relay()


async def test_the_next_two_step_in_for_relays_that_the_store_turns_away():
    """Guards against a fleet whose VMs all watch the store while relays are refused."""
    timers = ManualTimerService()
    elections = [election_of(vm, timers) for vm in NAMES[2:]]
    await record_heartbeats(elections, timers, 2.0, "vm-0", "vm-1")
    assert not any(election.should_relay() for election in elections)
    await record_heartbeats(elections, timers, 0.1)
    assert not any(election.should_relay() for election in elections)
    await record_heartbeats(elections, timers, STEP_IN_S + 0.05)
    assert [election.should_relay() for election in elections] == [True, True, False]
    await record_heartbeats(elections, timers, STEP_IN_S + 0.05)
    assert [election.should_relay() for election in elections] == [True, True, True]
    await record_heartbeats(elections, timers, 0.1, "vm-0", "vm-1")
    assert not any(election.should_relay() for election in elections)


async def test_one_steps_in_for_one_relay_that_the_store_turns_away():
    """Guards against more relays than are lacking."""
    timers = ManualTimerService()
    elections = [election_of(vm, timers) for vm in NAMES[2:]]
    await record_heartbeats(elections, timers, 2.0, "vm-0", "vm-1")
    assert not any(election.should_relay() for election in elections)
    await record_heartbeats(elections, timers, 0.1, "vm-1")
    assert not any(election.should_relay() for election in elections)
    await record_heartbeats(elections, timers, STEP_IN_S + 0.05, "vm-1")
    assert [election.should_relay() for election in elections] == [True, False, False]


async def test_silent_relays_are_replaced_once_their_heartbeats_expire():
    timers = ManualTimerService()
    third = election_of("vm-2", timers)
    await record_heartbeats([third], timers, 1.0, "vm-0", "vm-1")
    await timers.advance(RELAY_HEARTBEAT_TTL_S)
    assert not third.should_relay()
    await timers.advance(STEP_IN_S)
    assert third.should_relay()


async def test_a_vm_that_is_up_to_date_with_one_relay_needs_no_listing_for_the_next():
    """Guards against all VMs listing all objects at once when a relay is replaced."""
    site = Site()
    a, b, c = (site.add(name) for name in "abc")
    for vm in (a, b, c):
        vm.stop()
    a.watchers["config"]._known.apply_listing(7, ())
    c.watchers["config"]._known.apply_listing(7, ())
    await a.relays._on_heartbeat(
        b.mesh.myself, RelayHeartbeat((RelayedKind("config", 7, 8),))
    )
    record = RelayedRecord("x", 9, '[{"n": 1}, null]')
    changes = RelayedChanges("config", 7, 9, (record,))
    await a.relays._on_changes(b.mesh.myself, changes)
    assert a.relays.is_relayed("config")
    await a.relays._on_heartbeat(b.mesh.myself, RelayHeartbeat(()))
    assert not a.relays.is_relayed("config")
    heartbeat = RelayHeartbeat((RelayedKind("config", 9, 9),))
    await a.relays._on_heartbeat(c.mesh.myself, heartbeat)
    assert a.relays.is_relayed("config")
    # A VM that missed the last changes of the first relay must fetch them.
    await c.relays._on_heartbeat(a.mesh.myself, heartbeat)
    assert not c.relays.is_relayed("config")
    await site.stop()


async def test_the_second_relay_also_confirms_a_vm_that_has_all_its_changes():
    """Guards against all VMs calling the store while one of two relays is down."""
    site = Site()
    a, b, c = (site.add(name) for name in "abc")
    for vm in (a, b, c):
        vm.stop()
    a.watchers["config"]._known.apply_listing(7, ())
    await a.relays._on_heartbeat(
        b.mesh.myself, RelayHeartbeat((RelayedKind("config", 7, 7),))
    )
    await a.relays._on_heartbeat(
        c.mesh.myself, RelayHeartbeat((RelayedKind("config", 3, 8),))
    )
    await a.relays._on_heartbeat(b.mesh.myself, RelayHeartbeat(()))
    assert a.relays.is_relayed("config")
    await site.stop()


async def test_a_relay_forwards_changes_that_it_first_received_from_the_other():
    """Guards against a change that half of the VMs miss because one relay is silent."""
    site = Site()
    a, b = site.add("a"), site.add("b")
    for vm in (a, b):
        vm.stop()
    sent = []
    a.mesh.broadcast = sent.append
    a.watchers["config"]._known.apply_listing(5, ())
    a.relays._relaying = True
    a.relays._start_log("config")
    record = RelayedRecord("x", 6, '[{"n": 1}, null]')
    await a.relays._on_changes(b.mesh.myself, RelayedChanges("config", 5, 6, (record,)))
    seen = StoredRecord("x", 6, {"n": 1}, None)
    a.relays.on_watched("config", 5, 6, (StoreEvent(seen, False),))
    assert sent == [RelayedChanges("config", 5, 6, (record,))]
    await site.stop()
