"""Tests of which VMs watch the store for the others, and how another steps in."""

import asyncio

from hawthornlead.gateway import watch_relays
from hawthornlead.gateway.relay_roles import STEP_IN_S, WORD_KEPT_S, RelayRole
from hawthornlead.messages.gateways import (
    RelayBasis,
    RelayedKind,
    RelayedRecord,
    RelayedRecords,
    RelayWord,
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
    return RelayRole(memberships=view, mesh=view, timers=timers)


async def hear(role, timers, seconds, *vouching):
    """Let time pass, in which these relays vouch."""
    for _ in range(round(seconds / 0.1)):
        for vm in NAMES[:2]:
            role.note_word(vm, vm in vouching)
        await timers.advance(0.1)


async def test_the_two_that_registered_first_watch():
    timers = ManualTimerService()
    assert role_of("vm-0", timers).should_relay()
    assert role_of("vm-1", timers).should_relay()
    third = role_of("vm-2", timers)
    await hear(third, timers, 3.0, "vm-0", "vm-1")
    assert not third.should_relay()


async def test_the_next_one_steps_in_for_a_relay_that_the_store_turns_away():
    """Every VM of a fleet watches the store by itself for nine seconds.

    The store turned away a third of the VMs, both relays among them. They lived, so
    that nobody took their place, and vouched for nothing.
    """
    timers = ManualTimerService()
    third, fourth = role_of("vm-2", timers), role_of("vm-3", timers)
    for role in (third, fourth):
        await hear(role, timers, 2.0, "vm-0", "vm-1")
        assert not role.should_relay()
    await hear(third, timers, 0.1)
    assert not third.should_relay()
    assert not fourth.should_relay()
    await hear(third, timers, STEP_IN_S)
    assert third.should_relay()
    assert not fourth.should_relay()
    await hear(third, timers, 0.1, "vm-0", "vm-1")
    assert not third.should_relay()


async def test_silent_relays_are_replaced_as_their_words_grow_old():
    timers = ManualTimerService()
    third = role_of("vm-2", timers)
    await hear(third, timers, 1.0, "vm-0", "vm-1")
    await timers.advance(WORD_KEPT_S)
    assert not third.should_relay()
    await timers.advance(STEP_IN_S)
    assert third.should_relay()


async def test_who_was_told_all_by_one_relay_needs_no_listing_for_the_next():
    """Two hundred VMs list all objects at once as another relay steps in.

    They had missed nothing, but the new relay's words stood on nothing that they knew.
    """
    site = Site()
    a, b, c = (site.add(name) for name in "abc")
    for vm in (a, b, c):
        vm.stop()
    await a.relays._on_word(b.mesh.myself, RelayWord((RelayedKind("config", 7),)))
    a.relays.caught_up("config", site.timers.now())
    assert a.relays.vouched("config")
    record = RelayedRecord("x", 9, '[{"n": 1}, null]')
    await a.relays._on_records(b.mesh.myself, RelayedRecords("config", 7, (record,)))
    basis = (RelayBasis(b.mesh.incarnation, "config", 8),)
    word = RelayWord((RelayedKind("config", 0),), basis)
    await a.relays._on_word(b.mesh.myself, RelayWord(()))
    assert not a.relays.vouched("config")
    await a.relays._on_word(c.mesh.myself, word)
    assert a.relays.vouched("config")
    # One that missed what the first relay told last must list.
    later = (RelayBasis(b.mesh.incarnation, "config", 9),)
    await c.relays._on_word(b.mesh.myself, RelayWord((RelayedKind("config", 7),)))
    c.relays.caught_up("config", site.timers.now())
    await c.relays._on_word(b.mesh.myself, RelayWord(()))
    word = RelayWord((RelayedKind("config", 0),), later)
    await c.relays._on_word(a.mesh.myself, word)
    assert not c.relays.vouched("config")
    await site.stop()


async def test_the_second_relay_vouches_too_once_the_first_has_told_all_that_it_did(
    monkeypatch,
):
    """All VMs turn to the store as one of two relays is turned away.

    They had been told everything by that one alone: of what the other had passed on
    before they heard of it they could not know that they had it too.
    """
    monkeypatch.setattr(watch_relays, "SETTLED_S", 0.1)
    site = Site()
    a, b, c = (site.add(name) for name in "abc")
    for vm in (a, b, c):
        vm.stop()
    first = RelayWord((RelayedKind("config", 7),))
    second = RelayWord((RelayedKind("config", 3),))
    await a.relays._on_word(b.mesh.myself, first)
    a.relays.caught_up("config", site.timers.now())
    await a.relays._on_word(c.mesh.myself, second)
    await a.relays._on_word(c.mesh.myself, second)
    await a.relays._on_word(b.mesh.myself, RelayWord(()))
    assert not a.relays.vouched("config")
    await a.relays._on_word(b.mesh.myself, first)
    await asyncio.sleep(0.15)
    await a.relays._on_word(c.mesh.myself, second)
    await a.relays._on_word(b.mesh.myself, RelayWord(()))
    assert a.relays.vouched("config")
    await site.stop()
