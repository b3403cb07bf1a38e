"""Streams that go on at another target, in one answer or over a caller's requests."""

import asyncio
from collections import deque

import pytest

from hawthornlead.gateway.stream_origins import SEND_INTERVAL_S

from .cut_paths import Cut, cut_paths
from .gateways import MODEL, ClientAnswer, Deployment, configuration, route
from .restarted_engines import all_know, loaded, served

# Engines of two software versions by turns, so that the next best engine after a
# failure is one of the other version.
MIXED = ("v1", "v2", "v1", "v2")
STREAMS = 8
# Its broken streams are left to the caller.
ONCE = route("once", "/once/", "llm", "streaming", resumable=True)


def software_of(deployment: Deployment, *answers: ClientAnswer) -> set[str]:
    """Return the software versions of the engines that wrote the events of answers."""
    versions = {engine.target: engine.software for engine in deployment.engines}
    written = set()
    for answer in answers:
        for line in answer.body.decode().split("\n"):
            if line.startswith("data: "):
                written.add(versions[line.removeprefix("data: ")])
    return written


def last_event(answer: ClientAnswer) -> str:
    """Return the id of the last whole event of an answer."""
    events = answer.body.decode().split("\n\n")[:-1]
    return events[-1].split("\n")[0].removeprefix("id: ")


async def begin(deployment: Deployment, vm: int = 0) -> tuple[str, ClientAnswer]:
    """Begin a stream that breaks off; return the request's id and what came of it."""
    for engine in deployment.engines:
        engine.faults.clear()
        engine.faults.append("cut")
    answer = await deployment.ask("/once/x", vm=vm, Model=MODEL)
    for engine in deployment.engines:
        engine.faults.clear()
    assert (answer.status, answer.whole) == (200, False)
    return answer.headers["Request-Id"], answer


async def resume(
    deployment: Deployment, origin: str, broken: ClientAnswer, vm: int
) -> ClientAnswer:
    """Resume a broken stream at a VM, as the caller's next request."""
    return await deployment.ask(
        "/once/x",
        vm=vm,
        Model=MODEL,
        Resumes=origin,
        Last_Event_Id=last_event(broken),
    )


async def test_a_stream_goes_on_in_one_answer_at_the_version_that_began_it():
    """Guards against one answer with events of two software versions."""
    async with Deployment(vms=1, software=MIXED, routes=(ONCE,)) as deployment:
        for _ in range(STREAMS):
            for engine in deployment.engines:
                engine.faults.clear()
            deployment.engines[0].faults.append("cut")
            deployment.engines[1].faults.append("cut")
            answer = await deployment.ask("/resume/x", Model=MODEL)
            assert answer.whole
            assert len(software_of(deployment, answer)) == 1


async def test_a_stream_whose_version_has_no_other_engine_is_cut_off():
    """Guards against an answer that goes on at any engine rather than break off."""
    async with Deployment(vms=1, software=("v1", "v2")) as deployment:
        for engine in deployment.engines:
            engine.faults.append("cut")
        answer = await deployment.ask("/resume/x", Model=MODEL)
        assert (answer.status, answer.whole) == (200, False)
        assert len(software_of(deployment, answer)) == 1
        assert sum(len(engine.ran) for engine in deployment.engines) == 1


async def test_a_stream_is_resumed_at_another_vm_at_the_version_that_began_it():
    """Guards against a stream whose callers read two versions over two requests."""
    async with Deployment(vms=2, software=MIXED, routes=(ONCE,)) as deployment:
        for number in range(STREAMS):
            origin, broken = await begin(deployment, vm=number % 2)
            rest = await resume(deployment, origin, broken, vm=(number + 1) % 2)
            assert (rest.status, rest.whole) == (200, True)
            assert len(software_of(deployment, broken, rest)) == 1


async def test_a_stream_whose_vm_was_killed_goes_on_at_the_version_that_began_it():
    """Guards against an origin that is lost with the VM that its caller was sent to."""
    async with Deployment(vms=3, software=MIXED, routes=(ONCE,)) as deployment:
        origin, broken = await begin(deployment)
        await asyncio.sleep(2 * SEND_INTERVAL_S)
        killed = deployment.gateways.pop(0)
        killed.stop()
        await killed._mesh.stop()
        for vm in (1, 2):
            rest = await resume(deployment, origin, broken, vm)
            assert (rest.status, rest.whole) == (200, True)
            assert len(software_of(deployment, broken, rest)) == 1


