"""Tests of targets that turn requests away and ask for rest."""

import asyncio

from hawthornlead.gateway.refusals import MAX_RETRY_S

from .gateways import MODEL, Deployment

REST_S = 3.0
# Requests that were on their way may reach a target for so long after its answer, and
# so many after that.
LATE_S, MOST_LATE = 0.5, 2
EVERY_S = 0.04


async def ask_for(deployment, duration_s, path, method, **headers):
    """Send requests to one VM for a while; return the answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + duration_s
    asking = []
    while loop.time() < until:
        asking.append(asyncio.create_task(deployment.ask(path, method, **headers)))
        await asyncio.sleep(EVERY_S)
    return await asyncio.gather(*asking)


def turn_away(target):
    """Have a target refuse all requests, and ask for rest each time."""
    target.faults.extend(["refuse"] * 1000)
    target.notices["Retry-After"] = str(REST_S)


def late_arrivals(target):
    """Return how many requests reached a target while it was to have its rest."""
    first = target.arrivals[0]
    return sum(first + LATE_S < at < first + REST_S for at in target.arrivals)


async def play_rest(targets_of, path, method, **headers):
    """Have one target of a service ask for rest under load, then the others too."""
    async with Deployment(vms=1) as deployment:
        targets = targets_of(deployment)
        # The budget for second attempts grows with these.
        await ask_for(deployment, 1.0, path, method, **headers)
        resting, other = sorted(targets, key=lambda target: -len(target.arrivals))
        resting.arrivals.clear()
        turn_away(resting)
        answers = await ask_for(deployment, 0.9 * REST_S, path, method, **headers)
        assert resting.arrivals
        assert late_arrivals(resting) <= MOST_LATE
        assert {answer.status for answer in answers} == {200}
        other.arrivals.clear()
        turn_away(other)
        answers = await ask_for(deployment, 0.9 * REST_S, path, method, **headers)
        assert late_arrivals(other) <= MOST_LATE
        last = answers[-1]
        assert last.status == 503
        assert 0 < float(last.headers["Retry-After"]) <= MAX_RETRY_S


async def test_a_plain_target_that_asks_for_rest_has_it():
    """A service that sheds load is asked again and again, and gets no better."""
    await play_rest(lambda deployment: deployment.plains, "/safe/x", "GET")


async def test_an_engine_that_asks_for_rest_has_it():
    """An engine that sheds load is asked again and again, and gets no better."""
    model = {"Model": f"{MODEL}/a1"}
    await play_rest(lambda deployment: deployment.engines, "/stream/x", "POST", **model)
