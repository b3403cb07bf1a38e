"""Tests of ordering one engine, before a small engine without a network."""

import asyncio

import pytest
from prometheus_client import CollectorRegistry
from result import Err, Ok

from hawthornlead.clocks import HybridClock
from hawthornlead.errors import ErrorKind
from hawthornlead.events import EventRing
from hawthornlead.gateway import engine_owners, engine_reports, fetch_followers
from hawthornlead.gateway.arrival_times import ArrivalTimes
from hawthornlead.gateway.engine_owners import EngineOwner
from hawthornlead.gateway.engine_slots import AdapterKey, SlotState
from hawthornlead.gateway.gateway_metrics import GatewayMetrics
from hawthornlead.gateway.late_orders import LateOrders
from hawthornlead.gateway.load_checks import MAX_ARRIVING
from hawthornlead.gateway.ownerships import Ownership
from hawthornlead.gateway.records import (
    AdapterVersion,
    EngineReport,
    EngineSpec,
    HeldModel,
    ModelSpec,
    OrderKind,
    OrderOutcome,
    TargetEntry,
)
from hawthornlead.timers import TimerService

SLOTS = 8
LOAD_S = 0.05
MODEL = ModelSpec("tide", 100.0, 0.05, 99, 1.0)
SPEC = EngineSpec(8, 1000, 200.0, SLOTS, 6.0, (MODEL,))


class FakeEngine:
    """Takes orders as an engine does; ``held`` and ``arriving`` are its slots.

    ``mute`` orders are carried out without an answer, ``late`` ones are kept in
    ``kept`` and carried out by ``carry_out_kept``, if their count still holds.
    """

    def __init__(self):
        self.count = 0
        self.held = {}
        self.arriving = {}
        self.models = ["tide"]
        self.running = set()
        self.orders = []
        self.kept = []
        self.mute = 0
        self.late = 0
        self.most = 0

    async def report(self, address, target):
        held = [AdapterVersion("tide", name, v) for name, v in self.held.items()]
        coming = [AdapterVersion("tide", name, v) for name, v in self.arriving.items()]
        models = [HeldModel(name, 1, tuple(held)) for name in self.models]
        report = EngineReport(
            self.count, False, 0, 0, 0, 0, tuple(models), tuple(coming)
        )
        return Ok(report)

    async def order(self, address, target, order):
        self.orders.append(order)
        if self.late:
            self.late -= 1
            self.kept.append(order)
            return OrderOutcome.UNKNOWN
        outcome = self.carry_out(order)
        if self.mute:
            self.mute -= 1
            return OrderOutcome.UNKNOWN
        return outcome

    def carry_out_kept(self):
        return [self.carry_out(order) for order in self.kept]

    def carry_out(self, order):
        if order.order_count != self.count:
            return OrderOutcome.CONFLICT
        self.count += 1
        if order.kind is OrderKind.UNLOAD:
            if order.adapter in self.running:
                return OrderOutcome.STARTED
            self.held.pop(order.adapter, None)
            return OrderOutcome.HOLDS_ALREADY
        if not order.adapter:
            asyncio.get_running_loop().call_later(
                LOAD_S, self.models.append, order.model
            )
            return OrderOutcome.STARTED
        self.arriving[order.adapter] = order.version or 1
        used = len(self.held.keys() | self.arriving.keys())
        self.most = max(self.most, used)
        asyncio.get_running_loop().call_later(LOAD_S, self._arrive, order.adapter)
        return OrderOutcome.STARTED

    def _arrive(self, adapter):
        self.held[adapter] = self.arriving.pop(adapter)


class Owned:
    """Ownership that a test gives and takes."""

    def __init__(self):
        self.fence = 4

    def current(self, target):
        return Ownership(target, self.fence, 1, 1) if self.fence else None


class InUse:
    """Requests under way, as the test says."""

    def __init__(self):
        self.adapters = {}

    def running(self, target):
        return self.adapters

    def told_every_s(self):
        return 0.02


