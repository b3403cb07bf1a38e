"""Tests of VMs that watch a store which keeps no history for a while."""

import asyncio

import pytest

from .following_vms import KINDS, NAMES, relayed_site

# Long enough that a VM without relays would have listed each kind by itself: the
# heartbeat of a relay expires after 1.1 s.
WITHOUT_HISTORY_S = 2.5


@pytest.fixture
async def site():
    site = await relayed_site()
    yield site
    await site.stop()


def count_calls(vm, counted):
    """Record each further call of a VM to the store."""
    call = vm.client._call

    async def counting(*arguments, **named):
        counted.append(vm.memberships.vm)
        return await call(*arguments, **named)

    vm.client._call = counting


async def test_only_relays_call_a_store_that_keeps_no_history(site):
    """Guards against hundreds of calls a second to a store that is short of history.

    Each watch ends at once there. If the two relays took that for an unavailable store
    and confirmed no kind, every VM would list each kind again and again.
    """
    calls = []
    subscribers = [vm for vm in site.vms if not vm.relays.is_relay]
    for kind in KINDS:
        for name in NAMES:
            site.write_good(kind, name)
    await site.agree()
    site.store.keeps_history = False
    site.store.forget_history()
    for vm in subscribers:
        count_calls(vm, calls)
    await asyncio.sleep(WITHOUT_HISTORY_S)
    assert len(subscribers) == 2
    assert calls == []
    for kind in KINDS:
        site.write_good(kind, NAMES[0])
    await site.agree()
    assert calls == []
