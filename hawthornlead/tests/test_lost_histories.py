"""Tests of VMs that watch a store which keeps no history for a while."""

import asyncio
from collections import Counter

from .fakes_clocks import run_played
from .following_vms import KINDS, NAMES, PlayedSite, relayed_site

# Long enough that a VM without relays would have listed each kind by itself: the
# heartbeat of a relay expires after 1.1 s.
WITHOUT_HISTORY_S = 2.5


async def calls_without_history() -> list[Counter[str]]:
    """Return the calls of the VMs that relays inform, to a store without history.

    The first count is of ``WITHOUT_HISTORY_S`` without changes; the second goes on
    until all VMs know one more change of each kind.
    """
    site = await relayed_site(PlayedSite)
    subscribers = [vm.memberships.vm for vm in site.vms if not vm.relays.is_relay]
    assert len(subscribers) == 2
    for kind in KINDS:
        for name in NAMES:
            site.write_good(kind, name)
    await site.agree()
    site.store.keeps_history = False
    site.store.forget_history()
    before = Counter(site.store.calls)
    counts = []

    def count():
        made = site.store.calls - before
        counts.append(Counter({vm: made[vm] for vm in subscribers if made[vm]}))
        return sum(made.values()) - sum(counts[-1].values())

    await asyncio.sleep(WITHOUT_HISTORY_S)
    assert count() > len(KINDS), "the relays must list in place of their watches"
    for kind in KINDS:
        site.write_good(kind, NAMES[0])
    await site.agree()
    count()
    await site.stop()
    return counts


def test_only_relays_call_a_store_that_keeps_no_history():
    """Guards against hundreds of calls a second to a store that is short of history.

    Each watch ends at once there. If the two relays took that for an unavailable store
    and confirmed no kind, every VM would list each kind again and again.
    """
    assert run_played(calls_without_history()) == [Counter(), Counter()]
