"""Answers of targets that come a second time, late, ahead of the next answer."""

from hawthornlead.gateway.engine_calls import EngineCalls
from hawthornlead.gateway.owner_objects import OWNERS_KIND
from hawthornlead.gateway.records import EngineOrder, OrderKind, OrderOutcome

from .gateways import MODEL, Deployment
from .standins.platform_engine import PlatformEngine

PROMISES = (408, 421, 429, 503)
ADAPTER = f"{MODEL}/a7"


def runs(deployment: Deployment, request_id: str) -> int:
    """Return how often targets began to run a request."""
    targets = deployment.engines + deployment.plains
    return sum(target.ran.count(request_id) for target in targets)


async def warmed(deployment: Deployment) -> tuple[PlatformEngine, int]:
    """Have the adapter loaded; return its engine, and a VM that doesn't own it."""
    assert (await deployment.ask("/stream/x", Model=ADAPTER)).status == 200
    engine = next(engine for engine in deployment.engines if engine.ran)
    owner = deployment.store.spec(OWNERS_KIND, engine.target)["vm"]
    vm = int(owner != "vm-2")
    assert (await deployment.ask("/stream/x", vm=vm, Model=ADAPTER)).status == 200
    return engine, vm


def assert_kept(deployment: Deployment, request_id: str, status: int) -> None:
    """Check that a request ran once at most, and not if it was refused."""
    ran = runs(deployment, request_id)
    assert ran <= 1
    assert not (status in PROMISES and ran)


async def refuse_twice(engines: int, named: bool) -> None:
    """Have an engine refuse a stream, and repeat that ahead of its next answer."""
    async with Deployment(software=("v1",) * engines) as deployment:
        engine, vm = await warmed(deployment)
        engine.repeats.least = 400
        engine.names_refusals = named
        engine.faults.append("refuse")
        answer = await deployment.ask(
            "/stream/x", vm=vm, Model=ADAPTER, Request_Id="again"
        )
        assert_kept(deployment, "again", answer.status)


async def test_a_repeated_refusal_is_no_refusal_of_the_next_attempt():
    """Guards against a stream that runs twice, or that is refused while it runs."""
    await refuse_twice(engines=1, named=True)
    await refuse_twice(engines=2, named=True)


async def test_a_repeated_refusal_without_an_id_refuses_no_request():
    """Guards against a stray answer without an id that is taken for a refusal."""
    await refuse_twice(engines=1, named=False)
    await refuse_twice(engines=2, named=False)
    async with Deployment(vms=1) as deployment:
        for target in deployment.plains:
            target.repeats.least = 400
            target.names_refusals = False
            target.faults.append("refuse")
        for number in range(4):
            answer = await deployment.ask("/unsafe/x", Request_Id=f"u{number}")
            assert_kept(deployment, f"u{number}", answer.status)


async def test_a_repeated_refusal_of_a_report_refuses_no_request():
    """Guards against a request that is refused by a late answer to a control call."""
    async with Deployment() as deployment:
        engine, vm = await warmed(deployment)
        engine.repeats.least = 400
        engine.shed_reports = 1
        calls = deployment.gateways[vm]._engine_manager._calls
        reported = await calls.report(engine.address, engine.target)
        assert reported.is_err()
        answer = await deployment.ask(
            "/stream/x", vm=vm, Model=ADAPTER, Request_Id="free"
        )
        assert answer.status == 200
        assert_kept(deployment, "free", answer.status)


async def test_a_repeated_answer_to_a_request_answers_no_control_call():
    """Guards against an order that takes the end of a stream for its acceptance."""
    async with Deployment() as deployment:
        engine, vm = await warmed(deployment)
        engine.repeats.least = 200
        calls = deployment.gateways[vm]._engine_manager._calls
        await deployment.ask("/stream/x", vm=vm, Model=ADAPTER)
        reported = await calls.report(engine.address, engine.target)
        assert reported.ok_value.order_count == engine.order_count
        await deployment.ask("/stream/x", vm=vm, Model=ADAPTER)
        assert await give(calls, engine) is OrderOutcome.CONFLICT


async def test_a_repeated_answer_to_a_control_call_answers_no_unload():
    """Guards against an unload that is taken for done, and one load too many."""
    async with Deployment() as deployment:
        engine, vm = await warmed(deployment)
        engine.repeats.least = 200
        calls = deployment.gateways[vm]._engine_manager._calls
        assert (await calls.report(engine.address, engine.target)).is_ok()
        assert await give(calls, engine) is OrderOutcome.CONFLICT
        engine.adapters["a9"] = 1
        taken = EngineOrder(
            OrderKind.UNLOAD, MODEL, "a9", 0, engine.order_count, "vm-x", 1
        )
        done = await calls.order(engine.address, engine.target, taken, lambda: True)
        assert done is OrderOutcome.HOLDS_ALREADY
        assert await give(calls, engine) is OrderOutcome.CONFLICT


async def give(calls: EngineCalls, engine: PlatformEngine) -> OrderOutcome:
    """Give an order that the engine refuses, since its count is passed."""
    order = EngineOrder(OrderKind.UNLOAD, MODEL, "a9", 0, -1, "vm-x", 1)
    return await calls.order(engine.address, engine.target, order, lambda: True)
