"""Removed entries of targets after the store was away, or only seemed to be."""

import asyncio
from random import Random

import pytest

from hawthornlead.gateway.target_tables import ENTRY_RETURN_TIMEOUT_S
from hawthornlead.outages.answer_gaps import AnswerGaps

from .fakes_clocks import run_played
from .fakes_played_stores import Refusal
from .fakes_spread import THINGS_KIND, PlayedFleet

PLACES = ("santander", "bilbao", "gijon")
SEEDS = range(8)
SETTLED_S = 8.0
# The bounds of the platform: a VM whose connections were reset is in touch again, and
# a target that has left gets no more requests.
CONTACT_S = 3.0
DRAIN_S = 2.0
# An entry lapses three heartbeats after its last one, and is back after an outage. So
# no entry lapses in an outage that is shorter than two.
HEARTBEAT_S = 1.2
LAPSES_S = 3 * HEARTBEAT_S
LAPSE_OUTAGE_S = 2 * HEARTBEAT_S
BACK_S = 1.9
# Between the checks of the table of targets for entries that don't come back.
SWEEP_S = 0.3


def record_removals(fleet: PlayedFleet) -> dict[str, tuple[float, float]]:
    """Return, filled by and by, when each VM saw the removal, and kept it until."""
    seen: dict[str, tuple[float, float]] = {}
    for name, vm in fleet.vms.items():
        watcher = vm.watchers[THINGS_KIND]

        def note(thing, name=name, watcher=watcher, vm=vm):
            now, until = vm.timers.now(), vm.timers.now()
            if watcher.back_at and now - watcher.back_at < ENTRY_RETURN_TIMEOUT_S:
                until = watcher.back_at + ENTRY_RETURN_TIMEOUT_S + SWEEP_S
            seen[name] = (now, until)

        watcher._known._on_deleted = note
    return seen


async def started(seed: int, each: int, places: int = len(PLACES)) -> PlayedFleet:
    """Return a fleet that follows some entries."""
    fleet = PlayedFleet(dict.fromkeys(PLACES[:places], each), Random(seed))
    for number in range(4):
        fleet.store.write(THINGS_KIND, f"t{number}", {"n": 10})
    await fleet.start_all()
    await asyncio.sleep(SETTLED_S + Random(seed).uniform(0, 2))
    return fleet


async def leave_behind_silence(
    seed: int, each: int, after_s: float, places: int = len(PLACES)
) -> list[str]:
    """Silence the open watches, remove an entry; return the VMs that use it on."""
    fleet = await started(seed, each, places)
    seen = record_removals(fleet)
    silent_at = asyncio.get_running_loop().time()
    fleet.store.silence_watches()
    await asyncio.sleep(after_s)
    fleet.store.remove(THINGS_KIND, "t1")
    bound = max(silent_at + CONTACT_S, silent_at + after_s + DRAIN_S)
    await asyncio.sleep(CONTACT_S + DRAIN_S + ENTRY_RETURN_TIMEOUT_S)
    late = [name for name in fleet.vms if seen.get(name, (0, 1e9))[1] > bound]
    fleet.stop()
    return late


@pytest.mark.parametrize("each", [1, 3])
def test_a_target_leaves_in_time_behind_connections_that_went_silent(each):
    """Guards against an engine that is kept although the store was never away."""
    for seed in SEEDS:
        assert run_played(leave_behind_silence(seed, each, 1.0)) == []
        assert run_played(leave_behind_silence(seed, each, 0.2)) == []


@pytest.mark.parametrize("vms", [1, 2])
def test_a_watch_that_failed_while_the_store_answered_is_no_outage(vms):
    """Guards against one failed call that keeps an engine, where no relay vouches."""
    for seed in SEEDS:
        assert run_played(leave_behind_silence(seed, 1, 1.0, vms)) == []
        assert run_played(leave_behind_silence(seed, 1, 0.2, vms)) == []


async def lapse_in_an_outage(seed: int, each: int, refusal: Refusal) -> list[str]:
    """Let an entry lapse while the store is away; return the VMs that drop it."""
    fleet = await started(seed, each)
    seen = record_removals(fleet)
    fleet.store.go_down(refusal)
    await asyncio.sleep(LAPSES_S)
    fleet.store.remove(THINGS_KIND, "t1")
    await asyncio.sleep(0.5)
    fleet.store.down = None
    returned_at = asyncio.get_running_loop().time()
    await asyncio.sleep(BACK_S + ENTRY_RETURN_TIMEOUT_S)
    kept_until = returned_at + BACK_S
    dropped = [name for name, (_, until) in seen.items() if until < kept_until]
    fleet.stop()
    return dropped if seen else ["no VM saw it"]


@pytest.mark.parametrize("refusal", list(Refusal))
@pytest.mark.parametrize("each", [1, 3])
def test_a_target_whose_entry_lapsed_while_the_store_was_away_is_kept(each, refusal):
    """Guards against sound engines that are dropped after an outage of the store."""
    for seed in SEEDS:
        assert run_played(lapse_in_an_outage(seed, each, refusal)) == []


def test_only_a_long_gap_with_a_failed_call_is_an_outage():
    """Guards against an outage that a silent connection or a rest of calls shows."""
    clock = [0.0]
    gaps = AnswerGaps(now=lambda: clock[0])
    clock[0] += LAPSES_S
    gaps.record_answer()
    clock[0] += HEARTBEAT_S / 2
    gaps.record_failure()
    assert gaps.outage_end == 0.0
    clock[0] += HEARTBEAT_S / 2
    gaps.record_answer()
    clock[0] += LAPSES_S
    gaps.record_answer()
    assert gaps.outage_end == 0.0
    clock[0] += LAPSE_OUTAGE_S
    gaps.record_failure()
    assert gaps.outage_end == clock[0]
    gaps.record_answer()
    ended_at = clock[0]
    clock[0] += LAPSES_S
    assert gaps.outage_end == ended_at
