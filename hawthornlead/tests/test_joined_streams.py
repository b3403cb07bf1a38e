"""Streams whose engine restarted with other software, before its entry says so."""

from .gateways import MODEL, ClientAnswer, Deployment, route
from .test_resumed_streams import begin, resume

ONCE = route("once", "/once/", "llm", "streaming", resumable=True)
ALL_V1 = ("v1", "v1", "v1")


def written_by(deployment: Deployment, *answers: ClientAnswer) -> set[str]:
    """Return the software versions that wrote the events of answers."""
    requests = [answer.headers["Request-Id"] for answer in answers if answer.body]
    return {
        engine.wrote[request]
        for engine in deployment.engines
        for request in requests
        if request in engine.wrote
    }


async def test_one_answer_holds_no_events_of_an_engine_restarted_unannounced():
    """Guards against an answer begun by v2 that goes on at engines of v1."""
    async with Deployment(vms=1, software=ALL_V1) as deployment:
        for number in range(3):
            await deployment.engines[number].restart(software="v2")
            for engine in deployment.engines:
                engine.faults.clear()
                engine.faults.append("cut")
            answer = await deployment.ask("/resume/x", Model=MODEL)
            assert len(written_by(deployment, answer)) <= 1


async def test_a_caller_reads_no_second_version_after_an_unannounced_restart():
    """Guards against a stream begun by v2 that is taken up at engines of v1."""
    async with Deployment(vms=2, software=ALL_V1, routes=(ONCE,)) as deployment:
        for number in range(3):
            await deployment.engines[number].restart(software="v2")
            origin, broken = await begin(deployment)
            rest = await resume(deployment, origin, broken, vm=1)
            assert len(written_by(deployment, broken, rest)) == 1


async def test_a_stream_is_not_taken_up_at_an_engine_restarted_unannounced():
    """Guards against the rest of a v1 stream that an engine writes as v2."""
    async with Deployment(vms=2, software=ALL_V1, routes=(ONCE,)) as deployment:
        origin, broken = await begin(deployment)
        for engine in deployment.engines:
            await engine.restart(software="v2")
        rest = await resume(deployment, origin, broken, vm=1)
        assert written_by(deployment, broken, rest) == {"v1"}
        assert rest.status == 503


async def test_a_stream_of_a_removed_entry_is_bound_to_its_writer():
    """Guards against a version taken from an entry that another start left behind."""
    async with Deployment(vms=2, software=ALL_V1, routes=(ONCE,)) as deployment:
        for engine in deployment.engines:
            engine.event_s = 0.2
        await deployment.engines[0].restart(software="v2")
        origin, broken = await begin(deployment)
        deployment.store.remove("servers", deployment.engines[0].target)
        for vm in (0, 1):
            rest = await resume(deployment, origin, broken, vm)
            assert len(written_by(deployment, broken, rest)) == 1
