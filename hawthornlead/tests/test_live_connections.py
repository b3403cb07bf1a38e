"""Tests of requests on sound connections while other signs show a loss."""

import asyncio

from hawthornlead.gateway.target_liveness import Repeat
from hawthornlead.gateway.target_probes import ProbeResult

from .cut_paths import Cut, cut_paths
from .gateways import MODEL, Deployment
from .watched_targets import ENTRY, Watched

OTHER = ENTRY._replace(target="e2", address="127.0.0.1:10")
# Longer than the silence after which a target is probed.
EVENT_S = 0.4


async def test_streams_behind_a_partition_go_on_while_their_events_come():
    """Guards against unanswered probes that add up over events received in between."""
    async with Deployment(vms=1) as deployment:
        for engine in deployment.engines:
            engine.events, engine.event_s = 8, EVENT_S
        asking = [
            asyncio.create_task(deployment.ask("/stream/x", Model=MODEL))
            for _ in range(4)
        ]
        targets = deployment.engines + deployment.plains
        await deployment.until(lambda: sum(len(e.ran) for e in targets) == 4)
        async with cut_paths(deployment.gateways[0], targets, Cut.NO_NEW):
            answers = await asyncio.gather(*asking)
        assert all(answer.whole for answer in answers)


async def test_data_between_unanswered_probes_keeps_a_request():
    """Guards against a slow stream that is cut although its target sends data."""
    watched = Watched(ProbeResult.NOTHING)
    requests = [watched.follow(repeat) for repeat in Repeat]
    other = watched.follow(Repeat.NEVER, OTHER)
    for _ in range(20):
        await watched.timers.advance(EVENT_S)
        watched.send_data(requests[0])
        watched.send_data(other)
    assert watched.probes.asked > 10
    assert not any(request.lost.done() for request in requests)


async def test_a_target_that_falls_silent_after_missed_probes_is_found_as_soon():
    """Guards against data that defers the next probe, so that a loss is found later."""
    watched = Watched(ProbeResult.NOTHING)
    request = watched.follow(Repeat.FREELY)
    await watched.timers.advance(EVENT_S)
    watched.send_data(request)
    await watched.timers.advance(1.0)
    assert request.lost.done()
