"""Streams whose callers come back after all VMs were lost at one moment."""

import asyncio

from hawthornlead.provenance.origin_records import ORIGINS_KIND

from .gateways import ClientAnswer, Deployment, route
from .test_joined_streams import written_by
from .test_resumed_streams import begin, resume

ONCE = route("once", "/once/", "llm", "streaming", resumable=True)
MIXED = ("v1", "v2", "v1", "v2")
STREAMS = 6
# Longer than the shortest time between two writes of a record.
RECORDED_S = 0.4


async def lose_all_vms(deployment: Deployment) -> None:
    """Kill all VMs at one moment and start them again under their names."""
    names = [settings["VM_NAME"] for settings in deployment.settings]
    for gateway in deployment.gateways:
        gateway.stop()
        await gateway._mesh.stop()
        await gateway._callers.close_all_connections()
    deployment.gateways.clear()
    deployment.settings.clear()
    for name in names:
        await deployment.add_vm(name)
    await deployment.until(
        lambda: all(
            gateway._memberships.serving
            and len(gateway._targets.entries)
            >= len(deployment.engines + deployment.plains)
            for gateway in deployment.gateways
        )
    )


async def resumed(
    deployment: Deployment, origin: str, broken: ClientAnswer, vm: int
) -> ClientAnswer:
    """Resume a stream, and again after a refusal, as its caller does."""
    for _ in range(10):
        rest = await resume(deployment, origin, broken, vm)
        if rest.status == 200:
            break
        await asyncio.sleep(float(rest.headers.get("Retry-After", "0.2")))
    return rest


async def test_streams_of_two_versions_go_on_after_all_vms_were_lost():
    """Guards against refusing all that is resumed in a release after a power cut."""
    async with Deployment(vms=2, software=MIXED, routes=(ONCE,)) as deployment:
        began = [await begin(deployment, vm=n % 2) for n in range(STREAMS)]
        await asyncio.sleep(RECORDED_S)
        await lose_all_vms(deployment)
        await lose_all_vms(deployment)
        for number, (origin, broken) in enumerate(began):
            rest = await resumed(deployment, origin, broken, vm=number % 2)
            assert (rest.status, rest.whole) == (200, True)
            assert len(written_by(deployment, broken, rest)) == 1


async def test_a_stream_of_the_only_version_goes_on_after_all_vms_were_lost():
    """Guards against a write for each stream, or a refusal, without a release."""
    software = ("v1", "v1")
    async with Deployment(vms=2, software=software, routes=(ONCE,)) as deployment:
        origin, broken = await begin(deployment)
        await asyncio.sleep(RECORDED_S)
        assert deployment.store.spec(ORIGINS_KIND, "vm-1")["streams"] == []
        await lose_all_vms(deployment)
        rest = await resumed(deployment, origin, broken, vm=1)
        assert (rest.status, rest.whole) == (200, True)


async def test_a_stream_goes_on_nowhere_if_a_version_came_after_it_unrecorded():
    """Guards against the version of the day for a stream that began before."""
    software = ("v1", "v1")
    async with Deployment(vms=2, software=software, routes=(ONCE,)) as deployment:
        origin, broken = await begin(deployment)
        await lose_all_vms(deployment)
        for vm in ("vm-1", "vm-2"):
            deployment.store.remove(ORIGINS_KIND, vm)
        for engine in deployment.engines:
            await engine.restart(software="v2")
            deployment.register(engine)
        for vm in (0, 1):
            rest = await resume(deployment, origin, broken, vm)
            assert rest.status == 503
            assert written_by(deployment, broken, rest) == {"v1"}


async def test_no_stream_begins_at_a_version_that_the_store_has_not_accepted():
    """Guards against streams of a version that no VM can know of later."""
    software = ("v1", "v1")
    async with Deployment(vms=1, software=software, routes=(ONCE,)) as deployment:
        deployment.store.fault = "busy"
        for engine in deployment.engines:
            await engine.restart(software="v2")
            for gateway in deployment.gateways:
                entry = gateway._targets.entries[engine.target]
                gateway._targets._store_entry(
                    entry._replace(started_ms=engine.born, software="v2")
                )
                gateway._targets._reset_observed(
                    gateway._targets.entries[engine.target].incarnation
                )
        answer = await deployment.ask("/once/x", Model="tide")
        assert answer.status == 503
        assert not any(engine.ran for engine in deployment.engines)
        deployment.store.fault = ""
