"""Engines and stores in trouble, whose answers go on until their reader closes."""

import asyncio

import pytest

from .gateways import MODEL
from .hostile_clients import PressedGateway
from .standins.endless_target import EndlessStore, EndlessTarget

ENGINES = 12
LASTS_S = 8.0
CALLERS = 20


@pytest.mark.parametrize("how", ["body without length", "body in chunks"])
async def test_engines_with_endless_reports_fill_no_memory(how):
    """Guards against a VM that ends for memory by what engines in trouble send.

    No caller asks for anything: the VM reads the reports of its engines by itself.
    """
    engines = [
        EndlessTarget(f"e{n}", "llm", how, MODEL) for n in range(10, 10 + ENGINES)
    ]
    async with PressedGateway() as gateway:
        for engine in engines:
            engine.endless_reports = True
            await engine.begin()
            gateway.register(engine)
        await asyncio.sleep(LASTS_S)
        assert sum(engine.begun for engine in engines) >= ENGINES
        await gateway.assert_serves("callers")
        gateway.usage.assert_within()
    for engine in engines:
        await engine.stop()


@pytest.mark.parametrize("how", ["body without length", "body in chunks", "unended"])
async def test_callers_of_endless_answers_fill_no_memory(how):
    """Guards against a VM that ends for memory by the answers that its callers get."""
    async with PressedGateway() as gateway:
        plain = EndlessTarget("p9", "plain", how)
        engine = EndlessTarget("e9", "llm", how, MODEL)
        for target in (plain, engine):
            await target.begin()
            gateway.register(target)
        for name in ("p1", "p2", "e1"):
            gateway.remove(name)
        await asyncio.sleep(0.5)
        for _ in range(3):
            asking = [gateway.ask("callers", "/safe/x") for _ in range(CALLERS)]
            asking += [
                gateway.ask("callers", "/stream/x", Model=MODEL) for _ in range(CALLERS)
            ]
            for answer in await asyncio.gather(*asking):
                assert not (answer.whole and answer.status == 200)
        assert plain.begun
        assert engine.begun
        gateway.usage.assert_within()
        await plain.stop()
        await engine.stop()


@pytest.mark.parametrize("how", ["body without length", "body in chunks"])
async def test_a_store_with_endless_answers_fills_no_memory(how):
    """Guards against a VM that ends for memory by what a store in trouble sends."""
    store = EndlessStore(how)
    async with PressedGateway(store_front=store) as gateway:
        store.endless = True
        await asyncio.sleep(LASTS_S)
        assert store.begun
        await gateway.assert_serves("callers")
        gateway.usage.assert_within()
