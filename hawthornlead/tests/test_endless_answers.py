"""Tests of targets in trouble, whose answers go on until their caller closes."""

import asyncio

import pytest

from .gateways import MODEL, Deployment
from .standins.endless_target import ANSWERS, EndlessTarget

# What a VM may read of one answer, with what the system's buffers hold.
MOST_BYTES = 24 << 20


async def endless(deployment, how, model="") -> EndlessTarget:
    """Return a target of endless answers, which alone serves its service."""
    name, service = ("e9", "llm") if model else ("p9", "plain")
    target = EndlessTarget(name, service, how, model)
    await target.begin()
    sound = deployment.engines if model else deployment.plains
    for other in sound:
        deployment.store.remove("servers", other.target)
    deployment.register(target)
    known = deployment.gateways[0]._targets.entries
    await deployment.until(lambda: target.target in known)
    await deployment.until(lambda: not any(each.target in known for each in sound))
    return target


async def assert_closed(deployment, target) -> None:
    """Check that no connection reads on, and how much was read."""
    await deployment.until(lambda: not target.answering)
    assert target.sent_bytes < MOST_BYTES
    await target.stop()


@pytest.mark.parametrize("how", [how for how in ANSWERS if how != "events"])
async def test_an_endless_answer_ends_at_once_and_may_have_run(how):
    """Guards against memory and time spent on bytes without end."""
    async with Deployment(vms=1) as deployment:
        target = await endless(deployment, how)
        answer = await deployment.ask("/unsafe/x")
        # Not 504, which a caller gets at its deadline, nor a status of "not run".
        assert answer.status == 502
        await assert_closed(deployment, target)


@pytest.mark.parametrize("how", [how for how in ANSWERS if how != "events"])
async def test_a_safe_request_with_an_endless_answer_goes_to_another_target(how):
    """Guards against callers that wait for bytes without end."""
    async with Deployment(vms=1) as deployment:
        target = await endless(deployment, how)
        sound = deployment.plains[0]
        answer = await deployment.ask_before(target, sound)
        assert answer.status == 200
        assert len(sound.ran) == 1
        await assert_closed(deployment, target)


@pytest.mark.parametrize("how", list(ANSWERS))
async def test_an_endless_stream_breaks_off(how):
    """Guards against streams that relay bytes without end as events."""
    async with Deployment(vms=1) as deployment:
        target = await endless(deployment, how, model=MODEL)
        headers = {"Model": MODEL, "Token-Usage": "10,40"}
        answer = await deployment.ask("/stream/x", **headers)
        assert not (answer.status == 200 and answer.whole)
        assert answer.body.count(b"x") < 200
        await assert_closed(deployment, target)


async def test_an_endless_report_leaves_the_engine_unknown():
    """Guards against reports that fill the memory of the engine's owner."""
    async with Deployment(vms=1) as deployment:
        target = EndlessTarget("e9", "llm", "body without length", MODEL)
        target.endless_reports = True
        await target.begin()
        deployment.register(target)
        await asyncio.sleep(1.5)
        answer = await deployment.ask(
            "/stream/x", **{"Model": MODEL, "Token-Usage": "1,4"}
        )
        assert answer.status == 200
        # Each read is given up on its own.
        assert target.most_sent_bytes < MOST_BYTES / 4
        await target.stop()
