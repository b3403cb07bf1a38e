"""Streams taken up at a VM that was out of step while a new version joined."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from result import Err

from hawthornlead.errors import ErrorKind, Failure

from .gateways import MODEL, Deployment, route
from .standins.platform_engine import PlatformEngine
from .test_joined_streams import written_by
from .test_resumed_streams import begin, resume

ONCE = route("once", "/once/", "llm", "streaming", resumable=True)
OUT = 0
STREAMS = 6
SENDING = ("cast", "cast_to", "broadcast")


def cut_from_vms(deployment: Deployment, monkeypatch) -> None:
    """Lose all messages between the VM that is out of step and the others."""
    for number, gateway in enumerate(deployment.gateways):
        mesh = gateway._mesh
        if number == OUT:
            for name in SENDING:
                monkeypatch.setattr(mesh, name, lambda *sent: None)
            continue
        out = deployment.settings[OUT]["VM_NAME"]

        def cast(vm, message, cast=mesh.cast, out=out):
            if vm != out:
                cast(vm, message)

        def cast_to(vms, message, cast_to=mesh.cast_to, out=out):
            cast_to([vm for vm in vms if vm != out], message)

        def broadcast(message, mesh=mesh):
            mesh.cast_to([peer.vm for peer in mesh.live], message)

        monkeypatch.setattr(mesh, "cast", cast)
        monkeypatch.setattr(mesh, "cast_to", cast_to)
        monkeypatch.setattr(mesh, "broadcast", broadcast)


def cut_from_store(deployment: Deployment, monkeypatch) -> None:
    """Fail all calls of the store from the VM that is out of step."""

    async def call(*sent, **options):
        await asyncio.sleep(0.05)
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, "cut"))

    monkeypatch.setattr(deployment.gateways[OUT]._client, "_call", call)


def cut_from_both(deployment: Deployment, monkeypatch) -> None:
    """Cut the VM that is out of step from the others and from the store."""
    cut_from_vms(deployment, monkeypatch)
    cut_from_store(deployment, monkeypatch)


def cut_from_nothing(deployment: Deployment, monkeypatch) -> None:
    """Leave the VM in step."""


@asynccontextmanager
async def release(cut, monkeypatch):
    """Have two engines of a new version join a fleet with a VM that is out of step.

    Yields the deployment, and streams that began and broke off at the new version.
    """
    async with Deployment(vms=3, routes=(ONCE,)) as deployment:
        # The VM knows streams of the former version.
        await begin(deployment, vm=OUT)
        cut(deployment, monkeypatch)
        await asyncio.sleep(0.3)
        joined = [PlatformEngine(f"e{number}", "llm", MODEL) for number in (8, 9)]
        for engine in joined:
            engine.software = "v2"
            engine.start()
            deployment.engines.append(engine)
            deployment.register(engine)
        known = [each._targets.entries for each in deployment.gateways[1:]]
        await deployment.until(lambda: all("e8" in each for each in known))
        began = []
        for number in range(STREAMS):
            origin, broken = await begin(deployment, vm=1 + number % 2)
            if written_by(deployment, broken) == {"v2"}:
                began.append((origin, broken))
        assert began
        yield deployment, began


@pytest.mark.parametrize(
    "cut", [cut_from_vms, cut_from_store, cut_from_both, cut_from_nothing]
)
async def test_a_stream_of_a_new_version_is_not_joined_at_a_vm_out_of_step(
    cut, monkeypatch
):
    """Guards against a stream of v2 that goes on at v1, as no other is known there."""
    async with release(cut, monkeypatch) as (deployment, began):
        for origin, broken in began:
            rest = await resume(deployment, origin, broken, OUT)
            assert written_by(deployment, broken, rest) == {"v2"}
            assert rest.status in (200, 503)
            if cut is cut_from_nothing:
                assert (rest.status, rest.whole) == (200, True)


async def test_a_stream_is_not_joined_after_a_vm_stood_still(monkeypatch):
    """Guards against what a VM believed before it stood still, and uses after it.

    While it stands still, between the choice of an engine and the sending, that engine
    starts again under its id with other software.
    """
    async with Deployment(vms=2, software=("v1",) * 3, routes=(ONCE,)) as deployment:
        placer = deployment.gateways[OUT]._parts.placer
        place = placer.place

        async def stand_still(requested):
            placed = await place(requested)
            for engine in deployment.engines:
                await engine.restart(software="v2")
            return placed

        origin, broken = await begin(deployment, vm=1)
        assert written_by(deployment, broken) == {"v1"}
        monkeypatch.setattr(placer, "place", stand_still)
        rest = await resume(deployment, origin, broken, OUT)
        assert written_by(deployment, broken, rest) == {"v1"}
        assert rest.status == 503
