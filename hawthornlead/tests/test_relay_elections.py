"""Tests of which VMs watch the store for the others, and how another steps in."""

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


def role_of(vm, timers):
    view = FakeFleetView(vm)
    return RelayElection(memberships=view, mesh=view, timers=timers)


async def hear(roles, timers, seconds, *vouching):
    """Let time pass, in which these relays vouch."""
    for _ in range(round(seconds / 0.05)):
        for role in roles:
            for vm in NAMES[:2]:
                role.record_heartbeat(vm, vm in vouching)
        await timers.advance(0.05)


async def test_the_two_that_registered_first_watch():
    timers = ManualTimerService()
    assert role_of("vm-0", timers).should_relay()
    assert role_of("vm-1", timers).should_relay()
    third = role_of("vm-2", timers)
    await hear([third], timers, 3.0, "vm-0", "vm-1")
    assert not third.should_relay()


async def test_the_next_two_step_in_for_relays_that_the_store_turns_away():
    """Guards against a fleet whose VMs all watch the store while relays are refused."""
    timers = ManualTimerService()
    roles = [role_of(vm, timers) for vm in NAMES[2:]]
    await hear(roles, timers, 2.0, "vm-0", "vm-1")
    assert not any(role.should_relay() for role in roles)
    await hear(roles, timers, 0.1)
    assert not any(role.should_relay() for role in roles)
    await hear(roles, timers, STEP_IN_S + 0.05)
    assert [role.should_relay() for role in roles] == [True, True, False]
    await hear(roles, timers, STEP_IN_S + 0.05)
    assert [role.should_relay() for role in roles] == [True, True, True]
    await hear(roles, timers, 0.1, "vm-0", "vm-1")
    assert not any(role.should_relay() for role in roles)


async def test_one_steps_in_for_one_relay_that_the_store_turns_away():
    """Guards against more relays than are lacking."""
    timers = ManualTimerService()
    roles = [role_of(vm, timers) for vm in NAMES[2:]]
    await hear(roles, timers, 2.0, "vm-0", "vm-1")
    assert not any(role.should_relay() for role in roles)
    await hear(roles, timers, 0.1, "vm-1")
    assert not any(role.should_relay() for role in roles)
    await hear(roles, timers, STEP_IN_S + 0.05, "vm-1")
    assert [role.should_relay() for role in roles] == [True, False, False]


async def test_silent_relays_are_replaced_as_their_words_grow_old():
    timers = ManualTimerService()
    third = role_of("vm-2", timers)
    await hear([third], timers, 1.0, "vm-0", "vm-1")
    await timers.advance(RELAY_HEARTBEAT_TTL_S)
    assert not third.should_relay()
    await timers.advance(STEP_IN_S)
    assert third.should_relay()


async def test_who_was_told_all_by_one_relay_needs_no_listing_for_the_next():
    """Guards against all VMs listing all objects at once as another relay steps in."""
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
    word = RelayHeartbeat((RelayedKind("config", 9, 9),))
    await a.relays._on_heartbeat(c.mesh.myself, word)
    assert a.relays.is_relayed("config")
    # One that missed what the first relay told last must ask.
    await c.relays._on_heartbeat(a.mesh.myself, word)
    assert not c.relays.is_relayed("config")
    await site.stop()


async def test_the_second_relay_vouches_too_for_who_knows_all_that_it_told():
    """Guards against all VMs turning to the store as one of two relays is away."""
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


async def test_a_relay_passes_on_what_the_other_relay_told_it_first():
    """Guards against a change that half of the VMs miss, since one relay is silent."""
    site = Site()
    a, b = site.add("a"), site.add("b")
    for vm in (a, b):
        vm.stop()
    told = []
    a.mesh.broadcast = told.append
    a.watchers["config"]._known.apply_listing(5, ())
    a.relays._relaying = True
    a.relays._start_log("config")
    record = RelayedRecord("x", 6, '[{"n": 1}, null]')
    await a.relays._on_changes(b.mesh.myself, RelayedChanges("config", 5, 6, (record,)))
    seen = StoredRecord("x", 6, {"n": 1}, None)
    a.relays.on_watched("config", 5, 6, (StoreEvent(seen, False),))
    assert told == [RelayedChanges("config", 5, 6, (record,))]
    await site.stop()
