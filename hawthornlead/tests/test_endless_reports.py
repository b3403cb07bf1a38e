"""Engines in trouble whose reports go on until their reader closes."""

import asyncio

import pytest

from .gateways import MODEL
from .hostile_clients import PressedGateway
from .standins.endless_target import EndlessTarget

ENGINES = 12
LASTS_S = 8.0


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
