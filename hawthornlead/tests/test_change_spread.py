"""Tests that changes of the store reach every VM of a fleet in time under faults."""

import asyncio
from random import Random

import pytest

from .fakes_clocks import run_played
from .fakes_played_stores import Refusal
from .fakes_spread import PlayedFleet
from .spread_plays import LARGE_BOUND_S, PLACES, TURNED_AWAY_SHARE, play_seed

SILENT_HEAD = "santander-0"
EACH_LARGE = 9
PAUSE_S = 6.0
SEEDS = (0, 2, 3)
EACH_SMALL = 3
PLAY_S = 20.0


async def change_behind_a_silent_head(seed: int, refused: bool) -> list[str]:
    """Change the configuration several times, each time while a head is frozen.

    Return the VMs that didn't have a change in force in time. If ``refused``, the
    store serves none of the subscribers of that head.
    """
    fleet = PlayedFleet(dict.fromkeys(PLACES, EACH_LARGE), Random(seed))
    await fleet.start_all()
    late = []
    for name in fleet.subscribers_of(SILENT_HEAD) if refused else ():
        fleet.store.turn_away(name, Refusal.BUSY)
    for _ in range(3):
        fleet.freeze(SILENT_HEAD)
        await asyncio.sleep(0.05)
        version = fleet.configure()
        await asyncio.sleep(LARGE_BOUND_S)
        for name, vm in fleet.vms.items():
            if vm.version < version and name != SILENT_HEAD:
                late.append(name)
        fleet.thaw(SILENT_HEAD)
        await asyncio.sleep(PAUSE_S)
    fleet.stop()
    return late


def test_vms_behind_a_silent_head_have_changes_in_force_in_time():
    """Guards against a VM that counts as up to date though it missed a change."""
    for seed in SEEDS:
        assert run_played(change_behind_a_silent_head(seed, refused=False)) == []


def test_vms_that_the_store_turns_away_have_missed_changes_in_force_in_time():
    """Guards against a VM that requests missing changes only from the store."""
    for seed in SEEDS:
        assert run_played(change_behind_a_silent_head(seed, refused=True)) == []


async def change_behind_refused_relays(seed: int, refusal: Refusal) -> list[str]:
    """Change the configuration while the store refuses many VMs and all heads.

    Return the VMs that don't have it in force in time.
    """
    rng = Random(seed)
    fleet = PlayedFleet(dict.fromkeys(PLACES, EACH_LARGE), rng)
    await fleet.start_all()
    for name in fleet.vms:
        if name in fleet.heads() or rng.random() < TURNED_AWAY_SHARE:
            fleet.store.turn_away(name, refusal)
    version = fleet.configure()
    await asyncio.sleep(LARGE_BOUND_S)
    late = [name for name, vm in fleet.vms.items() if vm.version < version]
    fleet.stop()
    return late


@pytest.mark.parametrize("refusal", list(Refusal))
def test_changes_are_in_force_in_time_though_the_store_turns_all_heads_away(refusal):
    """Guards against VMs that receive no change because only heads relay."""
    for seed in SEEDS:
        assert run_played(change_behind_refused_relays(seed, refusal)) == []


@pytest.mark.parametrize("seed", [1, 3, 4, 6, 10, 13, 16, 133, 230, 301, 526])
def test_changes_are_in_force_in_time_in_a_small_fleet_under_faults(seed):
    """Guards against changes that are late, lost or undone as faults overlap."""
    breaches, _ = play_seed(seed, EACH_SMALL, PLAY_S)
    assert breaches == []


@pytest.mark.parametrize("seed", [3, 103, 128])
def test_changes_are_in_force_in_time_in_a_large_fleet_under_faults(seed):
    """Guards against changes that are late or lost on their way through heads."""
    breaches, _ = play_seed(seed, EACH_LARGE, PLAY_S)
    assert breaches == []
