"""Tests of what is said, asked and blamed of a former start of an engine."""

import asyncio

from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.gateway.placers import Placed
from hawthornlead.gateway.target_attempts import Attempts
from hawthornlead.gateway.target_choices import Candidate, Holding
from hawthornlead.messages import Failed
from hawthornlead.messages.gateways import (
    AdapterLoaded,
    AdapterMissing,
    LoadAdapter,
    ReservePrompt,
)
from hawthornlead.promises.run_ledgers import RunLedger

from .gateways import MODEL, Deployment
from .restarted_engines import KEY, PATH, all_know, holding, loaded, served


def placed_at(entry):
    """Return a request that was sent to a target because its adapter was there."""
    candidate = Candidate(entry.target, 8, 0, Holding.READY, True, False, 0.0, True)
    return Placed(entry, KEY, 0.0, candidate, 1)


async def test_what_failed_at_the_former_start_does_not_count_against_the_new():
    """An engine that came back sound is left for four seconds.

    The failures of its former start, and the requests that other VMs had told of
    there, were counted against the new one.
    """
    async with Deployment() as deployment:
        engine = await loaded(deployment)
        for gateway in deployment.gateways:
            for _ in range(5):
                gateway._parts.healths.record_failure(engine.target, gone=True)
            gateway._parts.loads.on_request_started(engine.target, KEY)
            full = Failure(ErrorKind.NO_SLOT, "no slot to spare", 0.2)
            gateway._parts.placer._scorer.mark_full(engine.target, full)
            assert engine.target in gateway._parts.placer._scorer._slot_waits
        told = deployment.gateways[0]._parts.loads
        await deployment.until(lambda: told.running(engine.target) == 2)
        await engine.restart()
        deployment.register(engine)
        await all_know(deployment, engine)
        for gateway in deployment.gateways:
            parts = gateway._parts
            assert not parts.healths.is_suspect(engine.target)
            assert parts.healths.cost_ms(engine.target) == 0
            assert parts.loads.running(engine.target) == 0
            assert engine.target not in parts.placer._scorer._slot_waits
            parts.loads.on_request_ended(engine.target, KEY)
            assert parts.loads.running(engine.target) == 0
            assert parts.loads.own_total == 0


async def test_a_fetch_under_way_does_not_end_at_the_new_start():
    """A request is sent for an adapter whose fetch its engine has forgotten.

    The engine started again while it fetched; the end of the fetch was foreseen from
    learned times and taken as come.
    """
    async with Deployment() as deployment:
        for number in range(10, 13):
            await served(deployment, f"a{number}")
        for engine in deployment.engines:
            engine.load_s = 0.5
        # Asked once: the engine is not ordered to load it a second time.
        asking = asyncio.create_task(deployment.ask(PATH, Model=f"{MODEL}/a1"))
        await deployment.until(
            lambda: any("a1" in e.arriving for e in deployment.engines)
        )
        engine = next(e for e in deployment.engines if "a1" in e.arriving)
        await engine.restart()
        deployment.register(engine)
        await all_know(deployment, engine)
        wrong = 0
        end = asyncio.get_running_loop().time() + 0.6
        while asyncio.get_running_loop().time() < end:
            for gateway in deployment.gateways:
                ready = holding(gateway, engine) is Holding.READY
                wrong += ready and "a1" not in {*engine.adapters, *engine.arriving}
            await asyncio.sleep(0.01)
        assert not wrong
        answer = await asking
        assert answer.status == 200 or "Retry-After" in answer.headers
        assert not any(each.crashed for each in deployment.engines)


async def test_what_is_asked_about_a_former_start_is_not_done_at_the_new_one():
    """An engine that has just started again is filled with what nobody wants there.

    A load that another VM had asked for at the former start came after the restart.
    """
    async with Deployment() as deployment:
        engine = await loaded(deployment)
        before = engine.born
        await engine.restart()
        deployment.register(engine)
        await all_know(deployment, engine)
        given = len(engine.orders)
        (room,) = [
            gateway._engine_manager
            for gateway in deployment.gateways
            if engine.target in gateway._engine_manager.owned
        ]
        owner = room._owners[engine.target]
        sender = deployment.gateways[0]._mesh.live[0]
        refused = await room._on_load(
            sender, LoadAdapter(engine.target, *KEY, 0, 1.0, before)
        )
        assert isinstance(refused, Failed)
        reserved = await room._on_reserve(
            sender, ReservePrompt(engine.target, *KEY, 500, 1.0, before)
        )
        assert not reserved.held
        assert not reserved.reserved
        await room._on_missing(sender, AdapterMissing(engine.target, *KEY, before))
        assert len(engine.orders) == given
        assert room._owners[engine.target] is owner
        # A message of a later start tells its hearer of it.
        await engine.restart()
        load = LoadAdapter(engine.target, *KEY, 0, 2.0, engine.born)
        assert isinstance(await room._on_load(sender, load), AdapterLoaded)
        assert "a1" in engine.adapters
        await all_know(deployment, engine)


async def test_a_former_start_is_not_blamed_on_the_next_one():
    """An engine that has just started again is left aside for seconds, though well.

    Requests that were in its former start went on failing after the restart was seen,
    and each counted as a failure of the engine.
    """
    async with Deployment(vms=1) as deployment:
        engine = await loaded(deployment)
        gateway = deployment.gateways[0]
        former = gateway._targets.entries[engine.target]
        await engine.restart()
        deployment.register(engine)
        await all_know(deployment, engine)
        attempts = Attempts(
            gateway._parts, None, None, None, None, 0.0, b"", None, RunLedger()
        )
        for _ in range(4):
            attempts._records.count_failure(former)
            attempts._on_refused(former, 421, placed_at(former))
        healths = gateway._parts.healths
        assert not healths.is_suspect(engine.target)
        assert healths.cost_ms(engine.target) == 0.0
        attempts._records.count_failure(gateway._targets.entries[engine.target])
        assert healths.cost_ms(engine.target) > 0.0
