"""Tests of draining whole gateways: what they still serve, and who takes over."""

import asyncio

from hawthornlead.gateway.drains import POLL_INTERVAL_S, SETTLE_S, Drain
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.owner_objects import OWNERS_KIND
from hawthornlead.gateway.slot_queues import SlotRequest
from hawthornlead.gateway.target_loads import UPDATE_TTL_S

from .fakes_clocks import PlayedTimers, run_played
from .gateways import MODEL, Deployment, ask
from .hostile_clients import PressedGateway


async def test_directory_leaves_a_draining_vm_out_and_it_still_serves():
    async with Deployment() as deployment:
        leaving = deployment.gateways[1]
        draining = asyncio.create_task(leaving.drain())
        entry = deployment.settings[0]["DIRECTORY_ADDRESS"]
        left = deployment.settings[1]["CALLER_ADDRESS"]
        path = "/v1/resolve?name=office.example&zone=gijon"

        async def named() -> bytes:
            headers = {"Host": "x", "Connection": "close"}
            return (await ask(entry, "GET", path, headers)).body

        while left.encode() in await named():
            await asyncio.sleep(0.02)
        ready = deployment.settings[1]["READY_ADDRESS"]
        headers = {"Host": "x", "Connection": "close"}
        assert (await ask(ready, "GET", "/v1/ready", headers)).status == 503
        assert (await deployment.ask("/safe/x", "GET", vm=1)).status == 200
        await draining


async def test_a_request_in_flight_as_a_vm_ends_is_answered():
    """A caller's stream is cut off without an answer by a graceful restart.

    The VM had waited until no request was open. At that moment the caller connected,
    its request was read, and the process ended.
    """
    async with Deployment() as deployment:
        leaving = deployment.gateways[1]
        leaving._drain._grace_s = 8.0
        wait = leaving._drain.wait
        asked = []

        async def wait_and_ask():
            await wait()
            asking = deployment.ask("/stream/x", vm=1, Model=MODEL, Deadline_Ms="2000")
            asked.append(asyncio.create_task(asking))
            await deployment.until(lambda: leaving._callers.open)

        leaving._drain.wait = wait_and_ask
        await leaving.drain()
        leaving.stop()
        await leaving._callers.close_all_connections()
        answer = await asked[0]
        assert answer.status == 200
        assert answer.whole


async def drained_after(gateway, grace_s: float) -> None:
    """Stop a VM as a signal does, with the given time to finish."""
    gateway._drain._grace_s = grace_s
    await gateway.drain()
    gateway.stop()


async def test_a_request_that_may_outlast_the_grace_runs_only_if_it_may_run_again():
    """Guards against requests that a planned stop cuts and that can't be sent again."""
    async with Deployment() as deployment:
        stopping = asyncio.create_task(drained_after(deployment.gateways[0], 6.0))
        await deployment.until(lambda: deployment.gateways[0]._drain.draining)
        ran = deployment.plains[0].ran, deployment.plains[1].ran
        for path, model in (("/unsafe/x", {}), ("/stream/x", {"Model": MODEL})):
            answer = await deployment.ask(path, **model)
            assert (answer.status, answer.whole) == (503, True)
        assert ran == ([], [])
        sent = {"Deadline_Ms": "2000"}
        assert (await deployment.ask("/unsafe/x", **sent)).status == 200
        assert (await deployment.ask("/safe/x", "GET")).status == 200
        answer = await deployment.ask("/resume/x", Model=MODEL)
        assert (answer.status, answer.whole) == (200, True)
        await stopping


async def test_a_vm_that_is_alone_takes_requests_while_it_stops():
    """Guards against callers that are refused where no other VM serves them."""
    async with Deployment(vms=1) as deployment:
        stopping = asyncio.create_task(drained_after(deployment.gateways[0], 6.0))
        await deployment.until(lambda: deployment.gateways[0]._drain.draining)
        assert (await deployment.ask("/unsafe/x")).status == 200
        await stopping


async def test_a_request_that_outlasts_the_grace_gets_an_answer_without_a_promise():
    """Guards against a closed connection where a request may have run."""
    async with Deployment(vms=1) as deployment:
        for target in deployment.plains:
            target.work_s = 10.0
        asking = [
            asyncio.create_task(deployment.ask("/unsafe/x")),
            asyncio.create_task(deployment.ask("/safe/x", "GET")),
        ]
        await deployment.until(
            lambda: sum(len(target.ran) for target in deployment.plains) == 2
        )
        await drained_after(deployment.gateways[0], 1.0)
        for answer in await asyncio.gather(*asking):
            assert (answer.status, answer.whole) == (502, True)


async def test_a_process_that_is_stopped_answers_each_request_that_it_took():
    """Guards against connections that the end of a process closes unanswered."""
    async with PressedGateway() as gateway:
        targets = [gateway.target(name) for name in ("p1", "p2")]
        for target in targets:
            target.work_s = 30.0
        asking = asyncio.create_task(
            gateway.ask("callers", "/unsafe/x", **{"Deadline-Ms": "20000"})
        )
        while not any(target.ran for target in targets):
            await asyncio.sleep(0.01)
        assert await gateway.terminate() == 0
        answer = await asking
        assert (answer.status, answer.whole) == (502, True)


