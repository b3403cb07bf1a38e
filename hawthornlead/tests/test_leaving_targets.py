"""Tests of targets that say in their answers that they leave."""

import asyncio

from .gateways import MODEL, Deployment

BATCH = 8


async def send_batch(deployment, vm, path, method, **headers):
    """Send some requests at the same time, so that they go to all targets."""
    sending = [deployment.ask(path, method, vm, **headers) for _ in range(BATCH)]
    return await asyncio.gather(*sending)


async def test_a_target_that_says_it_leaves_gets_no_more_requests_without_the_store():
    """Requests are sent to an engine until it exits and cuts their streams off."""
    requests = {"p1": ("/safe/x", "GET", {}), "e1": ("/stream/x", "POST", {})}
    requests["e1"][2]["Model"] = MODEL
    async with Deployment() as deployment:
        deployment.store.fault = "silent"
        leaving = (deployment.plains[0], deployment.engines[0])
        for target in leaving:
            path, method, headers = requests[target.target]
            target.notices["Server-Leaving"] = "1"
            answers = await send_batch(deployment, 0, path, method, **headers)
            assert any("Server-Leaving" in answer.headers for answer in answers)
            arrived = len(target.arrivals)
            for gateway in deployment.gateways:
                await deployment.until(
                    lambda g=gateway, t=target: not g._targets.is_usable(t.target)
                )
            for vm in (0, 1):
                answers = await send_batch(deployment, vm, path, method, **headers)
                assert {answer.status for answer in answers} == {200}
            assert len(target.arrivals) == arrived


async def test_a_target_that_started_again_takes_requests_though_it_was_leaving():
    """A target that is back under its id stays unused until it is replaced."""
    async with Deployment(vms=1) as deployment:
        target = deployment.plains[0]
        target.notices["Server-Leaving"] = "1"
        await send_batch(deployment, 0, "/safe/x", "GET")
        known = deployment.gateways[0]._targets
        target.notices.clear()
        await target.restart()
        deployment.register(target)
        started_ms = target.born
        await deployment.until(
            lambda: known.incarnation(target.target).started_ms == started_ms
        )
        assert known.is_usable(target.target)
        arrived = len(target.arrivals)
        await send_batch(deployment, 0, "/safe/x", "GET")
        assert len(target.arrivals) > arrived
