"""Restarting engines of a deployment, and what its VMs observe of them, for tests."""

import asyncio

from hawthornlead.events import EventKind
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.target_choices import Holding

from .gateways import MODEL

KEY = AdapterKey(MODEL, "a1")
PATH = "/stream/x"


def holding(gateway, engine, key=KEY):
    """Return the holding of an engine as a VM observes it."""
    entry = gateway._targets.entries[engine.target]
    service = gateway._parts.configuration.service("llm")
    return gateway._targets.holding(entry, service, key)


def believed(gateway, engine):
    """Return the start time of an engine that a VM knows."""
    return gateway._targets.entries[engine.target].started_ms


def restarts_seen(gateway, engine):
    """Return the former and new start times of the restarts in a VM's log."""
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
    """Retry a request for an adapter until it is served, as its caller would."""
    for _ in range(40):
        answer = await deployment.ask(PATH, vm=vm, Model=f"{MODEL}/{adapter}")
        if answer.status == 200:
            return
        await asyncio.sleep(float(answer.headers.get("Retry-After", "0.2")))
    raise AssertionError("never served")


async def all_know(deployment, engine):
    """Wait until all VMs know an engine's newest incarnation."""
    for gateway in deployment.gateways:
        await deployment.until(lambda g=gateway: believed(g, engine) == engine.born)