def test_what_connects_near_the_end_of_the_grace_period_is_still_answered():
    """Guards against requests that are closed unread as the process ends.

    A request was open until then, so that the VM listened to the last moment.
    """

    async def drained() -> tuple[float, float]:
        timers = PlayedTimers()
        drain = Drain(
            timers=timers, grace_s=8.0, readiness_ttl_s=1.0, open_requests=lambda: 1
        )
        drain.start()
        await drain.wait()
        listened_until = timers.now()
        await drain.settle()
        return drain.end_at - listened_until, drain.end_at - timers.now()

    left_s, settled_s = run_played(drained())
    assert left_s >= SETTLE_S - POLL_INTERVAL_S
    assert -POLL_INTERVAL_S <= settled_s <= 0


async def test_an_engine_is_claimed_at_once_when_its_owner_leaves():
    async with Deployment() as deployment:
        first = deployment.gateways[0]
        await deployment.until(
            lambda: sum(len(g._engine_manager.owned) for g in deployment.gateways) == 2
        )
        owned = first._engine_manager.owned
        before = {target: deployment.owner_fence(target) for target in ("e1", "e2")}
        await first.drain()
        second = deployment.gateways[1]
        for target in owned:
            await deployment.until(lambda t=target: t in second._engine_manager.owned)
        for target, fence in before.items():
            after = deployment.owner_fence(target)
            assert after > fence if target in owned else after == fence


async def test_engines_are_ordered_while_the_vm_that_released_them_still_runs():
    """New adapters are refused for seconds at each restart of a VM.

    A stopping VM released its engines at once, and served callers for three seconds
    more. While the others still saw it they took it for the owner, and no VM ordered
    its engines.
    """
    async with Deployment() as deployment:
        both = {engine.target for engine in deployment.engines}
        leaving, staying = deployment.gateways
        if not leaving._engine_manager.owned:
            leaving, staying = staying, leaving
        draining = asyncio.create_task(leaving.drain())
        await deployment.until(lambda: set(staying._engine_manager.owned) == both)
        assert not draining.done()
        for gateway in deployment.gateways:
            await deployment.until(
                lambda g=gateway: owners_known(g, both) == {staying._memberships.vm}
            )
        answer = await deployment.ask("/stream/x", vm=0, Model=f"{MODEL}/a9")
        assert answer.status == 200
        assert not draining.done()
        await draining


def owners_known(gateway, engines) -> set[str]:
    """Return the VMs that a VM regards as the owners of engines."""
    return {gateway._targets.owner(target) for target in engines}


async def test_a_leaving_vm_announces_its_requests_until_they_end():
    """After a VM stops, engines with free slots refuse requests for seconds.

    The VM no longer announced the streams that it still served. After 3 s the owner of
    their engine took their adapters for unused and unloaded one. The engine then
    refused all orders until its runs had ended.
    """
    async with Deployment() as deployment:
        for engine in deployment.engines:
            engine.event_s = 1.1
        key = AdapterKey(MODEL, "a1")
        asking = asyncio.create_task(
            deployment.ask("/stream/x", Model=f"{MODEL}/{key.adapter}")
        )
        await deployment.until(lambda: any(e.ran for e in deployment.engines))
        target = next(e.target for e in deployment.engines if e.ran)
        leaving, staying = deployment.gateways
        draining = asyncio.create_task(leaving.drain())
        staying_manager = staying._engine_manager
        await deployment.until(lambda: staying_manager.running(target).get(key) == 1)
        await asyncio.sleep(UPDATE_TTL_S + 0.5)
        assert not asking.done()
        assert staying_manager.running(target).get(key) == 1
        assert (await asking).status == 200
        await draining


async def test_a_leaving_vm_keeps_giving_orders_in_a_store_outage():
    """No adapters are loaded for seconds when VMs restart during a store outage.

    A stopping VM released its engines at once. The store didn't take the release, and
    no VM could claim them until the store was back, seconds after the VM had ended.
    """
    async with Deployment() as deployment:
        both = {engine.target for engine in deployment.engines}
        leaving, staying = deployment.gateways
        if not leaving._engine_manager.owned:
            leaving, staying = staying, leaving
        owned = set(leaving._engine_manager.owned)
        leaving._drain._grace_s = 8.0
        deployment.store.fault = "busy"
        draining = asyncio.create_task(leaving.drain())
        await asyncio.sleep(0.5)
        assert set(leaving._engine_manager.owned) == owned
        vm = deployment.gateways.index(staying)
        answer = await deployment.ask("/stream/x", vm=vm, Model=f"{MODEL}/a9")
        assert answer.status == 200
        deployment.store.fault = ""
        await deployment.until(lambda: set(staying._engine_manager.owned) == both)
        assert not draining.done()
        await draining


async def test_an_engine_is_released_once_no_order_can_be_in_flight():
    """Two VMs order one engine at the same time when one of them restarts.

    The last order of the stopping VM got no answer. Its packet was lost and was
    retransmitted within a second, when another VM had claimed the engine.
    """
    async with Deployment() as deployment:
        leaving = next(g for g in deployment.gateways if g._engine_manager.owned)
        target = leaving._engine_manager.owned[0]
        engine = next(e for e in deployment.engines if e.target == target)
        for each in deployment.engines:
            each.mute_orders = 100
        owner = leaving._engine_manager._owners[target]
        request = SlotRequest(AdapterKey(MODEL, "a5"), 0, 0.0, 0.0)
        loading = asyncio.create_task(owner.load(request, 0, 5.0))
        await deployment.until(lambda: engine.orders)
        draining = asyncio.create_task(leaving.drain())
        vm = leaving._memberships.vm
        await deployment.until(
            lambda: deployment.store.spec(OWNERS_KIND, target)["vm"] != vm
        )
        assert owner._unacknowledged.in_flight_s == 0.0
        assert owner._unacknowledged.unanswered_until > 0.0
        assert (await loading).is_err()
        await draining
