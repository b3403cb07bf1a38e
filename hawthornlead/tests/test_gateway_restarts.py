"""Tests of whole gateways whose engines start again under the id that they had."""

import asyncio

from hawthornlead.errors import ErrorKind, Failure
from hawthornlead.events import EventKind
from hawthornlead.gateway.engine_slots import AdapterKey
from hawthornlead.gateway.owner_objects import OWNERS_KIND
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
from hawthornlead.platform.objects import TARGETS_KIND

from .gateways import MODEL, Deployment

KEY = AdapterKey(MODEL, "a1")
PATH = "/stream/x"


def holding(gateway, engine, key=KEY):
    """Return what a VM believes that an engine holds."""
    entry = gateway._targets.entries[engine.target]
    service = gateway._parts.configuration.service("llm")
    return gateway._targets.holding(entry, service, key)


def placed_at(entry):
    """Return a request that was sent to a target because its adapter was there."""
    candidate = Candidate(entry.target, 8, 0, Holding.READY, True, False, 0.0, True)
    return Placed(entry, KEY, 0.0, candidate, 1)


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


def owner_fence(deployment, engine) -> int:
    """Return the fence under which an engine was claimed last."""
    return deployment.store.spec(OWNERS_KIND, engine.target)["fence"]


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


async def test_a_restart_drops_at_once_what_all_vms_believed():
    """Requests are sent, one after the other, to an engine that lost their adapter.

    An engine started again under its id. Its entry was taken for the one of before,
    and every VM went on believing what its owner had told of the former start.
    """
    async with Deployment() as deployment:
        engine = await loaded(deployment)
        before = engine.born
        fence = owner_fence(deployment, engine)
        await engine.restart()
        deployment.register(engine)
        await all_know(deployment, engine)
        for gateway in deployment.gateways:
            assert holding(gateway, engine) is Holding.ABSENT
            assert restarts_seen(gateway, engine) == [(before, engine.born)]
        for vm in range(2):
            await served(deployment, vm=vm)
        assert owner_fence(deployment, engine) == fence
        assert not engine.crashed


async def test_what_failed_at_the_former_start_does_not_count_against_the_new():
    """An engine that came back sound is left for four seconds.

    The failures of its former start, and the requests that other VMs had told of
    there, were counted against the new one.
    """
    async with Deployment() as deployment:
        engine = await loaded(deployment)
        for gateway in deployment.gateways:
            for _ in range(5):
                gateway._parts.healths.failed(engine.target, gone=True)
            gateway._parts.loads.began(engine.target, KEY)
            full = Failure(ErrorKind.NO_SLOT, "no slot to spare", 0.2)
            gateway._parts.placer._note_full(engine.target, full)
            assert engine.target in gateway._parts.placer._slot_waits
        told = deployment.gateways[0]._parts.loads
        await deployment.until(lambda: told.running(engine.target) == 2)
        await engine.restart()
        deployment.register(engine)
        await all_know(deployment, engine)
        for gateway in deployment.gateways:
            parts = gateway._parts
            assert not parts.healths.suspect(engine.target)
            assert parts.healths.cost_ms(engine.target) == 0
            assert parts.loads.running(engine.target) == 0
            assert engine.target not in parts.placer._slot_waits
            parts.loads.ended(engine.target, KEY)
            assert parts.loads.running(engine.target) == 0
            assert parts.loads.own_total == 0


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


async def test_three_restarts_in_a_row_leave_one_owner_and_no_old_belief():
    async with Deployment() as deployment:
        engine = await loaded(deployment)
        fence = owner_fence(deployment, engine)
        for number in range(3):
            await engine.restart(moved=number == 1)
            deployment.register(engine)
            await asyncio.sleep(0.05 * number)
        await all_know(deployment, engine)
        for gateway in deployment.gateways:
            assert holding(gateway, engine) is Holding.ABSENT
        owners = [g for g in deployment.gateways if engine.target in g._room.owned]
        assert len(owners) == 1
        owner = owners[0]._room._owners[engine.target]
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
        await deployment.until(lambda: not targets.usable(other.target))
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
            if engine.target not in gateway._room.owned
        ]
        deaf._watchers[TARGETS_KIND]._on_changed = lambda record: None
        await engine.restart()
        deployment.register(engine)
        await deployment.until(lambda: believed(deaf, engine) == engine.born)
        assert holding(deaf, engine) is not Holding.READY
        assert restarts_seen(deaf, engine) == [(engine.born - 1500, engine.born)]
        await served(deployment, vm=deployment.gateways.index(deaf))


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
            gateway._room
            for gateway in deployment.gateways
            if engine.target in gateway._room.owned
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
            rooms = [gateway._room for gateway in deployment.gateways]
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
        attempts = Attempts(gateway._parts, None, None, None, None, 0.0, b"")
        for _ in range(4):
            attempts._blame(former)
            attempts._note_refused(former, 421, placed_at(former))
        healths = gateway._parts.healths
        assert not healths.suspect(engine.target)
        assert healths.cost_ms(engine.target) == 0.0
        attempts._blame(gateway._targets.entries[engine.target])
        assert healths.cost_ms(engine.target) > 0.0
