"""Streams that go on at another target, in one answer or over a caller's requests."""

from .gateways import MODEL, ClientAnswer, Deployment
from .restarted_engines import all_know, loaded, served

# Engines of two software versions by turns, so that the next best engine after a
# failure is one of the other version.
MIXED = ("v1", "v2", "v1", "v2")
STREAMS = 8


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


async def take_up(
    deployment: Deployment, origin: str, broken: ClientAnswer, vm: int
) -> ClientAnswer:
    """Take up a broken stream at a VM, as the caller's next request."""
    return await deployment.ask(
        "/once/x",
        vm=vm,
        Model=MODEL,
        Resumes=origin,
        Last_Event_Id=last_event(broken),
    )


async def test_a_stream_goes_on_in_one_answer_at_the_version_that_began_it():
    """Guards against one answer with events of two software versions."""
    async with Deployment(vms=1, software=MIXED) as deployment:
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


async def test_a_stream_is_taken_up_at_another_vm_at_the_version_that_began_it():
    """Guards against a stream whose callers read two versions over two requests."""
    async with Deployment(vms=2, software=MIXED) as deployment:
        for number in range(STREAMS):
            origin, broken = await begin(deployment, vm=number % 2)
            rest = await take_up(deployment, origin, broken, vm=(number + 1) % 2)
            assert (rest.status, rest.whole) == (200, True)
            assert len(software_of(deployment, broken, rest)) == 1


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
