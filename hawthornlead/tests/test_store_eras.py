"""Tests of VMs whose store comes back from an older copy and counts a new era."""

import asyncio

import pytest

from hawthornlead.gateway.vm_registrations import VMS_KIND
from hawthornlead.platform.configurations import read_configuration
from hawthornlead.platform.objects import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    TARGETS_KIND,
)

from .bad_entries import good_spec
from .following_vms import KINDS, NAMES, relayed_site

# So many writes are lost, and so many follow before the old revisions are passed.
LOST_WRITES = 30


@pytest.fixture
async def site():
    site = await relayed_site()
    site.store.era = 1
    for kind in KINDS:
        for name in NAMES:
            site.write_good(kind, name)
    await site.agree()
    yield site
    await site.stop()


async def lose_writes(site) -> None:
    """Let the store go back to a copy that lacks writes that all VMs know."""
    taken = site.store.copy()
    for number in range(LOST_WRITES):
        site.write_good(KINDS[number % len(KINDS)], NAMES[number % len(NAMES)])
    await site.agree()
    site.store.restore(taken)


async def test_changes_are_in_force_after_the_store_came_back_from_a_copy(site):
    """Guards against VMs that take new changes at repeated revisions for old ones."""
    await lose_writes(site)
    for kind in KINDS:
        for name in NAMES:
            site.write_good(kind, name)
    await site.agree()


async def catch_up(site, kind=TARGETS_KIND) -> None:
    """Wait until all VMs know the first complete state of a kind in the new era."""
    for vm in site.vms:
        watcher = vm.watchers[kind]
        await site.until(lambda w=watcher: w.is_restored(w._known.until))


def write_target(site, name, **changed):
    """Write a target's entry as the target does, with other fields than a good one."""
    site.store.write(
        TARGETS_KIND, name, {**good_spec(TARGETS_KIND, name, 1), **changed}
    )


def usable(site, name) -> list[bool]:
    """Return at which VMs a target takes new work."""
    return [vm.targets.is_usable(name) for vm in site.vms]


async def test_a_target_that_said_it_leaves_stays_out_when_the_store_goes_back(site):
    """Guards against requests for a leaving target that a copy calls ready."""
    taken = site.store.copy()
    write_target(site, NAMES[0], state="draining")
    await site.until(lambda: not any(usable(site, NAMES[0])))
    site.store.restore(taken)
    await catch_up(site)
    assert not any(usable(site, NAMES[0]))
    write_target(site, NAMES[0], state="draining")
    write_target(site, NAMES[1], state="draining")
    await site.until(lambda: not any(usable(site, NAMES[1])))
    assert not any(usable(site, NAMES[0]))


async def test_a_removed_target_stays_out_when_the_store_goes_back(site):
    """Guards against requests for a target that left, whose entry a copy has."""
    taken = site.store.copy()
    site.store.remove(TARGETS_KIND, NAMES[0])
    await site.until(lambda: not any(usable(site, NAMES[0])))
    site.store.restore(taken)
    await catch_up(site)
    assert not any(usable(site, NAMES[0]))
    write_target(site, NAMES[0], slots=9)
    await site.until(lambda: all(usable(site, NAMES[0])))


async def test_a_former_start_of_a_target_is_no_restart_when_the_store_goes_back(site):
    """Guards against requests that run twice, since their target seems restarted."""
    write_target(site, NAMES[0], born=1000)
    await site.until(lambda: all(starts(site, 1000)))
    taken = site.store.copy()
    write_target(site, NAMES[0], born=2000)
    await site.until(lambda: all(starts(site, 2000)))
    gone = [len(vm.gone) for vm in site.vms]
    site.store.restore(taken)
    await catch_up(site)
    assert all(starts(site, 2000))
    assert [len(vm.gone) for vm in site.vms] == gone


def starts(site, born) -> list[bool]:
    """Return at which VMs the first target is known by a start."""
    return [vm.targets.incarnation(NAMES[0]).started_ms == born for vm in site.vms]


async def test_a_target_that_the_store_has_lost_stays_until_it_is_written_again(site):
    """Guards against live targets that are given up as their entries are lost."""
    taken = site.store.copy()
    write_target(site, "late")
    await site.until(lambda: all(usable(site, "late")))
    site.store.restore(taken)
    await catch_up(site)
    assert all(usable(site, "late"))
    write_target(site, "late")
    await asyncio.sleep(0.2)
    for vm in site.vms:
        vm.targets.sweep()
    assert all(usable(site, "late"))


async def test_a_vm_that_starts_learns_the_configuration_that_the_store_has_lost(site):
    """Guards against an older configuration at VMs that start after a drill."""
    taken = site.store.copy()
    site.write_good(CONFIGURATION_KIND, CONFIGURATION_NAME)
    await site.agree()
    site.store.restore(taken)
    await catch_up(site, CONFIGURATION_KIND)
    for vm in site.vms:
        records = vm.watchers[CONFIGURATION_KIND]._known.records
        version = read_configuration(records[CONFIGURATION_NAME]).version
        assert version == site.expected[CONFIGURATION_KIND]
    started = site.add("e")
    assert await started.relays.fetch(CONFIGURATION_KIND)
    assert started.version == site.expected[CONFIGURATION_KIND]


async def test_a_vm_registers_again_after_the_store_has_lost_that(site):
    """Guards against VMs that no caller is sent to, since their objects are lost."""
    taken = site.store.copy()
    for vm in site.vms:
        vm.memberships.start()
    names = {vm.memberships.vm for vm in site.vms}
    await site.until(lambda: names <= set(site.store.names(VMS_KIND)))
    site.store.restore(taken)
    await site.until(lambda: names <= set(site.store.names(VMS_KIND)))
