"""Tests of the turns that the watchers of one VM take at a store that is away."""

import asyncio
from random import Random

import pytest

from hawthornlead.gateway.store_retries import StoreRetries
from hawthornlead.timers import ManualTimerService

from .fakes_clocks import run_played
from .fakes_played_stores import PlayedClient, Refusal
from .fakes_spread import PlayedFleet

KINDS = 4
RETRY_S = 0.9


@pytest.fixture
def timers():
    return ManualTimerService()


@pytest.fixture
def retries(timers):
    return StoreRetries(timers)


def test_every_watcher_may_call_while_the_store_serves(retries):
    assert all(retries.acquire_call(RETRY_S) for _ in range(KINDS))
    retries.record(served=True)
    assert all(retries.acquire_call(RETRY_S) for _ in range(KINDS))


async def test_one_watcher_at_a_time_calls_after_a_failure(retries, timers):
    """Each of a VM's watchers called a store that was down, at its own rate."""
    for _ in range(KINDS):
        retries.record(served=False)
    calls = 0
    for _ in range(40):
        await timers.advance(0.1)
        for _ in range(KINDS):
            if retries.acquire_call(RETRY_S):
                calls += 1
                retries.record(served=False)
    assert calls == 4


async def test_a_call_under_way_counts_until_the_spacing_is_over(retries, timers):
    """A call that hangs for its whole time-out must not hold up all others."""
    retries.record(served=False)
    await timers.advance(RETRY_S + 0.01)
    assert retries.acquire_call(RETRY_S)
    assert not retries.acquire_call(RETRY_S)
    await timers.advance(RETRY_S + 0.01)
    assert retries.acquire_call(RETRY_S)


async def test_the_first_call_that_succeeds_wakes_all_watchers(retries, timers):
    """Without that, each kind would wait for its own turn after an outage."""
    retries.record(served=False)
    waiting = [asyncio.create_task(retries.wait(60.0)) for _ in range(KINDS)]
    await timers.advance(1.0)
    assert not any(task.done() for task in waiting)
    retries.record(served=True)
    await asyncio.wait_for(asyncio.gather(*waiting), 5)
    assert all(retries.acquire_call(RETRY_S) for _ in range(KINDS))


@pytest.mark.parametrize("refusal", Refusal)
def test_an_outage_costs_calls_by_vm_and_not_by_kind(refusal, monkeypatch):
    """Calls of a store that is down grew with the kinds that each VM follows.

    The VMs that may relay probe it besides, and all learn of a change as soon as it is
    back.
    """
    calls: dict[str, int] = {}
    watch = PlayedClient.watch

    def counted(client, *arguments):
        calls[client._vm] = calls.get(client._vm, 0) + 1
        return watch(client, *arguments)

    async def play():
        fleet = PlayedFleet(
            dict.fromkeys(("gijon", "bilbao", "santander"), 9), Random(1)
        )
        await fleet.start_all()
        fleet.store.go_down(refusal)
        await asyncio.sleep(4.0)
        monkeypatch.setattr(PlayedClient, "watch", counted)
        await asyncio.sleep(6.0)
        by_vm = dict(calls)
        fleet.store.down = None
        version = fleet.configure()
        await asyncio.sleep(2.0)
        late = [name for name, vm in fleet.vms.items() if vm.version != version]
        fleet.stop()
        return by_vm, late

    by_vm, late = run_played(play())
    # One call in each 0.9 s, as a single watcher would make them.
    assert max(by_vm.values()) <= 6.0 / RETRY_S + 1
    assert late == []