class Bed:
    """An owner before a fake engine."""

    def __init__(self):
        self.engine = FakeEngine()
        self.owned = Owned()
        self.in_use = InUse()
        self.timers = TimerService()
        self.told = []
        self.restarts = []
        entry = TargetEntry("e1", "llm", "10.0.0.1:80", "gijon", 8, False, None, ())
        self.owner = EngineOwner(
            entry,
            SPEC,
            ownerships=self.owned,
            calls=self.engine,
            timers=self.timers,
            holder="vm-1",
            in_use=self.in_use,
            arrivals={False: ArrivalTimes(), True: ArrivalTimes()},
            events=EventRing("vm-1", HybridClock(self.timers)),
            metrics=GatewayMetrics(CollectorRegistry()),
            late=LateOrders(timers=self.timers),
            on_changed=lambda owner: self.told.append(owner.holdings),
            on_restarted=self.restarts.append,
        )

    async def load(self, name, version=0, wait_s=2.0):
        return await self.owner.load(AdapterKey("tide", name), version, wait_s)


@pytest.fixture
async def bed(monkeypatch):
    """An owner that has read its engine's report; waits are shortened."""
    monkeypatch.setattr(engine_owners, "REPORT_LAG_S", 0.02)
    monkeypatch.setattr(engine_reports, "REPORT_LAG_S", 0.02)
    monkeypatch.setattr(engine_owners, "FIRST_LOOK_S", 0.03)
    monkeypatch.setattr(fetch_followers, "FIRST_LOOK_S", 0.03)
    monkeypatch.setattr(fetch_followers, "LOOK_S", 0.01)
    monkeypatch.setattr(engine_owners, "REPORT_RETRY_S", 0.02)
    made = Bed()
    made.owner.start()
    while not made.owner.known:
        await asyncio.sleep(0.005)
    yield made
    made.owner.stop()


async def test_one_load_serves_all_who_wait_for_it(bed):
    loaded = await asyncio.gather(*[bed.load("a1") for _ in range(6)])
    assert all(each.is_ok() for each in loaded)
    assert len(bed.engine.orders) == 1
    assert bed.engine.orders[0].fence == 4


async def test_who_waits_for_a_load_under_way_is_not_refused_for_others(bed):
    """A request is refused for "too many loads" though its own adapter is coming.

    Four fetches were under way, its own among them, as many as an engine allows.
    """
    names = [f"a{number}" for number in range(MAX_ARRIVING)]
    first = [asyncio.create_task(bed.load(name)) for name in names]
    while bed.owner.slots.arriving < MAX_ARRIVING:
        await asyncio.sleep(0.002)
    joined = await bed.load("a1", wait_s=0.2)
    assert joined.is_ok()
    assert all(loaded.is_ok() for loaded in await asyncio.gather(*first))


async def test_what_cannot_be_fetched_in_time_is_refused_with_when(bed):
    names = [f"a{number}" for number in range(MAX_ARRIVING)]
    first = [asyncio.create_task(bed.load(name)) for name in names]
    while bed.owner.slots.arriving < MAX_ARRIVING:
        await asyncio.sleep(0.002)
    refused = await bed.load("b1", wait_s=0.1)
    assert isinstance(refused, Err)
    assert refused.err_value.kind is ErrorKind.NO_SLOT
    assert refused.err_value.retry_after_s > 0
    await asyncio.gather(*first)


async def test_no_engine_is_ordered_to_hold_more_than_its_slots(bed):
    for number in range(3 * SLOTS):
        loaded = await bed.load(f"a{number}")
        while loaded.is_err():
            await asyncio.sleep(loaded.err_value.retry_after_s)
            loaded = await bed.load(f"a{number}")
    assert bed.engine.most <= SLOTS


async def test_an_order_carried_out_late_does_no_harm(bed):
    """An engine breaks down of one adapter too many, seconds after it was ordered.

    The order got no answer and was carried out after newer ones had filled the slots.
    """
    bed.engine.late = 1
    assert (await bed.load("a1")).is_ok()
    for number in range(SLOTS):
        await bed.load(f"b{number}")
    assert set(bed.engine.carry_out_kept()) == {OrderOutcome.CONFLICT}
    assert bed.engine.most <= SLOTS


async def test_an_order_taken_without_an_answer_is_found_out(bed):
    bed.engine.mute = 1
    assert (await bed.load("a1")).is_ok()
    assert list(bed.engine.held) == ["a1"]


