"""A VM that loses its paths to the targets, while its callers go on to reach it."""

import asyncio

from .cut_paths import Cut, cut_paths
from .gateways import MODEL, Deployment

# The platform judges a cut VM from this long after the cut began.
JUDGED_AFTER_S = 3.0
# Longer than the silence after which a target is probed.
PAUSE_S = 1.0
# More requests at a time need more connections than were open before the cut.
FEW, MANY = 2, 12


async def ask_all(deployment: Deployment, tries: int, vm: int = 0) -> list[int]:
    """Send first tries of each kind to a VM, and return their statuses."""
    asked = []
    for number in range(tries):
        headers = {"Deadline_Ms": "1500", "vm": vm}
        asked += [
            deployment.ask("/safe/x", "GET", **headers),
            deployment.ask("/unsafe/x", body=b" open", **headers),
            deployment.ask("/stream/x", Model=f"{MODEL}/a{number % 2}", **headers),
        ]
    answers = await asyncio.gather(*asked)
    return [answer.status if answer.whole else 0 for answer in answers]


async def statuses_behind(cut: Cut) -> list[int]:
    """Cut the first of three VMs from all targets; return what callers get there."""
    async with Deployment(vms=3) as deployment:
        await ask_all(deployment, FEW)
        targets = deployment.engines + deployment.plains
        async with cut_paths(deployment.gateways[0], targets, cut):
            started_at = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() < started_at + JUDGED_AFTER_S:
                await deployment.ask("/safe/x", "GET", Deadline_Ms="1500")
            return await ask_all(deployment, MANY)


async def test_callers_are_served_by_a_vm_whose_target_connections_hang():
    """Guards against a VM that refuses what the VMs beside it could serve."""
    assert set(await statuses_behind(Cut.SILENT)) == {200}


async def test_callers_are_served_by_a_vm_whose_target_connections_are_reset():
    """Guards against a VM that refuses what the VMs beside it could serve."""
    assert set(await statuses_behind(Cut.RESET)) == {200}


async def test_a_request_goes_on_where_its_connection_lives_and_new_ones_are_refused():
    """Guards against the loss of a run because a probe of its target is refused."""
    async with Deployment() as deployment:
        await ask_all(deployment, FEW)
        targets = deployment.engines + deployment.plains
        for target in targets:
            target.ran.clear()
        async with cut_paths(deployment.gateways[0], targets, Cut.NO_NEW):
            for target in targets:
                target.silent = True
            asking = asyncio.create_task(deployment.ask("/unsafe/x"))
            await asyncio.sleep(PAUSE_S)
            for target in targets:
                target.silent = False
            answer = await asking
        assert (answer.status, answer.whole) == (200, True)
        assert sum(len(target.ran) for target in targets) == 1


async def test_callers_are_served_by_a_vm_that_can_open_no_target_connection():
    """Guards against a VM that serves only on the connections that it still has."""
    assert set(await statuses_behind(Cut.NO_NEW)) == {200}
