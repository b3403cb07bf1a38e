"""Tests of VMs whose store comes back from an older copy and counts a new era."""

import pytest

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
