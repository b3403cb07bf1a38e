"""Engines of a deployment that start again, and what its VMs believe of them."""

import asyncio

from hawthornlead.events import EventKind
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.target_choices import Holding

from .gateways import MODEL

KEY = AdapterKey(MODEL, "a1")
PATH = "/stream/x"


def holding(gateway, engine, key=KEY):
    """Return what a VM believes that an engine holds."""
    entry = gateway._targets.entries[engine.target]
    service = gateway._parts.configuration.service("llm")
    return gateway._targets.holding(entry, service, key)


def believed(gateway, engine):
    """Return the start that a VM knows of an engine."""
    return gateway._targets.entries[engine.target].started_ms


def restarts_seen(gateway, engine):
    """Return the starts, former and new, that a VM's log tells."""
    seen = []
    for event in gateway._events.newest(engine.target):
        if event.number != EventKind.TARGET_RESTARTED.number:
            continue
        fields = dict(
            field.split("=", 1) for field in event.text.split() if "=" in field
        )
        seen.append((int(fields["former_started_ms"]), int(fields["started_ms"])))
    return sorted(seen)


async def loaded(deployment, adapter="a1"):
    """Have an adapter loaded; return its engine once all VMs know it."""
    answer = await deployment.ask(PATH, Model=f"{MODEL}/{adapter}")
    assert answer.status == 200
    engine = next(e for e in deployment.engines if adapter in e.adapters)
    key = AdapterKey(MODEL, adapter)
    await deployment.until(
        lambda: all(
            holding(gateway, engine, key) is Holding.READY
            for gateway in deployment.gateways
        )
    )
    return engine


async def served(deployment, adapter="a1", vm=0):
    """Ask until a request for an adapter is served, as its caller would."""
    for _ in range(40):
        answer = await deployment.ask(PATH, vm=vm, Model=f"{MODEL}/{adapter}")
        if answer.status == 200:
            return
        await asyncio.sleep(float(answer.headers.get("Retry-After", "0.2")))
    raise AssertionError("never served")


async def all_know(deployment, engine):
    """Wait until all VMs know an engine's newest start."""
    for gateway in deployment.gateways:
        await deployment.until(lambda g=gateway: believed(g, engine) == engine.born)
