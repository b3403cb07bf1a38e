"""Tests of whole gateways whose engines start again under the id that they had."""

import asyncio

from hawthornlead.gateway.target_choices import Holding
from hawthornlead.platform.objects import TARGETS_KIND

from .gateways import Deployment
from .restarted_engines import (
    all_know,
    believed,
    holding,
    loaded,
    restarts_seen,
    served,
)


async def test_a_restart_drops_at_once_what_all_vms_believed():
    """Requests are sent, one after the other, to an engine that lost their adapter.

    An engine started again under its id. Its entry was taken for the one of before,
    and every VM went on believing what its owner had told of the former start.
    """
    async with Deployment() as deployment:
        engine = await loaded(deployment)
        before = engine.born
        fence = deployment.owner_fence(engine.target)
        await engine.restart()
        deployment.register(engine)
        await all_know(deployment, engine)
        for gateway in deployment.gateways:
            assert holding(gateway, engine) is Holding.ABSENT
            assert restarts_seen(gateway, engine) == [(before, engine.born)]
        for vm in range(2):
            await served(deployment, vm=vm)
        assert deployment.owner_fence(engine.target) == fence
        assert not engine.crashed


async def test_a_restart_at_another_address_is_found_there():
    """Connections to an address where nobody listens any more are tried first.

    An engine started again elsewhere under its id; connections that were kept to the
    former address stayed.
    """
    async with Deployment() as deployment:
        engine = await loaded(deployment)
        former = engine.address
        await engine.restart(moved=True)
        deployment.register(engine)
        await all_know(deployment, engine)
        for gateway in deployment.gateways:
            assert holding(gateway, engine) is Holding.ABSENT
            assert former not in gateway._connections._pool._kept
        await served(deployment)
        deployment.engines = [engine]
        engine.ran.clear()
        await served(deployment)


async def test_a_report_tells_of_a_restart_that_the_watch_missed():
    """Loads go on for an engine as if it still held what it held before.

    Its entry of the new start doesn't reach any VM. The first that shows the restart
    is the report that its owner reads after a conflict; the other VMs must hear it.
    """
    async with Deployment() as deployment:
        engine = await loaded(deployment)
        await engine.restart()
        deployment.engines[:] = [
            engine,
            *[e for e in deployment.engines if e != engine],
        ]
        for number in range(2, 9):
            await served(deployment, f"a{number}")
            if engine.adapters:
                break
        await all_know(deployment, engine)
        await deployment.until(
            lambda: all(
                holding(gateway, engine) is not Holding.READY
                for gateway in deployment.gateways
            )
        )
        for gateway in deployment.gateways:
            assert len(restarts_seen(gateway, engine)) == 1
        # The entry that comes at last tells nothing new.
        deployment.register(engine)
        await asyncio.sleep(0.5)
        for gateway in deployment.gateways:
            assert len(restarts_seen(gateway, engine)) == 1


async def test_three_restarts_in_a_row_leave_one_owner_and_no_old_belief():
    async with Deployment() as deployment:
        engine = await loaded(deployment)
        fence = deployment.owner_fence(engine.target)
        for number in range(3):
            await engine.restart(moved=number == 1)
            deployment.register(engine)
            await asyncio.sleep(0.05 * number)
        await all_know(deployment, engine)
        for gateway in deployment.gateways:
            assert holding(gateway, engine) is Holding.ABSENT
        owners = [
            g for g in deployment.gateways if engine.target in g._engine_manager.owned
        ]
        assert len(owners) == 1
        owner = owners[0]._engine_manager._owners[engine.target]
        assert owner.incarnation.started_ms == engine.born
        await served(deployment)
        assert {order["fence"] for order in engine.orders} == {fence}
        assert not engine.crashed


async def test_a_restart_after_an_order_without_an_answer_crashes_no_engine():
    """An engine breaks down of one adapter too many, seconds after it started again.

    An order that its former start never answered named a count that was right once
    more, when its slots were full.
    """
    async with Deployment(vms=1) as deployment:
        engine = await loaded(deployment)
        (other,) = [each for each in deployment.engines if each is not engine]
        deployment.register(other, state="draining")
        targets = deployment.gateways[0]._targets
        await deployment.until(lambda: not targets.is_usable(other.target))
        for adapter in ("a2", "a3"):
            await served(deployment, adapter)
        await asyncio.sleep(0.5)
        # An order that names count 3: the first eviction of the former start.
        engine.late_orders = 1
        asking = asyncio.create_task(served(deployment, "a4"))
        await deployment.until(lambda: engine.kept_orders)
        engine.kept_orders = [
            {**engine.kept_orders[0], "op": "load", "adapter": "a9", "version": 1}
        ]
        await engine.restart()
        deployment.register(engine)
        await asking
        for adapter in ("a5", "a6"):
            await served(deployment, adapter)
        engine.kept_orders[0]["precondition"] = engine.order_count
        engine.carry_out_kept()
        for adapter in ("a7", "a8"):
            await served(deployment, adapter)
        assert not engine.crashed


async def test_a_vm_whose_watch_missed_a_restart_hears_of_it_from_the_others():
    """One VM sends its requests, one after the other, to what an engine lost.

    The others saw the engine start again; this one's watch told it nothing.
    """
    async with Deployment() as deployment:
        engine = await loaded(deployment)
        (deaf,) = [
            gateway
            for gateway in deployment.gateways
            if engine.target not in gateway._engine_manager.owned
        ]
        deaf._watchers[TARGETS_KIND]._on_changed = lambda record: None
        await engine.restart()
        deployment.register(engine)
        await deployment.until(lambda: believed(deaf, engine) == engine.born)
        assert holding(deaf, engine) is not Holding.READY
        assert restarts_seen(deaf, engine) == [(engine.born - 1500, engine.born)]
        await served(deployment, vm=deployment.gateways.index(deaf))


async def test_an_entry_that_lapsed_and_is_back_may_be_of_another_start():
    """An engine is ordered by what it held before it was away.

    Its entry went and came back, within a quarter of a second, as another start's;
    its owner looked only whether it was there.
    """
    async with Deployment() as deployment:
        engine = await loaded(deployment)
        deployment.store.remove(TARGETS_KIND, engine.target)
        targets = [gateway._targets for gateway in deployment.gateways]
        await deployment.until(
            lambda: not any(engine.target in each.entries for each in targets)
        )
        await engine.restart()
        deployment.register(engine)

        def owners():
            rooms = [gateway._engine_manager for gateway in deployment.gateways]
            found = [room._owners.get(engine.target) for room in rooms]
            return [owner for owner in found if owner is not None]

        await deployment.until(
            lambda: (
                [owner.incarnation.started_ms for owner in owners()] == [engine.born]
            )
        )
        await all_know(deployment, engine)
        await served(deployment)
        assert not engine.crashed
        fences = [order["fence"] for order in engine.orders]
        assert fences == sorted(fences)