async def test_a_stream_that_breaks_twice_is_named_by_its_first_request():
    """Guards against a version that is known for the first break only."""
    async with Deployment(vms=2, software=MIXED, routes=(ONCE,)) as deployment:
        for engine in deployment.engines:
            engine.event_s = 0.1
        origin, broken = await begin(deployment)
        asking = asyncio.create_task(resume(deployment, origin, broken, 1))
        await deployment.until(lambda: sum(len(e.ran) for e in deployment.engines) > 1)
        asking.cancel()
        rest = await resume(deployment, origin, broken, 0)
        assert (rest.status, rest.whole) == (200, True)
        assert len(software_of(deployment, broken, rest)) == 1


@pytest.mark.parametrize(
    "named",
    [
        {"Resumes": "unknown", "Last_Event_Id": "2"},
        {"Resumes": "", "Last_Event_Id": "2"},
        {"Last_Event_Id": "2"},
        {"Resumes": "unknown"},
        {"Resumes": "r" * 1000, "Last_Event_Id": "2"},
    ],
    ids=["unknown", "empty", "not named", "without last event", "long"],
)
async def test_a_stream_of_unknown_origin_is_refused_unrun(named):
    """Guards against a guess at the version that began a stream."""
    async with Deployment(vms=2, software=MIXED, routes=(ONCE,)) as deployment:
        answer = await deployment.ask("/once/x", Model=MODEL, **named)
        assert answer.status == 503
        assert "Retry-After" in answer.headers
        assert not any(engine.ran for engine in deployment.engines)


async def test_a_stream_is_refused_at_once_when_no_target_of_its_version_is_left():
    """Guards against a stream that waits for, or goes on at, another version."""
    async with Deployment(vms=2, software=("v1", "v2"), routes=(ONCE,)) as deployment:
        origin, broken = await begin(deployment)
        (began,) = software_of(deployment, broken)
        for engine in deployment.engines:
            if engine.software == began:
                deployment.store.remove("servers", engine.target)
        for gateway in deployment.gateways:
            targets = gateway._targets
            await deployment.until(
                lambda known=targets: (
                    not any(
                        entry.software == began and entry.service == "llm"
                        for entry in known.entries.values()
                    )
                )
            )
        rest = await resume(deployment, origin, broken, vm=1)
        assert rest.status == 503
        assert "Retry-After" in rest.headers
        assert sum(len(engine.ran) for engine in deployment.engines) == 1


async def test_a_stream_goes_on_through_another_vm_at_the_version_that_began_it():
    """Guards against a relayed rest of a stream that its VM can't bring itself."""
    async with Deployment(vms=2, software=MIXED, routes=(ONCE,)) as deployment:
        once = deque(["cut"])
        for engine in deployment.engines:
            engine.event_s = 0.2
            engine.faults = once
        asking = asyncio.create_task(deployment.ask("/resume/x", Model=MODEL))
        await deployment.until(lambda: any(e.ran for e in deployment.engines))
        await asyncio.sleep(0.3)
        targets = deployment.engines + deployment.plains
        async with cut_paths(deployment.gateways[0], targets, Cut.RESET):
            answer = await asking
        assert (answer.status, answer.whole) == (200, True)
        assert len(software_of(deployment, answer)) == 1
        assert sum(len(engine.ran) for engine in deployment.engines) == 2


async def test_a_stream_goes_on_at_its_service_where_a_route_has_several():
    """Guards against a stream whose rest another service of its route writes."""
    split = route("split", "/split/", "llm", "streaming", resumable=True)
    del split["service"]
    split["split"] = [
        {"service": "plain", "weight": 50},
        {"service": "llm", "weight": 50},
    ]
    async with Deployment(vms=2, software=MIXED, routes=(ONCE,)) as deployment:
        deployment.store.write("config", "main", configuration(2, ONCE, split))
        for gateway in deployment.gateways:
            parts = gateway._parts
            await deployment.until(lambda known=parts: known.configuration.version == 2)
        origin, broken = await begin(deployment)
        plains = [request for plain in deployment.plains for request in plain.ran]
        for number in range(STREAMS):
            rest = await deployment.ask(
                "/split/x",
                vm=number % 2,
                Model=MODEL,
                Resumes=origin,
                Last_Event_Id=last_event(broken),
            )
            assert (rest.status, rest.whole) == (200, True)
            assert len(software_of(deployment, broken, rest)) == 1
        assert plains == [request for each in deployment.plains for request in each.ran]


async def test_a_restarted_engine_is_not_known_by_its_former_software_version():
    """Guards against a stream bound to the version of an engine's former start."""
    async with Deployment(vms=2) as deployment:
        engine = await loaded(deployment)
        await engine.restart(software="v2")
        for number in range(2, 9):
            await served(deployment, f"a{number}")
            if engine.adapters:
                break
        await all_know(deployment, engine)
        for gateway in deployment.gateways:
            assert gateway._targets.entries[engine.target].software != "v1"
