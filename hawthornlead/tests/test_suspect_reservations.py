"""Tests of the reservations that let one suspect at a time run on a target."""

from types import SimpleNamespace

import pytest

from hawthornlead.engines.suspect_reservations import SuspectReservations
from hawthornlead.errors import ErrorKind
from hawthornlead.tests.fakes_mesh import LocalNetwork
from hawthornlead.timers import ManualTimerService

VIEW = SimpleNamespace(target="engine-1", owner_vm="vm-1")
OWNERLESS = SimpleNamespace(target="engine-2", owner_vm="")


@pytest.fixture
async def world():
    timers = ManualTimerService()
    network = LocalNetwork(timers)
    reservations = {}
    for vm in ("vm-1", "vm-2", "vm-3"):
        reservations[vm] = SuspectReservations(
            timers=timers, mesh=network.join(vm, "dc1", vm)
        )
    return SimpleNamespace(timers=timers, network=network, reservations=reservations)


async def test_two_suspects_of_two_vms_never_run_on_one_target(world):
    """Guards against a harmless request that is quarantined for ten minutes.

    It ran beside the crashing one when a target died. Both are sent again at once
    through two VMs, which know only their own suspects, to the same next target.
    """
    assert (await world.reservations["vm-2"].reserve(VIEW, "guilty", 60)).is_ok()
    refused = await world.reservations["vm-3"].reserve(VIEW, "innocent", 60)
    assert refused.unwrap_err().kind is ErrorKind.NO_GRANT
    world.reservations["vm-2"].release(VIEW, "guilty")
    await world.timers.advance(0)
    assert (await world.reservations["vm-3"].reserve(VIEW, "innocent", 60)).is_ok()


async def test_a_reservation_of_a_dead_vm_expires(world):
    assert (await world.reservations["vm-2"].reserve(VIEW, "guilty", 5)).is_ok()
    await world.timers.advance(4)
    assert (await world.reservations["vm-3"].reserve(VIEW, "innocent", 5)).is_err()
    await world.timers.advance(1.1)
    assert (await world.reservations["vm-3"].reserve(VIEW, "innocent", 5)).is_ok()


async def test_a_late_release_does_not_end_the_next_reservation(world):
    assert (await world.reservations["vm-2"].reserve(VIEW, "guilty", 5)).is_ok()
    await world.timers.advance(6)
    assert (await world.reservations["vm-3"].reserve(VIEW, "innocent", 60)).is_ok()
    world.reservations["vm-2"].release(VIEW, "guilty")
    await world.timers.advance(0)
    assert (await world.reservations["vm-1"].reserve(VIEW, "third", 60)).is_err()


async def test_no_reservation_without_an_owner(world):
    refused = await world.reservations["vm-2"].reserve(OWNERLESS, "guilty", 5)
    assert refused.unwrap_err().kind is ErrorKind.NO_GRANT
