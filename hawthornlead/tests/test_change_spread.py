"""Tests of how a change of the store reaches every VM of a fleet under faults."""

import asyncio
from random import Random

from .fakes_clocks import run_played
from .fakes_spread import PlayedFleet
from .spread_plays import LARGE_BOUND_S, PLACES

SILENT_HEAD = "santander-0"
EACH_LARGE = 9
AGAIN_S = 6.0
SEEDS = (0, 2, 3)


async def change_behind_a_silent_head(seed: int) -> list[str]:
    """Change the configuration while a head stands still, some times in turn.

    Return the VMs that didn't have a change in force in time.
    """
    fleet = PlayedFleet(dict.fromkeys(PLACES, EACH_LARGE), Random(seed))
    await fleet.start_all()
    late = []
    for _ in range(3):
        fleet.freeze(SILENT_HEAD)
        await asyncio.sleep(0.05)
        version = fleet.configure()
        await asyncio.sleep(LARGE_BOUND_S)
        for name, vm in fleet.vms.items():
            if vm.version < version and name != SILENT_HEAD:
                late.append(name)
        fleet.thaw(SILENT_HEAD)
        await asyncio.sleep(AGAIN_S)
    fleet.stop()
    return late


def test_vms_behind_a_silent_head_have_changes_in_force_in_time():
    """Guards against a VM that takes itself for told though it missed a change."""
    late = {seed: run_played(change_behind_a_silent_head(seed)) for seed in SEEDS}
    assert late == dict.fromkeys(SEEDS, [])
