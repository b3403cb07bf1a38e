"""Tests of targets that refuse requests and ask for backoff."""

import asyncio

from hawthornlead.gateway.refusals import MAX_RETRY_S

from .gateways import MODEL, Deployment

BACKOFF_S = 3.0
# Requests in flight may reach a target for this long after its answer, and at most this
# many later.
IN_FLIGHT_S, MAX_LATE = 0.5, 2
SEND_INTERVAL_S = 0.04


async def send_for(deployment, duration_s, path, method, **headers):
    """Send requests to one VM for a while; return the answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + duration_s
    sending = []
    while loop.time() < until:
        sending.append(asyncio.create_task(deployment.ask(path, method, **headers)))
        await asyncio.sleep(SEND_INTERVAL_S)
    return await asyncio.gather(*sending)


def refuse_all(target):
    """Have a target refuse all requests, and ask for backoff each time."""
    target.faults.extend(["refuse"] * 1000)
    target.notices["Retry-After"] = str(BACKOFF_S)


def late_arrivals(target):
    """Return how many requests reached a target during its backoff."""
    first = target.arrivals[0]
    return sum(first + IN_FLIGHT_S < at < first + BACKOFF_S for at in target.arrivals)


async def check_backoff(targets_of, path, method, **headers):
    """Have one target of a service ask for backoff under load, then the other too."""
    async with Deployment(vms=1) as deployment:
        targets = targets_of(deployment)
        # These requests fill the retry budget.
        await send_for(deployment, 1.0, path, method, **headers)
        refusing, other = sorted(targets, key=lambda target: -len(target.arrivals))
        refusing.arrivals.clear()
        refuse_all(refusing)
        answers = await send_for(deployment, 0.9 * BACKOFF_S, path, method, **headers)
        assert refusing.arrivals
        assert late_arrivals(refusing) <= MAX_LATE
        assert {answer.status for answer in answers} == {200}
        other.arrivals.clear()
        refuse_all(other)
        answers = await send_for(deployment, 0.9 * BACKOFF_S, path, method, **headers)
        assert late_arrivals(other) <= MAX_LATE
        last = answers[-1]
        assert last.status == 503
        assert 0 < float(last.headers["Retry-After"]) <= MAX_RETRY_S


async def test_a_plain_target_that_asks_for_backoff_gets_it():
    """A VM sends requests to a service that sheds load, and prolongs its overload."""
    await check_backoff(lambda deployment: deployment.plains, "/safe/x", "GET")


async def test_an_engine_that_asks_for_backoff_gets_it():
    """A VM sends requests to an engine that sheds load, and prolongs its overload."""
    model = {"Model": f"{MODEL}/a1"}
    await check_backoff(
        lambda deployment: deployment.engines, "/stream/x", "POST", **model
    )