async def test_an_adapter_whose_runs_go_on_keeps_its_slot(bed):
    for number in range(SLOTS):
        assert (await bed.load(f"a{number}")).is_ok()
    bed.engine.running = {f"a{number}" for number in range(SLOTS)}
    await asyncio.sleep(0.4)
    await bed.load("b1", wait_s=0.2)
    assert bed.engine.most <= SLOTS
    assert len(bed.engine.held) == SLOTS
    states = [slot.state for slot in bed.owner.slots.slots.values()]
    assert SlotState.LEAVING in states


async def test_no_order_follows_while_an_adapter_in_use_leaves(bed):
    """All loads of an engine stop for seconds.

    An adapter was ordered out that a request had just begun to use. The engine lets
    it go when the run ends and refuses every order until then; its owner went on
    giving orders, each refused, and read a report after each.
    """
    for number in range(SLOTS):
        assert (await bed.load(f"a{number}")).is_ok()
    bed.engine.running = {f"a{number}" for number in range(SLOTS)}
    await asyncio.sleep(0.3)
    await bed.load("b1", wait_s=0.2)
    given = len(bed.engine.orders)
    refused = await bed.load("b2", wait_s=0.2)
    assert refused.err_value.kind is ErrorKind.NO_SLOT
    assert len(bed.engine.orders) == given


async def test_an_adapter_that_others_use_is_not_ordered_out(bed):
    for number in range(SLOTS):
        assert (await bed.load(f"a{number}")).is_ok()
    await asyncio.sleep(0.3)
    used = range(1, SLOTS)
    bed.in_use.adapters = {AdapterKey("tide", f"a{number}"): 1 for number in used}
    assert (await bed.load("b1")).is_ok()
    assert [o.adapter for o in bed.engine.orders if o.kind is OrderKind.UNLOAD] == [
        "a0"
    ]


async def test_without_ownership_no_order_is_given(bed):
    bed.owned.fence = 0
    assert (await bed.load("a1", wait_s=0.2)).is_err()
    assert not bed.engine.orders


async def test_an_old_version_in_use_is_not_waited_for(bed):
    """Requests for an adapter wait for 20 s, as its old version still runs."""
    assert (await bed.load("a1")).is_ok()
    bed.in_use.adapters = {AdapterKey("tide", "a1"): 3}
    refused = await bed.load("a1", version=2)
    assert refused.is_err()
    bed.in_use.adapters = {}
    assert (await bed.load("a1", version=2)).ok_value == 2


async def test_an_engine_that_restarted_empty_gets_its_model(bed):
    bed.engine.models.clear()
    bed.engine.held.clear()
    bed.owner._orders.take_accepted(None)
    while not bed.engine.orders or "tide" not in bed.owner.slots.models:
        await asyncio.sleep(0.01)
    assert bed.engine.orders[-1].model == "tide"
    assert bed.engine.orders[-1].adapter == ""


async def test_a_refused_request_makes_the_owner_look_again(bed):
    assert (await bed.load("a1")).is_ok()
    bed.engine.held.pop("a1")
    bed.owner.missing(AdapterKey("tide", "a1"))
    while bed.owner.slots.ready(AdapterKey("tide", "a1"), 0):
        await asyncio.sleep(0.01)
    assert (await bed.load("a1")).is_ok()
    assert len(bed.engine.orders) == 2


async def test_a_turn_is_refused_where_the_adapter_is_not(bed):
    key = AdapterKey("tide", "a1")
    assert not bed.owner.reserve(key, 500, 1.0).held
    assert (await bed.load("a1")).is_ok()
    assert bed.owner.reserve(key, 500, 1.0).held


async def test_a_turn_that_is_too_late_is_told_and_not_reserved(bed):
    key = AdapterKey("tide", "a1")
    assert (await bed.load("a1")).is_ok()
    for _ in range(4):
        bed.owner.reserve(key, 4000, 60.0)
    late = bed.owner.reserve(key, 4000, 0.1)
    assert not late.reserved
    again = bed.owner.reserve(key, 4000, 0.1)
    assert late.wait_s >= again.wait_s > 0.1
    assert bed.owner.holdings.turn_s == pytest.approx(again.wait_s, abs=0.05)
