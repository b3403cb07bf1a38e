"""Tests of targets that name a limit: it holds over all VMs together."""

import asyncio

from .gateways import MODEL, Deployment

# What a target may get: one and a half times its limit, and some requests beside, in
# any such window from a while after it named the limit.
OVERAGE, SLACK, WINDOW_S, KNOWN_S = 1.5, 5, 4.0, 3.0
VMS = 3
LIMIT_PER_S = 2.0
# At both targets together: three times what they take once they name their limits.
LOAD_PER_S = 12.0


async def send_on(deployment, path, method, until, **headers):
    """Send requests to all VMs in turn until a moment; return the answers."""
    loop = asyncio.get_running_loop()
    asking = []
    while loop.time() < until:
        vm = len(asking) % VMS
        asking.append(asyncio.create_task(deployment.ask(path, method, vm, **headers)))
        await asyncio.sleep(1 / LOAD_PER_S)
    return await asyncio.gather(*asking)


def most_in_a_window(arrivals, known_at):
    """Return the most that arrived in a window which ends after the limit is known."""
    most = 0
    for end in arrivals:
        if end >= known_at:
            most = max(most, sum(end - WINDOW_S < at <= end for at in arrivals))
    return most


async def play_limits(targets_of, path, method, **headers):
    """Have all targets of a service name a limit under load, and check what follows."""
    async with Deployment(vms=VMS) as deployment:
        loop = asyncio.get_running_loop()
        targets = targets_of(deployment)
        await send_on(deployment, path, method, loop.time() + 1.0, **headers)
        for target in targets:
            target.notices["Server-Limit"] = str(LIMIT_PER_S)
        known_at = loop.time() + KNOWN_S
        until = known_at + WINDOW_S
        answers = await send_on(deployment, path, method, until, **headers)
        for target in targets:
            most = most_in_a_window(target.arrivals, known_at)
            assert 0 < most <= OVERAGE * LIMIT_PER_S * WINDOW_S + SLACK
        assert {answer.status for answer in answers} == {200, 503}
        refused = [answer for answer in answers if answer.status == 503]
        assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)


async def test_a_limit_of_a_plain_target_holds_over_all_vms():
    """A service in need names a limit, and each VM goes on as if it were alone."""
    await play_limits(lambda deployment: deployment.plains, "/safe/x", "GET")


async def test_a_limit_of_an_engine_holds_over_all_vms():
    """An engine in need names a limit, and each VM goes on as if it were alone."""
    model = {"Model": MODEL}
    await play_limits(
        lambda deployment: deployment.engines, "/stream/x", "POST", **model
    )
