"""Sound targets that are silent for about a second and then go on."""

import asyncio

import pytest

from .gateways import MODEL, Deployment

# Longer than the platform's engines are silent while they are sound.
PAUSE_S = 1.3


async def answers_over_a_pause(deployment: Deployment, paused: list) -> list:
    """Send requests that may run once or be resumed, and pause their targets."""
    for engine in deployment.engines:
        engine.event_s = 0.1
    asked = []
    for _ in range(4):
        asked += [
            asyncio.create_task(deployment.ask("/stream/x", Model=MODEL)),
            asyncio.create_task(deployment.ask("/resume/x", Model=MODEL)),
        ]
    targets = deployment.engines
    await deployment.until(lambda: sum(len(each.ran) for each in targets) == len(asked))
    for target in paused:
        target.silent = True
    asked += [asyncio.create_task(deployment.ask("/unsafe/x")) for _ in range(4)]
    await asyncio.sleep(PAUSE_S)
    for target in paused:
        target.silent = False
    return await asyncio.gather(*asked)


@pytest.mark.parametrize("how_many", [1, 2])
async def test_no_request_is_cut_or_run_twice_because_its_target_pauses(how_many):
    """Guards against a pause of a sound target that is taken for its loss."""
    async with Deployment(vms=1) as deployment:
        paused = deployment.engines[:how_many] + deployment.plains[:how_many]
        answers = await answers_over_a_pause(deployment, paused)
        assert [(each.status, each.whole) for each in answers] == [(200, True)] * 12
        targets = deployment.engines + deployment.plains
        ran = [request for target in targets for request in target.ran]
        assert len(ran) == len(set(ran)) == len(answers)
        assert not any(target.cancelled for target in targets)
