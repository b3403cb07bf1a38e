"""Tests of VMs that follow a store which keeps no history for a while."""

import asyncio

import pytest

from .following_vms import KINDS, NAMES, relayed_site

# Long enough that a VM that is told nothing would have listed each kind by itself: the
# word of a relay counts for 1.1 s.
AWAY_S = 2.5


@pytest.fixture
async def site():
    site = await relayed_site()
    yield site
    await site.stop()


def count_calls(vm, counted):
    """Count a VM's calls of the store from now on."""
    call = vm.client._call

    async def counting(*arguments, **named):
        counted.append(vm.memberships.vm)
        return await call(*arguments, **named)

    vm.client._call = counting


async def test_only_relays_call_a_store_that_keeps_no_history(site):
    """A store that is short of history is called hundreds of times a second.

    Each watch ended at once. The two relays took that for a store that is away and
    vouched for nothing, so that every VM listed each kind again and again.
    """
    calls = []
    told = [vm for vm in site.vms if not vm.relays.is_relay]
    for kind in KINDS:
        for name in NAMES:
            site.write_good(kind, name)
    await site.agree()
    site.store.keeps_history = False
    site.store.forget_history()
    for vm in told:
        count_calls(vm, calls)
    await asyncio.sleep(AWAY_S)
    assert len(told) == 2
    assert calls == []
    for kind in KINDS:
        site.write_good(kind, NAMES[0])
    await site.agree()
    assert calls == []
